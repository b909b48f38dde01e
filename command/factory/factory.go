// Package factory holds what commands depend on: streams, the way to an entry,
// and the exit codes. Commands get it instead of reaching for globals.
package factory

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/plantainrail/plantainrail/caller"
	"github.com/plantainrail/plantainrail/reporter"
)

// Exit codes of the program.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
	ExitCancel  = 130
)

// UsageError is a mistake in a command's flags or arguments.
type UsageError struct{ error }

// Usagef returns a UsageError.
func Usagef(format string, args ...any) error {
	return UsageError{errors.Errorf(format, args...)}
}

// Factory gives commands their dependencies.
type Factory struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// TTY is set when Out is a terminal.
	TTY bool
	// Context ends when the user interrupts the program.
	Context context.Context
	// Entry and Token reach an entry's operators' calls.
	Entry string
	Token string
	// Editor names the operator in what is published.
	Editor string
}

// New returns a Factory on the process's streams.
func New(ctx context.Context) *Factory {
	tty := false
	if info, err := os.Stdout.Stat(); err == nil {
		tty = info.Mode()&os.ModeCharDevice != 0
	}
	return &Factory{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, TTY: tty, Context: ctx}
}

// Caller returns a client of the entry's operators' calls.
func (f *Factory) Caller() *caller.Caller {
	return caller.New(f.Entry, f.Token, nil)
}

// Base returns the base URL of another entry's address, with the scheme that
// the named entry is reached by.
func (f *Factory) Base(address string) string {
	if strings.HasPrefix(f.Entry, "https://") {
		return "https://" + address
	}
	return "http://" + address
}

// Table writes rows in aligned columns with a header on a terminal, and
// separated by tabs without one elsewhere.
func (f *Factory) Table(header []string, rows [][]string) error {
	if !f.TTY {
		for _, row := range rows {
			if _, err := fmt.Fprintln(f.Out, strings.Join(row, "\t")); err != nil {
				return errors.Wrap(err, "write")
			}
		}
		return nil
	}
	w := tabwriter.NewWriter(f.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(header, "\t")))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return errors.Wrap(w.Flush(), "write")
}

// JSON writes a value as indented JSON.
func (f *Factory) JSON(value any) error {
	encoder := json.NewEncoder(f.Out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write")
}

// Logger returns a structured logger on the error stream.
func (f *Factory) Logger(level string) *zap.Logger {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		parsed = zapcore.InfoLevel
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.Lock(zapcore.AddSync(f.Err)), parsed)
	return zap.New(core)
}

// logCloseLimit bounds the writing of the last log lines.
const logCloseLimit = 200 * time.Millisecond

// Reporter returns a structured logger on standard output that never blocks, a
// handler of its counters, and a function that writes what waits.
func (f *Factory) Reporter() (*zap.Logger, http.Handler, func()) {
	logger, r := reporter.New(f.Out, zapcore.InfoLevel)
	return logger, r, func() { r.Close(logCloseLimit) }
}

// metricsPort is where a process on the platform serves its counters; the deploy
// file names it too.
const metricsPort = "9464"

// ServeMetrics serves a process's counters until the process ends. A process
// that cannot listen goes on without them.
func (f *Factory) ServeMetrics(ip string, h http.Handler, logger *zap.Logger) {
	address := net.JoinHostPort(ip, metricsPort)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		logger.Warn("metrics not served", zap.String("address", address), zap.Error(err))
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", h)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerLimit}
	go func() {
		if err := server.Serve(listener); err != nil {
			logger.Warn("metrics not served any more", zap.Error(err))
		}
	}()
}

// inputLimit bounds a file that a command reads, in bytes.
const inputLimit = 16 << 20

// ReadFile reads a file, or standard input for "-".
func (f *Factory) ReadFile(path string) ([]byte, error) {
	if path == "-" {
		raw, err := io.ReadAll(io.LimitReader(f.In, inputLimit))
		return raw, errors.Wrap(err, "read standard input")
	}
	raw, err := os.ReadFile(path)
	return raw, errors.Wrap(err, "read file")
}

// Line writes a value as JSON on one line.
func (f *Factory) Line(value any) error {
	return errors.Wrap(json.NewEncoder(f.Out).Encode(value), "write")
}
