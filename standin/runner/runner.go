// Package runner simulates a worker of the platform for tests of the agents of
// package minder. It runs tasks that only take time, under a lease, and sends
// heartbeats to its agent. It keeps a history of all runs for tests to check. The
// worker runtime of the product's own jobs is simulated by package worker.
package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxLease bounds the time from a call to the end of the lease that it grants.
	maxLease = 6 * time.Second
	// stopDuration is the time from the first call that stops a run to the end of
	// the run.
	stopDuration = 300 * time.Millisecond
	// crashDelay is the usual time from the start of a run that crashes the worker to the crash,
	// and crashDowntime the time from there to the restart.
	crashDelay    = 10 * time.Millisecond
	crashDowntime = 3200 * time.Millisecond
	// maxListedEnds is the number of ends that a reply lists at most.
	maxListedEnds = 500
	// shrinkDelay is how long the news that the capacity has shrunk may take to have an effect
	// on starts.
	shrinkDelay = 3 * time.Second
)

// Span describes one run in the history.
type Span struct {
	// Task is the name of the task, which begins with the job ID and a dot.
	Task string
	// Run is the number of the run, which increases with each run of the task.
	Run   int64
	Start time.Time
	// End is zero while the run is active.
	End time.Time
	// Outcome is how the run ended: "done", "failed", "stopped", "lapsed" if the lease
	// expired, or "gone" if the worker crashed or restarted. It is empty while the run
	// is active.
	Outcome string
	// Acknowledged is set when the agent acknowledges the end, unless the lease expired
	// between the end and the acknowledgement. After the expiry the task may have been
	// started on another worker already.
	Acknowledged bool
}

// Worker is a simulated worker on one VM. The spec of a task is its duration in
// milliseconds, "fail" for a task that fails after 100 ms, "crash" for a task that crashes
// the worker, or "crash" and the milliseconds until it does so. A task with an empty spec runs
// until it is stopped.
type Worker struct {
	id, service, zone, address string
	// agentAddress is the address of the agent that receives the heartbeats.
	agentAddress string
	client       *http.Client
	// unguarded means that starts beyond maxRuns are accepted.
	unguarded bool
	// heartbeatInterval is the time between two heartbeats.
	heartbeatInterval time.Duration

	mu sync.Mutex
	// maxRuns is the capacity: the maximum number of concurrent runs. earlierMaxRuns
	// holds its earlier values.
	maxRuns        int
	earlierMaxRuns []earlierMaxRuns
	// overloads describes the starts that brought the worker over its capacity.
	overloads []string
	// incarnation increases with each restart. Timers of an earlier incarnation
	// have no effect.
	incarnation int
	// startedAt is when the incarnation began; the worker's clock counts from it. born is
	// the time of day then, in Unix milliseconds, which differs by clockError.
	startedAt  time.Time
	born       int64
	clockError time.Duration
	crashed    bool
	// muted is set while no heartbeats are sent.
	muted bool
	// epoch is the highest fencing token of the calls to this incarnation; calls with
	// a lower one are rejected.
	epoch int64
	// leaseEnd is the end of the lease. It is valid only if leased is set, which
	// happens when this incarnation gets its first lease.
	leaseEnd time.Time
	leased   bool
	// activeRuns holds, by task, the newest run if it has not ended.
	activeRuns map[string]*activeRun
	// staleThrough holds, by task, the highest run number whose start is rejected
	// as stale.
	staleThrough map[string]int64
	// unackedEnds holds the ends of runs that the agent has not acknowledged, in the
	// order of their numbers.
	unackedEnds []*endedRun
	// lastEndNumber is the number of the newest end of this incarnation.
	lastEndNumber int64
	// forgottenThrough is the highest number that a lease renewal has acknowledged. Ends up to
	// it are not listed, also if they occur later.
	forgottenThrough int64
	// state is what the heartbeats report: "ready" or "draining".
	state   string
	history []*Span
	// changed is closed and replaced when a run ends or the worker restarts.
	changed chan struct{}
	// restarted holds at most one signal that the worker has restarted.
	restarted chan struct{}
	// startDelay, if not 0, is the delay before a call that starts a run is executed. Such
	// a call gets no response.
	startDelay time.Duration
	// lateCalls holds, by path, the delay before calls are executed whose connections break; see
	// DelayCalls.
	lateCalls map[string]time.Duration
}

