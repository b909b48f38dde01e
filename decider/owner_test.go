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
