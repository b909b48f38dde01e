package planner_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

var (
	start = time.Unix(1_700_000_000, 0)
	times = planner.Times{Lease: 5500 * time.Millisecond, Takeover: 6 * time.Second}
	queue = plantainrail.Queue{Name: "rota", Service: "desk", Attempts: 2, Stretch: 2, Slack: 1000}
)

// room is a planner with VMs, and what it has stored and ordered.
type room struct {
	t   *testing.T
	p   *planner.Planner
	now time.Time
	// stored is the newest progress of each job.
	stored map[string][]byte
	offers []plantainrail.KeyedRecord
}

func newRoom(t *testing.T, vms ...plantainrail.VM) *room {
	r := &room{t: t, p: planner.New(planner.NewBook(), times, start), now: start, stored: map[string][]byte{}}
	for _, vm := range vms {
		r.report(vm)
	}
	return r
}

func (r *room) report(vm plantainrail.VM) {
	r.p.Report(vm, r.now)
	r.p.Renew(vm.Life, r.now)
}

func newVM(node string, cpu int) plantainrail.VM {
	return plantainrail.VM{
		Life: plantainrail.Life{Node: node, ID: "w-" + node, Born: 1}, Service: "desk", Zone: "z1",
		Labels: []string{"a", "r1-1"}, Room: plantainrail.Resources{Processors: cpu, Memory: 10_000},
	}
}

func (r *room) take(record plantainrail.KeyedRecord) {
	r.t.Helper()
	r.offers = append(r.offers, record)
	assert.NilError(r.t, r.p.TakeJob(record, r.now))
}

func (r *room) offer(id string, steps ...plantainrail.Step) {
	r.t.Helper()
	record, err := planner.Offer(plantainrail.Workflow{ID: id, Queue: queue, Steps: steps})
	assert.NilError(r.t, err)
	r.take(record)
}

// tick decides, stores and commits.
func (r *room) tick() planner.Plan {
	r.t.Helper()
	plan := r.p.Tick(r.now)
	for _, j := range plan.Changed {
		raw, err := j.Progress()
		assert.NilError(r.t, err)
		r.stored[j.ID] = raw
	}
	for _, a := range plan.Assignments {
		r.p.Committed(a)
	}
	return plan
}

// takeOver returns a new owner's planner, from what is stored.
func (r *room) takeOver() *room {
	r.t.Helper()
	book := planner.NewBook()
	for id, raw := range r.stored {
		assert.NilError(r.t, book.TakeProgress(plantainrail.KeyedRecord{Key: id, Value: raw}))
	}
	for _, record := range r.offers {
		_, err := book.TakeJob(record)
		assert.NilError(r.t, err)
	}
	return &room{t: r.t, p: planner.New(book, times, r.now), now: r.now, stored: r.stored, offers: r.offers}
}

func (r *room) ended(a planner.Assignment, number int64, how plantainrail.EndKind) {
	r.p.Ended(a.Life, []plantainrail.RunEnd{{Number: number, Ref: a.Order.Ref, How: how}}, r.now)
}

func (r *room) state(id string) planner.State { return r.p.Book.Job(id).Shown() }

func TestStepsRunInOrderAndComplete(t *testing.T) {
	r := newRoom(t, newVM("a", 4000))
	r.offer("job", plantainrail.Step{Count: 2, CPU: 1000}, plantainrail.Step{Count: 1, CPU: 1000, After: []int{0}})
	assert.Equal(t, r.state("job"), planner.Queued)

	first := r.tick().Assignments
	assert.Equal(t, len(first), 2)
	r.ended(first[0], 1, plantainrail.EndDone)
	assert.Equal(t, len(r.tick().Assignments), 0, "the second step waits for all of the first")

	r.ended(first[1], 2, plantainrail.EndDone)
	second := r.tick().Assignments
	assert.Equal(t, len(second), 1)
	assert.Equal(t, second[0].Order.Ref.Task.Step, 1)
	r.ended(second[0], 3, plantainrail.EndDone)
	assert.Equal(t, r.state("job"), planner.Completed)
	assert.Equal(t, r.takeOver().state("job"), planner.Running, "not completed before the change is stored")
	r.tick()
	assert.Equal(t, r.takeOver().state("job"), planner.Completed)
}

