package minder

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/clocker"
	"github.com/plantainrail/plantainrail/linker"
)

const (
	// holdWait is how long the worker may keep a call that waits for an end.
	holdWait = time.Second
	// holdSlack is what an answer may take beyond the wait.
	holdSlack = 700 * time.Millisecond
	// holdPause is the pause after a call that failed.
	holdPause = 150 * time.Millisecond
	// noteWait is how long the agent waits for the owner to note ends before it
	// asks the worker again.
	noteWait = 250 * time.Millisecond
	// failuresMost is the number of failed calls in a row after which the worker
	// gets nothing new.
	failuresMost = 2
)

// holdAll keeps asking the worker for its runs and ends, and renews its lease.
func (m *Minder) holdAll(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		m.mu.Lock()
		life := m.vm.Life
		epoch := m.epoch
		hold := plantainrail.Hold{Seen: m.noted, Deadline: m.deadline(), Wait: holdWait}
		switch {
		case len(m.ends) > 0:
			hold.Wait = 0
		case m.mixed() || !m.whole:
			hold.Wait = paceEvery
		}
		m.mu.Unlock()
		if life.IsZero() {
			m.await(ctx, holdWait)
			continue
		}
		sent := m.Now()
		call, cancel := context.WithTimeout(ctx, hold.Wait+holdSlack)
		held, err := m.Worker.Hold(call, life, epoch, hold)
		cancel()
		if err != nil {
			failures++
			m.holdFailed(life, failures, err)
			_ = clocker.Sleep(ctx, holdPause)
			continue
		}
		failures = 0
		if m.held(life, held, sent) {
			m.await(ctx, noteWait)
		}
	}
	return ctx.Err()
}

// await waits until something has changed, at most for the given time.
func (m *Minder) await(ctx context.Context, most time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-m.changed:
	}
}

// deadline returns the end of the lease on the worker's clock, or 0 when there
// is nothing to renew. The caller holds the lock.
func (m *Minder) deadline() int64 {
	if m.clock.instant.IsZero() || !m.grantedUntil.After(m.Now()) {
		return 0
	}
	return m.clock.at(m.grantedUntil)
}

func (m *Minder) holdFailed(life plantainrail.Life, failures int, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.vm.Life != life {
		return
	}
	if m.leaving && !m.departed && !errors.Is(err, context.DeadlineExceeded) {
		// A worker that has said farewell runs on until its port is closed.
		m.departed = true
		m.Logger.Info("worker departed", zap.String("worker", life.ID))
		m.tell(linker.WorkReport{Gone: true})
	}
	if m.unreachable || m.departed || failures < failuresMost {
		return
	}
	m.unreachable = true
	m.Logger.Warn("worker lost", zap.String("worker", life.ID), zap.Error(err))
	m.tell(linker.WorkReport{})
}

// held takes in what the worker holds, and tells whether there are ends that
// are not noted.
func (m *Minder) held(life plantainrail.Life, held plantainrail.Held, sent time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.vm.Life != life {
		return false
	}
	if held.Born != 0 && held.Born != life.Born {
		if held.Born > life.Born {
			m.Logger.Info("worker reborn", zap.String("worker", life.ID), zap.Int64("born", held.Born))
			life.Born = held.Born
			m.begin(life)
			m.tell(linker.WorkReport{})
		}
		return false
	}
	if m.unreachable {
		m.unreachable = false
		m.Logger.Info("worker regained", zap.String("worker", life.ID))
		m.renew()
	}
	m.clock = workerClock{reading: held.Clock, instant: m.Now()}
	clear(m.running)
	for _, status := range held.Running {
		m.running[status.Ref] = status
	}
	m.heldAt = sent
	m.takeEnds(held.Ended)
	m.reconcile()
	m.pace()
	return len(m.ends) > 0
}

// takeEnds keeps the ends that are not noted and tells the owner of new ones.
func (m *Minder) takeEnds(ends []plantainrail.RunEnd) {
	m.ends = m.ends[:0]
	var fresh []plantainrail.RunEnd
	for _, end := range ends {
		if end.Number <= m.noted {
			continue
		}
		m.ends = append(m.ends, end)
		delete(m.wanted, end.Ref)
		delete(m.stopping, end.Ref)
		if end.Number > m.told {
			fresh = append(fresh, end)
		}
	}
	slices.SortFunc(fresh, func(a, b plantainrail.RunEnd) int { return int(a.Number - b.Number) })
	if len(fresh) > 0 && m.session != nil {
		m.told = fresh[len(fresh)-1].Number
		m.tell(linker.WorkReport{Ends: fresh})
	}
}

// reconcile ends runs that the owner does not want. The caller holds the lock.
func (m *Minder) reconcile() {
	if !m.whole {
		return
	}
	for ref := range m.running {
		if m.wanted[ref] == nil && !m.stopping[ref] {
			m.stop(ref, "not wanted")
		}
	}
}

// orderLimit is how long a start is tried; a run that was not taken by then is
// kept from starting.
const orderLimit = 1500 * time.Millisecond

