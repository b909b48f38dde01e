package planner_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

var (
	start    = time.Unix(1_700_000_000, 0)
	timeouts = planner.Timeouts{Lease: 5500 * time.Millisecond, TakeoverGrace: 6 * time.Second}
	queue    = plantainrail.Queue{Name: "rota", Pool: "desk", MaxAttempts: 2, StretchFactor: 2, SlackMS: 1000}
)

// harness runs a planner with VMs and keeps what its owner would have stored.
type harness struct {
	t       *testing.T
	planner *planner.Planner
	now     time.Time
	// stored is the newest progress of each job. jobRecords are the records of the
	// jobs topic.
	stored     map[string][]byte
	jobRecords []plantainrail.KeyedRecord
}

func newHarness(t *testing.T, vms ...plantainrail.VM) *harness {
	h := &harness{t: t, planner: planner.New(planner.NewBook(), timeouts, start), now: start, stored: map[string][]byte{}}
	for _, vm := range vms {
		h.report(vm)
	}
	return h
}

// report reports a VM as its agent does, and renews its lease.
func (h *harness) report(vm plantainrail.VM) {
	h.planner.UpdateWorker(vm, h.now)
	h.planner.Renew(vm.Incarnation, h.now)
}

// newVM returns a VM with the given processors in thousandths of a core.
func newVM(node string, cpu int) plantainrail.VM {
	return plantainrail.VM{
		Incarnation: plantainrail.WorkerIncarnation{Node: node, ID: "w-" + node, StartedMS: 1}, Pool: "desk", Zone: "z1",
		Labels: []string{"a", "r1-1"}, Capacity: plantainrail.Resources{Processors: cpu, Memory: 10_000},
	}
}

func (h *harness) applyJob(record plantainrail.KeyedRecord) {
	h.t.Helper()
	h.jobRecords = append(h.jobRecords, record)
	assert.NilError(h.t, h.planner.ApplyJob(record, h.now))
}

func (h *harness) submit(id string, steps ...plantainrail.Step) {
	h.t.Helper()
	h.submitWorkflow(plantainrail.Workflow{ID: id, Queue: queue, Steps: steps})
}

func (h *harness) submitWorkflow(w plantainrail.Workflow) {
	h.t.Helper()
	record, err := planner.NewJobRecord(w)
	assert.NilError(h.t, err)
	h.applyJob(record)
}

// decision is a plan that is not stored yet, with the progress of its changed jobs.
type decision struct {
	planner.Plan
	progress map[string][]byte
}

// decide runs a tick.
func (h *harness) decide() decision {
	h.t.Helper()
	d := decision{h.planner.Tick(h.now), map[string][]byte{}}
	for _, j := range d.Changed {
		raw, err := j.Progress()
		assert.NilError(h.t, err)
		d.progress[j.ID] = raw
	}
	return d
}

// store stores the changes of a decision and marks its assignments as stored.
func (h *harness) store(d decision) {
	maps.Copy(h.stored, d.progress)
	for _, a := range d.Assignments {
		h.planner.MarkStored(a, h.now)
	}
}

// tick runs a tick and stores its decision.
func (h *harness) tick() planner.Plan {
	h.t.Helper()
	d := h.decide()
	h.store(d)
	return d.Plan
}

// takeOver returns a harness for a new owner, whose planner starts from what is
// stored and has no reports of agents yet.
func (h *harness) takeOver() *harness {
	h.t.Helper()
	catalog := planner.NewCatalog()
	for id, raw := range h.stored {
		assert.NilError(h.t, catalog.ApplyProgress(plantainrail.KeyedRecord{Key: id, Value: raw}))
	}
	for _, record := range h.jobRecords {
		assert.NilError(h.t, catalog.ApplyJob(record))
	}
	book, unreadable := catalog.Book()
	assert.DeepEqual(h.t, unreadable, []error(nil))
	return &harness{t: h.t, planner: planner.New(book, timeouts, h.now), now: h.now, stored: h.stored, jobRecords: h.jobRecords}
}

// reportEnd reports the end of an assignment's run, with the given number of the end
// (see plantainrail.RunEnd).
func (h *harness) reportEnd(a planner.Assignment, number int64, outcome plantainrail.RunOutcome) {
	h.planner.ApplyEnds(a.Incarnation, []plantainrail.RunEnd{{Number: number, Ref: a.Order.Ref, Outcome: outcome}}, h.now)
}