func TestRoomIsNeverOvercommitted(t *testing.T) {
	r := newRoom(t, newVM("a", 2500))
	r.offer("job", plantainrail.Step{Count: 4, CPU: 1000})
	assert.Equal(t, len(r.tick().Assignments), 2)
	assert.Equal(t, len(r.tick().Assignments), 0)
}

func TestCancelCountsRoomOnce(t *testing.T) {
	r := newRoom(t, newVM("a", 2000))
	r.offer("job", plantainrail.Step{Count: 2, CPU: 1000})
	runs := r.tick().Assignments
	r.take(planner.Cancel("job"))
	plan := r.tick()
	assert.Equal(t, len(plan.Stops), 2)
	assert.Equal(t, r.state("job"), planner.Cancelled)

	r.offer("next", plantainrail.Step{Count: 2, CPU: 1000})
	assert.Equal(t, len(r.tick().Assignments), 0, "what is being stopped still takes room")
	for i, a := range runs {
		r.ended(a, int64(i+1), plantainrail.EndStopped)
	}
	assert.Equal(t, len(r.tick().Assignments), 2)
}

func TestTakeoverStopsWhatWasCancelled(t *testing.T) {
	for _, told := range []bool{false, true} {
		t.Run(fmt.Sprintf("decided=%t", told), func(t *testing.T) {
			r := newRoom(t, newVM("a", 2000))
			r.offer("job", plantainrail.Step{Count: 1, CPU: 1000})
			run := r.tick().Assignments[0]
			r.take(planner.Cancel("job"))
			if told {
				// The stop is lost with the owner that ordered it.
				r.tick()
			}
			next := r.takeOver()
			plan := next.tick()
			assert.Equal(t, len(plan.Stops), 1)
			starts, stops := next.p.Wanted(run.Life)
			assert.Equal(t, len(starts), 0)
			assert.DeepEqual(t, stops, []plantainrail.RunRef{run.Order.Ref})
		})
	}
}

func TestTakeoverKeepsWhatRuns(t *testing.T) {
	r := newRoom(t, newVM("a", 2000))
	r.offer("job", plantainrail.Step{Count: 1, CPU: 1000})
	run := r.tick().Assignments[0]

	next := r.takeOver()
	next.report(newVM("a", 2000))
	next.report(newVM("b", 2000))
	assert.Equal(t, len(next.tick().Assignments), 0)
	starts, _ := next.p.Wanted(run.Life)
	assert.Equal(t, len(starts), 1)
	next.ended(run, 1, plantainrail.EndDone)
	assert.Equal(t, next.state("job"), planner.Completed)
}

func TestSilentWorkerIsGivenUpAfterItsLease(t *testing.T) {
	lapse := times.Lease + times.Lease/50
	for _, c := range []struct {
		name string
		// takeover adds the time in which an earlier owner may still renew.
		takeover bool
		// connected means that the agent reports and cannot reach its worker.
		connected bool
		after     time.Duration
	}{
		{"session lost", false, false, lapse},
		{"agent cannot reach its worker", false, true, lapse},
		{"owner lost as well", true, false, lapse + times.Takeover},
		{"owner lost, agent cannot reach its worker", true, true, lapse},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRoom(t, newVM("a", 2000))
			r.offer("job", plantainrail.Step{Count: 1, CPU: 1000, Lasting: true})
			run := r.tick().Assignments[0]
			if c.takeover {
				r = r.takeOver()
			}
			r.p.Disconnect(run.Life)
			r.report(newVM("b", 2000))
			from := r.now
			for _, at := range []time.Time{from, from.Add(c.after)} {
				r.now = at
				r.report(newVM("b", 2000))
				if c.connected {
					lost := newVM("a", 2000)
					lost.Draining = true
					r.p.Report(lost, r.now)
				}
			}
			assert.Equal(t, len(r.tick().Assignments), 0, "the lease is not over for sure")
			r.now = from.Add(c.after + time.Second)
			again := r.tick().Assignments
			assert.Equal(t, len(again), 1)
			assert.Equal(t, again[0].Life.Node, "b")
			assert.Equal(t, again[0].Order.Ref.Run, run.Order.Ref.Run+1)
		})
	}
}

