package factory

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Process is a server that runs until its context ends and can be drained first.
type Process interface {
	// Run serves until ctx ends.
	Run(ctx context.Context) error
	// Drain ends the work in progress, and returns when that is done or ctx ends.
	Drain(ctx context.Context) error
}

// Serve runs a process until SIGTERM or SIGINT, then drains it for at most
// drainTimeout and stops it. A second signal ends the drain at once. It returns the
// error of Run.
func (f *Factory) Serve(p Process, drainTimeout time.Duration, logger *zap.Logger) error {
	// f.Context ends at the first signal. The process must not stop then but drain, so
	// its context is a separate one.
	ctx, stop := context.WithCancel(context.WithoutCancel(f.Context))
	defer stop()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	// Settings are read only when a process starts, so SIGHUP does nothing but write
	// a log line.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	go func() {
		for range reloads {
			// On the platform, package reporter counts log lines by their message and
			// serves the counts as a metric, so the message must not change.
			logger.Info("reload asked for; settings are read at the start of a process")
		}
	}()
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	select {
	case err := <-ended:
		return err
	case <-signals:
	}
	drainCtx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	// The process stops even if the drain has failed.
	if err := p.Drain(drainCtx); err != nil {
		logger.Warn("drain not finished", zap.Error(err))
	}
	stop()
	return errors.Wrap(<-ended, "stop")
}

// ServeHTTP serves the handler at an address until the program is interrupted.
func (f *Factory) ServeHTTP(address string, h http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerReadTimeout}
	stop := context.AfterFunc(f.Context, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

// headerReadTimeout bounds how long a client may take to send the header of a
// request.
const headerReadTimeout = 10 * time.Second
