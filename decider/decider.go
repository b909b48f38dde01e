// Package decider implements an entry's part in the scheduling of jobs: it
// handles client calls, follows the topics of the store and, while the entry
// owns the jobs, stores the decisions of package planner and sends them to the
// workers' agents (package minder) over the sessions of package linker. It
// performs the I/O that the planner does without.
//
// One entry at a time owns all jobs. An entry becomes the owner by appending an
// ownership claim to the store, and the claim's offset determines its epoch. The
// store rejects progress from lower epochs, and the agents and workers reject
// orders from them.
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
	"github.com/plantainrail/plantainrail/limiter"
	"github.com/plantainrail/plantainrail/linker"
	"github.com/plantainrail/plantainrail/planner"
)

// Topics of the store that entries write to.
const (
	// jobsTopic holds job submissions and cancellations; every entry writes to it.
	jobsTopic = "jobs"
	// progressTopic holds the progress of jobs; only the owner writes to it.
	progressTopic = "runs"
	// MembersTopic holds the entries' addresses and the ownership claims.
	MembersTopic = "members"
)

const (
	// LeaseDuration is how long a worker keeps its runs without a renewal by the
	// owner. It is below the maximum that workers allow, six seconds.
	LeaseDuration = 5500 * time.Millisecond
	// renewalWindow is how long an owner renews leases after it sent its last
	// confirmed write. Together with the lease it covers store outages of eight
	// seconds. A longer window would make a new owner wait longer before it replaces
	// the runs of VMs that were lost together with the previous owner.
	renewalWindow = 3 * time.Second
	// ownerTimeout is how long the owner may write nothing before another entry
	// claims ownership: four heartbeats.
	ownerTimeout = 1200 * time.Millisecond
	// heartbeatInterval is how often an owner with nothing else to write appends a
	// heartbeat.
	heartbeatInterval = 300 * time.Millisecond
	// followDelay is the delay after a read of progress that returned records, on
	// an entry that is not the owner, so that the next read returns more records
	// at once. It delays responses to clients that ask for a job's state by as
	// much.
	followDelay = 60 * time.Millisecond
	// retryDelay is the delay after a failed call to the store.
	retryDelay = 100 * time.Millisecond
	// maxJobsAge bounds the age (see view.asOf) of the view of the jobs topic of an entry
	// that follows it, and of the operators' topic of any other. The entry is ready and accepts
	// jobs only while that view is younger, and an entry that follows the jobs reports an
	// unknown one as nonexistent only then.
	maxJobsAge = 2500 * time.Millisecond
	// maxConfigurationAge bounds the age of the view of the operators'
	// topic. The entry reports that a path has no queue only while that view is
	// younger. The bound is below the two seconds within which a changed
	// configuration must be in force.
	maxConfigurationAge = 1900 * time.Millisecond
	// drainDuration is how long a stopping entry keeps serving: the load balancer
	// needs two health checks, one second apart, to send new connections elsewhere.
	drainDuration = 2500 * time.Millisecond
)

