package receiver

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/linker"
	"github.com/plantainrail/plantainrail/placer"
	"github.com/plantainrail/plantainrail/reducer"
	"github.com/plantainrail/plantainrail/sizer"
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
	// reported is when the report of what is held arrived.
	reported  time.Time
	sizes     []sizer.Size
	throttled []string
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
		v := &vm{hello: p.hello, session: p.session, reported: p.reported, sizes: p.report.Sizes, throttled: p.report.Throttled, held: map[plantainrail.AttemptRef]plantainrail.TaskStatus{}}
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

// place proposes workers for the waiting tasks of the jobs that this entry owns.
func (s *scheduler) place(now time.Time, state *reducer.State, vms map[string]*vm, table plantainrail.Table) []plantainrail.TaskRecord {
	waiting, byID := s.waiting(state, table)
	if len(waiting) == 0 {
		return nil
	}
	workers := s.workers(now, state, vms)
	if !s.receiver.Declared {
		correctSizes(waiting, vms)
	}
	var steps []plantainrail.TaskRecord
	room := placer.Room{Now: now, Table: table, Running: runningByZone(state)}
	for _, p := range s.receiver.Placing(room, waiting, workers) {
		t := byID[p.Task]
		if t == nil {
			continue
		}
		if p.Worker == "" {
			s.reasons[t.ID] = p.Reason
			if t.Job.Urgent {
				s.makeRoom(now, t, state, vms)
			}
			continue
		}
		delete(s.reasons, t.ID)
		s.proposed[t.ID] = p
		steps = append(steps, plantainrail.TaskRecord{
			AttemptRef: plantainrail.AttemptRef{Task: t.ID, Attempt: t.Attempt + 1}, Step: plantainrail.StepAssign,
			Worker: p.Worker, Incarnation: vms[p.Worker].hello.Incarnation, Zone: p.Zone,
			Capacity: vms[p.Worker].hello.Capacity, Reserved: p.Reserved,
		})
	}
	return steps
}

// correctSizes lets the tasks reserve what their kinds were measured to use.
func correctSizes(tasks []placer.Task, vms map[string]*vm) {
	var sizes []sizer.Size
	var largest plantainrail.Resources
	for _, v := range vms {
		sizes = append(sizes, v.sizes...)
		if largest.Fits(v.hello.Capacity) {
			largest = v.hello.Capacity
		}
	}
	sizes = sizer.Merge(sizes)
	for i, t := range tasks {
		tasks[i].Resources = sizer.Correct(sizes, t.Kind.Name, t.Resources, largest)
	}
}

// waiting lists the tasks to place, and maps those of the jobs that this entry
// owns. Other entries' urgent tasks are placed too, so that the room which they
// wait for is not taken, and are not proposed.
func (s *scheduler) waiting(state *reducer.State, table plantainrail.Table) ([]placer.Task, map[string]*reducer.Task) {
	var tasks []placer.Task
	byID := map[string]*reducer.Task{}
	var jobs []*reducer.Job
	for _, j := range state.Open {
		if j.Urgent || s.owns(j.ID) {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *reducer.Job) int {
		if a.Urgent != b.Urgent {
			if a.Urgent {
				return -1
			}
			return 1
		}
		return int(a.Offset - b.Offset)
	})
	for _, j := range jobs {
		kind, _ := table.Kind(j.Kind)
		for _, t := range j.Tasks {
			if t.State != reducer.TaskWaiting || s.busy[stepKey(t.ID, plantainrail.StepAssign)] {
				continue
			}
			tasks = append(tasks, placer.Task{ID: t.ID, Kind: kind, Resources: j.Resources, Urgent: j.Urgent, Avoid: t.FailedOn})
			if s.owns(j.ID) {
				byID[t.ID] = t
			}
			if len(tasks) == placeLimit {
				return tasks, byID
			}
		}
	}
	return tasks, byID
}

