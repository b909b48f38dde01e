// Package minder implements an agent's part in the scheduling of jobs. The agent
// runs beside one worker: it starts and stops the worker's runs as the owner of
// the jobs orders, renews the worker's lease while it is in contact with the
// owner, and reports the ends of runs.
package minder

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/clocker"
	"github.com/plantainrail/plantainrail/linker"
	"github.com/plantainrail/plantainrail/pacer"
)

// Options are the settings and dependencies of an agent.
type Options struct {
	Node   string
	Worker plantainrail.Worker
	Store  plantainrail.Store
	// MembersTopic is the topic of the store that holds the ownership claims;
	// ParseMember decodes its records.
	MembersTopic string
	ParseMember  func(plantainrail.KeyedRecord) (address string, owner bool, epoch int64, err error)
	// Dial opens a session with the entry at an address. If that entry does not own
	// the jobs, Dial returns an error and the owner's address, if known.
	Dial func(ctx context.Context, address string) (session *linker.Session, owner string, err error)
	// Lease is how long the worker keeps its runs after the owner's last renewal.
	Lease time.Duration
	// Heartbeats accepts the connections over which the worker sends its
	// heartbeats.
	Heartbeats       net.Listener
	HeartbeatHandler func(plantainrail.Registry) http.Handler
	// Now returns the time of a clock that keeps running while the VM is suspended.
	Now    func() time.Time
	Logger *zap.Logger
}

// Minder is the agent of one worker.
type Minder struct {
	Options

	mu sync.Mutex
	// vm is the worker's newest incarnation by its heartbeats; heartbeatSequence is
	// the sequence number of its newest heartbeat.
	vm                plantainrail.VM
	heartbeatSequence int64
	// unreachable is set while the worker does not answer.
	unreachable bool
	// clearingEarlierRuns is set while a new incarnation may still get starts that
	// were meant for the previous one. Nothing is reported to the owner meanwhile.
	clearingEarlierRuns bool
	// leaving is set once the worker has deregistered, departed once it has ended,
	// and deregistrationAcked once the owner has acknowledged that.
	leaving, departed, deregistrationAcked bool
	// epoch is the highest epoch of an owner that has sent orders.
	epoch int64
	// desiredComplete is set once the owner has sent the complete list of desired
	// runs in this session.
	desiredComplete bool
	desired         map[plantainrail.RunRef]*run
	// stopping holds the runs that are being stopped.
	stopping map[plantainrail.RunRef]bool
	running  map[plantainrail.RunRef]plantainrail.RunStatus
	// ends are the run ends that the worker lists and the owner has not
	// acknowledged as stored; acknowledged is the number of the newest one that it
	// has.
	ends         []plantainrail.RunEnd
	acknowledged int64
	// reported is the number of the newest run end that was reported in this
	// session.
	reported int64
	// leaseUntil is when the lease granted by the owner's last renewal ends.
	leaseUntil time.Time
	// listedAt is when the newest RenewLease call that the worker has answered was
	// sent.
	listedAt        time.Time
	clock           workerClock
	pacing          pacing
	session         *linker.Session
	renewalSequence uint64
	// renewalSentAt holds when the unanswered renewal requests were sent, by
	// sequence number.
	renewalSentAt map[uint64]time.Time
	// reportedStatus is the status of the runs at the last renewal request of this
	// session.
	reportedStatus map[plantainrail.RunRef]plantainrail.RunStatus

	// changed receives a value when the worker's incarnation, the session or the
	// acknowledged ends change; pollWorker waits for it.
	changed chan struct{}
	entries directory
	// stopped is closed when the agent stops.
	stopped chan struct{}
}

// run is a run that the owner wants on the worker.
type run struct {
	order plantainrail.RunOrder
}

// workerClock relates the worker's clock to the agent's.
type workerClock struct {
	// reading is the worker's clock in milliseconds at the time readAt.
	reading int64
	readAt  time.Time
}

// at returns what the worker's clock shows at an instant, or less. If the
// worker's clock is slow, a lease only gets longer by the clock drift that the
// owner allows for.
func (c workerClock) at(instant time.Time) int64 {
	return c.reading + instant.Sub(c.readAt).Milliseconds()
}

// New returns an agent with the given options. Run starts it.
func New(o Options) *Minder {
	return &Minder{
		Options: o, desired: map[plantainrail.RunRef]*run{}, stopping: map[plantainrail.RunRef]bool{},
		running: map[plantainrail.RunRef]plantainrail.RunStatus{}, renewalSentAt: map[uint64]time.Time{},
		changed: make(chan struct{}, 1), stopped: make(chan struct{}), entries: newDirectory(), pacing: newPacing(),
	}
}

