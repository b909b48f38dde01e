package minder

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/linker"
)

// Guards against starts that a change forbids by now (EVAC, UNASKED), because the order was on its
// way, or waited at its agent, for longer than the owner's views allow.
func TestExpiredOrderIsNotStarted(t *testing.T) {
	limit := func(heard uint64, within time.Duration) *linker.StartLimit {
		return &linker.StartLimit{Heard: heard, WithinMS: within.Milliseconds()}
	}
	for _, c := range []struct {
		name  string
		limit *linker.StartLimit
		// wait is the time for which the worker's lease is missing, so that the start waits.
		wait    time.Duration
		started bool
	}{
		{"no limit", nil, 0, true},
		{"in time after a request", limit(7, time.Second), 0, true},
		{"in time after the opening of the session", limit(0, 4*time.Second), 0, true},
		{"late after a request", limit(7, 400*time.Millisecond), 0, false},
		{"late after the opening of the session", limit(0, 2*time.Second), 0, false},
		{"views too old for any start", limit(7, -time.Second), 0, false},
		{"request that is not known any more", limit(5, time.Hour), 0, false},
		{"in time, then held up", limit(7, time.Second), 600 * time.Millisecond, false},
		{"held up within the limit", limit(7, 2*time.Second), 600 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			withWorker(t, func(t *testing.T, m *Minder, w *fakeWorker) {
				worker := &startingWorker{fakeWorker: w}
				m.mu.Lock()
				m.Worker = worker
				m.dialedAt = m.Now().Add(-3 * time.Second)
				m.renewalSentAt[7] = m.Now().Add(-500 * time.Millisecond)
				m.mu.Unlock()
				ref := refForJob("job")
				m.applyOrders(nil, linker.WorkOrders{
					Incarnation: knownVM(m).Incarnation, Starts: []plantainrail.RunOrder{{Ref: ref}}, StartLimit: c.limit,
				})
				time.Sleep(c.wait)
				m.mu.Lock()
				m.clock, m.leaseUntil = workerClock{reading: 1, readAt: m.Now()}, m.Now().Add(time.Minute)
				m.mu.Unlock()
				time.Sleep(200 * time.Millisecond)
				synctest.Wait()
				m.mu.Lock()
				ordered := m.orderedRuns[ref] != nil
				m.mu.Unlock()
				assert.Equal(t, worker.count() > 0, c.started)
				assert.Equal(t, ordered, c.started, "a run that is not started must be refused")
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// Guards against a run that is stopped although its worker runs it, because the order that lists it
// must not be started, and against one that is refused only after the time for a start.
func TestOrderThatMustNotStartIsAdoptedOrRefused(t *testing.T) {
	for _, c := range []struct {
		listed, adopt bool
		startUntil    time.Duration
	}{{false, false, -time.Second}, {true, false, -time.Second}, {false, true, time.Hour}, {true, true, time.Hour}} {
		withWorker(t, func(t *testing.T, m *Minder, w *fakeWorker) {
			worker := &startingWorker{fakeWorker: w}
			ref := refForJob("job")
			m.mu.Lock()
			m.Worker = worker
			m.clock, m.leaseUntil = workerClock{reading: 1, readAt: m.Now()}, m.Now().Add(time.Minute)
			m.replaceOrderedRuns([]plantainrail.RunOrder{{Ref: ref, Adopt: c.adopt}}, m.Now().Add(c.startUntil))
			m.mu.Unlock()
			time.Sleep(100 * time.Millisecond)
			m.mu.Lock()
			if c.listed {
				m.running[ref] = plantainrail.RunStatus{Ref: ref}
			}
			m.mu.Unlock()
			// The worker answers calls that are made after the order arrived, and after a stop.
			for range 2 {
				m.mu.Lock()
				m.polls++
				m.listedPoll = m.polls
				m.mu.Unlock()
				time.Sleep(300 * time.Millisecond)
			}
			m.mu.Lock()
			ordered := m.orderedRuns[ref] != nil
			begun := ordered && m.orderedRuns[ref].begun
			m.mu.Unlock()
			assert.Equal(t, worker.count(), 0)
			assert.Equal(t, ordered, c.listed)
			assert.Equal(t, begun, c.listed)
			time.Sleep(10 * time.Second)
		})
	}
}
