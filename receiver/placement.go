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

// place returns the assignments to propose for the waiting tasks of the jobs
// that this entry owns. For an urgent task that gets no worker it orders the eviction
// of a task that is not urgent. The caller holds the lock.
func (s *scheduler) place(now time.Time, state *reducer.State, vms map[string]*vm, table plantainrail.Table) []plantainrail.TaskRecord {
	waiting, byID := s.waitingTasks(state, table)
	if len(waiting) == 0 {
		return nil
	}
	workers := s.placeableWorkers(now, state, vms)
	if !s.receiver.DeclaredResourcesOnly {
		applyMeasuredSizes(waiting, vms)
	}
	var records []plantainrail.TaskRecord
	conditions := placer.Conditions{Now: now, Table: table, AssignedCounts: copyAssignedCounts(state)}
	for _, p := range s.receiver.PlaceTasks(conditions, waiting, workers) {
		t := byID[p.Task]
		if t == nil {
			// The task belongs to a job that another entry owns.
			continue
		}
		if p.Worker == "" {
			s.waitReasons[t.ID] = p.Reason
			if t.Job.Urgent {
				s.evictFor(now, t, state, vms)
			}
			continue
		}
		delete(s.waitReasons, t.ID)
		s.proposedPlacements[t.ID] = p
		records = append(records, plantainrail.TaskRecord{
			AttemptRef: plantainrail.AttemptRef{Task: t.ID, Attempt: t.Attempt + 1}, Event: plantainrail.TaskAssign,
			Worker: p.Worker, Incarnation: vms[p.Worker].hello.Incarnation, Zone: p.Zone,
			Capacity: vms[p.Worker].hello.Capacity, Reserved: p.Reserved,
		})
	}
	return records
}

// waitingTasks returns the tasks to place, and a map by ID of those whose jobs this
// entry owns. The tasks to place also include the urgent tasks of other entries' jobs,
// so that no other task takes the resources that they wait for; this entry does not
// propose placements of those. It returns at most maxTasksPerPass tasks. The caller
// holds the lock.
func (s *scheduler) waitingTasks(state *reducer.State, table plantainrail.Table) ([]placer.Task, map[string]*reducer.Task) {
	var tasks []placer.Task
	byID := map[string]*reducer.Task{}
	var jobs []*reducer.Job
	for _, j := range state.OpenJobs {
		if j.Urgent || s.ownsJob(j.ID) {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *reducer.Job) int {
		return cmp.Or(compareUrgency(a.Urgent, b.Urgent), cmp.Compare(a.Offset, b.Offset))
	})
	for _, j := range jobs {
		kind, _ := table.Kind(j.Kind)
		for _, t := range j.Tasks {
			if t.State != reducer.TaskWaiting || s.pendingProposals[eventKey(t.ID, plantainrail.TaskAssign)] {
				continue
			}
			tasks = append(tasks, placer.Task{ID: t.ID, Kind: kind, Resources: j.Resources, Urgent: j.Urgent, Avoid: t.FailedOn})
			if s.ownsJob(j.ID) {
				byID[t.ID] = t
			}
			if len(tasks) == maxTasksPerPass {
				return tasks, byID
			}
		}
	}
	return tasks, byID
}

// placeableWorkers returns the workers that may receive tasks, sorted by name: those
// with a capacity that are not suspected and whose zone is in service. Their free
// resources exclude what is reserved by the tasks that the log has assigned to them and
// by the proposed placements that are not decided yet. The caller holds the lock.
func (s *scheduler) placeableWorkers(now time.Time, state *reducer.State, vms map[string]*vm) []*placer.Worker {
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
	for _, t := range state.AssignedTasks {
		if w := byName[t.Worker]; w != nil && w.Incarnation == t.Incarnation {
			w.Free = w.Free.Sub(t.Reserved)
			w.ByKind[t.Job.Kind]++
		}
	}
	for task, p := range s.proposedPlacements {
		if w := byName[p.Worker]; w != nil && state.AssignedTasks[task] == nil {
			w.Free = w.Free.Sub(p.Reserved)
		}
	}
	return list
}

// recentFailures returns the number of task failures of a worker within
// failureWindow and drops older ones. The caller holds the lock.
func (s *scheduler) recentFailures(now time.Time, worker string) int {
	kept := s.workerFailures[worker][:0]
	for _, at := range s.workerFailures[worker] {
		if now.Sub(at) < failureWindow {
			kept = append(kept, at)
		}
	}
	s.workerFailures[worker] = kept
	return len(kept)
}

