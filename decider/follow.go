package decider

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/clocker"
)

// Waits of long-polled reads. They tell whether the store is in reach, so that
// those are short whose age counts.
const (
	slowWait  = 20 * time.Second
	rulesWait = 1200 * time.Millisecond
	fastWait  = 500 * time.Millisecond
)

// feed is one topic that an entry follows.
type feed struct {
	topic string
	wait  time.Duration
	// pause lets records gather after a read that brought some.
	pause time.Duration
	next  func() plantainrail.Offset
	// take takes in records and the offset to go on from.
	take func(plantainrail.KeyedBatch)
	// failed tells that a read has failed.
	failed func()
	// hold returns a channel that is closed once the topic is to be read again,
	// or nil.
	hold func() <-chan struct{}
}

// follow reads a topic from its newest records on until the context ends.
func (d *Decider) follow(ctx context.Context, f feed) error {
	lost := false
	for ctx.Err() == nil {
		if f.hold != nil {
			if held := f.hold(); held != nil {
				select {
				case <-held:
				case <-ctx.Done():
				}
				continue
			}
		}
		wait := f.wait
		if lost {
			// Nothing is waited for before it is known that the store is back.
			wait = 0
		}
		batch, err := d.read(ctx, f, wait)
		if err != nil {
			if !lost && ctx.Err() == nil {
				d.Logger.Warn("store lost", zap.String("topic", f.topic), zap.Error(err))
			}
			lost = true
			if f.failed != nil {
				f.failed()
			}
			_ = clocker.Sleep(ctx, retryPause)
			continue
		}
		if lost {
			d.Logger.Info("store regained", zap.String("topic", f.topic), zap.Int64("offset", int64(batch.Next)))
			lost = false
		}
		f.take(batch)
		if f.pause > 0 && len(batch.Records) > 0 {
			_ = clocker.Sleep(ctx, f.pause)
		}
	}
	return ctx.Err()
}

// read returns what follows the records that are known, or the newest of each
// key when those have expired.
func (d *Decider) read(ctx context.Context, f feed, wait time.Duration) (plantainrail.KeyedBatch, error) {
	from := f.next()
	if from != unread {
		batch, err := d.Store.Read(ctx, f.topic, from, wait)
		if !errors.Is(err, plantainrail.ErrExpired) {
			return batch, err
		}
		d.Logger.Warn("records expired before they were read", zap.String("topic", f.topic), zap.Int64("offset", int64(from)))
	}
	return d.Store.Newest(ctx, f.topic)
}

func (d *Decider) followOperators(ctx context.Context) error {
	next := unread
	return d.follow(ctx, feed{
		topic: d.OperatorTopic, wait: rulesWait, next: func() plantainrail.Offset { return next },
		take: func(b plantainrail.KeyedBatch) {
			next = b.Next
			d.mu.Lock()
			d.ruledAt = d.Now()
			d.mu.Unlock()
			for _, r := range b.Records {
				d.settle(r)
			}
		},
	})
}

// settle takes in a record of the operators.
func (d *Decider) settle(r plantainrail.KeyedRecord) {
	s, changed, err := d.Settle(r)
	if err != nil {
		d.Logger.Error("operators' record unreadable", zap.String("key", r.Key), zap.Int64("offset", int64(r.Offset)), zap.Error(err))
		return
	}
	if !changed {
		return
	}
	d.mu.Lock()
	d.settlement, d.settled = s, s.Version > 0
	o := d.owner
	d.wake()
	d.mu.Unlock()
	d.Logger.Info("configuration taken", zap.String("key", r.Key), zap.Int64("version", s.Version), zap.Int64("offset", int64(r.Offset)))
	if o != nil {
		o.configure(s)
	}
}

func (d *Decider) followJobs(ctx context.Context) error {
	return d.follow(ctx, feed{
		topic: jobsTopic, wait: fastWait, next: func() plantainrail.Offset {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.jobsNext
		},
		take: d.takeJobs,
	})
}

func (d *Decider) takeJobs(b plantainrail.KeyedBatch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.jobsNext, d.freshAt = b.Next, d.Now()
	for _, r := range b.Records {
		if _, err := d.book.TakeJob(r); err != nil {
			d.Logger.Error("job unreadable", zap.String("key", r.Key), zap.Int64("offset", int64(r.Offset)), zap.Error(err))
		}
	}
	if len(b.Records) == 0 {
		return
	}
	d.wake()
	if d.owner != nil {
		d.owner.takeJobs(b.Records)
	}
}

func (d *Decider) followRuns(ctx context.Context) error {
	return d.follow(ctx, feed{
		topic: runsTopic, wait: fastWait, pause: followPause, next: func() plantainrail.Offset {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.runsNext
		},
		hold: d.ownTime,
		take: d.takeRuns,
		failed: func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.heardAt = time.Time{}
		},
	})
}

// ownTime returns a channel that is closed at the end of the entry's time as the
// owner, which has no use for reading what it writes; nil while it is not.
func (d *Decider) ownTime() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.owner == nil {
		return nil
	}
	return d.owner.over
}

// takeRuns takes in progress. Records below the offset that is known already
// are older than what the book holds.
func (d *Decider) takeRuns(b plantainrail.KeyedBatch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(b.Records) > 0 || d.heardAt.IsZero() {
		d.heardAt = d.Now()
	}
	for _, r := range b.Records {
		if r.Offset < d.runsNext || r.Key == beatKey {
			continue
		}
		if err := d.book.TakeProgress(r); err != nil {
			d.Logger.Error("progress unreadable", zap.String("job", r.Key), zap.Int64("offset", int64(r.Offset)), zap.Error(err))
		}
	}
	d.runsNext = max(d.runsNext, b.Next)
	if len(b.Records) > 0 {
		d.wake()
	}
}
