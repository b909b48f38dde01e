package decider

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/linker"
	"github.com/plantainrail/plantainrail/planner"
)

// Guards against starts that rest on views which are too old (EVAC, UNASKED, TWICE), and against
// starts that wait without need (LOST).
func TestStartsWaitForViewsThatAreTooOld(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	ago := func(ms int) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name                       string
		operators, jobs, confirmed time.Time
		// left is the time that the orders leave to the agents, in milliseconds.
		left    int
		waiting bool
	}{
		{"all read now", now, now, now, 2500, false},
		{"as old as in ordinary life", ago(1250), ago(550), ago(20), 1950, false},
		{"operators' records not read", ago(4001), now, now, 499, true},
		{"operators' records just young enough", ago(4000), now, now, 500, false},
		{"jobs not read", now, ago(2001), now, 499, true},
		{"jobs just young enough", now, ago(2000), now, 500, false},
		{"slow write", now, now, ago(2001), 499, true},
		{"nothing read yet", time.Time{}, now, now, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := New(Options{Logger: zap.NewNop(), Now: func() time.Time { return now }})
			o := newOwner(d, 1)
			o.noteRead(c.operators, c.jobs)
			o.confirmedWriteAt = c.confirmed
			// No view is read in this test.
			o.reading = true
			until, enough := o.startLimit()
			assert.Equal(t, enough, !c.waiting)
			if !c.operators.IsZero() {
				assert.Equal(t, until.Sub(now), time.Duration(c.left)*time.Millisecond)
				limit := o.limitFor(&agentSession{heard: 7, heardAt: ago(300)})
				assert.DeepEqual(t, *limit, linker.StartLimit{Heard: 7, WithinMS: int64(c.left) + 300})
			}
			stored := make([]planner.Assignment, 2)
			assert.Equal(t, len(o.releaseStarts(t.Context(), stored)) == 0, c.waiting)
			// Once all is read, those that have waited are ordered with the next ones.
			o.noteRead(now, now)
			o.confirmedWriteAt = now
			assert.Equal(t, len(o.releaseStarts(t.Context(), stored[:1])) == 3, c.waiting)
		})
	}
}

// Guards against an owner that takes its views for newer than what was read.
func TestOwnerKnowsHowOldItsViewsAre(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	d := New(Options{Logger: zap.NewNop(), Now: func() time.Time { return now }})
	d.owner = newOwner(d, 1)
	for i, v := range []*view{d.operators, d.jobs} {
		sentAt := now.Add(-time.Duration(i+1) * time.Second)
		d.applyRead(t.Context(), v, readResult{from: unread, sentAt: sentAt, batch: plantainrail.KeyedBatch{Next: 3, End: 3}, complete: true})
		assert.Equal(t, []time.Time{d.owner.operatorsAsOf, d.owner.jobsAsOf}[i], sentAt)
	}
}

// Guards against bounds of other deployments within which no start would ever be young enough.
func TestStartBoundsLeaveTimeForPolls(t *testing.T) {
	for _, bound := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second, 5 * time.Second, time.Minute} {
		b := startBound(bound)
		wait := b.pollWait(configurationPollWait)
		assert.Check(t, wait > 0 && wait <= configurationPollWait)
		asOf := time.Unix(1_700_000_000, 0)
		// The view is at most twice as old as a poll lasts.
		assert.Check(t, !b.limit(asOf).Before(asOf.Add(2*wait+b.window())), "bound %s, poll %s", bound, wait)
		assert.Check(t, b.limit(asOf).Before(asOf.Add(bound)))
	}
}