// earlierMaxRuns is an earlier value of maxRuns, which was valid until the given time.
type earlierMaxRuns struct {
	maxRuns int
	until   time.Time
}

// activeRun is a run that has not ended.
type activeRun struct {
	*Span
	// timer ends the run when its duration has passed.
	timer *time.Timer
	// stopping is set when a call has asked to stop the run.
	stopping bool
}

// endedRun is the end of a run that waits to be acknowledged.
type endedRun struct {
	// number is the number of the end, which increases with each end.
	number int64
	*Span
	// leaseExpired is set if the lease expires after the run has ended and before the end
	// is acknowledged. It stays unset if the run ended because the lease expired.
	leaseExpired bool
}

// Options describe a worker.
type Options struct {
	// Address is what the heartbeats report as the worker's address. The heartbeats are
	// sent to AgentAddress.
	ID, Service, Zone, Address, AgentAddress string
	Client                                   *http.Client
	// MaxRuns is the maximum number of concurrent runs. An unguarded worker accepts
	// starts beyond it; see Overloads.
	MaxRuns   int
	Unguarded bool
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval time.Duration
}

// New returns a worker in its first incarnation.
func New(o Options) *Worker {
	r := &Worker{
		id: o.ID, service: o.Service, zone: o.Zone, address: o.Address, agentAddress: o.AgentAddress, client: o.Client,
		maxRuns: o.MaxRuns, unguarded: o.Unguarded, heartbeatInterval: o.HeartbeatInterval,
		changed: make(chan struct{}), restarted: make(chan struct{}, 1), lateCalls: map[string]time.Duration{},
	}
	// Restart begins the first incarnation.
	r.Restart()
	return r
}

// Restart restarts the worker: it ends all runs and begins a new incarnation
// with the same ID, which has had its present capacity from the beginning.
func (r *Worker) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.activeRuns {
		s.timer.Stop()
		s.End, s.Outcome = time.Now(), "gone"
	}
	r.incarnation++
	r.earlierMaxRuns = nil
	r.startedAt, r.crashed, r.epoch, r.leased = time.Now(), false, 0, false
	r.born = r.startedAt.Add(r.clockError).UnixMilli()
	r.activeRuns, r.staleThrough, r.unackedEnds, r.lastEndNumber, r.forgottenThrough, r.state = map[string]*activeRun{}, map[string]int64{}, nil, 0, 0, "ready"
	r.signalChange()
	select {
	case r.restarted <- struct{}{}:
	default:
	}
}

// Crash ends all runs and makes the worker unreachable until Restart is called.
func (r *Worker) Crash() {
	// Restart ends the runs.
	r.Restart()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashed = true
}

// crashAndRestart crashes the incarnation, and begins the next one after crashDowntime.
func (r *Worker) crashAndRestart(incarnation int) {
	r.mu.Lock()
	current := r.incarnation == incarnation
	r.mu.Unlock()
	if !current {
		return
	}
	r.Crash()
	time.AfterFunc(crashDowntime, r.Restart)
}

// StepClock sets the time of day forward, or back if the duration is negative. It is told
// only by the start of later incarnations.
func (r *Worker) StepClock(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clockError += d
}

// Drain makes the worker report that it is draining. It still accepts starts.
func (r *Worker) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = "draining"
}

// Mute makes the worker send no heartbeats, or send them again. It still answers calls.
func (r *Worker) Mute(muted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.muted = muted
}

// DelayStarts sets a delay after which calls that start runs are executed. These calls
// get no response. 0 turns this off.
func (r *Worker) DelayStarts(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startDelay = delay
}

