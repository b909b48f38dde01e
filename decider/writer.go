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
	// writeMost bounds the records of one append; with the largest jobs they
	// stay below the store's two megabytes a call.
	writeMost = 128
	// refusedLimit is how long a write is tried that the store refuses, or waits
	// for the store to answer earlier ones.
	refusedLimit = 600 * time.Millisecond
	// tryLimit bounds one try; a store that is slow by a factor of sixty answers
	// in a third of it.
	tryLimit = time.Second
)

// write is a record on its way to the store.
type write struct {
	ctx    context.Context
	record plantainrail.KeyedRecord
	// refuseBy is when the write is given up if the store has refused each try.
	refuseBy time.Time
	// unsure is set once a try may have been done.
	unsure bool
	// settled is set by whoever settles what becomes of a write that waits: the
	// writer takes it, or its caller withdraws it.
	settled atomic.Bool
	result  chan error
}

// take takes a write off the queue unless its caller has withdrawn it.
func (w *write) take() bool { return w.settled.CompareAndSwap(false, true) }

// writer appends records of many requests in one call at a time.
type writer struct {
	store  plantainrail.Store
	logger *zap.Logger
	queue  chan *write
}

func newWriter(store plantainrail.Store, logger *zap.Logger) *writer {
	return &writer{store, logger, make(chan *write, 1024)}
}

// append adds a record and returns nil once it is stored. ErrNotDone means that
// it never will be. A write that may have been done is tried until the context
// ends; those that come meanwhile are not sent, so that they can be refused.
func (w *writer) append(ctx context.Context, record plantainrail.KeyedRecord) error {
	job := &write{ctx: ctx, record: record, refuseBy: time.Now().Add(refusedLimit), result: make(chan error, 1)}
	select {
	case w.queue <- job:
	default:
		return errors.Wrap(plantainrail.ErrNotDone, "too many writes wait")
	}
	timer := time.NewTimer(refusedLimit)
	defer timer.Stop()
	select {
	case err := <-job.result:
		return err
	case <-timer.C:
	case <-ctx.Done():
	}
	if job.take() {
		return errors.Wrap(plantainrail.ErrNotDone, "earlier writes have no answer")
	}
	return <-job.result
}

// run writes until the context ends, and what has come before it.
func (w *writer) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-w.queue:
			if first.take() {
				w.settle(ctx, w.gather([]*write{first}))
			}
		}
	}
}

// gather adds what waits to a batch.
func (w *writer) gather(batch []*write) []*write {
	for len(batch) < writeMost {
		select {
		case next := <-w.queue:
			if next.take() {
				batch = append(batch, next)
			}
		default:
			return batch
		}
	}
	return batch
}

// settle tries a batch until each write of it has an answer.
func (w *writer) settle(ctx context.Context, batch []*write) {
	for len(batch) > 0 {
		records := make([]plantainrail.KeyedRecord, len(batch))
		for i, job := range batch {
			records[i] = job.record
		}
		try, cancel := context.WithTimeout(ctx, tryLimit)
		_, err := w.store.Append(try, plantainrail.AppendCall{Topic: jobsTopic, Records: records})
		cancel()
		if err == nil {
			for _, job := range batch {
				job.result <- nil
			}
			return
		}
		w.logger.Warn("jobs not stored", zap.Strings("jobs", jobsOf(records)), zap.Error(err))
		sure := errors.Is(err, plantainrail.ErrNotDone)
		batch = w.sift(batch, err, sure)
		if len(batch) > 0 {
			_ = clocker.Sleep(ctx, retryPause)
			if !slices.ContainsFunc(batch, func(job *write) bool { return job.unsure }) {
				batch = w.gather(batch)
			}
		}
	}
}

// jobsOf returns the IDs of the jobs that records are about.
func jobsOf(records []plantainrail.KeyedRecord) []string {
	ids := make([]string, len(records))
	for i, r := range records {
		ids[i] = planner.JobOf(r)
	}
	return ids
}

// sift answers the writes whose time is over and returns the others.
func (w *writer) sift(batch []*write, err error, sure bool) []*write {
	var rest []*write
	for _, job := range batch {
		job.unsure = job.unsure || !sure
		switch {
		case job.unsure && job.ctx.Err() != nil:
			job.result <- err
		case !job.unsure && (job.ctx.Err() != nil || time.Now().After(job.refuseBy)):
			job.result <- errors.Wrap(plantainrail.ErrNotDone, "given up")
		default:
			rest = append(rest, job)
		}
	}
	return rest
}
