package assembler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/standin/runner"
)

// checkDeadlyStarts fails the test if the tasks of a job that crashes workers were started more often
// than the platform allows: three starts under which workers crash, and two more.
func (f *fleet) checkDeadlyStarts(job int) {
	f.t.Helper()
	const maxStarts = 5
	starts := 0
	for _, v := range f.vms {
		for _, s := range v.worker.History() {
			if runner.JobID(s.Task) == jobID(job) {
				starts++
			}
		}
	}
	assert.Assert(f.t, starts <= maxStarts, "%d starts", starts)
}

// Guards against a task that crashes one worker after another (BUDGET): its job must fail, also
// across a change of the owner, and the tasks beside it must complete.
func TestDeadlyTaskIsGivenUp(t *testing.T) {
	const (
		deadlyJob = 50
		// limit allows for three crashes, the time until each worker is back, and a lease.
		limit = 30 * time.Second
	)
	for _, c := range []struct {
		name  string
		fault func(f *fleet)
	}{
		{"no fault", func(*fleet) {}},
		{"owner killed after the first crash", func(f *fleet) { f.killEntry(f.owner(), time.Second) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			runInFleet(t, smallFleet, func(f *fleet) {
				for n := range 6 {
					f.submit(n, "800", jobSteps)
				}
				f.submit(deadlyJob, "crash", []map[string]any{{"count": 1, "cpu": 1000}})
				time.Sleep(time.Second)
				c.fault(f)
				f.waitForState(deadlyJob, "failed", limit)
				for n := range 6 {
					f.waitForState(n, "completed", limit)
				}
				f.checkDeadlyStarts(deadlyJob)
				f.checkRuns()
			})
		})
	}
}

// Guards against sound jobs that are given up (LOST) in place of the one whose task crashes the
// workers (BUDGET), if these crash some time after its start: it must be told from the tasks that
// are started after it.
func TestLateCrashCountsAgainstItsCause(t *testing.T) {
	const (
		deadlyJob = 50
		soundJobs = 5
	)
	for _, delay := range []time.Duration{60 * time.Millisecond, 150 * time.Millisecond, 200 * time.Millisecond} {
		for _, vms := range []int{1, 2} {
			t.Run(fmt.Sprint(delay, " on ", vms), func(t *testing.T) {
				shape := smallFleet
				shape.vms = vms
				runInFleet(t, shape, func(f *fleet) {
					for n := range soundJobs {
						f.submit(n, "", []map[string]any{{"count": 1, "cpu": 1000, "longRunning": true}})
					}
					f.submit(deadlyJob, fmt.Sprint("crash ", delay.Milliseconds()), oneTask)
					f.waitForState(deadlyJob, "failed", 45*time.Second)
					f.checkDeadlyStarts(deadlyJob)
					for n := range soundJobs {
						f.waitForState(n, "in_progress", time.Second)
					}
				})
			})
		}
	}
}

// Guards against a task that crashes its workers long after each start (BUDGET).
func TestCrashLongAfterStartIsCounted(t *testing.T) {
	const deadlyJob = 50
	for _, delay := range []time.Duration{300 * time.Millisecond, 2 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			runInFleet(t, smallFleet, func(f *fleet) {
				f.submit(deadlyJob, fmt.Sprint("crash ", delay.Milliseconds()), oneTask)
				time.Sleep(45 * time.Second)
				f.checkDeadlyStarts(deadlyJob)
				assert.Equal(t, f.jobState(deadlyJob), "failed")
			})
		})
	}
}
