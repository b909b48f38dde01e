// Package assembler runs a small cluster of entries, agents and stand-ins in
// one process, for the dev command, benchmarks and tests. The components
// connect over a Network: TCP on loopback, or one in memory. Tallies combines
// what the stand-ins recorded, so that tests and benchmarks can check the
// guarantees of the product.
package assembler

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/agent"
	"github.com/plantainrail/plantainrail/appender"
	"github.com/plantainrail/plantainrail/forwarder"
	"github.com/plantainrail/plantainrail/launcher"
	"github.com/plantainrail/plantainrail/placer"
	"github.com/plantainrail/plantainrail/receiver"
	"github.com/plantainrail/plantainrail/router"
	"github.com/plantainrail/plantainrail/standin/recorder"
	"github.com/plantainrail/plantainrail/standin/responder"
	"github.com/plantainrail/plantainrail/standin/worker"
)

// Network connects the components of a cluster.
type Network interface {
	// Listen opens a listener for the named component, at an address of its choice.
	Listen(name string) (net.Listener, error)
	// Dial returns the dial function of the component named from, so that a
	// network can inject faults by component.
	Dial(from string) func(ctx context.Context, network, address string) (net.Conn, error)
}

// Loopback is a Network over TCP on 127.0.0.1, with ports that the system
// chooses.
type Loopback struct{}

// Listen implements Network.
func (Loopback) Listen(string) (net.Listener, error) {
	return net.Listen("tcp", "127.0.0.1:0")
}

// Dial implements Network.
func (Loopback) Dial(string) func(context.Context, string, string) (net.Conn, error) {
	return (&net.Dialer{Timeout: time.Second}).DialContext
}

// Options configure a cluster.
type Options struct {
	Network Network
	// Entries is the number of entries.
	Entries int
	// Zones are the availability zones with their numbers of agents. The entries
	// are spread over the zones in turn.
	Zones []Zone
	// Kinds are the kinds of requests that each target serves.
	Kinds []string
	// Slots and Connections are limits that each target announces: the maximum number
	// of requests that it runs concurrently, and that of its running and queued requests.
	Slots       int
	Connections int
	// Capacity is the resources of each VM.
	Capacity plantainrail.Resources
	// MaxLogRecords is the number of newest records that the log retains; 0 retains
	// all.
	MaxLogRecords int
	// ServiceTime returns the service time of a request at a target; nil means none.
	ServiceTime func(*http.Request) time.Duration
	// Router builds each entry's router; nil means router.New.
	Router func(zone string, seed uint64) plantainrail.Router
	// UnlimitedQueues lets requests queue at targets without a bound.
	UnlimitedQueues bool
	// PlaceTasks chooses workers for tasks; nil means placer.Place.
	PlaceTasks placer.PlaceFunc
	// DeclaredResourcesOnly makes tasks reserve the resources that the table declares
	// instead of their measured usage.
	DeclaredResourcesOnly bool
	// DisableThrottling keeps agents from throttling tasks.
	DisableThrottling bool
	// KindProfiles holds the actual usage, run time and interference of the tasks of
	// each kind.
	KindProfiles map[string]worker.KindProfile
	// Seed seeds the routers; each entry adds the number of entries started before it.
	Seed uint64
	// Logger may be nil, which discards logs.
	Logger *zap.Logger
	// LeaveGrace is the time after the leave of a target in which new requests may still
	// start there. Later ones are counted as Tallies.LateRequests.
	LeaveGrace time.Duration
}

// Zone is an availability zone with its number of agents.
type Zone struct {
	Name   string
	Agents int
}

// Cluster is a running cluster.
type Cluster struct {
	options Options
	group   *errgroup.Group
	ctx     context.Context
	cancel  context.CancelFunc
	// mu guards Entries.
	mu sync.Mutex

	// Log is the simulated log service, which listens at LogAddress.
	Log        *recorder.Recorder
	LogAddress string
	// Entries holds every entry that was started, stopped ones included.
	// StartEntry appends to it, so other goroutines use EntryList.
	Entries []*Entry
	// VMs does not change after New.
	VMs []*VM
}

