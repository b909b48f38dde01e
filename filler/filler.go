// Package filler is the naive placement that the product is measured against:
// the first worker, by name, with room as declared.
package filler

import (
	"slices"

	"github.com/plantainrail/plantainrail/placer"
)

// Place puts each task on the first worker with room.
func Place(_ placer.Room, tasks []placer.Task, workers []*placer.Worker) []placer.Placement {
	placements := make([]placer.Placement, 0, len(tasks))
	for _, t := range tasks {
		i := slices.IndexFunc(workers, func(w *placer.Worker) bool { return t.Resources.Fits(w.Free) })
		if i < 0 {
			placements = append(placements, placer.Placement{Task: t.ID, Reason: "no worker has room"})
			continue
		}
		w := workers[i]
		w.Free = w.Free.Minus(t.Resources)
		placements = append(placements, placer.Placement{Task: t.ID, Worker: w.Name, Zone: w.Zone, Reserved: t.Resources})
	}
	return placements
}
