package assembler_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/decider"
	"github.com/plantainrail/plantainrail/linker"
	"github.com/plantainrail/plantainrail/soaker"
	"github.com/plantainrail/plantainrail/standin/runner"
)

// acceptedJob is a job that was accepted and that nobody cancels. Each step depends on the one
// before.
type acceptedJob struct {
	number, steps, count int
	lasting              bool
}

// checkNothingWaits fails the test if the rule on waiting tasks is broken after the end of a
// disruption: from the end of the grace period on, for the given time, something has waited for
// soaker.IdleTime while less than half of the workers' room was in use. Long-running tasks have
// soaker.CalmTime at most, and no room excuses their waiting. Package soaker checks real processes likewise.
func (f *fleet) checkNothingWaits(jobs []acceptedJob, grace, duration time.Duration) {
	f.t.Helper()
	ended := time.Now()
	record := soaker.Record{Faults: []soaker.Stretch{{To: ended}}, Full: []soaker.Stretch{{To: ended.Add(grace)}}}
	for _, j := range jobs {
		record.Jobs = append(record.Jobs, soaker.Job{ID: jobID(j.number), Steps: j.steps, Count: j.count, LongRunning: j.lasting})
	}
	var workers []*runner.Worker
	for _, v := range f.vms {
		workers = append(workers, v.worker)
	}
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		if soaker.HalfFull(workers) {
			record.Full = append(record.Full, soaker.Stretch{From: time.Now(), To: time.Now()})
		}
	}
	for _, w := range workers {
		record.Runs = append(record.Runs, w.History()...)
	}
	for _, w := range record.Broken(time.Now()) {
		f.t.Errorf("%s could run and does not, %s after the disruption", w.What, w.Calm.From.Add(soaker.IdleTime).Sub(ended))
	}
}

// Guards against a fleet that stands still (LOST) after all open connections have gone silent, since each
// failed call used up one of the many idle connections that a burst of calls had left.
func TestSilentConnectionsAreGivenUpTogether(t *testing.T) {
	shape := fleetShape{name: "large workers", entries: 3, zones: 3, vms: 3, maxRuns: 60}
	runInFleet(t, shape, func(f *fleet) {
		f.submit(1, "", []map[string]any{{"count": 3, "cpu": 1000, "longRunning": true}})
		f.submit(2, "60000", []map[string]any{{"count": 120, "cpu": 1000}})
		time.Sleep(2 * time.Second)
		assert.Check(t, f.runningCount(2) == 120, "only %d of 120 tasks run", f.runningCount(2))
		// The stops of its tasks are under way together and leave as many connections.
		f.call(http.MethodDelete, 2, nil)
		time.Sleep(2 * time.Second)
		assert.Check(t, f.runningCount(2) == 0, "%d tasks still run", f.runningCount(2))
		f.silence()
		f.submit(3, "2000", []map[string]any{{"count": 1, "cpu": 1000}})
		f.checkNothingWaits([]acceptedJob{{1, 1, 3, true}, {3, 1, 1, false}}, soaker.CalmTime, 20*time.Second)
		for _, v := range f.vms {
			for _, s := range v.worker.History() {
				assert.Check(t, s.Outcome != "lapsed", "run %d of %s has lost its lease", s.Run, s.Task)
			}
		}
		f.checkRuns()
	})
}

// silence makes all open connections of entries and agents silent for good. New ones work.
func (f *fleet) silence() {
	for _, e := range f.entries {
		f.net.setFault(e.name, stalled)
	}
	for _, v := range f.vms {
		f.net.setFault(v.name, stalled)
	}
}

var (
	lostSeed  = flag.Uint64("lost.seed", 1, "first seed of TestNothingWaitsAfterSeededFaults")
	lostSeeds = flag.Uint64("lost.seeds", 8, "number of seeds of TestNothingWaitsAfterSeededFaults")
)

