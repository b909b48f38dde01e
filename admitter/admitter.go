// Package admitter is the agent's admission control for requests: it decides which
// requests run, wait or are rejected at the targets of a VM. Package agent calls it with
// its lock held. It performs no I/O, starts no goroutine and reads no clock: callers pass
// the current time.
package admitter

import (
	"slices"
	"strings"
	"time"
	"unsafe"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/charter"
)

const (
	// endedRetention is how long the ID of an ended request is remembered, so that the
	// same request is not started again.
	endedRetention = 20 * time.Minute
	// maxEndedRequests is the number of IDs of ended requests that are remembered.
	maxEndedRequests = 400_000
	// announcementLifetime is how long a target counts as present after it announced
	// itself.
	announcementLifetime = 3 * time.Second
	// wholeShareWindow is how long after the refusal of a whole request its target keeps a share of its places for such.
	wholeShareWindow = 10 * time.Second
	// maxTargets and maxTargetBytes bound the targets that are remembered, and the size of what they announce in bytes. It is
	// reported to each entry as a whole, in a message that may have 8 MiB.
	maxTargets, maxTargetBytes = 1024, 2 << 20
	// targetBytes is what a target takes besides its texts.
	targetBytes = 1 << 10
	// maxLeaving bounds the leaves that are remembered of targets that are not here.
	maxLeaving = 4096
	// serviceTimeEMAWeight is the weight of a new sample in the exponential moving
	// average of a target's service time.
	serviceTimeEMAWeight = 0.1
)

var (
	requestChart = charter.MustLoad("request")
	targetChart  = charter.MustLoad("target")
)

// Request states of the state chart "request". RequestRefused is the state of a rejected
// request.
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
	ID     string
	Kind   string
	Target string
	// Weight is the kind's weight; queued requests with a higher weight run first.
	Weight int
	// MaxRunning bounds the running requests of the kind at the target; 0 means no bound
	// but the target's slots.
	MaxRunning int
	// MaxQueued bounds the queued requests of the kind at the target.
	MaxQueued int
	// Feed marks a long-lived event stream, which takes a connection but no slot.
	Feed bool
	// Unfinished marks a request whose body has not arrived as a whole: it holds its place for as long as its caller takes.
	Unfinished bool
	Deadline   time.Time

	state charter.State
	// startedAt is when the request took its slot; zero while it is queued.
	startedAt time.Time
	// admittedBy is the target that runs or queues the request; nil after its end.
	admittedBy *target
}

// Decision is the outcome of an offer.
type Decision struct {
	State charter.State
	// Err is the reason why the request was rejected; nil if it runs or is queued.
	Err *plantainrail.Error
}

// Admitter decides on requests for the targets of one VM.
type Admitter struct {
	targets map[string]*target
	// announced is the size of what the targets have announced, in bytes.
	announced int
	limited   Limited
	// requests holds the open requests and the remembered ended ones by ID.
	requests map[string]*Request
	// ended lists the remembered ended requests from oldest to newest.
	ended []endedRequest
	// draining is set by Drain.
	draining bool
	// leavingIncarnation maps a target to its incarnation that was marked as leaving.
	leavingIncarnation map[string]string
}

type endedRequest struct {
	id string
	// endedAt is zero for requests that Leave or Drain rejected, since those methods do not
	// get the current time.
	endedAt time.Time
}

type target struct {
	info  plantainrail.TargetInfo
	state charter.State
	// announcedUntil is when the latest announcement expires.
	announcedUntil time.Time
	// running counts the running requests that take a slot, and runningByKind counts
	// them by kind.
	running int
	// openRequests counts the running and queued requests, each of which takes a
	// connection.
	openRequests int
	// unfinished counts the open requests whose body had not arrived, and unfinishedRunning those of them that take a slot.
	unfinished, unfinishedRunning int
	// wholeShareUntil is until when a share of the places is kept for whole requests.
	wholeShareUntil time.Time
	runningByKind   map[string]int
	// queue is sorted by precedes.
	queue []*Request
	// meanServiceTime is an exponential moving average; 0 before the first sample.
	meanServiceTime time.Duration
}

