// Package packer is the naive placement that benchmarks compare the product's
// placer with: first fit by declared resources, over the workers in the given
// order; package receiver sorts them by name. It performs no I/O.
package packer

import (
	"slices"

	"github.com/plantainrail/plantainrail/placer"
)

// Place assigns each task to the first worker with enough free resources, and
// subtracts the task's resources from the worker's Free. It ignores the
// Conditions. A task that fits on no worker gets a placement with a reason and no
// worker.
func Place(_ placer.Conditions, tasks []placer.Task, workers []*placer.Worker) []placer.Placement {
	placements := make([]placer.Placement, 0, len(tasks))
	for _, t := range tasks {
		i := slices.IndexFunc(workers, func(w *placer.Worker) bool { return t.Resources.Fits(w.Free) })
		if i < 0 {
			placements = append(placements, placer.Placement{Task: t.ID, Reason: "no worker has room"})
			continue
		}
		w := workers[i]
		w.Free = w.Free.Sub(t.Resources)
		placements = append(placements, placer.Placement{Task: t.ID, Worker: w.Name, Zone: w.Zone, Reserved: t.Resources})
	}
	return placements
}
