package decider

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/clocker"
)

// unread stands for the next offset of a view of which nothing has been read yet.
const unread plantainrail.Offset = -1

// view is what an entry has read of one topic. What a view lacks may not have been read
// yet. So whatever is concluded from an absence (a job is unknown, a zone is not evacuated, the
// owner has written nothing) holds only up to asOf, and catchUp makes the view whole as of now.
type view struct {
	topic string
	// wait returns the maximum wait of the next long poll.
	wait func() time.Duration
	// batchDelay is the delay after a read that returned records, so that the next
	// read returns more at once.
	batchDelay time.Duration
	// confirm makes a read without a wait follow each one that returned records, so that
	// asOf does not stay behind by the wait of a long poll.
	confirm bool
	// apply processes the records of a read. The caller holds the Decider's lock.
	apply func(ctx context.Context, b plantainrail.KeyedBatch)
	// keys, if set, holds the topic's keys, so that apply also gets the deletions that have
	// expired before they were read. It must be set for a topic with deleted keys.
	keys topicKeys
	// onError, if set, is called after a failed read.
	onError func()
	// resumeSignal, if set, returns nil while the topic is to be read. Otherwise it
	// returns a channel that is closed once reading is to continue.
	resumeSignal func() <-chan struct{}
	// wanted, if set, reports whether the entry keeps the view. Otherwise the result of a read is
	// dropped. The caller holds the Decider's lock.
	wanted func() bool

	// The Decider's lock guards the fields below.

	// next is the offset of the next read, or unread.
	next plantainrail.Offset
	// asOf is the time up to which the view is whole: everything that was stored before has
	// been applied. It is zero until a read has reached the topic's end.
	asOf time.Time
	// newestAt is when the newest record was applied, and newestAfter a time before which it was not yet
	// stored. Records that this entry has written itself do not count.
	newestAt, newestAfter time.Time
	// resets is the number of calls of reset.
	resets int
	// endPoll ends the open read of follow early, and pollWait is the wait of that read; 0 if none is
	// open.
	endPoll  context.CancelFunc
	pollWait time.Duration
}

// readResult is a read of a topic from an offset on and its outcome.
type readResult struct {
	from plantainrail.Offset
	// resets is view.resets at the time of the read.
	resets int
	sentAt time.Time
	wait   time.Duration
	batch  plantainrail.KeyedBatch
	// complete means that the batch holds the newest record of each key that existed when the
	// read was sent.
	complete bool
}

// wholeAsOf returns the time up to which the result shows everything that was stored, or zero if
// it does not reach the topic's end. A store that has no records answers after the whole wait,
// but not if the read went through another entry, which shortens the wait.
func (r readResult) wholeAsOf(now time.Time) time.Time {
	waited := r.sentAt.Add(r.wait)
	switch {
	case !r.complete && !r.batch.ReachesEnd():
		return time.Time{}
	case !r.complete && len(r.batch.Records) == 0 && !waited.After(now):
		return waited
	}
	return r.sentAt
}

// reset forgets what was read. Reads that are open are dropped.
func (v *view) reset() {
	v.next, v.asOf, v.newestAt, v.newestAfter = unread, time.Time{}, time.Time{}, time.Time{}
	v.resets++
	clear(v.keys)
}

// follow reads the topic of a view until the context ends, beginning with the newest record
// of each key, and retries failed reads. It returns the context's error.
func (d *Decider) follow(ctx context.Context, v *view) error {
	storeLost, atOnce := false, false
	for ctx.Err() == nil {
		if v.resumeSignal != nil {
			if resume := v.resumeSignal(); resume != nil {
				select {
				case <-resume:
				case <-ctx.Done():
				}
				continue
			}
		}
		wait := v.wait()
		if storeLost || atOnce {
			// Such a read shows at once that the store is reachable again, that there are
			// no more records, or what the read lacked that was ended.
			wait = 0
		}
		records, ended, err := d.poll(ctx, v, wait)
		if ended {
			atOnce = true
			continue
		}
		if err != nil {
			if !storeLost && ctx.Err() == nil {
				d.Logger.Warn("store lost", zap.String("topic", v.topic), zap.Error(err))
			}
			storeLost = true
			if v.onError != nil {
				v.onError()
			}
			_ = clocker.Sleep(ctx, retryDelay)
			continue
		}
		if storeLost {
			d.Logger.Info("store regained", zap.String("topic", v.topic))
			storeLost = false
		}
		atOnce = v.confirm && records > 0
		if v.batchDelay > 0 && records > 0 {
			_ = clocker.Sleep(ctx, v.batchDelay)
		}
	}
	return ctx.Err()
}