// New returns an Admitter without targets.
func New() *Admitter {
	return &Admitter{targets: map[string]*target{}, requests: map[string]*Request{}, leavingIncarnation: map[string]string{}}
}

// Limited counts what the bounds on targets and leaves have turned away since the start.
type Limited struct {
	// Announcements counts those that were refused, and Leaves those that were forgotten for others.
	Announcements int64 `json:"announcements"`
	Leaves        int64 `json:"leaves"`
}

// Limited returns the counts.
func (a *Admitter) Limited() Limited { return a.limited }

// Announce records that a target is present. A new incarnation starts without requests;
// an incarnation that was marked as leaving stays leaving. While the VM is draining,
// every announced target is leaving. It returns false, and records nothing, if there is no
// room for another target.
func (a *Admitter) Announce(now time.Time, info plantainrail.TargetInfo) bool {
	t, ok := a.targets[info.Name]
	before := 0
	if ok {
		before = announcedBytes(t.info)
	}
	grown := announcedBytes(info) - before
	if !a.hasRoom(ok, grown) {
		a.forgetExpired(now)
		if t, ok = a.targets[info.Name]; !ok {
			grown = announcedBytes(info)
		}
		if !a.hasRoom(ok, grown) {
			a.limited.Announcements++
			return false
		}
	}
	a.announced += grown
	if !ok || t.info.Incarnation != info.Incarnation {
		t = &target{state: targetChart.Initial, runningByKind: map[string]int{}}
		a.targets[info.Name] = t
	}
	t.info = info
	t.announcedUntil = now.Add(announcementLifetime)
	if a.draining || a.leavingIncarnation[info.Name] == info.Incarnation {
		t.state, _ = targetChart.Next(t.state, "leave")
	}
	return true
}

// hasRoom reports whether what targets announce may grow, by a target that is known or not.
func (a *Admitter) hasRoom(known bool, grown int) bool {
	return a.announced+grown <= maxTargetBytes && (known || len(a.targets) < maxTargets)
}

// forgetExpired forgets the targets that are no longer announced and have no open requests.
func (a *Admitter) forgetExpired(now time.Time) {
	for name, t := range a.targets {
		if now.After(t.announcedUntil) && t.openRequests == 0 {
			a.announced -= announcedBytes(t.info)
			delete(a.targets, name)
		}
	}
}

// announcedBytes returns what a target takes in bytes.
func announcedBytes(info plantainrail.TargetInfo) int {
	n := targetBytes + len(info.Name) + len(info.Incarnation) + len(info.Address)
	for _, kind := range info.Kinds {
		n += len(kind) + int(unsafe.Sizeof(kind))
	}
	return n
}

// IsAnnounced reports whether an incarnation of a target has announced itself
// recently, that is, within announcementLifetime.
func (a *Admitter) IsAnnounced(now time.Time, name, incarnation string) bool {
	t, ok := a.targets[name]
	return ok && t.info.Incarnation == incarnation && !now.After(t.announcedUntil)
}

// Leave marks an incarnation of a target as leaving: it gets no new requests, and running
// ones continue. Queued requests are rejected and returned. If the incarnation has not
// announced itself yet, ok is false and it becomes leaving with its announcement.
func (a *Admitter) Leave(name, incarnation string) (rejected []*Request, ok bool) {
	a.rememberLeave(name, incarnation)
	t, found := a.targets[name]
	if !found || t.info.Incarnation != incarnation {
		return nil, false
	}
	t.state, _ = targetChart.Next(t.state, "leave")
	return a.rejectQueued(t), true
}

