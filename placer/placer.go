// Package placer chooses workers for waiting tasks. It is pure. It proposes;
// the log's order and the agents' admission decide.
package placer

import (
	"slices"
	"time"

	"github.com/plantainrail/plantainrail"
)

// Worker is what is known of a worker: what it has, less what is assigned to it.
type Worker struct {
	Name        string
	Zone        string
	Incarnation string
	Capacity    plantainrail.Resources
	Free        plantainrail.Resources
	// Failures counts the task failures there lately.
	Failures int
	// ByKind counts the tasks of each kind there.
	ByKind map[string]int
	// Throttled names the kinds that the worker has to throttle.
	Throttled []string
}

// Task is a task that waits for a worker.
type Task struct {
	ID        string
	Kind      plantainrail.Kind
	Resources plantainrail.Resources
	Urgent    bool
	// Avoid names workers on which the task has failed.
	Avoid map[string]bool
}

// Placement puts a task on a worker, or says why it waits.
type Placement struct {
	Task   string
	Worker string
	Zone   string
	// Reserved is what the task takes of the worker.
	Reserved plantainrail.Resources
	Reason   string
}

const (
	// quarantineFailures is the number of failures that makes a worker suspect.
	quarantineFailures = 4
	// quarantineFactor is how many times its peers' mean a suspect must exceed.
	quarantineFactor = 3
	// quarantineShare is the largest share of workers set aside at once.
	quarantineShare = 0.25
)

// Room is what holds for every placement at one instant.
type Room struct {
	Now   time.Time
	Table plantainrail.Table
	// Running counts the tasks that have a worker, by zone and by kind.
	Running map[string]map[string]int
}

// Placing is a way to place tasks; Place is the product's.
type Placing func(room Room, tasks []Task, workers []*Worker) []Placement

// Place places the tasks in order, urgent ones first. It changes the workers'
// Free and the room's Running as it goes, and skips a task that fits nowhere.
func Place(room Room, tasks []Task, workers []*Worker) []Placement {
	slices.SortStableFunc(tasks, func(a, b Task) int {
		switch {
		case a.Urgent == b.Urgent:
			return 0
		case a.Urgent:
			return -1
		}
		return 1
	})
	aside := quarantined(workers)
	placements := make([]Placement, 0, len(tasks))
	for _, t := range tasks {
		placements = append(placements, place(room, t, workers, aside))
	}
	return placements
}

func place(room Room, t Task, workers []*Worker, aside map[string]bool) Placement {
	var best *Worker
	reason := "no worker is in a zone that is in"
	capped := map[string]bool{}
	for _, w := range workers {
		if _, known := capped[w.Zone]; !known {
			capped[w.Zone] = room.Table.CapReached(room.Now, room.Running[w.Zone], t.Kind)
		}
		why := unfit(t, w, aside, capped[w.Zone])
		if why != "" {
			reason = why
			continue
		}
		if best == nil || better(t, w, best) {
			best = w
		}
	}
	if best == nil {
		return Placement{Task: t.ID, Reason: reason}
	}
	best.Free = best.Free.Minus(t.Resources)
	if best.ByKind == nil {
		best.ByKind = map[string]int{}
	}
	best.ByKind[t.Kind.Name]++
	if room.Running[best.Zone] == nil {
		room.Running[best.Zone] = map[string]int{}
	}
	room.Running[best.Zone][t.Kind.Name]++
	return Placement{Task: t.ID, Worker: best.Name, Zone: best.Zone, Reserved: t.Resources}
}

// unfit says why a worker cannot take a task, or nothing.
func unfit(t Task, w *Worker, aside map[string]bool, capped bool) string {
	switch {
	case !t.Resources.Fits(w.Capacity):
		return "larger than any worker that is in"
	case t.Avoid[w.Name]:
		return "has failed on the workers that have room"
	case aside[w.Name]:
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

// better prefers fewer tasks of the same kind, then more room.
func better(t Task, w, than *Worker) bool {
	if a, b := w.ByKind[t.Kind.Name], than.ByKind[t.Kind.Name]; a != b {
		return a < b
	}
	return w.room() > than.room()
}

// room is the smallest share of a resource that is free.
func (w *Worker) room() float64 {
	return min(share(w.Free.Processors, w.Capacity.Processors), share(w.Free.Memory, w.Capacity.Memory))
}

func share(free, capacity int) float64 {
	if capacity == 0 {
		return 1
	}
	return float64(free) / float64(capacity)
}

// quarantined names the workers that fail far more tasks than their peers.
func quarantined(workers []*Worker) map[string]bool {
	total := 0
	for _, w := range workers {
		total += w.Failures
	}
	sorted := slices.SortedFunc(slices.Values(workers), func(a, b *Worker) int { return b.Failures - a.Failures })
	aside := map[string]bool{}
	for _, w := range sorted {
		peers := max(len(workers)-1, 1)
		mean := float64(total-w.Failures) / float64(peers)
		full := float64(len(aside)+1) > quarantineShare*float64(len(workers))
		if w.Failures < quarantineFailures || float64(w.Failures) <= quarantineFactor*mean || full {
			break
		}
		aside[w.Name] = true
	}
	return aside
}