// begin reports that the worker runs an assignment.
func (h *harness) begin(a planner.Assignment) {
	h.planner.RecordCheckpoints(a.Incarnation, []plantainrail.RunStatus{{Ref: a.Order.Ref}}, h.now)
}

func (h *harness) state(id string) planner.State { return h.planner.Book.Job(id).PublicState() }

func TestStepsRunInOrderAndComplete(t *testing.T) {
	h := newHarness(t, newVM("a", 4000))
	h.submit("job", plantainrail.Step{Count: 2, CPU: 1000}, plantainrail.Step{Count: 1, CPU: 1000, DependsOn: []int{0}})
	assert.Equal(t, h.state("job"), planner.Queued)

	first := h.tick().Assignments
	assert.Equal(t, len(first), 2)
	h.reportEnd(first[0], 1, plantainrail.RunDone)
	assert.Equal(t, len(h.tick().Assignments), 0, "the second step must wait for all tasks of the first")

	h.reportEnd(first[1], 2, plantainrail.RunDone)
	second := h.tick().Assignments
	assert.Equal(t, len(second), 1)
	assert.Equal(t, second[0].Order.Ref.Task.Step, 1)
	h.reportEnd(second[0], 3, plantainrail.RunDone)
	assert.Equal(t, h.state("job"), planner.Completed)
	assert.Equal(t, h.takeOver().state("job"), planner.Running, "the job must not be completed before the change is stored")
	h.tick()
	assert.Equal(t, h.takeOver().state("job"), planner.Completed)
}

func TestResourcesAreNeverOvercommitted(t *testing.T) {
	h := newHarness(t, newVM("a", 2500))
	h.submit("job", plantainrail.Step{Count: 4, CPU: 1000})
	assert.Equal(t, len(h.tick().Assignments), 2)
	assert.Equal(t, len(h.tick().Assignments), 0)
}

func TestCancelledRunsHoldResourcesUntilTheyEnd(t *testing.T) {
	h := newHarness(t, newVM("a", 2000))
	h.submit("job", plantainrail.Step{Count: 2, CPU: 1000})
	runs := h.tick().Assignments
	h.applyJob(planner.NewCancelRecord("job"))
	plan := h.tick()
	assert.Equal(t, len(plan.Stops), 2)
	assert.Equal(t, h.state("job"), planner.Cancelled)

	h.submit("next", plantainrail.Step{Count: 2, CPU: 1000})
	assert.Equal(t, len(h.tick().Assignments), 0, "runs that are being stopped must hold their resources")
	for i, a := range runs {
		h.reportEnd(a, int64(i+1), plantainrail.RunStopped)
	}
	assert.Equal(t, len(h.tick().Assignments), 2)
}

// Guards against runs of a cancelled job that go on because the owner failed
// before it ordered their stop, or before the order reached the worker.
func TestTakeoverStopsCancelledRuns(t *testing.T) {
	for _, stopDecided := range []bool{false, true} {
		t.Run(fmt.Sprintf("decided=%t", stopDecided), func(t *testing.T) {
			h := newHarness(t, newVM("a", 2000))
			h.submit("job", plantainrail.Step{Count: 1, CPU: 1000})
			run := h.tick().Assignments[0]
			h.applyJob(planner.NewCancelRecord("job"))
			if stopDecided {
				// The stop is decided but lost with its owner.
				h.tick()
			}
			next := h.takeOver()
			plan := next.tick()
			assert.Equal(t, len(plan.Stops), 1)
			starts, stops := next.planner.DesiredRuns(run.Incarnation)
			assert.Equal(t, len(starts), 0)
			assert.DeepEqual(t, stops, []plantainrail.RunRef{run.Order.Ref})
		})
	}
}

func TestTakeoverKeepsRunningTasks(t *testing.T) {
	h := newHarness(t, newVM("a", 2000))
	h.submit("job", plantainrail.Step{Count: 1, CPU: 1000})
	run := h.tick().Assignments[0]

	next := h.takeOver()
	next.report(newVM("a", 2000))
	next.report(newVM("b", 2000))
	assert.Equal(t, len(next.tick().Assignments), 0)
	starts, _ := next.planner.DesiredRuns(run.Incarnation)
	assert.Equal(t, len(starts), 1)
	next.reportEnd(run, 1, plantainrail.RunDone)
	assert.Equal(t, next.state("job"), planner.Completed)
}