// Run serves until the context ends.
func (m *Minder) Run(ctx context.Context) error {
	m.Logger.Info("agent started", zap.String("node", m.Node))
	defer close(m.stopped)
	group, ctx := errgroup.WithContext(ctx)
	server := &http.Server{Handler: m.HeartbeatHandler(m), ReadHeaderTimeout: headerTimeout}
	group.Go(func() error { return errors.Wrap(server.Serve(m.Heartbeats), "serve heartbeats") })
	group.Go(func() error {
		<-ctx.Done()
		return errors.Wrap(server.Close(), "close")
	})
	group.Go(func() error { return m.pollWorker(ctx) })
	group.Go(func() error { return m.followMembers(ctx) })
	group.Go(func() error { return m.maintainSession(ctx) })
	group.Go(func() error { return m.renewPeriodically(ctx) })
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

// Drain waits until the owner has acknowledged that a leaving worker has ended.
// If the worker is not leaving, Drain returns at once, and the next process of
// the agent takes over its runs.
func (m *Minder) Drain(ctx context.Context) error {
	m.Logger.Info("agent stopping", zap.String("node", m.Node))
	for ctx.Err() == nil {
		m.mu.Lock()
		awaitingOwner := m.leaving && !m.deregistrationAcked
		m.mu.Unlock()
		if !awaitingOwner {
			return nil
		}
		_ = clocker.Sleep(ctx, drainPollInterval)
	}
	return errors.New("agent stopped before an owner acknowledged the worker's end")
}

// Heartbeat implements plantainrail.Registry. It ignores heartbeats of earlier
// incarnations and those with an old sequence number.
func (m *Minder) Heartbeat(a plantainrail.Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	incarnation, current := a.VM.Incarnation, m.vm.Incarnation
	if incarnation.StartedMS < current.StartedMS || incarnation == current && a.Sequence <= m.heartbeatSequence {
		m.Logger.Info("heartbeat of the past passed over", zap.String("worker", incarnation.ID), zap.Int64("born", incarnation.StartedMS), zap.Int64("sequence", a.Sequence))
		return
	}
	m.heartbeatSequence = a.Sequence
	if incarnation != current {
		m.startIncarnation(incarnation)
	}
	draining := a.VM.Draining != m.vm.Draining
	m.vm = a.VM
	if incarnation != current || draining {
		m.Logger.Info("worker seen", zap.String("worker", incarnation.ID), zap.Int64("born", incarnation.StartedMS), zap.Bool("draining", a.VM.Draining))
		m.report(linker.WorkReport{})
		m.notifyChanged()
	}
}

// startIncarnation resets what belonged to the worker's previous incarnation.
// Starts that were meant for it may still reach a new incarnation under the same
// ID. Those runs are stopped before the new incarnation is reported to the
// owner. The caller holds the lock.
func (m *Minder) startIncarnation(incarnation plantainrail.WorkerIncarnation) {
	var earlierRuns []plantainrail.RunRef
	if incarnation.ID == m.vm.Incarnation.ID {
		earlierRuns = slices.Collect(maps.Keys(m.desired))
	}
	m.vm.Incarnation = incarnation
	m.leaving, m.departed, m.deregistrationAcked = false, false, false
	m.unreachable, m.desiredComplete, m.acknowledged, m.reported, m.heartbeatSequence = false, false, 0, 0, 0
	m.ends, m.clock = nil, workerClock{}
	m.leaseUntil = time.Time{}
	m.reportedStatus, m.pacing = nil, newPacing()
	clear(m.desired)
	clear(m.stopping)
	clear(m.running)
	clear(m.renewalSentAt)
	m.clearingEarlierRuns = len(earlierRuns) > 0
	if m.clearingEarlierRuns {
		go m.clearEarlierRuns(incarnation, earlierRuns)
	}
}

// clearEarlierRuns keeps the runs of the previous incarnation from starting in
// the new one, stops those that have started, and then reports the new
// incarnation to the owner.
func (m *Minder) clearEarlierRuns(incarnation plantainrail.WorkerIncarnation, earlierRuns []plantainrail.RunRef) {
	for _, ref := range earlierRuns {
		m.mu.Lock()
		if m.incarnationEnded(incarnation) {
			m.mu.Unlock()
			return
		}
		m.stopping[ref] = true
		m.mu.Unlock()
		m.stopRun(incarnation, ref)
	}
	since := m.Now()
	for {
		m.mu.Lock()
		if m.incarnationEnded(incarnation) || m.listedAt.After(since) && len(m.running) == 0 {
			break
		}
		m.mu.Unlock()
		_ = clocker.Sleep(context.Background(), workerRetryDelay/3)
	}
	defer m.mu.Unlock()
	if m.incarnationEnded(incarnation) {
		return
	}
	clear(m.stopping)
	m.clearingEarlierRuns = false
	// No run of the previous incarnation is left on the restarted worker.
	m.Logger.Info("rebirth settled", zap.String("worker", incarnation.ID), zap.Int("runs", len(earlierRuns)), zap.Int("ends", len(m.ends)))
	m.reportEnds()
	m.renew()
}

// Deregistered implements plantainrail.Registry.
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

// reportEnds reports all run ends that are not acknowledged. The caller holds
// the lock.
func (m *Minder) reportEnds() {
	// The list is cloned since it may have changed when the session encodes the
	// report.
	m.report(linker.WorkReport{Ended: slices.Clone(m.ends)})
	if n := len(m.ends); n > 0 {
		m.reported = m.ends[n-1].Number
	}
}

// incarnationEnded reports whether the agent has stopped or the worker's
// incarnation has ended. The caller holds the lock.
func (m *Minder) incarnationEnded(incarnation plantainrail.WorkerIncarnation) bool {
	select {
	case <-m.stopped:
		return true
	default:
		return m.vm.Incarnation != incarnation
	}
}

// report sends a report to the owner. It does nothing without a session or a
// known worker, and while runs of a previous incarnation are cleared. The caller
// holds the lock.
func (m *Minder) report(r linker.WorkReport) {
	if m.session == nil || m.vm.Incarnation.IsZero() || m.clearingEarlierRuns {
		return
	}
	r.VM = m.vm
	r.VM.Draining = r.VM.Draining || m.unreachable
	r.VM.FillersPaused = m.pacing.pacer.Pace() != pacer.FullPace
	_ = m.session.Send(linker.Frame{Work: &r})
}

func (m *Minder) notifyChanged() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}
