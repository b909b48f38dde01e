package decider

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
)

// Guards against a view that counts as newer than what the store has shown, so that something
// that has not been read yet is taken for absent.
func TestViewIsWholeAsOfWhatTheStoreHasShown(t *testing.T) {
	sentAt := time.Unix(1_700_000_000, 0)
	after := func(ms int) time.Time { return sentAt.Add(time.Duration(ms) * time.Millisecond) }
	record := []plantainrail.KeyedRecord{{Key: "k", Value: []byte{1}, Offset: 7}}
	for _, c := range []struct {
		name     string
		batch    plantainrail.KeyedBatch
		complete bool
		now      time.Time
		want     time.Time
	}{
		{"no record within the wait", plantainrail.KeyedBatch{Next: 7, End: 7}, false, after(504), after(500)},
		{"no record, and the answer is late", plantainrail.KeyedBatch{Next: 7, End: 7}, false, after(1400), after(500)},
		{"no record, and the answer is early", plantainrail.KeyedBatch{Next: 7, End: 7}, false, after(300), after(300)},
		{"the last record", plantainrail.KeyedBatch{Records: record, Next: 8, End: 8}, false, after(300), sentAt},
		{"records before the end", plantainrail.KeyedBatch{Records: record, Next: 8, End: 20}, false, after(300), time.Time{}},
		{"records, and the end is not known", plantainrail.KeyedBatch{Records: record, Next: 8}, false, after(300), time.Time{}},
		{"unreadable records, and the end is not known", plantainrail.KeyedBatch{Malformed: 1, Next: 8}, false, after(300), time.Time{}},
		{"the newest record of each key", plantainrail.KeyedBatch{Records: record, Next: 8}, true, after(300), sentAt},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := readResult{from: 7, sentAt: sentAt, wait: 500 * time.Millisecond, batch: c.batch, complete: c.complete}
			assert.Equal(t, r.asOf(c.now), c.want)
		})
	}
}

// Guards against an owner that counts as silent because of reads that stood still, and against
// one that is never found silent.
func TestOwnerTimesOutByWhatWasRead(t *testing.T) {
	seenAt := time.Unix(1_700_000_000, 0)
	for _, c := range []struct {
		name       string
		asOf, now  time.Duration
		isTimedOut bool
	}{
		{"read until the timeout", ownerTimeout, ownerTimeout, true},
		{"read until just before", ownerTimeout - time.Millisecond, ownerTimeout, false},
		{"reads stand still", 100 * time.Millisecond, 3 * ownerTimeout, false},
		{"silent, but reads stand still since", ownerTimeout, 2 * ownerTimeout, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := New(Options{Logger: zap.NewNop(), Now: func() time.Time { return seenAt.Add(c.now) }})
			d.ownerSeenAt, d.progress.asOf = seenAt, seenAt.Add(c.asOf)
			assert.Equal(t, d.ownerTimedOut(), c.isTimedOut)
		})
	}
}
