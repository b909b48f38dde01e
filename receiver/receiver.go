// Package receiver implements the entry process: it sends callers' requests to
// targets through agents, serves the operators' HTTP API, and takes part in
// scheduling tasks. It reads and writes the log through follower, exchanges
// frames with agents through linker, and leaves the choice of targets and
// workers to router and placer. It holds no state that cannot be rebuilt from
// the log and the agents.
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
	"github.com/plantainrail/plantainrail/limiter"
	"github.com/plantainrail/plantainrail/linker"
	"github.com/plantainrail/plantainrail/parser"
	"github.com/plantainrail/plantainrail/placer"
	"github.com/plantainrail/plantainrail/reducer"
)

const (
	// headerReadTimeout bounds how long a caller may take to send the header of
	// a request.
	headerReadTimeout = 10 * time.Second
	// defaultDrainDelay is how long a draining entry keeps accepting requests,
	// so that the load balancer sees /readyz fail first.
	defaultDrainDelay = 2 * time.Second
)

// Options holds the settings and dependencies of an entry.
type Options struct {
	// Name identifies the entry among all entries. Two VMs that run at the same time
	// must not use the same name.
	Name string
	// Zone is the entry's availability zone.
	Zone string
	// Address is the IP address and port that agents dial.
	Address string
	// Listener serves callers, operators and agents.
	Listener net.Listener
	// Limiter bounds what callers take of the process, and encrypts the connections if they are to be. It may be nil; then
	// nothing is bounded.
	Limiter *limiter.Limiter
	// OperatorToken authorizes operators' calls. If it is empty, calls are
	// accepted from loopback addresses only.
	OperatorToken string
	// VerifyAgents rejects agent sessions without a verified client
	// certificate.
	VerifyAgents bool
	// Log is the log service that all entries share.
	Log plantainrail.Log
	// Router selects the target of each request. The entry calls it from one
	// goroutine at a time.
	Router plantainrail.Router
	// UnlimitedQueues lets requests queue at targets practically without bound.
	// Benchmarks use it for the naive baseline.
	UnlimitedQueues bool
	// DeclaredResourcesOnly makes tasks reserve the resources that the table declares, even
	// if their measured use differs. Benchmarks use it for the naive baseline.
	DeclaredResourcesOnly bool
	// PlaceTasks assigns workers to tasks; nil selects placer.Place.
	PlaceTasks placer.PlaceFunc
	Logger     *zap.Logger
	// DrainDelay overrides the default drain delay; 0 selects the default.
	DrainDelay time.Duration
}

// Receiver is an entry: the server for callers, operators and agents, and one
// of the schedulers of tasks.
type Receiver struct {
	Options

	// incarnation identifies this process among those that registered under the
	// entry's name.
	incarnation string
	follower    *follower.Follower
	server      *http.Server
	// draining is set when Drain begins, and drained is closed when it returns.
	draining      atomic.Bool
	drained       chan struct{}
	requestTraces *requestTraces
	metrics       *metrics
	burn          *burnMeter
	scheduler     *scheduler

	// mu guards the fields below. It may be locked while the log state is viewed,
	// but the state must not be viewed while mu is held.
	mu    sync.Mutex
	table activeTable
	// peers holds the newest session of each agent, by the agent's name.
	peers map[string]*peer
	// router is Options.Router. It is not safe for concurrent use, so it is
	// called only with mu held.
	router plantainrail.Router
	// pendingLeaves holds, for each leave order, the channels of the operators'
	// calls that wait for an agent to confirm it.
	pendingLeaves map[linker.LeaveOrder][]chan struct{}
}

// activeTable is the newest revision of the table of kinds that this entry has
// read from the log or received from an agent. Its revision is 0 until the
// entry has received a table.
type activeTable struct {
	plantainrail.Table
	// csv is the table as it was published.
	csv []byte
}

