package ranker_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/ranker"
)

// Load pattern: a backlog of several times the objectives. Guards against the refusal of jobs that may still be of
// value, and against refused clients that all return at the same time.
func TestRefuse(t *testing.T) {
	// The objective is 3 s, so an end after 36 s by estimates is after 9 s also if it is computed four times too late.
	offer := ranker.Offer{Priority: 2, Chain: time.Second, StretchFactor: 2, Slack: time.Second}
	with := func(change func(*ranker.Offer)) ranker.Offer {
		o := offer
		change(&o)
		return o
	}
	for _, c := range []struct {
		name    string
		backlog ranker.Backlog
		offer   ranker.Offer
		// first and last are the earliest and the latest retry; 0 means that the job is not refused.
		first, last time.Duration
	}{
		{"no backlog", ranker.Backlog{}, offer, 0, 0},
		{"just in time", ranker.Backlog{TaskMS: 35_000}, offer, 0, 0},
		{"fillers ahead of a task", ranker.Backlog{FillerMS: 60_000}, offer, 0, 0},
		{"a little late", ranker.Backlog{TaskMS: 36_000}, offer, time.Second, 5 * time.Second},
		{"late", ranker.Backlog{TaskMS: 45_000}, offer, 10 * time.Second, 20 * time.Second},
		{"very late", ranker.Backlog{TaskMS: 1 << 40}, offer, 30 * time.Second, 60 * time.Second},
		{"a late filler", ranker.Backlog{FillerMS: 45_000}, with(func(o *ranker.Offer) { o.Filler = true }), 10 * time.Second, 20 * time.Second},
		{"the highest priority", ranker.Backlog{TaskMS: 60_000}, with(func(o *ranker.Offer) { o.Priority = 0 }), 0, 0},
		{"no estimate", ranker.Backlog{TaskMS: 60_000}, with(func(o *ranker.Offer) { o.Chain = 0 }), 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			first, refused := c.backlog.Refuse(c.offer, 0)
			assert.Equal(t, refused, c.first > 0)
			assert.Equal(t, first, c.first)
			if !refused {
				return
			}
			excess := 1 - 36_000/float64(max(c.backlog.TaskMS, c.backlog.FillerMS)+1000)
			last, _ := c.backlog.Refuse(c.offer, excess*0.999_999)
			assert.Equal(t, last.Round(time.Millisecond), c.last)
			_, refused = c.backlog.Refuse(c.offer, excess*1.000_001)
			assert.Assert(t, !refused, "more are refused than the backlog is too long")
		})
	}
}