// Guards against tasks that could run and do not (LOST): jobs are accepted before and between three random
// faults, connections go silent meanwhile, and all processes end right after a job was accepted.
func TestNothingWaitsAfterSeededFaults(t *testing.T) {
	for seed := *lostSeed; seed < *lostSeed+*lostSeeds; seed++ {
		runSeededFaults(t, seed)
	}
}

// Guards against tasks of a worker that is gone for good which wait for longer than the rule allows (LOST),
// since the agent that knew the end of its lease has ended as well, and the new owner waits for renewals by
// owners that have ended. In these series the worker is lost and all processes end at last.
func TestLostWorkerIsGivenUpThoughAllProcessesEnd(t *testing.T) {
	for _, seed := range []uint64{1182, 3101, 5189, 8085, 8289, 8301, 8511} {
		runSeededFaults(t, seed)
	}
}

// runSeededFaults plays one series of TestNothingWaitsAfterSeededFaults.
func runSeededFaults(t *testing.T, seed uint64) {
	// recoveryTime is how long the jobs may take to complete after the faults.
	const recoveryTime = 30 * time.Second
	random := rand.New(rand.NewPCG(seed, 0))
	shape := fleetShapes[random.IntN(len(fleetShapes))]
	faults := make([]fleetFault, 3)
	name := fmt.Sprint(seed, " ", shape.name)
	for i := range faults {
		faults[i] = fleetFaults[random.IntN(len(fleetFaults))]
		name += ", " + faults[i].name
	}
	t.Run(name, func(t *testing.T) {
		runInFleet(t, shape, func(f *fleet) {
			jobs := []acceptedJob{{1000, 1, 3, true}}
			f.submit(1000, "", []map[string]any{{"count": 3, "cpu": 1000, "longRunning": true}})
			for i, fault := range faults {
				for n := 10 * i; n < 10*i+2; n++ {
					f.submit(n, fmt.Sprint(200+random.IntN(3000)), jobSteps)
					jobs = append(jobs, acceptedJob{n, 2, 3, false})
				}
				time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
				if random.IntN(3) == 0 {
					time.AfterFunc(time.Duration(random.IntN(3000))*time.Millisecond, f.silence)
				}
				fault.inject(f)
			}
			if last := random.IntN(4); last < 2 {
				f.submit(100, "500", jobSteps)
				jobs = append(jobs, acceptedJob{100, 2, 3, false})
				[]fleetFault{everythingWithoutPower, allProcessesKilled}[last].inject(f)
			}
			f.checkNothingWaits(jobs, soaker.AskTime-soaker.IdleTime, recoveryTime)
			for _, j := range jobs[1:] {
				assert.Check(t, f.jobState(j.number) == "completed", "job %d has not completed: %v", j.number, f.runsOf(j.number))
			}
			f.checkRuns()
		})
	})
}

// runsOf describes the runs of job n.
func (f *fleet) runsOf(n int) []string {
	var out []string
	for _, v := range f.vms {
		for _, s := range v.worker.History() {
			if runner.JobID(s.Task) == jobID(n) {
				out = append(out, fmt.Sprintf("run %d of %s on %s: %q, %s ago for %s", s.Run, s.Task, v.name, s.Outcome, time.Since(s.Start), s.End.Sub(s.Start)))
			}
		}
	}
	return out
}

// Guards against tasks of a lost worker that wait for a whole lease after each change of the owner
// (LOST), although nobody has renewed that lease since, or until its agent finds the owner by chance.
func TestLostWorkerIsGivenUpDespiteTakeovers(t *testing.T) {
	for _, c := range []fleetFault{
		{"owner killed twice", func(f *fleet) {
			f.killEntry(f.owner(), time.Second)
			time.Sleep(1500 * time.Millisecond)
			f.killEntry(f.owner(), time.Second)
		}},
		agentsWithoutStore,
	} {
		t.Run(c.name, func(t *testing.T) {
			runInFleet(t, smallFleet, func(f *fleet) {
				f.submit(1, "", []map[string]any{{"count": 4, "cpu": 1000, "longRunning": true}})
				time.Sleep(time.Second)
				f.vms[0].worker.Crash()
				lostAt := time.Now()
				time.Sleep(1500 * time.Millisecond)
				c.inject(f)
				// The agent reads the members again 3.5 s after the disruption at the latest.
				time.Sleep(max(time.Until(lostAt.Add(soaker.RestartTime+soaker.IdleTime)), soaker.CalmTime))
				assert.Check(t, f.runningCount(1) == 4, "only %d of 4 tasks run", f.runningCount(1))
				f.checkRuns()
			})
		})
	}
}