// evictFor orders the eviction of a task that is not urgent and whose reservation the
// urgent task fits into: the one with the fewest evictions so far. It gives the
// eviction orderRepeatInterval to take effect before it evicts another task for the
// same urgent task. The caller holds the lock.
func (s *scheduler) evictFor(now time.Time, urgentTask *reducer.Task, state *reducer.State, vms map[string]*vm) {
	if now.Sub(s.lastEvictionFor[urgentTask.ID]) < orderRepeatInterval {
		return
	}
	var victim *reducer.Task
	for _, t := range state.AssignedTasks {
		v := vms[t.Worker]
		if t.State != reducer.TaskAssigned || t.Job.Urgent || v == nil || state.Zones[v.hello.Zone].Out {
			continue
		}
		if !urgentTask.Job.Resources.Fits(t.Reserved) || time.Since(s.evictionSentAt[t.Ref()]) < orderRepeatInterval {
			continue
		}
		if victim == nil || t.Evictions < victim.Evictions || (t.Evictions == victim.Evictions && t.ID < victim.ID) {
			victim = t
		}
	}
	if victim != nil {
		s.lastEvictionFor[urgentTask.ID] = now
		s.orderEviction(vms[victim.Worker], victim.Ref(), "an urgent task needs the place")
	}
}

// enforceQuietHourCaps orders the eviction of the tasks that exceed the caps of the current
// quiet hours. Every entry selects the same tasks and sends the same orders, so
// that the loss of one entry delays no eviction. The caller holds the lock.
func (s *scheduler) enforceQuietHourCaps(now time.Time, state *reducer.State, vms map[string]*vm, table plantainrail.Table) {
	if !capExceeded(now, state, table) {
		return
	}
	var tasks []*reducer.Task
	for _, t := range state.AssignedTasks {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *reducer.Task) int { return compareKeepPriority(table, a, b) })
	// kept counts the tasks that may keep running, by zone and kind.
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
			s.orderEviction(v, t.Ref(), "a quiet-hour cap is exceeded")
		}
	}
}

// waitReason returns why a task waits, or an empty string if that is not known.
func (s *scheduler) waitReason(task string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waitReasons[task]
}

// applyMeasuredSizes corrects the declared resources of the tasks by the peak
// usages that the agents measured for their kinds. Corrected sizes are bounded by the
// capacity of the largest VM. If no VM is at least as large as all others in every
// resource, the order of the map decides which of the large ones counts.
func applyMeasuredSizes(tasks []placer.Task, vms map[string]*vm) {
	var usages []sizer.PeakUsage
	var largest plantainrail.Resources
	for _, v := range vms {
		usages = append(usages, v.report.PeakUsages...)
		if largest.Fits(v.hello.Capacity) {
			largest = v.hello.Capacity
		}
	}
	usages = sizer.Merge(usages)
	for i, t := range tasks {
		tasks[i].Resources = sizer.CorrectedSize(usages, t.Kind.Name, t.Resources, largest)
	}
}

// copyAssignedCounts returns a copy of the state's counts of assigned tasks by zone
// and kind, which the caller may change.
func copyAssignedCounts(state *reducer.State) map[string]map[string]int {
	zones := map[string]map[string]int{}
	for zone, kinds := range state.AssignedCounts {
		zones[zone] = maps.Clone(kinds)
	}
	return zones
}

// capExceeded reports whether more tasks are assigned in a zone than the quiet-hour
// caps allow. It uses only the counts: a cap is exceeded if some assigned task would
// not be admitted alongside the others.
func capExceeded(now time.Time, state *reducer.State, table plantainrail.Table) bool {
	if !slices.ContainsFunc(table.Kinds, func(k plantainrail.Kind) bool { return k.InQuietHours(now) }) {
		return false
	}
	for _, counts := range copyAssignedCounts(state) {
		for _, kind := range table.Kinds {
			if counts[kind.Name] == 0 {
				continue
			}
			counts[kind.Name]--
			if table.CapReached(now, counts, kind) {
				return true
			}
			counts[kind.Name]++
		}
	}
	return false
}

// compareUrgency orders urgent tasks or jobs before others.
func compareUrgency(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// compareKeepPriority orders tasks by their priority to keep running: tasks of
// urgent jobs first, then those of kinds with a greater weight, then those that
// were evicted more often.
func compareKeepPriority(table plantainrail.Table, a, b *reducer.Task) int {
	x, _ := table.Kind(a.Job.Kind)
	y, _ := table.Kind(b.Job.Kind)
	return cmp.Or(compareUrgency(a.Job.Urgent, b.Job.Urgent), cmp.Compare(y.Weight, x.Weight), cmp.Compare(b.Evictions, a.Evictions), strings.Compare(a.ID, b.ID))
}
