// Package worker simulates the platform's worker runtime on one VM, which the agent
// calls through package launcher. It runs tasks that only take time, under the VM's
// lease. It records when each attempt ran, so that tests and benchmarks can check the
// results. Package runner simulates the workers that package minder manages.
package worker

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/launcher"
)

const (
	// checkpointStepMS is the granularity of the progress in checkpoints.
	checkpointStepMS = 20
	// negligibleWorkMS is the remaining work below which an attempt counts as done:
	// 10 ns. Otherwise a rounding error could make advance release an attempt that
	// has finished.
	negligibleWorkMS = 1e-5
)

// Span describes the run of one attempt.
type Span struct {
	plantainrail.AttemptRef
	VM    string    `json:"vm"`
	Zone  string    `json:"zone"`
	Start time.Time `json:"start"`
	// End is zero while the attempt runs.
	End time.Time `json:"end"`
	// StartProgress is the progress in the checkpoint from which the attempt started,
	// and EndProgress that in the checkpoint that it saved at its end, both in ms of
	// declared run time.
	StartProgress int  `json:"from"`
	EndProgress   int  `json:"to"`
	Finished      bool `json:"finished"`
}

// Tally holds what a Worker recorded.
type Tally struct {
	Spans []Span `json:"spans"`
	// Overcommits counts the starts that exceeded the VM's capacity.
	Overcommits int `json:"overcommits"`
}

// attempt is a started attempt whose status is still stored.
type attempt struct {
	status plantainrail.TaskStatus
	kind   string
	// spanIndex is the index of the attempt's span in the tally.
	spanIndex int
	// work is the declared run time in ms.
	work float64
	// progress is in ms of declared work, as of progressAt.
	progress   float64
	progressAt time.Time
	// share is the share of its processors that the attempt gets, in thousandths.
	share int
	// latestUsage is the usage measured at measuredAt. It is reported only after the
	// next measurement; see updateUsage.
	latestUsage plantainrail.Resources
	measuredAt  time.Time
}

// Worker is a simulated worker runtime. It is an http.Handler.
type Worker struct {
	vm       string
	zone     string
	capacity plantainrail.Resources
	mux      *http.ServeMux

	mu sync.Mutex
	// holder is the agent incarnation that last claimed the VM; only its starts are
	// accepted.
	holder string
	// leaseEnd is when the VM's lease expires, at which all running attempts end.
	leaseEnd time.Time
	attempts map[plantainrail.AttemptRef]*attempt
	// stopped holds the attempts that were stopped and may not start again.
	stopped map[plantainrail.AttemptRef]bool
	// reserved is what the running attempts reserve.
	reserved plantainrail.Resources
	tally    Tally
	// SetBroken, SetLoseStartReplies, SetProfiles and SetInterferenceScale set the
	// fields below.
	broken            bool
	loseStartReplies  bool
	profiles          map[string]KindProfile
	interferenceScale float64
}

// New returns a Worker for a VM.
func New(vm, zone string, capacity plantainrail.Resources) *Worker {
	w := &Worker{
		vm: vm, zone: zone, capacity: capacity, mux: http.NewServeMux(),
		attempts: map[plantainrail.AttemptRef]*attempt{}, stopped: map[plantainrail.AttemptRef]bool{}, interferenceScale: 1,
	}
	handle(w, "POST /start", w.start)
	handle(w, "POST /stop", w.stop)
	handle(w, "POST /lease", w.renewLease)
	handle(w, "POST /tasks", w.listTasks)
	handle(w, "POST /hold", w.claimVM)
	handle(w, "POST /forget", w.forget)
	handle(w, "POST /throttle", w.throttle)
	// These two paths are for tests in other processes.
	w.mux.HandleFunc("GET /tally", func(rw http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(rw).Encode(w.Tally()) })
	w.mux.HandleFunc("POST /break", func(http.ResponseWriter, *http.Request) { w.SetBroken(true) })
	return w
}

// handle registers the handler of a call. The handler runs with the worker's lock
// held, after advance has brought the progress up to date. If its second result is
// not empty, it is the reason of a rejection, which gets a response with status 409.
func handle[In, Out any](w *Worker, pattern string, call func(time.Time, In) (Out, string)) {
	w.mux.HandleFunc(pattern, func(rw http.ResponseWriter, req *http.Request) {
		var in In
		if err := json.NewDecoder(req.Body).Decode(&in); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		now := time.Now()
		w.advance(now)
		out, rejection := call(now, in)
		w.mu.Unlock()
		if rejection != "" {
			http.Error(rw, rejection, http.StatusConflict)
			return
		}
		_ = json.NewEncoder(rw).Encode(out)
	})
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, req *http.Request) { w.mux.ServeHTTP(rw, req) }

