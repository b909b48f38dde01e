// Package minder is an agent's part in jobs of steps: it stands beside one
// worker, keeps the worker's runs as the owner of the jobs wants them, renews
// their leases while it is in touch with the owner, and tells of their ends.
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

// Options are what an agent depends on.
type Options struct {
	Node   string
	Worker plantainrail.Worker
	Store  plantainrail.Store
	// MembersTopic and ParseMember tell who owns the jobs.
	MembersTopic string
	ParseMember  func(plantainrail.KeyedRecord) (address string, owner bool, epoch int64, err error)
	// Dial opens a session with the entry at an address. An entry that does not
	// own the jobs names the owner's address.
	Dial func(ctx context.Context, address string) (session *linker.Session, owner string, err error)
	// Lease is how long the worker goes on after the owner's last renewal.
	Lease time.Duration
	// Heartbeats takes the worker's announcements.
	Heartbeats       net.Listener
	HeartbeatHandler func(plantainrail.Registry) http.Handler
	// Now tells the instant on a clock that goes on while the VM is suspended.
	Now    func() time.Time
	Logger *zap.Logger
}

// Minder is one agent.
type Minder struct {
	Options

	mu sync.Mutex
	// vm is the worker's newest life; announced is its newest heartbeat.
	vm        plantainrail.VM
	announced int64
	// unreachable is set while the worker does not answer.
	unreachable bool
	// settling is set while a new life may still get starts that were meant for
	// the one before.
	settling bool
	// leaving is set once the worker has told that it ends, departed once it has
	// ended, and farewell once the owner knows that.
	leaving, departed, farewell bool
	// epoch is the highest of an owner that was heard of.
	epoch int64
	// whole is set once the owner has told all that the worker should hold.
	whole  bool
	wanted map[plantainrail.RunRef]*run
	// stopping are runs that are being ended.
	stopping map[plantainrail.RunRef]bool
	running  map[plantainrail.RunRef]plantainrail.RunStatus
	// ends are those that the worker lists and that are not noted.
	ends  []plantainrail.RunEnd
	noted int64
	// told is the number of the newest end that the session was told.
	told int64
	// grantedUntil is when the owner's last renewal is over.
	grantedUntil time.Time
	// heldAt is when the newest call was sent that the worker has answered with
	// its runs and ends.
	heldAt   time.Time
	clock    workerClock
	pacing   pacing
	session  *linker.Session
	sequence uint64
	sentAt   map[uint64]time.Time
	// shown is what the session was told of the runs.
	shown map[plantainrail.RunRef]plantainrail.RunStatus

	// changed is poked when the worker's life, the owner or the noted ends
	// change; the hold loop waits for it.
	changed chan struct{}
	owners  owners
	// stopped is closed when the agent stops.
	stopped chan struct{}
}

// run is a run that the owner wants on the worker.
type run struct {
	order plantainrail.RunOrder
}

// workerClock relates the worker's clock to ours.
type workerClock struct {
	// reading is the worker's clock in milliseconds at the instant.
	reading int64
	instant time.Time
}

// at returns what the worker's clock shows at an instant, or less: a worker's
// clock that is slow only makes a lease longer by the drift that the owner
// counts with.
func (c workerClock) at(instant time.Time) int64 {
	return c.reading + instant.Sub(c.instant).Milliseconds()
}

// New returns an agent.
func New(o Options) *Minder {
	return &Minder{
		Options: o, wanted: map[plantainrail.RunRef]*run{}, stopping: map[plantainrail.RunRef]bool{},
		running: map[plantainrail.RunRef]plantainrail.RunStatus{}, sentAt: map[uint64]time.Time{},
		changed: make(chan struct{}, 1), stopped: make(chan struct{}), owners: newOwners(), pacing: newPacing(),
	}
}

// Run serves until the context ends.
func (m *Minder) Run(ctx context.Context) error {
	m.Logger.Info("agent started", zap.String("node", m.Node))
	defer close(m.stopped)
	group, ctx := errgroup.WithContext(ctx)
	server := &http.Server{Handler: m.HeartbeatHandler(m), ReadHeaderTimeout: headerLimit}
	group.Go(func() error { return errors.Wrap(server.Serve(m.Heartbeats), "serve heartbeats") })
	group.Go(func() error {
		<-ctx.Done()
		return errors.Wrap(server.Close(), "close")
	})
	group.Go(func() error { return m.holdAll(ctx) })
	group.Go(func() error { return m.followMembers(ctx) })
	group.Go(func() error { return m.keepSession(ctx) })
	group.Go(func() error { return m.beat(ctx) })
	err := group.Wait()
	m.Logger.Info("agent stopped", zap.String("node", m.Node), zap.Error(err))
	if ctx.Err() != nil && (errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed)) {
		return nil
	}
	return err
}

// headerLimit bounds how long the worker may take to send a heartbeat's head.
const headerLimit = 10 * time.Second

