package assembler_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/coder/websocket"
	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/decider"
	"github.com/plantainrail/plantainrail/linker"
	"github.com/plantainrail/plantainrail/soaker"
)

// Guards against an agent that is shut out for good (LOST): an entry accepts its session, and does not close it when
// it learns that it does not own the jobs any more, since the agent has not reported yet.
func TestSessionsEndWithTheOwnership(t *testing.T) {
	const limit = 100 * time.Millisecond
	for _, c := range []struct {
		name string
		// end ends the ownership of an entry, and returns once the entry knows it.
		end func(f *fleet, owner int)
	}{
		{"resigned", func(f *fleet, owner int) {
			f.group.Go(func() error { _ = f.entries[owner].decider.Drain(f.ctx); return nil })
		}},
		{"replaced while suspended", func(f *fleet, owner int) { f.entries[owner].store.freeze(2 * time.Second) }},
		{"fenced", func(f *fleet, owner int) {
			for range 2 {
				f.entries[owner].store.silence("members")
				f.cutFromStore(f.entries[owner:owner+1], 2*time.Second)
			}
		}},
	} {
		for _, reports := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, ", reports ", reports), func(t *testing.T) {
				runInFleet(t, smallFleet, func(f *fleet) {
					owner := f.owner()
					var sessions []*linker.Session
					dial := func() {
						session, _, err := decider.Dial(f.ctx, f.client("vm-9"), f.entries[owner].decider.Address)
						if err != nil {
							return
						}
						f.group.Go(func() error { _ = session.Run(f.ctx, make(orderRecorder, 10)); return nil })
						sessions = append(sessions, session)
						if reports {
							assert.NilError(t, session.Send(linker.Frame{Work: &linker.WorkReport{VM: plantainrail.VM{
								Incarnation: plantainrail.WorkerIncarnation{Node: fmt.Sprint("vm-9-", len(sessions)), ID: "w", StartedMS: 1}, Pool: "desk", Zone: "z", Draining: true,
							}}}))
						}
					}
					dial()
					go c.end(f, owner)
					for f.entries[owner].decider.Owns() {
						dial()
						time.Sleep(50 * time.Millisecond)
					}
					time.Sleep(limit)
					assert.Check(t, len(sessions) > 0, "no session was accepted")
					for i, session := range sessions {
						assert.Check(t, session.State() == linker.StateClosed, "session %d of %d is open", i, len(sessions))
						session.Close()
					}
				})
			})
		}
	}
}

// mutedEntry accepts agents' sessions and keeps them alive, but sends no orders, like an entry that has been replaced
// and does not know it, or does not close its sessions.
type mutedEntry struct {
	f *fleet
	// epoch is what it tells of its ownership; empty for an entry of an earlier build.
	epoch    string
	accepted chan struct{}
}

func (e *mutedEntry) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != decider.SessionPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if e.epoch != "" {
		w.Header().Set(decider.EpochHeader, e.epoch)
	}
	connection, err := websocket.Accept(w, req, nil)
	if err != nil {
		return
	}
	select {
	case e.accepted <- struct{}{}:
	default:
	}
	session := linker.New(connection)
	session.KeepAlive()
	_ = session.Run(e.f.ctx, make(orderRecorder, 10))
}

// Guards against an agent that is shut out for good (LOST) by an entry that accepts its session, keeps it alive and
// grants nothing: the claim of its successor was read before the session was opened, or is never read.
func TestAgentLeavesAnEntryThatGrantsNothing(t *testing.T) {
	for _, epoch := range []string{"", "1"} {
		for _, storeLost := range []bool{false, true} {
			t.Run(fmt.Sprint("epoch ", epoch, ", store lost ", storeLost), func(t *testing.T) {
				runInFleet(t, fleetShape{entries: 3, zones: 3, vms: 2}, func(f *fleet) {
					f.submit(1, "", []map[string]any{{"count": 2, "cpu": 1000, "longRunning": true, "antiAffinity": 1}})
					time.Sleep(time.Second)
					f.trapAgent(epoch, storeLost)
					time.Sleep(20 * time.Second)
					for _, v := range f.vms {
						for _, s := range v.worker.History() {
							assert.Check(t, s.End.IsZero(), "run %d of %s on %s has ended as %s", s.Run, s.Task, v.name, s.Outcome)
						}
					}
					f.checkRuns()
				})
			})
		}
	}
}

