package assembler_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

// smallJobs are the numbers of the jobs that are submitted beside a large one.
var smallJobs = []int{1, 2, 3}

// checkSmallJobs fails the test unless small jobs that are submitted now complete.
func (f *fleet) checkSmallJobs() {
	f.t.Helper()
	for _, n := range smallJobs {
		f.submit(n, "500", jobSteps)
	}
	for _, n := range smallJobs {
		f.waitForState(n, "completed", 20*time.Second)
	}
	f.checkRuns()
}

// Guards against jobs of everybody that never start (LOST) after a job was accepted whose
// progress the store does not take.
func TestTooLargeJobIsRefused(t *testing.T) {
	for _, shape := range fleetShapes {
		t.Run(shape.name, func(t *testing.T) {
			runInFleet(t, shape, func(f *fleet) {
				client := f.client("client")
				defer client.CloseIdleConnections()
				for i := range f.entries {
					status, _, ok := f.callEntry(client, i, http.MethodPost, "/q/"+jobID(100), map[string]any{"steps": []map[string]any{{"count": 50_000}}})
					assert.Check(t, ok && status == http.StatusRequestEntityTooLarge, "entry %d: status %d", i, status)
				}
				f.checkSmallJobs()
				status, _ := f.call(http.MethodGet, 100, nil)
				assert.Equal(t, status, http.StatusGone)
			})
		})
	}
}

// storeJob stores job n as an entry of a build without limits does.
func (f *fleet) storeJob(n int, steps ...plantainrail.Step) {
	record, err := planner.NewJobRecord(plantainrail.Workflow{
		ID: jobID(n), Queue: plantainrail.Queue{Name: "q", Pool: "desk", MaxAttempts: 2}, Spec: "500", Steps: steps,
	})
	assert.NilError(f.t, err)
	f.store.Put("keyed.jobs", record.Key, record.Value)
}

// Guards against jobs of everybody that never start (LOST) while the owner repeats an append
// for ever: that of a too large job, which an earlier build has accepted. The job must fail
// without a run, also if another entry takes over.
func TestStoredTooLargeJobStopsNoOther(t *testing.T) {
	for _, shape := range fleetShapes {
		t.Run(shape.name, func(t *testing.T) {
			runInFleet(t, shape, func(f *fleet) {
				f.storeJob(100, plantainrail.Step{Count: 50_000, CPU: 10})
				f.checkSmallJobs()
				f.waitForState(100, "failed", time.Second)
				f.killEntry(f.owner(), 3*time.Second)
				f.owner()
				f.waitForState(100, "failed", time.Second)
				assert.Assert(t, f.firstStart(100).IsZero())
			})
		})
	}
}

// Guards against an append that the store never takes (LOST for all) since the records of a
// round are together above the limit of a call.
func TestRoundIsStoredInSeveralAppends(t *testing.T) {
	shape := smallFleet
	shape.limits = plantainrail.StoreLimits{RecordBytes: 1000, CallBytes: 1000}
	runInFleet(t, shape, func(f *fleet) {
		// During an append, the owner reads all jobs that are stored meanwhile.
		f.store.SetAppendTime(50 * time.Millisecond)
		const jobs = 24
		for n := range jobs {
			f.storeJob(100+n, plantainrail.Step{Count: 1, CPU: 10})
		}
		for n := range jobs {
			f.waitForState(100+n, "completed", 20*time.Second)
		}
		f.checkSmallJobs()
	})
}

// Guards against jobs of everybody that never start (LOST) after the store has refused one
// job's record for good: its limits are lower than the settings tell.
func TestRefusedRecordStopsNoOther(t *testing.T) {
	for _, shape := range fleetShapes {
		t.Run(shape.name, func(t *testing.T) {
			runInFleet(t, shape, func(f *fleet) {
				f.store.SetLimits(2000, 3000)
				f.submit(100, "500", []map[string]any{{"count": 400, "cpu": 10}})
				f.checkSmallJobs()
				f.waitForState(100, "failed", time.Second)
				assert.Assert(t, f.firstStart(100).IsZero())
				// The job's own record is refused, too.
				status, _ := f.call(http.MethodPost, 101, map[string]any{"spec": strings.Repeat("x", 3000), "steps": jobSteps})
				assert.Equal(t, status, http.StatusRequestEntityTooLarge)
			})
		})
	}
}

