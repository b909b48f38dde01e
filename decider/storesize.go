package decider

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/clocker"
)

const (
	// maxStoredBytes is what the store holds in total; beyond it appends fail with
	// plantainrail.ErrFull.
	maxStoredBytes = 400_000_000
	// halfFullBytes and nearlyFullBytes are estimates at which a line is logged. From the
	// second on new jobs are refused: the rest is for records that have not expired yet, and for
	// renewals, ends and deletions.
	halfFullBytes, nearlyFullBytes = maxStoredBytes / 2, maxStoredBytes / 10 * 9
	// storeWatchInterval is the time between two estimates of what the store holds.
	storeWatchInterval = 2 * time.Second
	// fullPause is how long new jobs are refused after the store has refused an append for want of
	// room.
	fullPause = 2 * storeWatchInterval
	// trimDelay is the number of estimates after which records that were read before the first of
	// them may be dropped from a full store. Other entries read within a second; one that
	// does not lists the newest records.
	trimDelay = 5
)

// storeSize is what an entry knows about the room in the store.
type storeSize struct {
	// bytes estimates what the store holds: the newest records that the entry knows.
	bytes int64
	// fullAt is when an append of this entry last failed with plantainrail.ErrFull.
	fullAt time.Time
	// read holds the ends of the topics of jobs and progress at the last estimates.
	read []readEnds
}

type readEnds struct{ jobs, progress plantainrail.Offset }

// watchStore estimates what the store holds and, on an owner, makes room in a full store, until the
// context ends. It returns the context's error.
func (d *Decider) watchStore(ctx context.Context) error {
	for clocker.Sleep(ctx, storeWatchInterval) == nil {
		d.mu.Lock()
		before := d.storeSize.bytes
		d.storeSize.bytes = 0
		for _, v := range d.views() {
			d.storeSize.bytes += v.keys.bytes()
		}
		now := d.storeSize.bytes
		d.storeSize.read = append(d.storeSize.read, readEnds{d.jobs.next, d.progress.next})
		var old readEnds
		if len(d.storeSize.read) > trimDelay {
			old, d.storeSize.read = d.storeSize.read[0], d.storeSize.read[1:]
		}
		trim := d.owner != nil && d.Now().Sub(d.storeSize.fullAt) < fullPause
		d.mu.Unlock()
		if d.ReportStoreBytes != nil {
			d.ReportStoreBytes(now)
		}
		for limit, event := range map[int64]string{halfFullBytes: "store half full", nearlyFullBytes: "store nearly full"} {
			if before < limit && now >= limit {
				d.Logger.Warn(event, zap.Int64("estimate", now), zap.Int("limit", maxStoredBytes))
			}
		}
		if trim {
			d.trim(ctx, jobsTopic, old.jobs)
			d.trim(ctx, progressTopic, old.progress)
		}
	}
	return ctx.Err()
}

// trim drops the records of a topic before the offset, but for the newest of each key.
func (d *Decider) trim(ctx context.Context, topic string, before plantainrail.Offset) {
	if d.Trim == nil || before <= 0 {
		return
	}
	err := d.Trim(ctx, topic, before)
	d.Logger.Info("history dropped", zap.String("topic", topic), zap.Int64("offset", int64(before)), zap.Error(err))
}

// noteFull notes an error of an append.
func (d *Decider) noteFull(err error) {
	if errors.Is(err, plantainrail.ErrFull) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.storeSize.fullAt = d.Now()
	}
}

// storeHasRoom reports whether new jobs may be stored. The caller holds the lock.
func (d *Decider) storeHasRoom() bool {
	return d.storeSize.bytes < nearlyFullBytes && d.Now().Sub(d.storeSize.fullAt) >= fullPause
}

// hasRoom is storeHasRoom for callers without the lock.
func (d *Decider) hasRoom() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.storeHasRoom()
}

// confirmWithoutRoom shows that this is still the owner when the store has no room for the call: an
// append without records needs none, and fails if a higher epoch has written. Leases can then
// be renewed. It uses up the sequence number of the call, none of whose tries may have taken
// effect, and gives the call the next one. After other errors than plantainrail.ErrFull, and without
// records, it does nothing. It returns an error if a higher epoch has written or the context ends.
func (o *owner) confirmWithoutRoom(ctx context.Context, call *plantainrail.AppendCall, err error) error {
	o.decider.noteFull(err)
	if !errors.Is(err, plantainrail.ErrFull) || len(call.Records) == 0 {
		return nil
	}
	var tries plantainrail.WriteTries
	for {
		sent := o.decider.Now()
		_, err := o.decider.Store.Append(ctx, plantainrail.AppendCall{Topic: call.Topic, Writer: call.Writer})
		var sequenceErr *plantainrail.SequenceError
		switch {
		case err == nil:
			o.sequence++
			call.Writer = &plantainrail.Writer{Name: writerName, Epoch: o.epoch, Sequence: o.sequence}
			o.mu.Lock()
			defer o.mu.Unlock()
			o.confirmUnseen(sent)
			return nil
		case errors.Is(err, plantainrail.ErrFenced), errors.As(err, &sequenceErr), ctx.Err() != nil:
			return err
		}
		// A try without an answer may use up the number later. The store would take the call
		// for a repeat of it, and the records would be lost.
		if tries = tries.With(err); !tries.MaybeDone() {
			return nil
		}
		if err := clocker.Sleep(ctx, retryDelay); err != nil {
			return err
		}
	}
}
