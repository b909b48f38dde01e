package planner_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

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

// Guards against a job that runs again (TWICE), or that no owner knows (LOST), on an entry that reads
// the submission and progress of a new job with the ID of an ended one in an order of its own.
func TestNewJobWithTheIDOfADeletedOne(t *testing.T) {
	// d is the deletion of the submission, s the new submission, p the progress of the new job. The
	// deletion of the old progress does not exist: p has replaced it.
	for _, c := range []struct {
		records string
		// list means that the entry begins with lists of the newest records, which hold no d.
		list bool
	}{{"dsp", false}, {"dps", false}, {"pds", false}, {"sp", true}, {"sp", false}} {
		t.Run(fmt.Sprint(c.records, c.list), func(t *testing.T) {
			h := newHarness(t, newVM("vm-0", 64_000))
			catalog, submission, old := completedJob(t, h)
			if c.list {
				catalog = planner.NewCatalog()
			}
			// The new job's progress: its task is placed.
			other := newHarness(t, newVM("vm-0", 64_000))
			other.submit("a", plantainrail.Step{Count: 1, CPU: 1_000})
			assert.Equal(t, len(other.tick().Assignments), 1)
			progress := plantainrail.KeyedRecord{Key: "a", Value: other.stored["a"]}
			for _, r := range c.records {
				switch r {
				case 'd':
					assert.NilError(t, catalog.ApplyJob(plantainrail.KeyedRecord{Key: submission.Key}))
				case 's':
					assert.NilError(t, catalog.ApplyJob(submission))
					if c.list {
						// The list of the progress is answered before the owner has stored the new job's.
						assert.NilError(t, catalog.ApplyProgress(old))
					}
				case 'p':
					assert.NilError(t, catalog.ApplyProgress(progress))
				}
				catalog.NoteEnds(h.now)
			}
			book, unreadable := catalog.Book()
			assert.DeepEqual(t, unreadable, []error(nil))
			assert.Assert(t, book.Job("a") != nil, "the new owner does not know the job")
			assert.Equal(t, book.UnknownProgress(), 0)
			next := planner.New(book, timeouts, h.now)
			next.UpdateWorker(newVM("vm-0", 64_000), h.now)
			assert.Equal(t, len(next.Tick(h.now).Assignments), 0, "the task is placed already")
		})
	}
}

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
