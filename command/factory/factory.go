// Package factory provides the dependencies of commands, such as streams, loggers and
// clients of an entry, so that commands use no globals. It also runs the server
// processes until they are stopped. Every package under command uses it.
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
	"github.com/plantainrail/plantainrail/limiter"
	"github.com/plantainrail/plantainrail/reporter"
)

// Exit codes of the program. ExitCancel is the shell's code after an interruption:
// 128 plus the number of SIGINT.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
	ExitCancel  = 130
)

// UsageError reports invalid flags or arguments of a command. The program exits with
// ExitUsage.
type UsageError struct{ error }

// Usagef returns a UsageError with a formatted message.
func Usagef(format string, args ...any) error {
	return UsageError{errors.Errorf(format, args...)}
}

// Factory holds the dependencies of commands.
type Factory struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// TTY is set when Out is a terminal.
	TTY bool
	// Context ends when the user interrupts the program.
	Context context.Context
	// Entry is the address or base URL of an entry, and Token authorizes operators'
	// calls to it.
	Entry string
	Token string
	// Editor is the name that is recorded with an operator's changes.
	Editor string
}

// New returns a Factory that uses the standard streams of the process.
func New(ctx context.Context) *Factory {
	tty := false
	if info, err := os.Stdout.Stat(); err == nil {
		tty = info.Mode()&os.ModeCharDevice != 0
	}
	return &Factory{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, TTY: tty, Context: ctx}
}

// Caller returns a client for operators' calls to the entry.
func (f *Factory) Caller() *caller.Client {
	return caller.New(f.Entry, f.Token, nil)
}

// BaseURL returns the base URL of another entry, with the scheme of f.Entry.
func (f *Factory) BaseURL(address string) string {
	if strings.HasPrefix(f.Entry, "https://") {
		return "https://" + address
	}
	return "http://" + address
}

// PrintRows prints rows. On a terminal the columns are aligned below a header; elsewhere
// the cells are separated by tabs and there is no header.
func (f *Factory) PrintRows(header []string, rows [][]string) error {
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

// PrintJSON prints a value as indented JSON.
func (f *Factory) PrintJSON(value any) error {
	encoder := json.NewEncoder(f.Out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write")
}

// In each second the first sampleFirst lines with the same message are written, and of the others every
// sampleThereafter-th. Clients may cause a line with each call.
const sampleFirst, sampleThereafter = 400, 100

// Logger returns a logger that writes JSON lines to the error stream and blocks while
// it cannot write. An invalid level means info.
func (f *Factory) Logger(level string) *zap.Logger {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		parsed = zapcore.InfoLevel
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.Lock(zapcore.AddSync(f.Err)), parsed)
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleThereafter))
}

// logCloseTimeout bounds the time for writing queued log lines when a process stops.
const logCloseTimeout = 200 * time.Millisecond

// AsyncLogger returns a logger that writes JSON lines to standard output without
// blocking, the reporter that serves its counters, and a function that writes the
// queued lines before the process stops.
func (f *Factory) AsyncLogger() (*zap.Logger, *reporter.Reporter, func()) {
	logger, r := reporter.New(f.Out, zapcore.InfoLevel)
	return logger, r, func() { r.Close(logCloseTimeout) }
}

// metricsPort is the TCP port on which a process on the platform serves its counters.
// It must match the port in deploy/system.toml.
const metricsPort = "9464"

// ServeMetrics serves a process's counters in the background until the process ends.
// The limiter bounds what their readers take of it.
// If it cannot listen, it logs a warning and the process runs without metrics.
func (f *Factory) ServeMetrics(ip string, h http.Handler, l *limiter.Limiter, logger *zap.Logger) {
	address := net.JoinHostPort(ip, metricsPort)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		logger.Warn("metrics not served", zap.String("address", address), zap.Error(err))
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", h)
	server := &http.Server{Handler: mux}
	listener = l.LimitHealthChecks(server, listener)
	go func() {
		if err := server.Serve(listener); err != nil {
			logger.Warn("metrics not served any more", zap.Error(err))
		}
	}()
}

// maxInputBytes bounds what a command reads from standard input. Further bytes are
// ignored.
const maxInputBytes = 16 << 20

// ReadFile reads a file, or standard input for "-".
func (f *Factory) ReadFile(path string) ([]byte, error) {
	if path == "-" {
		raw, err := io.ReadAll(io.LimitReader(f.In, maxInputBytes))
		return raw, errors.Wrap(err, "read standard input")
	}
	raw, err := os.ReadFile(path)
	return raw, errors.Wrap(err, "read file")
}

// PrintJSONLine prints a value as JSON on one line.
func (f *Factory) PrintJSONLine(value any) error {
	return errors.Wrap(json.NewEncoder(f.Out).Encode(value), "write")
}