func TestNewLifeEndsTheEarlierOne(t *testing.T) {
	r := newRoom(t, newVM("a", 2000))
	r.offer("job", plantainrail.Step{Count: 1, CPU: 1000})
	run := r.tick().Assignments[0]
	reborn := newVM("a", 2000)
	reborn.Life.Born = 2
	r.report(reborn)
	again := r.tick().Assignments
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Life, reborn.Life)
	r.ended(run, 1, plantainrail.EndDone)
	assert.Equal(t, r.state("job"), planner.Running, "an end of the earlier life counts for nothing")
}

func TestFailuresAreBounded(t *testing.T) {
	r := newRoom(t, newVM("a", 2000), newVM("b", 2000), newVM("c", 2000))
	r.offer("job", plantainrail.Step{Count: 1, CPU: 1000})
	first := r.tick().Assignments[0]
	r.ended(first, 1, plantainrail.EndFailed)
	second := r.tick().Assignments[0]
	assert.Assert(t, second.Life != first.Life, "another VM is tried after a failure")
	r.ended(second, 1, plantainrail.EndFailed)
	assert.Equal(t, len(r.tick().Assignments), 0)
	assert.Equal(t, r.state("job"), planner.Failed)
}

func TestLapsedRunsResumeFromTheCheckpoint(t *testing.T) {
	r := newRoom(t, newVM("a", 2000))
	r.offer("job", plantainrail.Step{Count: 1, CPU: 1000, Checkpoints: true})
	for run := range 5 {
		a := r.tick().Assignments[0]
		assert.Equal(t, a.Order.Ref.Run, int64(run+1))
		r.p.Ended(a.Life, []plantainrail.RunEnd{{Number: int64(run + 1), Ref: a.Order.Ref, How: plantainrail.EndLapsed, Saved: fmt.Sprint("c", run)}}, r.now)
	}
	assert.Equal(t, r.tick().Assignments[0].Order.Saved, "c4")
	assert.Equal(t, r.state("job"), planner.Running, "runs that lapsed are no failures")
}

func TestNothingStartsWhereItMayNot(t *testing.T) {
	step := plantainrail.Step{Count: 1, CPU: 1000}
	for _, c := range []struct {
		name   string
		change func(vm *plantainrail.VM, s *plantainrail.Step, rules *plantainrail.Settlement)
	}{
		{"zone taken out", func(_ *plantainrail.VM, _ *plantainrail.Step, rules *plantainrail.Settlement) {
			rules.Out = map[string]bool{"z1": true}
		}},
		{"draining", func(vm *plantainrail.VM, _ *plantainrail.Step, _ *plantainrail.Settlement) { vm.Draining = true }},
		{"another service", func(vm *plantainrail.VM, _ *plantainrail.Step, _ *plantainrail.Settlement) { vm.Service = "other" }},
		{"queue moved to another service", func(_ *plantainrail.VM, _ *plantainrail.Step, rules *plantainrail.Settlement) {
			rules.Queues = []plantainrail.QueueRule{{Queue: plantainrail.Queue{Name: "rota", Service: "other"}}}
		}},
		{"no label", func(_ *plantainrail.VM, s *plantainrail.Step, _ *plantainrail.Settlement) { s.Label = "gpu" }},
		{"no room", func(_ *plantainrail.VM, s *plantainrail.Step, _ *plantainrail.Settlement) { s.Memory = 20_000 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			vm, s, rules := newVM("a", 2000), step, plantainrail.Settlement{}
			c.change(&vm, &s, &rules)
			r := newRoom(t, vm)
			r.p.Configure(rules)
			r.offer("job", s)
			assert.Equal(t, len(r.tick().Assignments), 0)
		})
	}
}