// DelayCalls sets a delay after which calls with the path are executed, also by a later
// incarnation. These calls get no response. 0 turns this off.
func (r *Worker) DelayCalls(path string, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lateCalls[path] = delay
}

// executeLate executes a call that DelayCalls has delayed, unless the worker is down or the call
// has a lower fencing token than an earlier one.
func (r *Worker) executeLate(path string, c callBody) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.crashed || c.Epoch < r.epoch {
		return
	}
	r.epoch = c.Epoch
	switch path {
	case "/run-start":
		r.startRun(c)
	case "/run-stop":
		r.stopRun(c)
	case "/hold":
		r.extendLease(c.Deadline)
		// The agent does not acknowledge what it has not seen.
		r.forgetEnds(c.AckedThrough)
	}
}

// SetMaxRuns changes the capacity, which the next heartbeat shows. Active runs go on.
func (r *Worker) SetMaxRuns(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.earlierMaxRuns = append(r.earlierMaxRuns, earlierMaxRuns{r.maxRuns, time.Now()})
	r.maxRuns = n
}

// MaxRuns returns the maximum number of concurrent runs, which is 0 while the worker is down or drains.
func (r *Worker) MaxRuns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.crashed || r.state != "ready" {
		return 0
	}
	return r.maxRuns
}

// Overloads describes the starts that brought the worker over its capacity. Runs that are
// being stopped count, and a smaller capacity counts once it is older than the heartbeat
// that shows it and shrinkDelay.
func (r *Worker) Overloads() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.overloads)
}

// checkOverload records a start that brings the worker over its capacity. The caller
// holds the lock.
func (r *Worker) checkOverload(s *activeRun) {
	allowed := r.maxRuns
	for _, e := range r.earlierMaxRuns {
		if time.Since(e.until) < r.heartbeatInterval+shrinkDelay {
			allowed = max(allowed, e.maxRuns)
		}
	}
	if n := len(r.activeRuns); n > allowed {
		r.overloads = append(r.overloads, fmt.Sprintf("%s: run %d of %s is one of %d on a worker for %d", r.id, s.Run, s.Task, n, allowed))
	}
}

// History returns a copy of all runs so far, those of earlier incarnations
// included.
func (r *Worker) History() []Span {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Span, len(r.history))
	for i, s := range r.history {
		out[i] = *s
	}
	return out
}

// signalChange wakes the calls that wait in renewLease. The caller holds the lock.
func (r *Worker) signalChange() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Run sends heartbeats until the context ends: at each restart, and then at an interval.
func (r *Worker) Run(ctx context.Context) {
	for sequence := 1; ctx.Err() == nil; sequence++ {
		r.sendHeartbeat(ctx, sequence)
		select {
		case <-ctx.Done():
		case <-r.restarted:
		case <-time.After(r.heartbeatInterval):
		}
	}
}

// sendHeartbeat sends one heartbeat, unless the worker has crashed. Errors are
// ignored: the next heartbeat follows soon.
func (r *Worker) sendHeartbeat(ctx context.Context, sequence int) {
	r.mu.Lock()
	// Each run counts as one processor: "cpu" is in thousandths of a core.
	body, err := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "state": r.state, "sequence": sequence,
		"capacity": map[string]int{"cpu": 1000 * r.maxRuns, "memMb": 64_000}, "labels": []string{"a", "r1-1"}, "born": r.born,
	})
	silent := r.crashed || r.muted
	r.mu.Unlock()
	if err != nil || silent {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.agentAddress+"/Instances.Heartbeat/"+r.id, bytes.NewReader(body))
	if err != nil {
		return
	}
	if response, err := r.client.Do(req); err == nil {
		_ = response.Body.Close()
	}
}

