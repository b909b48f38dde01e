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

// load sends requests through both entries until stop is called. There are four
// callers, each of which pauses for the interval before each request. stop returns
// the results that are not a complete response.
func (tc *cluster) load(interval time.Duration) (stop func() []callResult) {
	done := make(chan struct{})
	var mu sync.Mutex
	var incomplete []callResult
	var group sync.WaitGroup
	for i := range 4 {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(interval):
				}
				echo := fmt.Sprintf("load-%d-%d", i, n)
				if got := tc.send(tc.Entries[i%2], "/match?ms=20&echo="+echo, ""); !got.complete(echo) {
					mu.Lock()
					incomplete = append(incomplete, got)
					mu.Unlock()
				}
			}
		})
	}
	return func() []callResult {
		close(done)
		group.Wait()
		return incomplete
	}
}

// leaveCases are the ways in which a target leaves.
var leaveCases = []struct {
	name string
	// planned is set when the agent is not killed; then no request may be cut off.
	planned bool
	leave   func(*cluster, *assembler.VM)
}{
	{"by itself", true, func(tc *cluster, v *assembler.VM) { _ = v.Target.Leave(tc.ctx) }},
	{"by an operator", true, func(tc *cluster, v *assembler.VM) {
		v.Target.MarkLeaving()
		reply, err := tc.operatorClient(tc.Entries[0]).Leave(tc.ctx, receiver.LeaveRequest{Target: v.Name + "-target"})
		assert.NilError(tc.t, err)
		assert.Assert(tc.t, reply.Confirmed && reply.Recorded, "%+v", reply)
	}},
	{"by an operator while the log is down", true, func(tc *cluster, v *assembler.VM) {
		tc.Log.SetFaults(recorder.Faults{Down: true})
		v.Target.MarkLeaving()
		reply, err := tc.operatorClient(tc.Entries[1]).Leave(tc.ctx, receiver.LeaveRequest{Target: v.Name + "-target"})
		assert.NilError(tc.t, err)
		assert.Assert(tc.t, reply.Confirmed && !reply.Recorded, "%+v", reply)
	}},
	{"by an operator, and its agent is killed", false, func(tc *cluster, v *assembler.VM) {
		v.Target.MarkLeaving()
		_, err := tc.operatorClient(tc.Entries[0]).Leave(tc.ctx, receiver.LeaveRequest{Target: v.Name + "-target"})
		assert.NilError(tc.t, err)
		tc.KillAgent(v)
		startNewAgent(tc, v)
	}},
}

// A target that leaves must get no new request after the grace period, in whatever
// way it leaves.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	for _, c := range leaveCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			runInCluster(t, nil, func(tc *cluster) {
				stop := tc.load(10 * time.Millisecond)
				time.Sleep(2 * time.Second)
				c.leave(tc, tc.VMs[0])
				time.Sleep(20 * time.Second)
				stop()
				assert.Equal(t, tc.Tallies().LateRequests, 0)
				if c.planned {
					assert.Equal(t, tc.Tallies().CutOffRequests, 0)
				}
			})
		})
	}
}

// A target that has left gets no requests. Its next incarnation must get them again.
func TestRestartedTargetGetsWork(t *testing.T) {
	runInCluster(t, nil, func(tc *cluster) {
		v := tc.VMs[0]
		assert.NilError(t, v.Target.Leave(tc.ctx))
		time.Sleep(5 * time.Second)
		v.Target.SetIncarnation("2")
		before := len(v.Target.Tally().Runs)
		stop := tc.load(10 * time.Millisecond)
		time.Sleep(20 * time.Second)
		assert.Equal(t, len(stop()), 0)
		assert.Assert(t, len(v.Target.Tally().Runs) > before+100)
	})
}

// Two targets repeatedly leave and return as a new incarnation. Every request must
// still get a complete response.
func TestFlappingTargetLosesNoRequest(t *testing.T) {
	runInCluster(t, nil, func(tc *cluster) {
		stop := tc.load(10 * time.Millisecond)
		for i := range 10 {
			v := tc.VMs[i%2]
			assert.NilError(t, v.Target.Leave(tc.ctx))
			time.Sleep(700 * time.Millisecond)
			v.Target.SetIncarnation(fmt.Sprintf("flap-%d", i))
			time.Sleep(700 * time.Millisecond)
		}
		incomplete := stop()
		assert.Equal(t, len(incomplete), 0, "%+v", incomplete)
	})
}

// An entry joins a running cluster, and then one of the old entries is killed and the
// other one is stopped as planned. The new entry must serve requests alone.
func TestEntriesJoinAndLeave(t *testing.T) {
	runInCluster(t, nil, func(tc *cluster) {
		added, err := tc.StartEntry("entry-new", "b")
		assert.NilError(t, err)
		tc.waitFor("new entry serves requests", func() bool { return tc.send(added, "/match?echo=new", "").complete("new") })
		tc.Entries[0].Kill()
		assert.NilError(t, tc.Entries[1].Stop(tc.ctx))
		assert.Assert(t, tc.send(added, "/match?echo=later", "").complete("later"))
	})
}

// A request that was passed to an agent must still get its response when the
// session to the agent is disconnected or stalls, and must run only once.
func TestResponseSurvivesReconnect(t *testing.T) {
	for name, f := range map[string]fault{"disconnected": down, "stalled": stalled} {
		for _, query := range []string{"ms=1500", "size=1000000"} {
			t.Run(name+" "+query, func(t *testing.T) {
				t.Parallel()
				runInCluster(t, nil, func(tc *cluster) {
					tc.net.setDelay(4 * time.Millisecond)
					done := make(chan callResult)
					go func() { done <- tc.send(tc.Entries[0], "/match?echo=kept&"+query, "") }()
					time.Sleep(200 * time.Millisecond)
					for _, v := range tc.VMs {
						tc.net.setFault(linkName(v.Name, "entry-0"), f)
					}
					time.Sleep(300 * time.Millisecond)
					for _, v := range tc.VMs {
						tc.net.setFault(linkName(v.Name, "entry-0"), healthy)
					}
					got := <-done
					assert.NilError(t, got.err)
					assert.Equal(t, got.status, http.StatusOK)
					if query == "size=1000000" {
						assert.Equal(t, len(got.body), 1_000_000)
					}
					assert.Equal(t, tc.runs("kept"), 1)
				})
			})
		}
	}
}

// Requests that are in flight to an idle agent over a slow network when the agent
// drains and stops must still get a response. The drain starts 0 to 115 ms after they
// are sent.
func TestRequestInFlightToStoppingAgent(t *testing.T) {
	for offset := time.Duration(0); offset < 120*time.Millisecond; offset += 5 * time.Millisecond {
		for _, path := range []string{"/match", "/status"} {
			t.Run(fmt.Sprint(path, offset), func(t *testing.T) {
				t.Parallel()
				runInCluster(t, nil, func(tc *cluster) {
					tc.net.setDelay(20 * time.Millisecond)
					time.Sleep(10 * time.Second)
					var group sync.WaitGroup
					for i := range 6 {
						group.Go(func() {
							echo := fmt.Sprintf("late-%d", i)
							got := tc.send(tc.Entries[i%2], path+"?echo="+echo, "")
							assert.Check(t, got.complete(echo), "request %d: %+v", i, got)
						})
					}
					time.Sleep(offset)
					v := tc.VMs[0]
					assert.NilError(t, v.Agent().Drain(tc.ctx))
					tc.KillAgent(v)
					group.Wait()
				})
			})
		}
	}
}
