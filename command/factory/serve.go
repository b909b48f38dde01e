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

// Process is a part that serves until its context ends and can be drained.
type Process interface {
	Run(ctx context.Context) error
	Drain(ctx context.Context) error
}

// Serve runs a process until SIGTERM or SIGINT, then drains it within the
// limit and stops. A second signal stops it at once.
func (f *Factory) Serve(p Process, limit time.Duration, logger *zap.Logger) error {
	ctx, stop := context.WithCancel(context.WithoutCancel(f.Context))
	defer stop()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	// Settings hold for the life of a process; a reload only leaves a line.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	go func() {
		for range reloads {
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
	draining, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	if err := p.Drain(draining); err != nil {
		logger.Warn("drain not finished", zap.Error(err))
	}
	stop()
	return errors.Wrap(<-ended, "stop")
}

// ServeHTTP serves a stand-in until the program is interrupted.
func (f *Factory) ServeHTTP(address string, h http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerLimit}
	stop := context.AfterFunc(f.Context, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

// headerLimit bounds how long a client may take to send a request's head.
const headerLimit = 10 * time.Second
