// Package entry implements the command "node entry", which runs the entry of package
// decider with the services of the platform.
package entry

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/clocker"
	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/decider"
	"github.com/plantainrail/plantainrail/hedger"
	"github.com/plantainrail/plantainrail/limiter"
	"github.com/plantainrail/plantainrail/platform"
	"github.com/plantainrail/plantainrail/relayer"
)

// drainTimeout bounds the drain of a planned stop. It is below the six seconds that
// the platform allows for the stop.
const drainTimeout = 4 * time.Second

// Options holds the command's dependencies and validated flags.
type Options struct {
	*factory.Factory
	Settings platform.Settings
}

// Command has no flags; it reads the platform's settings file.
type Command struct {
	run func(*Options) error
}

// New returns the command. A nil run means Run; tests may pass another function.
func New(run func(*Options) error) Command {
	if run == nil {
		run = Run
	}
	return Command{run: run}
}

// Run checks the settings and runs the command.
func (c *Command) Run(f *factory.Factory) error {
	settings, err := platform.Load()
	if err != nil {
		return err
	}
	return c.run(&Options{Factory: f, Settings: settings})
}

// Run runs an entry on the platform. It listens on three addresses: for the other
// entries and the agents, for clients, and for the platform's health checks.
func Run(o *Options) error {
	s := o.Settings
	now, err := clocker.NewBootClock()
	if err != nil {
		return errors.Wrap(err, "read the clock")
	}
	peerAddress := net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort))
	listeners, err := listen(peerAddress, s.FrontendAddress, s.ReadyAddress)
	if err != nil {
		return err
	}
	logger, counters, closeLog := o.AsyncLogger()
	defer closeLog()
	limits := limiter.Limits{MemoryBytes: s.MemoryBytes, Descriptors: s.Descriptors, Cores: s.Cores}
	limits.BoundRuntime()
	clientLimiter := limiter.New(limits, logger)
	clientLimiter.SetReport(counters.SetGauge)
	o.ServeMetrics(s.IP, counters, clientLimiter, logger)
	operator := &platform.OperatorState{}
	peers := platform.NewClient(logger)
	direct := platform.NewStore(s.StoreAddress, platform.NewClient(logger))
	store := relayer.New(direct, peers, logger)
	renew := func() {
		direct.CloseIdleConnections()
		peers.CloseIdleConnections()
	}
	return o.Serve(decider.New(decider.Options{
		Name: s.Name, Address: peerAddress, Store: hedger.New(store, renew), StoreLimits: s.StoreLimits, Relay: store, SetPeers: store.SetPeers,
		PeerClient: peers, Zone: s.Zone, Cores: s.Cores, StatusDuration: s.StatusDuration,
		EvacuationBound: s.EvacuationBound, CancelBound: s.CancelBound, Trim: direct.Trim,
		ReportStoreBytes:    func(bytes int64) { counters.SetGauge("plantainrail_store_bytes_estimate", bytes) },
		ApplyOperatorRecord: operator.Apply, OperatorTopic: platform.OperatorTopic,
		Peers: listeners[0], Clients: listeners[1], Health: listeners[2],
		ClientHandler: func(f plantainrail.JobService) http.Handler { return platform.JobHandler(f) },
		HealthHandler: func(f plantainrail.JobService) http.Handler { return platform.ReadyHandler(f) },
		Limiter:       clientLimiter,
		Now:           now, Logger: logger,
	}), drainTimeout, logger)
}

// listen listens on each address.
func listen(addresses ...string) ([]net.Listener, error) {
	var out []net.Listener
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		out = append(out, listener)
	}
	return out, nil
}
