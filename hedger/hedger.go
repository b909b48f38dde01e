// Package hedger makes a call to the store again while it owes the answer to an
// earlier try, so that a connection that has gone silent, or an outage that has
// just ended, does not hold its caller up for the whole time limit of one try
// (hedged requests: Dean and Barroso, The Tail at Scale, 2013).
package hedger

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
)

const (
	// againEvery is the time without an answer after which a call is made again.
	// A store that is slow by a factor of ninety still answers within it.
	againEvery = 500 * time.Millisecond
	// triesMost bounds the tries of one call that wait for an answer: one more
	// than begin within the two seconds that a try takes at most.
	triesMost = 5
)

// Hedger implements plantainrail.Store.
type Hedger struct {
	plantainrail.Store
}

// New returns a Hedger in front of a store.
func New(store plantainrail.Store) *Hedger { return &Hedger{Store: store} }

// Append implements plantainrail.Store. A write that depends on the topic's end
// is tried once: a second try would fail for the success of the first.
func (h *Hedger) Append(ctx context.Context, call plantainrail.AppendCall) (plantainrail.Offset, error) {
	if call.At != nil {
		return h.Store.Append(ctx, call)
	}
	return hedge(ctx, againEvery, func(ctx context.Context) (plantainrail.Offset, error) { return h.Store.Append(ctx, call) })
}

// Read implements plantainrail.Store. The store may keep a read as long as it was
// asked to wait.
func (h *Hedger) Read(ctx context.Context, topic string, from plantainrail.Offset, wait time.Duration) (plantainrail.KeyedBatch, error) {
	return hedge(ctx, wait+againEvery, func(ctx context.Context) (plantainrail.KeyedBatch, error) {
		return h.Store.Read(ctx, topic, from, wait)
	})
}

// outcome is the answer to one try.
type outcome[T any] struct {
	value T
	err   error
}

// hedge tries a call, and again each time that it has had no answer for a while,
// until one of the answers decides, or one try has failed that may have been done:
// its caller has to hear of an outage. A refusal counts once no try is owed an
// answer.
func hedge[T any](ctx context.Context, every time.Duration, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome[T], triesMost)
	pending := 0
	try := func() {
		pending++
		go func() {
			value, err := call(ctx)
			outcomes <- outcome[T]{value, err}
		}()
	}
	try()
	again := time.NewTicker(every)
	defer again.Stop()
	var none T
	for {
		select {
		case o := <-outcomes:
			pending--
			if decided(o.err) {
				return o.value, o.err
			}
			if pending == 0 || !errors.Is(o.err, plantainrail.ErrNotDone) {
				return none, o.err
			}
		case <-again.C:
			if pending < triesMost {
				try()
			}
		}
	}
}

// decided tells whether an error says for sure what became of a call, and of all
// other tries of it.
func decided(err error) bool {
	var sequence *plantainrail.SequenceError
	return err == nil || errors.Is(err, plantainrail.ErrFenced) || errors.Is(err, plantainrail.ErrExpired) || errors.As(err, &sequence)
}