// Options are the settings and dependencies of an entry.
type Options struct {
	Name string
	// Address is the host and port at which agents and other entries reach the
	// entry.
	Address string
	Store   plantainrail.Store
	// StoreLimits are the sizes that the store accepts.
	StoreLimits plantainrail.StoreLimits
	// Relay serves calls to the store that other entries relay through this one.
	// SetPeers sets the addresses of the entries that this one can relay through.
	Relay    http.Handler
	SetPeers func(addresses []string)
	// PeerClient makes the calls to other entries.
	PeerClient *http.Client
	// Zone is the entry's availability zone, and Cores its share of processors.
	Zone  string
	Cores float64
	// StatusDuration is how long clients may ask for the state of an ended job; 0 stands for
	// defaultStatusDuration.
	StatusDuration time.Duration
	// EvacuationBound is how long after an evacuation was stored tasks may still start in the
	// availability zone, and CancelBound how long after a job's cancellation its tasks may; 0
	// stands for defaultEvacuationBound and defaultCancelBound.
	EvacuationBound, CancelBound time.Duration
	// Trim drops the records of a topic before the offset, but for the newest of each key. It may
	// be nil; then a full store gets room only as records expire or are deleted.
	Trim func(ctx context.Context, topic string, before plantainrail.Offset) error
	// ReportStoreBytes, if set, gets an estimate of the bytes in the store every
	// storeWatchInterval.
	ReportStoreBytes func(bytes int64)
	// ApplyOperatorRecord applies a record of the operators' topic. It returns the
	// resulting configuration and whether the record has changed it.
	ApplyOperatorRecord func(r plantainrail.KeyedRecord) (plantainrail.OperatorConfig, bool, error)
	// OperatorTopic is the topic whose records ApplyOperatorRecord decodes.
	OperatorTopic string
	// Peers accepts connections from agents and other entries, Clients from
	// clients, and Health from the load balancer. Any of them may be nil; then
	// nothing is served there.
	Peers, Clients, Health net.Listener
	// ClientHandler and HealthHandler return the handlers that serve the job
	// service through the platform's HTTP API.
	ClientHandler, HealthHandler func(plantainrail.JobService) http.Handler
	// Limiter bounds what clients and health checks take, and gets the operators' limits. It may be
	// nil; then nothing is bounded.
	Limiter *limiter.Limiter
	// Now returns the time of a clock that keeps running while the VM is suspended.
	Now    func() time.Time
	Logger *zap.Logger
}

// Decider is an entry: it serves clients and agents and owns the jobs when its
// claim is the newest.
type Decider struct {
	Options
	writer *writer
	// currentReads holds an element while a call reads the jobs for awaitCurrentJob. Others share what it has read.
	currentReads chan struct{}

	// mu guards the fields up to stopping. It is locked before the owner's mu where
	// both are held.
	mu sync.Mutex
	// catalog holds the jobs as read from the store. It is empty on an entry that does
	// not follow them (see follows).
	catalog *planner.Catalog
	// replicas holds the newest claim of each availability zone. replicasRead is set
	// once the claims were read.
	replicas     map[string]replicaClaim
	replicasRead bool
	// pending holds the numbers of pending jobs by queue, as the zone's replica reported
	// them at pendingReadAt.
	pending       map[string]int
	pendingReadAt time.Time
	// backlog is the newest that the entry knows.
	backlog backlog
	// configuration is the operators' current configuration; configured is set once
	// one was read.
	configuration plantainrail.OperatorConfig
	configured    bool
	// operators, jobs, progress, members and replicaClaims are the views of the topics.
	operators, jobs, progress, members, replicaClaims *view
	// entries maps the names of the other entries to their addresses.
	entries map[string]string
	// ownerSeenAt is when a claim or another write of the owner was last read, when
	// reads of progress started to succeed again, or when this entry's own
	// ownership ended. It is zero after a failed read of progress.
	ownerSeenAt time.Time
	// stateChanged is closed and replaced whenever the catalog, the configuration, the
	// replicas or the owner may have changed.
	stateChanged chan struct{}
	// claim is the newest claim that was read; its epoch is 0 if there is none. earlierClaim is the
	// one before it.
	claim, earlierClaim claim
	// tenure is what the newest heartbeat tells that was read.
	tenure tenure
	// owner is set while this entry owns the jobs, from when its own claim is read
	// until the ownership is released.
	owner *owner
	// partSlots is that of the agents' sessions; see linker.Session.ShareParts.
	partSlots chan struct{}
	storeSize storeSize
	// stopping is set once the entry drains; it claims nothing from then on.
	stopping bool
	// nonce distinguishes this process's claims from those of earlier processes of
	// the same entry.
	nonce string
	// startedAt is when Run was called.
	startedAt time.Time
	// servers are the HTTP servers for agents and other entries, for clients and for
	// the load balancer, in this order.
	servers [3]http.Server
}

