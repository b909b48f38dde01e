// Package admitter is the agent's authority over its VM: which requests run at
// a target and which tasks start. It is pure: each call takes the instant and
// changes the state; it opens no socket, starts no goroutine, reads no clock.
package admitter

import (
	"slices"
	"strings"
	"time"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/charter"
)

const (
	// seenWindow is how long an ended request's ID is remembered.
	seenWindow = 20 * time.Minute
	// seenLimit bounds the remembered request IDs.
	seenLimit = 400_000
	// announceWindow is how long a target counts as present after it announced
	// itself.
	announceWindow = 3 * time.Second
	// serviceWeight is the weight of a new sample in the mean service time.
	serviceWeight = 0.1
)

var (
	requestChart = charter.MustLoad("request")
	targetChart  = charter.MustLoad("target")
)

// Request states, as the chart names them.
const (
	RequestOffered charter.State = "offered"
	RequestQueued  charter.State = "queued"
	RequestRunning charter.State = "running"
	RequestDone    charter.State = "done"
	RequestFailed  charter.State = "failed"
	RequestRefused charter.State = "refused"
	RequestVoided  charter.State = "voided"
)

// Request is a request that an entry offers to a target.
type Request struct {
	ID       string
	Kind     string
	Target   string
	Weight   int
	Limit    int
	Queue    int
	Feed     bool
	Deadline time.Time

	state  charter.State
	start  time.Time
	holder *target
}

// Decision is what became of an offer.
type Decision struct {
	State charter.State
	// Err says why a request was refused.
	Err *plantainrail.Error
}

// Admitter decides on requests for the targets of one VM.
type Admitter struct {
	targets  map[string]*target
	requests map[string]*Request
	ended    []seen
	draining bool
	// leaving maps a target to the incarnation that was told to leave.
	leaving map[string]string
}

type seen struct {
	id string
	at time.Time
}

type target struct {
	info    plantainrail.TargetInfo
	state   charter.State
	until   time.Time
	running int
	open    int
	byKind  map[string]int
	queue   []*Request
	service time.Duration
}

// New returns an Admitter without targets.
func New() *Admitter {
	return &Admitter{targets: map[string]*target{}, requests: map[string]*Request{}, leaving: map[string]string{}}
}

// Announce notes that a target is present. Another incarnation starts anew; a
// leaving incarnation stays leaving.
func (a *Admitter) Announce(now time.Time, info plantainrail.TargetInfo) {
	t, ok := a.targets[info.Name]
	if !ok || t.info.Incarnation != info.Incarnation {
		t = &target{state: targetChart.Initial, byKind: map[string]int{}}
		a.targets[info.Name] = t
	}
	t.info = info
	t.until = now.Add(announceWindow)
	if a.draining || a.leaving[info.Name] == info.Incarnation {
		t.state, _ = targetChart.Next(t.state, "leave")
	}
}

// Present tells whether an incarnation of a target is announced.
func (a *Admitter) Present(now time.Time, name, incarnation string) bool {
	t, ok := a.targets[name]
	return ok && t.info.Incarnation == incarnation && !now.After(t.until)
}

// Leave marks an incarnation of a target as leaving: it gets no new work, and
// what it runs goes on. Requests that waited are returned as refused. A target
// that is not here yet leaves as soon as it announces itself.
func (a *Admitter) Leave(name, incarnation string) (refused []*Request, ok bool) {
	a.leaving[name] = incarnation
	t, found := a.targets[name]
	if !found || t.info.Incarnation != incarnation {
		return nil, false
	}
	t.state, _ = targetChart.Next(t.state, "leave")
	return a.flush(t), true
}

// Drain marks the whole VM as leaving.
func (a *Admitter) Drain() []*Request {
	a.draining = true
	var refused []*Request
	for _, t := range a.targets {
		t.state, _ = targetChart.Next(t.state, "leave")
		refused = append(refused, a.flush(t)...)
	}
	return refused
}

