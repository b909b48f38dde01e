// Package minder implements the agent that runs beside one worker and connects
// it to the owner of the jobs, which is in package decider. The agent starts and
// stops the worker's runs as the owner orders, renews the worker's lease while it
// is in contact with the owner, and reports the ends of runs. It reads the store,
// calls the worker and exchanges frames with the owner over sessions of package linker;
// package pacer decides for it when fillers are paused.
package minder

import (
	"context"
	"net"
	"net/http"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/clocker"
	"github.com/plantainrail/plantainrail/limiter"
	"github.com/plantainrail/plantainrail/linker"
	"github.com/plantainrail/plantainrail/pacer"
)

// Options are the settings and dependencies of an agent.
type Options struct {
	Node   string
	Worker plantainrail.Worker
	Store  plantainrail.Store
	// MembersTopic is the topic of the store that holds the addresses of the
	// entries and the ownership claims. ParseMember decodes its records. It returns
	// the address of an entry or, with owner set, the address and epoch of an owner.
	// For a resignation it returns an empty address, and owner is not set.
	MembersTopic string
	ParseMember  func(plantainrail.KeyedRecord) (address string, owner bool, epoch int64, err error)
	// Dial opens a session with the entry at an address. If that entry does not own
	// the jobs, Dial returns an error and what the entry knows about the owner.
	Dial func(ctx context.Context, address string) (session *linker.Session, owner linker.Owner, err error)
	// Lease is how long the worker keeps its runs after the agent sent the last
	// renewal request that the owner has granted.
	Lease time.Duration
	// Heartbeats accepts the connections over which the worker sends its
	// heartbeats. HeartbeatHandler returns the handler that decodes them and calls
	// the registry.
	Heartbeats       net.Listener
	HeartbeatHandler func(plantainrail.Registry) http.Handler
	// Limiter bounds what the clients of Heartbeats take. It may be nil; then nothing is bounded.
	Limiter *limiter.Limiter
	// HeartbeatInterval is the approximate time between two heartbeats.
	HeartbeatInterval time.Duration
	// Now returns the time of a clock that keeps running while the VM is suspended.
	Now    func() time.Time
	Logger *zap.Logger
	// ReportTimeOver receives the total time for which services have been over their latency
	// objectives while fillers worked, summed over the services. It may be nil.
	ReportTimeOver func(time.Duration)
}