// Guards against a task that runs again after it was done (TWICE) or has failed too often (BUDGET): its worker
// had been given up meanwhile, and the end was acknowledged without effect.
func TestEndOfALostRunCounts(t *testing.T) {
	for _, c := range []struct {
		name    string
		step    plantainrail.Step
		outcome plantainrail.RunOutcome
		want    planner.State
		starts  int
	}{
		{"done", plantainrail.Step{Count: 1, CPU: 1000}, plantainrail.RunDone, planner.Completed, 0},
		{"failed for the last time", plantainrail.Step{Count: 1, CPU: 1000}, plantainrail.RunFailed, planner.Failed, 0},
		{"lapsed", plantainrail.Step{Count: 1, CPU: 1000}, plantainrail.RunLeaseExpired, planner.Running, 1},
		{"long-running", plantainrail.Step{Count: 1, CPU: 1000, Lasting: true}, plantainrail.RunDone, planner.Running, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, newVM("a", 2000))
			once := queue
			once.MaxAttempts = 1
			h.submitWorkflow(plantainrail.Workflow{ID: "job", Queue: once, Steps: []plantainrail.Step{c.step}})
			run := h.tick().Assignments[0]
			h.begin(run)
			h.now = h.now.Add(2 * timeouts.Lease)
			h.tick()
			assert.Assert(t, !h.planner.HasWorker(run.Incarnation))
			h.report(newVM("a", 2000))
			h.reportEnd(run, 1, c.outcome)
			assert.Equal(t, len(h.tick().Assignments), c.starts)
			assert.Equal(t, h.state("job"), c.want)
			// The new owner must know it as well.
			assert.Equal(t, h.takeOver().state("job"), c.want)
		})
	}
}

// Guards against a job that fails for one failed run (LOST): its end has counted, and is reported again since the
// acknowledgement was lost with the owner, with the VM's record, or with the worker's earlier incarnation.
func TestFailedEndCountsOnce(t *testing.T) {
	for name, lose := range map[string]func(h *harness, run planner.Assignment) *harness{
		"owner": func(h *harness, run planner.Assignment) *harness {
			h.reportEnd(run, 1, plantainrail.RunFailed)
			h.tick()
			return h.takeOver()
		},
		"lease": func(h *harness, run planner.Assignment) *harness {
			h.reportEnd(run, 1, plantainrail.RunFailed)
			h.now = h.now.Add(2 * timeouts.Lease)
			h.tick()
			assert.Assert(h.t, !h.planner.HasWorker(run.Incarnation))
			return h
		},
		"incarnation": func(h *harness, run planner.Assignment) *harness {
			next := run.Incarnation
			next.StartedMS++
			h.planner.ApplyPredecessorEnds(next, []plantainrail.RunEnd{{Number: 1, Ref: run.Order.Ref, Outcome: plantainrail.RunFailed}}, h.now)
			return h
		},
	} {
		t.Run(name, func(t *testing.T) {
			vm := newVM("a", 1000)
			h := newHarness(t, vm)
			h.submit("job", plantainrail.Step{Count: 1, CPU: 1000})
			run := h.tick().Assignments[0]
			h.begin(run)
			// Nothing more is placed, so the task waits.
			vm.Draining = true
			h.report(vm)
			h = lose(h, run)
			if name == "incarnation" {
				vm.Incarnation.StartedMS++
			}
			h.report(vm)
			h.planner.ApplyEnds(vm.Incarnation, []plantainrail.RunEnd{{Number: 1, Ref: run.Order.Ref, Outcome: plantainrail.RunFailed}}, h.now)
			h.tick()
			assert.Equal(t, h.state("job"), planner.Running)
		})
	}
}

