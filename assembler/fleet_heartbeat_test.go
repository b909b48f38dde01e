package assembler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against tasks that are placed on a worker whose heartbeats do not arrive: its agent starts
// nothing there, since the capacity may have changed, and the owner must not wait for that.
func TestNothingIsPlacedWithoutHeartbeats(t *testing.T) {
	// maxStartDelay is the time from the submission to the start on a fleet with free workers.
	const maxStartDelay = 250 * time.Millisecond
	runInFleet(t, smallFleet, func(f *fleet) {
		last := len(f.vms) - 1
		for _, v := range f.vms[:last] {
			v.worker.Mute(true)
		}
		// The newest heartbeats count for twice their interval, and the owner learns of it with
		// the next renewal.
		time.Sleep(5 * time.Second)
		for n := range 6 {
			submittedAt := time.Now()
			f.submit(n, "100", []map[string]any{{"count": 1, "cpu": 1000}})
			f.waitForState(n, "completed", 10*time.Second)
			history := f.vms[last].worker.History()
			assert.Equal(t, len(history), n+1)
			assert.Assert(t, history[n].Start.Sub(submittedAt) < maxStartDelay, "job %d started after %s", n, history[n].Start.Sub(submittedAt))
		}
		f.vms[0].worker.Mute(false)
		time.Sleep(3 * time.Second)
		f.submit(100, "", []map[string]any{{"count": 8, "cpu": 1000}})
		time.Sleep(time.Second)
		assert.Equal(t, f.runningCount(100), 8, "a worker whose heartbeats arrive again must get tasks")
	})
}

// Guards against tasks that run twice (TWICE) because the first heartbeat that a restarted agent
// receives is one of the worker's earlier incarnation, which the network has delayed.
func TestHeartbeatOfAnEarlierIncarnationMovesNoTasks(t *testing.T) {
	runInFleet(t, smallFleet, func(f *fleet) {
		v := f.vms[0]
		earlier := time.Now().UnixMilli()
		v.worker.Restart()
		time.Sleep(3 * time.Second)
		f.submit(1, "", []map[string]any{{"count": 8, "cpu": 1000, "longRunning": true}})
		time.Sleep(3 * time.Second)
		runs := len(v.worker.History())
		assert.Assert(t, runs > 0)
		f.restartAgent(v)
		f.sendHeartbeat(v, "w-"+v.name, earlier-1000)
		time.Sleep(5 * time.Second)
		for _, run := range v.worker.History() {
			assert.Check(t, run.End.IsZero(), "%s was ended: %s", run.Task, run.Outcome)
		}
		assert.Equal(t, len(v.worker.History()), runs)
		f.checkRuns()
	})
}