// Minder is the agent of one worker.
type Minder struct {
	Options

	mu sync.Mutex
	// vm is the worker's description in its newest heartbeat, except that Draining is
	// also set when the worker deregisters. heartbeatAt is when that heartbeat arrived; zero
	// if the incarnation has sent none yet, so that the description is that of an earlier
	// one. heartbeats tells which heartbeats of the incarnation count.
	vm          plantainrail.VM
	heartbeatAt time.Time
	heartbeats  heartbeatOrder
	// confirmations is the number of heartbeats that are being confirmed.
	confirmations int
	// unreachable is set after maxRenewLeaseFailures failed RenewLease calls in a row,
	// until one succeeds.
	unreachable bool
	// crashes tells which runs the worker was starting when it broke off its calls.
	crashes crashWatch
	// clearingEarlierRuns is set while a new incarnation may still receive starts
	// that were meant for the previous one. While it is set, nothing is reported to
	// the owner.
	clearingEarlierRuns bool
	// leaving is set once the worker has announced its end by deregistering, and
	// departed once it has ended. departureAcked is set once the owner has acknowledged
	// the report that the worker has departed.
	leaving, departed, departureAcked bool
	// departureDue is when the owner should have acknowledged the departure at the latest.
	departureDue time.Time
	// epoch is the highest epoch of an owner that has sent orders.
	epoch int64
	// ordersComplete is set once the owner has sent the complete list of the runs that
	// it wants in this session.
	ordersComplete bool
	// listed holds the parts of the next complete list that have arrived in this session.
	listed []plantainrail.RunOrder
	// orderedRuns holds the runs that the owner has ordered to start or to stop. A run is
	// removed when the worker lists its end or its refusal is reported. A run that is
	// being stopped stays in the map until then.
	orderedRuns map[plantainrail.RunRef]*run
	// lateStarts holds the runs whose starts the worker may still execute, those of earlier
	// incarnations and those that were refused since included.
	lateStarts lateStarts
	// stopping holds the runs that are being stopped.
	stopping map[plantainrail.RunRef]bool
	// running holds the runs that the worker listed in its last reply to RenewLease.
	running map[plantainrail.RunRef]plantainrail.RunStatus
	// ends are the run ends that the worker lists and that the owner has not yet
	// acknowledged as stored. acknowledged is the number of the newest run end that
	// the owner has acknowledged.
	ends         []plantainrail.RunEnd
	acknowledged int64
	// reported is the number of the newest run end that was reported in this
	// session.
	reported int64
	// leaseUntil is when the lease granted by the owner's last renewal ends.
	leaseUntil time.Time
	// polls counts the RenewLease calls; listedPoll is the last one that the worker has
	// replied to. endPoll ends the present one early.
	polls, listedPoll uint64
	endPoll           context.CancelFunc
	// pollFailed is set while the newest RenewLease call has failed. The worker may have
	// restarted.
	pollFailed bool
	// unconfirmedPoll is the number of the RenewLease call at the time of the newest start after which
	// the worker may have restarted; 0 if there was none. The next start waits for the reply to a
	// later call.
	unconfirmedPoll uint64
	// endsOmitted is set if the worker's last reply may have left out ends for their number.
	endsOmitted bool
	// runsUnreadable is set if the worker's last reply has rows of running runs that cannot be decoded.
	runsUnreadable bool
	// listingWanted is set while the next RenewLease call must not wait for a run end.
	listingWanted bool
	// runMissing is set while a run that has begun may be missing; see checkMissing.
	runMissing bool
	clock      workerClock
	starts     startSlots
	pacing     pacing
	// timeOver is what ReportTimeOver receives.
	timeOver time.Duration
	// session is the current session with the owner; nil if there is none. Then the agent seeks the owner
	// from seekAt on.
	session *linker.Session
	seekAt  time.Time
	// sessionAddress is the address of the entry at the other end of the session, and sessionEpoch the epoch of its
	// ownership; 0 if it has told neither that nor any orders yet.
	sessionAddress string
	sessionEpoch   int64
	// found is a session with an entry that owns the jobs, which replaces the current one; nil if there is none.
	found *dialedSession
	// renewalSequence is the sequence number of the last renewal request.
	renewalSequence uint64
	// renewalSentAt holds the send times of the session's last maxRenewals renewal requests, by
	// sequence number.
	renewalSentAt map[uint64]time.Time
	// dialedAt is when the agent began to open the current session.
	dialedAt time.Time
	// reportedStatus is the status of the runs at the last renewal request of this
	// session.
	reportedStatus map[plantainrail.RunRef]plantainrail.RunStatus

	// changed receives a value when the worker's incarnation, the session, the
	// complete list of wanted runs or the acknowledged ends change; pollWorker
	// waits for it.
	changed chan struct{}
	entries directory
	// endDial ends the newest attempt to open a session, if it is under way.
	endDial context.CancelFunc
	// endLongRead ends a read of the members topic that may last for membersWait; nil if there is
	// none.
	endLongRead context.CancelFunc
	// stopped is closed when the agent stops.
	stopped chan struct{}
}

// run is a run that the owner has ordered. The pointer to it identifies one order:
// startRun gives up once orderedRuns holds another pointer, or none, for the same
// reference.
type run struct {
	order plantainrail.RunOrder
	// orderedAt is when the order arrived, and orderedPoll the number of the RenewLease call
	// at that time.
	orderedAt   time.Time
	orderedPoll uint64
	// startUntil is when the order expires: from then on the run is not started. It is zero if
	// the owner has set no limit.
	startUntil time.Time
	// reordered is set for a run of a complete list, which may have been ordered before.
	reordered bool
	// holdsRoom is set once the run counts against the worker's capacity.
	holdsRoom bool
	// begun is set once the worker has accepted or listed the run. Then begunPoll is the number
	// of the RenewLease call at that time, and missingSince the time of the first later reply
	// that shows neither the run nor its end; zero if there is none.
	// begunAt is when that was first known; it stays zero for a run that may have begun before
	// it was ordered.
	begun        bool
	begunAt      time.Time
	begunPoll    uint64
	missingSince time.Time
	// stopConfirmed is set while the worker has confirmed a stop and still lists the run.
	stopConfirmed bool
	// sizeUnknown is set for a run that the owner has only ordered to stop.
	sizeUnknown bool
}

