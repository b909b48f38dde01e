package assembler_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/assembler"
	"github.com/plantainrail/plantainrail/caller"
	"github.com/plantainrail/plantainrail/receiver"
	"github.com/plantainrail/plantainrail/standin/recorder"
)

// weighted is the test table with another weight, so that revisions differ.
func weighted(weight int) string {
	return strings.Replace(table, "latency-critical,5", fmt.Sprintf("latency-critical,%d", weight), 1)
}

// watchRevisions checks all through a test that no process ever goes back to an
// older revision, and that a revision has one content.
func (w *world) watchRevisions() (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	latest := map[any]int64{}
	content := map[int64]string{}
	check := func(key any, name string, revision int64) {
		if revision < latest[key] {
			w.t.Errorf("%s went from revision %d back to %d", name, latest[key], revision)
		}
		latest[key] = revision
	}
	go func() {
		defer close(ended)
		for {
			for _, e := range w.EntryList() {
				inForce := e.Table()
				check(e, e.Name, inForce.Revision)
				text := fmt.Sprint(inForce.Kinds)
				if old, ok := content[inForce.Revision]; ok && old != text {
					w.t.Errorf("revision %d has two contents", inForce.Revision)
				}
				content[inForce.Revision] = text
			}
			for _, v := range w.VMs {
				check(v.Agent(), v.Name, v.Agent().Revision())
			}
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// inForce tells whether a revision is in force in every process that runs.
func (w *world) inForce(revision int64, entries ...*assembler.Entry) bool {
	for _, e := range entries {
		if e.Table().Revision != revision {
			return false
		}
	}
	for _, v := range w.VMs {
		if v.Agent().Revision() != revision {
			return false
		}
	}
	return true
}

func codeOf(err error) plantainrail.Code {
	var failure *caller.FailureError
	if errors.As(err, &failure) {
		return failure.Code
	}
	return 0
}

func TestTableIsInForceEverywhereWithinThreeSeconds(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		defer w.watchRevisions()()
		for revision := int64(1); revision < 6; revision++ {
			_, err := w.operator(w.Entries[revision%2]).Publish(w.ctx, receiver.Publish{Base: revision, CSV: weighted(int(revision) + 10)})
			assert.NilError(t, err)
			w.within(3*time.Second, "in force", func() bool { return w.inForce(revision+1, w.Entries...) })
		}
	})
}

func TestRacingEditorsHaveOneWinner(t *testing.T) {
	for name, faults := range map[string]recorder.Faults{
		"healthy": {}, "log slow": {DelayMS: 300}, "log loses replies": {LoseReplies: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			inWorld(t, nil, func(w *world) {
				defer w.watchRevisions()()
				w.Log.SetFaults(faults)
				results := make(chan error, 2)
				for i, e := range w.Entries {
					go func() {
						_, err := w.operator(e).Publish(w.ctx, receiver.Publish{Base: 1, CSV: weighted(20 + i), Editor: e.Name})
						results <- err
					}()
				}
				first, second := <-results, <-results
				if first != nil {
					first, second = second, first
				}
				assert.NilError(t, first)
				assert.Equal(t, codeOf(second), plantainrail.CodeTableConflict, "%v", second)
				w.Log.SetFaults(recorder.Faults{})
				w.within(3*time.Second, "in force", func() bool { return w.inForce(2, w.Entries...) })
				history, err := w.operator(w.Entries[0]).History(w.ctx)
				assert.NilError(t, err)
				assert.Equal(t, len(history), 2)
			})
		})
	}
}

func TestPublishWithALostReplyCountsOnce(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		defer w.watchRevisions()()
		w.Log.SetFaults(recorder.Faults{LoseReplies: true})
		again := receiver.Publish{ID: "again", Base: 1, CSV: weighted(30)}
		for _, e := range w.Entries {
			reply, err := w.operator(e).Publish(w.ctx, again)
			assert.NilError(t, err)
			assert.Equal(t, reply.Revision, int64(2))
		}
		w.Log.SetFaults(recorder.Faults{})
		time.Sleep(5 * time.Second)
		assert.Assert(t, w.inForce(2, w.Entries...))
	})
}

