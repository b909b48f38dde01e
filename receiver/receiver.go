// Package receiver is the entry process: it takes callers' requests and hands
// them to targets through agents, serves operators, and takes its part in
// placing tasks. It keeps nothing that the log and the agents cannot give back.
package receiver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/follower"
	"github.com/plantainrail/plantainrail/linker"
	"github.com/plantainrail/plantainrail/parser"
	"github.com/plantainrail/plantainrail/placer"
	"github.com/plantainrail/plantainrail/reducer"
)

const (
	// headerLimit bounds how long a caller may take to send a request's head.
	headerLimit = 10 * time.Second
	// drainNotice is how long a stopping entry goes on taking requests, so that
	// the balancer sees /readyz first.
	drainNotice = 2 * time.Second
)

// Options are an entry's settings and dependencies.
type Options struct {
	Name string
	Zone string
	// Address is what agents dial, as IP and port.
	Address string
	// Listener serves callers, operators and agents.
	Listener net.Listener
	// OperatorToken authorizes operators' calls; without one they are taken
	// from loopback alone.
	OperatorToken string
	// VerifyAgents refuses sessions without a verified client certificate.
	VerifyAgents bool
	Log          plantainrail.Log
	Router       plantainrail.Router
	// Unlimited lets requests wait at targets without bound. It serves the
	// naive version in measurements.
	Unlimited bool
	// Declared makes tasks reserve what the table declares, whatever they were
	// measured to use. It serves the naive version in measurements.
	Declared bool
	// Placing chooses workers for tasks; nil means placer.Place.
	Placing placer.Placing
	Logger  *zap.Logger
	// DrainNotice replaces the default notice; 0 keeps it.
	DrainNotice time.Duration
}

// Receiver is an entry.
type Receiver struct {
	Options

	incarnation string
	follower    *follower.Follower
	server      *http.Server
	draining    atomic.Bool
	drained     chan struct{}
	requests    *journal
	metrics     *metrics
	burn        *burnMeter
	sched       *scheduler

	mu     sync.Mutex
	table  tableInForce
	peers  map[string]*peer
	router plantainrail.Router
	// leaves holds the operators' calls that wait for an agent's word.
	leaves map[linker.LeaveOrder][]chan struct{}
}

// tableInForce is the newest revision that this entry has seen anywhere.
type tableInForce struct {
	plantainrail.Table
	csv []byte
}

// New returns a Receiver.
func New(o Options) *Receiver {
	if o.DrainNotice == 0 {
		o.DrainNotice = drainNotice
	}
	r := &Receiver{
		Options: o, incarnation: follower.NewID(), follower: follower.New(o.Log, o.Logger),
		drained: make(chan struct{}), requests: newJournal(), metrics: newMetrics(o.Name), burn: newBurnMeter(time.Now()),
		peers: map[string]*peer{}, router: o.Router, leaves: map[linker.LeaveOrder][]chan struct{}{},
	}
	if r.Placing == nil {
		r.Placing = placer.Place
	}
	r.sched = newScheduler(r)
	r.server = &http.Server{Handler: r.handler(), ReadHeaderTimeout: headerLimit}
	return r
}

// Run serves until the context ends, and then stops at once. Call Drain first
// for a planned stop.
func (r *Receiver) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := r.server.Serve(r.Listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve")
		}
		return nil
	})
	group.Go(func() error { return r.follower.Run(ctx) })
	group.Go(func() error { return r.followTable(ctx) })
	group.Go(func() error { return r.keepMembership(ctx) })
	group.Go(func() error { return r.sched.run(ctx) })
	group.Go(func() error {
		<-ctx.Done()
		r.closeSessions()
		return r.server.Close()
	})
	err := group.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Drain is a planned stop's first part: the entry reports that it is not ready,
// takes requests a little longer, and returns when every request has its
// answer. Feeds end between two events. A second call waits for the first.
func (r *Receiver) Drain(ctx context.Context) error {
	if r.draining.Swap(true) {
		select {
		case <-r.drained:
			return nil
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "drain")
		}
	}
	defer close(r.drained)
	r.Logger.Info("drain started")
	select {
	case <-time.After(r.DrainNotice):
	case <-ctx.Done():
	}
	err := r.server.Shutdown(ctx)
	r.unregister(ctx)
	r.mu.Lock()
	for _, p := range r.peers {
		_ = p.session.Send(linker.Frame{GoAway: true})
	}
	r.mu.Unlock()
	r.Logger.Info("drain finished", zap.Error(err))
	return errors.Wrap(err, "drain")
}

func (r *Receiver) unregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	record := r.registration()
	record.Left = true
	_, _ = r.follower.Propose(ctx, plantainrail.Record{Type: plantainrail.RecordEntry, Entry: &record})
}

func (r *Receiver) registration() plantainrail.EntryRecord {
	return plantainrail.EntryRecord{Name: r.Name, Incarnation: r.incarnation, Address: r.Address, Zone: r.Zone}
}

func (r *Receiver) closeSessions() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.peers {
		p.session.Close()
	}
}

// followTable puts each accepted revision in force.
func (r *Receiver) followTable(ctx context.Context) error {
	for {
		changed := r.follower.Changed()
		var latest plantainrail.TableRecord
		r.follower.View(func(s *reducer.State) { latest = s.Table.TableRecord })
		if err := r.setTable(latest.Revision, latest.CSV); err != nil {
			r.Logger.Error("accepted table not read", zap.Int64("revision", latest.Revision), zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// setTable puts a revision in force here and at every agent, unless a later one
// is in force already.
func (r *Receiver) setTable(revision int64, csv []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision <= r.table.Revision {
		return nil
	}
	table, err := parser.Parse(csv)
	if err != nil {
		return err
	}
	r.table = tableInForce{table.WithRevision(revision), csv}
	for _, p := range r.peers {
		r.sendTable(p)
	}
	r.Logger.Info("table in force", zap.Int64("revision", revision))
	return nil
}

// Table returns the table in force.
func (r *Receiver) Table() plantainrail.Table {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Table
}

// TargetCount returns the number of targets that have announced themselves.
func (r *Receiver) TargetCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, p := range r.peers {
		n += len(p.loads)
	}
	return n
}

// Traffic returns the bytes of messages on the open sessions, both ways.
func (r *Receiver) Traffic() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var total int64
	for _, p := range r.peers {
		sent, received := p.session.Traffic()
		total += sent + received
	}
	return total
}

// Follower returns the entry's view of the log.
func (r *Receiver) Follower() *follower.Follower { return r.follower }

// ready tells whether requests can be served.
func (r *Receiver) ready() bool {
	return !r.draining.Load() && r.Table().Revision > 0
}