// workerClock relates the worker's clock to the agent's.
type workerClock struct {
	// reading is the worker's clock in milliseconds at the time readAt.
	reading int64
	readAt  time.Time
}

// at returns the reading of the worker's clock at an instant, in milliseconds. The
// result is too low by the transmission time of the worker's reply, which only makes a
// lease shorter. If the worker's clock runs slowly, a lease gets longer, but by no more
// than the clock drift that the owner allows for.
func (c workerClock) at(instant time.Time) int64 {
	return c.reading + instant.Sub(c.readAt).Milliseconds()
}

// New returns an agent with the given options. Run starts it.
func New(o Options) *Minder {
	return &Minder{
		Options: o, orderedRuns: map[plantainrail.RunRef]*run{}, stopping: map[plantainrail.RunRef]bool{},
		running: map[plantainrail.RunRef]plantainrail.RunStatus{}, renewalSentAt: map[uint64]time.Time{},
		changed: make(chan struct{}, 1), stopped: make(chan struct{}), entries: newDirectory(), pacing: newPacing(), starts: newStartSlots(),
		lateStarts: lateStarts{},
	}
}

// Run serves until the context ends, and then returns nil. It returns an error if
// the agent can no longer serve heartbeats.
func (m *Minder) Run(ctx context.Context) error {
	m.Logger.Info("agent started", zap.String("node", m.Node))
	defer close(m.stopped)
	group, ctx := errgroup.WithContext(ctx)
	server := &http.Server{Handler: m.HeartbeatHandler(m), ReadHeaderTimeout: headerTimeout}
	heartbeats := m.Limiter.LimitClients(server, m.Heartbeats)
	group.Go(func() error { return errors.Wrap(server.Serve(heartbeats), "serve heartbeats") })
	group.Go(func() error {
		<-ctx.Done()
		return errors.Wrap(server.Close(), "close")
	})
	group.Go(func() error { return m.pollWorker(ctx) })
	group.Go(func() error { return m.followMembers(ctx) })
	group.Go(func() error { return m.maintainSession(ctx) })
	group.Go(func() error { return m.renewPeriodically(ctx) })
	group.Go(func() error { return m.seekOtherOwner(ctx) })
	err := group.Wait()
	m.Logger.Info("agent stopped", zap.String("node", m.Node), zap.Error(err))
	if ctx.Err() != nil && (errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed)) {
		return nil
	}
	return err
}

// headerTimeout bounds how long the worker may take to send a heartbeat's
// request header.
const headerTimeout = 10 * time.Second

// drainPollInterval is how often a stopping agent checks whether it may exit.
const drainPollInterval = 50 * time.Millisecond

// Drain is called before the process stops. If the worker has deregistered, Drain
// waits until the owner has acknowledged that the worker has ended, and returns an
// error if the context ends first. Otherwise it returns nil at once, since the next
// process of the agent takes over the worker's runs.
func (m *Minder) Drain(ctx context.Context) error {
	m.Logger.Info("agent stopping", zap.String("node", m.Node))
	for ctx.Err() == nil {
		m.mu.Lock()
		awaitingOwner := m.leaving && !m.departureAcked
		m.mu.Unlock()
		if !awaitingOwner {
			return nil
		}
		_ = clocker.Sleep(ctx, drainPollInterval)
	}
	return errors.New("agent stopped before the owner acknowledged that the worker has ended")
}