func TestSpreadBoundsTasksOnOneVM(t *testing.T) {
	r := newRoom(t, newVM("a", 9000), newVM("b", 9000))
	r.offer("job", plantainrail.Step{Count: 5, CPU: 1000, PerVM: 2})
	assert.Equal(t, len(r.tick().Assignments), 4)
}

func TestGangStartsWholeAndEndsTogether(t *testing.T) {
	r := newRoom(t, newVM("a", 2000))
	r.offer("job", plantainrail.Step{Count: 3, CPU: 1000, Gang: true})
	assert.Equal(t, len(r.tick().Assignments), 0, "there is room for two of three")
	r.report(newVM("b", 2000))
	runs := r.tick().Assignments
	assert.Equal(t, len(runs), 3)

	r.ended(runs[0], 1, plantainrail.EndAlone)
	assert.Equal(t, len(r.tick().Assignments), 0, "the others have not ended")
	for i, a := range runs[1:] {
		r.ended(a, int64(i+2), plantainrail.EndBroken)
	}
	again := r.tick().Assignments
	assert.Equal(t, len(again), 3)
	for _, a := range again {
		assert.Equal(t, a.Order.Ref.Run, int64(2))
	}
	r.ended(again[0], 9, plantainrail.EndDone)
	assert.Equal(t, r.state("job"), planner.Completed, "one end stands for the gang")
}

func TestOccurrencesWaitForTheirTime(t *testing.T) {
	r := newRoom(t, newVM("a", 9000))
	record, err := planner.Offer(plantainrail.Workflow{
		ID: "job", Queue: queue, Steps: []plantainrail.Step{{Count: 1, CPU: 1000}},
		Times: 2, First: start.Add(time.Second).UnixMilli(), Every: 1000,
	})
	assert.NilError(t, err)
	r.take(record)
	assert.Equal(t, len(r.tick().Assignments), 0)
	r.now = start.Add(1500 * time.Millisecond)
	first := r.tick().Assignments
	assert.Equal(t, len(first), 1)
	r.ended(first[0], 1, plantainrail.EndDone)
	assert.Equal(t, r.state("job"), planner.Running)
	r.now = start.Add(2500 * time.Millisecond)
	second := r.tick().Assignments
	assert.Equal(t, second[0].Order.Ref.Task.Occurrence, 1)
	r.ended(second[0], 2, plantainrail.EndDone)
	assert.Equal(t, r.state("job"), planner.Completed)
}

func TestWorkerThatFailsAllIsPaused(t *testing.T) {
	r := newRoom(t, newVM("bad", 2000))
	for i := range 2 {
		r.offer(fmt.Sprint("job", i), plantainrail.Step{Count: 1, CPU: 1000, Lasting: true})
	}
	runs := r.tick().Assignments
	for i, a := range runs {
		r.ended(a, int64(i+1), plantainrail.EndFailed)
	}
	assert.Equal(t, len(r.tick().Assignments), 0)
	r.now = r.now.Add(time.Second)
	assert.Equal(t, len(r.tick().Assignments), 1, "one run tries the VM again")
}

// A VM on trial gets one run at a time, beside lasting tasks that ran before.
func TestTrialBesideLastingTasks(t *testing.T) {
	r := newRoom(t, newVM("a", 9000))
	r.offer("service", plantainrail.Step{Count: 1, CPU: 1000, Lasting: true})
	r.tick()
	for i := range 2 {
		r.offer(fmt.Sprint("bad", i), plantainrail.Step{Count: 1, CPU: 1000, Lasting: true})
	}
	for i, a := range r.tick().Assignments {
		r.ended(a, int64(i+1), plantainrail.EndFailed)
	}
	assert.Equal(t, len(r.tick().Assignments), 0, "the VM is paused")
	r.now = r.now.Add(time.Second)
	assert.Equal(t, len(r.tick().Assignments), 1, "one run tries the VM, though a service runs there")
	r.now = r.now.Add(time.Second)
	assert.Equal(t, len(r.tick().Assignments), 0, "it is not known yet whether it fails")
	r.now = r.now.Add(3 * time.Second)
	assert.Equal(t, len(r.tick().Assignments), 1, "a run that has lasted has not failed")
}