func (a *Admitter) flush(t *target) []*Request {
	refused := t.queue
	t.queue = nil
	for _, r := range refused {
		a.end(r, "drain", time.Time{})
	}
	return refused
}

// Offer admits, queues or refuses a request. An ID that was offered before is
// refused, so a request starts here at most once.
func (a *Admitter) Offer(now time.Time, r *Request) Decision {
	if old, ok := a.requests[r.ID]; ok {
		return Decision{RequestRefused, plantainrail.NewError(plantainrail.CodeVoided, "request %s is already %s here", r.ID, old.state)}
	}
	r.state = requestChart.Initial
	t, err := a.admissible(now, r)
	if err != nil {
		r.state, _ = requestChart.Next(r.state, "refuse")
		return Decision{r.state, err}
	}
	a.requests[r.ID] = r
	r.holder = t
	t.open++
	if t.free(r) && len(t.queue) == 0 {
		a.run(now, t, r)
		return Decision{State: r.state}
	}
	r.state, _ = requestChart.Next(r.state, "enqueue")
	t.enqueue(r)
	return Decision{State: r.state}
}

func (a *Admitter) admissible(now time.Time, r *Request) (*target, *plantainrail.Error) {
	t, ok := a.targets[r.Target]
	switch {
	case a.draining:
		return nil, plantainrail.NewError(plantainrail.CodeDraining, "the agent is stopping")
	case !ok || now.After(t.until):
		return nil, plantainrail.NewError(plantainrail.CodeNoTarget, "target %s is not here", r.Target)
	case t.state == "leaving":
		return nil, plantainrail.NewError(plantainrail.CodeDraining, "target %s is leaving", r.Target)
	case !now.Before(r.Deadline):
		return nil, plantainrail.NewError(plantainrail.CodeDeadlinePassed, "at the agent")
	case t.open >= t.info.Connections:
		return nil, plantainrail.NewError(plantainrail.CodeOverloaded, "all %d connections are open", t.info.Connections)
	case !t.free(r) && t.waiting(r.Kind) >= r.Queue:
		return nil, plantainrail.NewError(plantainrail.CodeOverloaded, "the queue of kind %s is full", r.Kind)
	case t.tooLate(now, r):
		return nil, plantainrail.NewError(plantainrail.CodeOverloaded, "the wait would pass the deadline")
	}
	return t, nil
}

// free tells whether a request could run at once.
func (t *target) free(r *Request) bool {
	if r.Feed {
		return true
	}
	if r.Limit > 0 && t.byKind[r.Kind] >= r.Limit {
		return false
	}
	return t.running < t.info.Slots
}

func (t *target) waiting(kind string) int {
	n := 0
	for _, q := range t.queue {
		if q.Kind == kind {
			n++
		}
	}
	return n
}

// tooLate estimates the wait from the mean service time and the queue ahead.
func (t *target) tooLate(now time.Time, r *Request) bool {
	if t.free(r) || t.service == 0 {
		return false
	}
	ahead := 1
	for _, q := range t.queue {
		if before(q, r) {
			ahead++
		}
	}
	wait := t.service * time.Duration(ahead) / time.Duration(max(t.info.Slots, 1))
	return now.Add(wait + t.service).After(r.Deadline)
}

// before orders the queue: the heavier kind first, then the earlier deadline.
func before(a, b *Request) bool {
	if a.Weight != b.Weight {
		return a.Weight > b.Weight
	}
	return a.Deadline.Before(b.Deadline)
}

func (t *target) enqueue(r *Request) {
	i, _ := slices.BinarySearchFunc(t.queue, r, func(q, r *Request) int {
		if before(r, q) {
			return 1
		}
		return -1
	})
	t.queue = slices.Insert(t.queue, i, r)
}

