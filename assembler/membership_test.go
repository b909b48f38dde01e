package assembler_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/assembler"
	"github.com/plantainrail/plantainrail/receiver"
	"github.com/plantainrail/plantainrail/standin/recorder"
)

// load sends requests through both entries until stop is called, which returns
// the answers that were not whole.
func (w *world) load(pace time.Duration) (stop func() []answer) {
	done := make(chan struct{})
	var mu sync.Mutex
	var bad []answer
	var group sync.WaitGroup
	for i := range 4 {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(pace):
				}
				echo := fmt.Sprintf("load-%d-%d", i, n)
				if got := w.ask(w.Entries[i%2], "/match?ms=20&echo="+echo, ""); !got.whole(echo) {
					mu.Lock()
					bad = append(bad, got)
					mu.Unlock()
				}
			}
		})
	}
	return func() []answer {
		close(done)
		group.Wait()
		return bad
	}
}

// leaveCases are the ways in which a target leaves.
var leaveCases = []struct {
	name string
	// planned is set when nothing but the leave happens; then nothing is cut.
	planned bool
	leave   func(*world, *assembler.VM)
}{
	{"by its own word", true, func(w *world, v *assembler.VM) { _ = v.Target.Leave(w.ctx) }},
	{"by an operator", true, func(w *world, v *assembler.VM) {
		v.Target.MarkLeft()
		reply, err := w.operator(w.Entries[0]).Leave(w.ctx, receiver.Leave{Target: v.Name + "-target"})
		assert.NilError(w.t, err)
		assert.Assert(w.t, reply.Confirmed && reply.Recorded, "%+v", reply)
	}},
	{"by an operator while the log is down", true, func(w *world, v *assembler.VM) {
		w.Log.SetFaults(recorder.Faults{Down: true})
		v.Target.MarkLeft()
		reply, err := w.operator(w.Entries[1]).Leave(w.ctx, receiver.Leave{Target: v.Name + "-target"})
		assert.NilError(w.t, err)
		assert.Assert(w.t, reply.Confirmed && !reply.Recorded, "%+v", reply)
	}},
	{"by an operator, and its agent is killed", false, func(w *world, v *assembler.VM) {
		v.Target.MarkLeft()
		_, err := w.operator(w.Entries[0]).Leave(w.ctx, receiver.Leave{Target: v.Name + "-target"})
		assert.NilError(w.t, err)
		w.KillAgent(v)
		restartAgent(w, v)
	}},
}

func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	for _, c := range leaveCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			inWorld(t, nil, func(w *world) {
				stop := w.load(10 * time.Millisecond)
				time.Sleep(2 * time.Second)
				c.leave(w, w.VMs[0])
				time.Sleep(20 * time.Second)
				stop()
				assert.Equal(t, w.Tallies().Late, 0)
				if c.planned {
					assert.Equal(t, w.Tallies().Cut, 0)
				}
			})
		})
	}
}

func TestReturningIncarnationGetsWork(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		v := w.VMs[0]
		assert.NilError(t, v.Target.Leave(w.ctx))
		time.Sleep(5 * time.Second)
		v.Target.SetIncarnation("2")
		before := len(v.Target.Tally().Runs)
		stop := w.load(10 * time.Millisecond)
		time.Sleep(20 * time.Second)
		assert.Equal(t, len(stop()), 0)
		assert.Assert(t, len(v.Target.Tally().Runs) > before+100)
	})
}

func TestFlappingTargetLosesNoRequest(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		stop := w.load(10 * time.Millisecond)
		for i := range 10 {
			v := w.VMs[i%2]
			assert.NilError(t, v.Target.Leave(w.ctx))
			time.Sleep(700 * time.Millisecond)
			v.Target.SetIncarnation(fmt.Sprintf("flap-%d", i))
			time.Sleep(700 * time.Millisecond)
		}
		bad := stop()
		assert.Equal(t, len(bad), 0, "%+v", bad)
	})
}

func TestEntriesComeAndGo(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		added, err := w.StartEntry("entry-new", "b")
		assert.NilError(t, err)
		w.until("the new entry serves", func() bool { return w.ask(added, "/match?echo=new", "").whole("new") })
		w.Entries[0].Kill()
		assert.NilError(t, w.Entries[1].Stop(w.ctx))
		assert.Assert(t, w.ask(added, "/match?echo=later", "").whole("later"))
	})
}

// TestAnswerSurvivesReconnect checks that a request that was handed over keeps
// its answer through a session that is cut or goes silent.
func TestAnswerSurvivesReconnect(t *testing.T) {
	for name, f := range map[string]fault{"cut": cut, "silent": silent} {
		for _, query := range []string{"ms=1500", "size=1000000"} {
			t.Run(name+" "+query, func(t *testing.T) {
				t.Parallel()
				inWorld(t, nil, func(w *world) {
					w.net.setDelay(4 * time.Millisecond)
					done := make(chan answer)
					go func() { done <- w.ask(w.Entries[0], "/match?echo=kept&"+query, "") }()
					time.Sleep(200 * time.Millisecond)
					for _, v := range w.VMs {
						w.net.set(pair(v.Name, "entry-0"), f)
					}
					time.Sleep(300 * time.Millisecond)
					for _, v := range w.VMs {
						w.net.set(pair(v.Name, "entry-0"), healthy)
					}
					got := <-done
					assert.NilError(t, got.err)
					assert.Equal(t, got.status, http.StatusOK)
					if query == "size=1000000" {
						assert.Equal(t, len(got.body), 1_000_000)
					}
					assert.Equal(t, w.runs("kept"), 1)
				})
			})
		}
	}
}

// TestRequestOnItsWayToAStoppingAgent sends one request that is on a slow
// network when its idle agent stops, at many moments around its end.
func TestRequestOnItsWayToAStoppingAgent(t *testing.T) {
	for offset := time.Duration(0); offset < 120*time.Millisecond; offset += 5 * time.Millisecond {
		for _, path := range []string{"/match", "/status"} {
			t.Run(fmt.Sprint(path, offset), func(t *testing.T) {
				t.Parallel()
				inWorld(t, nil, func(w *world) {
					w.net.setDelay(20 * time.Millisecond)
					time.Sleep(10 * time.Second)
					var group sync.WaitGroup
					for i := range 6 {
						group.Go(func() {
							echo := fmt.Sprintf("late-%d", i)
							got := w.ask(w.Entries[i%2], path+"?echo="+echo, "")
							assert.Check(t, got.whole(echo), "request %d: %+v", i, got)
						})
					}
					time.Sleep(offset)
					v := w.VMs[0]
					assert.NilError(t, v.Agent().Drain(w.ctx))
					w.KillAgent(v)
					group.Wait()
				})
			})
		}
	}
}
