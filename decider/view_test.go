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
		{"no record, and the answer is early", plantainrail.KeyedBatch{Next: 7, End: 7}, false, after(300), sentAt},
		{"the last record", plantainrail.KeyedBatch{Records: record, Next: 8, End: 8}, false, after(300), sentAt},
		{"records before the end", plantainrail.KeyedBatch{Records: record, Next: 8, End: 20}, false, after(300), time.Time{}},
		{"records, and the end is not known", plantainrail.KeyedBatch{Records: record, Next: 8}, false, after(300), time.Time{}},
		{"unreadable records, and the end is not known", plantainrail.KeyedBatch{Malformed: 1, Next: 8}, false, after(300), time.Time{}},
		{"the newest record of each key", plantainrail.KeyedBatch{Records: record, Next: 8}, true, after(300), sentAt},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := readResult{from: 7, sentAt: sentAt, wait: 500 * time.Millisecond, batch: c.batch, complete: c.complete}
			assert.Equal(t, r.wholeAsOf(c.now), c.want)
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
		{"list from before the reset", []readResult{{from: unread, sentAt: now, complete: true, batch: batch(0, 3)}}, true, nil, false},
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
				assert.Equal(t, d.applyRead(t.Context(), v, r), c.isRead)
			}
			assert.DeepEqual(t, applied, c.want)
			assert.Equal(t, v.asOf.Equal(now), c.isRead)
		})
	}
}

// relayedStore is a store that is read through another entry: a read waits for at most cut
// (relayer.maxPeerReadWait), and its answer arrives after a delay (at most relayer.peerReadMargin).
type relayedStore struct {
	plantainrail.Store

	cut, delay time.Duration
	// storedAt is when the record with the offset 0 was stored.
	storedAt time.Time
}

// Read implements plantainrail.Store.
func (s *relayedStore) Read(_ context.Context, _ string, from plantainrail.Offset, wait time.Duration) (plantainrail.KeyedBatch, error) {
	deadline := time.Now().Add(min(wait, s.cut))
	if from == 0 && !s.storedAt.After(deadline) {
		time.Sleep(time.Until(s.storedAt) + s.delay)
		return plantainrail.KeyedBatch{Records: []plantainrail.KeyedRecord{{Key: "k", Value: []byte{1}}}, Next: 1, End: 1}, nil
	}
	time.Sleep(time.Until(deadline) + s.delay)
	return plantainrail.KeyedBatch{Next: from, End: from}, nil
}

// Guards against a view that counts as whole as of a time at which it lacked a record: the wait of
// a read through another entry is cut, so its empty answer is early, and then it is late on its way.
func TestViewIsNotNewerThanARelayedRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &relayedStore{cut: 500 * time.Millisecond, delay: 550 * time.Millisecond, storedAt: time.Now().Add(600 * time.Millisecond)}
		d := New(Options{Logger: zap.NewNop(), Now: time.Now, Store: s})
		d.operators.next, d.operators.apply = 0, func(context.Context, plantainrail.KeyedBatch) {}
		records, _, err := d.advance(t.Context(), d.operators, configurationPollWait)
		assert.NilError(t, err)
		assert.Equal(t, records, 0)
		assert.Assert(t, !d.operators.asOf.After(s.storedAt), "whole as of %s after a record that it lacks", d.operators.asOf.Sub(s.storedAt))
	})
}

// Guards against an entry that keeps, and later answers from, the catalog of a term as replica that
// had ended before its first read returned.
func TestReadThatEndsAfterTheTermIsDropped(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	d := New(Options{Name: "a", Zone: "z", Logger: zap.NewNop(), Now: func() time.Time { return now }})
	record, err := planner.NewJobRecord(plantainrail.Workflow{ID: "1", Queue: plantainrail.Queue{Name: "q"}})
	assert.NilError(t, err)
	makeReplica(d)
	jobs := readResult{from: d.jobs.next, sentAt: now, complete: true, batch: plantainrail.KeyedBatch{Records: []plantainrail.KeyedRecord{record}, Next: 1}}
	progress := readResult{from: d.progress.next, sentAt: now, complete: true}
	// Another entry becomes the replica while both lists are on their way.
	d.applyReplicas(plantainrail.KeyedBatch{})
	d.replicas[d.Zone] = replicaClaim{Name: "b", Nonce: "other"}
	d.dropUnfollowed()
	d.applyRead(t.Context(), d.jobs, jobs)
	d.applyRead(t.Context(), d.progress, progress)
	// A read that was sent just after the end of the term is dropped as well.
	progress.resets, jobs.resets = d.progress.resets, d.jobs.resets
	d.applyRead(t.Context(), d.jobs, jobs)
	d.applyRead(t.Context(), d.progress, progress)
	now = now.Add(time.Minute)
	makeReplica(d)
	assert.Assert(t, !d.catalogRead(), "the entry answers from a catalog that is a minute old")
}

// gatedStore is an empty store whose reads of one topic wait until the gate is closed.
type gatedStore struct {
	plantainrail.Store

	topic string
	gate  chan struct{}
}

// Read implements plantainrail.Store.
func (s *gatedStore) Read(ctx context.Context, topic string, from plantainrail.Offset, _ time.Duration) (plantainrail.KeyedBatch, error) {
	if topic == s.topic {
		select {
		case <-s.gate:
		case <-ctx.Done():
			return plantainrail.KeyedBatch{}, ctx.Err()
		}
	}
	return plantainrail.KeyedBatch{Next: from, End: from}, nil
}

// Guards against a new owner that decides on a topic that it has not read since its fence (LOST,
// TWICE, EVAC), also if another read has just shown the topic's end.
func TestTakeoverReadsEachTopicAfterTheFence(t *testing.T) {
	for _, topic := range []string{progressTopic, jobsTopic, "operators"} {
		t.Run(topic, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &gatedStore{topic: topic, gate: make(chan struct{})}
				d := New(Options{Store: s, OperatorTopic: "operators", Logger: zap.NewNop(), Now: time.Now})
				o := newOwner(d, 1)
				d.owner = o
				for _, v := range d.views() {
					v.next, v.asOf = 0, time.Now()
				}
				ended := make(chan error, 1)
				go func() { ended <- o.takeOver(t.Context(), 0) }()
				synctest.Wait()
				assert.Assert(t, !o.active(), "taken over without a read of the topic")
				close(s.gate)
				assert.NilError(t, <-ended)
				assert.Assert(t, o.active())
			})
		})
	}
}
