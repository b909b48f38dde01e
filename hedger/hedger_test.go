package hedger_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/hedger"
)

// fakeStore answers each try with the next of its answers, and further tries with
// the last one.
type fakeStore struct {
	plantainrail.Store
	answers []answer

	mu    sync.Mutex
	tries int
}

// next returns the answer to the next try, and counts the try.
func (s *fakeStore) next() answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.answers[min(s.tries, len(s.answers)-1)]
	s.tries++
	return a
}

// answer is given after a delay, with an error or none. If silent is set, there
// is no answer and the try ends with its timeout.
type answer struct {
	after  time.Duration
	silent bool
	err    error
}

const tryTimeout = 2 * time.Second

var errLost = errors.New("connection lost")

// Append returns offset 7 and the answer's error, or the context's error if the try
// times out.
func (s *fakeStore) Append(ctx context.Context, _ plantainrail.AppendCall) (plantainrail.Offset, error) {
	a := s.next()
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	if a.silent {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	select {
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-time.After(a.after):
	}
	return 7, a.err
}

// A call must be tried again when a try stays without an answer, and must return
// the error that shows the caller whether the append may have taken effect.
func TestAppend(t *testing.T) {
	at := plantainrail.Offset(3)
	for _, c := range []struct {
		name    string
		call    plantainrail.AppendCall
		answers []answer
		// want is the expected error; nil means success.
		want error
		// within bounds the time that the call takes.
		within time.Duration
		tries  int
	}{
		{"answered at once", plantainrail.AppendCall{}, []answer{{after: 4 * time.Millisecond}}, nil, 5 * time.Millisecond, 1},
		{"slow store", plantainrail.AppendCall{}, []answer{{after: 400 * time.Millisecond}}, nil, 400 * time.Millisecond, 1},
		{"silent connection", plantainrail.AppendCall{}, []answer{{silent: true}, {after: 4 * time.Millisecond}}, nil, 510 * time.Millisecond, 2},
		{"two silent connections", plantainrail.AppendCall{}, []answer{{silent: true}, {silent: true}, {after: time.Millisecond}}, nil, 1010 * time.Millisecond, 3},
		{"rejected", plantainrail.AppendCall{}, []answer{{err: plantainrail.ErrRejected}}, plantainrail.ErrRejected, time.Millisecond, 1},
		{"never acceptable", plantainrail.AppendCall{}, []answer{{silent: true}, {err: plantainrail.ErrUnacceptable}}, plantainrail.ErrUnacceptable, 510 * time.Millisecond, 2},
		{"fenced", plantainrail.AppendCall{}, []answer{{silent: true}, {err: plantainrail.ErrFenced}}, plantainrail.ErrFenced, 510 * time.Millisecond, 2},
		{
			"rejected after a try that may have taken effect",
			plantainrail.AppendCall{},
			[]answer{{after: 600 * time.Millisecond, err: errLost}, {after: 200 * time.Millisecond, err: plantainrail.ErrRejected}},
			errLost, 710 * time.Millisecond, 2,
		},
		{
			"a try may have taken effect after a rejected one",
			plantainrail.AppendCall{},
			[]answer{{after: 600 * time.Millisecond, err: plantainrail.ErrRejected}, {after: 200 * time.Millisecond, err: errLost}},
			errLost, 710 * time.Millisecond, 2,
		},
		{"depends on the end", plantainrail.AppendCall{At: &at}, []answer{{silent: true}, {}}, context.DeadlineExceeded, tryTimeout, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeStore{answers: c.answers}
				begin := time.Now()
				offset, err := hedger.New(s, func() {}).Append(t.Context(), c.call)
				took := time.Since(begin)
				if c.want == nil {
					assert.NilError(t, err)
					assert.Equal(t, offset, plantainrail.Offset(7))
				} else {
					assert.ErrorIs(t, err, c.want)
				}
				assert.Assert(t, took <= c.within, "it took %s", took)
				synctest.Wait()
				assert.Equal(t, s.tries, c.tries)
			})
		})
	}
}

// Load pattern: outage. While a store does not answer, the number of pending tries
// must stay bounded and the caller must get an error within the timeout of one
// try. After the outage a call must succeed within half a second plus the caller's
// pause between retries.
func TestAppendSucceedsAfterOutage(t *testing.T) {
	const retryPause = 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		s := &outageStore{until: begin.Add(5700 * time.Millisecond)}
		h := hedger.New(s, func() {})
		failures := 0
		for {
			calledAt := time.Now()
			_, err := h.Append(t.Context(), plantainrail.AppendCall{})
			if err == nil {
				break
			}
			failures++
			assert.Assert(t, time.Since(calledAt) <= tryTimeout, "the call failed after %s", time.Since(calledAt))
			time.Sleep(retryPause)
		}
		assert.Assert(t, failures > 0)
		delay := time.Since(s.until)
		assert.Assert(t, delay <= 500*time.Millisecond+retryPause, "the call succeeded only %s after the end of the outage", delay)
		synctest.Wait()
		assert.Assert(t, s.maxPending <= 5, "%d tries were pending at the same time", s.maxPending)
	})
}

// outageStore is a store that does not answer calls that begin before the end
// of an outage.
type outageStore struct {
	plantainrail.Store
	until time.Time

	mu sync.Mutex
	// pending is the number of appends without an answer, maxPending its maximum.
	pending, maxPending int
}

func (s *outageStore) count(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending += change
	s.maxPending = max(s.maxPending, s.pending)
}

func (s *outageStore) Append(ctx context.Context, _ plantainrail.AppendCall) (plantainrail.Offset, error) {
	s.count(1)
	defer s.count(-1)
	if time.Now().After(s.until) {
		return 1, nil
	}
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	<-ctx.Done()
	return 0, ctx.Err()
}

// Read takes its answers from the same list as Append.
func (s *fakeStore) Read(ctx context.Context, _ string, from plantainrail.Offset, _ time.Duration) (plantainrail.KeyedBatch, error) {
	_, err := s.Append(ctx, plantainrail.AppendCall{})
	return plantainrail.KeyedBatch{Next: from + 1}, err
}

// A read may wait in the store for new records, so it is tried again only after
// its wait plus the hedge delay.
func TestRead(t *testing.T) {
	const wait = time.Second
	for _, c := range []struct {
		name    string
		answers []answer
		// within bounds the time that the read takes.
		within time.Duration
		tries  int
	}{
		{"nothing new", []answer{{after: wait}}, wait, 1},
		{"silent connection", []answer{{silent: true}, {after: time.Millisecond}}, wait + 510*time.Millisecond, 2},
		{"expired", []answer{{err: plantainrail.ErrExpired}}, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeStore{answers: c.answers}
				begin := time.Now()
				_, err := hedger.New(s, func() {}).Read(t.Context(), "jobs", 4, wait)
				took := time.Since(begin)
				if c.answers[0].err != nil {
					assert.ErrorIs(t, err, c.answers[0].err)
				} else {
					assert.NilError(t, err)
				}
				assert.Assert(t, took <= c.within, "it took %s", took)
				synctest.Wait()
				assert.Equal(t, s.tries, c.tries)
			})
		})
	}
}
