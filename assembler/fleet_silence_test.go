package assembler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/coder/websocket"
	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/decider"
	"github.com/plantainrail/plantainrail/linker"
)

// silences are ways in which an agent loses the owner without being told.
var silences = []fleetFault{
	{"session silent", func(f *fleet) { f.net.setFault(f.sessionLink(), stalled) }},
	{"session silent towards the owner", func(f *fleet) { f.net.setFault(f.sessionLink(), requestsStalled) }},
	{"session silent towards the agent", func(f *fleet) { f.net.setFault(f.sessionLink(), repliesStalled) }},
	{"long poll silent, all entries killed", func(f *fleet) {
		f.net.setFault(linkName(f.vms[0].name, "store"), stalled)
		for i := range f.entries {
			f.killEntry(i, 10*time.Millisecond)
		}
	}},
}

// sessionLink returns the name of the link between the first agent and the owner.
func (f *fleet) sessionLink() string { return linkName(f.vms[0].name, f.entries[f.owner()].name) }

// Guards against tasks that wait (LOST) for an agent that takes the silence of its session, or of its long
// poll of the members, for no news.
func TestSilentAgentsFindTheOwner(t *testing.T) {
	// limit is the time in which an agent has a new session or looks for the owner, with half a second
	// for the new session and the start.
	const limit = 2500 * time.Millisecond
	for _, c := range silences {
		for phase := range 4 {
			t.Run(fmt.Sprint(c.name, " ", phase), func(t *testing.T) {
				runInFleet(t, fleetShape{entries: 3, zones: 3, vms: 1}, func(f *fleet) {
					time.Sleep(time.Duration(phase) * 290 * time.Millisecond)
					begin := time.Now()
					c.inject(f)
					f.submit(1, "500", []map[string]any{{"count": 1, "cpu": 1000}})
					f.waitForState(1, "completed", 30*time.Second)
					waited := f.firstStart(1).Sub(begin)
					assert.Check(t, waited <= limit, "the task waited for %s", waited)
					f.checkRuns()
				})
			})
		}
	}
}

// Size: many agents. Guards against a load of the store that comes with each change of the owner: the read that
// tells an agent of the new owner is followed by one more.
func TestChangeOfTheOwnerCausesNoReads(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(f *fleet, owner *fleetEntry)
		// records is the number of records of members that the change takes.
		records int
	}{
		{"killed", func(f *fleet, owner *fleetEntry) { f.net.setFault(owner.name, down); owner.stop() }, 1},
		{"without power", func(f *fleet, owner *fleetEntry) { f.net.setFault(owner.name, blackholed) }, 1},
		{"resigned", func(f *fleet, owner *fleetEntry) {
			f.group.Go(func() error { _ = owner.decider.Drain(f.ctx); return nil })
		}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			runInFleet(t, fleetShape{entries: 3, zones: 3, vms: 24}, func(f *fleet) {
				before := f.agentReads.Load()
				c.lose(f, f.entries[f.owner()])
				time.Sleep(6 * time.Second)
				reads := f.agentReads.Load() - before
				assert.Check(t, int(reads) <= c.records*len(f.vms), "%d agents have sent %d reads", len(f.vms), reads)
			})
		})
	}
}

// A session on which there is nothing to say must live as long as both ends do, and end soon after it has
// gone silent. An end of an earlier build says nothing then, and has as long as that build gave it.
func TestIdleSessionLives(t *testing.T) {
	for _, c := range []struct {
		name         string
		earlierBuild bool
		state        fault
		// age is that of the session when the fault begins.
		age time.Duration
		// The session ends between these times; 0 means that it does not end.
		from, to time.Duration
	}{
		{"idle", false, healthy, 0, 0, 0},
		{"silent", false, repliesStalled, 5 * time.Second, 600 * time.Millisecond, 1900 * time.Millisecond},
		{"silent towards the owner", false, requestsStalled, 5 * time.Second, 600 * time.Millisecond, 1900 * time.Millisecond},
		{"silent soon", false, repliesStalled, 100 * time.Millisecond, 600 * time.Millisecond, 1900 * time.Millisecond},
		{"silent soon towards the owner", false, requestsStalled, 100 * time.Millisecond, 600 * time.Millisecond, 1900 * time.Millisecond},
		{"idle, earlier build", true, healthy, 0, 3 * time.Second, 3600 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			runInFleet(t, fleetShape{entries: 1, zones: 1}, func(f *fleet) {
				client, address := f.client("vm"), f.entries[0].decider.Address
				session, _, err := decider.Dial(f.ctx, client, address)
				assert.NilError(t, err)
				if c.earlierBuild {
					session.Close()
					connection, _, err := websocket.Dial(f.ctx, "ws://"+address+decider.SessionPath, &websocket.DialOptions{HTTPClient: client})
					assert.NilError(t, err)
					session = linker.New(connection)
				}
				f.group.Go(func() error { _ = session.Run(f.ctx, make(orderRecorder)); return nil })
				begin := time.Now()
				if c.state != healthy {
					time.Sleep(c.age)
					begin = time.Now()
					f.net.setFault(linkName("vm", f.entries[0].name), c.state)
				}
				select {
				case <-session.Done():
					lived := time.Since(begin)
					assert.Check(t, lived >= c.from && lived <= c.to, "ended after %s", lived)
				case <-time.After(20 * time.Second):
					assert.Check(t, c.to == 0, "did not end")
				}
				session.Close()
			})
		})
	}
}

// Guards against tasks of a worker that is lost without a word, which wait for as long as its agent goes on
// renewing its lease.
func TestSilentWorkerIsGivenUp(t *testing.T) {
	// limit is the time until two calls to the worker have failed, the lease that is then left, and half a
	// second for a new start.
	const limit = 2600*time.Millisecond + decider.LeaseDuration + 500*time.Millisecond
	for phase := range 4 {
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			runInFleet(t, fleetShape{entries: 3, zones: 3, vms: 2}, func(f *fleet) {
				f.submit(1, "", []map[string]any{{"count": 4, "cpu": 1000, "longRunning": true}})
				time.Sleep(time.Second + time.Duration(phase)*290*time.Millisecond)
				v := f.vms[0]
				f.net.setFault(linkName(v.name, v.name+workerSuffix), blackholed)
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
		})
	}
}
