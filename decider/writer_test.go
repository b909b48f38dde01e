package decider

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

// unresponsiveStore does not answer appends that begin before unresponsiveUntil. It
// counts how many times each job was sent to it.
type unresponsiveStore struct {
	plantainrail.Store
	unresponsiveUntil time.Time

	mu   sync.Mutex
	sent map[string]int
}

func (s *unresponsiveStore) Append(ctx context.Context, call plantainrail.AppendCall) (plantainrail.Offset, error) {
	s.mu.Lock()
	for _, r := range call.Records {
		s.sent[planner.JobID(r)]++
	}
	s.mu.Unlock()
	if time.Now().Before(s.unresponsiveUntil) {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return 1, nil
}

// appendResult is the error of one append, and how long the append took.
type appendResult struct {
	err  error
	took time.Duration
}

// appendDuringOutage appends jobs while the store does not answer for the
// duration of the outage. delays gives, by job, how long after the start of the
// outage the job is appended. The timeout bounds each append.
// appendDuringOutage returns the results by job, and how many times each job was
// sent to the store.
func appendDuringOutage(t *testing.T, outage, timeout time.Duration, delays map[string]time.Duration) (map[string]appendResult, map[string]int) {
	t.Helper()
	s := &unresponsiveStore{unresponsiveUntil: time.Now().Add(outage), sent: map[string]int{}}
	w := newWriter(s, plantainrail.StoreLimits{}, zap.NewNop())
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = w.run(ctx) }()
	var mu sync.Mutex
	var group sync.WaitGroup
	out := map[string]appendResult{}
	for id, after := range delays {
		group.Go(func() {
			time.Sleep(after)
			begin := time.Now()
			call, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			err := w.append(call, plantainrail.KeyedRecord{Key: "j/" + id, Value: []byte{1}})
			mu.Lock()
			defer mu.Unlock()
			out[id] = appendResult{err, time.Since(begin)}
		})
	}
	group.Wait()
	return out, s.sent
}

// Load pattern: outage. Guards against jobs of which nobody knows whether they are
// stored: only writes that were sent before the outage was noticed may stay
// uncertain. Later ones must be rejected soon and never be sent, so that clients
// can safely submit them again.
func TestUnresponsiveStoreRejectsLaterWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out, sent := appendDuringOutage(t, 10*time.Second, 3*time.Second, map[string]time.Duration{
			"first": 0, "second": 200 * time.Millisecond, "third": 1500 * time.Millisecond,
		})
		assert.ErrorIs(t, out["first"].err, context.DeadlineExceeded)
		assert.Assert(t, out["first"].took >= 3*time.Second, "the write failed after only %s", out["first"].took)
		for _, id := range []string{"second", "third"} {
			assert.ErrorIs(t, out[id].err, plantainrail.ErrRejected)
			assert.Assert(t, out[id].took <= rejectedWriteTimeout, "%s was rejected only after %s", id, out[id].took)
			assert.Equal(t, sent[id], 0, "%s was rejected although it was sent", id)
		}
	})
}

// Load pattern: outage. A write that may have been stored must complete once the
// store answers again, and so must a write that begins after the outage.
func TestWriteCompletesAfterStoreRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out, _ := appendDuringOutage(t, 1700*time.Millisecond, 3*time.Second, map[string]time.Duration{"first": 0, "late": 2300 * time.Millisecond})
		assert.NilError(t, out["first"].err)
		assert.NilError(t, out["late"].err)
	})
}

// scriptedStore fails each append with the next of its errors, and with the last one
// from then on. Without errors an append succeeds.
type scriptedStore struct {
	plantainrail.Store
	errs []error
}

func (s *scriptedStore) Append(context.Context, plantainrail.AppendCall) (plantainrail.Offset, error) {
	if len(s.errs) == 0 {
		return 1, nil
	}
	err := s.errs[0]
	if len(s.errs) > 1 {
		s.errs = s.errs[1:]
	}
	return 0, err
}

// Load pattern: slow store beside restarts. Guards against a job that is reported as not
// accepted although it runs: the store did not answer the first try, which took effect,
// and rejected the later ones as overloaded.
func TestRejectionAfterUnansweredTryIsUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unanswered := errors.New("no answer")
		rejected := errors.Wrap(plantainrail.ErrRejected, "status 503")
		for _, c := range []struct {
			name      string
			errs      []error
			uncertain bool
		}{
			{"unanswered, then rejected", []error{unanswered, rejected}, true},
			{"rejected, unanswered, rejected", []error{rejected, unanswered, rejected}, true},
			{"rejected always", []error{rejected}, false},
		} {
			ctx, stop := context.WithCancel(t.Context())
			w := newWriter(&scriptedStore{errs: c.errs}, plantainrail.StoreLimits{}, zap.NewNop())
			go func() { _ = w.run(ctx) }()
			call, cancel := context.WithTimeout(ctx, 2*time.Second)
			err := w.append(call, plantainrail.KeyedRecord{Key: "j/a", Value: []byte{1}})
			cancel()
			stop()
			assert.Equal(t, !errors.Is(err, plantainrail.ErrRejected), c.uncertain, "%s: %v", c.name, err)
		}
	})
}

// fullStore never accepts an append with a record of more than maxValue bytes, or with more
// than maxRecords records. It keeps the keys of the records that it has accepted.
type fullStore struct {
	plantainrail.Store
	maxValue, maxRecords int
	accepted             []string
}

func (s *fullStore) Append(_ context.Context, call plantainrail.AppendCall) (plantainrail.Offset, error) {
	refused := len(call.Records) > s.maxRecords
	for _, r := range call.Records {
		refused = refused || len(r.Value) > s.maxValue
	}
	time.Sleep(10 * time.Millisecond)
	if refused {
		return 0, errors.Wrap(plantainrail.ErrUnacceptable, "status 413")
	}
	for _, r := range call.Records {
		s.accepted = append(s.accepted, r.Key)
	}
	return 1, nil
}

// Guards against jobs that are turned away, or of which nobody knows whether they are stored,
// since the store never takes another job of the same append, or so many.
func TestRefusedRecordFailsItsOwnWriteOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		s := &fullStore{maxValue: 10, maxRecords: 5}
		w := newWriter(s, plantainrail.StoreLimits{}, zap.NewNop())
		go func() { _ = w.run(ctx) }()
		var group sync.WaitGroup
		for i := range 10 {
			group.Go(func() {
				err := w.append(ctx, plantainrail.KeyedRecord{Key: fmt.Sprint("j/", i), Value: make([]byte, 1+i%2*10)})
				assert.Check(t, errors.Is(err, plantainrail.ErrUnacceptable) == (i%2 == 1), "job %d: %v", i, err)
				assert.Check(t, i%2 == 1 || err == nil, "job %d: %v", i, err)
			})
		}
		group.Wait()
		slices.Sort(s.accepted)
		assert.DeepEqual(t, s.accepted, []string{"j/0", "j/2", "j/4", "j/6", "j/8"})
	})
}

// Guards against an append of many large jobs that the store refuses (see StoreLimits).
func TestBatchKeepsWithinTheLimitOfACall(t *testing.T) {
	w := newWriter(nil, plantainrail.StoreLimits{RecordBytes: 100, CallBytes: 350}, zap.NewNop())
	for range 20 {
		w.queue <- &pendingWrite{record: plantainrail.KeyedRecord{Key: "j/a", Value: make([]byte, 96)}}
	}
	assert.Equal(t, len(w.fillBatch(nil)), 3)
}
