// Package follower keeps an entry's fold of the log up to date and proposes
// records. Appends are grouped; a record whose append is in doubt is appended
// again under the same ID, which counts once.
package follower

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/clocker"
	"github.com/plantainrail/plantainrail/reducer"
)

const (
	// readWait is how long one read waits for a record.
	readWait = 400 * time.Millisecond
	// callLimit bounds one call to the log service.
	callLimit = 2 * time.Second
	// retryPause is the pause after a failed call.
	retryPause = 200 * time.Millisecond
	// groupEvery is the shortest time between two appends.
	groupEvery = 20 * time.Millisecond
	// groupLimit is the number of records in one append.
	groupLimit = 500
	// settleLimit is how long an append that succeeded may stay unread before
	// the record is appended again.
	settleLimit = 2 * time.Second
	// snapshotPatience is how long a reader whose records were dropped waits at the
	// end of the log for a snapshot.
	snapshotPatience = 10 * time.Second
	idLength         = 12
)

// Follower follows one log.
type Follower struct {
	log    plantainrail.Log
	logger *zap.Logger

	mu      sync.RWMutex
	state   *reducer.State
	changed chan struct{}
	// confirmed is when the latest read that succeeded was sent.
	confirmed time.Time
	// atEnd is set once a read reached the end of the log.
	atEnd bool
	// incompleteSince is when the state was first seen incomplete at the end.
	incompleteSince time.Time

	queueMu sync.Mutex
	queue   []*proposal
	wake    chan struct{}
	appends int64
}

type proposal struct {
	record  plantainrail.Record
	sent    bool
	retryAt time.Time
	done    chan struct{}
	verdict reducer.Verdict
}

// NewID returns an ID for a record.
func NewID() string {
	raw := make([]byte, idLength)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

// New returns a Follower that has read nothing.
func New(log plantainrail.Log, logger *zap.Logger) *Follower {
	return &Follower{log: log, logger: logger, state: reducer.New(), changed: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// Run follows the log until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.readAll(ctx) })
	group.Go(func() error { return f.appendAll(ctx) })
	return group.Wait()
}

func (f *Follower) readAll(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.readOnce(ctx); err != nil {
			f.logger.Warn("log not read", zap.Error(err))
			_ = clocker.Sleep(ctx, retryPause)
		}
	}
	return nil
}

func (f *Follower) readOnce(ctx context.Context) error {
	started := time.Now()
	f.mu.RLock()
	from := f.state.Next
	f.mu.RUnlock()
	callCtx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	batch, err := f.log.Read(callCtx, from, started.Add(readWait))
	if err != nil {
		return err
	}
	f.take(started, batch)
	return nil
}

func (f *Follower) take(started time.Time, batch plantainrail.Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.Trim(batch.Oldest)
	for _, r := range batch.Records {
		f.state.Apply(r)
	}
	if f.state.Next >= batch.Next {
		f.confirmed = started
		f.atEnd = true
		f.skipSnapshot(started)
	}
	f.settle()
	if len(batch.Records) > 0 {
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

func (f *Follower) skipSnapshot(now time.Time) {
	if f.state.Complete() {
		f.incompleteSince = time.Time{}
		return
	}
	if f.incompleteSince.IsZero() {
		f.incompleteSince = now
	}
	if now.Sub(f.incompleteSince) > snapshotPatience {
		f.logger.Warn("no snapshot covers the records that were dropped; going on without them")
		f.state.SkipSnapshot()
	}
}

// settle tells waiting proposals what was decided.
func (f *Follower) settle() {
	f.queueMu.Lock()
	defer f.queueMu.Unlock()
	kept := f.queue[:0]
	for _, p := range f.queue {
		if v, ok := f.state.Decided(p.record.ID); ok {
			p.verdict = v
			close(p.done)
			continue
		}
		kept = append(kept, p)
	}
	clear(f.queue[len(kept):])
	f.queue = kept
}

// Propose appends a record and waits for the verdict of the log's order. When
// the context ends first, the error's code tells whether the record may still
// take effect.
func (f *Follower) Propose(ctx context.Context, r plantainrail.Record) (reducer.Verdict, *plantainrail.Error) {
	if r.ID == "" {
		r.ID = NewID()
	}
	p := &proposal{record: r, done: make(chan struct{})}
	f.queueMu.Lock()
	f.queue = append(f.queue, p)
	f.queueMu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
	select {
	case <-p.done:
		return p.verdict, nil
	case <-ctx.Done():
		return f.abandon(p)
	}
}

func (f *Follower) abandon(p *proposal) (reducer.Verdict, *plantainrail.Error) {
	f.queueMu.Lock()
	defer f.queueMu.Unlock()
	select {
	case <-p.done:
		return p.verdict, nil
	default:
	}
	for i, q := range f.queue {
		if q == p {
			f.queue = append(f.queue[:i:i], f.queue[i+1:]...)
			break
		}
	}
	if p.sent {
		return reducer.Verdict{}, plantainrail.NewError(plantainrail.CodePublishUnknown, "record %s", p.record.ID)
	}
	return reducer.Verdict{}, plantainrail.NewError(plantainrail.CodeLogUnavailable, "nothing was written")
}

func (f *Follower) appendAll(ctx context.Context) error {
	for ctx.Err() == nil {
		group := f.nextGroup()
		if len(group) == 0 {
			select {
			case <-ctx.Done():
			case <-f.wake:
			case <-time.After(settleLimit / 4):
			}
			continue
		}
		if err := f.appendGroup(ctx, group); err != nil {
			f.logger.Warn("append in doubt", zap.Int("records", len(group)), zap.Error(err))
			f.hasten()
			_ = clocker.Sleep(ctx, retryPause)
			continue
		}
		_ = clocker.Sleep(ctx, groupEvery)
	}
	return nil
}

// nextGroup takes the records that were not appended yet, or whose append
// stayed unread for too long.
func (f *Follower) nextGroup() []plantainrail.Record {
	f.queueMu.Lock()
	defer f.queueMu.Unlock()
	now := time.Now()
	var group []plantainrail.Record
	for _, p := range f.queue {
		if len(group) == groupLimit {
			break
		}
		if p.sent && now.Before(p.retryAt) {
			continue
		}
		p.sent = true
		p.retryAt = now.Add(settleLimit)
		group = append(group, p.record)
	}
	return group
}

// hasten makes every record in doubt due again.
func (f *Follower) hasten() {
	f.queueMu.Lock()
	defer f.queueMu.Unlock()
	for _, p := range f.queue {
		p.retryAt = time.Time{}
	}
}

func (f *Follower) appendGroup(ctx context.Context, group []plantainrail.Record) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	f.queueMu.Lock()
	f.appends++
	f.queueMu.Unlock()
	_, err := f.log.Append(ctx, group)
	return errors.Wrap(err, "append")
}

// Appends returns the number of calls to append.
func (f *Follower) Appends() int64 {
	f.queueMu.Lock()
	defer f.queueMu.Unlock()
	return f.appends
}

// View runs fn with the state, which it must not change or keep. fn must not
// call the Follower.
func (f *Follower) View(fn func(*reducer.State)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	fn(f.state)
}

// Changed returns a channel that is closed when records are folded next.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.changed
}

// Age returns how old the state may be: the time since the latest read that
// reached the end of the log was sent. It returns false before the first.
func (f *Follower) Age(now time.Time) (time.Duration, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return now.Sub(f.confirmed), f.atEnd && f.state.Complete()
}
