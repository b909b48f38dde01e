package minder

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"github.com/plantainrail/plantainrail"
)

const (
	// aloneTime is how long after the start of a run alone no other run is started. Most
	// tasks that crash their worker do so within that time.
	aloneTime = 100 * time.Millisecond
	// maxConcurrentStarts is the weight of a start alone in startSlots.
	maxConcurrentStarts = 1 << 20
	// batchTime is the time within which runs count as started together.
	batchTime = 40 * time.Millisecond
	// breakDelay bounds the time from a crash of the worker to the first call that it
	// breaks off: the poller may pause for acknowledgmentWait.
	breakDelay = acknowledgmentWait + batchTime
)

// startSlots lets runs start together, or one of them alone. Their calls are sent in turn.
type startSlots struct{ slots, turn *semaphore.Weighted }

func newStartSlots() startSlots {
	return startSlots{slots: semaphore.NewWeighted(maxConcurrentStarts), turn: semaphore.NewWeighted(1)}
}

// maxTurn bounds how long a start without an answer holds up the next one. A worker that has just
// restarted answers, or breaks the call off, sooner.
const maxTurn = 25 * time.Millisecond

// takeTurn waits until no other start is under way, or only ones that have had no answer for
// maxTurn, and returns the function that lets the next one be sent.
func (s startSlots) takeTurn() (release func()) {
	_ = s.turn.Acquire(context.Background(), 1)
	free := sync.OnceFunc(func() { s.turn.Release(1) })
	timer := time.AfterFunc(maxTurn, free)
	return func() {
		timer.Stop()
		free()
	}
}

// quietTimes returns how long before and after the start of a run no other run is started. An
// isolated start is the only one that a break can count against.
func quietTimes(o plantainrail.RunOrder) (before, after time.Duration) {
	switch {
	case o.Isolated:
		return breakDelay, breakDelay
	case o.Alone:
		return batchTime, aloneTime
	}
	return 0, 0
}

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
	// alone is set for a run that was started alone.
	alone bool
	// sentAt is when the call was sent, and at when it ended.
	sentAt, at time.Time
}

// crashWatch tells which runs had just begun when the worker broke off its calls.
type crashWatch struct {
	// recent are the starts of the last breakDelay.
	recent []startRecord
	// brokenAt is the time of the first call that the worker has broken off since it last
	// answered; zero if there is none.
	brokenAt time.Time
	// suspects are the runs that had just begun then. predecessorSuspects are those of the
	// incarnation before.
	suspects, predecessorSuspects []plantainrail.RunRef
	// present are the runs that were there then and had begun less than LateCrashTime before.
	present, predecessorPresent []plantainrail.RunAge
}

// withStart returns the watch after a start. It may have been under way at the break.
func (c crashWatch) withStart(started startRecord) crashWatch {
	kept := slices.DeleteFunc(slices.Clone(c.recent), func(s startRecord) bool { return started.at.Sub(s.at) > breakDelay })
	c.recent = append(kept, started)
	if !c.brokenAt.IsZero() && !started.sentAt.After(c.brokenAt) {
		c.suspects = c.newestBefore(c.brokenAt)
	}
	return c
}

// withBreak returns the watch after a call that the worker has broken off, with the runs that were
// present. The newest starts are suspects if the call is the first such one.
func (c crashWatch) withBreak(present []plantainrail.RunAge, now time.Time) crashWatch {
	if c.brokenAt.IsZero() {
		c.brokenAt, c.suspects, c.present = now, c.newestBefore(now), present
	}
	return c
}

// newestBefore returns the runs whose starts were sent last before the break, and those that were
// started alone just before: aloneTime may be too short for the cause to show, and the next run
// that is started alone would be blamed in its place.
func (c crashWatch) newestBefore(brokenAt time.Time) []plantainrail.RunRef {
	var refs []plantainrail.RunRef
	var newest time.Time
	for _, s := range slices.Backward(c.recent) {
		if s.sentAt.After(brokenAt) || brokenAt.Sub(s.at) > breakDelay {
			continue
		}
		if newest.IsZero() {
			newest = s.at
		}
		if s.alone || newest.Sub(s.at) <= batchTime {
			refs = append(refs, s.ref)
		}
	}
	slices.Reverse(refs)
	return refs
}

// withAnswer returns the watch after an answer of the worker.
func (c crashWatch) withAnswer() crashWatch {
	c.brokenAt, c.suspects, c.present = time.Time{}, nil, nil
	return c
}

// withNewIncarnation returns the watch for the next incarnation of the worker.
func (c crashWatch) withNewIncarnation() crashWatch {
	return crashWatch{predecessorSuspects: c.suspects, predecessorPresent: c.present}
}

// last returns the suspects and the runs present to report: those of a worker that does not answer,
// or those of the incarnation before until the owner has sent its orders for this one.
func (c crashWatch) last(unreachable, ordersComplete bool) (suspects []plantainrail.RunRef, present []plantainrail.RunAge) {
	switch {
	case unreachable:
		return c.suspects, c.present
	case !ordersComplete:
		return c.predecessorSuspects, c.predecessorPresent
	}
	return nil, nil
}

// noteStart records a call that starts a run, which was sent at the given time and ended with
// the error or nil.
func (m *Minder) noteStart(incarnation plantainrail.WorkerIncarnation, ref plantainrail.RunRef, sentAt time.Time, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.superseded(incarnation) {
		return
	}
	if err == nil || brokenOff(err) && !dialFailed(err) {
		r := m.orderedRuns[ref]
		m.crashes = m.crashes.withStart(startRecord{ref: ref, alone: r != nil && r.order.Alone, sentAt: sentAt, at: m.Now()})
	}
	if brokenOff(err) {
		m.noteBreak()
	}
}

// noteBreak records a call that the worker has broken off. The caller holds the lock.
func (m *Minder) noteBreak() {
	var present []plantainrail.RunAge
	for ref, r := range m.orderedRuns {
		if age := m.Now().Sub(r.begunAt); !r.begunAt.IsZero() && age < plantainrail.LateCrashTime {
			present = append(present, plantainrail.RunAge{Ref: ref, Age: age})
		}
	}
	m.crashes = m.crashes.withBreak(present, m.Now())
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