// Guards against a job that is shown as completed though nothing of it has run: a worker lists the end of an earlier
// job under the same ID.
func TestEndOfAnEarlierJobCompletesNothing(t *testing.T) {
	h := newHarness(t, newVM("b", 1000))
	h.submit("job", plantainrail.Step{Count: 1, CPU: 1000})
	refused := h.tick().Assignments[0]
	h.planner.ApplyRefusal(refused.Incarnation, refused.Order.Ref, plantainrail.RefusedCapacity, h.now)
	vm := newVM("a", 1000)
	vm.Draining = true
	h.report(vm)
	h.planner.ApplyEnds(vm.Incarnation, []plantainrail.RunEnd{{Number: 1, Ref: refused.Order.Ref, Outcome: plantainrail.RunDone}}, h.now)
	assert.Equal(t, h.state("job"), planner.Queued)
}

// Guards against two runs of a task at the same time: the task of a worker out of
// contact may only be placed again after the worker's lease has certainly expired
// and its runs are stopped.
func TestTasksAreRescheduledAfterLeaseExpiry(t *testing.T) {
	// The worker's clock may run slow by a fiftieth.
	expiry := timeouts.Lease + timeouts.Lease/50
	for _, c := range []struct {
		name string
		// takeover means that the owner is replaced. The earlier one may still
		// renew leases for TakeoverGrace, unless the worker's agent has accepted the
		// new one.
		takeover, accepted bool
		// connected means that the agent reports but cannot reach its worker.
		connected bool
		// after is the time until the worker's lease has certainly expired.
		after time.Duration
	}{
		{"session lost", false, false, false, expiry},
		{"agent cannot reach its worker", false, false, true, expiry},
		{"owner lost as well", true, false, false, expiry + timeouts.TakeoverGrace},
		{"owner lost, agent cannot reach its worker", true, true, true, expiry},
		{"agent has not accepted the new owner", true, false, true, expiry + timeouts.TakeoverGrace},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, newVM("a", 2000))
			h.submit("job", plantainrail.Step{Count: 1, CPU: 1000, Lasting: true})
			run := h.tick().Assignments[0]
			if c.takeover {
				h = h.takeOver()
			}
			h.planner.Disconnect(run.Incarnation)
			h.report(newVM("b", 2000))
			from := h.now
			for _, at := range []time.Time{from, from.Add(c.after)} {
				h.now = at
				h.report(newVM("b", 2000))
				if c.connected {
					lost := newVM("a", 2000)
					lost.Draining = true
					h.planner.UpdateWorker(lost, h.now)
					if c.accepted {
						h.planner.EndGrace(lost.Incarnation, h.now)
					}
				}
			}
			assert.Equal(t, len(h.tick().Assignments), 0, "the task is placed again although the lease may still be valid")
			// The worker needs less than a second to stop its runs.
			h.now = from.Add(c.after + time.Second)
			again := h.tick().Assignments
			assert.Equal(t, len(again), 1)
			assert.Equal(t, again[0].Incarnation.Node, "b")
			assert.Equal(t, again[0].Order.Ref.Run, run.Order.Ref.Run+1)
		})
	}
}

// Guards against a task that is lost when its worker restarts: a new incarnation
// runs nothing of the earlier one, and late reports on the earlier one must have
// no effect.
func TestNewIncarnationReplacesPreviousOne(t *testing.T) {
	h := newHarness(t, newVM("a", 2000))
	h.submit("job", plantainrail.Step{Count: 1, CPU: 1000})
	run := h.tick().Assignments[0]
	restarted := newVM("a", 2000)
	restarted.Incarnation.StartedMS = 2
	h.report(restarted)
	again := h.tick().Assignments
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Incarnation, restarted.Incarnation)
	h.planner.RecordCheckpoints(restarted.Incarnation, []plantainrail.RunStatus{{Ref: again[0].Order.Ref}}, h.now)
	h.reportEnd(run, 1, plantainrail.RunDone)
	assert.Equal(t, h.state("job"), planner.Running, "an end from the earlier incarnation must be ignored")
}

// A run that is lost with its worker's incarnation must be listed with the cause, so that
// the log tells which runs ended with a crash.
func TestLostRunsAreListed(t *testing.T) {
	h := newHarness(t, newVM("a", 1000))
	h.submit("job", plantainrail.Step{Count: 1, CPU: 1000})
	first := h.tick().Assignments[0]
	h.now = h.now.Add(500 * time.Millisecond)
	reborn := newVM("a", 1000)
	reborn.Incarnation.StartedMS++
	h.report(reborn)
	plan := h.tick()
	assert.DeepEqual(t, plan.Lost, []planner.LostRun{{Ref: first.Order.Ref, Node: "a", Cause: planner.LostReplaced, Age: 500 * time.Millisecond}})
	h.planner.RemoveWorker(reborn.Incarnation, h.now)
	plan = h.tick()
	assert.Equal(t, len(plan.Lost), 1)
	assert.Equal(t, plan.Lost[0].Cause, planner.LostDeparted)
	assert.Equal(t, len(h.tick().Lost), 0)
}

