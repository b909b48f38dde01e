package decider

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

// absenceStore keeps the keys of the records that are appended, or fails all appends.
type absenceStore struct {
	emptyStore

	err  error
	keys []string
}

// Append implements plantainrail.Store.
func (s *absenceStore) Append(ctx context.Context, call plantainrail.AppendCall) (plantainrail.Offset, error) {
	if s.err == context.DeadlineExceeded {
		<-ctx.Done()
	}
	if s.err != nil {
		return 0, s.err
	}
	for _, r := range call.Records {
		s.keys = append(s.keys, r.Key)
	}
	return 0, nil
}

// Guards against a cancellation that is acknowledged although the job goes on (UNASKED): another entry has just accepted
// it, or its submission is still on its way to the store. The cancellation must be stored whatever was read, and "no such
// job" may be said only of an absence that was read after the call.
func TestAbsenceIsReadBeforeACancellationIsDenied(t *testing.T) {
	const timeout = 3 * time.Second
	read := func(d *Decider) { d.jobs.asOf = time.Now() }
	for _, c := range []struct {
		name string
		// later changes the entry 0.1 s after the call.
		later func(d *Decider)
		err   error
		want  plantainrail.CallResult
		keys  []string
	}{
		{"absence read", read, nil, plantainrail.CallNotFound, []string{"c/1"}},
		{"absence read, and the store refuses", read, plantainrail.ErrRejected, plantainrail.CallUnavailable, nil},
		{"absence read, and the store is silent", read, context.DeadlineExceeded, plantainrail.CallUncertain, nil},
		{"not read", func(*Decider) {}, nil, plantainrail.CallOK, []string{"c/1"}},
		{"job read", func(d *Decider) {
			record, err := planner.NewJobRecord(plantainrail.Workflow{ID: "1", Queue: plantainrail.Queue{Name: "q"}})
			assert.NilError(t, err)
			assert.NilError(t, d.catalog.ApplyJob(record))
			d.broadcastChange()
		}, nil, plantainrail.CallOK, []string{"c/1"}},
		{"not read, and the store refuses", func(*Decider) {}, plantainrail.ErrRejected, plantainrail.CallUnavailable, nil},
		{"not read, and the store is silent", func(*Decider) {}, context.DeadlineExceeded, plantainrail.CallUncertain, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &absenceStore{err: c.err}
				d := New(Options{Name: "a", Zone: "z", Store: store, Logger: zap.NewNop(), Now: time.Now})
				makeReplica(d)
				d.ownerSeenAt, d.jobs.asOf, d.progress.asOf = time.Now(), time.Now(), time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				go func() { _ = d.writer.run(t.Context()) }()
				time.Sleep(100 * time.Millisecond)
				time.AfterFunc(100*time.Millisecond, func() {
					d.mu.Lock()
					defer d.mu.Unlock()
					c.later(d)
				})
				reply := d.Cancel(ctx, "1")
				assert.Equal(t, reply.Result, c.want)
				assert.DeepEqual(t, store.keys, c.keys)
			})
		})
	}
}

// Guards against an answer of a replica of an earlier build, which does not tell what it has read, that counts
// as proof.
func TestAbsenceNeedsTheAnswerToTellSo(t *testing.T) {
	for _, c := range []struct {
		answer jobAnswer
		absent bool
	}{
		{jobAnswer{Result: plantainrail.CallNotFound, Fresh: true}, false},
		{jobAnswer{Result: plantainrail.CallNotFound, Fresh: true, AbsenceRead: true}, true},
		{jobAnswer{Result: plantainrail.CallUnavailable, AbsenceRead: true}, false},
		{jobAnswer{Result: plantainrail.CallOK, AbsenceRead: true}, false},
	} {
		assert.Equal(t, c.answer.absent(), c.absent, "%+v", c.answer)
	}
}

// Guards against a client that fills the store and the memory of the entries with cancellations of jobs that do not exist,
// and against one that keeps others from cancelling the jobs that do.
func TestCancellationsOfUnknownJobsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &absenceStore{}
		d := New(Options{Name: "a", Zone: "z", Store: store, Logger: zap.NewNop(), Now: time.Now})
		makeReplica(d)
		d.ownerSeenAt, d.jobs.asOf, d.progress.asOf = time.Now(), time.Now(), time.Now()
		go func() { _ = d.writer.run(t.Context()) }()
		known, err := planner.NewJobRecord(plantainrail.Workflow{ID: "known", Queue: plantainrail.Queue{Name: "q"}})
		assert.NilError(t, err)
		assert.NilError(t, d.catalog.ApplyJob(known))
		for i := range maxLoneCancels {
			assert.NilError(t, d.catalog.ApplyJob(planner.NewCancelRecord(fmt.Sprint(i))))
		}
		for _, c := range []struct {
			id   string
			want plantainrail.CallResult
		}{
			{"unknown", plantainrail.CallUnavailable}, {"7", plantainrail.CallNotFound}, {"known", plantainrail.CallOK},
		} {
			assert.Equal(t, d.Cancel(t.Context(), c.id).Result, c.want, c.id)
		}
		assert.DeepEqual(t, store.keys, []string{"c/7", "c/known"})
		// The entries that do not follow the jobs cannot tell, so the replica that stores their records must.
		raw, err := cbor.Marshal(planner.NewCancelRecord("unknown"))
		assert.NilError(t, err)
		response := httptest.NewRecorder()
		d.serveWrite(response, httptest.NewRequest(http.MethodPost, forwardPath, bytes.NewReader(raw)))
		assert.Equal(t, response.Code, http.StatusServiceUnavailable)
		for _, r := range d.catalog.CancelDeletions(time.Now(), maxDeletions) {
			t.Errorf("%s is deleted before it was noted", r.Key)
		}
		d.catalog.NoteEnds(time.Now())
		for _, r := range d.catalog.CancelDeletions(time.Now(), 1) {
			assert.NilError(t, d.catalog.ApplyJob(r))
		}
		assert.Equal(t, d.Cancel(t.Context(), "unknown").Result, plantainrail.CallNotFound)
	})
}
