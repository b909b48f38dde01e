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

// callStore keeps the calls of appends, and executes none.
type callStore struct {
	plantainrail.Store
	calls []plantainrail.AppendCall
}

func (s *callStore) Append(_ context.Context, call plantainrail.AppendCall) (plantainrail.Offset, error) {
	s.calls = append(s.calls, call)
	return 0, &plantainrail.OffsetMismatchError{}
}

// Guards against the deletion of a new job by an append that is executed late, or by an owner
// that was replaced and has not read the new job: the store must refuse it.
func TestDeletionsDependOnTheEndOfTheTopic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &callStore{}
		d := New(Options{Logger: zap.NewNop(), Now: time.Now, Store: store, StatusDuration: time.Minute})
		ctx, stop := context.WithCancel(t.Context())
		submission, err := planner.NewJobRecord(plantainrail.Workflow{ID: "a"})
		assert.NilError(t, err)
		progress := plantainrail.KeyedRecord{Key: "a", Value: encode(t, map[int]string{0: string(planner.Completed)})}
		d.mu.Lock()
		d.applyJobs(plantainrail.KeyedBatch{Records: []plantainrail.KeyedRecord{submission}})
		d.applyProgress(plantainrail.KeyedBatch{Records: []plantainrail.KeyedRecord{progress}})
		d.jobs.next = 7
		d.mu.Unlock()
		go newOwner(d, 1).deleteJobs(ctx)
		time.Sleep(time.Minute + retentionMargin - time.Second)
		assert.Equal(t, len(store.calls), 0)
		time.Sleep(time.Second + 2*deletionInterval)
		assert.Assert(t, len(store.calls) >= 2, "a refused deletion is tried again")
		assert.Equal(t, *store.calls[0].At, plantainrail.Offset(7))
		assert.DeepEqual(t, store.calls[0].Records, []plantainrail.KeyedRecord{{Key: "j/a"}})
		stop()
		synctest.Wait()
	})
}

// Guards against memory that is kept for ever of progress that the entry wrote as the owner and
// whose deletion by the next owner it never read.
func TestFormerOwnerForgetsDeletedProgress(t *testing.T) {
	d := New(Options{Logger: zap.NewNop(), Now: time.Now})
	makeReplica(d)
	progress := plantainrail.KeyedRecord{Key: "a", Value: encode(t, map[int]string{0: string(planner.Completed)}), Offset: 3}
	d.applyWritten(plantainrail.KeyedBatch{Records: []plantainrail.KeyedRecord{progress}, Next: 4})
	assert.Equal(t, len(d.catalog.ProgressDeletions(time.Now(), 9)), 1)
	d.applyRead(t.Context(), d.progress, readResult{from: 4, sentAt: time.Now(), complete: true, batch: plantainrail.KeyedBatch{Next: 6}})
	assert.Equal(t, len(d.catalog.ProgressDeletions(time.Now(), 9)), 0)
}
