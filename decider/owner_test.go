package decider

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
)

// isClosed reports whether the channel is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// makeReplica makes the entry the replica of its zone, so that it follows the jobs.
func makeReplica(d *Decider) { d.replicas[d.Zone] = replicaClaim{Name: d.Name, Nonce: d.nonce} }

// Guards against a busy loop: an ownership that has ended is released a little
// later, and in between the reader of the progress topic must wait for the release.
func TestProgressReaderWaitsForOwnershipRelease(t *testing.T) {
	d := New(Options{Logger: zap.NewNop(), Now: time.Now})
	assert.Assert(t, d.waitToReadProgress() != nil, "an entry that is neither replica nor owner must not read progress")
	makeReplica(d)
	assert.Assert(t, d.waitToReadProgress() == nil, "a replica that is not the owner must read progress")
	o := newOwner(d, 1)
	d.owner = o
	o.stop("fenced")
	released := d.waitToReadProgress()
	assert.Assert(t, released != nil)
	assert.Assert(t, !isClosed(released), "the reader must wait until the ownership is released")
	o.release()
	assert.Assert(t, isClosed(released))
	assert.Assert(t, d.waitToReadProgress() == nil)
}

// Guards against jobs that nobody plans for the whole ownerTimeout after a restart:
// the last claim still names the entry's earlier process, so the new process must
// claim ownership at once.
func TestRestartedEntryReclaimsItsOwnership(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, c := range []struct {
		name string
		// claim is the newest claim that the entry has read.
		claim       claim
		shouldClaim bool
	}{
		{"another entry owns the jobs", claim{Name: "b", Nonce: "1", Epoch: 3}, false},
		{"an earlier process of the entry owns the jobs", claim{Name: "a", Nonce: "1", Epoch: 3}, true},
		{"this process of the entry owns the jobs", claim{Name: "a", Nonce: "2", Epoch: 4}, false},
		{"the owner has resigned", claim{Name: "b", Nonce: "1", Epoch: 3, Resigned: true}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := New(Options{Name: "a", Logger: zap.NewNop(), Now: func() time.Time { return now }})
			d.nonce, d.claim = "2", c.claim
			makeReplica(d)
			for _, v := range []*view{d.members, d.progress, d.jobs} {
				v.next, v.asOf = 7, now
			}
			d.ownerSeenAt = now
			at, shouldClaim := d.shouldClaim()
			assert.Equal(t, shouldClaim, c.shouldClaim)
			if shouldClaim {
				assert.Equal(t, int64(at), int64(7))
			}
		})
	}
}

// doubleReader is a store whose appends are answered while a further try still reads the records,
// as a hedged append does.
type doubleReader struct {
	plantainrail.Store
	tries sync.WaitGroup
}

func (s *doubleReader) Append(_ context.Context, call plantainrail.AppendCall) (plantainrail.Offset, error) {
	s.tries.Go(func() { _ = slices.Clone(call.Records) })
	return 40, nil
}

// Guards against a data race: the owner wrote the offsets of stored records into the records that
// a further try of the append was still copying. The race detector sees it, and so does the check.
func TestStoredRecordsAreNotWrittenAgain(t *testing.T) {
	store := &doubleReader{}
	d := New(Options{Logger: zap.NewNop(), Now: time.Now, Store: store})
	records := []plantainrail.KeyedRecord{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("2")}}
	assert.NilError(t, newOwner(d, 1).appendAndApply(t.Context(), records))
	store.tries.Wait()
	assert.Equal(t, int64(d.progress.next), int64(42))
	for i, r := range records {
		assert.Equal(t, int64(r.Offset), int64(0), "record %d was written after its append", i)
	}
}
