package planner_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

// Guards against a task that waits for over three seconds (LOST) beside a free VM because a judgement
// speaks against the VM.
func TestJudgementsDoNotHoldOverdueTasks(t *testing.T) {
	refuse := func(reason plantainrail.RefusalReason) func(h *harness) {
		return func(h *harness) {
			h.submit("task", plantainrail.Step{Count: 1, CPU: 1000})
			for range 4 {
				for _, a := range h.tick().Assignments {
					h.planner.ApplyRefusal(a.Incarnation, a.Order.Ref, reason, h.now)
				}
				h.now = h.now.Add(500 * time.Millisecond)
			}
		}
	}
	for name, c := range map[string]struct {
		wait    time.Duration
		arrange func(h *harness)
	}{
		"refused": {time.Millisecond, refuse(plantainrail.RefusedCapacity)},
		"paused":  {time.Millisecond, refuse(plantainrail.RefusedNoResponse)},
		"trial": {2001 * time.Millisecond, func(h *harness) {
			for _, id := range []string{"bad1", "bad2"} {
				h.submit(id, plantainrail.Step{Count: 1, CPU: 1000})
			}
			for i, a := range h.tick().Assignments {
				h.reportEnd(a, int64(i+1), plantainrail.RunFailed)
			}
			h.now = h.now.Add(time.Second)
			h.submit("other", plantainrail.Step{Count: 1, CPU: 1000})
			assert.Equal(h.t, len(h.tick().Assignments), 1)
			h.submit("task", plantainrail.Step{Count: 1, CPU: 1000})
		}},
		"strained": {2001 * time.Millisecond, func(h *harness) {
			vm := newVM("a", 9000)
			vm.FillersPaused = true
			h.report(vm)
			h.submit("task", fillerStep(1, 1000, "f"))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, newVM("a", 9000))
			c.arrange(h)
			plan := h.tick()
			for _, a := range plan.Assignments {
				assert.Assert(t, a.Order.Ref.Task.Job != "task", "the judgement must hold at first")
			}
			h.now = h.now.Add(c.wait)
			placed := h.tick().Assignments
			assert.Assert(t, len(placed) > 0)
			assert.Equal(t, placed[0].Order.Ref.Task.Job, "task")
		})
	}
}

// Guards against a wait that nobody can explain: a step that judgements hold back is listed after a
// second, with how long it has waited and with the judgements apart from the facts.
func TestStepsThatAreKeptBackAreListed(t *testing.T) {
	vm, drained := newVM("a", 9000), newVM("b", 9000)
	vm.FillersPaused, drained.Draining = true, true
	h := newHarness(t, vm, drained)
	h.submit("filler", fillerStep(1, 1000, "f"))
	assert.Assert(t, !h.tick().Unplaced[0].KeptBack())
	h.now = h.now.Add(time.Second)
	unplaced := h.tick().Unplaced
	assert.Equal(t, len(unplaced), 1)
	assert.Assert(t, unplaced[0].KeptBack())
	assert.Equal(t, unplaced[0].Waited, time.Second)
	assert.DeepEqual(t, unplaced[0].Obstacles, map[planner.Obstacle]int{"strained": 1, "draining": 1})
	assert.DeepEqual(t, unplaced[0].Judgements, map[planner.Obstacle]int{"strained": 1})
	assert.Equal(t, len(h.tick().Unplaced), 0)
}

// Guards against a task that waits (LOST) for one order after the other to expire on the only VM against
// which nothing speaks, while another VM could take it.
func TestLateVMsComeLast(t *testing.T) {
	pauseOther := func(h *harness) {
		h.submit("refused", plantainrail.Step{Count: 1, CPU: 1000})
		for range 4 {
			h.now = h.now.Add(2500 * time.Millisecond)
			h.report(newVM("a", 1000))
			for _, a := range h.tick().Assignments {
				h.planner.ApplyRefusal(a.Incarnation, a.Order.Ref, plantainrail.RefusedNoResponse, h.now)
			}
		}
		h.applyJob(planner.NewCancelRecord("refused"))
	}
	for name, c := range map[string]struct {
		arrange func(h *harness)
		reason  plantainrail.RefusalReason
		// node is the VM of the next order, after the wait.
		node string
		wait time.Duration
	}{
		"alone":                                 {func(*harness) {}, plantainrail.RefusedExpired, "late", 0},
		"beside a paused VM":                    {pauseOther, plantainrail.RefusedExpired, "a", 501 * time.Millisecond},
		"beside a paused VM, without an answer": {pauseOther, plantainrail.RefusedNoResponse, "a", 501 * time.Millisecond},
		"beside a full VM": {func(h *harness) {
			h.submit("full", plantainrail.Step{Count: 1, CPU: 1000})
			h.begin(h.tick().Assignments[0])
		}, plantainrail.RefusedExpired, "late", 1001 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			if name != "alone" {
				h.report(newVM("a", 1000))
			}
			c.arrange(h)
			h.report(newVM("late", 9000))
			h.submit("task", plantainrail.Step{Count: 1, CPU: 1000})
			order := h.tick().Assignments[0]
			assert.Equal(t, order.Incarnation.Node, "late")
			h.now = h.now.Add(1500 * time.Millisecond)
			h.planner.ApplyRefusal(order.Incarnation, order.Order.Ref, c.reason, h.now)
			if c.wait > 0 {
				assert.Equal(t, len(h.tick().Assignments), 0)
				h.now = h.now.Add(c.wait - time.Millisecond)
				assert.Equal(t, len(h.tick().Assignments), 0)
				h.now = h.now.Add(time.Millisecond)
			}
			placed := h.tick().Assignments
			assert.Equal(t, len(placed), 1)
			assert.Equal(t, placed[0].Incarnation.Node, c.node)
		})
	}
}