// trapAgent makes the first agent lose its owner and open a session with a muted entry, and returns then. The agent
// reaches the owner again, and the store unless that is to be lost.
func (f *fleet) trapAgent(epoch string, storeLost bool) {
	muted := &mutedEntry{f, epoch, make(chan struct{}, 1)}
	f.store.Put("keyed.members", "e/muted", []byte(f.serve("muted", muted)))
	time.Sleep(100 * time.Millisecond)
	owner := linkName(f.vms[0].name, f.entries[f.owner()].name)
	if storeLost {
		f.net.setFault(linkName(f.vms[0].name, "store"), blackholed)
	}
	f.net.setFault(owner, down)
	<-muted.accepted
	f.net.setFault(owner, healthy)
}

// Guards against tasks of a worker that has left in order which wait for its lease (LOST), since its agent has told so
// only to an entry that does not own the jobs.
func TestDepartureReachesTheOwner(t *testing.T) {
	// limit is the time for which the acknowledgement is awaited, the interval of the search, and half a second for the
	// poll that shows the end of the worker and the start.
	const limit = 2500*time.Millisecond + time.Second + 500*time.Millisecond
	runInFleet(t, fleetShape{entries: 3, zones: 3, vms: 2}, func(f *fleet) {
		v := f.vms[0]
		f.submit(1, "", []map[string]any{{"count": 4, "cpu": 1000, "longRunning": true}})
		time.Sleep(time.Second)
		f.trapAgent("", true)
		f.deregister(v)
		time.Sleep(limit)
		running := 0
		for _, s := range f.vms[1].worker.History() {
			if s.End.IsZero() {
				running++
			}
		}
		assert.Check(t, running == 4, "%d of 4 tasks run on the other worker", running)
		f.checkRuns()
	})
}

// deregister ends a VM's worker in order.
func (f *fleet) deregister(v *fleetVM) {
	client := f.client(v.name + workerSuffix)
	defer client.CloseIdleConnections()
	response, err := client.Post("http://"+v.registry.Addr().String()+"/Instances.Deregister/w-"+v.name, "application/json", http.NoBody)
	assert.NilError(f.t, err)
	assert.NilError(f.t, response.Body.Close())
	v.worker.Crash()
	f.net.setFault(linkName(v.name, v.name+workerSuffix), down)
}

var (
	sessionSeed  = flag.Uint64("session.seed", 1, "first seed of TestAgentsFollowTheOwner")
	sessionSeeds = flag.Uint64("session.seeds", 12, "number of seeds of TestAgentsFollowTheOwner")
)

// Guards against agents that are shut out (LOST), whatever happens to both ends of their sessions while the owner
// changes: entries stand still and wake, resign, restart and are cut off, and agents stand still between opening a
// session and using it.
func TestAgentsFollowTheOwner(t *testing.T) {
	for seed := *sessionSeed; seed < *sessionSeed+*sessionSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 2))
			shape := fleetShapes[r.IntN(len(fleetShapes))]
			runInFleet(t, shape, func(f *fleet) {
				f.submit(1, "", []map[string]any{{"count": len(f.vms), "cpu": 1000, "longRunning": true, "antiAffinity": 1}})
				time.Sleep(time.Second)
				f.stallDials(r.Uint64())
				for range 2 + r.IntN(3) {
					sessionFaults[r.IntN(len(sessionFaults))](f, r)
					time.Sleep(milliseconds(r, 0, 1500))
				}
				f.dialed.Store(nil)
				// An outage that has begun last takes 3 s at most.
				time.Sleep(3 * time.Second)
				f.checkNothingWaits([]acceptedJob{{1, 1, len(f.vms), true}}, soaker.AskTime-soaker.IdleTime, 20*time.Second)
				f.checkRuns()
			})
		})
	}
}

