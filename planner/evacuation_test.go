package planner_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

// cancel requests the cancellation of the job "job".
func (h *harness) cancel() { h.applyJob(planner.NewCancelRecord("job")) }

// evacuate takes the VMs' zone out of service.
func (h *harness) evacuate() {
	h.planner.Configure(plantainrail.OperatorConfig{Out: map[string]bool{"z1": true}})
}

// Guards against starts in an evacuated zone (EVAC) or of a cancelled job (UNASKED) that were
// assigned before: by a takeover, or by an agent that connects again before the next Tick.
func TestRunsThatMustNotStartAreOnlyAdopted(t *testing.T) {
	for name, change := range map[string]func(h *harness){"zone evacuated": (*harness).evacuate, "job cancelled": (*harness).cancel} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, newVM("a", 4000))
			h.submit("job", plantainrail.Step{Count: 1, CPU: 1000})
			placed := h.tick().Assignments
			assert.Equal(t, len(placed), 1)
			for _, owner := range []*harness{h, h.takeOver()} {
				change(owner)
				owner.report(newVM("a", 4000))
				orders, stops := owner.planner.DesiredRuns(placed[0].Incarnation)
				assert.Equal(t, len(stops), 0)
				assert.Equal(t, len(orders), 1)
				assert.Assert(t, orders[0].Adopt)
			}
		})
	}
}

// Guards against an order that is sent although its reason has gone while the assignment was
// being stored: a start in an evacuated zone (EVAC), of a cancelled job (UNASKED), or of a run that
// is placed elsewhere by now (TWICE).
func TestAssignmentThatNoLongerHoldsIsNotOrdered(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(h *harness, vm plantainrail.VM)
		holds  bool
	}{
		{"nothing has changed", func(*harness, plantainrail.VM) {}, true},
		{"the zone was evacuated", func(h *harness, _ plantainrail.VM) { h.evacuate() }, false},
		{"the job was cancelled", func(h *harness, _ plantainrail.VM) { h.cancel() }, false},
		{"the worker has gone", func(h *harness, vm plantainrail.VM) { h.planner.RemoveWorker(vm.Incarnation, h.now) }, false},
		{"the worker has gone and is back", func(h *harness, vm plantainrail.VM) {
			h.planner.RemoveWorker(vm.Incarnation, h.now)
			h.report(vm)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			vm := newVM("a", 4000)
			h := newHarness(t, vm)
			h.submit("job", plantainrail.Step{Count: 1, CPU: 1000})
			placed := h.planner.Tick(h.now).Assignments
			assert.Equal(t, len(placed), 1)
			c.change(h, vm)
			assert.Equal(t, h.planner.MarkStored(placed[0], h.now), c.holds)
			orders, _ := h.planner.DesiredRuns(vm.Incarnation)
			assert.Equal(t, len(orders) == 1, c.holds)
			if c.holds {
				return
			}
			if h.planner.Book.Job("job").CancelRequested {
				assert.Equal(t, len(h.tick().Assignments), 0)
				assert.Equal(t, h.state("job"), planner.Cancelled)
				return
			}
			// The task waits, and is placed again once a VM may take it.
			h.planner.Configure(plantainrail.OperatorConfig{})
			h.report(vm)
			assert.Equal(t, len(h.tick().Assignments), 1)
		})
	}
}

// Guards against a start of a job that has failed while the assignment was being stored: the run is
// to be stopped already.
func TestRunOfAJobThatHasFailedIsNotOrdered(t *testing.T) {
	h := newHarness(t, newVM("a", 4000))
	h.submit("job", plantainrail.Step{Count: 2, CPU: 1000})
	placed := h.planner.Tick(h.now).Assignments
	assert.Equal(t, len(placed), 2)
	// The first task is run again until no attempt is left, while the second one's assignment is
	// still being stored.
	for run, n := placed[0], int64(1); h.state("job") != planner.Failed; n++ {
		assert.Assert(t, h.planner.MarkStored(run, h.now))
		h.reportEnd(run, n, plantainrail.RunFailed)
		if next := h.planner.Tick(h.now).Assignments; len(next) > 0 {
			run = next[0]
		}
	}
	assert.Assert(t, !h.planner.MarkStored(placed[1], h.now))
}