// drainLook is how often a stopping agent looks whether it may end.
const drainLook = 50 * time.Millisecond

// Drain waits until the owner knows of a worker that has ended. The runs of one
// that goes on are taken over by the next process of the agent.
func (m *Minder) Drain(ctx context.Context) error {
	m.Logger.Info("agent stopping", zap.String("node", m.Node))
	for ctx.Err() == nil {
		m.mu.Lock()
		waits := m.leaving && !m.farewell
		m.mu.Unlock()
		if !waits {
			return nil
		}
		_ = clocker.Sleep(ctx, drainLook)
	}
	return errors.New("no owner knows yet that the worker has ended")
}

// Announced implements plantainrail.Registry.
func (m *Minder) Announced(a plantainrail.Announcement) {
	m.mu.Lock()
	defer m.mu.Unlock()
	life, now := a.VM.Life, m.vm.Life
	if life.Born < now.Born || life == now && a.Sequence <= m.announced {
		m.Logger.Info("heartbeat of the past passed over", zap.String("worker", life.ID), zap.Int64("born", life.Born), zap.Int64("sequence", a.Sequence))
		return
	}
	m.announced = a.Sequence
	if life != now {
		m.begin(life)
	}
	draining := a.VM.Draining != m.vm.Draining
	m.vm = a.VM
	if life != now || draining {
		m.Logger.Info("worker seen", zap.String("worker", life.ID), zap.Int64("born", life.Born), zap.Bool("draining", a.VM.Draining))
		m.tell(linker.WorkReport{})
		m.poke()
	}
}

// begin forgets what belonged to the worker's earlier life. Starts that were
// meant for it may still reach a new life under the same ID; they are settled
// before the owner hears of that life.
func (m *Minder) begin(life plantainrail.Life) {
	var left []plantainrail.RunRef
	if life.ID == m.vm.Life.ID {
		left = slices.Collect(maps.Keys(m.wanted))
	}
	m.vm.Life = life
	m.leaving, m.departed, m.farewell = false, false, false
	m.unreachable, m.whole, m.noted, m.told, m.announced = false, false, 0, 0, 0
	m.ends, m.clock = nil, workerClock{}
	m.grantedUntil = time.Time{}
	m.shown, m.pacing = nil, newPacing()
	clear(m.wanted)
	clear(m.stopping)
	clear(m.running)
	clear(m.sentAt)
	m.settling = len(left) > 0
	if m.settling {
		go m.settleRebirth(life, left)
	}
}

// settleRebirth keeps the runs of the earlier life from starting in a new one,
// ends those that have, and then tells the owner of the new life.
func (m *Minder) settleRebirth(life plantainrail.Life, left []plantainrail.RunRef) {
	for _, ref := range left {
		m.mu.Lock()
		if m.over(life) {
			m.mu.Unlock()
			return
		}
		m.stopping[ref] = true
		m.mu.Unlock()
		m.stopRun(life, ref)
	}
	since := m.Now()
	for {
		m.mu.Lock()
		if m.over(life) || m.heldAt.After(since) && len(m.running) == 0 {
			break
		}
		m.mu.Unlock()
		_ = clocker.Sleep(context.Background(), holdPause/3)
	}
	defer m.mu.Unlock()
	if m.over(life) {
		return
	}
	clear(m.stopping)
	m.settling = false
	m.Logger.Info("rebirth settled", zap.String("worker", life.ID), zap.Int("runs", len(left)), zap.Int("ends", len(m.ends)))
	m.tellEnds()
	m.renew()
}

// Departed implements plantainrail.Registry.
func (m *Minder) Departed(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if id != m.vm.Life.ID {
		return
	}
	m.Logger.Info("worker leaves", zap.String("worker", id))
	m.leaving, m.vm.Draining = true, true
	m.tell(linker.WorkReport{})
}

// tellEnds reports the worker with all ends that are not noted. The caller
// holds the lock.
func (m *Minder) tellEnds() {
	// The session encodes a report later, when the list may have changed.
	m.tell(linker.WorkReport{Ends: slices.Clone(m.ends)})
	if n := len(m.ends); n > 0 {
		m.told = m.ends[n-1].Number
	}
}

// over tells whether the agent has stopped or the worker's life has ended. The
// caller holds the lock.
func (m *Minder) over(life plantainrail.Life) bool {
	select {
	case <-m.stopped:
		return true
	default:
		return m.vm.Life != life
	}
}

// tell sends a report to the owner. The caller holds the lock.
func (m *Minder) tell(r linker.WorkReport) {
	if m.session == nil || m.vm.Life.IsZero() || m.settling {
		return
	}
	r.VM = m.vm
	r.VM.Draining = r.VM.Draining || m.unreachable
	r.VM.Strained = m.pacing.pacer.Pace() != pacer.Whole
	_ = m.session.Send(linker.Frame{Work: &r})
}

func (m *Minder) poke() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}