// rememberLeave records a leave, in the place of any of a target that is not here if there are too many. Entries
// repeat those that the log holds.
func (a *Admitter) rememberLeave(name, incarnation string) {
	for other := range a.leavingIncarnation {
		if len(a.leavingIncarnation) < maxLeaving {
			break
		}
		if a.targets[other] == nil {
			delete(a.leavingIncarnation, other)
			a.limited.Leaves++
		}
	}
	a.leavingIncarnation[name] = incarnation
}

// Drain marks every target of the VM as leaving. It rejects the queued requests and
// returns them.
func (a *Admitter) Drain() []*Request {
	a.draining = true
	var rejected []*Request
	for _, t := range a.targets {
		t.state, _ = targetChart.Next(t.state, "leave")
		rejected = append(rejected, a.rejectQueued(t)...)
	}
	return rejected
}

// rejectQueued rejects the requests in a target's queue and returns them.
func (a *Admitter) rejectQueued(t *target) []*Request {
	rejected := t.queue
	t.queue = nil
	for _, r := range rejected {
		// The state chart calls the event drain also if only this target leaves.
		a.endRequest(r, "drain", time.Time{})
	}
	return rejected
}

// Offer admits, queues or rejects a request. A request whose ID is remembered is
// rejected, so a request starts at most once on this VM. An ID that is rejected for
// another reason is not remembered, and may be offered again.
func (a *Admitter) Offer(now time.Time, r *Request) Decision {
	if earlier, ok := a.requests[r.ID]; ok {
		return Decision{RequestRefused, plantainrail.NewError(plantainrail.CodeVoided, "request %s is already %s here", r.ID, earlier.state)}
	}
	r.state = requestChart.Initial
	t, err := a.checkAdmission(now, r)
	if err != nil {
		if t != nil && !r.Unfinished && err.Code == plantainrail.CodeOverloaded {
			t.wholeShareUntil = now.Add(wholeShareWindow)
		}
		r.state, _ = requestChart.Next(r.state, "refuse")
		return Decision{r.state, err}
	}
	a.requests[r.ID] = r
	r.admittedBy = t
	t.openRequests++
	if r.Unfinished {
		t.unfinished++
	}
	if t.canRun(now, r) && !slices.ContainsFunc(t.queue, func(q *Request) bool { return t.canRun(now, q) }) {
		a.start(now, t, r)
		return Decision{State: r.state}
	}
	r.state, _ = requestChart.Next(r.state, "enqueue")
	t.enqueue(r)
	return Decision{State: r.state}
}

// checkAdmission returns the target that the request is for, if it is here, and the reason for
// rejecting the request, or nil.
func (a *Admitter) checkAdmission(now time.Time, r *Request) (*target, *plantainrail.Error) {
	t, ok := a.targets[r.Target]
	switch {
	case a.draining:
		return nil, plantainrail.NewError(plantainrail.CodeDraining, "the agent is stopping")
	case !ok || now.After(t.announcedUntil):
		return nil, plantainrail.NewError(plantainrail.CodeNoTarget, "target %s is not here", r.Target)
	case t.state == "leaving":
		return nil, plantainrail.NewError(plantainrail.CodeDraining, "target %s is leaving", r.Target)
	case !now.Before(r.Deadline):
		return nil, plantainrail.NewError(plantainrail.CodeDeadlinePassed, "at the agent")
	case t.openRequests >= t.info.Connections:
		return t, plantainrail.NewError(plantainrail.CodeOverloaded, "all %d connections are open", t.info.Connections)
	case r.Unfinished && t.unfinished >= t.info.Connections-t.wholeShare(now, t.info.Connections):
		return t, plantainrail.NewError(plantainrail.CodeOverloaded, "%d requests wait for their bodies", t.unfinished)
	case !t.canRun(now, r) && t.queuedOfKind(r.Kind) >= r.MaxQueued:
		return t, plantainrail.NewError(plantainrail.CodeOverloaded, "the queue of kind %s is full", r.Kind)
	case t.wouldMissDeadline(now, r):
		return t, plantainrail.NewError(plantainrail.CodeOverloaded, "the wait would pass the deadline")
	}
	return t, nil
}

