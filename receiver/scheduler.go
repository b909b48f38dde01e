package receiver

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/linker"
	"github.com/plantainrail/plantainrail/placer"
	"github.com/plantainrail/plantainrail/reducer"
)

const (
	scheduleEvery = 250 * time.Millisecond
	// repeatEvery is the pace at which an order that shows no effect is repeated.
	repeatEvery = time.Second
	// failureWindow is how long a worker's task failures count against it.
	failureWindow = 2 * time.Minute
	// placeLimit bounds the assignments proposed in one step.
	placeLimit = 200
)

// scheduler places the tasks that this entry owns and carries their steps
// between the agents and the log. Ownership only spares conflicts: what decides
// is the order of the log.
type scheduler struct {
	receiver *Receiver
	wake     chan struct{}

	mu   sync.Mutex
	live []string
	busy map[string]bool
	// starts and stops hold when each order was last sent.
	starts map[plantainrail.AttemptRef]time.Time
	stops  map[plantainrail.AttemptRef]time.Time
	// proposed holds the assignments that the log has not decided on.
	proposed map[string]placer.Placement
	// rooms holds when room was last made for each urgent task.
	rooms    map[string]time.Time
	failures map[string][]time.Time
	reasons  map[string]string
}

func newScheduler(r *Receiver) *scheduler {
	return &scheduler{
		receiver: r, wake: make(chan struct{}, 1), busy: map[string]bool{},
		starts: map[plantainrail.AttemptRef]time.Time{}, stops: map[plantainrail.AttemptRef]time.Time{},
		rooms: map[string]time.Time{}, proposed: map[string]placer.Placement{}, failures: map[string][]time.Time{}, reasons: map[string]string{},
	}
}

func (s *scheduler) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *scheduler) setLive(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.live = names
}

// owns tells whether this entry places the job's tasks: it has the highest
// random weight for the job among the live entries (Thaler and Ravishankar,
// "Using Name-Based Mappings to Increase Hit Rates", 1998).
func (s *scheduler) owns(job string) bool {
	name := s.receiver.Name
	mine := weight(job, name)
	for _, other := range s.live {
		if w := weight(job, other); w > mine || (w == mine && other > name) {
			return false
		}
	}
	return slices.Contains(s.live, name)
}

func weight(job, entry string) uint64 {
	return xxhash.Sum64String(job + "\x00" + entry)
}

func (s *scheduler) run(ctx context.Context) error {
	ticker := time.NewTicker(scheduleEvery)
	defer ticker.Stop()
	for {
		changed := s.receiver.follower.Changed()
		s.step(ctx, time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-s.wake:
		case <-changed:
		}
	}
}

// vm is one agent with a session here.
type vm struct {
	hello   linker.Hello
	session *linker.Session
	held    map[plantainrail.AttemptRef]plantainrail.TaskStatus
	report  *linker.TaskReport
	// reported is when the report arrived.
	reported time.Time
	// covered is set when the log's state is later than the report, so that an
	// attempt which the state does not know is not merely new.
	covered bool
}

func (s *scheduler) vms() map[string]*vm {
	r := s.receiver
	r.mu.Lock()
	defer r.mu.Unlock()
	list := map[string]*vm{}
	for name, p := range r.peers {
		if p.report == nil || p.report.Incarnation != p.hello.Incarnation {
			continue
		}
		v := &vm{hello: p.hello, session: p.session, report: p.report, reported: p.reported, held: map[plantainrail.AttemptRef]plantainrail.TaskStatus{}}
		for _, t := range p.report.Tasks {
			v.held[t.AttemptRef] = t
		}
		list[name] = v
	}
	return list
}