// Entry is one entry of a cluster.
type Entry struct {
	*receiver.Receiver
	Address string
	stop    context.CancelFunc
	// ended is closed when the entry has stopped.
	ended chan struct{}
}

// VM is one VM with its agent, target and worker runtime.
type VM struct {
	Name   string
	Zone   string
	Target *responder.Responder
	Worker *worker.Worker

	// agent is replaced by StartNewAgent, while other goroutines may read it.
	agent         atomic.Pointer[agent.Agent]
	agentListener net.Listener
	targetAddress string
	workerAddress string
	// stopAgent stops the agent that was started last; agentEnded is closed when that
	// agent has stopped.
	stopAgent  context.CancelFunc
	agentEnded chan struct{}
}

// New starts a cluster, which runs until Close is called, ctx ends or a component
// fails. The failure of a component stops all others, and Close returns its error.
func New(ctx context.Context, o Options) (*Cluster, error) {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	ctx, cancel := context.WithCancel(ctx)
	c := &Cluster{options: o, cancel: cancel}
	c.group, c.ctx = errgroup.WithContext(ctx)
	if err := c.start(); err != nil {
		cancel()
		_ = c.group.Wait()
		return nil, err
	}
	return c, nil
}

// start starts the log, the entries and then the VMs, whose agents need the
// addresses of the entries.
func (c *Cluster) start() error {
	c.Log = recorder.New(c.options.MaxLogRecords)
	address, err := c.serve("log", c.Log)
	if err != nil {
		return err
	}
	c.LogAddress = address
	for i := range c.options.Entries {
		if _, err := c.StartEntry(fmt.Sprintf("entry-%d", i), c.options.Zones[i%len(c.options.Zones)].Name); err != nil {
			return err
		}
	}
	for _, z := range c.options.Zones {
		for i := range z.Agents {
			if err := c.startVM(fmt.Sprintf("%s-vm-%d", z.Name, i), z.Name); err != nil {
				return err
			}
		}
	}
	return nil
}

// serve starts an HTTP server for the named component, which runs until the cluster
// closes, and returns its address.
func (c *Cluster) serve(name string, h http.Handler) (string, error) {
	listener, err := c.options.Network.Listen(name)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: h}
	c.group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	c.group.Go(func() error {
		<-c.ctx.Done()
		return server.Close()
	})
	return listener.Addr().String(), nil
}

// Client returns a new HTTP client that dials as the named component. Its idle
// connections are closed when the cluster closes.
func (c *Cluster) Client(name string) *http.Client {
	transport := &http.Transport{DialContext: c.options.Network.Dial(name), MaxIdleConnsPerHost: 256, DisableCompression: true}
	context.AfterFunc(c.ctx, transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// StartEntry starts another entry in a zone and returns it at once, before it is
// ready.
func (c *Cluster) StartEntry(name, zone string) (*Entry, error) {
	listener, err := c.options.Network.Listen(name)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	newRouter := c.options.Router
	if newRouter == nil {
		newRouter = func(zone string, seed uint64) plantainrail.Router { return router.New(zone, seed) }
	}
	ctx, stop := context.WithCancel(c.ctx)
	e := &Entry{Address: listener.Addr().String(), stop: stop, ended: make(chan struct{})}
	e.Receiver = receiver.New(receiver.Options{
		Name: name, Zone: zone, Address: e.Address, Listener: listener,
		Log:    appender.New("http://"+c.LogAddress, c.Client(name)),
		Router: newRouter(zone, c.options.Seed+uint64(len(c.Entries))), UnlimitedQueues: c.options.UnlimitedQueues,
		PlaceTasks: c.options.PlaceTasks, DeclaredResourcesOnly: c.options.DeclaredResourcesOnly,
		Logger: c.options.Logger.With(zap.String("entry", name)),
	})
	c.mu.Lock()
	c.Entries = append(c.Entries, e)
	c.mu.Unlock()
	c.group.Go(func() error {
		defer close(e.ended)
		return e.Run(ctx)
	})
	return e, nil
}

// EntryList returns a copy of Entries.
func (c *Cluster) EntryList() []*Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.Entries)
}

// Kill stops an entry without draining it, as SIGKILL does, and waits for its end.
func (e *Entry) Kill() {
	e.stop()
	<-e.ended
}

