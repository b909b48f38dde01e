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

// init fixes the seed of the random histories; -rapid.seed tries another one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func view(name string) plantainrail.TargetView {
	return plantainrail.TargetView{
		Info:  plantainrail.TargetInfo{Name: name, Incarnation: "1", Kinds: []string{"match"}, Slots: 8, Connections: 64},
		Agent: name, Zone: "a",
	}
}

// learned returns a router that has seen answers from a fast and a slow target.
func learned() (*Router, time.Time) {
	r := New("a", 1)
	now := epoch
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

func TestTwoChoicesAreDistinct(t *testing.T) {
	r, now := learned()
	for range 200 {
		got, ok := r.Pick(now, "match", nil)
		assert.Assert(t, ok)
		assert.Equal(t, got.Info.Name, "fast")
	}
}

func TestLateAnswerTellsOfASlowTarget(t *testing.T) {
	r, now := learned()
	r.Sent(now, "fast")
	got, _ := r.Pick(now.Add(time.Second/2), "match", nil)
	assert.Equal(t, got.Info.Name, "slow")
}

func TestFailingTargetIsEjectedWithinTheCeiling(t *testing.T) {
	r := New("a", 1)
	names := []string{"a", "b", "c", "d", "e", "f"}
	for _, name := range names {
		r.Update(epoch, name, []plantainrail.TargetView{view(name)})
	}
	for _, name := range names {
		for range failureLimit {
			r.Sent(epoch, name)
			r.Done(epoch, name, time.Millisecond, plantainrail.ResultFailed)
		}
	}
	ejected := 0
	for _, s := range r.Targets(epoch) {
		if s.State == stateEjected {
			ejected++
		}
	}
	assert.Equal(t, ejected, 2)
}

func TestRetryBudget(t *testing.T) {
	r := New("a", 1)
	r.Update(epoch, "x", []plantainrail.TargetView{view("x")})
	spent := 0
	const requests = 10_000
	for range requests {
		r.Sent(epoch, "x")
		if r.Spend() {
			spent++
		}
	}
	assert.Assert(t, float64(spent) <= budgetShare*requests+budgetMax)
}

// TestDifferentialWithTheNaiveRouter drives the router and the naive one with
// the same random history. Both find a target in the same cases, as far as the
// naive one looks; the router never chooses one that leaves or whose zone is out.
func TestDifferentialWithTheNaiveRouter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		product, naive := New("a", 1), rotator.New()
		both := []plantainrail.Router{product, naive}
		now := epoch
		views := map[string]plantainrail.TargetView{}
		// left holds the incarnation that left; it does not come back.
		left := map[string]string{}
		name := func() string { return fmt.Sprintf("t%d", rapid.IntRange(0, 4).Draw(t, "target")) }
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				v := view(name())
				v.Leaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 0
				v.ZoneOut = rapid.IntRange(0, 3).Draw(t, "out") == 0
				v.Info.Incarnation = fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "incarnation"))
				if v.Leaving {
					left[v.Info.Name] = v.Info.Incarnation
				}
				if old, ok := views[v.Info.Name]; ok && old.Info.Incarnation != v.Info.Incarnation && !v.Leaving {
					delete(left, v.Info.Name)
				}
				views[v.Info.Name] = v
				for _, r := range both {
					r.Update(now, v.Agent, []plantainrail.TargetView{v})
				}
			},
			"vanish": func(*rapid.T) {
				gone := name()
				delete(views, gone)
				delete(left, gone)
				for _, r := range both {
					r.Update(now, gone, nil)
				}
			},
			"done": func(t *rapid.T) {
				target := name()
				took := time.Duration(rapid.IntRange(1, 500).Draw(t, "took")) * time.Millisecond
				result := plantainrail.Result(rapid.IntRange(0, 3).Draw(t, "result"))
				for _, r := range both {
					r.Sent(now, target)
					r.Done(now, target, took, result)
				}
			},
			"tick": func(*rapid.T) { now = now.Add(700 * time.Millisecond) },
			"": func(t *rapid.T) {
				usable := 0
				for _, v := range views {
					if left[v.Info.Name] == "" && !v.ZoneOut {
						usable++
					}
				}
				got, ok := product.Pick(now, "match", nil)
				if ok != (usable > 0) {
					t.Fatalf("picked %v of %d usable targets", ok, usable)
				}
				if v := views[got.Info.Name]; ok && (left[v.Info.Name] != "" || v.ZoneOut) {
					t.Fatalf("picked %s", got.Info.Name)
				}
				if _, found := naive.Pick(now, "match", nil); found != (len(views) > 0) {
					t.Fatal("the naive router lost a target")
				}
			},
		})
	})
}