// SetBroken sets whether every attempt that starts from now on fails immediately.
func (w *Worker) SetBroken(broken bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = broken
}

// SetLoseStartReplies sets whether start calls fail although the attempt starts, as if
// the reply was lost: the response has status 409, which the agent's launcher reports as
// an error, so the agent cannot tell that the attempt started.
func (w *Worker) SetLoseStartReplies(enabled bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loseStartReplies = enabled
}

// Tally returns a copy of what was recorded.
func (w *Worker) Tally() Tally {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
	t := w.tally
	t.Spans = append([]Span(nil), t.Spans...)
	return t
}

// FailVM ends all attempts and deletes their statuses and the agent's claim, as the
// loss of the VM does.
func (w *Worker) FailVM() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.advance(now)
	for _, a := range w.attempts {
		w.endAttempt(a, now, plantainrail.PhaseReleased, "the VM failed")
	}
	clear(w.attempts)
	w.holder = ""
}

// advance brings the progress of all attempts up to the given time. Attempts finish
// when their work is done and are released when the lease ends. Each end changes the
// speed of the remaining attempts, so the ends are processed in order of time. The
// caller holds the lock.
func (w *Worker) advance(now time.Time) {
	for {
		next, at := w.nextEnd()
		if next == nil || at.After(now) {
			break
		}
		w.accrueProgress(at)
		if next.progress >= next.work {
			w.endAttempt(next, at, plantainrail.PhaseFinished, "")
			continue
		}
		w.endAttempt(next, at, plantainrail.PhaseReleased, "the lease ended")
	}
	w.accrueProgress(now)
}

// nextEnd returns the running attempt that ends first at the present speed, because it
// finishes or because the lease ends, and the time of that end. It returns nil if no
// attempt runs.
func (w *Worker) nextEnd() (*attempt, time.Time) {
	var next *attempt
	var at time.Time
	contention := w.contention()
	for _, a := range w.attempts {
		if a.status.Phase != plantainrail.PhaseRunning {
			continue
		}
		// An attempt cannot end before the time up to which its progress is known.
		end := w.leaseEnd
		if end.Before(a.progressAt) {
			end = a.progressAt
		}
		if rate := w.progressRate(a, contention); rate > 0 {
			remaining := time.Duration(math.Ceil((a.work - a.progress) / rate * float64(time.Millisecond)))
			if finish := a.progressAt.Add(remaining); !finish.After(end) {
				end = finish
			}
		}
		if next == nil || end.Before(at) {
			next, at = a, end
		}
	}
	return next, at
}

// accrueProgress adds the progress up to the given time at the present speed.
func (w *Worker) accrueProgress(at time.Time) {
	contention := w.contention()
	for _, a := range w.attempts {
		if a.status.Phase != plantainrail.PhaseRunning || !at.After(a.progressAt) {
			continue
		}
		elapsedMS := float64(at.Sub(a.progressAt)) / float64(time.Millisecond)
		a.progress = min(a.work, a.progress+elapsedMS*w.progressRate(a, contention))
		if a.work-a.progress < negligibleWorkMS {
			a.progress = a.work
		}
		a.progressAt = at
	}
}

// endAttempt ends a running attempt in the given phase and saves its progress as
// a checkpoint. It does nothing if the attempt has already ended.
func (w *Worker) endAttempt(a *attempt, at time.Time, phase plantainrail.TaskPhase, reason string) {
	if a.status.Phase != plantainrail.PhaseRunning {
		return
	}
	savedProgress := int(a.progress) / checkpointStepMS * checkpointStepMS
	if phase == plantainrail.PhaseFinished {
		savedProgress = int(a.work)
	}
	a.status.Phase = phase
	a.status.Reason = reason
	a.status.Checkpoint = plantainrail.Checkpoint(strconv.Itoa(savedProgress))
	w.reserved = w.reserved.Sub(a.status.Resources)
	span := &w.tally.Spans[a.spanIndex]
	span.End = at
	span.EndProgress = savedProgress
	span.Finished = phase == plantainrail.PhaseFinished
}

