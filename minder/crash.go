package minder

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"github.com/plantainrail/plantainrail"
)

const (
	// aloneTime is how long after the start of a run alone no other run is started. A task
	// that crashes its worker does so within that time.
	aloneTime = 100 * time.Millisecond
	// maxConcurrentStarts is the weight of a start alone in startSlots.
	maxConcurrentStarts = 1 << 20
	// batchTime is the time within which runs count as started together.
	batchTime = 40 * time.Millisecond
	// breakDelay bounds the time from a crash of the worker to the first call that it
	// breaks off: the poller may pause for acknowledgmentWait.
	breakDelay = acknowledgmentWait + batchTime
)

// startSlots lets runs start together, or one of them alone.
type startSlots struct{ slots *semaphore.Weighted }

func newStartSlots() startSlots { return startSlots{semaphore.NewWeighted(maxConcurrentStarts)} }

// acquire waits until the run may be started, and returns the function that lets the next
// runs start.
func (s startSlots) acquire(r *run) (release func()) {
	weight := int64(1)
	if r.order.Alone {
		weight = maxConcurrentStarts
	}
	// Acquire fails only if the context ends.
	_ = s.slots.Acquire(context.Background(), weight)
	return func() { s.slots.Release(weight) }
}

// startRecord is a start that the worker has received, or may have received.
type startRecord struct {
	ref plantainrail.RunRef
	at  time.Time
}

// crashWatch tells which runs had just begun when the worker broke off its calls.
type crashWatch struct {
	// recent are the starts of the last breakDelay.
	recent []startRecord
	// broken is set from the first call that the worker breaks off until it answers again.
	broken bool
	// suspects are the runs that had just begun then. predecessorSuspects are those of the
	// incarnation before.
	suspects, predecessorSuspects []plantainrail.RunRef
}

// withStart returns the watch after a start.
func (c crashWatch) withStart(ref plantainrail.RunRef, now time.Time) crashWatch {
	kept := slices.DeleteFunc(slices.Clone(c.recent), func(s startRecord) bool { return now.Sub(s.at) > breakDelay })
	c.recent = append(kept, startRecord{ref, now})
	return c
}

// withBreak returns the watch after a call that the worker has broken off. The newest starts
// are suspects if the call is the first such one.
func (c crashWatch) withBreak(now time.Time) crashWatch {
	if c.broken {
		return c
	}
	c.broken, c.suspects = true, nil
	for _, s := range c.recent {
		if now.Sub(s.at) <= breakDelay && c.recent[len(c.recent)-1].at.Sub(s.at) <= batchTime {
			c.suspects = append(c.suspects, s.ref)
		}
	}
	return c
}

// withAnswer returns the watch after an answer of the worker.
func (c crashWatch) withAnswer() crashWatch {
	c.broken, c.suspects = false, nil
	return c
}

// withNewIncarnation returns the watch for the next incarnation of the worker.
func (c crashWatch) withNewIncarnation() crashWatch {
	return crashWatch{predecessorSuspects: c.suspects}
}

// startedLast returns the runs to report: those of a worker that does not answer, or those of
// the incarnation before until the owner has sent its orders for this one.
func (c crashWatch) startedLast(unreachable, ordersComplete bool) []plantainrail.RunRef {
	switch {
	case unreachable:
		return c.suspects
	case !ordersComplete:
		return c.predecessorSuspects
	}
	return nil
}

// noteStart records a call that starts a run, which ended with the error or nil.
func (m *Minder) noteStart(incarnation plantainrail.WorkerIncarnation, ref plantainrail.RunRef, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.superseded(incarnation) {
		return
	}
	if err == nil || brokenOff(err) && !dialFailed(err) {
		m.crashes = m.crashes.withStart(ref, m.Now())
	}
	if brokenOff(err) {
		m.crashes = m.crashes.withBreak(m.Now())
	}
}

// brokenOff reports whether a call failed although the worker neither refused it nor let it
// time out.
func brokenOff(err error) bool {
	var refusal *plantainrail.RefusedError
	return err != nil && !errors.Is(err, context.DeadlineExceeded) && !errors.As(err, &refusal)
}

// dialFailed reports whether a call failed before it was sent.
func dialFailed(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}
