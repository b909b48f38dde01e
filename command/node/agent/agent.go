// Package agent implements the command "node agent", which runs the agent of package
// minder with the services of the platform.
package agent

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/clocker"
	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/decider"
	"github.com/plantainrail/plantainrail/limiter"
	"github.com/plantainrail/plantainrail/linker"
	"github.com/plantainrail/plantainrail/minder"
	"github.com/plantainrail/plantainrail/platform"
)

// drainTimeout bounds the drain of a planned stop. It is below the six seconds that
// the platform allows for the stop.
const drainTimeout = 5 * time.Second

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
	if settings.WorkerAddress == "" || settings.RegistryAddress == "" {
		return factory.Usagef("the platform's settings name no worker on this VM; an agent needs one")
	}
	return c.run(&Options{Factory: f, Settings: settings})
}

// Run runs the agent of a VM and its worker on the platform.
func Run(o *Options) error {
	s := o.Settings
	now, err := clocker.NewBootClock()
	if err != nil {
		return errors.Wrap(err, "read the clock")
	}
	heartbeats, err := net.Listen("tcp", s.RegistryAddress)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	logger, counters, closeLog := o.AsyncLogger()
	defer closeLog()
	limits := limiter.Limits{MemoryBytes: s.MemoryBytes, Descriptors: s.Descriptors, Cores: s.Cores, MaxBodyBytes: platform.MaxHeartbeatBytes}
	limits.BoundRuntime()
	clientLimiter := limiter.New(limits, logger)
	clientLimiter.SetReport(counters.SetGauge)
	o.ServeMetrics(s.IP, counters, clientLimiter, logger)
	// entryClient is the HTTP client for the connections to entries.
	entryClient := platform.NewClient(logger)
	return o.Serve(minder.New(minder.Options{
		Node: s.Name, Worker: platform.NewWorker(s.WorkerAddress, platform.NewClient(logger)),
		Store:        platform.NewStore(s.StoreAddress, platform.NewClient(logger)),
		MembersTopic: decider.MembersTopic,
		ParseMember: func(r plantainrail.KeyedRecord) (address string, owner bool, epoch int64, err error) {
			member, err := decider.ParseMember(r)
			return member.Address, member.Owner, member.Epoch, err
		},
		Dial: func(ctx context.Context, address string) (*linker.Session, linker.Owner, error) {
			return decider.Dial(ctx, entryClient, address)
		},
		Lease: decider.LeaseDuration, Heartbeats: heartbeats,
		HeartbeatHandler: func(r plantainrail.Registry) http.Handler {
			return platform.RegistryHandler(s.Name, s.WorkerAddress, o.pool, r, logger)
		},
		HeartbeatInterval: s.HeartbeatInterval, Limiter: clientLimiter, Now: now, Logger: logger,
		ReportTimeOver: func(over time.Duration) {
			counters.SetGauge("plantainrail_over_objective_beside_fillers_milliseconds", over.Milliseconds())
		},
	}), drainTimeout, logger)
}

// pool returns the pool that the platform currently assigns to the VM's worker. It
// reads the settings file each time, since the platform may change the file without a
// signal. If the file cannot be read, it returns the pool at the start of the process.
func (o *Options) pool() string {
	fresh, err := platform.Load()
	if err != nil {
		return o.Settings.Pool
	}
	return fresh.Pool
}
