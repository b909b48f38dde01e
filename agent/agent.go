// Package agent implements the process that runs on every VM with targets or tasks.
// It alone decides what runs on its VM: it opens sessions to the entries (packages
// linker and receiver), reports the VM's targets, tasks and capacity, admits requests
// (package admitter) and starts of tasks (package leaser), and buffers the responses
// to the requests that it admitted. The agent of jobs of several steps is another
// program; see package minder.
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
	"github.com/plantainrail/plantainrail/limiter"
	"github.com/plantainrail/plantainrail/linker"
	"github.com/plantainrail/plantainrail/sizer"
)

const (
	// pollInterval is the interval at which the lease of the runtime's tasks is renewed
	// and their status is read. Failed calls to the runtime are retried after it, too.
	pollInterval = 200 * time.Millisecond
	// DrainTimeout is the maximum time that a stopping agent waits for its requests and
	// tasks.
	DrainTimeout = 60 * time.Second
	// callTimeout is the timeout of a call to the VM's runtime, and of reading the
	// header of a local HTTP request.
	callTimeout = 2 * time.Second
	// idBytes is the length of the random ID of an incarnation or a process, before it
	// is encoded in hexadecimal.
	idBytes = 8
)

// Options are the settings and dependencies of an Agent.
type Options struct {
	Name     string
	Zone     string
	Rack     string
	Capacity plantainrail.Resources
	// Entries are the initial addresses of entries. The agent learns further ones
	// from the entries.
	Entries []string
	// MaxSessions is the maximum number of concurrent sessions.
	MaxSessions int
	// Listener accepts calls of the VM's own targets and operators.
	Listener net.Listener
	// Limiter bounds what these calls take of the process. It may be nil; then nothing is bounded.
	Limiter *limiter.Limiter
	// Dialer opens the sessions. Scheme is ws or wss.
	Dialer *http.Client
	Scheme string
	Target plantainrail.Target
	// Runtime is nil on a VM that only serves requests.
	Runtime plantainrail.Runtime
	// DisableThrottling disables the throttling of batch tasks. Benchmarks use it for the
	// naive baseline.
	DisableThrottling bool
	Log               *zap.Logger
}

// Agent controls the targets and tasks of one VM. Its incarnation identifies a period
// in which it holds the VM's tasks: a restarted agent that finds tasks in the runtime
// keeps the incarnation, and an agent whose incarnation was declared lost takes a new
// one.
type Agent struct {
	Options

	// processID identifies this process; a restarted agent has another.
	processID string
	// lifetime is cancelled when Run returns. It bounds the work that outlives a
	// session.
	lifetime       context.Context
	cancelLifetime context.CancelFunc

	// mu guards the fields below and those of the entrySessions. It is locked before the lock
	// of an exchange.
	mu       sync.Mutex
	admitter *admitter.Admitter
	leaser   *leaser.Leaser
	// endedIncarnation is an earlier incarnation whose attempts have all ended; empty
	// means unknown.
	endedIncarnation string
	// fencing is set while the attempts of an incarnation that was declared lost are
	// being stopped. Nothing is started and no lease is renewed meanwhile.
	fencing bool
	// noStartsBefore is the earliest time at which attempts may start after this
	// agent took over an incarnation.
	noStartsBefore time.Time
	// taskStatuses holds the attempts that run, and the ended ones until an entry
	// acknowledges that their end is stored in the log.
	taskStatuses map[plantainrail.AttemptRef]plantainrail.TaskStatus
	// exchanges holds the queued and running requests by ID, and the ended ones until
	// their response is delivered or abandoned.
	exchanges map[string]*exchange
	// responses holds the ended exchanges that an entry asked to keep.
	responses *responseCache
	// tableUpdate is the newest revision of the table as CSV, and parsedTable the newest
	// one that could be parsed.
	tableUpdate    linker.TableUpdate
	parsedTable    plantainrail.Table
	latencies      latencyWindow
	throttledKinds []string
	sizer          *sizer.Sizer
	// entrySessions holds the open sessions by the entry's address.
	entrySessions map[string]*entrySession
	// knownEntries is the set of addresses to open sessions to.
	knownEntries map[string]bool
	// changed is closed and replaced by notify.
	changed  chan struct{}
	draining bool
}

