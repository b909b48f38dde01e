// Package hedger repeats a call to the store while an earlier attempt is
// unanswered, so that a silent connection, or an outage that has just ended,
// does not block the caller for the whole timeout of one attempt (hedged
// requests: Dean and Barroso, The Tail at Scale, 2013).
package hedger

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
)

const (
	// hedgeDelay is the time without an answer after which a call is repeated.
	// A store that is ninety times slower than usual still answers within it.
	hedgeDelay = 500 * time.Millisecond
	// maxAttempts bounds the unanswered attempts of one call. It is one more
	// than can start within the two seconds that an attempt takes at most.
	maxPendingTries = 5
)

// Hedger implements plantainrail.Store. It hedges the appends and reads of
// another store.
type Hedger struct {
	plantainrail.Store
}

// New returns a Hedger for a store.
func New(store plantainrail.Store) *Hedger { return &Hedger{Store: store} }

// Append implements plantainrail.Store. An append that depends on the topic's
// end is attempted only once: a second attempt would fail because the first has
// succeeded.
func (h *Hedger) Append(ctx context.Context, call plantainrail.AppendCall) (plantainrail.Offset, error) {
	if call.At != nil {
		return h.Store.Append(ctx, call)
	}
	return hedge(ctx, hedgeDelay, func(ctx context.Context) (plantainrail.Offset, error) { return h.Store.Append(ctx, call) })
}

// Read implements plantainrail.Store. The store may hold a read for as long as
// it was asked to wait, so the hedge delay is added to that time.
func (h *Hedger) Read(ctx context.Context, topic string, from plantainrail.Offset, wait time.Duration) (plantainrail.KeyedBatch, error) {
	return hedge(ctx, wait+hedgeDelay, func(ctx context.Context) (plantainrail.KeyedBatch, error) {
		return h.Store.Read(ctx, topic, from, wait)
	})
}

// outcome is the result of one attempt.
type outcome[T any] struct {
	value T
	err   error
}

// hedge makes an attempt of a call, and another one after each delay without a
// conclusive result, with at most maxAttempts pending. It returns the first
// conclusive result. It also returns the error of an attempt that may have
// taken effect, since the caller must learn of an outage. A rejection
// (plantainrail.ErrRejected) is returned only when no attempt is pending.
func hedge[T any](ctx context.Context, delay time.Duration, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome[T], maxPendingTries)
	pending := 0
	startTry := func() {
		pending++
		go func() {
			value, err := call(ctx)
			outcomes <- outcome[T]{value, err}
		}()
	}
	startTry()
	ticker := time.NewTicker(delay)
	defer ticker.Stop()
	var zero T
	for {
		select {
		case o := <-outcomes:
			pending--
			if conclusive(o.err) {
				return o.value, o.err
			}
			if pending == 0 || !errors.Is(o.err, plantainrail.ErrRejected) {
				return zero, o.err
			}
		case <-ticker.C:
			if pending < maxPendingTries {
				startTry()
			}
		}
	}
}

// conclusive reports whether an error determines the result of a call for all
// its attempts.
func conclusive(err error) bool {
	var sequenceErr *plantainrail.SequenceError
	return err == nil || errors.Is(err, plantainrail.ErrFenced) || errors.Is(err, plantainrail.ErrExpired) || errors.As(err, &sequenceErr)
}
