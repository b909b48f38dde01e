package decider

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/clocker"
	"github.com/plantainrail/plantainrail/planner"
)

const (
	// maxBatchRecords bounds the number of records in one append.
	maxBatchRecords = 128
	// rejectedWriteTimeout bounds how long a write is retried while the store rejects
	// it, and how long it waits in the queue for earlier ones to be answered.
	rejectedWriteTimeout = 600 * time.Millisecond
	// tryTimeout bounds one try to append a batch. A store that is slower than usual
	// by a factor of sixty answers within a third of it.
	tryTimeout = time.Second
)

// pendingWrite is a record that is to be stored.
type pendingWrite struct {
	ctx    context.Context
	record plantainrail.KeyedRecord
	// rejectionDeadline is when the write fails if the store has rejected every try.
	rejectionDeadline time.Time
	// tries holds the errors of the tries so far.
	tries plantainrail.WriteTries
	// acquired is set by the side that decides the outcome of a queued write: by
	// the writer when it takes the write into a batch, or by the caller of append when
	// it gives up the write.
	acquired atomic.Bool
	// result receives the outcome from the writer. It is buffered, so that the writer
	// does not block.
	result chan error
}

// acquire makes the calling side the one that decides the outcome. It returns false
// if the other side was first.
func (w *pendingWrite) acquire() bool { return w.acquired.CompareAndSwap(false, true) }

// writer appends the records of many requests to the jobs topic, in batches and
// with one call to the store at a time. It rejects records while its queue is
// full.
type writer struct {
	store  plantainrail.Store
	limits plantainrail.StoreLimits
	logger *zap.Logger
	queue  chan *pendingWrite
}

func newWriter(store plantainrail.Store, limits plantainrail.StoreLimits, logger *zap.Logger) *writer {
	return &writer{store, limits, logger, make(chan *pendingWrite, 1024)}
}

// append stores a record and returns nil once it is stored. ErrRejected means that
// it is not stored and never will be, and ErrUnacceptable also that a further try is
// of no use; after any other error it may be stored. A
// write that may have been stored is retried until the context ends. Later writes wait
// in the queue meanwhile. They are not sent, so they can still be rejected.
func (w *writer) append(ctx context.Context, record plantainrail.KeyedRecord) error {
	pending := &pendingWrite{ctx: ctx, record: record, rejectionDeadline: time.Now().Add(rejectedWriteTimeout), result: make(chan error, 1)}
	select {
	case w.queue <- pending:
	default:
		return errors.Wrap(plantainrail.ErrRejected, "the write queue is full")
	}
	timer := time.NewTimer(rejectedWriteTimeout)
	defer timer.Stop()
	select {
	case err := <-pending.result:
		return err
	case <-timer.C:
	case <-ctx.Done():
	}
	if pending.acquire() {
		return errors.Wrap(plantainrail.ErrRejected, "the store has not answered earlier writes")
	}
	return <-pending.result
}

// run appends queued writes until the context ends. Before it returns, each write
// of the batch that it has begun gets a result.
func (w *writer) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-w.queue:
			if first.acquire() {
				w.appendBatch(ctx, w.fillBatch([]*pendingWrite{first}))
			}
		}
	}
}

// fillBatch adds queued writes to a batch, up to maxBatchRecords and as long as a record
// of any size keeps within the limit of a call, without waiting for any. It skips writes
// that their callers have given up.
func (w *writer) fillBatch(batch []*pendingWrite) []*pendingWrite {
	size := 0
	for _, pending := range batch {
		size += pending.record.AppendSize()
	}
	for len(batch) < maxBatchRecords && w.limits.HasRoom(size) {
		select {
		case next := <-w.queue:
			if next.acquire() {
				batch = append(batch, next)
				size += next.record.AppendSize()
			}
		default:
			return batch
		}
	}
	return batch
}

// appendBatch retries a batch until each of its writes has a result. As long as no
// write of the batch may be stored, writes that are queued meanwhile join it. If the store
// never accepts the batch, appendBatch appends each half by itself, so that only the writes
// at fault fail.
func (w *writer) appendBatch(ctx context.Context, batch []*pendingWrite) {
	for len(batch) > 0 {
		records := make([]plantainrail.KeyedRecord, len(batch))
		for i, pending := range batch {
			records[i] = pending.record
		}
		tryCtx, cancel := context.WithTimeout(ctx, tryTimeout)
		_, err := w.store.Append(tryCtx, plantainrail.AppendCall{Topic: jobsTopic, Records: records})
		cancel()
		if err == nil {
			for _, pending := range batch {
				pending.result <- nil
			}
			return
		}
		w.logger.Warn("jobs not stored", zap.Strings("jobs", jobIDs(records)), zap.Error(err))
		if half := len(batch) / 2; half > 0 && errors.Is(err, plantainrail.ErrUnacceptable) {
			w.appendBatch(ctx, batch[:half:half])
			w.appendBatch(ctx, batch[half:])
			return
		}
		batch = w.completeExpired(batch, err)
		if len(batch) > 0 {
			_ = clocker.Sleep(ctx, retryDelay)
			if !slices.ContainsFunc(batch, func(pending *pendingWrite) bool { return pending.tries.MaybeDone() }) {
				batch = w.fillBatch(batch)
			}
		}
	}
}

// jobIDs returns, for each record, the ID of the job that it belongs to.
func jobIDs(records []plantainrail.KeyedRecord) []string {
	ids := make([]string, len(records))
	for i, r := range records {
		ids[i] = planner.JobID(r)
	}
	return ids
}

// completeExpired gives up the writes of a batch that must not be retried after a try that
// failed with the error, and returns the others. A write ends once its context has ended, or
// after ErrUnacceptable, which a batch of one write gets; one that is certainly not stored
// also ends once its rejectionDeadline has passed.
func (w *writer) completeExpired(batch []*pendingWrite, err error) []*pendingWrite {
	var rest []*pendingWrite
	for _, pending := range batch {
		pending.tries = pending.tries.With(err)
		overdue := !pending.tries.MaybeDone() && time.Now().After(pending.rejectionDeadline)
		if overdue || pending.ctx.Err() != nil || errors.Is(err, plantainrail.ErrUnacceptable) {
			pending.result <- errors.Wrap(pending.tries.Err(), "write given up")
			continue
		}
		rest = append(rest, pending)
	}
	return rest
}
