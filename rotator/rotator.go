// Package rotator implements the naive router that benchmarks use as a baseline: round
// robin over the targets of a kind. It ignores load, failures, leaving targets and zones
// that are out of service, never hedges, and does not limit retries. It performs no I/O.
package rotator

import (
	"slices"
	"time"

	"github.com/plantainrail/plantainrail"
)

// Router implements plantainrail.Router with round robin.
type Router struct {
	// agents holds the targets that each agent last reported.
	agents map[string][]plantainrail.TargetView
	// next counts the picks.
	next int
}

// New returns a Router without targets.
func New() *Router {
	return &Router{agents: map[string][]plantainrail.TargetView{}}
}

// Update implements plantainrail.Router. It replaces the targets of an agent.
func (r *Router) Update(_ time.Time, agent string, views []plantainrail.TargetView) {
	r.agents[agent] = views
}

// Pick implements plantainrail.Router. It returns the next target of the kind in
// the order of names, without those excluded.
func (r *Router) Pick(_ time.Time, kind string, exclude map[string]bool) (plantainrail.TargetView, bool) {
	var candidates []plantainrail.TargetView
	for _, views := range r.agents {
		for _, v := range views {
			if slices.Contains(v.Info.Kinds, kind) && !exclude[v.Info.Name] {
				candidates = append(candidates, v)
			}
		}
	}
	if len(candidates) == 0 {
		return plantainrail.TargetView{}, false
	}
	slices.SortFunc(candidates, func(a, b plantainrail.TargetView) int {
		if a.Info.Name < b.Info.Name {
			return -1
		}
		return 1
	})
	r.next++
	return candidates[r.next%len(candidates)], true
}

// Sent implements plantainrail.Router; this one ignores it.
func (r *Router) Sent(time.Time, string) {}

// Done implements plantainrail.Router; this one ignores it.
func (r *Router) Done(time.Time, string, time.Duration, plantainrail.TryResult) {}

// HedgeAfter implements plantainrail.Router; this one never hedges.
func (r *Router) HedgeAfter(string) time.Duration { return 0 }

// TakeRetry implements plantainrail.Router; this one has no retry budget and always
// allows a retry.
func (r *Router) TakeRetry() bool { return true }