// milliseconds draws a duration between two bounds.
func milliseconds(r *rand.Rand, low, high int) time.Duration {
	return time.Duration(low+r.IntN(high-low)) * time.Millisecond
}

// stallDials makes agents stand still, now and then, after a session was accepted.
func (f *fleet) stallDials(seed uint64) {
	random := make(chan *rand.Rand, 1)
	random <- rand.New(rand.NewPCG(seed, 3))
	stall := func(*fleetVM) {
		r := <-random
		var d time.Duration
		if r.IntN(2) == 0 {
			d = milliseconds(r, 0, 1500)
		}
		random <- r
		time.Sleep(d)
	}
	f.dialed.Store(&stall)
}

// sessionFaults are the faults of TestAgentsFollowTheOwner.
var sessionFaults = []func(f *fleet, r *rand.Rand){
	// The owner stands still for the store, and its sessions are reset or go silent while it does or as it wakes.
	func(f *fleet, r *rand.Rand) {
		owner, d := f.entries[f.owner()], milliseconds(r, 500, 4000)
		owner.store.freeze(d)
		state := []fault{down, stalled, requestsStalled, repliesStalled}[r.IntN(4)]
		for begin := time.Now(); time.Since(begin) < d; time.Sleep(milliseconds(r, 50, 400)) {
			v := f.vms[r.IntN(len(f.vms))]
			f.net.setFault(linkName(v.name, owner.name), state)
			f.net.setFault(linkName(v.name, owner.name), healthy)
		}
	},
	// Some agents reach only the entry that is cut off from the store, and dial it again before it learns what it has
	// missed, or after that.
	func(f *fleet, r *rand.Rand) {
		owner := f.owner()
		var cut []string
		for _, v := range f.vms[:1+r.IntN(len(f.vms))] {
			for _, e := range f.others(owner) {
				cut = append(cut, linkName(v.name, e.name))
			}
		}
		f.net.setFault(linkName(f.entries[owner].name, "store"), blackholed)
		for _, link := range cut {
			f.net.setFault(link, down)
		}
		time.Sleep(milliseconds(r, 1500, 4000))
		f.setAgentLinks(f.entries[owner].name, down)
		f.setAgentLinks(f.entries[owner].name, healthy)
		time.AfterFunc(milliseconds(r, 0, 1000), func() { f.net.setFault(linkName(f.entries[owner].name, "store"), healthy) })
		time.Sleep(milliseconds(r, 0, 2000))
		for _, link := range cut {
			f.net.setFault(link, healthy)
		}
	},
	// The owner resigns and its process is replaced.
	func(f *fleet, r *rand.Rand) {
		owner := f.owner()
		ctx, cancel := context.WithTimeout(f.ctx, milliseconds(r, 0, 2500))
		defer cancel()
		_ = f.entries[owner].decider.Drain(ctx)
		f.killEntry(owner, milliseconds(r, 0, 1000))
	},
	func(f *fleet, r *rand.Rand) { f.killEntry(r.IntN(len(f.entries)), milliseconds(r, 0, 1500)) },
	func(f *fleet, r *rand.Rand) { f.restartAgent(f.vms[r.IntN(len(f.vms))]) },
	// The agents' polls of the members go silent.
	func(f *fleet, _ *rand.Rand) { f.setAgentLinks("store", stalled) },
	func(f *fleet, r *rand.Rand) {
		f.store.SetAppendTime(milliseconds(r, 50, 300))
		time.Sleep(milliseconds(r, 500, 4000))
		f.store.SetAppendTime(0)
	},
}