// empty is the body of a call or a reply without fields.
type empty struct{}

// start starts an attempt, unless the claim, the lease, the start's time limit or an
// earlier stop forbids it. Starting an attempt again succeeds without an effect.
func (w *Worker) start(now time.Time, s plantainrail.TaskStart) (empty, string) {
	switch {
	case s.Incarnation != w.holder:
		return empty{}, "another incarnation holds the VM"
	case now.After(s.NotAfter):
		return empty{}, "the start came too late"
	case !now.Before(w.leaseEnd):
		return empty{}, "the lease has ended"
	case w.stopped[s.AttemptRef]:
		return empty{}, "the attempt was stopped"
	case w.attempts[s.AttemptRef] != nil:
		return empty{}, ""
	}
	// The error is ignored: an attempt without a checkpoint starts from 0.
	startProgress, _ := strconv.Atoi(string(s.Checkpoint))
	a := &attempt{
		kind: s.Kind, work: float64(s.Work), progress: float64(startProgress), progressAt: now, share: fullShare,
		spanIndex: len(w.tally.Spans), measuredAt: now,
	}
	a.status = plantainrail.TaskStatus{
		AttemptRef: s.AttemptRef, Incarnation: s.Incarnation, Kind: s.Kind,
		Phase: plantainrail.PhaseRunning, Resources: s.Resources,
	}
	w.tally.Spans = append(w.tally.Spans, Span{AttemptRef: s.AttemptRef, VM: w.vm, Zone: w.zone, Start: now, StartProgress: startProgress})
	w.attempts[s.AttemptRef] = a
	w.reserved = w.reserved.Add(s.Resources)
	if !w.reserved.Fits(w.capacity) {
		w.tally.Overcommits++
	}
	if w.broken {
		w.endAttempt(a, now, plantainrail.PhaseFailed, "the worker is broken")
	}
	if w.loseStartReplies {
		return empty{}, "the reply was lost"
	}
	return empty{}, ""
}

// stop ends an attempt, rejects its later starts, and replies with its checkpoint, or
// without one if the attempt is unknown.
func (w *Worker) stop(now time.Time, ref plantainrail.AttemptRef) (launcher.StopReply, string) {
	w.stopped[ref] = true
	a := w.attempts[ref]
	if a == nil {
		return launcher.StopReply{}, ""
	}
	w.endAttempt(a, now, plantainrail.PhaseReleased, "stopped")
	return launcher.StopReply{Checkpoint: a.status.Checkpoint}, ""
}

// renewLease extends the VM's lease. It never shortens it.
func (w *Worker) renewLease(_ time.Time, l launcher.LeaseRequest) (empty, string) {
	if l.Until.After(w.leaseEnd) {
		w.leaseEnd = l.Until
	}
	return empty{}, ""
}

// throttle sets the processor share of an attempt, limited to the range from 1 to
// fullShare thousandths. It rejects the call if the attempt does not run.
func (w *Worker) throttle(_ time.Time, t launcher.ThrottleRequest) (empty, string) {
	a := w.attempts[t.AttemptRef]
	if a == nil || a.status.Phase != plantainrail.PhaseRunning {
		return empty{}, "the attempt does not run"
	}
	a.share = min(max(t.Share, 1), fullShare)
	return empty{}, ""
}

// listTasks replies with every attempt status that is still stored, after updating the
// reported usage. Running attempts are reported without a checkpoint.
func (w *Worker) listTasks(now time.Time, _ empty) (launcher.TasksReply, string) {
	reply := launcher.TasksReply{Holder: w.holder}
	for _, a := range w.attempts {
		w.updateUsage(a, now)
		status := a.status
		if status.Phase == plantainrail.PhaseRunning {
			status.Checkpoint = nil
		}
		reply.Tasks = append(reply.Tasks, status)
	}
	return reply, ""
}

// claimVM makes an agent incarnation the holder of the VM. Running attempts go on.
func (w *Worker) claimVM(_ time.Time, h launcher.ClaimRequest) (empty, string) {
	w.holder = h.Incarnation
	return empty{}, ""
}

// forget deletes the status of an attempt that has ended. It ignores running and unknown
// attempts.
func (w *Worker) forget(_ time.Time, ref plantainrail.AttemptRef) (empty, string) {
	if a := w.attempts[ref]; a != nil && a.status.Phase != plantainrail.PhaseRunning {
		delete(w.attempts, ref)
	}
	return empty{}, ""
}
