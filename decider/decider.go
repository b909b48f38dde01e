// Package decider is an entry's part in jobs of steps: it takes clients' calls,
// follows the store's records, and while it owns the jobs it carries out what
// the planner decides.
//
// One entry at a time owns all jobs. A claim in the store makes it the owner,
// and the claim's offset is its epoch: the store refuses progress from lower
// epochs, and so do the workers.
package decider

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/clocker"
	"github.com/plantainrail/plantainrail/planner"
)

// Topics of the store that entries write.
const (
	// jobsTopic holds what clients asked for; every entry writes it.
	jobsTopic = "jobs"
	// runsTopic holds how far jobs are; the owner writes it.
	runsTopic = "runs"
	// MembersTopic holds the entries' addresses and the owners' claims.
	MembersTopic = "members"
)

const (
	// Lease is how long a worker goes on without word from the owner. It is
	// below the most that workers allow, six seconds.
	Lease = 5500 * time.Millisecond
	// authority is how long an owner renews leases after its last confirmed
	// write. With the lease it outlasts outages of the store of eight seconds; a
	// longer one would keep a new owner waiting for VMs that were lost with the
	// earlier one.
	authority = 3 * time.Second
	// silenceLimit is how long the owner may write nothing before another entry
	// claims its place: four of its heartbeats.
	silenceLimit = 1200 * time.Millisecond
	// beatEvery is how often an owner with nothing to write shows that it lives.
	beatEvery = 300 * time.Millisecond
	// followPause lets records gather between two reads of an entry that does
	// not own the jobs; clients that ask for a state wait that much longer.
	followPause = 60 * time.Millisecond
	// retryPause is the pause after a failed call to the store.
	retryPause = 100 * time.Millisecond
	// freshLimit is the age of the newest read up to which a job that is not
	// known does not exist.
	freshLimit = 2500 * time.Millisecond
	// rulesLimit is the age of the newest read of the operators' topic up to
	// which a path without a queue is known to have none. It lies below the two
	// seconds in which a configuration has to be in force.
	rulesLimit = 1900 * time.Millisecond
	// farewell is how long a stopping entry goes on serving: the balancer takes
	// two health checks, a second apart, to send new connections elsewhere.
	farewell = 2500 * time.Millisecond
)

// Options are what an entry depends on.
type Options struct {
	Name string
	// Address is where agents reach the entry.
	Address string
	Store   plantainrail.Store
	// Relay serves other entries' calls to the store; SetPeers tells it of them.
	Relay    http.Handler
	SetPeers func(addresses []string)
	// Settle takes in a record of the operators' topic.
	Settle func(r plantainrail.KeyedRecord) (plantainrail.Settlement, bool, error)
	// OperatorTopic is the topic that Settle understands.
	OperatorTopic string
	// Peers, Clients and Health take connections from agents, clients and the
	// balancer; one that is nil is not served.
	Peers, Clients, Health net.Listener
	// ClientHandler and HealthHandler serve the front in the platform's words.
	ClientHandler, HealthHandler func(plantainrail.Front) http.Handler
	// Now tells the instant on a clock that goes on while the VM is suspended.
	Now    func() time.Time
	Logger *zap.Logger
}

// Decider is one entry.
type Decider struct {
	Options
	writer *writer

	mu         sync.Mutex
	book       *planner.Book
	settlement plantainrail.Settlement
	settled    bool
	// jobsNext, runsNext and membersNext are the offsets to read from next.
	jobsNext, runsNext, membersNext plantainrail.Offset
	// freshAt is when the newest read of the jobs was answered, ruledAt that of
	// the operators' topic.
	freshAt, ruledAt time.Time
	// entries holds the other entries' addresses by name.
	entries map[string]string
	// heardAt is when the owner was last seen to write, or when reading began
	// to work again.
	heardAt time.Time
	// moved is closed and replaced whenever the book has changed.
	moved    chan struct{}
	claim    claim
	resigned bool
	owner    *owner
	stopping bool
	// nonce tells this process's claims from an earlier one's.
	nonce string
	// servers are those of agents, clients and the balancer.
	servers [3]http.Server
}

// New returns an entry.
func New(o Options) *Decider {
	d := &Decider{
		Options: o, book: planner.NewBook(), moved: make(chan struct{}), entries: map[string]string{},
		jobsNext: unread, runsNext: unread, membersNext: unread, nonce: newNonce(),
	}
	d.writer = newWriter(o.Store, o.Logger)
	return d
}

// unread marks a topic of which nothing was read yet.
const unread plantainrail.Offset = -1

// Run serves until the context ends, and then until the requests in flight have
// their answers.
func (d *Decider) Run(ctx context.Context) error {
	d.Logger.Info("entry started", zap.String("entry", d.Name), zap.String("address", d.Address))
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, work := errgroup.WithContext(work)
	for _, follow := range []func(context.Context) error{
		d.writer.run, d.followOperators, d.followJobs, d.followRuns, d.followMembers, d.register, d.campaign,
	} {
		group.Go(func() error { return follow(work) })
	}
	group.Go(func() error {
		defer stop()
		return d.serveAll(ctx)
	})
	err := group.Wait()
	d.Logger.Info("entry stopped", zap.String("entry", d.Name), zap.Error(err))
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// serveAll serves agents, clients and the balancer until the context ends.
func (d *Decider) serveAll(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for i, s := range []struct {
		listener net.Listener
		handler  http.Handler
	}{
		{d.Peers, d.peerHandler()}, {d.Clients, d.ClientHandler(d)}, {d.Health, d.HealthHandler(d)},
	} {
		if s.listener == nil {
			continue
		}
		d.servers[i].Handler, d.servers[i].ReadHeaderTimeout = s.handler, headerLimit
		group.Go(func() error { return serve(ctx, &d.servers[i], s.listener) })
	}
	return group.Wait()
}

// headerLimit bounds how long a client may take to send a request's head.
const headerLimit = 10 * time.Second

// serve serves until the context ends, then lets requests in flight finish.
func serve(ctx context.Context, server *http.Server, listener net.Listener) error {
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err := <-ended:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownLimit)
	defer cancel()
	if err := server.Shutdown(closing); err != nil {
		return errors.Wrap(server.Close(), "close")
	}
	return ctx.Err()
}

// shutdownLimit bounds how long requests in flight may take at the end; with
// the farewell it stays below the platform's six seconds.
const shutdownLimit = 3 * time.Second

// Drain gives the jobs to another entry and serves until the balancer sends
// new connections elsewhere.
func (d *Decider) Drain(ctx context.Context) error {
	d.mu.Lock()
	d.stopping = true
	o := d.owner
	d.mu.Unlock()
	d.Logger.Info("entry stopping", zap.String("entry", d.Name), zap.Bool("owner", o != nil))
	// Clients open their next connections elsewhere.
	d.servers[1].SetKeepAlivesEnabled(false)
	if o != nil {
		o.resign()
	}
	return clocker.Sleep(ctx, farewell)
}

// wake tells all that wait for the book. The caller holds the lock.
func (d *Decider) wake() {
	close(d.moved)
	d.moved = make(chan struct{})
}