// step compares what the log says with what the agents hold, and acts on the
// differences.
func (s *scheduler) step(ctx context.Context, now time.Time) {
	vms := s.vms()
	table := s.receiver.Table()
	age, known := s.receiver.follower.Age(now)
	current := known && age < permitAge
	for _, v := range vms {
		v.covered = known && v.reported.Before(now.Add(-age))
	}
	var steps []plantainrail.TaskRecord
	s.receiver.follower.View(func(state *reducer.State) {
		if !state.Complete() {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		maps.DeleteFunc(s.rooms, func(task string, _ time.Time) bool {
			t := state.Tasks[task]
			return t == nil || t.State != reducer.TaskWaiting
		})
		forgetOld(s.starts, now)
		forgetOld(s.stops, now)
		for _, v := range vms {
			steps = append(steps, s.reconcile(v, state)...)
		}
		for _, t := range state.Assigned {
			if s.owns(t.Job.ID) {
				s.follow(now, t, vms[t.Worker], state, current)
			}
		}
		s.capQuietHours(now, state, vms, table)
		if current {
			steps = append(steps, s.place(now, state, vms, table)...)
		}
	})
	for _, step := range steps {
		s.propose(ctx, step)
	}
}

// ordersKept bounds the orders whose times are remembered.
const ordersKept = 20_000

// forgetOld drops the times of orders that may be repeated anyway.
func forgetOld(orders map[plantainrail.AttemptRef]time.Time, now time.Time) {
	if len(orders) < ordersKept {
		return
	}
	for ref, at := range orders {
		if now.Sub(at) >= repeatEvery {
			delete(orders, ref)
		}
	}
}

// reconcile goes through what one agent holds: ends that the log does not have
// are proposed, and ends that it has are forgotten at the agent. Only a state that
// is later than the report may speak against what an agent holds.
func (s *scheduler) reconcile(v *vm, state *reducer.State) []plantainrail.TaskRecord {
	var steps []plantainrail.TaskRecord
	var forget []plantainrail.AttemptRef
	for ref, status := range v.held {
		t, known := state.Tasks[ref.Task]
		current := known && t.Attempt == ref.Attempt && t.Worker == v.hello.Agent && t.Incarnation == status.Incarnation
		switch {
		case current && status.Phase != plantainrail.PhaseRunning:
			steps = append(steps, endStep(status))
		case !v.covered:
		case known && !current && status.Phase == plantainrail.PhaseRunning:
			s.evict(v, ref, "the attempt is no longer the current one")
		case known && !current, !known && status.Phase != plantainrail.PhaseRunning:
			forget = append(forget, ref)
		}
	}
	if len(forget) > 0 {
		_ = v.session.Send(linker.Frame{Forget: forget})
	}
	return steps
}

func endStep(status plantainrail.TaskStatus) plantainrail.TaskRecord {
	step := plantainrail.TaskRecord{AttemptRef: status.AttemptRef, Checkpoint: status.Checkpoint, Reason: status.Reason}
	switch status.Phase {
	case plantainrail.PhaseFinished:
		step.Step = plantainrail.StepFinish
	case plantainrail.PhaseFailed:
		step.Step = plantainrail.StepFail
	default:
		step.Step = plantainrail.StepRelease
	}
	return step
}

// follow repeats the orders for an assigned task until its agent shows their
// effect. Orders are idempotent. An entry whose view is old starts nothing.
func (s *scheduler) follow(now time.Time, t *reducer.Task, v *vm, state *reducer.State, current bool) {
	if v == nil || v.hello.Incarnation != t.Incarnation {
		return
	}
	ref := t.Ref()
	status, held := v.held[ref]
	out := state.Zones[v.hello.Zone].Out
	wantStop := t.State == reducer.TaskStopping || out
	if held && (!wantStop || status.Phase != plantainrail.PhaseRunning) {
		return
	}
	if wantStop {
		reason := "cancelled"
		if out {
			reason = "the availability zone is out"
		}
		s.evict(v, ref, reason)
		return
	}
	if !current || now.Sub(s.starts[ref]) < repeatEvery {
		return
	}
	s.starts[ref] = now
	_ = v.session.Send(linker.Frame{Start: &linker.TaskOrder{Start: plantainrail.TaskStart{
		AttemptRef: ref, Incarnation: t.Incarnation, Kind: t.Job.Kind, Resources: t.Reserved,
		Work: t.Job.Work, Checkpoint: t.Checkpoint,
	}}})
}

// evict orders a stop, at most once in a while.
func (s *scheduler) evict(v *vm, ref plantainrail.AttemptRef, reason string) {
	now := time.Now()
	if now.Sub(s.stops[ref]) < repeatEvery {
		return
	}
	s.stops[ref] = now
	_ = v.session.Send(linker.Frame{Evict: &linker.EvictOrder{Ref: ref, Reason: reason}})
	s.receiver.Logger.Info("task evicted", zap.String("task", ref.Task), zap.Int64("attempt", ref.Attempt), zap.String("cause", reason))
}

func stepKey(task string, step plantainrail.TaskStep) string {
	return string(step) + " " + task
}

// propose writes a step, one of each sort for a task at a time.
func (s *scheduler) propose(ctx context.Context, step plantainrail.TaskRecord) {
	key := stepKey(step.Task, step.Step)
	s.mu.Lock()
	if s.busy[key] {
		s.mu.Unlock()
		return
	}
	s.busy[key] = true
	s.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, proposalLimit)
		defer cancel()
		verdict, err := s.receiver.follower.Propose(ctx, plantainrail.Record{Type: plantainrail.RecordTask, Task: &step})
		s.mu.Lock()
		delete(s.busy, key)
		if step.Step == plantainrail.StepAssign {
			delete(s.proposed, step.Task)
		}
		if step.Step == plantainrail.StepFail && err == nil {
			// Of the entries that heard of the failure one had its step accepted;
			// each counts it.
			s.noteFailure(step)
		}
		s.mu.Unlock()
		if err != nil {
			return
		}
		s.receiver.Logger.Info("task step", zap.String("task", step.Task), zap.Int64("attempt", step.Attempt),
			zap.String("step", string(step.Step)), zap.String("worker", step.Worker), zap.Bool("accepted", verdict.Accepted))
		s.wakeUp()
	}()
}

// noteFailure counts a failure against the worker that reported it. The caller
// holds the lock.
func (s *scheduler) noteFailure(step plantainrail.TaskRecord) {
	for name, v := range s.vms() {
		if _, ok := v.held[step.AttemptRef]; ok {
			s.failures[name] = append(s.failures[name], time.Now())
		}
	}
}

// refused takes an agent's word that an attempt never starts there.
func (s *scheduler) refused(p *peer, f linker.TaskRefusal) {
	s.receiver.Logger.Info("task refused", zap.String("agent", p.hello.Agent), zap.String("task", f.Ref.Task), zap.Error(f.Err))
	s.propose(context.Background(), plantainrail.TaskRecord{AttemptRef: f.Ref, Step: plantainrail.StepRelease, Reason: f.Err.Error()})
}