// Guards against tasks of a lost worker that wait for too long (LOST) if its agent and the owner's entry are gone
// for good with it, as in an availability zone without power.
func TestWorkerLostWithOwnerAndAgentIsGivenUp(t *testing.T) {
	runInFleet(t, smallFleet, func(f *fleet) {
		f.submit(1, "", []map[string]any{{"count": 4, "cpu": 1000, "longRunning": true}})
		time.Sleep(time.Second)
		owner, v := f.entries[f.owner()], f.vms[0]
		f.net.setFault(owner.name, down)
		f.net.setFault(v.name, down)
		owner.stop()
		v.stop()
		v.worker.Crash()
		time.Sleep(soaker.RestartTime + soaker.IdleTime)
		assert.Check(t, f.runningCount(1) == 4, "only %d of 4 tasks run", f.runningCount(1))
		f.checkRuns()
	})
}

// Guards against tasks that run twice (TWICE) since the second of two new owners in a row takes the one before it
// for the last that has renewed leases. Their predecessor, cut off from everything but an agent, still does.
func TestOwnersInARowAwaitThoseThatMayRenew(t *testing.T) {
	runInFleet(t, smallFleet, func(f *fleet) {
		f.submit(1, "", []map[string]any{{"count": 4, "cpu": 1000, "longRunning": true}})
		time.Sleep(time.Second)
		first := f.owner()
		setLinks := func(state fault) {
			for _, name := range []string{f.entries[first].name, f.vms[0].name} {
				f.net.setFault(linkName(name, "store"), state)
				for _, e := range f.others(first) {
					f.net.setFault(linkName(name, e.name), state)
				}
			}
		}
		setLinks(blackholed)
		cutAt := time.Now()
		for range 2 {
			f.killEntry(f.ownerBeside(first), 10*time.Millisecond)
		}
		second := f.ownerBeside(first)
		assert.Check(t, time.Since(cutAt) < 3*time.Second, "the first owner renews no more")
		time.Sleep(time.Until(cutAt.Add(15 * time.Second)))
		assert.Check(t, f.entries[second].decider.Owns())
		assert.Check(t, f.runningCount(1) == 4, "only %d of 4 tasks run", f.runningCount(1))
		f.checkRuns()
		setLinks(healthy)
		time.Sleep(10 * time.Second)
		f.checkRuns()
	})
}