// workers lists the workers that may get tasks, with what the log has assigned
// to them, and what was proposed and is not decided on, taken off.
func (s *scheduler) workers(now time.Time, state *reducer.State, vms map[string]*vm) []*placer.Worker {
	byName := map[string]*placer.Worker{}
	var list []*placer.Worker
	for name, v := range vms {
		if state.Zones[v.hello.Zone].Out || state.Suspects[name] != nil || v.hello.Capacity == (plantainrail.Resources{}) {
			continue
		}
		w := &placer.Worker{
			Name: name, Zone: v.hello.Zone, Incarnation: v.hello.Incarnation, Capacity: v.hello.Capacity,
			Free: v.hello.Capacity, Failures: s.recentFailures(now, name), ByKind: map[string]int{}, Throttled: v.throttled,
		}
		byName[name] = w
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b *placer.Worker) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	for _, t := range state.Assigned {
		if w := byName[t.Worker]; w != nil && w.Incarnation == t.Incarnation {
			w.Free = w.Free.Minus(t.Reserved)
			w.ByKind[t.Job.Kind]++
		}
	}
	for task, p := range s.proposed {
		if w := byName[p.Worker]; w != nil && state.Assigned[task] == nil {
			w.Free = w.Free.Minus(p.Reserved)
		}
	}
	return list
}

func (s *scheduler) recentFailures(now time.Time, worker string) int {
	kept := s.failures[worker][:0]
	for _, at := range s.failures[worker] {
		if now.Sub(at) < failureWindow {
			kept = append(kept, at)
		}
	}
	s.failures[worker] = kept
	return len(kept)
}

// makeRoom evicts one batch task whose place an urgent one fits in, the one
// that was evicted least so far. It gives the eviction time to take effect before
// it looks for another.
func (s *scheduler) makeRoom(now time.Time, urgent *reducer.Task, state *reducer.State, vms map[string]*vm) {
	if now.Sub(s.rooms[urgent.ID]) < repeatEvery {
		return
	}
	var victim *reducer.Task
	for _, t := range state.Assigned {
		v := vms[t.Worker]
		if t.State != reducer.TaskAssigned || t.Job.Urgent || v == nil || state.Zones[v.hello.Zone].Out {
			continue
		}
		if !urgent.Job.Resources.Fits(t.Reserved) || time.Since(s.stops[t.Ref()]) < repeatEvery {
			continue
		}
		if victim == nil || t.Evictions < victim.Evictions || (t.Evictions == victim.Evictions && t.ID < victim.ID) {
			victim = t
		}
	}
	if victim != nil {
		s.rooms[urgent.ID] = now
		s.evict(vms[victim.Worker], victim.Ref(), "an urgent task needs the place")
	}
}

// runningByZone copies the counts of running tasks, which placing changes.
func runningByZone(state *reducer.State) map[string]map[string]int {
	zones := map[string]map[string]int{}
	for zone, kinds := range state.Running {
		zones[zone] = maps.Clone(kinds)
	}
	return zones
}

// capQuietHours evicts the tasks for which the caps of quiet hours that have
// begun leave no room. Every entry draws the same line and orders the same stops,
// so that the loss of one entry delays none.
func (s *scheduler) capQuietHours(now time.Time, state *reducer.State, vms map[string]*vm, table plantainrail.Table) {
	if !slices.ContainsFunc(table.Kinds, func(k plantainrail.Kind) bool { return k.Quiet(now) }) {
		return
	}
	var tasks []*reducer.Task
	for _, t := range state.Assigned {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *reducer.Task) int { return compareWorth(table, a, b) })
	kept := map[string]map[string]int{}
	for _, t := range tasks {
		kind, ok := table.Kind(t.Job.Kind)
		if kept[t.Zone] == nil {
			kept[t.Zone] = map[string]int{}
		}
		if !ok || !table.CapReached(now, kept[t.Zone], kind) {
			kept[t.Zone][t.Job.Kind]++
			continue
		}
		if v := vms[t.Worker]; v != nil && t.State == reducer.TaskAssigned {
			s.evict(v, t.Ref(), "a quiet-hour cap is exceeded")
		}
	}
}

// compareWorth sorts tasks of urgent jobs and of heavy kinds first, then those
// that were evicted most.
func compareWorth(table plantainrail.Table, a, b *reducer.Task) int {
	if a.Job.Urgent != b.Job.Urgent {
		if a.Job.Urgent {
			return -1
		}
		return 1
	}
	x, _ := table.Kind(a.Job.Kind)
	y, _ := table.Kind(b.Job.Kind)
	return cmp.Or(cmp.Compare(y.Weight, x.Weight), cmp.Compare(b.Evictions, a.Evictions), strings.Compare(a.ID, b.ID))
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

// reason says why a task waits.
func (s *scheduler) reason(task string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reasons[task]
}
