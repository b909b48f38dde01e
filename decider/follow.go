package decider

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/clocker"
)

// Maximum waits of long polls, by topic. A read that returns, even without
// records, shows that the store is reachable and that the entry has the newest
// records. Topics for which the age of the newest read matters have short waits.
// jobsPollWait also applies to the progress topic.
const (
	membersPollWait       = 20 * time.Second
	configurationPollWait = 1200 * time.Millisecond
	jobsPollWait          = 500 * time.Millisecond
)

// subscription describes how an entry follows one topic.
type subscription struct {
	topic string
	// wait is the maximum wait of a long poll.
	wait time.Duration
	// batchDelay is the delay after a read that returned records, so that the next
	// read returns more at once.
	batchDelay time.Duration
	// next returns the offset of the next read, or unread.
	next func() plantainrail.Offset
	// apply processes the records of a read that started at an offset, and remembers the
	// offset of the next read.
	apply func(from plantainrail.Offset, b plantainrail.KeyedBatch)
	// keys, if set, holds the topic's keys, so that apply also gets the deletions that have
	// expired before they were read. It must be set for a topic with deleted keys.
	keys topicKeys
	// onError, if set, is called after a failed read.
	onError func()
	// resumeSignal, if set, returns nil while the topic is to be read. Otherwise it
	// returns a channel that is closed once reading is to continue.
	resumeSignal func() <-chan struct{}
}

// follow reads a topic until the context ends, beginning with the newest record
// of each key, and retries failed reads. It returns the context's error.
func (d *Decider) follow(ctx context.Context, s subscription) error {
	storeLost := false
	for ctx.Err() == nil {
		if s.resumeSignal != nil {
			if resume := s.resumeSignal(); resume != nil {
				select {
				case <-resume:
				case <-ctx.Done():
				}
				continue
			}
		}
		wait := s.wait
		if storeLost {
			// A read without a wait shows at once that the store is reachable again.
			wait = 0
		}
		from := s.next()
		batch, complete, err := d.read(ctx, s.topic, from, wait)
		if err != nil {
			if !storeLost && ctx.Err() == nil {
				d.Logger.Warn("store lost", zap.String("topic", s.topic), zap.Error(err))
			}
			storeLost = true
			if s.onError != nil {
				s.onError()
			}
			_ = clocker.Sleep(ctx, retryDelay)
			continue
		}
		if storeLost {
			d.Logger.Info("store regained", zap.String("topic", s.topic), zap.Int64("offset", int64(batch.Next)))
			storeLost = false
		}
		if s.keys != nil {
			if complete {
				batch.Records = append(batch.Records, s.keys.deleted(batch.Records, batch.Next)...)
			}
			s.keys.update(batch.Records)
		}
		s.apply(from, batch)
		if s.batchDelay > 0 && len(batch.Records) > 0 {
			_ = clocker.Sleep(ctx, s.batchDelay)
		}
	}
	return ctx.Err()
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
	}
	if b.Malformed > 0 {
		d.Logger.Error("records unreadable", zap.String("topic", topic), zap.Int64("offset", int64(from)), zap.Int("records", b.Malformed))
	}
	return b, complete, err
}

func (d *Decider) followOperators(ctx context.Context) error {
	next := unread
	return d.follow(ctx, subscription{
		topic: d.OperatorTopic, wait: configurationPollWait, keys: topicKeys{}, next: func() plantainrail.Offset { return next },
		apply: func(_ plantainrail.Offset, b plantainrail.KeyedBatch) {
			next = b.Next
			d.mu.Lock()
			d.configurationReadAt = d.Now()
			d.mu.Unlock()
			for _, r := range b.Records {
				d.applyOperatorRecord(r)
			}
		},
	})
}

// applyOperatorRecord applies a record of the operators' topic, and passes a
// changed configuration to the owner's planner.
func (d *Decider) applyOperatorRecord(r plantainrail.KeyedRecord) {
	configuration, changed, err := d.ApplyOperatorRecord(r)
	if err != nil {
		d.Logger.Error("operators' record unreadable", zap.String("key", r.Key), zap.Int64("offset", int64(r.Offset)), zap.Error(err))
		return
	}
	if !changed {
		return
	}
	d.mu.Lock()
	d.configuration, d.configured = configuration, configuration.Version > 0
	o := d.owner
	d.broadcastChange()
	d.mu.Unlock()
	// The changed configuration is in force on this entry.
	d.Logger.Info("configuration taken", zap.String("key", r.Key), zap.Int64("version", configuration.Version), zap.Int64("offset", int64(r.Offset)))
	if o != nil {
		o.configure(configuration)
	}
}

func (d *Decider) followJobs(ctx context.Context) error {
	return d.follow(ctx, subscription{
		topic: jobsTopic, wait: jobsPollWait, next: func() plantainrail.Offset {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.jobsNext
		},
		resumeSignal: d.waitToFollow,
		apply:        d.applyJobs,
	})
}

// applyJobs applies records of the jobs topic to the catalog and, on the owner, to
// the planner. It drops records that were read before the entry gave up its catalog.
func (d *Decider) applyJobs(from plantainrail.Offset, b plantainrail.KeyedBatch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.follows() || from != d.jobsNext {
		return
	}
	d.jobsNext, d.jobsReadAt = b.Next, d.Now()
	for _, r := range b.Records {
		if err := d.catalog.ApplyJob(r); err != nil {
			d.Logger.Error("job unreadable", zap.String("key", r.Key), zap.Int64("offset", int64(r.Offset)), zap.Error(err))
		}
	}
	if len(b.Records) == 0 {
		return
	}
	d.broadcastChange()
	if d.owner != nil {
		d.owner.applyJobs(b.Records)
	}
}

func (d *Decider) followProgress(ctx context.Context) error {
	return d.follow(ctx, subscription{
		topic: progressTopic, wait: jobsPollWait, batchDelay: followDelay, next: func() plantainrail.Offset {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.progressNext
		},
		resumeSignal: d.waitToReadProgress,
		apply:        d.applyProgress,
		onError: func() {
			// Without reads of progress the owner cannot be found to have timed out.
			d.mu.Lock()
			defer d.mu.Unlock()
			d.ownerSeenAt = time.Time{}
		},
	})
}

// waitToReadProgress returns a channel that is closed once this entry's ownership
// is released, if it is the owner, which does not read progress here, since it applies
// what it has written itself. On any other entry it returns the result of waitToFollow.
func (d *Decider) waitToReadProgress() <-chan struct{} {
	d.mu.Lock()
	o := d.owner
	d.mu.Unlock()
	if o == nil {
		return d.waitToFollow()
	}
	return o.released
}

// applyProgress applies records of the progress topic to the catalog. Records below
// the next offset are skipped, since the catalog already holds their state or a newer
// one, and so are records that were read before the entry gave up its catalog.
func (d *Decider) applyProgress(from plantainrail.Offset, b plantainrail.KeyedBatch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.follows() || from != unread && d.progressNext == unread {
		return
	}
	if len(b.Records) > 0 || d.ownerSeenAt.IsZero() {
		d.ownerSeenAt = d.Now()
	}
	for _, r := range b.Records {
		if r.Offset < d.progressNext || r.Key == heartbeatKey {
			continue
		}
		if err := d.catalog.ApplyProgress(r); err != nil {
			d.Logger.Error("progress unreadable", zap.String("job", r.Key), zap.Int64("offset", int64(r.Offset)), zap.Error(err))
		}
	}
	d.progressNext = max(d.progressNext, b.Next)
	if len(b.Records) > 0 {
		d.broadcastChange()
	}
}
