package decider

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

// Guards against jobs that are accepted and never run, since the store has no room for their
// progress.
func TestNewJobsNeedRoom(t *testing.T) {
	for _, c := range []struct {
		name  string
		bytes int64
		// fullSince is the time since the store has refused an append.
		fullSince time.Duration
		room      bool
	}{
		{"half full", halfFullBytes, time.Hour, true},
		{"nearly full", nearlyFullBytes, time.Hour, false},
		{"full", 0, 0, false},
		{"full a while ago", 0, fullPause, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_700_000_000, 0)
			store := &appendOnlyStore{}
			d := New(Options{Logger: zap.NewNop(), Now: func() time.Time { return now }, Store: store})
			d.operators.asOf, d.storeSize = now, storeSize{bytes: c.bytes, fullAt: now.Add(-c.fullSince)}
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go func() { _ = d.writer.run(ctx) }()
			reply := d.Submit(ctx, plantainrail.Workflow{ID: "a"})
			assert.Equal(t, reply.Result == plantainrail.CallOK, c.room)
			assert.Equal(t, reply.Result == plantainrail.CallUnavailable, !c.room)

			submission, err := planner.NewJobRecord(plantainrail.Workflow{ID: "b"})
			assert.NilError(t, err)
			for _, r := range []plantainrail.KeyedRecord{submission, planner.NewCancelRecord("c")} {
				answer := httptest.NewRecorder()
				d.serveWrite(answer, httptest.NewRequest(http.MethodPost, forwardPath, bytes.NewReader(encode(t, r))))
				assert.Equal(t, answer.Code == http.StatusOK, c.room || r.Key == "c/c", r.Key)
			}
		})
	}
}

// Guards against a store that fills without a warning.
func TestFillingStoreIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.InfoLevel)
		var reported int64
		d := New(Options{Logger: zap.New(core), Now: time.Now, ReportStoreBytes: func(n int64) { reported = n }})
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = d.watchStore(ctx) }()
		for _, c := range []struct {
			bytes, lines int
		}{{halfFullBytes - 1, 0}, {halfFullBytes, 1}, {nearlyFullBytes - 1, 1}, {nearlyFullBytes, 2}, {maxStoredBytes, 2}, {0, 2}, {maxStoredBytes, 4}} {
			d.mu.Lock()
			d.jobs.keys["k"] = newestRecord{bytes: c.bytes}
			d.mu.Unlock()
			time.Sleep(storeWatchInterval + time.Millisecond)
			assert.Equal(t, logs.Len(), c.lines, "%d bytes", c.bytes)
			assert.Equal(t, reported, int64(c.bytes))
		}
		stop()
		synctest.Wait()
	})
}

// answersStore answers appends in turn and keeps them.
type answersStore struct {
	callStore
	answers []error
}

func (s *answersStore) Append(_ context.Context, call plantainrail.AppendCall) (plantainrail.Offset, error) {
	s.calls = append(s.calls, call)
	err := s.answers[0]
	s.answers = s.answers[1:]
	return 0, err
}

// Guards against ends that are acknowledged without being stored: the store takes an append for a
// repeat if one without records that had no answer has used up its number.
func TestOwnerInAFullStoreKeepsItsNumbersApart(t *testing.T) {
	lost, full, away := errors.New("no answer"), errors.Wrap(plantainrail.ErrFull, "507"), errors.Wrap(plantainrail.ErrRejected, "503")
	for _, c := range []struct {
		name    string
		answers []error
		// sequences are the numbers of the appends; negative for those without records.
		sequences []int64
		fails     bool
	}{
		{"confirmed", []error{full, nil, full, nil, nil}, []int64{5, -5, 6, -6, 7}, false},
		{"not confirmed", []error{full, away, nil}, []int64{5, -5, 5}, false},
		{"confirmation without an answer", []error{full, lost, away, nil, nil}, []int64{5, -5, -5, -5, 6}, false},
		{"replaced", []error{full, plantainrail.ErrFenced}, []int64{5, -5}, true},
		{"the store is away", []error{away, lost, nil}, []int64{5, 5, 5}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &answersStore{answers: c.answers}
				o := newOwner(New(Options{Logger: zap.NewNop(), Now: time.Now, Store: store}), 1)
				o.sequence = 5
				_, err := o.append(t.Context(), []plantainrail.KeyedRecord{{Key: "a", Value: []byte{1}}})
				assert.Equal(t, err != nil, c.fails)
				var sequences []int64
				for _, call := range store.calls {
					n := call.Writer.Sequence
					if len(call.Records) == 0 {
						n = -n
					}
					sequences = append(sequences, n)
				}
				assert.DeepEqual(t, sequences, c.sequences)
			})
		})
	}
}
