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
		d.applyReplicas(plantainrail.KeyedBatch{})
		readAt := time.Now()
		waited := (<-store.appended).Sub(readAt)
		assert.Assert(t, waited >= claimDelay(d.Cores) && waited <= claimDelay(d.Cores)+claimJitter, "claimed after %s", waited)
	})
}
