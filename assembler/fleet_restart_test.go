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
