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

// Guards against long-running fillers that are not placed again (LOST) since others of their job run, and
// against fillers that wait for ones that never end. Later jobs must find room as well.
func TestLongRunningFillersArePlacedAgain(t *testing.T) {
	for _, c := range []struct {
		name string
		// count is the number of tasks on two VMs of 4000, and cpu what each requests.
		count, cpu int
	}{{"beyond the share of fillers", 8, 1000}, {"beyond the share of overdue fillers", 5, 8000}} {
		t.Run(c.name, func(t *testing.T) {
			vms := []plantainrail.VM{newVM("a", 4000), newVM("b", 4000), newVM("c", 4000)}
			h := newHarness(t, vms...)
			h.submit("services", plantainrail.Step{Count: c.count, CPU: c.cpu, Filler: true, Lasting: true})
			// A start takes up to a second, so tasks that have run before are placed earlier than after maxStarvation.
			const limit = maxStarvation - 800*time.Millisecond
			advance := func(limit time.Duration, vms []plantainrail.VM, jobs ...string) {
				placed := map[string]int{}
				for begin := h.now; h.now.Sub(begin) < limit; h.now = h.now.Add(100 * time.Millisecond) {
					for _, vm := range vms {
						h.report(vm)
					}
					for _, a := range h.tick().Assignments {
						h.begin(a)
						placed[a.Order.Ref.Task.Job]++
					}
				}
				for _, job := range jobs {
					assert.Assert(t, placed[job] > 0, job)
				}
				running := 0
				for _, vm := range vms {
					orders, _ := h.planner.DesiredRuns(vm.Incarnation)
					running += len(orders)
				}
				assert.Equal(t, running, c.count+len(jobs))
			}
			advance(limit, vms)
			h.planner.RemoveWorker(vms[2].Incarnation, h.now)
			advance(limit, vms[:2])
			h.submit("later", plantainrail.Step{Count: 1, CPU: 1000, Filler: true})
			advance(maxStarvation, vms[:2], "later")
		})
	}
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

// Guards against a filler of a starving job that waits (LOST) beside free memory, since earlier fillers leave
// less than half of it. VMs with more of it come first.
func TestStarvingFillerTakesMemoryInTheEnd(t *testing.T) {
	for _, c := range []struct {
		// memory is the other VM's.
		memory int
		node   string
	}{{650, "a"}, {1400, "b"}} {
		t.Run(c.node, func(t *testing.T) {
			vms := []plantainrail.VM{newVM("a", 4000), newVM("b", 1000)}
			h := newHarness(t, vms[0])
			h.submit("first", plantainrail.Step{Count: 3, CPU: 1000, Memory: 1700, Filler: true})
			assert.Equal(t, len(h.tick().Assignments), 3)
			vms[1].Capacity.Memory = c.memory
			h.report(vms[1])
			h.submit("second", plantainrail.Step{Count: 1, CPU: 1000, Memory: 100, Filler: true})
			assert.Equal(t, h.tick().Assignments[0].Incarnation.Node, "b")
			h.submit("later", plantainrail.Step{Count: 1, CPU: 1000, Memory: 600, Filler: true})
			for begin := h.now; ; h.now = h.now.Add(100 * time.Millisecond) {
				assert.Assert(t, h.now.Sub(begin) < maxStarvation)
				for _, vm := range vms {
					h.report(vm)
				}
				if placed := h.tick().Assignments; len(placed) > 0 {
					assert.Equal(t, placed[0].Incarnation.Node, c.node)
					return
				}
			}
		})
	}
}

// Load pattern: a burst of jobs of fillers. Guards against a gang of fillers that waits (LOST) for as
// long as the fillers of earlier jobs request all that fillers may request, if there is room for some of
// its members: the try of placing them must not start its wait anew.
func TestBacklogOfFillersStarvesNoGang(t *testing.T) {
	for _, c := range []struct {
		name  string
		count int
	}{{"room for no member", 6}, {"room for one member", 5}} {
		t.Run(c.name, func(t *testing.T) {
			vms := []plantainrail.VM{newVM("a", 4000), newVM("b", 4000)}
			h := newHarness(t, vms...)
			h.submit("first", plantainrail.Step{Count: c.count, CPU: 1000, Filler: true})
			assert.Equal(t, len(h.tick().Assignments), c.count)
			h.submit("gang", plantainrail.Step{Count: 2, CPU: 1000, Filler: true, Gang: true})
			placed := 0
			for begin := h.now; h.now.Sub(begin) < 10*time.Second; h.now = h.now.Add(100 * time.Millisecond) {
				for _, vm := range vms {
					h.report(vm)
				}
				for range h.tick().Assignments {
					placed++
					assert.Assert(t, h.now.Sub(begin) < maxStarvation, "placed after %s", h.now.Sub(begin))
				}
			}
			assert.Equal(t, placed, 2)
		})
	}
}

// Load pattern: a burst of jobs of fillers, and then a service that starts or moves. Guards against fillers
// that go beyond maxFillerShare without a bound, so that they take all memory, and services, which have
// processors for themselves, find no room.
func TestOverdueFillersLeaveRoomForServices(t *testing.T) {
	for _, paused := range []bool{false, true} {
		t.Run(fmt.Sprint("fillers paused on the other VM: ", paused), func(t *testing.T) {
			a, b := newVM("a", 4000), newVM("b", 4000)
			b.FillersPaused = paused
			h := newHarness(t, a, b)
			for i := range 200 {
				h.submit(fmt.Sprint("job", i), plantainrail.Step{Count: 5, CPU: 1000, Memory: 100, Filler: true})
			}
			onVM, most := map[string]int{}, 0
			for range 60 {
				h.report(a)
				h.report(b)
				placed := h.tick().Assignments
				most = max(most, len(placed))
				for _, assignment := range placed {
					onVM[assignment.Incarnation.Node]++
				}
				h.now = h.now.Add(100 * time.Millisecond)
			}
			t.Logf("fillers of one core each on VMs of 4 cores after 6 s: %v, at most %d in one tick", onVM, most)
			h.submit("service", plantainrail.Step{Count: 1, CPU: 1000, Memory: 500, Lasting: true})
			h.report(a)
			h.report(b)
			placed := h.tick().Assignments
			if paused {
				// The other VM is free for the service; here the number on one VM counts: a service on it has
				// them all beside it.
				assert.Assert(t, onVM["a"] <= 20, "%d fillers on one VM of 4 cores", onVM["a"])
				return
			}
			assert.Equal(t, len(placed), 1, "the service must be placed: no processor is reserved")
		})
	}
}

// Load pattern: a job of many occurrences that are all due and find no VM. Guards against a tick whose
// time grows with the square of their number.
func TestTickOfManyWaitingOccurrences(t *testing.T) {
	took := func(n int) time.Duration {
		h := newHarness(t, newVM("a", 4000))
		record, err := planner.NewJobRecord(plantainrail.Workflow{
			ID: "job", Queue: queue, Repetitions: n, IntervalMS: 1, FirstRunMS: 1,
			Steps: []plantainrail.Step{{Count: 1, CPU: 9000}},
		})
		assert.NilError(t, err)
		h.applyJob(record)
		h.tick()
		shortest := time.Hour
		for range 5 {
			begin := time.Now()
			h.tick()
			shortest = min(shortest, time.Since(begin))
		}
		return shortest
	}
	small, large := took(1000), took(8000)
	t.Logf("1,000 occurrences: %s; 8,000: %s", small, large)
	assert.Assert(t, large < 30*small, "%s and %s", small, large)
}