// Guards against VMs that stay full with the runs of a job whose progress is no longer taken.
func TestRefusedRecordStopsTheRunsOfItsJob(t *testing.T) {
	runInFleet(t, smallFleet, func(f *fleet) {
		f.submit(100, "60000", []map[string]any{{"count": 400, "cpu": 10}})
		time.Sleep(2 * time.Second)
		assert.Assert(t, f.runningCount(100) > 0)
		f.store.SetLimits(2000, 3000)
		f.vms[0].worker.SetMaxRuns(fleetMaxRuns + 1)
		f.waitForState(100, "failed", 10*time.Second)
		f.checkSmallJobs()
		assert.Equal(t, f.runningCount(100), 0)
	})
}

// Guards against jobs that are given up although not they are at fault: for some time, the
// store refuses every append as it would refuse one for good.
func TestJobsOutliveAStoreThatRefusesEverything(t *testing.T) {
	runInFleet(t, smallFleet, func(f *fleet) {
		// The runs end, and the owner stores that, while the store refuses everything, and at
		// times also a heartbeat before.
		for n := range 10 {
			f.submit(100+n, "500", jobSteps)
			time.Sleep(400*time.Millisecond + time.Duration(n)*20*time.Millisecond)
			f.store.SetLimits(0, 0)
			time.Sleep(200*time.Millisecond + time.Duration(n)*200*time.Millisecond)
			f.store.SetLimits(fleetLimits.RecordBytes, fleetLimits.CallBytes)
			f.waitForState(100+n, "completed", 30*time.Second)
		}
		f.checkSmallJobs()
	})
}

// Guards against tasks that never run (LOST), since the orders to start them exceed the limit of a message, and against
// all work of a worker that lapses after a change of the owner: the list of its runs exceeded that limit, so that no
// session lasted, or took longer on a slow link than a lease.
func TestRunsOfLongSpecsOutliveTheirOwner(t *testing.T) {
	const tasks = 2200
	for _, c := range []struct {
		name string
		// jobs is the number of jobs that the tasks are submitted in, one after the other.
		jobs int
		// rate is that of the connections to the entries in bytes a second; 0 means no bound.
		rate int
	}{{"one job", 1, 0}, {"two jobs", 2, 0}, {"one job, links of 10 Mbit/s", 1, 10_000_000 / 8}, {"two jobs, links of 10 Mbit/s", 2, 10_000_000 / 8}} {
		t.Run(c.name, func(t *testing.T) {
			runInFleet(t, fleetShape{entries: 3, zones: 3, vms: 1, maxRuns: tasks + fleetMaxRuns}, func(f *fleet) {
				f.net.setRate("entry-", c.rate)
				for n := range c.jobs {
					f.submit(100+n, "last"+strings.Repeat(" ", 3996), []map[string]any{{"count": tasks / c.jobs, "cpu": 1, "longRunning": true}})
					f.waitForRuns(100+n, tasks/c.jobs)
				}
				f.killEntry(f.owner(), 500*time.Millisecond)
				time.Sleep(20 * time.Second)
				lapsed := 0
				for _, s := range f.vms[0].worker.History() {
					if s.Outcome == "lapsed" {
						lapsed++
					}
				}
				assert.Equal(t, lapsed, 0, "runs whose lease has expired")
				for n := range c.jobs {
					f.waitForRuns(100+n, tasks/c.jobs)
				}
				f.checkSmallJobs()
			})
		})
	}
}

// waitForRuns waits up to 30 s until job n has the given number of active runs.
func (f *fleet) waitForRuns(n, runs int) {
	f.t.Helper()
	for range 60 {
		if f.runningCount(n) == runs {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	f.t.Fatalf("%d of %d tasks of job %d run", f.runningCount(n), runs, n)
}
