// Package agent is the process beside every target and worker. It is the only
// authority over its VM: it dials the entries, announces what the VM offers,
// admits requests and tasks, and keeps the answers of requests handed to it.
package agent

import (
	"context"
	"crypto/rand"
	"encoding/hex"
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
	"github.com/plantainrail/plantainrail/admitter"
	"github.com/plantainrail/plantainrail/leaser"
	"github.com/plantainrail/plantainrail/linker"
	"github.com/plantainrail/plantainrail/sizer"
)

const (
	// pollEvery is the pace at which the runtime's tasks are read.
	pollEvery = 200 * time.Millisecond
	// DrainLimit bounds how long a stopping agent waits for requests and tasks.
	DrainLimit = 60 * time.Second
	// callLimit bounds one call to the VM's runtime.
	callLimit = 2 * time.Second
	// idLength is the length of a random incarnation in bytes.
	idLength = 8
)

// Options are an agent's settings and dependencies.
type Options struct {
	Name     string
	Zone     string
	Rack     string
	Capacity plantainrail.Resources
	// Entries are the first addresses to dial; others are learned.
	Entries []string
	// MaxSessions bounds the sessions held at once.
	MaxSessions int
	// Listener serves the VM's own targets, which announce themselves.
	Listener net.Listener
	// Dialer opens sessions; its scheme is ws or wss.
	Dialer *http.Client
	Scheme string
	Target plantainrail.Target
	// Runtime is nil on a VM that only serves requests.
	Runtime plantainrail.Runtime
	// Unthrottled leaves tasks all of their processors. It serves the naive
	// version in measurements.
	Unthrottled bool
	Log         *zap.Logger
}

// Agent is the process beside a VM's targets and tasks.
type Agent struct {
	Options

	// boot names this process.
	boot string
	// life ends with the process; what outlives a session is bound to it.
	life context.Context
	end  context.CancelFunc

	mu       sync.Mutex
	admitter *admitter.Admitter
	leaser   *leaser.Leaser
	succeeds string
	fencing  bool
	// startsFrom is when attempts may start after a takeover.
	startsFrom     time.Time
	statuses       map[plantainrail.AttemptRef]plantainrail.TaskStatus
	exchanges      map[string]*exchange
	kept           *keeper
	table          linker.TableUpdate
	kinds          plantainrail.Table
	gauge          gauge
	throttledKinds []string
	sizer          *sizer.Sizer
	links          map[string]*link
	known          map[string]bool
	changed        chan struct{}
	draining       bool
}

// New returns an Agent.
func New(o Options) *Agent {
	life, end := context.WithCancel(context.Background())
	a := &Agent{
		Options: o, boot: newID(), life: life, end: end, admitter: admitter.New(), leaser: leaser.New(o.Capacity, newID()),
		statuses:  map[plantainrail.AttemptRef]plantainrail.TaskStatus{},
		exchanges: map[string]*exchange{}, kept: newKeeper(), sizer: sizer.New(),
		links: map[string]*link{}, known: map[string]bool{}, changed: make(chan struct{}),
	}
	for _, e := range o.Entries {
		a.known[e] = true
	}
	return a
}

func newID() string {
	raw := make([]byte, idLength)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

// Run serves until the context ends, and then stops at once. Call Drain first
// for a planned stop.
func (a *Agent) Run(ctx context.Context) error {
	defer a.end()
	if a.Runtime != nil {
		if err := a.takeOver(ctx); err != nil {
			return err
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	server := &http.Server{Handler: a.localHandler(), ReadHeaderTimeout: callLimit}
	group.Go(func() error {
		if err := server.Serve(a.Listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	group.Go(func() error { return a.dialAll(ctx) })
	if a.Runtime != nil {
		group.Go(func() error { return a.poll(ctx) })
		if !a.Unthrottled {
			group.Go(func() error { return a.throttle(ctx) })
		}
	}
	err := group.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Drain is a planned stop's first part: no new work is taken, what runs goes
// on to its end, and tasks are checkpointed and released. It returns when
// nothing is left, every entry has said that it hands nothing over any more, or
// the context ends.
func (a *Agent) Drain(ctx context.Context) error {
	a.mu.Lock()
	a.draining = true
	refused := a.admitter.Drain()
	a.leaser.Drain()
	for _, r := range refused {
		a.refuse(r.ID, plantainrail.NewError(plantainrail.CodeDraining, "the agent is stopping"))
	}
	refs := a.leaser.Running()
	for _, l := range a.links {
		_ = l.session.Send(linker.Frame{GoAway: true})
	}
	a.notify()
	a.mu.Unlock()
	a.Log.Info("drain started", zap.Int("tasks", len(refs)))
	for _, ref := range refs {
		a.stopTask(ctx, ref, "the agent is stopping")
	}
	for !a.idle() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "drain")
		case <-time.After(pollEvery / 10):
		}
	}
	a.finishSessions()
	a.Log.Info("drain finished")
	return nil
}

func (a *Agent) stopping() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.draining
}

// finishSessions ends the sessions when the entries have read what was sent, so
// that the refusal of a request that came last is not lost with the process.
func (a *Agent) finishSessions() {
	a.mu.Lock()
	links := slices.Collect(maps.Values(a.links))
	a.mu.Unlock()
	var group sync.WaitGroup
	for _, l := range links {
		group.Go(l.session.Finish)
	}
	group.Wait()
}

func (a *Agent) idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.admitter.Open() > 0 || len(a.statuses) > 0 {
		return false
	}
	for _, e := range a.exchanges {
		if !e.delivered() {
			return false
		}
	}
	for _, l := range a.links {
		if !l.drained || !l.session.Flushed() {
			return false
		}
	}
	return true
}

// notify wakes the sessions' heartbeat loops. The caller holds the lock.
func (a *Agent) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Revision returns the revision of the table in force here.
func (a *Agent) Revision() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Revision
}

// setTable puts a revision in force, unless a later one is.
func (a *Agent) setTable(t linker.TableUpdate) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.Revision <= a.table.Revision {
		return
	}
	a.table = t
	a.parseKinds()
	a.notify()
	a.Log.Info("table in force", zap.Int64("revision", t.Revision))
}