// callBody holds the fields of all calls to the worker; each call uses some of them.
type callBody struct {
	Task string `json:"task"`
	// Run is the number of the run.
	Run int64 `json:"runId"`
	// Spec sets the duration of the run; see Worker.
	Spec string `json:"spec"`
	// Deadline is the end of the lease on the worker's clock, in milliseconds; 0
	// leaves the lease as it is.
	Deadline int64 `json:"deadlineMs"`
	// Epoch is the fencing token of the caller.
	Epoch int64 `json:"fencingToken"`
	// AckedThrough is the number of the last acknowledged end.
	AckedThrough int64 `json:"lastSeen"`
	// Wait is how long a lease renewal may wait for an end, in milliseconds.
	Wait int64 `json:"waitMs"`
}

// ServeHTTP implements http.Handler. A crashed worker aborts the connection, and a
// call that is meant for another worker gets status 421. A call that DelayStarts or
// DelayCalls delays is executed later and gets no response.
func (r *Worker) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var c callBody
	if err := json.NewDecoder(req.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	crashed, startDelay, incarnation := r.crashed, r.startDelay, r.incarnation
	lateness := r.lateCalls[req.URL.Path]
	r.mu.Unlock()
	if crashed {
		panic(http.ErrAbortHandler)
	}
	if req.Header.Get("X-Expected-Instance") != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if req.URL.Path == "/run-start" && startDelay > 0 {
		time.AfterFunc(startDelay, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.incarnation == incarnation && c.Epoch >= r.epoch {
				r.startRun(c)
			}
		})
	}
	if lateness > 0 {
		time.AfterFunc(lateness, func() { r.executeLate(req.URL.Path, c) })
	}
	if lateness > 0 || req.URL.Path == "/run-start" && startDelay > 0 {
		// The server notices that the client has gone only after the body is read.
		_, _ = io.Copy(io.Discard, req.Body)
		<-req.Context().Done()
		return
	}
	r.dispatch(req.Context(), w, req.URL.Path, c)
}

// dispatch executes a call and replies to it. It rejects a call whose fencing token is
// lower than that of an earlier call to this incarnation. Calls that are not simulated
// succeed without an effect.
func (r *Worker) dispatch(ctx context.Context, w http.ResponseWriter, path string, c callBody) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Epoch < r.epoch {
		r.reject(w, "fence")
		return
	}
	r.epoch = c.Epoch
	switch path {
	case "/run-start":
		if reason := r.startRun(c); reason != "" {
			r.reject(w, reason)
			return
		}
		r.reply(w, map[string]any{})
	case "/run-stop":
		r.stopRun(c)
		r.reply(w, map[string]any{})
	case "/hold":
		r.renewLease(ctx, w, c)
	default:
		r.reply(w, map[string]any{})
	}
}

// reply responds to a call. Every response also holds the worker's clock and the time at
// which the incarnation began. The caller holds the lock.
func (r *Worker) reply(w http.ResponseWriter, body map[string]any) {
	body["clockMs"], body["born"] = r.clockMS(), r.born
	_ = json.NewEncoder(w).Encode(body)
}

// reject responds to a call with status 409 and the reason. The caller holds the lock.
func (r *Worker) reject(w http.ResponseWriter, reason string) {
	w.WriteHeader(http.StatusConflict)
	r.reply(w, map[string]any{"reason": reason})
}

// clockMS returns the worker's clock: milliseconds since the incarnation began.
func (r *Worker) clockMS() int64 { return time.Since(r.startedAt).Milliseconds() }

// extendLease sets the end of the lease to the deadline on the worker's clock, at
// most maxLease from now. It never shortens the lease, and a deadline of 0 leaves it
// as it is. The caller holds the lock.
func (r *Worker) extendLease(deadlineMS int64) {
	leaseEnd := r.startedAt.Add(time.Duration(deadlineMS) * time.Millisecond)
	leaseEnd = earlier(leaseEnd, time.Now().Add(maxLease))
	if deadlineMS == 0 || r.leased && !leaseEnd.After(r.leaseEnd) {
		return
	}
	r.leaseEnd, r.leased = leaseEnd, true
	incarnation := r.incarnation
	time.AfterFunc(time.Until(leaseEnd), func() { r.expireLease(incarnation) })
}