// New returns an entry with the given options. It serves nothing until Run is
// called.
func New(o Options) *Receiver {
	if o.DrainDelay == 0 {
		o.DrainDelay = defaultDrainDelay
	}
	r := &Receiver{
		Options: o, incarnation: follower.NewID(), follower: follower.New(o.Log, o.Logger),
		drained: make(chan struct{}), requestTraces: newRequestTraces(), metrics: newMetrics(o.Name), burn: newBurnMeter(time.Now()),
		peers: map[string]*peer{}, router: o.Router, pendingLeaves: map[linker.LeaveOrder][]chan struct{}{},
	}
	if r.PlaceTasks == nil {
		r.PlaceTasks = placer.Place
	}
	r.scheduler = newScheduler(r)
	r.server = &http.Server{Handler: r.handler(), ReadHeaderTimeout: headerReadTimeout}
	return r
}

// Run serves until ctx ends and then closes all connections at once. Call Drain
// first for a planned stop. It returns an error if the listener fails before ctx
// ends.
func (r *Receiver) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	listener := r.Limiter.LimitClients(r.server, r.Listener)
	group.Go(func() error {
		if err := r.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve")
		}
		return nil
	})
	group.Go(func() error { return r.follower.Run(ctx) })
	group.Go(func() error { return r.followTable(ctx) })
	group.Go(func() error { return r.maintainMembership(ctx) })
	group.Go(func() error { return r.scheduler.run(ctx) })
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

// Drain carries out a planned stop: the entry reports that it is not ready, accepts
// requests for the drain delay, and waits until every request has been answered.
// Feeds are ended between two events. Then Drain deregisters the entry, tells the
// agents that it sends no more work, and returns. If ctx ends before that, Drain stops
// waiting for the requests and returns an error. A second call waits for the first.
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
	case <-time.After(r.DrainDelay):
	case <-ctx.Done():
	}
	err := r.server.Shutdown(ctx)
	r.deregister(ctx)
	r.mu.Lock()
	for _, p := range r.peers {
		_ = p.session.Send(linker.Frame{GoAway: true})
	}
	r.mu.Unlock()
	r.Logger.Info("drain finished", zap.Error(err))
	return errors.Wrap(err, "drain")
}

// deregister proposes to the log that the entry has left. A failure is ignored:
// the other entries deregister an entry that does not repeat its registration.
func (r *Receiver) deregister(ctx context.Context) {
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

// followTable applies the table revisions that the log accepts, until ctx ends.
// It always returns nil.
func (r *Receiver) followTable(ctx context.Context) error {
	for {
		// The channel is taken before the state is read, so that no change between
		// the two is missed.
		changed := r.follower.NextChange()
		var latest plantainrail.TableRecord
		r.follower.View(func(s *reducer.State) { latest = s.Table.TableRecord })
		if err := r.setTable(latest.Revision, latest.CSV); err != nil {
			r.Logger.Error("accepted table revision could not be parsed", zap.Int64("revision", latest.Revision), zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// setTable makes a table revision the active one and sends it to every connected agent.
// It ignores a revision that is not newer than the active one, and returns an
// error if the table cannot be parsed.
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
	r.table = activeTable{table.WithRevision(revision), csv}
	for _, p := range r.peers {
		r.sendTable(p)
	}
	r.Logger.Info("table revision applied", zap.Int64("revision", revision))
	return nil
}

// Table returns the active table. Its revision is 0 until the entry has received a
// table.
func (r *Receiver) Table() plantainrail.Table {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Table
}

// TargetCount returns the number of targets that the connected agents report.
func (r *Receiver) TargetCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, p := range r.peers {
		n += len(p.loads)
	}
	return n
}

// SessionBytes returns the number of message bytes sent and received on the open
// agent sessions.
func (r *Receiver) SessionBytes() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var total int64
	for _, p := range r.peers {
		sent, received := p.session.ByteCounts()
		total += sent + received
	}
	return total
}

// Follower returns the follower that maintains the entry's view of the log.
func (r *Receiver) Follower() *follower.Follower { return r.follower }

// ready reports whether the entry has a table and is not draining.
func (r *Receiver) ready() bool {
	return !r.draining.Load() && r.Table().Revision > 0
}
