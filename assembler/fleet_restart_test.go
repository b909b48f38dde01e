package assembler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against starts that wait for up to a second on a worker that has restarted, because
// its agent calls it with a long poll, or asks the owner for a lease only at the next renewal.
func TestRestartedWorkerStartsTasksAtOnce(t *testing.T) {
	// maxStartDelay is the time from the restart to the start: the agent calls a lost worker
	// every 150 ms, and then a start takes what it takes on an idle fleet.
	const maxStartDelay = 250 * time.Millisecond
	for _, pause := range []time.Duration{0, 250 * time.Millisecond, 500 * time.Millisecond, 750 * time.Millisecond} {
		runInFleet(t, fleetShape{entries: 3, zones: 3, vms: 1}, func(f *fleet) {
			w := f.vms[0].worker
			w.Crash()
			time.Sleep(time.Second)
			f.submit(1, "300", jobSteps[:1])
			time.Sleep(time.Second + pause)
			restartedAt := time.Now()
			w.Restart()
			f.waitForState(1, "completed", 10*time.Second)
			delay := w.History()[0].Start.Sub(restartedAt)
			t.Logf("restart after %s: first start %s later", pause, delay)
			assert.Check(t, delay < maxStartDelay)
		})
	}
}

// Guards against tasks that count as placed for ever (LOST): a call that renews the lease of the
// worker's earlier incarnation is executed late, and makes the worker forget ends that the agent
// has not seen.
func TestRunsWhoseEndsAreForgottenAreRunAgain(t *testing.T) {
	// noticeTime is how long the agent may take to notice a run that is gone: a long poll, the time
	// to settle and a stop.
	const runTime, noticeTime = time.Second, 2500 * time.Millisecond
	runInFleet(t, fleetShape{entries: 3, zones: 3, vms: 1}, func(f *fleet) {
		w := f.vms[0].worker
		f.submit(1, "300", jobSteps[:1])
		f.waitForState(1, "completed", 10*time.Second)
		time.Sleep(time.Second)
		w.DelayCalls("/hold", 3*time.Second)
		time.Sleep(1500 * time.Millisecond)
		w.DelayCalls("/hold", 0)
		w.Restart()
		time.Sleep(2 * time.Second)
		f.submit(2, "1000", jobSteps[:1])
		f.waitForState(2, "completed", 2*runTime+noticeTime)
		f.checkRuns()
	})
}