// Stop drains an entry and then stops it, as a planned shutdown does. It stops the
// entry also if the drain fails, and returns the error of the drain.
func (e *Entry) Stop(ctx context.Context) error {
	err := e.Drain(ctx)
	e.Kill()
	return err
}

// startVM starts a worker runtime, a target and an agent, which run on one VM.
func (c *Cluster) startVM(name, zone string) error {
	v := &VM{Name: name, Zone: zone, Worker: worker.New(name, zone, c.options.Capacity)}
	v.Worker.SetProfiles(c.options.KindProfiles)
	listener, err := c.options.Network.Listen(name)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	v.agentListener = listener
	if v.workerAddress, err = c.serve(name+"-runtime", v.Worker); err != nil {
		return err
	}
	info := plantainrail.TargetInfo{
		Name: name + "-target", Incarnation: "1", Kinds: c.options.Kinds,
		Slots: c.options.Slots, Connections: c.options.Connections,
	}
	v.Target = responder.New(responder.Options{
		Info: info, AgentURL: "http://" + listener.Addr().String(), Client: c.Client(name),
		ServiceTime: c.options.ServiceTime, LeaveGrace: c.options.LeaveGrace, Slowdown: v.Worker.Slowdown,
	})
	if v.targetAddress, err = c.serve(info.Name, v.Target); err != nil {
		return err
	}
	v.Target.SetAddress(v.targetAddress)
	c.startAgent(v)
	c.VMs = append(c.VMs, v)
	c.group.Go(func() error { return v.Target.Run(c.ctx) })
	return nil
}

// startAgent starts an agent on the VM's current listener. The agent gets the
// addresses of all entries that were started before it, stopped ones included.
func (c *Cluster) startAgent(v *VM) {
	var entries []string
	for _, e := range c.Entries {
		entries = append(entries, e.Address)
	}
	ctx, stop := context.WithCancel(c.ctx)
	v.stopAgent = stop
	ended := make(chan struct{})
	v.agentEnded = ended
	dial := c.options.Network.Dial(v.Name)
	target := forwarder.New(dial)
	context.AfterFunc(ctx, target.Close)
	newAgent := agent.New(agent.Options{
		Name: v.Name, Zone: v.Zone, Capacity: c.options.Capacity, Entries: entries, MaxSessions: 16,
		Listener: v.agentListener, Dialer: c.Client(v.Name), Scheme: "ws", Target: target,
		Runtime: launcher.New("http://"+v.workerAddress, c.Client(v.Name)), DisableThrottling: c.options.DisableThrottling,
		Log: c.options.Logger.With(zap.String("agent", v.Name)),
	})
	v.agent.Store(newAgent)
	c.group.Go(func() error {
		defer close(ended)
		return newAgent.Run(ctx)
	})
}

// Agent returns the agent that was started last on the VM.
func (v *VM) Agent() *agent.Agent { return v.agent.Load() }

// TargetAddress returns the address of the VM's target.
func (v *VM) TargetAddress() string { return v.targetAddress }

// KillAgent stops a VM's agent without draining it, as SIGKILL does, and waits for
// its end. The target and the worker runtime keep running.
func (c *Cluster) KillAgent(v *VM) {
	v.stopAgent()
	<-v.agentEnded
}

// StartNewAgent starts a new agent on a VM whose agent was stopped by KillAgent. The
// new agent listens at another address, to which the target then announces itself.
func (c *Cluster) StartNewAgent(v *VM) error {
	listener, err := c.options.Network.Listen(v.Name)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	v.agentListener = listener
	v.Target.SetAgent("http://" + listener.Addr().String())
	c.startAgent(v)
	return nil
}

// Close stops all components, waits for them and returns the error of the component
// that failed first, if any. The cancellation of the context is not an error.
func (c *Cluster) Close() error {
	c.cancel()
	err := c.group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Tallies returns what the targets, the workers and the log have recorded so far.
func (c *Cluster) Tallies() Tallies {
	t := NewTallies()
	for _, v := range c.VMs {
		t.AddTarget(v.Target.Tally())
		t.AddWorker(v.Worker.Tally())
	}
	t.AddLog(c.Log.Records())
	return t
}
