package planner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
)

// Guards against a task that waits for ever (LOST) for room on a VM of an evacuated zone, because
// its run has failed on the only other one.
func TestFailedTaskDoesNotWaitForEvacuatedVMs(t *testing.T) {
	evacuated := newVM("b", 1000)
	evacuated.Zone = "z2"
	h := newHarness(t, evacuated)
	h.submit("busy", plantainrail.Step{Count: 1, CPU: 1000, Lasting: true})
	assert.Equal(t, len(h.tick().Assignments), 1)
	h.report(newVM("a", 4000))
	h.planner.Configure(plantainrail.OperatorConfig{Version: 1, Queues: []plantainrail.QueueRule{{Queue: queue}}, Out: map[string]bool{"z2": true}})
	h.submit("job", plantainrail.Step{Count: 1, CPU: 1000})
	h.reportEnd(h.tick().Assignments[0], 1, plantainrail.RunFailed)
	assert.Equal(t, len(h.tick().Assignments), 1)
}

// Guards against tasks that wait beside a free VM (LOST) because another task of their step has
// failed there and the other VMs are full.
func TestFailedTaskDoesNotHoldUpItsStep(t *testing.T) {
	h := newHarness(t, newVM("vm-0", 1000), newVM("vm-1", 1000))
	h.submit("job", plantainrail.Step{Count: 3, CPU: 1000})
	runs := h.tick().Assignments
	assert.Equal(t, len(runs), 2)
	h.reportEnd(runs[0], 1, plantainrail.RunFailed)
	next := h.tick().Assignments
	assert.Equal(t, len(next), 1)
	assert.Equal(t, next[0].Order.Ref.Task.Index, 2)
}

// Guards against a task that waits (LOST) beside the free VM whose worker has crashed when its
// run had just begun, while the other VMs are busy: a suspect only prefers other VMs. A task that
// has failed waits for another VM.
func TestSuspectDoesNotWaitForBusyVMs(t *testing.T) {
	only, other := newVM("vm-0", 4000), newVM("vm-1", 1000)
	h := newHarness(t, only)
	h.submit("suspect", plantainrail.Step{Count: 1, CPU: 1000})
	h.submit("failed", plantainrail.Step{Count: 1, CPU: 1000})
	runs := h.tick().Assignments
	assert.Equal(t, len(runs), 2)
	h.report(other)
	h.submit("busy", plantainrail.Step{Count: 1, CPU: 1000, Lasting: true})
	assert.Equal(t, h.tick().Assignments[0].Incarnation, other.Incarnation)
	h.reportEnd(runs[1], 1, plantainrail.RunFailed)
	only.Incarnation.StartedMS++
	only.StartedLast = []plantainrail.RunRef{runs[0].Order.Ref}
	h.report(only)
	next := h.tick().Assignments
	assert.Equal(t, len(next), 1)
	assert.Equal(t, next[0].Order.Ref.Task.Job, "suspect")
}

// Guards against a filler that waits (LOST) because a larger one with the same memory, which was
// submitted before, finds no room.
func TestLargeFillerDoesNotHoldUpSmallOnes(t *testing.T) {
	h := newHarness(t, newVM("a", 10_000))
	h.submit("first", fillerStep(1, 4_000, "f"))
	assert.Equal(t, len(h.tick().Assignments), 1)
	h.submit("large", fillerStep(1, 8_000, "f"))
	h.submit("small", fillerStep(1, 1_000, "f"))
	placed := h.tick().Assignments
	assert.Equal(t, len(placed), 1)
	assert.Equal(t, placed[0].Order.Ref.Task.Job, "small")
}

// Guards against a task that waits (LOST) for room on a VM that a service keeps busy for ever,
// because it has failed on the other one, which is free.
func TestFailedTaskDoesNotWaitForEver(t *testing.T) {
	h := newHarness(t, newVM("b", 1000))
	h.submit("busy", plantainrail.Step{Count: 1, CPU: 1000, Lasting: true})
	assert.Equal(t, len(h.tick().Assignments), 1)
	h.report(newVM("a", 4000))
	h.submit("job", plantainrail.Step{Count: 1, CPU: 1000})
	h.reportEnd(h.tick().Assignments[0], 1, plantainrail.RunFailed)
	assert.Equal(t, len(h.tick().Assignments), 0, "the task must wait for the other VM first")
	h.now = h.now.Add(2 * time.Second)
	assert.Equal(t, len(h.tick().Assignments), 1)
}
