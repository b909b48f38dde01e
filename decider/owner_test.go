package decider

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// An ownership that has ended is put down a little later. The reader of the
// topic of progress must sleep until then; it spun in between.
func TestReaderWaitsUntilTheOwnershipIsPutDown(t *testing.T) {
	d := New(Options{Logger: zap.NewNop(), Now: time.Now})
	assert.Assert(t, d.ownTime() == nil, "an entry that owns nothing reads")
	o := newOwner(d, 1)
	d.owner = o
	o.stop("fenced")
	held := d.ownTime()
	assert.Assert(t, held != nil)
	assert.Assert(t, !closed(held), "the reader would spin")
	o.putDown()
	assert.Assert(t, closed(held))
	assert.Assert(t, d.ownTime() == nil)
}

// Who owns the jobs does not change while one process follows another; the next
// one need not wait for its own silence.
func TestEntryTakesUpWhatItsEarlierProcessOwned(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, c := range []struct {
		name   string
		claim  claim
		vacant bool
	}{
		{"another entry owns the jobs", claim{Name: "b", Nonce: "1", Epoch: 3}, false},
		{"an earlier process of the entry did", claim{Name: "a", Nonce: "1", Epoch: 3}, true},
		{"the entry has just claimed them", claim{Name: "a", Nonce: "2", Epoch: 4}, false},
		{"nobody does", claim{Name: "b", Nonce: "1", Epoch: 3, Resigned: true}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := New(Options{Name: "a", Logger: zap.NewNop(), Now: func() time.Time { return now }})
			d.nonce, d.claim = "2", c.claim
			d.membersNext, d.runsNext, d.jobsNext = 7, 7, 7
			d.heardAt, d.freshAt = now, now
			at, vacant := d.vacant()
			assert.Equal(t, vacant, c.vacant)
			if vacant {
				assert.Equal(t, int64(at), int64(7))
			}
		})
	}
}
