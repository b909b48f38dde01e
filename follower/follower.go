// Package follower keeps an entry's state up to date with the log and appends
// records to the log in groups. A record whose append may or may not have succeeded is
// appended again with the same ID and takes effect only once. The package reads and
// appends through package appender; package reducer computes the state from the
// records.
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
	// maxReadWait bounds the long poll of one read.
	maxReadWait = 400 * time.Millisecond
	// callTimeout bounds one call to the log service.
	callTimeout = 2 * time.Second
	// retryDelay is the delay after a failed call.
	retryDelay = 200 * time.Millisecond
	// minAppendInterval is the delay after an append, so that more records are
	// grouped in the next one.
	minAppendInterval = 20 * time.Millisecond
	// maxGroupRecords bounds the number of records in one append.
	maxGroupRecords = 500
	// unreadAppendTimeout is how long a record may remain unread after its append
	// before it is appended again.
	unreadAppendTimeout = 2 * time.Second
	// snapshotTimeout is how long the follower, once at the end of the log, waits for a
	// snapshot that covers the records that the log dropped before they were read.
	snapshotTimeout = 10 * time.Second
	// idBytes is the number of random bytes in the ID of a record.
	idBytes = 12
)

// Follower keeps the state of one log.
type Follower struct {
	log    plantainrail.Log
	logger *zap.Logger

	// mu guards the fields up to incompleteSince. If both locks are needed, mu is taken
	// before queueMu.
	mu    sync.RWMutex
	state *reducer.State
	// changed is closed and replaced when records are applied.
	changed chan struct{}
	// lastReadAtEnd is the send time of the latest read that reached the end of the log.
	lastReadAtEnd time.Time
	// reachedEnd is set once a read has reached the end of the log.
	reachedEnd bool
	// incompleteSince is the send time of the first read that reached the end of the log
	// and left the state incomplete; zero if there was none or the state is complete.
	incompleteSince time.Time

	// queueMu guards queue, its proposals and appends.
	queueMu sync.Mutex
	// queue holds the proposals without a verdict.
	queue []*proposal
	// wake has a buffer of one and wakes appendLoop when a record is queued.
	wake chan struct{}
	// appends is the number of append calls to the log service.
	appends int64
}

// proposal is a record that waits for its verdict.
type proposal struct {
	record plantainrail.Record
	// sent is set once an append of the record has begun.
	sent bool
	// retryAt is when the record is appended again if it has not been read by then. It
	// counts only if sent is set.
	retryAt time.Time
	// done is closed once the verdict is set.
	done    chan struct{}
	verdict reducer.Verdict
}

// NewID returns a random ID of 12 bytes in hexadecimal. It is used for records, requests,
// jobs and the incarnations of entries.
func NewID() string {
	raw := make([]byte, idBytes)
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

// New returns a Follower with an empty state.
func New(log plantainrail.Log, logger *zap.Logger) *Follower {
	return &Follower{log: log, logger: logger, state: reducer.New(), changed: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// Run reads and appends until the context ends, and returns nil.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.readLoop(ctx) })
	group.Go(func() error { return f.appendLoop(ctx) })
	return group.Wait()
}

// readLoop reads the log until the context ends, and returns nil. Failed reads are
// retried.
func (f *Follower) readLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.readOnce(ctx); err != nil {
			f.logger.Warn("reading the log failed; retrying", zap.Error(err))
			_ = clocker.Sleep(ctx, retryDelay)
		}
	}
	return nil
}

// readOnce reads once from the state's next offset and applies what it has read.
func (f *Follower) readOnce(ctx context.Context) error {
	started := time.Now()
	f.mu.RLock()
	from := f.state.Next
	f.mu.RUnlock()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	batch, err := f.log.Read(callCtx, from, started.Add(maxReadWait))
	if err != nil {
		return err
	}
	f.applyBatch(started, batch)
	return nil
}

