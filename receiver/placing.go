package receiver

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/placer"
	"github.com/plantainrail/plantainrail/reducer"
	"github.com/plantainrail/plantainrail/sizer"
)

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
		return cmp.Or(urgentFirst(a.Urgent, b.Urgent), cmp.Compare(a.Offset, b.Offset))
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
			Free: v.hello.Capacity, Failures: s.recentFailures(now, name), ByKind: map[string]int{}, Throttled: v.report.Throttled,
		}
		byName[name] = w
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b *placer.Worker) int {
		return strings.Compare(a.Name, b.Name)
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

// capQuietHours evicts the tasks for which the caps of quiet hours that have
// begun leave no room. Every entry draws the same line and orders the same stops,
// so that the loss of one entry delays none.
func (s *scheduler) capQuietHours(now time.Time, state *reducer.State, vms map[string]*vm, table plantainrail.Table) {
	if !capExceeded(now, state, table) {
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

// reason says why a task waits.
func (s *scheduler) reason(task string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reasons[task]
}

// correctSizes lets the tasks reserve what their kinds were measured to use.
func correctSizes(tasks []placer.Task, vms map[string]*vm) {
	var sizes []sizer.Size
	var largest plantainrail.Resources
	for _, v := range vms {
		sizes = append(sizes, v.report.Sizes...)
		if largest.Fits(v.hello.Capacity) {
			largest = v.hello.Capacity
		}
	}
	sizes = sizer.Merge(sizes)
	for i, t := range tasks {
		tasks[i].Resources = sizer.Correct(sizes, t.Kind.Name, t.Resources, largest)
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

// capExceeded tells whether any zone runs more than the caps allow, from the
// counts alone: it does when some task would not be let in beside the others.
func capExceeded(now time.Time, state *reducer.State, table plantainrail.Table) bool {
	if !slices.ContainsFunc(table.Kinds, func(k plantainrail.Kind) bool { return k.Quiet(now) }) {
		return false
	}
	for _, running := range runningByZone(state) {
		for _, kind := range table.Kinds {
			if running[kind.Name] == 0 {
				continue
			}
			running[kind.Name]--
			if table.CapReached(now, running, kind) {
				return true
			}
			running[kind.Name]++
		}
	}
	return false
}

// urgentFirst compares two tasks or jobs by urgency.
func urgentFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// compareWorth sorts tasks of urgent jobs and of heavy kinds first, then those
// that were evicted most.
func compareWorth(table plantainrail.Table, a, b *reducer.Task) int {
	x, _ := table.Kind(a.Job.Kind)
	y, _ := table.Kind(b.Job.Kind)
	return cmp.Or(urgentFirst(a.Job.Urgent, b.Job.Urgent), cmp.Compare(y.Weight, x.Weight), cmp.Compare(b.Evictions, a.Evictions), strings.Compare(a.ID, b.ID))
}
