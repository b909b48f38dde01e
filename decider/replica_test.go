package decider

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
)

// claimStore sends the times of appends to a channel.
type claimStore struct {
	plantainrail.Store
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
