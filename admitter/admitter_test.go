package admitter

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/charter"
)

// init fixes the seed of the random calls, so that runs repeat; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var baseTime = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// withTarget returns an Admitter with one target, t, that announced itself at baseTime.
func withTarget(slots, connections int) *Admitter {
	a := New()
	a.Announce(baseTime, plantainrail.TargetInfo{Name: "t", Incarnation: "1", Kinds: []string{"match"}, Slots: slots, Connections: connections})
	return a
}

// request returns a request for target t whose deadline is one second after baseTime.
func request(id string) *Request {
	return &Request{ID: id, Kind: "match", Target: "t", Weight: 1, MaxQueued: 4, Deadline: baseTime.Add(time.Second)}
}

func TestVoidedRequestNeverStarts(t *testing.T) {
	a := withTarget(1, 4)
	assert.Equal(t, a.Void(baseTime, "r"), RequestVoided)
	got := a.Offer(baseTime, request("r"))
	assert.Equal(t, got.State, RequestRefused)
	assert.Equal(t, got.Err.Outcome(), plantainrail.OutcomeNotRun)
}

func TestRunningRequestIsNotVoided(t *testing.T) {
	a := withTarget(1, 4)
	assert.Equal(t, a.Offer(baseTime, request("r")).State, RequestRunning)
	assert.Equal(t, a.Void(baseTime, "r"), RequestRunning)
}

func TestLeaveBeforeAnnouncementTakesEffect(t *testing.T) {
	a := New()
	a.Leave("t", "1")
	a.Announce(baseTime, plantainrail.TargetInfo{Name: "t", Incarnation: "1", Slots: 1, Connections: 1})
	assert.Equal(t, a.Offer(baseTime, request("r")).Err.Code, plantainrail.CodeDraining)
	a.Announce(baseTime, plantainrail.TargetInfo{Name: "t", Incarnation: "2", Slots: 1, Connections: 1})
	assert.Equal(t, a.Offer(baseTime, request("r")).State, RequestRunning)
}

// TestQueueOrdersByWeightThenDeadline queues three requests behind a running one and
// checks the order in which they start as each predecessor finishes.
func TestQueueOrdersByWeightThenDeadline(t *testing.T) {
	a := withTarget(1, 16)
	a.Offer(baseTime, request("first"))
	for i, c := range []struct {
		weight int
		// deadline is in seconds after baseTime.
		deadline time.Duration
	}{{1, 3}, {1, 2}, {5, 9}} {
		r := request(fmt.Sprint(i))
		r.Weight = c.weight
		r.Deadline = baseTime.Add(c.deadline * time.Second)
		assert.Equal(t, a.Offer(baseTime, r).State, RequestQueued)
	}
	var order []string
	for id := "first"; id != ""; {
		run, _ := a.Finish(baseTime, id, "finish")
		id = ""
		if len(run) > 0 {
			id = run[0].ID
			order = append(order, id)
		}
	}
	assert.DeepEqual(t, order, []string{"2", "1", "0"})
}

// TestRandomCallsKeepLimits checks on random sequences of calls that running requests stay
// within the slots and open ones within the connections, that an ID starts at most once,
// and that a leaving target starts no newly offered request.
func TestRandomCallsKeepLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots, connections = 2, 5
		a := withTarget(slots, connections)
		now := baseTime
		started := map[string]bool{}
		running := map[string]bool{}
		// leaving is set once Leave was called for the target.
		leaving := false
		start := func(id string) {
			if started[id] {
				t.Fatalf("request %s started twice", id)
			}
			started[id] = true
			running[id] = true
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "id"))
				r := request(id)
				r.Deadline = now.Add(time.Duration(rapid.IntRange(-1, 3).Draw(t, "deadline")) * time.Second)
				r.Weight = rapid.IntRange(1, 3).Draw(t, "weight")
				r.Unfinished = rapid.Bool().Draw(t, "unfinished")
				if d := a.Offer(now, r); d.State == RequestRunning {
					if leaving {
						t.Fatal("a leaving target started a request")
					}
					start(id)
				}
			},
			"finish": func(t *rapid.T) {
				for id := range running {
					event := rapid.SampledFrom([]charter.Event{"finish", "fail", "reject"}).Draw(t, "event")
					run, _ := a.Finish(now, id, event)
					delete(running, id)
					for _, r := range run {
						start(r.ID)
					}
					return
				}
			},
			"void": func(t *rapid.T) { a.Void(now, fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "id"))) },
			"tick": func(*rapid.T) { now = now.Add(700 * time.Millisecond) },
			"renew": func(*rapid.T) {
				a.Announce(now, plantainrail.TargetInfo{Name: "t", Incarnation: "1", Slots: slots, Connections: connections})
			},
			"leave": func(t *rapid.T) {
				if rapid.IntRange(0, 20).Draw(t, "chance") == 0 {
					a.Leave("t", "1")
					leaving = true
				}
			},
			"": func(t *rapid.T) { checkLimits(t, a, len(running), slots, connections) },
		})
	})
}