func TestFailedRunsAreLimited(t *testing.T) {
	h := newHarness(t, newVM("a", 2000), newVM("b", 2000), newVM("c", 2000))
	h.submit("job", plantainrail.Step{Count: 1, CPU: 1000})
	first := h.tick().Assignments[0]
	h.reportEnd(first, 1, plantainrail.RunFailed)
	second := h.tick().Assignments[0]
	assert.Assert(t, second.Incarnation != first.Incarnation, "the task must go to another VM after a failure")
	h.reportEnd(second, 1, plantainrail.RunFailed)
	assert.Equal(t, len(h.tick().Assignments), 0)
	assert.Equal(t, h.state("job"), planner.Failed)
}

func TestRunsResumeFromCheckpointAfterLeaseExpiry(t *testing.T) {
	h := newHarness(t, newVM("a", 2000))
	h.submit("job", plantainrail.Step{Count: 1, CPU: 1000, Checkpoints: true})
	for run := range 5 {
		a := h.tick().Assignments[0]
		assert.Equal(t, a.Order.Ref.Run, int64(run+1))
		h.planner.ApplyEnds(a.Incarnation, []plantainrail.RunEnd{{Number: int64(run + 1), Ref: a.Order.Ref, Outcome: plantainrail.RunLeaseExpired, Checkpoint: fmt.Sprint("c", run)}}, h.now)
	}
	assert.Equal(t, h.tick().Assignments[0].Order.Checkpoint, "c4")
	assert.Equal(t, h.state("job"), planner.Running, "a run whose lease expired counts as a failure")
}

func TestPlacementConstraints(t *testing.T) {
	step := plantainrail.Step{Count: 1, CPU: 1000}
	for _, c := range []struct {
		name   string
		change func(vm *plantainrail.VM, s *plantainrail.Step, rules *plantainrail.OperatorConfig)
	}{
		{"zone taken out", func(_ *plantainrail.VM, _ *plantainrail.Step, rules *plantainrail.OperatorConfig) {
			rules.Out = map[string]bool{"z1": true}
		}},
		{"draining", func(vm *plantainrail.VM, _ *plantainrail.Step, _ *plantainrail.OperatorConfig) { vm.Draining = true }},
		{"another pool", func(vm *plantainrail.VM, _ *plantainrail.Step, _ *plantainrail.OperatorConfig) { vm.Pool = "other" }},
		{"queue moved to another pool", func(_ *plantainrail.VM, _ *plantainrail.Step, rules *plantainrail.OperatorConfig) {
			rules.Queues = []plantainrail.QueueRule{{Queue: plantainrail.Queue{Name: "rota", Pool: "other"}}}
		}},
		{"label missing", func(_ *plantainrail.VM, s *plantainrail.Step, _ *plantainrail.OperatorConfig) { s.VMLabel = "gpu" }},
		{"not enough memory", func(_ *plantainrail.VM, s *plantainrail.Step, _ *plantainrail.OperatorConfig) { s.Memory = 20_000 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			vm, s, rules := newVM("a", 2000), step, plantainrail.OperatorConfig{}
			c.change(&vm, &s, &rules)
			h := newHarness(t, vm)
			h.planner.Configure(rules)
			h.submit("job", s)
			assert.Equal(t, len(h.tick().Assignments), 0)
		})
	}
}

func TestPerVMLimit(t *testing.T) {
	h := newHarness(t, newVM("a", 9000), newVM("b", 9000))
	h.submit("job", plantainrail.Step{Count: 5, CPU: 1000, MaxPerVM: 2})
	assert.Equal(t, len(h.tick().Assignments), 4)
}