// New returns an Agent.
func New(o Options) *Agent {
	lifetime, cancelLifetime := context.WithCancel(context.Background())
	a := &Agent{
		Options: o, processID: newID(), lifetime: lifetime, cancelLifetime: cancelLifetime, admitter: admitter.New(), leaser: leaser.New(o.Capacity, newID()),
		taskStatuses: map[plantainrail.AttemptRef]plantainrail.TaskStatus{},
		exchanges:    map[string]*exchange{}, responses: newResponseCache(), sizer: sizer.New(),
		entrySessions: map[string]*entrySession{}, knownEntries: map[string]bool{}, changed: make(chan struct{}),
	}
	for _, e := range o.Entries {
		a.knownEntries[e] = true
	}
	return a
}

// newID returns a random ID. Read of crypto/rand never returns an error.
func newID() string {
	raw := make([]byte, idBytes)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

// Run runs the agent until the context is cancelled, and then stops immediately.
// Call Drain first for a graceful shutdown. Run returns an error if the runtime's tasks
// cannot be taken over at the start. If the local server fails later, the agent stops
// too, but Run drops the server's error and returns nil: group.Wait always cancels the
// group's context, so ctx.Err is never nil after it.
func (a *Agent) Run(ctx context.Context) error {
	defer a.cancelLifetime()
	if a.Runtime != nil {
		if err := a.takeOverTasks(ctx); err != nil {
			return err
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	server := &http.Server{Handler: a.localHandler(), ReadHeaderTimeout: callTimeout}
	listener := a.Limiter.LimitClients(server, a.Listener)
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
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
		if !a.DisableThrottling {
			group.Go(func() error { return a.throttle(ctx) })
		}
	}
	err := group.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Drain prepares a graceful shutdown: the agent rejects new work, lets running
// requests finish, and checkpoints and releases its tasks. It returns nil when no
// work is left and every entry has confirmed that it sends no more work, or an error
// when the context ends.
func (a *Agent) Drain(ctx context.Context) error {
	a.mu.Lock()
	a.draining = true
	rejected := a.admitter.Drain()
	a.leaser.Drain()
	for _, r := range rejected {
		a.failQueued(r.ID, plantainrail.NewError(plantainrail.CodeDraining, "the agent is stopping"))
	}
	refs := a.leaser.Running()
	for _, l := range a.entrySessions {
		// GoAway tells the entry that the agent accepts no new work. An error of Send means
		// that the session has ended; then the entry sends nothing more on it either.
		_ = l.session.Send(linker.Frame{GoAway: true})
	}
	a.notify()
	a.mu.Unlock()
	a.Log.Info("drain started", zap.Int("tasks", len(refs)))
	for _, ref := range refs {
		a.stopTask(ctx, ref, "the agent is stopping")
	}
	for !a.isIdle() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for the drain to finish")
		case <-time.After(pollInterval / 10):
		}
	}
	a.flushSessions()
	a.Log.Info("drain finished")
	return nil
}

func (a *Agent) isDraining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.draining
}

// flushSessions ends the sessions with a closing handshake, so that the entries can read
// all sent frames. Otherwise a late rejection of a request could be lost when the process
// exits.
func (a *Agent) flushSessions() {
	a.mu.Lock()
	sessions := slices.Collect(maps.Values(a.entrySessions))
	a.mu.Unlock()
	var group sync.WaitGroup
	for _, l := range sessions {
		group.Go(l.session.CloseGracefully)
	}
	group.Wait()
}

// isIdle reports whether a draining agent has nothing left to do: no request is open, no
// response is undelivered, the end of every attempt is acknowledged, every entry has
// confirmed the drain, and every frame has been sent.
func (a *Agent) isIdle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.admitter.OpenRequests() > 0 || len(a.taskStatuses) > 0 {
		return false
	}
	for _, e := range a.exchanges {
		if !e.isDone() {
			return false
		}
	}
	for _, l := range a.entrySessions {
		if !l.drained || !l.session.Flushed() {
			return false
		}
	}
	return true
}

// notify wakes dialAll and the sessions' heartbeat loops. The caller holds the lock.
func (a *Agent) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Revision returns the revision of the table that the agent last received.
func (a *Agent) Revision() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tableUpdate.Revision
}

// setTable applies a revision of the table if it is newer than the current one.
func (a *Agent) setTable(t linker.TableUpdate) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.Revision <= a.tableUpdate.Revision {
		return
	}
	a.tableUpdate = t
	a.parseTable()
	a.notify()
	a.Log.Info("table applied", zap.Int64("revision", t.Revision))
}
