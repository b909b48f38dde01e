// Package placer chooses workers for the waiting tasks of jobs of one step; a worker is a
// VM, named after its agent. It performs no I/O and reads no clock. Its placements are
// proposals, which package receiver appends to the log: package reducer rejects those
// that conflict with earlier assignments, and agents refuse those that their VM cannot
// admit.
package placer

import (
	"slices"
	"time"

	"github.com/plantainrail/plantainrail"
)

// Worker is a worker that may get tasks.
type Worker struct {
	Name        string
	Zone        string
	Incarnation string
	Capacity    plantainrail.Resources
	// Free is Capacity minus the resources of the tasks that are assigned to the worker.
	Free plantainrail.Resources
	// Failures counts the recent task failures on the worker; the caller chooses the
	// period.
	Failures int
	// ByKind counts the worker's tasks by kind.
	ByKind map[string]int
	// Throttled lists the kinds that the worker currently throttles because they slow
	// down its targets.
	Throttled []string
}

// Task is a task that waits for a worker.
type Task struct {
	ID        string
	Kind      plantainrail.Kind
	Resources plantainrail.Resources
	Urgent    bool
	// Avoid is the set of workers on which the task has failed.
	Avoid map[string]bool
}

// Placement assigns a task to a worker. If Worker is empty, Reason says why the task
// still waits.
type Placement struct {
	Task   string
	Worker string
	Zone   string
	// Reserved is the amount of resources that the task reserves on the worker.
	Reserved plantainrail.Resources
	Reason   string
}

const (
	// minQuarantineFailures is the lowest number of recent failures at which a worker is
	// put in quarantine.
	minQuarantineFailures = 4
	// quarantineFactor is the multiple of the mean failures of the other workers that a
	// worker must exceed to be put in quarantine.
	quarantineFactor = 3
	// maxQuarantineShare is the largest share of the workers in quarantine at once.
	maxQuarantineShare = 0.25
)

// Conditions holds the conditions that apply to every placement at one instant.
type Conditions struct {
	Now time.Time
	// Table gives the quiet-hour caps.
	Table plantainrail.Table
	// AssignedCounts counts the tasks that have a worker, started or not, by zone and by
	// kind.
	AssignedCounts map[string]map[string]int
}

// PlaceFunc is the signature of a placement algorithm. Place is the default one.
type PlaceFunc func(conditions Conditions, tasks []Task, workers []*Worker) []Placement

// Place places the tasks in their order, urgent ones first, and returns one placement
// for each task. A task that fits nowhere does not block later ones. Place modifies its
// arguments: it sorts tasks, and it counts each placed task in the worker's Free and
// ByKind and in conditions.AssignedCounts, so that the placement of later tasks takes it
// into account.
func Place(conditions Conditions, tasks []Task, workers []*Worker) []Placement {
	slices.SortStableFunc(tasks, func(a, b Task) int {
		switch {
		case a.Urgent == b.Urgent:
			return 0
		case a.Urgent:
			return -1
		}
		return 1
	})
	quarantine := quarantined(workers)
	placements := make([]Placement, 0, len(tasks))
	for _, t := range tasks {
		placements = append(placements, place(conditions, t, workers, quarantine))
	}
	return placements
}

// place chooses the best worker for a task and updates the worker's free resources and
// the counts of tasks. If no worker can take the task, the placement carries the reason
// for the last worker.
func place(conditions Conditions, t Task, workers []*Worker, quarantine map[string]bool) Placement {
	var best *Worker
	// Workers in zones that are out of service are not in the list. The text calls a zone
	// in service one "that is in".
	waitReason := "no worker is in a zone that is in"
	capped := map[string]bool{}
	for _, w := range workers {
		if _, known := capped[w.Zone]; !known {
			capped[w.Zone] = conditions.Table.CapReached(conditions.Now, conditions.AssignedCounts[w.Zone], t.Kind)
		}
		rejection := rejectionReason(t, w, quarantine, capped[w.Zone])
		if rejection != "" {
			waitReason = rejection
			continue
		}
		if best == nil || better(t, w, best) {
			best = w
		}
	}
	if best == nil {
		return Placement{Task: t.ID, Reason: waitReason}
	}
	best.Free = best.Free.Sub(t.Resources)
	if best.ByKind == nil {
		best.ByKind = map[string]int{}
	}
	best.ByKind[t.Kind.Name]++
	if conditions.AssignedCounts[best.Zone] == nil {
		conditions.AssignedCounts[best.Zone] = map[string]int{}
	}
	conditions.AssignedCounts[best.Zone][t.Kind.Name]++
	return Placement{Task: t.ID, Worker: best.Name, Zone: best.Zone, Reserved: t.Resources}
}

// rejectionReason returns why a worker cannot take a task; empty means that it can.
// Capped means that the task would exceed a quiet-hour cap in the worker's zone. Urgent
// tasks are also placed where their kind is throttled. The texts speak of all workers,
// although place reports only the reason for the last one. A worker "that is in" is one in
// a zone that is in service.
func rejectionReason(t Task, w *Worker, quarantine map[string]bool, capped bool) string {
	switch {
	case !t.Resources.Fits(w.Capacity):
		return "larger than any worker that is in"
	case t.Avoid[w.Name]:
		return "has failed on the workers that have room"
	case quarantine[w.Name]:
		return "the workers with room are in quarantine"
	case !t.Urgent && slices.Contains(w.Throttled, t.Kind.Name):
		return "the workers with room throttle this kind for their targets"
	case !t.Resources.Fits(w.Free):
		return "no worker has room"
	case capped:
		return "the quiet-hour cap is reached"
	}
	return ""
}

// better reports whether w is preferred to the other worker for task t: w has fewer tasks
// of t's kind, which spreads the kind over the workers, or as many and a larger free
// share.
func better(t Task, w, other *Worker) bool {
	if a, b := w.ByKind[t.Kind.Name], other.ByKind[t.Kind.Name]; a != b {
		return a < b
	}
	return w.freeShare() > other.freeShare()
}

// freeShare returns the smaller of the free shares of processors and memory.
func (w *Worker) freeShare() float64 {
	return min(freeFraction(w.Free.Processors, w.Capacity.Processors), freeFraction(w.Free.Memory, w.Capacity.Memory))
}

// freeFraction returns the free share of a capacity, from 0 to 1. A resource that the
// worker does not have counts as free.
func freeFraction(free, capacity int) float64 {
	if capacity == 0 {
		return 1
	}
	return float64(free) / float64(capacity)
}

// quarantined returns the workers to put in quarantine because far more tasks fail on
// them than on the other workers. Failures that all workers share are attributed to the
// tasks and put no worker in quarantine. It checks the workers in descending order of
// failures and stops at the first one that stays in use.
func quarantined(workers []*Worker) map[string]bool {
	total := 0
	for _, w := range workers {
		total += w.Failures
	}
	sorted := slices.SortedFunc(slices.Values(workers), func(a, b *Worker) int { return b.Failures - a.Failures })
	quarantine := map[string]bool{}
	for _, w := range sorted {
		peers := max(len(workers)-1, 1)
		mean := float64(total-w.Failures) / float64(peers)
		limitReached := float64(len(quarantine)+1) > maxQuarantineShare*float64(len(workers))
		if w.Failures < minQuarantineFailures || float64(w.Failures) <= quarantineFactor*mean || limitReached {
			break
		}
		quarantine[w.Name] = true
	}
	return quarantine
}