// applyBatch applies the result of a read that was sent at the given time, and resolves
// the proposals whose records it contains.
func (f *Follower) applyBatch(started time.Time, batch plantainrail.Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.RecordRetention(batch.Oldest)
	for _, r := range batch.Records {
		f.state.Apply(r)
	}
	if f.state.Next >= batch.Next {
		f.lastReadAtEnd = started
		f.reachedEnd = true
		f.skipMissingSnapshot(started)
	}
	f.resolveProposals()
	if len(batch.Records) > 0 {
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

// skipMissingSnapshot continues without the dropped records once the state has been
// incomplete for snapshotTimeout. The caller holds the lock.
func (f *Follower) skipMissingSnapshot(now time.Time) {
	if f.state.Complete() {
		f.incompleteSince = time.Time{}
		return
	}
	if f.incompleteSince.IsZero() {
		f.incompleteSince = now
	}
	if now.Sub(f.incompleteSince) > snapshotTimeout {
		f.logger.Warn("no snapshot covers the records that the log dropped; continuing without them")
		f.state.SkipSnapshot()
	}
}

// resolveProposals sets the verdicts of the proposals whose records were read, and
// removes these proposals from the queue. The caller holds f.mu.
func (f *Follower) resolveProposals() {
	f.queueMu.Lock()
	defer f.queueMu.Unlock()
	undecided := f.queue[:0]
	for _, p := range f.queue {
		if v, ok := f.state.Verdict(p.record.ID); ok {
			p.verdict = v
			close(p.done)
			continue
		}
		undecided = append(undecided, p)
	}
	clear(f.queue[len(undecided):])
	f.queue = undecided
}

// Propose appends a record and waits until it is read back from the log, whose
// order decides the verdict: whether the record was accepted. A record without an ID
// gets one. If the context ends first, the error's code is CodePublishUnknown if the
// record may still take effect, and CodeLogUnavailable if it was not sent.
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
		return f.withdraw(p)
	}
}

// withdraw removes the proposal from the queue and returns the error for Propose. If
// the verdict is known by now, it returns the verdict instead.
func (f *Follower) withdraw(p *proposal) (reducer.Verdict, *plantainrail.Error) {
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

// appendLoop appends the queued records until the context ends, and returns nil. Since
// the outcome of a failed append is unknown, all queued records are due again after it. A
// record that is appended twice takes effect once.
func (f *Follower) appendLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		group := f.nextGroup()
		if len(group) == 0 {
			select {
			case <-ctx.Done():
			case <-f.wake:
			case <-time.After(unreadAppendTimeout / 4):
			}
			continue
		}
		if err := f.appendGroup(ctx, group); err != nil {
			f.logger.Warn("append failed or its outcome is unknown; retrying", zap.Int("records", len(group)), zap.Error(err))
			f.markAllDue()
			_ = clocker.Sleep(ctx, retryDelay)
			continue
		}
		_ = clocker.Sleep(ctx, minAppendInterval)
	}
	return nil
}

// nextGroup returns the records to append next and marks them as sent: those that were
// not appended yet and those that are due again, at most maxGroupRecords.
func (f *Follower) nextGroup() []plantainrail.Record {
	f.queueMu.Lock()
	defer f.queueMu.Unlock()
	now := time.Now()
	var group []plantainrail.Record
	for _, p := range f.queue {
		if len(group) == maxGroupRecords {
			break
		}
		if p.sent && now.Before(p.retryAt) {
			continue
		}
		p.sent = true
		p.retryAt = now.Add(unreadAppendTimeout)
		group = append(group, p.record)
	}
	return group
}

// markAllDue makes all records in the queue due for an append at once.
func (f *Follower) markAllDue() {
	f.queueMu.Lock()
	defer f.queueMu.Unlock()
	for _, p := range f.queue {
		p.retryAt = time.Time{}
	}
}

// appendGroup appends the records in one call.
func (f *Follower) appendGroup(ctx context.Context, group []plantainrail.Record) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	f.queueMu.Lock()
	f.appends++
	f.queueMu.Unlock()
	_, err := f.log.Append(ctx, group)
	return errors.Wrap(err, "append records")
}

// Appends returns the number of append calls to the log service.
func (f *Follower) Appends() int64 {
	f.queueMu.Lock()
	defer f.queueMu.Unlock()
	return f.appends
}

// View calls fn with the state under a read lock. fn must not change or retain the
// state, and must not call the Follower.
func (f *Follower) View(fn func(*reducer.State)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	fn(f.state)
}

// NextChange returns a channel that is closed when the next records are applied.
func (f *Follower) NextChange() <-chan struct{} {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.changed
}

// Age returns an upper bound of the state's age: the time since the latest read that
// reached the end of the log was sent. It returns false before the first such read
// and while the state lacks dropped records that no snapshot covers.
func (f *Follower) Age(now time.Time) (time.Duration, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return now.Sub(f.lastReadAtEnd), f.reachedEnd && f.state.Complete()
}