// earlier returns the earlier of the two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// expireLease ends all runs if the lease has expired. It does nothing if the lease was
// extended meanwhile or the worker was restarted.
func (r *Worker) expireLease(incarnation int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.incarnation != incarnation || time.Now().Before(r.leaseEnd) {
		return
	}
	for _, e := range r.unackedEnds {
		e.leaseExpired = true
	}
	for _, s := range r.activeRuns {
		r.endRun(s, "lapsed")
	}
}

// crashDelayOf returns the time from the start of a run to the crash of the worker; ok is false
// for a spec that does not crash it.
func crashDelayOf(spec string) (delay time.Duration, ok bool) {
	rest, ok := strings.CutPrefix(spec, "crash")
	if ms, err := strconv.Atoi(strings.TrimSpace(rest)); err == nil {
		return time.Duration(ms) * time.Millisecond, ok
	}
	return crashDelay, ok
}

// startRun extends the lease and starts a run. It returns an empty string, or the reason
// of a rejection: "old" for a stale run number, "late" without a valid lease or after the
// deadline of the start, and "room" if maxRuns runs are active and the worker guards its capacity. Starting an active run
// again only extends the lease. Starting a newer run does not end an active earlier run of
// the same task: the earlier run then never ends in the history, which Violations reports.
// The caller holds the lock.
func (r *Worker) startRun(c callBody) (reason string) {
	r.extendLease(c.Deadline)
	if s := r.activeRuns[c.Task]; s != nil && s.Run == c.Run {
		return ""
	}
	switch {
	case c.Run <= r.staleThrough[c.Task]:
		return "old"
	case !r.leased || !time.Now().Before(r.leaseEnd) || r.clockMS() >= c.Deadline:
		return "late"
	case len(r.activeRuns) >= r.maxRuns && !r.unguarded:
		return "room"
	}
	r.staleThrough[c.Task] = c.Run - 1
	s := &activeRun{Span: &Span{Task: c.Task, Run: c.Run, Start: time.Now()}}
	r.history = append(r.history, s.Span)
	r.activeRuns[c.Task] = s
	r.checkOverload(s)
	// A run without a duration ends after 24 h, which no test reaches.
	duration, outcome := 24*time.Hour, "done"
	if c.Spec == "fail" {
		duration, outcome = 100*time.Millisecond, "failed"
	} else if ms, err := strconv.Atoi(c.Spec); err == nil {
		duration = time.Duration(ms) * time.Millisecond
	}
	incarnation := r.incarnation
	if delay, deadly := crashDelayOf(c.Spec); deadly {
		time.AfterFunc(delay, func() { r.crashAndRestart(incarnation) })
	}
	s.timer = time.AfterFunc(duration, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.incarnation == incarnation && r.activeRuns[c.Task] == s {
			r.endRun(s, outcome)
		}
	})
	return ""
}

// endRun ends a run and adds it to the ends that wait to be acknowledged. The caller
// holds the lock.
func (r *Worker) endRun(s *activeRun, outcome string) {
	s.timer.Stop()
	s.End, s.Outcome = time.Now(), outcome
	delete(r.activeRuns, s.Task)
	r.staleThrough[s.Task] = max(r.staleThrough[s.Task], s.Run)
	r.lastEndNumber++
	if r.lastEndNumber > r.forgottenThrough {
		r.unackedEnds = append(r.unackedEnds, &endedRun{number: r.lastEndNumber, Span: s.Span})
	}
	r.signalChange()
}

// stopRun makes the task's active run end after stopDuration, if it is the named run
// or an earlier one. Later starts of the named run and of earlier ones are rejected.
// The caller holds the lock.
func (r *Worker) stopRun(c callBody) {
	r.staleThrough[c.Task] = max(r.staleThrough[c.Task], c.Run)
	s := r.activeRuns[c.Task]
	if s == nil || s.Run > c.Run || s.stopping {
		return
	}
	s.stopping = true
	incarnation := r.incarnation
	time.AfterFunc(stopDuration, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.incarnation == incarnation && r.activeRuns[c.Task] == s {
			r.endRun(s, "stopped")
		}
	})
}