func (a *Admitter) run(now time.Time, t *target, r *Request) {
	r.state, _ = requestChart.Next(r.state, "admit")
	r.start = now
	if r.Feed {
		return
	}
	t.running++
	t.byKind[r.Kind]++
}

// Finish ends a running request with the event "finish", "fail" or "reject" and
// returns the requests that may run now and those whose deadline passed.
func (a *Admitter) Finish(now time.Time, id string, event charter.Event) (run, refused []*Request) {
	r, ok := a.requests[id]
	if !ok || r.state != RequestRunning {
		return nil, nil
	}
	t := r.holder
	if !r.Feed {
		t.running--
		t.byKind[r.Kind]--
		t.noteService(now.Sub(r.start))
	}
	a.end(r, event, now)
	return a.next(now, t)
}

func (t *target) noteService(d time.Duration) {
	if t.service == 0 {
		t.service = d
		return
	}
	t.service += time.Duration(serviceWeight * float64(d-t.service))
}

// next starts queued requests while slots are free. A request of a kind at its
// limit does not hold up the others.
func (a *Admitter) next(now time.Time, t *target) (run, refused []*Request) {
	var kept []*Request
	for _, q := range t.queue {
		switch {
		case !now.Before(q.Deadline):
			a.end(q, "expire", now)
			refused = append(refused, q)
		case t.free(q):
			a.run(now, t, q)
			run = append(run, q)
		default:
			kept = append(kept, q)
		}
	}
	t.queue = kept
	return run, refused
}

func (a *Admitter) end(r *Request, event charter.Event, now time.Time) {
	r.state, _ = requestChart.Next(r.state, event)
	r.holder.open--
	r.holder = nil
	a.ended = append(a.ended, seen{r.ID, now})
	for len(a.ended) > 0 && (len(a.ended) > seenLimit || (!now.IsZero() && now.Sub(a.ended[0].at) > seenWindow && !a.ended[0].at.IsZero())) {
		delete(a.requests, a.ended[0].id)
		a.ended = a.ended[1:]
	}
}

// Void makes sure that a request which has not started never starts. It
// returns the request's state after that.
func (a *Admitter) Void(now time.Time, id string) charter.State {
	r, ok := a.requests[id]
	if !ok {
		a.requests[id] = &Request{ID: id, state: RequestVoided}
		a.ended = append(a.ended, seen{id, now})
		return RequestVoided
	}
	if r.state != RequestQueued {
		return r.state
	}
	t := r.holder
	t.queue = slices.DeleteFunc(t.queue, func(q *Request) bool { return q == r })
	a.end(r, "void", now)
	return r.state
}

// State returns where a request stands, if it was offered here.
func (a *Admitter) State(id string) (charter.State, bool) {
	r, ok := a.requests[id]
	if !ok {
		return "", false
	}
	return r.state, true
}

// TargetLoad is what an agent reports of one of its targets.
type TargetLoad struct {
	Info    plantainrail.TargetInfo `cbor:"0,keyasint"`
	Running int                     `cbor:"1,keyasint"`
	Queued  int                     `cbor:"2,keyasint"`
	Leaving bool                    `cbor:"3,keyasint,omitempty"`
}

// Loads reports the targets that are present, by name. Targets that stopped
// announcing themselves are dropped once they run nothing.
func (a *Admitter) Loads(now time.Time) []TargetLoad {
	var loads []TargetLoad
	for name, t := range a.targets {
		if now.After(t.until) {
			if t.open == 0 {
				delete(a.targets, name)
			}
			continue
		}
		loads = append(loads, TargetLoad{t.info, t.running, len(t.queue), t.state == "leaving"})
	}
	slices.SortFunc(loads, func(x, y TargetLoad) int {
		return strings.Compare(x.Info.Name, y.Info.Name)
	})
	return loads
}

// Open returns the number of requests that run or wait.
func (a *Admitter) Open() int {
	n := 0
	for _, t := range a.targets {
		n += t.open
	}
	return n
}
