package assembler_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/assembler"
)

// slowTable sets a latency objective of 10 ms for requests of the kind match.
const slowTable = `kind,path,class,weight,idempotent,deadline_ms,slo_ms,processors,memory_mb
match,/match,latency-critical,5,no,20000,10,,
rebuild,,batch,3,,,,1,512
`

// Requests take 20 ms, longer than their latency objective, so the agents throttle the
// tasks on their VMs. Then the load ends, and the agents are killed. The new agents
// find tasks with a reduced processor share and must restore it, so that the tasks of
// 20 s finish soon after.
func TestProcessorShareIsRestoredAfterAgentRestart(t *testing.T) {
	slowService := func(o *assembler.Options) {
		o.ServiceTime = func(*http.Request) time.Duration { return 20 * time.Millisecond }
	}
	runInCluster(t, slowService, func(tc *cluster) {
		tc.publish(1, slowTable)
		time.Sleep(2 * time.Second)
		tc.submit(tc.Entries[0], "job", 3, 20_000)
		tc.waitFor("running", func() bool { return tc.runningCount() == 3 })
		begin := time.Now()
		for time.Since(begin) < 5*time.Second {
			tc.send(tc.Entries[0], "/match", "")
		}
		for _, v := range tc.VMs {
			tc.KillAgent(v)
			startNewAgent(tc, v)
		}
		tc.waitWithin(30*time.Second, "finished", func() bool { return tc.Tallies().FinishedTasks("job") == 3 })
		assert.Assert(t, time.Since(begin) > 22*time.Second, "nothing was throttled")
	})
}
