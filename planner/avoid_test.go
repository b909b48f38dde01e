package planner_test

import (
	"testing"

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