// poll is advance for a read that view.endPoll may end. Ended is set if that has happened.
func (d *Decider) poll(ctx context.Context, v *view, wait time.Duration) (records int, ended bool, err error) {
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.mu.Lock()
	v.endPoll, v.pollWait = func() { ended = true; cancel() }, wait
	d.mu.Unlock()
	records, _, err = d.advanceBy(ctx, readCtx, v, wait)
	d.mu.Lock()
	defer d.mu.Unlock()
	v.pollWait = 0
	return records, ended && err != nil && ctx.Err() == nil, err
}

// advance reads the next records of a view, waits up to the given time for the first, applies
// them and returns their number, and whether the view is whole as of the call. It may be called
// while another read of the view is open.
func (d *Decider) advance(ctx context.Context, v *view, wait time.Duration) (records int, whole bool, err error) {
	return d.advanceBy(ctx, ctx, v, wait)
}

// advanceBy is advance with a context of its own for the read.
func (d *Decider) advanceBy(ctx, readCtx context.Context, v *view, wait time.Duration) (records int, whole bool, err error) {
	d.mu.Lock()
	r := readResult{from: v.next, resets: v.resets, sentAt: d.Now(), wait: wait}
	d.mu.Unlock()
	r.batch, r.complete, err = d.read(readCtx, v.topic, r.from, wait)
	if err != nil {
		return 0, false, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(r.batch.Records), d.applyRead(ctx, v, r), nil
}

// applyRead applies the result of a read to its view, without the records that another read has
// applied since, and reports whether the view is whole as of the read. It drops the result if the
// view was reset since or is not wanted any more. The caller holds the lock.
func (d *Decider) applyRead(ctx context.Context, v *view, r readResult) bool {
	if v.resets != r.resets || v.wanted != nil && !v.wanted() || v.next > r.from && r.complete {
		return false
	}
	if slices.ContainsFunc(r.batch.Records, func(record plantainrail.KeyedRecord) bool { return record.Offset >= v.next }) {
		v.newestAt, v.newestAfter = d.Now(), v.asOf
	}
	// The view is whole before apply lets others see what has changed.
	asOf := r.wholeAsOf(d.Now())
	if asOf.After(v.asOf) {
		v.asOf = asOf
	}
	if v.next > r.from {
		r.batch.Records = slices.DeleteFunc(r.batch.Records, func(record plantainrail.KeyedRecord) bool { return record.Offset < v.next })
	}
	if v.keys != nil {
		if r.complete {
			r.batch.Records = append(r.batch.Records, v.keys.deleted(r.batch.Records, r.batch.Next)...)
		}
		v.keys.update(r.batch.Records)
	}
	v.apply(ctx, r.batch)
	v.next = max(v.next, r.batch.Next)
	if d.owner != nil {
		d.owner.noteRead(d.operators.asOf, d.jobs.asOf)
	}
	return !asOf.IsZero()
}

// read returns the records from the offset on, or the newest record of each key if
// nothing was read yet or those records have expired. In the second case complete is set,
// and a key without a record does not exist.
func (d *Decider) read(ctx context.Context, topic string, from plantainrail.Offset, wait time.Duration) (b plantainrail.KeyedBatch, complete bool, err error) {
	complete = from == unread
	if !complete {
		b, err = d.Store.Read(ctx, topic, from, wait)
		if complete = errors.Is(err, plantainrail.ErrExpired); complete {
			d.Logger.Warn("records expired before they were read", zap.String("topic", topic), zap.Int64("offset", int64(from)))
		}
	}
	if complete {
		b, err = d.Store.Newest(ctx, topic)
		// The store lists them by key, but jobs are served in the order in which they arrived.
		slices.SortFunc(b.Records, func(x, y plantainrail.KeyedRecord) int { return cmp.Compare(x.Offset, y.Offset) })
	}
	if b.Malformed > 0 {
		d.Logger.Error("records unreadable", zap.String("topic", topic), zap.Int64("offset", int64(from)), zap.Int("records", b.Malformed))
	}
	return b, complete, err
}

// catchUp reads a view until it is whole as of the call. Only reads that are sent from now on
// count, since clocks do not order a read and a write that happen at nearly the same time. A failed
// read is logged and repeated after a delay. catchUp returns an error only if the context ends
// first.
func (d *Decider) catchUp(ctx context.Context, v *view) error {
	for ctx.Err() == nil {
		_, whole, err := d.advance(ctx, v, 0)
		if whole {
			return nil
		}
		if err != nil {
			d.Logger.Warn("view not completed", zap.String("topic", v.topic), zap.Error(err))
			_ = clocker.Sleep(ctx, retryDelay)
		}
	}
	return ctx.Err()
}
