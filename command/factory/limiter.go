package factory

import (
	"crypto/tls"
	"expvar"
	"runtime"
	"strconv"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/limiter"
	"github.com/plantainrail/plantainrail/loader"
)

// clientsLimited publishes the number of clients that met each limit.
var clientsLimited = expvar.NewMap("clients_limited")

func reportExpvar(name string, total int64) {
	n := &expvar.Int{}
	n.Set(total)
	clientsLimited.Set(name, n)
}

// Limiter returns the limits for the clients of a process of the product's own interface, and bounds the memory of its
// runtime. The configuration is that of the listener; nil if it is not encrypted. Streams is set if the process passes
// bodies on as they arrive, and maxBodyBytes bounds those that it decodes.
func (f *Factory) Limiter(s loader.Limits, config *tls.Config, streams bool, maxBodyBytes int64, logger *zap.Logger) *limiter.Limiter {
	descriptors := s.Descriptors
	var system syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system); err != nil {
		logger.Warn("descriptors not read", zap.Error(err))
	} else if descriptors == 0 || uint64(descriptors) > system.Cur {
		descriptors = int(min(system.Cur, 1<<20))
	}
	limits := limiter.Limits{
		MemoryBytes: int64(s.MemoryMB) << 20, Descriptors: descriptors, Cores: float64(runtime.GOMAXPROCS(0)),
		MaxBodyBytes: maxBodyBytes, Streams: streams, TLS: config,
		RefusalHeaders: map[string]string{
			"X-Outcome": string(plantainrail.OutcomeNotRun), "X-Result-Code": strconv.Itoa(int(plantainrail.CodeClientLimited)),
		},
	}
	limits.BoundRuntime()
	l := limiter.New(limits, logger)
	l.SetOperatorLimits(plantainrail.ClientLimits{
		MaxHeaderBytes: int64(s.HeaderBytes), MaxBodyBytes: maxBodyBytes,
		HeaderTimeout: time.Duration(s.HeaderTimeoutMS) * time.Millisecond, IdleTimeout: time.Duration(s.IdleTimeoutMS) * time.Millisecond,
	})
	l.SetReport(reportExpvar)
	return l
}