// forgetEnds removes the ends up to the number from those that are listed, and returns them.
// The caller holds the lock.
func (r *Worker) forgetEnds(through int64) []*endedRun {
	r.forgottenThrough = max(r.forgottenThrough, through)
	var forgotten, kept []*endedRun
	for _, e := range r.unackedEnds {
		if e.number <= through {
			forgotten = append(forgotten, e)
		} else {
			kept = append(kept, e)
		}
	}
	r.unackedEnds = kept
	return forgotten
}

// renewLease extends the lease, removes acknowledged ends, and replies with the
// active runs and the remaining ends. It is a long poll: without an end to report it
// waits for one, up to the time that the call allows. The caller holds the lock, which
// is released during the wait. If the worker restarts during the wait, the reply has
// status 503.
func (r *Worker) renewLease(ctx context.Context, w http.ResponseWriter, c callBody) {
	r.extendLease(c.Deadline)
	for _, e := range r.forgetEnds(c.AckedThrough) {
		e.Acknowledged = !e.leaseExpired
	}
	incarnation := r.incarnation
	ctx, cancel := context.WithTimeout(ctx, time.Duration(c.Wait)*time.Millisecond)
	defer cancel()
	for waiting := true; waiting && len(r.unackedEnds) == 0 && r.incarnation == incarnation; {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			waiting = false
		}
		r.mu.Lock()
	}
	if r.incarnation != incarnation {
		// The end of the worker has broken the connection.
		panic(http.ErrAbortHandler)
	}
	// Each active run is reported with its task, run, checkpoint (always empty),
	// percentage of the work done (always 50) and measured processor use (always 0);
	// each end with its number, task, run, outcome and checkpoint (always empty).
	running, ended := [][]any{}, [][]any{}
	for _, s := range r.activeRuns {
		running = append(running, []any{s.Task, s.Run, "", 50, 0})
	}
	for _, e := range r.unackedEnds[:min(len(r.unackedEnds), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.Task, e.Run, e.Outcome, ""})
	}
	r.reply(w, map[string]any{"running": running, "finished": ended})
}

// Violations checks the histories of all workers together and describes each
// violation: two runs of one task that overlap in time, or a run that began after
// another run of the task had ended with the outcome "done", if that end was
// acknowledged at any time. It describes at most one violation of the second kind for
// each task, and returns nil if there is no violation.
func Violations(histories ...[]Span) []string {
	var violations []string
	byTask := map[string][]Span{}
	for _, history := range histories {
		for _, s := range history {
			byTask[s.Task] = append(byTask[s.Task], s)
		}
	}
	for task, spans := range byTask {
		for i, a := range spans {
			for _, b := range spans[i+1:] {
				if overlap(a, b) {
					violations = append(violations, fmt.Sprintf("%s: runs %d and %d at the same time", task, a.Run, b.Run))
				}
			}
		}
		if violation := runAfterDone(spans); violation != "" {
			violations = append(violations, task+": "+violation)
		}
	}
	return violations
}

// overlap reports whether the two runs overlap in time.
func overlap(a, b Span) bool {
	return (a.End.IsZero() || b.Start.Before(a.End)) && (b.End.IsZero() || a.Start.Before(b.End))
}

// runAfterDone describes a run in the spans of one task that began after another run
// had ended with the outcome "done", if that end was acknowledged at any time. It
// returns "" if there is none, and stops at the first one.
func runAfterDone(spans []Span) string {
	for _, a := range spans {
		for _, b := range spans {
			if a.Outcome == "done" && a.Acknowledged && !b.Start.Before(a.End) && b.Run != a.Run {
				return fmt.Sprintf("run %d began after run %d was done and acknowledged", b.Run, a.Run)
			}
		}
	}
	return ""
}

// JobID returns the ID of the job in the name of a task.
func JobID(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}
