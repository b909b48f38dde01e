package assembler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/receiver"
)

// On slow links an entry repeats a start request, and the repeat reaches the agent
// after the attempt has finished, while the report of the finish is in flight to the
// entry. The finish must not be lost.
func TestRepeatedStartDoesNotHideFinish(t *testing.T) {
	// The delays are in milliseconds.
	for _, delay := range []time.Duration{150, 175, 200} {
		t.Run(fmt.Sprint(int(delay)), func(t *testing.T) {
			runInCluster(t, nil, func(tc *cluster) {
				tc.net.setDelay(delay * time.Millisecond)
				const jobs = 40
				for i := range jobs {
					tc.submit(tc.Entries[i%2], fmt.Sprintf("job-%d", i), 3, 300)
				}
				for i := range jobs {
					tc.waitForTasks(fmt.Sprintf("job-%d", i), 3)
				}
			})
		})
	}
}

// The runtime starts a task but its reply is lost, and the task finishes before it
// can be stopped. The finish must count, and the task must not run again.
func TestFinishCountsAfterLostStartReply(t *testing.T) {
	runInCluster(t, nil, func(tc *cluster) {
		for _, v := range tc.VMs {
			v.Worker.SetLoseStartReplies(true)
		}
		tc.submit(tc.Entries[0], "job", 3, 0)
		tc.waitForDone(tc.Entries[1], "job")
		// Wait for a second start of a task, which would be a fault.
		time.Sleep(20 * time.Second)
		tc.checkTasks()
		assert.Equal(t, len(tc.Tallies().Spans), 3, "%+v", tc.Tallies().Spans)
	})
}

// entry-1 is cut off from the log, and the agents are cut off from entry-0. So only
// entry-1 receives the reports that the attempts have finished, before it has read
// that they were assigned. It must not cause these reports to be lost: entry-0 must
// get them once the agents reach it again.
func TestLaggingEntryKeepsAttemptEnds(t *testing.T) {
	runInCluster(t, nil, func(tc *cluster) {
		tc.net.setFault(linkName("entry-1", "log"), blackholed)
		// Let data that entry-1 was receiving from the log arrive before the job exists.
		time.Sleep(2 * time.Second)
		tc.submit(tc.Entries[0], "job", 3, 3000)
		tc.waitFor("running", func() bool { return tc.runningCount() == 3 })
		for _, v := range tc.VMs {
			tc.net.setFault(linkName(v.Name, "entry-0"), down)
		}
		tc.waitFor("finished", func() bool { return tc.Tallies().FinishedTasks("job") == 3 })
		// The agents report the ends to entry-1, the only entry that they reach.
		time.Sleep(2 * time.Second)
		for _, v := range tc.VMs {
			tc.net.setFault(linkName(v.Name, "entry-0"), healthy)
		}
		tc.waitForDone(tc.Entries[0], "job")
		tc.checkTasks()
		assert.Equal(t, len(tc.Tallies().Spans), 3, "%+v", tc.Tallies().Spans)
	})
}

// entry-1 has read a job but, cut off from the log, not its assignments. It must not
// mistake the running attempts for outdated ones and stop them.
func TestLaggingEntryStopsNoAttempt(t *testing.T) {
	runInCluster(t, nil, func(tc *cluster) {
		// While all zones are out of service, nothing is assigned.
		setZones := func(out bool) {
			for _, v := range tc.VMs {
				_, err := tc.operatorClient(tc.Entries[0]).SetZone(tc.ctx, receiver.ZoneChange{Zone: v.Zone, Out: out})
				assert.NilError(t, err)
			}
		}
		setZones(true)
		tc.submit(tc.Entries[0], "job", 3, 8000)
		// Wait until entry-1 has read the job.
		time.Sleep(time.Second)
		tc.net.setFault(linkName("entry-1", "log"), blackholed)
		// Let data that entry-1 was receiving from the log arrive before the assignments exist.
		time.Sleep(time.Second)
		setZones(false)
		tc.waitFor("running", func() bool { return tc.runningCount() == 3 })
		tc.waitForTasks("job", 3)
		assert.Equal(t, len(tc.Tallies().Spans), 3, "%+v", tc.Tallies().Spans)
	})
}

// An entry that cannot read the log still regards a finished task as assigned. The
// agent has restarted and no longer knows the task, so the entry sees that the task
// does not run where it is assigned. The entry must not start the task again.
func TestLaggingEntryDoesNotRestartFinishedTasks(t *testing.T) {
	for _, lagging := range []string{"entry-0", "entry-1"} {
		t.Run(lagging, func(t *testing.T) {
			runInCluster(t, nil, func(tc *cluster) {
				tc.submit(tc.Entries[0], "short", 3, 4000)
				tc.submit(tc.Entries[0], "long", 3, 60_000)
				tc.waitFor("running", func() bool { return tc.runningCount() == 6 })
				tc.net.setFault(linkName(lagging, "log"), blackholed)
				tc.waitFor("short finished", func() bool { return tc.Tallies().FinishedTasks("short") == 3 })
				// The agents report the ends, and the other entry records them in the log.
				time.Sleep(2 * time.Second)
				for _, v := range tc.VMs {
					tc.KillAgent(v)
					startNewAgent(tc, v)
				}
				// Wait for a second start of a finished task, which would be a fault.
				time.Sleep(30 * time.Second)
				tc.checkTasks()
				assert.Equal(t, len(tc.Tallies().Spans), 6, "%+v", tc.Tallies().Spans)
			})
		})
	}
}
