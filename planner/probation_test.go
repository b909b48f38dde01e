package planner_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

// newProbationHarness returns a harness with one VM, whose pause after the failures of two poison
// jobs has just ended. The jobs' tasks wait again.
func newProbationHarness(t *testing.T) *harness {
	h := newHarness(t, newVM("a", 9000))
	for i := range 2 {
		h.submit(fmt.Sprint("poison", i), plantainrail.Step{Count: 1, CPU: 1000, Lasting: true})
	}
	for i, a := range h.tick().Assignments {
		h.reportEnd(a, int64(i+1), plantainrail.RunFailed)
	}
	assert.Equal(t, len(h.tick().Assignments), 0, "the VM must be paused")
	h.now = h.now.Add(time.Second)
	return h
}

// Guards against long-running tasks that wait (LOST) because a VM without runs that end takes only
// one of them every three seconds, long after its last failure.
func TestProbationEndsWithARunThatLasts(t *testing.T) {
	h := newProbationHarness(t)
	for i := range 2 {
		h.applyJob(planner.NewCancelRecord(fmt.Sprint("poison", i)))
	}
	h.submit("services", plantainrail.Step{Count: 5, CPU: 1000, Lasting: true})
	first := h.tick().Assignments
	assert.Equal(t, len(first), 1)
	h.begin(first[0])
	h.now = h.now.Add(3 * time.Second)
	h.report(newVM("a", 9000))
	assert.Equal(t, len(h.tick().Assignments), 4)
}

// Guards against a sound job that waits (LOST) because the only run at a time that a VM on
// probation takes is, again and again, one of a job that fails everywhere.
func TestFailingJobsLeaveProbationToOthers(t *testing.T) {
	h := newProbationHarness(t)
	h.submit("sound", plantainrail.Step{Count: 1, CPU: 1000})
	placed := h.tick().Assignments
	assert.Equal(t, len(placed), 1)
	assert.Equal(t, placed[0].Order.Ref.Task.Job, "sound")
}

// Guards against a VM that is paused (LOST) by jobs that fail wherever they run, after another
// job's run there has shown that the worker is sound.
func TestFaultyJobsDoNotPauseVMs(t *testing.T) {
	h := newProbationHarness(t)
	h.submit("sound", plantainrail.Step{Count: 1, CPU: 1000})
	sound := h.tick().Assignments
	h.reportEnd(sound[0], 3, plantainrail.RunDone)
	faulty := h.tick().Assignments
	assert.Equal(t, len(faulty), 2)
	for i, a := range faulty {
		h.reportEnd(a, int64(i+4), plantainrail.RunFailed)
	}
	h.submit("next", plantainrail.Step{Count: 1, CPU: 1000})
	assert.Equal(t, len(h.tick().Assignments), 1, "the VM must take the next job")
	h.now = h.now.Add(2 * time.Second)
	assert.Equal(t, len(h.tick().Assignments), 2, "the faulty jobs must be tried again, but not at once")
}

// Guards against a task that waits (LOST) for the end of a pause that has grown to eight seconds,
// though the worker is sound again and nothing else runs.
func TestLongPausesYieldInAnIdlePool(t *testing.T) {
	h := newHarness(t, newVM("a", 9000))
	h.submit("job", plantainrail.Step{Count: 1, CPU: 1000})
	for range 8 {
		placed := h.tick().Assignments
		assert.Equal(t, len(placed), 1, "the task must not wait for three seconds")
		h.planner.ApplyRefusal(placed[0].Incarnation, placed[0].Order.Ref, plantainrail.RefusedNoResponse, h.now)
		assert.Equal(t, len(h.tick().Assignments), 0, "the VM must be paused")
		h.now = h.now.Add(2500 * time.Millisecond)
		h.report(newVM("a", 9000))
	}
	h.report(newVM("b", 2000))
	assert.Equal(t, h.tick().Assignments[0].Incarnation.Node, "b", "the pause must hold while another VM has room")
}

// Guards against a gang that never starts (LOST) because each VM is on probation and takes one
// member only.
func TestGangStartsOnVMsOnProbation(t *testing.T) {
	h := newProbationHarness(t)
	h.submit("gang", plantainrail.Step{Count: 3, CPU: 1000, Gang: true})
	placed := h.tick().Assignments
	assert.Equal(t, len(placed), 3)
	assert.Equal(t, placed[0].Order.Ref.Task.Job, "gang")
}

// Guards against a long-running task that fails everywhere and, tried without end, keeps all VMs
// paused (LOST) and their workers busy.
func TestFailingLongRunningTaskIsNotRetriedAtOnce(t *testing.T) {
	h := newHarness(t, newVM("a", 9000))
	h.submit("poison", plantainrail.Step{Count: 1, CPU: 1000, Lasting: true})
	for run, wait := range []time.Duration{0, 0, 2 * time.Second, 2 * time.Second} {
		if wait > 0 {
			h.now = h.now.Add(wait - time.Millisecond)
			assert.Equal(t, len(h.tick().Assignments), 0, "run %d", run+1)
			h.now = h.now.Add(time.Millisecond)
		}
		placed := h.tick().Assignments
		assert.Equal(t, len(placed), 1, "run %d", run+1)
		h.reportEnd(placed[0], int64(run+1), plantainrail.RunFailed)
	}
}

// Guards against sound jobs that fail (BUDGET, LOST) because a VM whose worker fails every run gets many
// runs at once: while the store is slow, an assignment on probation is not even ordered, but counts
// as a run that lasts.
func TestUnstoredRunDoesNotEndProbation(t *testing.T) {
	h := newProbationHarness(t)
	for i := range 2 {
		h.applyJob(planner.NewCancelRecord(fmt.Sprint("poison", i)))
	}
	for i := range 6 {
		h.submit(fmt.Sprint("sound", i), plantainrail.Step{Count: 1, CPU: 1000})
	}
	// The round's append takes two seconds, so the assignment is neither stored nor sent meanwhile.
	plan := h.planner.Tick(h.now)
	assert.Equal(t, len(plan.Assignments), 1, "the VM takes one run on probation")
	h.now = h.now.Add(2 * time.Second)
	h.planner.MarkStored(plan.Assignments[0], h.now)
	h.report(newVM("a", 9000))
	assert.Equal(t, len(h.planner.Tick(h.now).Assignments), 0, "the run on probation is sent only now")
}

// Guards against the same with a start that the agent has not sent, or a worker that has not begun it.
func TestRunThatHasNotBegunDoesNotEndProbation(t *testing.T) {
	h := newProbationHarness(t)
	for i := range 2 {
		h.applyJob(planner.NewCancelRecord(fmt.Sprint("poison", i)))
	}
	for i := range 6 {
		h.submit(fmt.Sprint("sound", i), plantainrail.Step{Count: 1, CPU: 1000})
	}
	assert.Equal(t, len(h.tick().Assignments), 1, "the VM takes one run on probation")
	// The worker answers no start for 1.6 s, and lists no run.
	h.now = h.now.Add(1600 * time.Millisecond)
	h.report(newVM("a", 9000))
	assert.Equal(t, len(h.tick().Assignments), 0, "no run has begun")
}
