// Package assembler puts a small cluster of entries, agents and stand-ins
// together in one process, for the dev command, measurements and tests. The
// parts meet over a Network, which is TCP on loopback or one in memory.
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

// Network is how the parts of a cluster meet. From names the part that dials,
// so that a network can cut it off.
type Network interface {
	Listen(name string) (net.Listener, error)
	Dial(from string) func(ctx context.Context, network, address string) (net.Conn, error)
}

// Loopback is TCP on 127.0.0.1 with ports that the system chooses.
type Loopback struct{}

// Listen implements Network.
func (Loopback) Listen(string) (net.Listener, error) {
	return net.Listen("tcp", "127.0.0.1:0")
}

// Dial implements Network.
func (Loopback) Dial(string) func(context.Context, string, string) (net.Conn, error) {
	return (&net.Dialer{Timeout: time.Second}).DialContext
}

// Options describe a cluster.
type Options struct {
	Network Network
	Entries int
	// Zones holds the number of agents in each availability zone.
	Zones []Zone
	Kinds []string
	// Slots and Connections of each target.
	Slots       int
	Connections int
	Capacity    plantainrail.Resources
	// Retention bounds the log's records; 0 keeps all.
	Retention int
	Service   func(*http.Request) time.Duration
	// Router builds each entry's router; nil means the product's.
	Router    func(zone string, seed uint64) plantainrail.Router
	Unlimited bool
	// Placing chooses workers for tasks; nil means the product's.
	Placing placer.Placing
	// Declared makes tasks reserve what the table declares.
	Declared bool
	// Unthrottled leaves tasks all of their processors.
	Unthrottled bool
	// Natures are what tasks of each kind are truly like.
	Natures map[string]worker.Nature
	Seed    uint64
	Logger  *zap.Logger
	Grace   time.Duration
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
	mu      sync.Mutex

	Log        *recorder.Recorder
	LogAddress string
	// Entries grows by StartEntry; other goroutines take a copy by EntryList.
	Entries []*Entry
	VMs     []*VM
}

// Entry is one entry of a cluster.
type Entry struct {
	*receiver.Receiver
	Address string
	stop    context.CancelFunc
	ended   chan struct{}
}

// VM is one VM with its agent, target and worker runtime.
type VM struct {
	Name   string
	Zone   string
	Target *responder.Responder
	Worker *worker.Worker

	agent     atomic.Pointer[agent.Agent]
	listener  net.Listener
	targetAt  string
	workerAt  string
	stopAgent context.CancelFunc
	ended     chan struct{}
}

// New starts a cluster. Close ends it.
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

func (c *Cluster) start() error {
	c.Log = recorder.New(c.options.Retention)
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

// serve serves a handler until the cluster ends.
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

// Client returns an HTTP client that dials as the named part.
func (c *Cluster) Client(name string) *http.Client {
	transport := &http.Transport{DialContext: c.options.Network.Dial(name), MaxIdleConnsPerHost: 256, DisableCompression: true}
	context.AfterFunc(c.ctx, transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// StartEntry adds an entry.
func (c *Cluster) StartEntry(name, zone string) (*Entry, error) {
	listener, err := c.options.Network.Listen(name)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	build := c.options.Router
	if build == nil {
		build = func(zone string, seed uint64) plantainrail.Router { return router.New(zone, seed) }
	}
	ctx, stop := context.WithCancel(c.ctx)
	e := &Entry{Address: listener.Addr().String(), stop: stop, ended: make(chan struct{})}
	e.Receiver = receiver.New(receiver.Options{
		Name: name, Zone: zone, Address: e.Address, Listener: listener,
		Log:    appender.New("http://"+c.LogAddress, c.Client(name)),
		Router: build(zone, c.options.Seed+uint64(len(c.Entries))), Unlimited: c.options.Unlimited,
		Placing: c.options.Placing, Declared: c.options.Declared,
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

// EntryList returns a copy of the entries that were ever started.
func (c *Cluster) EntryList() []*Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.Entries)
}

// Kill ends an entry at once, as SIGKILL does.
func (e *Entry) Kill() {
	e.stop()
	<-e.ended
}

// Stop ends an entry as a planned stop does.
func (e *Entry) Stop(ctx context.Context) error {
	err := e.Drain(ctx)
	e.Kill()
	return err
}

func (c *Cluster) startVM(name, zone string) error {
	v := &VM{Name: name, Zone: zone, Worker: worker.New(name, zone, c.options.Capacity)}
	v.Worker.SetNatures(c.options.Natures)
	listener, err := c.options.Network.Listen(name)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	v.listener = listener
	if v.workerAt, err = c.serve(name+"-runtime", v.Worker); err != nil {
		return err
	}
	info := plantainrail.TargetInfo{
		Name: name + "-target", Incarnation: "1", Kinds: c.options.Kinds,
		Slots: c.options.Slots, Connections: c.options.Connections,
	}
	v.Target = responder.New(responder.Options{
		Info: info, Agent: "http://" + listener.Addr().String(), Client: c.Client(name),
		Service: c.options.Service, Grace: c.options.Grace, Slowdown: v.Worker.Slowdown,
	})
	if v.targetAt, err = c.serve(info.Name, v.Target); err != nil {
		return err
	}
	v.Target.SetAddress(v.targetAt)
	c.startAgent(v)
	c.VMs = append(c.VMs, v)
	c.group.Go(func() error { return v.Target.Run(c.ctx) })
	return nil
}

func (c *Cluster) startAgent(v *VM) {
	var entries []string
	for _, e := range c.Entries {
		entries = append(entries, e.Address)
	}
	ctx, stop := context.WithCancel(c.ctx)
	v.stopAgent = stop
	ended := make(chan struct{})
	v.ended = ended
	dial := c.options.Network.Dial(v.Name)
	target := forwarder.New(dial)
	context.AfterFunc(ctx, target.Close)
	running := agent.New(agent.Options{
		Name: v.Name, Zone: v.Zone, Capacity: c.options.Capacity, Entries: entries, MaxSessions: 16,
		Listener: v.listener, Dialer: c.Client(v.Name), Scheme: "ws", Target: target,
		Runtime: launcher.New("http://"+v.workerAt, c.Client(v.Name)), Unthrottled: c.options.Unthrottled,
		Log: c.options.Logger.With(zap.String("agent", v.Name)),
	})
	v.agent.Store(running)
	c.group.Go(func() error {
		defer close(ended)
		return running.Run(ctx)
	})
}

// Agent returns the VM's agent, the newest one after a restart.
func (v *VM) Agent() *agent.Agent { return v.agent.Load() }

// TargetAddress returns the address of the VM's target.
func (v *VM) TargetAddress() string { return v.targetAt }

// KillAgent ends a VM's agent at once, as SIGKILL does. The target and the
// runtime go on.
func (c *Cluster) KillAgent(v *VM) {
	v.stopAgent()
	<-v.ended
}

// RestartAgent starts a VM's agent anew after KillAgent.
func (c *Cluster) RestartAgent(v *VM) error {
	listener, err := c.options.Network.Listen(v.Name)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	v.listener = listener
	v.Target.SetAgent("http://" + listener.Addr().String())
	c.startAgent(v)
	return nil
}

// Close ends every part and waits for them.
func (c *Cluster) Close() error {
	c.cancel()
	err := c.group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Tallies gathers what the stand-ins saw.
func (c *Cluster) Tallies() Tallies {
	t := NewTallies()
	for _, v := range c.VMs {
		t.AddTarget(v.Target.Tally())
		t.AddWorker(v.Worker.Tally())
	}
	t.AddLog(c.Log.Records())
	return t
}