// Guards against a wait (LOST) that begins anew when a run that never began is given up: nothing of the
// job has been running since the last other run ended.
func TestRunsThatDoNotBeginDoNotEndAWait(t *testing.T) {
	for name, c := range map[string]struct {
		tasks  int
		refuse bool
	}{"the run is refused": {2, true}, "another task waits beside it": {3, false}} {
		t.Run(name, func(t *testing.T) {
			vms := []plantainrail.VM{newVM("a", 1000), newVM("b", 1000)}
			h := newHarness(t, vms...)
			h.submit("job", plantainrail.Step{Count: c.tasks, CPU: 1000})
			placed := h.tick().Assignments
			assert.Equal(t, len(placed), 2)
			h.begin(placed[0])
			h.now = h.now.Add(time.Second)
			h.reportEnd(placed[0], 1, plantainrail.RunDone)
			for i := range vms {
				vms[i].Draining = true
				h.report(vms[i])
			}
			h.tick()
			h.now = h.now.Add(2500 * time.Millisecond)
			if c.refuse {
				h.planner.ApplyRefusal(placed[1].Incarnation, placed[1].Order.Ref, plantainrail.RefusedExpired, h.now)
			}
			unplaced := h.tick().Unplaced
			assert.Equal(t, len(unplaced), 1)
			assert.Equal(t, unplaced[0].Waited, 2500*time.Millisecond)
		})
	}
}

// Guards against sound jobs that wait (LOST) for a slow start of the only VM, whose runs have failed late.
// Each gets one run on trial in the end.
func TestSlowStartsDoNotHoldStarvingJobs(t *testing.T) {
	vm := newVM("a", 9000)
	h := newHarness(t, vm)
	for i := range 2 {
		h.submit(fmt.Sprint("poison", i), plantainrail.Step{Count: 1, CPU: 1000})
	}
	h.now = h.now.Add(time.Millisecond)
	failed := h.tick().Assignments
	h.now = h.now.Add(time.Second)
	for i, a := range failed {
		h.reportEnd(a, int64(i+1), plantainrail.RunFailed)
		h.applyJob(planner.NewCancelRecord(a.Order.Ref.Task.Job))
	}
	h.tick()
	h.now = h.now.Add(time.Second)
	for i := range 8 {
		h.submit(fmt.Sprint("job", i), plantainrail.Step{Count: 2, CPU: 100})
	}
	placed := map[string]int{}
	for begin := h.now; h.now.Sub(begin) < 2900*time.Millisecond; h.now = h.now.Add(100 * time.Millisecond) {
		h.report(vm)
		for _, a := range h.tick().Assignments {
			placed[a.Order.Ref.Task.Job]++
		}
	}
	assert.Equal(t, len(placed), 8)
	assert.Equal(t, placed["job7"], 1)
}

// Guards against a task that has waited for long enough to take a late VM, and waits (LOST) for a job that is served
// before it and has waited for less.
func TestLateVMIsNotKeptByAJobThatWaitsLess(t *testing.T) {
	h := newHarness(t, newVM("a", 1000))
	h.submit("full", plantainrail.Step{Count: 1, CPU: 1000})
	h.begin(h.tick().Assignments[0])
	h.report(newVM("late", 9000))
	h.submit("first", plantainrail.Step{Count: 1, CPU: 1000}, plantainrail.Step{Count: 1, CPU: 1000, DependsOn: []int{0}})
	step0 := h.tick().Assignments[0]
	h.begin(step0)
	h.submit("second", plantainrail.Step{Count: 1, CPU: 1000})
	begin := h.now
	second := h.tick().Assignments[0]
	h.now = h.now.Add(400 * time.Millisecond)
	h.reportEnd(step0, 1, plantainrail.RunDone)
	first := h.tick().Assignments[0]
	h.now = begin.Add(1500 * time.Millisecond)
	h.planner.ApplyRefusal(second.Incarnation, second.Order.Ref, plantainrail.RefusedExpired, h.now)
	h.planner.ApplyRefusal(first.Incarnation, first.Order.Ref, plantainrail.RefusedExpired, h.now)
	for h.now.Sub(begin) < 4*time.Second {
		for _, a := range h.tick().Assignments {
			if a.Order.Ref.Task.Job == "second" {
				assert.Check(t, h.now.Sub(begin) <= 2600*time.Millisecond)
				return
			}
		}
		h.now = h.now.Add(50 * time.Millisecond)
	}
	t.Fatal("not placed")
}