// New returns an entry with the given options. The entry does nothing until Run
// is called.
func New(o Options) *Decider {
	d := &Decider{
		Options: o, catalog: planner.NewCatalog(), stateChanged: make(chan struct{}), entries: map[string]string{}, replicas: map[string]replicaClaim{},
		nonce: newNonce(), currentReads: make(chan struct{}, 1), partSlots: make(chan struct{}, linker.PartSlots),
	}
	d.newViews()
	d.writer = newWriter(o.Store, o.StoreLimits, o.Logger)
	return d
}

// Run serves until the context ends, and then waits up to shutdownTimeout for requests
// in flight. It returns nil then, or the error of closing a server. If serving fails
// earlier, Run ends early and returns the error. If a background loop fails, the other
// loops stop, but serving goes on: Run returns the error only after the context has
// ended.
func (d *Decider) Run(ctx context.Context) error {
	d.startedAt = d.Now()
	d.Logger.Info("entry started", zap.String("entry", d.Name), zap.String("address", d.Address))
	// The topics are followed until serving has ended, since requests in flight need
	// them.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, background := errgroup.WithContext(background)
	for _, v := range d.views() {
		group.Go(func() error { return d.follow(background, v) })
	}
	for _, loop := range []func(context.Context) error{d.writer.run, d.register, d.campaign, d.maintainReplica, d.watchStore} {
		group.Go(func() error { return loop(background) })
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

// serveAll serves agents, other entries, clients and the load balancer until the
// context ends or one of the servers fails, which stops the others. It returns the
// first error of a server; see serve.
func (d *Decider) serveAll(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for i, s := range []struct {
		listener net.Listener
		handler  http.Handler
		limit    func(*http.Server, net.Listener) net.Listener
	}{
		{d.Peers, d.peerHandler(), nil},
		{d.Clients, d.ClientHandler(d), d.Limiter.LimitClients},
		{d.Health, d.HealthHandler(d), d.Limiter.LimitHealthChecks},
	} {
		if s.listener == nil {
			continue
		}
		d.servers[i].Handler, d.servers[i].ReadHeaderTimeout = s.handler, headerTimeout
		if s.limit != nil {
			s.listener = s.limit(&d.servers[i], s.listener)
		}
		group.Go(func() error { return serve(ctx, &d.servers[i], s.listener) })
	}
	return group.Wait()
}

// headerTimeout bounds how long a client may take to send a request's header.
const headerTimeout = 10 * time.Second

// serve serves a listener until the context ends, and then lets requests in flight
// finish for up to shutdownTimeout. It returns the context's error if they all do.
// Otherwise it closes their connections and returns the error of that, which is nil if
// closing succeeds. If the listener fails earlier, it returns that error.
func serve(ctx context.Context, server *http.Server, listener net.Listener) error {
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err := <-ended:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(closing); err != nil {
		return errors.Wrap(server.Close(), "close")
	}
	return ctx.Err()
}

// shutdownTimeout bounds how long requests in flight may take at shutdown.
// Together with drainDuration it stays below the platform's limit of six
// seconds.
const shutdownTimeout = 3 * time.Second

// Drain gives up the ownership, if the entry has it, reports the entry as not
// ready, and returns after drainDuration, when the load balancer sends new
// connections elsewhere. The entry keeps serving. If the context ends first, Drain
// returns its error.
func (d *Decider) Drain(ctx context.Context) error {
	d.mu.Lock()
	d.stopping = true
	o, replica := d.owner, d.isReplica()
	d.mu.Unlock()
	d.Logger.Info("entry stopping", zap.String("entry", d.Name), zap.Bool("owner", o != nil))
	// This is the server for clients. Without keep-alive, clients open new
	// connections, which the load balancer sends to other entries.
	d.servers[1].SetKeepAlivesEnabled(false)
	if o != nil {
		o.resign()
	}
	if replica {
		d.resignReplica(ctx)
	}
	return clocker.Sleep(ctx, drainDuration)
}

// broadcastChange wakes all goroutines that wait on stateChanged. The caller holds
// the lock.
func (d *Decider) broadcastChange() {
	close(d.stateChanged)
	d.stateChanged = make(chan struct{})
}
