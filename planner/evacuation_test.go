package planner_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
)

// evacuate takes the VMs' zone out of service.
func (h *harness) evacuate() {
	h.planner.Configure(plantainrail.OperatorConfig{Out: map[string]bool{"z1": true}})
}

// Guards against starts in an evacuated zone (EVAC) of runs that were assigned before the
// evacuation: by a takeover, or by an agent that connects again.
func TestRunsInAnEvacuatedZoneAreOnlyAdopted(t *testing.T) {
	h := newHarness(t, newVM("a", 4000))
	h.submit("job", plantainrail.Step{Count: 1, CPU: 1000})
	placed := h.tick().Assignments
	assert.Equal(t, len(placed), 1)
	for _, owner := range []*harness{h, h.takeOver()} {
		owner.evacuate()
		owner.report(newVM("a", 4000))
		orders, stops := owner.planner.DesiredRuns(placed[0].Incarnation)
		assert.Equal(t, len(stops), 0)
		assert.Equal(t, len(orders), 1)
		assert.Assert(t, orders[0].Adopt)
	}
}

// Guards against an order that is sent although its reason has gone while the assignment was
// being stored: a start in an evacuated zone (EVAC), or of a run that is placed elsewhere by now
// (TWICE).
func TestAssignmentThatNoLongerHoldsIsNotOrdered(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(h *harness, vm plantainrail.VM)
		holds  bool
	}{
		{"nothing has changed", func(*harness, plantainrail.VM) {}, true},
		{"the zone was evacuated", func(h *harness, _ plantainrail.VM) { h.evacuate() }, false},
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
			// The task waits, and is placed again once a VM may take it.
			h.planner.Configure(plantainrail.OperatorConfig{})
			h.report(vm)
			assert.Equal(t, len(h.tick().Assignments), 1)
		})
	}
}