// checkLimits checks that no more requests run and are open than a target has slots and connections.
func checkLimits(t *rapid.T, a *Admitter, running, slots, connections int) {
	if running > slots {
		t.Fatalf("%d requests are running in %d slots", running, slots)
	}
	if a.OpenRequests() > connections {
		t.Fatalf("%d requests are open on %d connections", a.OpenRequests(), connections)
	}
}

// Guards against targets and leaves without number, which a process on the VM could announce. Targets whose announcement
// has expired make room.
func TestTargetsAreBounded(t *testing.T) {
	a, now := New(), baseTime
	info := plantainrail.TargetInfo{Incarnation: "i", Address: "a", Kinds: []string{strings.Repeat("k", 60_000)}, Slots: 1, Connections: 1}
	announced := 0
	for i := range 5000 {
		info.Name = fmt.Sprint("t", i)
		a.Leave(info.Name+"x", "i")
		if a.Announce(now, info) {
			announced++
		}
	}
	assert.Equal(t, announced, 34)
	assert.Equal(t, a.Limited(), Limited{Announcements: 5000 - 34, Leaves: 5000 - maxLeaving})
	info.Name = "t0"
	assert.Assert(t, a.Announce(now, info), "a target that is here")
	info.Name, info.Kinds = "late", []string{"k"}
	assert.Assert(t, a.Announce(now, info))
	info.Name, info.Kinds = "other", []string{strings.Repeat("k", 60_000)}
	assert.Assert(t, !a.Announce(now, info))
	assert.Assert(t, a.Announce(now.Add(time.Minute), info))
	assert.Equal(t, len(a.Loads(now.Add(time.Minute))), 1)
}

// Guards against callers whose bodies stall and that take all places of a target, and against a share that is kept while
// nobody needs it.
func TestUnfinishedRequestsLeaveAShareToWholeOnes(t *testing.T) {
	a, now := withTarget(4, 8), baseTime
	offer := func(id string, unfinished bool) charter.State {
		r := request(id)
		r.Deadline, r.Unfinished = now.Add(time.Minute), unfinished
		return a.Offer(now, r).State
	}
	for i := range 8 {
		assert.Equal(t, offer(fmt.Sprint("u", i), true) == RequestRunning, i < 4, "all slots are for them until a whole one is refused")
	}
	assert.Equal(t, offer("whole", false), RequestRefused)
	a.Finish(now, "u0", "fail")
	started, _ := a.Finish(now, "u1", "fail")
	assert.Equal(t, len(started), 1, "one of the two free slots is kept")
	assert.Equal(t, offer("again", true), RequestRefused)
	assert.Equal(t, offer("whole", false), RequestRunning, "ahead of those that wait")
	now = now.Add(wholeShareWindow)
	a.Announce(now, plantainrail.TargetInfo{Name: "t", Incarnation: "1", Kinds: []string{"match"}, Slots: 4, Connections: 8})
	started, _ = a.Finish(now, "whole", "finish")
	assert.Equal(t, len(started), 1, "the share is given back")
}
