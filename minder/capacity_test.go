package minder

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
)

// stoppingWorker is a fakeWorker that accepts stops.
type stoppingWorker struct{ *fakeWorker }

func (stoppingWorker) Stop(context.Context, plantainrail.WorkerIncarnation, int64, plantainrail.RunRef) error {
	return nil
}

// Guards against a start that brings the worker over its capacity (LIMIT) after a restart of the
// agent: the owner orders a run to be stopped whose size the new process does not know.
func TestRunOfUnknownSizeHoldsTheWorkersRoom(t *testing.T) {
	withWorker(t, func(t *testing.T, m *Minder, w *fakeWorker) {
		earlier, next := refForJob("earlier"), refForJob("next")
		m.mu.Lock()
		defer m.mu.Unlock()
		defer close(m.stopped)
		m.Worker, m.vm.Capacity = stoppingWorker{w}, plantainrail.Resources{Processors: 1000}
		start := &run{order: plantainrail.RunOrder{Ref: next, Reservation: plantainrail.Resources{Processors: 1000}}}
		m.orderedRuns[next] = start
		assert.Assert(t, m.fits(start))
		m.running[earlier] = plantainrail.RunStatus{Ref: earlier}
		m.stopOrdered(earlier)
		assert.Assert(t, !m.fits(start), "the run that is being stopped takes an unknown part of the capacity")
		delete(m.running, earlier)
		assert.Assert(t, m.fits(start))
	})
}