// Heartbeat implements plantainrail.Registry. A heartbeat that names another incarnation
// than the current one is only a claim, which the worker has to confirm: it may come from
// another writer, or may have been sent by an earlier incarnation.
func (m *Minder) Heartbeat(h plantainrail.Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	claimed := h.VM.Incarnation
	switch {
	case claimed == m.vm.Incarnation:
		m.applyHeartbeat(h)
	case m.confirmations < maxConfirmations:
		m.confirmations++
		go m.confirm(h)
	default:
		m.Logger.Warn("heartbeat not confirmed", zap.String("worker", claimed.ID), zap.Int64("born", claimed.StartedMS))
	}
}

// applyHeartbeat records a heartbeat of the current incarnation. It ignores one whose
// sequence number is out of order. The caller holds the lock.
func (m *Minder) applyHeartbeat(h plantainrail.Heartbeat) {
	if incarnation := h.VM.Incarnation; !m.heartbeats.accept(h.Sequence, m.Now()) {
		m.Logger.Info("heartbeat of the past passed over", zap.String("worker", incarnation.ID), zap.Int64("born", incarnation.StartedMS), zap.Int64("sequence", h.Sequence))
		return
	}
	m.recordHeartbeat(h)
}

// recordHeartbeat records the worker's description, and reports it to the owner if it has
// changed. The caller holds the lock.
func (m *Minder) recordHeartbeat(h plantainrail.Heartbeat) {
	before, incarnation, first, known := m.vm, h.VM.Incarnation, m.heartbeatAt.IsZero(), m.capacityKnown()
	m.vm, m.heartbeatAt = h.VM, m.Now()
	if !h.VM.Draining {
		// The deregistration came from another writer: a worker drains before its end.
		m.leaving = false
	}
	if !first && h.VM.Capacity != before.Capacity {
		m.Logger.Info("worker resized", zap.String("worker", incarnation.ID), zap.Any("before", before.Capacity), zap.Any("capacity", h.VM.Capacity))
	}
	if first || h.VM.Draining != before.Draining {
		m.Logger.Info("worker seen", zap.String("worker", incarnation.ID), zap.Int64("born", incarnation.StartedMS),
			zap.Any("capacity", h.VM.Capacity), zap.Bool("draining", h.VM.Draining))
		m.wakePoller()
	}
	switch {
	case first:
		// Starts on a new incarnation wait for its first lease.
		m.renew()
	case !known || !reflect.DeepEqual(h.VM, before):
		// The owner places tasks by this description and must not learn of a change only
		// with the next renewal.
		m.report(linker.WorkReport{})
	}
}

// startIncarnation switches to a new incarnation of the worker and resets the
// state of the previous one. A new incarnation with the same ID may still receive
// starts that were meant for earlier ones. Therefore the runs of the previous
// incarnation, and those whose starts are still under way, are stopped before the new one is
// reported to the owner. The caller holds the lock.
func (m *Minder) startIncarnation(incarnation plantainrail.WorkerIncarnation) {
	var earlierRuns []plantainrail.RunRef
	if incarnation.ID == m.vm.Incarnation.ID {
		earlierRuns = m.lateStarts.refs(m.Now())
		for ref := range m.orderedRuns {
			if !slices.Contains(earlierRuns, ref) {
				earlierRuns = append(earlierRuns, ref)
			}
		}
	}
	m.vm.Incarnation = incarnation
	m.leaving, m.departed, m.departureAcked = false, false, false
	m.crashes = m.crashes.withNewIncarnation()
	m.pollFailed, m.unreachable, m.ordersComplete, m.acknowledged, m.reported, m.heartbeats = false, false, false, 0, 0, heartbeatOrder{}
	m.ends, m.clock, m.listed = nil, workerClock{}, nil
	m.leaseUntil, m.heartbeatAt = time.Time{}, time.Time{}
	m.reportedStatus, m.pacing = nil, newPacing()
	clear(m.orderedRuns)
	clear(m.stopping)
	clear(m.running)
	clear(m.renewalSentAt)
	m.clearingEarlierRuns = len(earlierRuns) > 0
	if m.clearingEarlierRuns {
		go m.clearEarlierRuns(incarnation, earlierRuns)
	}
}

