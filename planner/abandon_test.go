package planner_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

// Guards against starts whose assignments are not stored, runs that are never stopped and
// VMs that stay full, when the progress of a job with running tasks is no longer stored.
func TestAbandonedJobLeavesNothingBehind(t *testing.T) {
	h := newHarness(t, newVM("a", 2000))
	h.submit("large", plantainrail.Step{Count: 3, CPU: 1000})
	running := h.tick().Assignments
	assert.Equal(t, len(running), 2)
	h.reportEnd(running[0], 1, plantainrail.RunDone)
	plan := h.planner.Tick(h.now)
	assert.Equal(t, len(plan.Assignments), 1)

	large := h.planner.Book.Job("large")
	h.planner.Abandon(large, &plan)
	assert.Equal(t, len(plan.Assignments), 0)
	assert.DeepEqual(t, plan.Stops, []planner.Stop{{Incarnation: running[1].Incarnation, Ref: running[1].Order.Ref, Reason: "failed"}})
	raw, err := large.Progress()
	assert.NilError(t, err)
	assert.Assert(t, len(raw) < 20, "%d bytes", len(raw))
	h.stored["large"] = raw

	h.submit("small", plantainrail.Step{Count: 2, CPU: 1000})
	assert.Equal(t, len(h.tick().Assignments), 1, "the withdrawn run holds no room, and the one to be stopped does")
	h.reportEnd(running[1], 2, plantainrail.RunStopped)
	assert.Equal(t, len(h.tick().Assignments), 1)
	assert.Equal(t, h.takeOver().state("large"), planner.Failed)
}