// canRun reports whether the target's slots and the kind's limit let a request run now.
// Neither applies to an event stream.
func (t *target) canRun(now time.Time, r *Request) bool {
	if r.Feed {
		return true
	}
	if r.Unfinished && t.unfinishedRunning >= t.info.Slots-t.wholeShare(now, t.info.Slots) {
		return false
	}
	if r.MaxRunning > 0 && t.runningByKind[r.Kind] >= r.MaxRunning {
		return false
	}
	return t.running < t.info.Slots
}

// wholeShare returns how many of a number of places are kept for whole requests: a quarter, but not the only one, while such
// requests are refused, and none otherwise.
func (t *target) wholeShare(now time.Time, places int) int {
	if !now.Before(t.wholeShareUntil) {
		return 0
	}
	return min(max(1, places/4), places-1)
}

// queuedOfKind counts the queued requests of a kind.
func (t *target) queuedOfKind(kind string) int {
	n := 0
	for _, q := range t.queue {
		if q.Kind == kind {
			n++
		}
	}
	return n
}

// wouldMissDeadline reports whether a request would end after its deadline, estimated
// from the mean service time and the requests queued ahead of it. It is false if
// the request can run at once, that is, if canRun is true, or if no service time was
// measured yet.
func (t *target) wouldMissDeadline(now time.Time, r *Request) bool {
	if t.canRun(now, r) || t.meanServiceTime == 0 {
		return false
	}
	// The request waits until as many requests have ended as are queued ahead of it, and
	// one more.
	ahead := 1
	for _, q := range t.queue {
		if precedes(q, r) {
			ahead++
		}
	}
	wait := t.meanServiceTime * time.Duration(ahead) / time.Duration(max(t.info.Slots, 1))
	return now.Add(wait + t.meanServiceTime).After(r.Deadline)
}

// precedes reports whether a is ahead of b in the queue: the higher weight first, then
// the earlier deadline.
func precedes(a, b *Request) bool {
	if a.Weight != b.Weight {
		return a.Weight > b.Weight
	}
	return a.Deadline.Before(b.Deadline)
}

// enqueue inserts a request into the queue, behind those of the same rank: the comparison
// never returns 0.
func (t *target) enqueue(r *Request) {
	i, _ := slices.BinarySearchFunc(t.queue, r, func(q, r *Request) int {
		if precedes(r, q) {
			return 1
		}
		return -1
	})
	t.queue = slices.Insert(t.queue, i, r)
}

// start makes a request running and takes a slot for it, unless it is an event stream.
func (a *Admitter) start(now time.Time, t *target, r *Request) {
	r.state, _ = requestChart.Next(r.state, "admit")
	r.startedAt = now
	if r.Feed {
		return
	}
	t.running++
	t.runningByKind[r.Kind]++
	if r.Unfinished {
		t.unfinishedRunning++
	}
}

// Finish ends a running request with the event "finish", "fail" or "reject"; "reject"
// means that the target did not accept it. Finish returns the queued requests that were
// started and those that were rejected because their deadline has passed. It does nothing
// if the request is not running.
func (a *Admitter) Finish(now time.Time, id string, event charter.Event) (started, expired []*Request) {
	r, ok := a.requests[id]
	if !ok || r.state != RequestRunning {
		return nil, nil
	}
	t := r.admittedBy
	if !r.Feed {
		t.running--
		t.runningByKind[r.Kind]--
		if r.Unfinished {
			t.unfinishedRunning--
		}
		if !r.Unfinished || event == "finish" {
			// What a target waits for a body that never ends is no service time.
			t.recordServiceTime(now.Sub(r.startedAt))
		}
	}
	a.endRequest(r, event, now)
	return a.startQueued(now, t)
}

