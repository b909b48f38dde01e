package assembler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/receiver"
)

// A repeated order to start reaches the agent after the attempt has finished,
// together with the report of the finish, when links are slow.
func TestRepeatedOrderDoesNotHideAFinish(t *testing.T) {
	for _, delay := range []time.Duration{150, 175, 200} {
		t.Run(fmt.Sprint(int(delay)), func(t *testing.T) {
			inWorld(t, nil, func(w *world) {
				w.net.setDelay(delay * time.Millisecond)
				const jobs = 40
				for i := range jobs {
					w.submit(w.Entries[i%2], fmt.Sprintf("job-%d", i), 3, 300)
				}
				for i := range jobs {
					w.finished(fmt.Sprintf("job-%d", i), 3)
				}
			})
		})
	}
}

// The runtime takes a start and its reply is lost; the task is too short to be
// stopped before its end.
func TestFinishAfterALostStartReplyCounts(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		for _, v := range w.VMs {
			v.Worker.SetLossy(true)
		}
		w.submit(w.Entries[0], "job", 3, 0)
		w.known(w.Entries[1], "job")
		time.Sleep(20 * time.Second)
		w.judgeTasks()
		assert.Equal(t, len(w.Tallies().Spans), 3, "%+v", w.Tallies().Spans)
	})
}

// An entry that is behind the log hears of attempts that it has not read about.
// It must not drop the word of their ends.
func TestEntryThatIsBehindForgetsNoEnd(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		w.net.set(pair("entry-1", "log"), deaf)
		time.Sleep(2 * time.Second)
		w.submit(w.Entries[0], "job", 3, 3000)
		w.until("running", func() bool { return w.running() == 3 })
		for _, v := range w.VMs {
			w.net.set(pair(v.Name, "entry-0"), cut)
		}
		w.until("finished", func() bool { return w.Tallies().FinishedTasks("job") == 3 })
		time.Sleep(2 * time.Second)
		for _, v := range w.VMs {
			w.net.set(pair(v.Name, "entry-0"), healthy)
		}
		w.known(w.Entries[0], "job")
		w.judgeTasks()
		assert.Equal(t, len(w.Tallies().Spans), 3, "%+v", w.Tallies().Spans)
	})
}

// An entry that has read a job and not its assignments takes a running attempt
// for an old one. It must not stop it.
func TestEntryThatIsBehindStopsNoAttempt(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		setZones := func(out bool) {
			for _, v := range w.VMs {
				_, err := w.operator(w.Entries[0]).SetZone(w.ctx, receiver.ZoneChange{Zone: v.Zone, Out: out})
				assert.NilError(t, err)
			}
		}
		setZones(true)
		w.submit(w.Entries[0], "job", 3, 8000)
		time.Sleep(time.Second)
		w.net.set(pair("entry-1", "log"), deaf)
		time.Sleep(time.Second)
		setZones(false)
		w.until("running", func() bool { return w.running() == 3 })
		w.finished("job", 3)
		assert.Equal(t, len(w.Tallies().Spans), 3, "%+v", w.Tallies().Spans)
	})
}

// An entry without the log holds a task for assigned that has finished since,
// and its agent has restarted and forgotten it.
func TestEntryWithAnOldViewStartsNothing(t *testing.T) {
	for _, behind := range []string{"entry-0", "entry-1"} {
		t.Run(behind, func(t *testing.T) {
			inWorld(t, nil, func(w *world) {
				w.submit(w.Entries[0], "short", 3, 4000)
				w.submit(w.Entries[0], "long", 3, 60_000)
				w.until("running", func() bool { return w.running() == 6 })
				w.net.set(pair(behind, "log"), deaf)
				w.until("short finished", func() bool { return w.Tallies().FinishedTasks("short") == 3 })
				time.Sleep(2 * time.Second)
				for _, v := range w.VMs {
					w.KillAgent(v)
					restartAgent(w, v)
				}
				time.Sleep(30 * time.Second)
				w.judgeTasks()
				assert.Equal(t, len(w.Tallies().Spans), 6, "%+v", w.Tallies().Spans)
			})
		})
	}
}
