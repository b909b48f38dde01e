package assembler_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/receiver"
	"github.com/plantainrail/plantainrail/standin/recorder"
)

// quietTable sets quiet hours from 00:02 to 00:30 UTC. During them the running tasks
// of all kinds in a zone may make a noise of at most 3, and at most 2 tasks of the
// kind notices may run there. The virtual time starts at midnight UTC.
const quietTable = `kind,class,weight,processors,memory_mb,noise,quiet_hours,quiet_noise,quiet_tasks
match,latency-critical,5,,,,,,
rebuild,batch,3,0.5,512,2,,,
notices,batch,1,0.5,512,1,00:02-00:30,3,2
`

// quietFaults are injected one second before the quiet hours begin.
var quietFaults = map[string]func(*cluster){
	"healthy":           func(*cluster) {},
	"entry killed":      func(tc *cluster) { tc.Entries[0].Kill() },
	"log down":          func(tc *cluster) { tc.Log.SetFaults(recorder.Faults{Down: true}) },
	"log loses replies": func(tc *cluster) { tc.Log.SetFaults(recorder.Faults{LoseReplies: true}) },
	"agent restarts":    func(tc *cluster) { v := tc.busiestVM(); tc.KillAgent(v); startNewAgent(tc, v) },
	"zone out": func(tc *cluster) {
		_, _ = tc.operatorClient(tc.Entries[0]).SetZone(tc.ctx, receiver.ZoneChange{Zone: "a", Out: true})
	},
}

// When the quiet hours begin, more tasks run than their caps allow. Within the grace
// time enough of them must be stopped, and the noise must stay within its cap.
func TestQuietHoursLimitZoneNoise(t *testing.T) {
	for name, inject := range quietFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runInCluster(t, nil, func(tc *cluster) {
				tc.publish(1, quietTable)
				time.Sleep(2 * time.Second)
				for i, e := range tc.Entries {
					job := receiver.JobSubmission{Kind: "rebuild", Team: "rota", Tasks: 6, Work: 400_000, ID: fmt.Sprintf("loud-%d", i)}
					_, err := tc.operatorClient(e).Submit(tc.ctx, job)
					assert.NilError(t, err)
					job.Kind, job.ID = "notices", fmt.Sprintf("soft-%d", i)
					_, err = tc.operatorClient(e).Submit(tc.ctx, job)
					assert.NilError(t, err)
				}
				tc.waitFor("running", func() bool { return tc.runningCount() == 24 })
				begin := time.Now().Truncate(24 * time.Hour).Add(2 * time.Minute)
				time.Sleep(time.Until(begin) - time.Second)
				inject(tc)
				// grace is how long the tasks beyond the caps may still run.
				const grace = 3 * time.Second
				for at := begin.Add(grace); at.Before(begin.Add(4 * time.Minute)); at = at.Add(time.Second) {
					time.Sleep(time.Until(at))
					for zone, noise := range tc.noise() {
						assert.Assert(t, noise <= 3, "zone %s has noise %d, %v after the start of the quiet hours", zone, noise, at.Sub(begin))
					}
				}
				tc.checkTasks()
			})
		})
	}
}

// noise returns the total noise of the running tasks in each zone. As in quietTable,
// a task of a loud job (rebuild) counts 2, one of a soft job (notices) 1.
func (tc *cluster) noise() map[string]int {
	sums := map[string]int{}
	for _, s := range tc.Tallies().Spans {
		switch {
		case !s.End.IsZero():
		case strings.HasPrefix(s.Task, "loud"):
			sums[s.Zone] += 2
		default:
			sums[s.Zone]++
		}
	}
	return sums
}