// recordServiceTime adds a service time to the exponential moving average.
func (t *target) recordServiceTime(d time.Duration) {
	if t.meanServiceTime == 0 {
		t.meanServiceTime = d
		return
	}
	t.meanServiceTime += time.Duration(serviceTimeEMAWeight * float64(d-t.meanServiceTime))
}

// startQueued starts queued requests while slots are free and rejects those whose
// deadline has passed; it returns both. A request whose kind is at its limit does not
// block those behind it.
func (a *Admitter) startQueued(now time.Time, t *target) (started, expired []*Request) {
	var stillQueued []*Request
	for _, q := range t.queue {
		switch {
		case !now.Before(q.Deadline):
			a.endRequest(q, "expire", now)
			expired = append(expired, q)
		case t.canRun(now, q):
			a.start(now, t, q)
			started = append(started, q)
		default:
			stillQueued = append(stillQueued, q)
		}
	}
	t.queue = stillQueued
	return started, expired
}

// endRequest applies the event that ends a request. It then deletes ended requests,
// oldest first, while more than maxEndedRequests are remembered or the oldest one ended
// more than endedRetention ago. A request whose endedAt is zero has no known age: it and
// the requests that ended after it stay until there are more than maxEndedRequests.
func (a *Admitter) endRequest(r *Request, event charter.Event, now time.Time) {
	r.state, _ = requestChart.Next(r.state, event)
	r.admittedBy.openRequests--
	if r.Unfinished {
		r.admittedBy.unfinished--
	}
	r.admittedBy = nil
	a.ended = append(a.ended, endedRequest{r.ID, now})
	for len(a.ended) > 0 && (len(a.ended) > maxEndedRequests || (!now.IsZero() && now.Sub(a.ended[0].endedAt) > endedRetention && !a.ended[0].endedAt.IsZero())) {
		delete(a.requests, a.ended[0].id)
		a.ended = a.ended[1:]
	}
}

// Void prevents a request from starting, unless it has already started. A request that
// was not offered yet will be rejected. Void returns the request's resulting state.
func (a *Admitter) Void(now time.Time, id string) charter.State {
	r, ok := a.requests[id]
	if !ok {
		a.requests[id] = &Request{ID: id, state: RequestVoided}
		a.ended = append(a.ended, endedRequest{id, now})
		return RequestVoided
	}
	if r.state != RequestQueued {
		return r.state
	}
	t := r.admittedBy
	t.queue = slices.DeleteFunc(t.queue, func(q *Request) bool { return q == r })
	a.endRequest(r, "void", now)
	return r.state
}

// State returns the state of a request, or false if its ID is unknown or no longer
// remembered.
func (a *Admitter) State(id string) (charter.State, bool) {
	r, ok := a.requests[id]
	if !ok {
		return "", false
	}
	return r.state, true
}

// TargetLoad is an agent's report of the load of one of its targets.
type TargetLoad struct {
	Info    plantainrail.TargetInfo `cbor:"0,keyasint"`
	Running int                     `cbor:"1,keyasint"`
	Queued  int                     `cbor:"2,keyasint"`
	Leaving bool                    `cbor:"3,keyasint,omitempty"`
}

// Loads returns the loads of the targets that are present, sorted by name. It drops
// targets whose announcement has expired and that have no open requests.
func (a *Admitter) Loads(now time.Time) []TargetLoad {
	a.forgetExpired(now)
	var loads []TargetLoad
	for _, t := range a.targets {
		if now.After(t.announcedUntil) {
			continue
		}
		loads = append(loads, TargetLoad{t.info, t.running, len(t.queue), t.state == "leaving"})
	}
	slices.SortFunc(loads, func(x, y TargetLoad) int {
		return strings.Compare(x.Info.Name, y.Info.Name)
	})
	return loads
}

// OpenRequests returns the number of running and queued requests.
func (a *Admitter) OpenRequests() int {
	n := 0
	for _, t := range a.targets {
		n += t.openRequests
	}
	return n
}
