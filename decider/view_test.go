package decider

import (
	"context"
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

// Guards against records that are applied twice or left out, and against a view that never becomes
// whole, when a takeover and the follower read a topic at the same time.
func TestOverlappingReadsOfAView(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	batch := func(from, next plantainrail.Offset) plantainrail.KeyedBatch {
		b := plantainrail.KeyedBatch{Next: next, End: next}
		for offset := from; offset < next; offset++ {
			b.Records = append(b.Records, plantainrail.KeyedRecord{Key: "k", Value: []byte{1}, Offset: offset})
		}
		return b
	}
	read := func(from, next plantainrail.Offset) readResult {
		return readResult{from: from, sentAt: now, batch: batch(from, next)}
	}
	for _, c := range []struct {
		name   string
		reads  []readResult
		reset  bool
		want   []plantainrail.Offset
		isRead bool
	}{
		{"one after the other", []readResult{read(5, 7), read(7, 8)}, false, []plantainrail.Offset{5, 6, 7}, true},
		{"the longer one last", []readResult{read(5, 6), read(5, 8)}, false, []plantainrail.Offset{5, 6, 7}, true},
		{"the shorter one last", []readResult{read(5, 8), read(5, 6)}, false, []plantainrail.Offset{5, 6, 7}, true},
		{"reset meanwhile", []readResult{read(5, 8)}, true, nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := New(Options{Logger: zap.NewNop(), Now: func() time.Time { return now }})
			var applied []plantainrail.Offset
			v := &view{next: 5, apply: func(_ context.Context, b plantainrail.KeyedBatch) {
				for _, r := range b.Records {
					applied = append(applied, r.Offset)
				}
			}}
			if c.reset {
				v.reset()
			}
			for _, r := range c.reads {
				d.applyRead(t.Context(), v, r)
			}
			assert.DeepEqual(t, applied, c.want)
			assert.Equal(t, v.asOf.Equal(now), c.isRead)
		})
	}
}
