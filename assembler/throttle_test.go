package assembler_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/assembler"
)

const slowTable = `kind,path,class,weight,idempotent,deadline_ms,slo_ms,processors,memory_mb
match,/match,latency-critical,5,no,20000,10,,
rebuild,,batch,3,,,,1,512
`

// The agent that throttled a task dies while requests are slow. The next one
// finds the share cut and must give it back once requests are fast.
func TestShareIsGivenBackAfterTheAgentIsReplaced(t *testing.T) {
	slow := func(o *assembler.Options) {
		o.Service = func(*http.Request) time.Duration { return 20 * time.Millisecond }
	}
	inWorld(t, slow, func(w *world) {
		w.publish(1, slowTable)
		time.Sleep(2 * time.Second)
		w.submit(w.Entries[0], "job", 3, 20_000)
		w.until("running", func() bool { return w.running() == 3 })
		begin := time.Now()
		for time.Since(begin) < 5*time.Second {
			w.ask(w.Entries[0], "/match", "")
		}
		for _, v := range w.VMs {
			w.KillAgent(v)
			restartAgent(w, v)
		}
		w.within(30*time.Second, "finished", func() bool { return w.Tallies().FinishedTasks("job") == 3 })
		assert.Assert(t, time.Since(begin) > 22*time.Second, "nothing was throttled")
	})
}