func TestGangStartsAndEndsTogether(t *testing.T) {
	h := newHarness(t, newVM("a", 2000))
	h.submit("job", plantainrail.Step{Count: 3, CPU: 1000, Gang: true})
	assert.Equal(t, len(h.tick().Assignments), 0, "the gang must wait: the VM has resources for two of three tasks")
	h.report(newVM("b", 2000))
	runs := h.tick().Assignments
	assert.Equal(t, len(runs), 3)

	h.reportEnd(runs[0], 1, plantainrail.RunGangIncomplete)
	assert.Equal(t, len(h.tick().Assignments), 0, "the gang must wait until the others have ended")
	for i, a := range runs[1:] {
		h.reportEnd(a, int64(i+2), plantainrail.RunGangBroken)
	}
	again := h.tick().Assignments
	assert.Equal(t, len(again), 3)
	for _, a := range again {
		assert.Equal(t, a.Order.Ref.Run, int64(2))
	}
	h.reportEnd(again[0], 9, plantainrail.RunDone)
	assert.Equal(t, h.state("job"), planner.Completed, "the end of one member must complete the gang")
}

func TestOccurrencesStartWhenDue(t *testing.T) {
	h := newHarness(t, newVM("a", 9000))
	record, err := planner.NewJobRecord(plantainrail.Workflow{
		ID: "job", Queue: queue, Steps: []plantainrail.Step{{Count: 1, CPU: 1000}},
		Repetitions: 2, FirstRunMS: start.Add(time.Second).UnixMilli(), IntervalMS: 1000,
	})
	assert.NilError(t, err)
	h.applyJob(record)
	assert.Equal(t, len(h.tick().Assignments), 0)
	h.now = start.Add(1500 * time.Millisecond)
	first := h.tick().Assignments
	assert.Equal(t, len(first), 1)
	h.reportEnd(first[0], 1, plantainrail.RunDone)
	assert.Equal(t, h.state("job"), planner.Running)
	h.now = start.Add(2500 * time.Millisecond)
	second := h.tick().Assignments
	assert.Equal(t, second[0].Order.Ref.Task.Occurrence, 1)
	h.reportEnd(second[0], 2, plantainrail.RunDone)
	assert.Equal(t, h.state("job"), planner.Completed)
}

// Guards against a worker that fails every run, and so is always free, taking all
// waiting tasks.
func TestFailingWorkerIsPaused(t *testing.T) {
	h := newHarness(t, newVM("bad", 2000))
	for i := range 2 {
		h.submit(fmt.Sprint("job", i), plantainrail.Step{Count: 1, CPU: 1000, Lasting: true})
	}
	runs := h.tick().Assignments
	for i, a := range runs {
		h.reportEnd(a, int64(i+1), plantainrail.RunFailed)
	}
	assert.Equal(t, len(h.tick().Assignments), 0)
	h.now = h.now.Add(time.Second)
	assert.Equal(t, len(h.tick().Assignments), 1, "one run must be placed on probation")
}

// Guards against a VM that never leaves its probation because a service task that
// was placed before the probation, and never ends, counts as its one run.
func TestProbationBesideLastingTasks(t *testing.T) {
	h := newHarness(t, newVM("a", 9000))
	h.submit("service", plantainrail.Step{Count: 1, CPU: 1000, Lasting: true})
	h.tick()
	for i := range 2 {
		h.submit(fmt.Sprint("bad", i), plantainrail.Step{Count: 1, CPU: 1000, Lasting: true})
	}
	for i, a := range h.tick().Assignments {
		h.reportEnd(a, int64(i+1), plantainrail.RunFailed)
	}
	assert.Equal(t, len(h.tick().Assignments), 0, "the VM must be paused")
	h.now = h.now.Add(time.Second)
	onProbation := h.tick().Assignments
	assert.Equal(t, len(onProbation), 1, "one run must be placed on probation although a service runs there")
	h.begin(onProbation[0])
	h.now = h.now.Add(time.Second)
	assert.Equal(t, len(h.tick().Assignments), 0, "the VM must get no other run while the one on probation may still fail")
	h.now = h.now.Add(3 * time.Second)
	assert.Equal(t, len(h.tick().Assignments), 1, "a run on probation that has lasted long enough must count as not failed")
}

