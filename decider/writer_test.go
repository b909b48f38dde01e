package decider

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

// silentStore answers no append that begins before an instant, and keeps the keys
// that it was sent.
type silentStore struct {
	plantainrail.Store
	until time.Time

	mu   sync.Mutex
	sent map[string]int
}

func (s *silentStore) Append(ctx context.Context, call plantainrail.AppendCall) (plantainrail.Offset, error) {
	s.mu.Lock()
	for _, r := range call.Records {
		s.sent[planner.JobOf(r)]++
	}
	s.mu.Unlock()
	if time.Now().Before(s.until) {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return 1, nil
}

// offered is what became of a job.
type offered struct {
	err  error
	took time.Duration
}

// offer hands jobs in at instants after the store has gone silent.
func offer(t *testing.T, silence, deadline time.Duration, at map[string]time.Duration) (map[string]offered, map[string]int) {
	t.Helper()
	s := &silentStore{until: time.Now().Add(silence), sent: map[string]int{}}
	w := newWriter(s, zap.NewNop())
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = w.run(ctx) }()
	var mu sync.Mutex
	var group sync.WaitGroup
	out := map[string]offered{}
	for id, after := range at {
		group.Go(func() {
			time.Sleep(after)
			begin := time.Now()
			call, cancel := context.WithTimeout(ctx, deadline)
			defer cancel()
			err := w.append(call, plantainrail.KeyedRecord{Key: "j/" + id, Value: []byte{1}})
			mu.Lock()
			defer mu.Unlock()
			out[id] = offered{err, time.Since(begin)}
		})
	}
	group.Wait()
	return out, s.sent
}

// Pattern: outage. Only what was sent before the silence was noticed stays
// unknown; what comes later is refused, truly and soon, and may come again.
func TestSilentStoreLeavesFewWritesUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out, sent := offer(t, 10*time.Second, 3*time.Second, map[string]time.Duration{
			"first": 0, "second": 200 * time.Millisecond, "third": 1500 * time.Millisecond,
		})
		assert.ErrorIs(t, out["first"].err, context.DeadlineExceeded)
		assert.Assert(t, out["first"].took >= 3*time.Second, "given up after %s", out["first"].took)
		for _, id := range []string{"second", "third"} {
			assert.ErrorIs(t, out[id].err, plantainrail.ErrNotDone)
			assert.Assert(t, out[id].took <= refusedLimit, "%s was refused after %s", id, out[id].took)
			assert.Equal(t, sent[id], 0, "%s was refused and sent", id)
		}
	})
}

// A write that may have been done is settled once the store is back.
func TestWriteIsSettledWhenTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out, _ := offer(t, 1700*time.Millisecond, 3*time.Second, map[string]time.Duration{"first": 0, "late": 2300 * time.Millisecond})
		assert.NilError(t, out["first"].err)
		assert.NilError(t, out["late"].err)
	})
}
