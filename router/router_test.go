package router

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/rotator"
)

// init fixes the seed of the random calls, so that runs repeat; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var baseTime = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// view returns the view of a target in zone a, whose agent has the same name.
func view(name string) plantainrail.TargetView {
	return plantainrail.TargetView{
		Info:  plantainrail.TargetInfo{Name: name, Incarnation: "1", Kinds: []string{"match"}, Slots: 8, Connections: 64},
		Agent: name, Zone: "a",
	}
}

// routerWithSamples returns a router that has latency samples of a fast target (5 ms) and
// a slow one (50 ms), and the time after the last sample. Both are past their slow start.
func routerWithSamples() (*Router, time.Time) {
	r := New("a", 1)
	now := baseTime
	for _, name := range []string{"fast", "slow"} {
		r.Update(now, name, []plantainrail.TargetView{view(name)})
	}
	now = now.Add(time.Minute)
	for range 5 {
		r.Sent(now, "fast")
		r.Sent(now, "slow")
		r.Done(now.Add(5*time.Millisecond), "fast", 5*time.Millisecond, plantainrail.ResultAnswered)
		r.Done(now.Add(50*time.Millisecond), "slow", 50*time.Millisecond, plantainrail.ResultAnswered)
	}
	return r, now.Add(50 * time.Millisecond)
}

// TestPickComparesTwoDistinctTargets checks that the slower of two targets is never
// picked. It would be if both random choices could fall on it.
func TestPickComparesTwoDistinctTargets(t *testing.T) {
	r, now := routerWithSamples()
	for range 200 {
		got, ok := r.Pick(now, "match", nil)
		assert.Assert(t, ok)
		assert.Equal(t, got.Info.Name, "fast")
	}
}

// TestOverdueAnswerCountsAgainstTarget checks that the fast target is no longer preferred
// while a request sent to it has had no response for 500 ms.
func TestOverdueAnswerCountsAgainstTarget(t *testing.T) {
	r, now := routerWithSamples()
	r.Sent(now, "fast")
	got, _ := r.Pick(now.Add(time.Second/2), "match", nil)
	assert.Equal(t, got.Info.Name, "slow")
}

// TestEjectionsStayWithinMaxShare checks that only two of six targets (maxEjectedShare)
// are ejected when all of them fail.
func TestEjectionsStayWithinMaxShare(t *testing.T) {
	r := New("a", 1)
	names := []string{"a", "b", "c", "d", "e", "f"}
	for _, name := range names {
		r.Update(baseTime, name, []plantainrail.TargetView{view(name)})
	}
	for _, name := range names {
		for range maxConsecutiveFailures {
			r.Sent(baseTime, name)
			r.Done(baseTime, name, time.Millisecond, plantainrail.ResultFailed)
		}
	}
	ejected := 0
	for _, s := range r.Targets(baseTime) {
		if s.State == stateEjected {
			ejected++
		}
	}
	assert.Equal(t, ejected, 2)
}

// TestRetryBudget checks that the retries stay within the share of the requests that
// retryBudgetShare allows, plus the initial budget.
func TestRetryBudget(t *testing.T) {
	r := New("a", 1)
	r.Update(baseTime, "x", []plantainrail.TargetView{view("x")})
	spent := 0
	const requests = 10_000
	for range requests {
		r.Sent(baseTime, "x")
		if r.TakeRetry() {
			spent++
		}
	}
	assert.Assert(t, float64(spent) <= retryBudgetShare*requests+maxRetryBudget)
}

// TestRandomCallsAgainstRoundRobin drives the router and the round-robin router with
// the same random calls. The router must pick a target exactly when one is usable, that
// is, neither leaving nor in a zone that is out of service, and must never pick another
// one. The round-robin router, which ignores both, must pick one whenever any target
// exists.
func TestRandomCallsAgainstRoundRobin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		router, roundRobin := New("a", 1), rotator.New()
		routers := []plantainrail.Router{router, roundRobin}
		now := baseTime
		views := map[string]plantainrail.TargetView{}
		// leavingIncarnations maps a target to its incarnation that is leaving. It stays
		// unusable until the target announces another one.
		leavingIncarnations := map[string]string{}
		name := func() string { return fmt.Sprintf("t%d", rapid.IntRange(0, 4).Draw(t, "target")) }
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				v := view(name())
				v.Leaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 0
				v.ZoneOut = rapid.IntRange(0, 3).Draw(t, "out") == 0
				v.Info.Incarnation = fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "incarnation"))
				if v.Leaving {
					leavingIncarnations[v.Info.Name] = v.Info.Incarnation
				}
				if old, ok := views[v.Info.Name]; ok && old.Info.Incarnation != v.Info.Incarnation && !v.Leaving {
					delete(leavingIncarnations, v.Info.Name)
				}
				views[v.Info.Name] = v
				for _, r := range routers {
					r.Update(now, v.Agent, []plantainrail.TargetView{v})
				}
			},
			"vanish": func(*rapid.T) {
				gone := name()
				delete(views, gone)
				delete(leavingIncarnations, gone)
				for _, r := range routers {
					r.Update(now, gone, nil)
				}
			},
			"done": func(t *rapid.T) {
				target := name()
				took := time.Duration(rapid.IntRange(1, 500).Draw(t, "took")) * time.Millisecond
				result := plantainrail.TryResult(rapid.IntRange(0, 3).Draw(t, "result"))
				for _, r := range routers {
					r.Sent(now, target)
					r.Done(now, target, took, result)
				}
			},
			"tick": func(*rapid.T) { now = now.Add(700 * time.Millisecond) },
			"": func(t *rapid.T) {
				usable := 0
				for _, v := range views {
					if leavingIncarnations[v.Info.Name] == "" && !v.ZoneOut {
						usable++
					}
				}
				got, ok := router.Pick(now, "match", nil)
				if ok != (usable > 0) {
					t.Fatalf("the router picked a target: %v, although %d targets are usable", ok, usable)
				}
				if v := views[got.Info.Name]; ok && (leavingIncarnations[v.Info.Name] != "" || v.ZoneOut) {
					t.Fatalf("the router picked %s, which is leaving or in a zone that is out of service", got.Info.Name)
				}
				if _, found := roundRobin.Pick(now, "match", nil); found != (len(views) > 0) {
					t.Fatal("the round-robin router picked no target or picked a removed one")
				}
			},
		})
	})
}