// See TestWorkerWithoutCapacityIsFollowed of package platform: such a VM keeps its runs and gets
// no others until its capacity has grown again.
func TestVMWithoutCapacityGetsNoTasks(t *testing.T) {
	vm := newVM("a", 4_000)
	h := newHarness(t, vm)
	h.submit("job", plantainrail.Step{Count: 1, CPU: 1_000})
	assert.Equal(t, len(h.tick().Assignments), 1)
	vm.Capacity = plantainrail.Resources{}
	h.report(vm)
	h.submit("other", plantainrail.Step{Count: 1, CPU: 1_000})
	plan := h.tick()
	assert.Equal(t, len(plan.Assignments)+len(plan.Stops), 0)
	vm.Capacity = plantainrail.Resources{Processors: 4_000, Memory: 10_000}
	h.report(vm)
	assert.Equal(t, len(h.tick().Assignments), 1)
}

// Guards against a VM that stays out of use because it has refused runs for want of room:
// its capacity shrinks and grows again while none of its runs ends.
func TestRoomRefusalsDoNotEscalate(t *testing.T) {
	h := newHarness(t, newVM("a", 4000))
	h.submit("job", plantainrail.Step{Count: 1, CPU: 1000})
	for range 6 {
		placed := h.tick().Assignments
		assert.Equal(t, len(placed), 1, "a VM with room must get the task")
		h.planner.ApplyRefusal(placed[0].Incarnation, placed[0].Order.Ref, plantainrail.RefusedCapacity, h.now)
		assert.Equal(t, len(h.tick().Assignments), 0, "a VM that has just refused a run for want of room must be paused")
		h.report(newVM("a", 500))
		assert.Equal(t, len(h.tick().Assignments), 0, "the VM has no room")
		// The interval of the heartbeats.
		h.now = h.now.Add(1500 * time.Millisecond)
		h.report(newVM("a", 4000))
	}
}

// Guards against a VM that stays paused after a refusal for want of room although its agent
// has reported another capacity or a run on it has ended.
func TestRoomRefusalHoldsUntilRoomChanges(t *testing.T) {
	for name, change := range map[string]func(h *harness, first planner.Assignment){
		"another capacity": func(h *harness, _ planner.Assignment) { h.report(newVM("a", 3000)) },
		"a run has ended":  func(h *harness, first planner.Assignment) { h.reportEnd(first, 1, plantainrail.RunDone) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, newVM("a", 4000))
			h.submit("first", plantainrail.Step{Count: 1, CPU: 1000})
			first := h.tick().Assignments
			h.submit("second", plantainrail.Step{Count: 1, CPU: 1000})
			second := h.tick().Assignments
			h.planner.ApplyRefusal(second[0].Incarnation, second[0].Order.Ref, plantainrail.RefusedCapacity, h.now)
			assert.Equal(t, len(h.tick().Assignments), 0)
			change(h, first[0])
			assert.Equal(t, len(h.tick().Assignments), 1)
		})
	}
}

// Guards against a VM that is paused because a run was stopped before it had started, which
// its agent reports as refused.
func TestStoppedRunsDoNotPauseTheVM(t *testing.T) {
	h := newHarness(t, newVM("a", 4000))
	h.submit("cancelled", plantainrail.Step{Count: 1, CPU: 1000})
	placed := h.tick().Assignments
	h.applyJob(planner.NewCancelRecord("cancelled"))
	assert.Equal(t, len(h.tick().Stops), 1)
	h.planner.ApplyRefusal(placed[0].Incarnation, placed[0].Order.Ref, plantainrail.RefusedNoResponse, h.now)
	h.submit("next", plantainrail.Step{Count: 1, CPU: 1000})
	assert.Equal(t, len(h.tick().Assignments), 1)
}

// Guards against pauses that get longer with every refusal of a day because no run on the
// VM ends by itself.
func TestPausesGrowOnlyWhileRefusalsLast(t *testing.T) {
	h := newHarness(t, newVM("a", 4000))
	h.submit("job", plantainrail.Step{Count: 1, CPU: 1000, Lasting: true})
	for range 6 {
		placed := h.tick().Assignments
		assert.Equal(t, len(placed), 1, "the VM must take the task again soon after it has refused a run")
		h.planner.ApplyRefusal(placed[0].Incarnation, placed[0].Order.Ref, plantainrail.RefusedNoResponse, h.now)
		assert.Equal(t, len(h.tick().Assignments), 0, "the VM must be paused")
		h.now = h.now.Add(500 * time.Millisecond)
		running := h.tick().Assignments
		assert.Equal(t, len(running), 1, "the pause must have ended")
		for range 20 {
			h.now = h.now.Add(3 * time.Second)
			h.report(newVM("a", 4000))
		}
		h.reportEnd(running[0], running[0].Order.Ref.Run, plantainrail.RunStopped)
	}
}

