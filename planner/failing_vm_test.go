package planner_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

// failOn ends the runs that were placed on the node more than after ago as failed, and returns the others.
func failOn(h *harness, node string, placed []planner.Assignment, at map[plantainrail.RunRef]time.Time, after time.Duration, number *int64) (rest []planner.Assignment) {
	for _, a := range placed {
		if a.Incarnation.Node == node && h.now.Sub(at[a.Order.Ref]) >= after {
			*number++
			h.reportEnd(a, *number, plantainrail.RunFailed)
			continue
		}
		rest = append(rest, a)
	}
	return rest
}

// countRunsOnFailingVM plays a VM "bad" whose worker fails every run after the given time, beside a sound
// one, and returns how many runs start on it in ten seconds.
func countRunsOnFailingVM(h *harness, after time.Duration) int {
	bad, sound := newVM("bad", 16_000), newVM("sound", 16_000)
	var placed []planner.Assignment
	at := map[plantainrail.RunRef]time.Time{}
	runs, number := 0, int64(1000)
	for begin := h.now; h.now.Sub(begin) < 10*time.Second; h.now = h.now.Add(50 * time.Millisecond) {
		h.report(bad)
		h.report(sound)
		for _, a := range placed {
			h.begin(a)
		}
		placed = failOn(h, "bad", placed, at, after, &number)
		for _, a := range h.tick().Assignments {
			placed, at[a.Order.Ref] = append(placed, a), h.now
			if a.Incarnation.Node == "bad" {
				runs++
			}
		}
	}
	return runs
}

// Guards against a VM that fails every run and takes all tasks of jobs that count as faulty, since
// another VM's transient fault has ended meanwhile.
func TestFailingVMIsPausedForJobsThatCountAsFaulty(t *testing.T) {
	for _, transient := range []bool{false, true} {
		t.Run(fmt.Sprint("transient fault before: ", transient), func(t *testing.T) {
			sound := newVM("sound", 16_000)
			h := newHarness(t, sound)
			number := int64(0)
			for i := range 8 {
				h.submit(fmt.Sprint("job", i), plantainrail.Step{Count: 1, CPU: 1000}, plantainrail.Step{Count: 7, CPU: 1000})
			}
			// The sound VM fails one run of each job, and stops the others. Then its worker recovers, and a run of
			// another job succeeds.
			if transient {
				for len(h.planner.Book.Job("job7").Steps) > 0 && number < 200 {
					for _, a := range h.tick().Assignments {
						number++
						outcome := plantainrail.RunStopped
						if a.Order.Ref.Task.Step == 0 {
							outcome = plantainrail.RunFailed
						}
						// A task that has failed once is stopped from then on, so that no job fails.
						if a.Order.Ref.Run > 1 {
							outcome = plantainrail.RunStopped
						}
						h.reportEnd(a, number, outcome)
					}
					h.now = h.now.Add(100 * time.Millisecond)
					h.report(sound)
					if h.now.Sub(start) > 60*time.Second {
						break
					}
				}
				h.submit("c", plantainrail.Step{Count: 1, CPU: 1000})
				done := false
				for begin := h.now; !done && h.now.Sub(begin) < 20*time.Second; h.now = h.now.Add(100 * time.Millisecond) {
					h.report(sound)
					for _, a := range h.tick().Assignments {
						number++
						outcome := plantainrail.RunStopped
						if a.Order.Ref.Task.Job == "c" {
							outcome, done = plantainrail.RunDone, true
						}
						h.reportEnd(a, number, outcome)
					}
				}
				t.Logf("recovered: %t after %s", done, h.now.Sub(start))
			}
			runs := countRunsOnFailingVM(h, 100*time.Millisecond)
			t.Logf("%d runs on the failing VM", runs)
			// 16 may be placed before the first failure; then one at a time, each after a pause (chosen bound).
			assert.Assert(t, runs <= 16+10, "%d runs", runs)
		})
	}
}

// Guards against a VM that fails every run, and later than within a second.
func TestFailingVMIsPaused(t *testing.T) {
	for _, after := range []time.Duration{100 * time.Millisecond, time.Second, 1400 * time.Millisecond, 1600 * time.Millisecond, 2 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			h := newHarness(t)
			for i := range 60 {
				h.submit(fmt.Sprint("job", i), plantainrail.Step{Count: 2, CPU: 1000})
			}
			runs := countRunsOnFailingVM(h, after)
			t.Logf("%d runs on the failing VM", runs)
			assert.Assert(t, runs <= 16+10, "%d runs", runs)
		})
	}
}

// Guards against sound jobs that are shown as failed since two of three VMs fail every run, after the given
// time. Each job has one task of two seconds and two attempts; jobs arrive ten times a second.
func TestSoundJobsBesideFailingVMs(t *testing.T) {
	for _, after := range []time.Duration{100 * time.Millisecond, time.Second, 1600 * time.Millisecond, 2 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			vms := []plantainrail.VM{newVM("bad1", 16_000), newVM("bad2", 16_000), newVM("sound", 16_000)}
			h := newHarness(t, vms...)
			var placed []planner.Assignment
			at := map[plantainrail.RunRef]time.Time{}
			number, jobs := int64(0), 0
			for h.now.Sub(start) < 30*time.Second {
				if h.now.Sub(start)%(100*time.Millisecond) == 0 && h.now.Sub(start) < 25*time.Second {
					h.submit(fmt.Sprint("job", jobs), plantainrail.Step{Count: 1, CPU: 1000})
					jobs++
				}
				var rest []planner.Assignment
				for _, a := range placed {
					age, bad := h.now.Sub(at[a.Order.Ref]), a.Incarnation.Node != "sound"
					switch {
					case bad && age >= after:
						number++
						h.reportEnd(a, number, plantainrail.RunFailed)
					case !bad && age >= 2*time.Second:
						number++
						h.reportEnd(a, number, plantainrail.RunDone)
					default:
						rest = append(rest, a)
					}
				}
				placed = rest
				for _, vm := range vms {
					h.report(vm)
				}
				for _, a := range h.tick().Assignments {
					placed, at[a.Order.Ref] = append(placed, a), h.now
				}
				h.now = h.now.Add(50 * time.Millisecond)
			}
			states := map[planner.State]int{}
			for i := range jobs {
				states[h.state(fmt.Sprint("job", i))]++
			}
			t.Logf("%d jobs: %v", jobs, states)
			// The bound of a tenth is chosen by the reviewer; the build b50f345 keeps within it.
			assert.Assert(t, states[planner.Failed] <= jobs/10, "%d jobs failed", states[planner.Failed])
		})
	}
}