// callLimit bounds one call that starts or stops a run.
const callLimit = 300 * time.Millisecond

// start hands a run to the worker. The caller holds the lock.
func (m *Minder) start(r *run) {
	go m.startRun(m.vm.Life, r, m.Now().Add(orderLimit))
}

// startRun tries until the worker has answered, the time is over, or the run is
// to be ended: an order that waited for a renewal must not outlive the owner's
// giving the worker up.
func (m *Minder) startRun(life plantainrail.Life, r *run, until time.Time) {
	ref := r.order.Ref
	for {
		m.mu.Lock()
		if m.over(life) || m.wanted[ref] != r || m.stopping[ref] {
			m.mu.Unlock()
			return
		}
		epoch, deadline, draining := m.epoch, m.deadline(), m.vm.Draining
		m.mu.Unlock()
		switch {
		case draining:
			m.withdraw(life, r, plantainrail.RefusedDraining)
			return
		case m.Now().After(until):
			m.withdraw(life, r, plantainrail.RefusedSilent)
			return
		case deadline == 0:
			_ = clocker.Sleep(context.Background(), holdPause/3)
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), callLimit)
		err := m.Worker.Start(ctx, life, epoch, r.order, deadline)
		cancel()
		var refused *plantainrail.RefusedError
		switch {
		case err == nil:
			m.mu.Lock()
			m.paceRun(r)
			m.mu.Unlock()
			return
		case errors.As(err, &refused):
			m.withdraw(life, r, refused.Reason)
			return
		}
		m.Logger.Warn("start not answered", zap.Stringer("task", ref.Task), zap.Int64("run", ref.Run), zap.Error(err))
		_ = clocker.Sleep(context.Background(), holdPause/3)
	}
}

// withdraw keeps a run from starting and tells the owner. The stop is owed even
// after a refusal: an earlier try, also one of this agent's process before, may
// be carried out seconds later.
func (m *Minder) withdraw(life plantainrail.Life, r *run, reason plantainrail.RefusalReason) {
	ref := r.order.Ref
	m.mu.Lock()
	if m.vm.Life != life || m.wanted[ref] != r {
		m.mu.Unlock()
		return
	}
	m.stopping[ref] = true
	m.mu.Unlock()
	if m.stopRun(life, ref) {
		m.settle(life, r, reason)
	}
}

// settle tells the owner that a run was not started, once the worker was asked
// after the call that proves it: a run that had begun is listed then.
func (m *Minder) settle(life plantainrail.Life, r *run, reason plantainrail.RefusalReason) {
	since := m.Now()
	for {
		m.mu.Lock()
		over := m.over(life) || m.wanted[r.order.Ref] != r
		looked := m.heldAt.After(since)
		m.mu.Unlock()
		switch {
		case over:
			return
		case looked:
			m.refuse(life, r, reason)
			return
		}
		_ = clocker.Sleep(context.Background(), holdPause/3)
	}
}

// refuse tells the owner that a run was not started and never will be.
func (m *Minder) refuse(life plantainrail.Life, r *run, reason plantainrail.RefusalReason) {
	ref := r.order.Ref
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.vm.Life != life || m.wanted[ref] != r {
		return
	}
	if _, runs := m.running[ref]; runs {
		return
	}
	delete(m.wanted, ref)
	delete(m.stopping, ref)
	m.Logger.Info("run refused", zap.Stringer("task", ref.Task), zap.Int64("run", ref.Run), zap.String("reason", string(reason)))
	m.tell(linker.WorkReport{Refused: []linker.RunRefusal{{Ref: ref, Reason: reason}}})
}

// stop ends a run. The caller holds the lock.
func (m *Minder) stop(ref plantainrail.RunRef, reason string) {
	if m.stopping[ref] {
		return
	}
	m.stopping[ref] = true
	r := m.wanted[ref]
	life := m.vm.Life
	m.Logger.Info("run stopped", zap.Stringer("task", ref.Task), zap.Int64("run", ref.Run), zap.String("reason", reason))
	go func() {
		if m.stopRun(life, ref) && r != nil {
			m.settle(life, r, plantainrail.RefusedSilent)
		}
	}()
}

// stopRun tries until the worker has answered or its life is over.
func (m *Minder) stopRun(life plantainrail.Life, ref plantainrail.RunRef) bool {
	for {
		m.mu.Lock()
		gone, epoch := m.over(life) || !m.stopping[ref], m.epoch
		m.mu.Unlock()
		if gone {
			return false
		}
		ctx, cancel := context.WithTimeout(context.Background(), callLimit)
		err := m.Worker.Stop(ctx, life, epoch, ref)
		cancel()
		var refused *plantainrail.RefusedError
		if err == nil || errors.As(err, &refused) && refused.Reason == plantainrail.RefusedOld {
			return true
		}
		m.Logger.Warn("stop not answered", zap.Stringer("task", ref.Task), zap.Int64("run", ref.Run), zap.Error(err))
		_ = clocker.Sleep(context.Background(), holdPause)
	}
}
