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

const quietTable = `kind,class,weight,processors,memory_mb,noise,quiet_hours,quiet_noise,quiet_tasks
match,latency-critical,5,,,,,,
rebuild,batch,3,0.5,512,2,,,
notices,batch,1,0.5,512,1,00:02-00:30,3,2
`

// quietFaults are the faults under which quiet hours begin.
var quietFaults = map[string]func(*world){
	"healthy":           func(*world) {},
	"an entry dies":     func(w *world) { w.Entries[0].Kill() },
	"the log goes down": func(w *world) { w.Log.SetFaults(recorder.Faults{Down: true}) },
	"replies are lost":  func(w *world) { w.Log.SetFaults(recorder.Faults{LoseReplies: true}) },
	"an agent restarts": func(w *world) { v := w.busiest(); w.KillAgent(v); restartAgent(w, v) },
	"a zone leaves as well": func(w *world) {
		_, _ = w.operator(w.Entries[0]).SetZone(w.ctx, receiver.ZoneChange{Zone: "a", Out: true})
	},
}

func TestQuietHoursCapTheNoiseOfAZone(t *testing.T) {
	for name, fault := range quietFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			inWorld(t, nil, func(w *world) {
				w.publish(1, quietTable)
				time.Sleep(2 * time.Second)
				for i, e := range w.Entries {
					job := receiver.JobSubmission{Kind: "rebuild", Team: "rota", Tasks: 6, Work: 400_000, ID: fmt.Sprintf("loud-%d", i)}
					_, err := w.operator(e).Submit(w.ctx, job)
					assert.NilError(t, err)
					job.Kind, job.ID = "notices", fmt.Sprintf("soft-%d", i)
					_, err = w.operator(e).Submit(w.ctx, job)
					assert.NilError(t, err)
				}
				w.until("running", func() bool { return w.running() == 24 })
				begin := time.Now().Truncate(24 * time.Hour).Add(2 * time.Minute)
				time.Sleep(time.Until(begin) - time.Second)
				fault(w)
				const grace = 3 * time.Second
				for at := begin.Add(grace); at.Before(begin.Add(4 * time.Minute)); at = at.Add(time.Second) {
					time.Sleep(time.Until(at))
					for zone, noise := range w.noise() {
						assert.Assert(t, noise <= 3, "zone %s makes %d at %v", zone, noise, at.Sub(begin))
					}
				}
				w.judgeTasks()
			})
		})
	}
}

// noise sums what runs now by zone.
func (w *world) noise() map[string]int {
	sums := map[string]int{}
	for _, s := range w.Tallies().Spans {
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
