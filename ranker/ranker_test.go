package ranker_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/ranker"
)

var now = time.Unix(1_700_000_000, 0)

// work returns work of 1 s with an objective of 3 s that was accepted the given time ago.
func work(arrival int64, age time.Duration) ranker.Work {
	w := ranker.Work{Arrival: arrival, Since: now.Add(-age), Chain: time.Second, ChainLeft: time.Second, Left: 1e6}
	w.Objective = ranker.Objective(w.Since, w.Chain, 2, time.Second)
	return w
}

// Load pattern: more work than capacity. Guards against capacity for work that ends too late while other work
// could still be in time, and against a change of the order where there is capacity for all.
func TestOrderUnderScarcity(t *testing.T) {
	large := work(2, 4*time.Second)
	large.Left *= 8
	started := work(8, 500*time.Millisecond)
	started.Spent = 1
	wide := work(9, 0)
	wide.Left = 1e8
	urgent := work(10, 5*time.Second)
	urgent.Priority = -1
	all := []ranker.Work{
		work(1, 9*time.Second), large, work(3, 4*time.Second), work(4, time.Second), work(5, 100*time.Millisecond),
		{Arrival: 6, Since: now.Add(-time.Hour)},
		work(7, 0), started, wide, urgent,
	}
	order := func(scarce bool) (out []int64) {
		sorted := slices.Clone(all)
		slices.SortStableFunc(sorted, func(a, b ranker.Work) int {
			return a.Key(scarce, 10_000, now).Compare(b.Key(scarce, 10_000, now))
		})
		for _, w := range sorted {
			out = append(out, w.Arrival)
		}
		return out
	}
	// The wide job needs 10 s of the whole capacity, so it cannot meet its objective.
	assert.DeepEqual(t, order(true), []int64{10, 8, 5, 6, 7, 4, 3, 2, 9, 1})
	assert.DeepEqual(t, order(false), []int64{10, 1, 2, 3, 4, 5, 6, 7, 8, 9})
}
