// Package hedger wraps a store and repeats a call to it while an earlier try is
// unanswered, so that a silent connection, or an outage that has just ended,
// does not block the caller for the whole timeout of one try (hedged requests:
// Dean and Barroso, The Tail at Scale, 2013). It does no I/O of its own. Each try
// must be bounded by the timeout of the wrapped store.
package hedger

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/clocker"
)

const (
	// hedgeDelay is the time without an answer after which a call is tried again.
	// A store that is ninety times slower than usual still answers within it.
	hedgeDelay = 500 * time.Millisecond
	// maxPendingTries bounds the unanswered tries of one call. It is one more
	// than can start within the two seconds that a try takes at most.
	maxPendingTries = 5
)

// Hedger implements plantainrail.Store on top of another store. It hedges appends
// and reads, but not Newest.
type Hedger struct {
	plantainrail.Store
	renew func()
}

// New returns a Hedger for a store. It calls renew before each further try, which must keep that try
// off the idle connections: they may be as silent as that of the try before.
func New(store plantainrail.Store, renew func()) *Hedger { return &Hedger{Store: store, renew: renew} }

// Append implements plantainrail.Store. An append with the field At, which is
// stored only if the topic ends at that offset, is tried only once: if the first
// try took effect without an answer, a second one would fail because of the
// first. Any other append without a Writer may be stored more than once.
func (h *Hedger) Append(ctx context.Context, call plantainrail.AppendCall) (plantainrail.Offset, error) {
	if call.At != nil {
		return h.Store.Append(ctx, call)
	}
	return hedge(ctx, hedgeDelay, h.renew, func(ctx context.Context) (plantainrail.Offset, error) { return h.Store.Append(ctx, call) })
}

// Read implements plantainrail.Store. The store may hold a read for as long as
// it was asked to wait, so the hedge delay is added to that time.
func (h *Hedger) Read(ctx context.Context, topic string, from plantainrail.Offset, wait time.Duration) (plantainrail.KeyedBatch, error) {
	return hedge(ctx, wait+hedgeDelay, h.renew, func(ctx context.Context) (plantainrail.KeyedBatch, error) {
		return h.Store.Read(ctx, topic, from, wait)
	})
}

// outcome is the result of one try. The tries are numbered from 0.
type outcome[T any] struct {
	try   int
	value T
	err   error
}

// hedge tries a call at once, and again after each delay if fewer than
// maxPendingTries tries are pending. It returns the result of the first try that
// is conclusive or may have taken effect; in the second case the caller learns of
// an outage. hedge returns plantainrail.ErrRejected only when no try is
// pending, since a pending one may still take effect. The call must return when
// its context ends; when hedge returns, it cancels the context of the tries that
// are still pending, of those before a conclusive one with the cause plantainrail.ErrOvertaken.
func hedge[T any](ctx context.Context, delay time.Duration, renew func(), call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The buffer lets tries end after hedge has returned.
	outcomes := make(chan outcome[T], maxPendingTries)
	pending := 0
	// ends holds the functions that end the tries, by number.
	var ends []context.CancelCauseFunc
	startTry := func() {
		pending++
		try := len(ends)
		tryCtx, end := context.WithCancelCause(ctx)
		ends = append(ends, end)
		go func() {
			value, err := call(tryCtx)
			outcomes <- outcome[T]{try, value, err}
		}()
	}
	startTry()
	ticker := clocker.NewTicker(delay)
	defer ticker.Stop()
	var zero T
	var tries plantainrail.WriteTries
	for {
		select {
		case o := <-outcomes:
			pending--
			if conclusive(o.err) {
				for _, end := range ends[:o.try] {
					end(plantainrail.ErrOvertaken)
				}
				return o.value, o.err
			}
			if tries = tries.With(o.err); pending == 0 || tries.MaybeDone() {
				return zero, tries.Err()
			}
		case <-ticker.C:
			if pending < maxPendingTries {
				renew()
				startTry()
			}
		}
	}
}

// conclusive reports whether a try that returned this error or nil decides the
// result of the call, whatever its other tries return.
func conclusive(err error) bool {
	var sequenceErr *plantainrail.SequenceError
	return err == nil || errors.Is(err, plantainrail.ErrUnacceptable) || errors.Is(err, plantainrail.ErrFenced) ||
		errors.Is(err, plantainrail.ErrExpired) || errors.As(err, &sequenceErr)
}
