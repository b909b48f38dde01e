package planner_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

// Load pattern: a burst of jobs of fillers. Guards against jobs that have nothing running (LOST) for
// as long as the fillers of earlier ones request all that fillers may request.
func TestBacklogOfFillersStarvesNoJob(t *testing.T) {
	vms := []plantainrail.VM{newVM("a", 4000), newVM("b", 4000)}
	h := newHarness(t, vms...)
	// The first job takes all that fillers may request.
	h.submit("first", plantainrail.Step{Count: 8, CPU: 1000, Filler: true})
	assert.Equal(t, len(h.tick().Assignments), 6)
	for n := range 5 {
		h.submit(fmt.Sprint("later-", n), plantainrail.Step{Count: 4, CPU: 1000, Filler: true})
	}
	placed := map[string]int{}
	var beyond []planner.Assignment
	for begin := h.now; h.now.Sub(begin) < 10*time.Second; h.now = h.now.Add(100 * time.Millisecond) {
		for _, vm := range vms {
			h.report(vm)
		}
		for _, a := range h.tick().Assignments {
			placed[a.Order.Ref.Task.Job]++
			beyond = append(beyond, a)
			assert.Assert(t, h.now.Sub(begin) < maxStarvation, "placed after %s", h.now.Sub(begin))
		}
	}
	// A job that has one task running waits for its turn with the others.
	assert.DeepEqual(t, placed, map[string]int{"later-0": 1, "later-1": 1, "later-2": 1, "later-3": 1, "later-4": 1})
	// Once that task ends, the next one follows at once.
	for i, a := range beyond {
		h.reportEnd(a, int64(i+1), plantainrail.RunDone)
	}
	assert.Equal(t, len(h.tick().Assignments), len(beyond))
}

// Guards against fillers of a starving job that go beyond what a VM really has: its memory.
func TestStarvingFillerNeedsMemory(t *testing.T) {
	vm := newVM("a", 4000)
	h := newHarness(t, vm)
	h.submit("first", plantainrail.Step{Count: 1, CPU: 1000, Memory: 9000, Filler: true})
	assert.Equal(t, len(h.tick().Assignments), 1)
	h.submit("later", plantainrail.Step{Count: 1, CPU: 1000, Memory: 2000, Filler: true})
	for range 50 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.report(vm)
		assert.Equal(t, len(h.tick().Assignments), 0)
	}
}