func TestPublishDuringAnOutageTellsTheTruth(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		defer w.watchRevisions()()
		w.Log.SetFaults(recorder.Faults{Down: true})
		_, err := w.operator(w.Entries[0]).Publish(w.ctx, receiver.Publish{ID: "late", Base: 1, CSV: weighted(40)})
		assert.Equal(t, codeOf(err), plantainrail.CodePublishUnknown)
		assert.Assert(t, w.ask(w.Entries[0], "/match?echo=outage", "").whole("outage"))
		w.Log.SetFaults(recorder.Faults{})
		reply, err := w.operator(w.Entries[1]).Publish(w.ctx, receiver.Publish{ID: "late", Base: 1, CSV: weighted(40)})
		assert.NilError(t, err)
		assert.Equal(t, reply.Revision, int64(2))
		w.within(3*time.Second, "in force", func() bool { return w.inForce(2, w.Entries...) })
	})
}

// TestNewEntryGetsTheTableFromAgents replaces every entry while the log is down.
func TestNewEntryGetsTheTableFromAgents(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		defer w.watchRevisions()()
		w.Log.SetFaults(recorder.Faults{Down: true})
		added, err := w.StartEntry("entry-new", "a")
		assert.NilError(t, err)
		for _, v := range w.VMs {
			v.Agent().Learn([]string{added.Address})
		}
		for _, e := range w.Entries[:2] {
			e.Kill()
		}
		w.within(10*time.Second, "table from the agents", func() bool { return added.Table().Revision == 1 })
		w.within(10*time.Second, "requests served", func() bool { return w.ask(added, "/match?echo=served", "").whole("served") })
	})
}

// TestTableOutlivesRetention drops old records again and again, replaces the
// entries, and checks that neither an old revision nor a losing publish comes
// into force.
func TestTableOutlivesRetention(t *testing.T) {
	inWorld(t, func(o *assembler.Options) { o.Retention = 60 }, func(w *world) {
		defer w.watchRevisions()()
		_, err := w.operator(w.Entries[0]).Publish(w.ctx, receiver.Publish{Base: 1, CSV: weighted(50)})
		assert.NilError(t, err)
		_, err = w.operator(w.Entries[1]).Publish(w.ctx, receiver.Publish{Base: 1, CSV: weighted(51)})
		assert.Equal(t, codeOf(err), plantainrail.CodeTableConflict)
		time.Sleep(20 * time.Minute)
		for i := range 3 {
			added, err := w.StartEntry(fmt.Sprintf("entry-late-%d", i), "a")
			assert.NilError(t, err)
			w.until("table in force", func() bool { return w.inForce(2, added) })
			w.Entries[i].Kill()
			time.Sleep(15 * time.Minute)
		}
		last := w.Entries[len(w.Entries)-1]
		_, err = w.operator(last).Publish(w.ctx, receiver.Publish{Base: 2, CSV: weighted(52)})
		assert.NilError(t, err)
		w.within(3*time.Second, "in force", func() bool { return w.inForce(3, last) })
	})
}

// TestPublishMatrix publishes through an entry while a fault happens.
func TestPublishMatrix(t *testing.T) {
	steps := map[string]time.Duration{"before": -100 * time.Millisecond, "during": 5 * time.Millisecond, "after": 200 * time.Millisecond}
	for step, at := range steps {
		for _, f := range faultCases {
			t.Run(strings.ReplaceAll(step+"/"+f.name, " ", "-"), func(t *testing.T) {
				t.Parallel()
				inWorld(t, nil, func(w *world) {
					defer w.watchRevisions()()
					start := time.Now().Add(time.Second)
					go func() {
						time.Sleep(time.Until(start.Add(at)))
						f.apply(w, w.VMs[0])
					}()
					time.Sleep(time.Until(start))
					call := receiver.Publish{ID: "matrix", Base: 1, CSV: weighted(60)}
					_, err := w.operator(w.Entries[0]).Publish(w.ctx, call)
					time.Sleep(30 * time.Second)
					revision := w.Entries[1].Table().Revision
					if err == nil {
						assert.Equal(t, revision, int64(2), "an accepted publish was lost")
					}
					reply, err := w.operator(w.Entries[1]).Publish(w.ctx, call)
					assert.NilError(t, err)
					assert.Equal(t, reply.Revision, int64(2))
					w.within(3*time.Second, "in force", func() bool { return w.Entries[1].Table().Revision == 2 })
				})
			})
		}
	}
}
