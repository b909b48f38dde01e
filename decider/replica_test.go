package decider

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

// claimStore sends the times of appends to a channel.
type claimStore struct {
	emptyStore
	appended chan time.Time
}

func (s *claimStore) Append(context.Context, plantainrail.AppendCall) (plantainrail.Offset, error) {
	s.appended <- time.Now()
	return 0, nil
}

// Guards against a small entry that becomes the replica at a start, because a larger one
// adds the time until its next ping to its claim delay.
func TestFirstClaimFollowsTheReadAfterTheClaimDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &claimStore{appended: make(chan time.Time, 1)}
		d := New(Options{Name: "entry", Zone: "zone", Cores: 0.8, Store: store, Now: time.Now, Logger: zap.NewNop()})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go func() { _ = d.maintainReplica(ctx) }()
		// The entry has looked for claims before they are read.
		synctest.Wait()
		d.mu.Lock()
		d.applyReplicas(plantainrail.KeyedBatch{})
		d.mu.Unlock()
		readAt := time.Now()
		waited := (<-store.appended).Sub(readAt)
		delay := claimDelay(d.Cores, replicaClaim{})
		assert.Assert(t, waited >= delay && waited <= delay+claimJitter, "claimed after %s", waited)
	})
}

// Guards against a small entry that claims a resigned place before a large one, whose next
// ping may be a whole interval away.
func TestLargeEntryClaimsResignedPlaceFirst(t *testing.T) {
	for _, c := range []struct{ earlier, large, small float64 }{
		{0.8, 0.8, 0.2},
		{1, 1, 0.5},
		{1, 0.6, 0.1},
		{4, 3, 0},
		{0.06, 0.06, 0.03},
	} {
		earlier := replicaClaim{Cores: c.earlier, Resigned: true}
		latest := replicaPingInterval + claimDelay(c.large, earlier) + claimJitter
		assert.Assert(t, claimDelay(c.small, earlier) >= latest, "%v: %s and %s", c, claimDelay(c.small, earlier), latest)
	}
	unknown := replicaClaim{Resigned: true}
	assert.Equal(t, claimDelay(0, unknown), maxClaimDelay)
}

// Guards against an entry that has just become the replica and answers from a catalog that it has
// not read: no job is pending, or jobs that have begun are (MIXED).
func TestReplicaAnswersOnlyFromWhatItHasRead(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, c := range []struct {
		name string
		// read lists the views that were read, as of the given time before now.
		read func(d *Decider) []*view
		age  time.Duration
		// pinged is set if the earlier replica has answered a ping lately.
		pinged      bool
		want        int
		unavailable bool
	}{
		{"nothing read", func(*Decider) []*view { return nil }, 0, false, 0, true},
		{"nothing read, pinged", func(*Decider) []*view { return nil }, 0, true, 40, false},
		{"only the jobs read, pinged", func(d *Decider) []*view { return []*view{d.jobs} }, 0, true, 40, false},
		{"only progress read", func(d *Decider) []*view { return []*view{d.progress} }, 0, false, 0, true},
		{"both read", func(d *Decider) []*view { return []*view{d.jobs, d.progress} }, 0, true, 1, false},
		{"progress read long ago", func(d *Decider) []*view { d.jobs.asOf = now; return []*view{d.progress} }, maxJobsAge, true, 0, true},
		{"both read long ago", func(d *Decider) []*view { return []*view{d.jobs, d.progress} }, maxJobsAge, true, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := New(Options{Name: "a", Zone: "z", Logger: zap.NewNop(), Now: func() time.Time { return now }})
			makeReplica(d)
			d.ownerSeenAt = now
			record, err := planner.NewJobRecord(plantainrail.Workflow{ID: "1", Queue: plantainrail.Queue{Name: "q"}})
			assert.NilError(t, err)
			assert.NilError(t, d.catalog.ApplyJob(record))
			for _, v := range c.read(d) {
				v.asOf = now.Add(-c.age)
			}
			if c.pinged {
				d.pending, d.pendingReadAt = map[string]int{"q": 40}, now
			}
			pending, reply := d.PendingJobs(t.Context(), "q")
			assert.Equal(t, reply.Result == plantainrail.CallUnavailable, c.unavailable)
			assert.Equal(t, pending, c.want)
		})
	}
}