// clearEarlierRuns orders the worker to stop runs of earlier incarnations, which also
// keeps them from starting later. It then waits until the worker lists no runs, of which
// reconcile stops the others, and reports the new incarnation to the owner.
func (m *Minder) clearEarlierRuns(incarnation plantainrail.WorkerIncarnation, earlierRuns []plantainrail.RunRef) {
	for _, ref := range earlierRuns {
		m.mu.Lock()
		if m.superseded(incarnation) {
			m.mu.Unlock()
			return
		}
		m.stopping[ref] = true
		m.mu.Unlock()
		m.stopRun(incarnation, ref)
	}
	m.mu.Lock()
	since := m.wantListing()
	m.mu.Unlock()
	for {
		m.mu.Lock()
		if m.superseded(incarnation) || m.listedPoll > since && len(m.running) == 0 && !m.runsUnreadable {
			// The lock stays held after the loop.
			break
		}
		m.mu.Unlock()
		_ = clocker.Sleep(context.Background(), workerRetryDelay/3)
	}
	defer m.mu.Unlock()
	if m.superseded(incarnation) {
		return
	}
	clear(m.stopping)
	m.clearingEarlierRuns = false
	// No run of the previous incarnation is left on the restarted worker.
	m.Logger.Info("rebirth settled", zap.String("worker", incarnation.ID), zap.Int("runs", len(earlierRuns)), zap.Int("ends", len(m.ends)))
	m.reportEnds()
	m.renew()
}

// Deregistered implements plantainrail.Registry. It ignores IDs other than the
// current worker's.
func (m *Minder) Deregistered(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if id != m.vm.Incarnation.ID {
		return
	}
	m.Logger.Info("worker leaves", zap.String("worker", id))
	m.leaving, m.vm.Draining = true, true
	m.report(linker.WorkReport{})
}

// reportEnds reports all run ends that are not acknowledged, in the order in which the
// worker lists them. The worker is assumed to list them in ascending order of their
// numbers. The ends count as reported even if there is no session, since the next session
// begins with a report of all of them. The caller holds the lock.
func (m *Minder) reportEnds() {
	// The list is cloned since it may have changed when the session encodes the
	// report.
	m.report(linker.WorkReport{Ended: slices.Clone(m.ends)})
	if n := len(m.ends); n > 0 {
		m.reported = m.ends[n-1].Number
	}
}

// superseded reports whether work for the incarnation must be given up: the agent has
// stopped, or another incarnation of the worker is the current one. The caller holds the
// lock.
func (m *Minder) superseded(incarnation plantainrail.WorkerIncarnation) bool {
	select {
	case <-m.stopped:
		return true
	default:
		return m.vm.Incarnation != incarnation
	}
}

// report adds the worker's description to a report and sends it to the owner. It
// does nothing without a session or a known worker, and while runs of a previous
// incarnation are being cleared. The caller holds the lock.
func (m *Minder) report(r linker.WorkReport) {
	if m.session == nil || m.vm.Incarnation.IsZero() || m.clearingEarlierRuns {
		return
	}
	r.VM, r.Epoch = m.vm, m.epoch
	// An unreachable worker, or one of unknown capacity, is reported as draining, so that it
	// gets no new runs.
	r.VM.Draining = r.VM.Draining || m.unreachable || !m.capacityKnown()
	if m.unreachable && !m.leaseUntil.IsZero() {
		left := max(m.leaseUntil.Sub(m.Now()), 0).Milliseconds()
		r.LeaseLeftMS = &left
	}
	r.VM.StartedLast, r.VM.RunningLast = m.crashes.last(m.unreachable, m.ordersComplete)
	r.VM.FillersPaused = m.pacing.pacer.Pace() != pacer.FullPace
	r.AcceptsParts = true
	for _, part := range r.Parts() {
		// Send fails only if the session has ended. The next session begins with the
		// unacknowledged ends and the owner's complete list of the runs that it wants.
		_ = m.session.Send(linker.Frame{Work: &part})
	}
}

// wakePoller ends the current wait of pollWorker, or its next one if it is not
// waiting. It never blocks.
func (m *Minder) wakePoller() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}
