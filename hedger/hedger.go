// Package hedger sends a write to the store again while it owes the answer to an
// earlier try, so that a connection that has gone silent, or an outage that has
// just ended, does not hold a writer up for the whole time limit of one try
// (hedged requests: Dean and Barroso, The Tail at Scale, 2013).
package hedger

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
)

const (
	// againEvery is the time without an answer after which a write is sent again.
	// A store that is slow by a factor of ninety still answers within it.
	againEvery = 500 * time.Millisecond
	// triesMost bounds the tries of one write that wait for an answer: one more
	// than begin within the two seconds that a try takes at most.
	triesMost = 5
)

// Hedger implements plantainrail.Store.
type Hedger struct {
	plantainrail.Store
}

// New returns a Hedger in front of a store.
func New(store plantainrail.Store) *Hedger { return &Hedger{Store: store} }

// outcome is the answer to one try.
type outcome struct {
	offset plantainrail.Offset
	err    error
}

// Append implements plantainrail.Store. A write that depends on the topic's end
// is tried once: a second try would fail for the success of the first.
func (h *Hedger) Append(ctx context.Context, call plantainrail.AppendCall) (plantainrail.Offset, error) {
	if call.At != nil {
		return h.Store.Append(ctx, call)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome, triesMost)
	pending := 0
	try := func() {
		pending++
		go func() {
			offset, err := h.Store.Append(ctx, call)
			outcomes <- outcome{offset, err}
		}()
	}
	try()
	again := time.NewTicker(againEvery)
	defer again.Stop()
	// unsure is the error of a try that may have been done.
	var unsure error
	for {
		select {
		case o := <-outcomes:
			pending--
			if decided(o.err) {
				return o.offset, o.err
			}
			if !errors.Is(o.err, plantainrail.ErrNotDone) {
				unsure = o.err
			}
			if pending > 0 {
				continue
			}
			if unsure != nil {
				return 0, unsure
			}
			return 0, o.err
		case <-again.C:
			if pending < triesMost {
				try()
			}
		}
	}
}

// decided tells whether an error says for sure what became of a write, and of
// all other tries of it.
func decided(err error) bool {
	var sequence *plantainrail.SequenceError
	return err == nil || errors.Is(err, plantainrail.ErrFenced) || errors.As(err, &sequence)
}
