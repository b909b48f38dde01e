// Package rotator is the naive router that measurements compare against: round
// robin over the targets of a kind, without limits, and a plain retry.
package rotator

import (
	"slices"
	"time"

	"github.com/plantainrail/plantainrail"
)

// Rotator implements plantainrail.Router by round robin.
type Rotator struct {
	agents map[string][]plantainrail.TargetView
	next   int
}

// New returns a Rotator without targets.
func New() *Rotator {
	return &Rotator{agents: map[string][]plantainrail.TargetView{}}
}

// Update implements plantainrail.Router.
func (r *Rotator) Update(_ time.Time, agent string, views []plantainrail.TargetView) {
	r.agents[agent] = views
}

// Pick implements plantainrail.Router.
func (r *Rotator) Pick(_ time.Time, kind string, exclude map[string]bool) (plantainrail.TargetView, bool) {
	var list []plantainrail.TargetView
	for _, views := range r.agents {
		for _, v := range views {
			if slices.Contains(v.Info.Kinds, kind) && !exclude[v.Info.Name] {
				list = append(list, v)
			}
		}
	}
	if len(list) == 0 {
		return plantainrail.TargetView{}, false
	}
	slices.SortFunc(list, func(a, b plantainrail.TargetView) int {
		if a.Info.Name < b.Info.Name {
			return -1
		}
		return 1
	})
	r.next++
	return list[r.next%len(list)], true
}

// Sent implements plantainrail.Router.
func (r *Rotator) Sent(time.Time, string) {}

// Done implements plantainrail.Router.
func (r *Rotator) Done(time.Time, string, time.Duration, plantainrail.Result) {}

// HedgeAfter implements plantainrail.Router; a Rotator never hedges.
func (r *Rotator) HedgeAfter(string) time.Duration { return 0 }

// Spend implements plantainrail.Router; a Rotator always retries.
func (r *Rotator) Spend() bool { return true }