// ownerBeside returns the index of an entry that owns the jobs beside the excluded one, and waits up to ten
// seconds for it.
func (f *fleet) ownerBeside(excluded int) int {
	for range 500 {
		for i, e := range f.entries {
			if i != excluded && e.decider.Owns() {
				return i
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatal("no other entry owns the jobs")
	return 0
}

// Guards against a task that waits for good (LOST) since its worker answers neither its start nor the
// stop that follows, but everything else, and against services there that are given up for it (AVAIL).
func TestTaskOfAnUnansweredStopIsPlacedAgain(t *testing.T) {
	runInFleet(t, smallFleet, func(f *fleet) {
		v := f.vms[0]
		f.submit(2, "", []map[string]any{{"count": 3, "cpu": 1000, "longRunning": true}})
		time.Sleep(2 * time.Second)
		for _, path := range []string{"/run-start", "/run-stop"} {
			v.worker.DelayCalls(path, 24*time.Hour)
		}
		f.submit(1, "500", []map[string]any{{"count": 4, "cpu": 1000}})
		f.checkNothingWaits([]acceptedJob{{1, 1, 4, false}}, soaker.AskTime-soaker.IdleTime, 60*time.Second)
		assert.Equal(t, len(f.runsOf(2)), 3, "a service was started again")
		f.checkRuns()
	})
}

// Guards against jobs that are overtaken without a bound (LOST) after all entries have restarted, since
// the new owner served them in the order of their IDs.
func TestJobsKeepTheirOrderWhenEntriesRestart(t *testing.T) {
	shape := fleetShape{name: "one worker", entries: 3, zones: 3, vms: 1, maxRuns: 1}
	runInFleet(t, shape, func(f *fleet) {
		const jobs = 8
		for n := range jobs {
			f.submit(jobs-n, "1000", []map[string]any{{"count": 1, "cpu": 1000}})
		}
		allProcessesKilled.inject(f)
		for n := 1; n < jobs; n++ {
			f.waitForState(n, "completed", 20*time.Second)
		}
		for n := 1; n < jobs; n++ {
			assert.Check(t, f.firstStart(n+1).Before(f.firstStart(n)), "job %d started before job %d, which was submitted earlier", n, n+1)
		}
	})
}

// orderRecorder records the runs that the owner orders to start on a session.
type orderRecorder chan plantainrail.RunRef

func (r orderRecorder) Frame(_ *linker.Session, f linker.Frame) {
	if f.Orders != nil {
		for _, start := range f.Orders.Starts {
			r <- start.Ref
		}
	}
}

func (orderRecorder) Opened(st *linker.Stream, _ linker.Frame) { st.Close() }

// Guards against a run that is taken for lost (TWICE) since a report of an agent's earlier session arrives
// after those of the next one, in which the worker's next incarnation was reported, or after its end.
func TestLateReportOfAnEarlierSessionChangesNothing(t *testing.T) {
	runInFleet(t, fleetShape{entries: 1, zones: 1}, func(f *fleet) {
		starts := make(orderRecorder, 10)
		report := func(s *linker.Session, startedMS int64) {
			assert.NilError(t, s.Send(linker.Frame{Work: &linker.WorkReport{VM: plantainrail.VM{
				Incarnation: plantainrail.WorkerIncarnation{Node: "vm", ID: "w", StartedMS: startedMS}, Pool: "desk", Zone: "z",
				Capacity: plantainrail.Resources{Processors: 4000},
			}}}))
			time.Sleep(500 * time.Millisecond)
		}
		sessions := make([]*linker.Session, 2)
		for i := range sessions {
			session, _, err := decider.Dial(f.ctx, f.client("vm"), f.entries[0].decider.Address)
			assert.NilError(t, err)
			f.group.Go(func() error { _ = session.Run(f.ctx, starts); return nil })
			report(session, int64(i+1))
			sessions[i] = session
		}
		f.submit(1, "", []map[string]any{{"count": 1, "cpu": 1000}})
		time.Sleep(500 * time.Millisecond)
		sessions[1].Close()
		time.Sleep(500 * time.Millisecond)
		report(sessions[0], 1)
		assert.Check(t, len(starts) == 1, "the task was started %d times", len(starts))
	})
}

// Guards against finished tasks that run again (TWICE) since a restarted agent takes a run for refused
// whose end is not among the 500 that the worker lists at a time.
func TestUnlistedEndsAreAwaited(t *testing.T) {
	runInFleet(t, fleetShape{entries: 3, zones: 3, vms: 1, maxRuns: 700}, func(f *fleet) {
		f.submit(1, "900", []map[string]any{{"count": 650, "cpu": 1000}})
		time.Sleep(500 * time.Millisecond)
		assert.Check(t, f.runningCount(1) == 650, "only %d of 650 tasks run", f.runningCount(1))
		// The ends are acknowledged once they are stored.
		f.store.SetAppendTime(300 * time.Millisecond)
		f.restartAgent(f.vms[0])
		f.waitForState(1, "completed", 20*time.Second)
		assert.Check(t, len(f.vms[0].worker.History()) == 650, "%d runs of 650 tasks", len(f.vms[0].worker.History()))
		f.checkRuns()
	})
}
