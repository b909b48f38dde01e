package planner_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

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