// Guards against a task that waits for ever (LOST) because it avoids the node on which it failed,
// although no other VM can take it whatever room it has.
func TestFailedTaskRunsOnTheOnlySuitableNode(t *testing.T) {
	unsuitable := map[string]func(vm *plantainrail.VM){
		"label":    func(vm *plantainrail.VM) { vm.Labels = nil },
		"pool":     func(vm *plantainrail.VM) { vm.Pool = "other" },
		"draining": func(vm *plantainrail.VM) { vm.Draining = true },
		"size":     func(vm *plantainrail.VM) { vm.Capacity.Processors = 500 },
	}
	for name, change := range unsuitable {
		other := newVM("b", 4000)
		change(&other)
		h := newHarness(t, newVM("a", 4000), other)
		h.submit("job", plantainrail.Step{Count: 1, CPU: 1000, VMLabel: "r1-1"})
		first := h.tick().Assignments
		assert.Equal(t, len(first), 1, name)
		h.reportEnd(first[0], 1, plantainrail.RunFailed)
		again := h.tick().Assignments
		assert.Equal(t, len(again), 1, name)
		assert.Equal(t, again[0].Incarnation.Node, "a", name)
	}
}

// A task that has failed waits for room on another node.
func TestFailedTaskAvoidsItsNode(t *testing.T) {
	h := newHarness(t, newVM("b", 1000))
	h.submit("busy", plantainrail.Step{Count: 1, CPU: 1000})
	busy := h.tick().Assignments[0]
	h.report(newVM("a", 4000))
	h.submit("job", plantainrail.Step{Count: 1, CPU: 1000})
	h.reportEnd(h.tick().Assignments[0], 1, plantainrail.RunFailed)
	assert.Equal(t, len(h.tick().Assignments), 0)
	h.reportEnd(busy, 1, plantainrail.RunDone)
	again := h.tick().Assignments
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Incarnation.Node, "b")
}

// Guards against jobs that no longer count as pending (MIXED) although none of their tasks has
// begun: their runs were refused, or lost with a worker before they began.
func TestJobIsPendingUntilATaskHasBegun(t *testing.T) {
	vm := newVM("a", 4000)
	for _, c := range []struct {
		name string
		lose func(h *harness, first planner.Assignment)
		want planner.State
	}{
		{"refused", func(h *harness, first planner.Assignment) {
			h.planner.ApplyRefusal(first.Incarnation, first.Order.Ref, plantainrail.RefusedUnhealthy, h.now)
		}, planner.Queued},
		{"lost before it began", func(h *harness, first planner.Assignment) { h.planner.RemoveWorker(first.Incarnation, h.now) }, planner.Queued},
		{"lost just after it began", func(h *harness, first planner.Assignment) {
			reborn := vm
			reborn.Incarnation.StartedMS++
			reborn.StartedLast = []plantainrail.RunRef{first.Order.Ref}
			reborn.Draining = true
			h.report(reborn)
		}, planner.Running},
		{"lost while it ran", func(h *harness, first planner.Assignment) {
			h.planner.RecordCheckpoints(first.Incarnation, []plantainrail.RunStatus{{Ref: first.Order.Ref}}, h.now)
			h.planner.RemoveWorker(first.Incarnation, h.now)
		}, planner.Running},
		{"lapsed", func(h *harness, first planner.Assignment) {
			h.reportEnd(first, 1, plantainrail.RunLeaseExpired)
			h.planner.RemoveWorker(first.Incarnation, h.now)
		}, planner.Running},
	} {
		h := newHarness(t, vm)
		h.submit("job", plantainrail.Step{Count: 1, CPU: 1000})
		first := h.tick().Assignments
		assert.Equal(t, h.state("job"), planner.Queued, "a task that is placed has not begun")
		c.lose(h, first[0])
		h.tick()
		assert.Equal(t, h.state("job"), c.want, c.name)
		assert.Equal(t, h.takeOver().state("job"), c.want, "%s, after a takeover", c.name)
	}
}
