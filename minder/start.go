package minder

import (
	"context"
	"maps"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/clocker"
	"github.com/plantainrail/plantainrail/linker"
	"github.com/plantainrail/plantainrail/pacer"
)

const (
	// startTimeout is how long a start is retried. If the worker has not accepted it by
	// then, the start is cancelled.
	startTimeout = 1500 * time.Millisecond
	// heartbeatDelay is how long after the interval of the heartbeats the newest one still
	// counts when a run is started. The capacity that it shows may have changed since.
	heartbeatDelay = 1500 * time.Millisecond
	// settleTime is how long a start waits for room or for the next RenewLease call after a
	// failed one. The end of a run that the owner knows from elsewhere may not be listed yet.
	settleTime = 2 * workerRetryDelay
	// callTimeout bounds one call that starts, stops or paces a run.
	callTimeout = 300 * time.Millisecond
	// maxStopTimeout bounds one call that stops a run. Calls without an answer get twice as long each
	// time, so that a slow worker can confirm the stop.
	maxStopTimeout = time.Second
	// lateCallTime is how long the worker may take to execute a call that it has not answered.
	lateCallTime = 30 * time.Second
)

// lateStarts holds the runs whose starts the worker may still execute, also after a restart
// under its ID, with the time of the last such call.
type lateStarts map[plantainrail.RunRef]time.Time

// add records a start that is being sent, and drops those of more than lateCallTime ago.
func (l lateStarts) add(ref plantainrail.RunRef, now time.Time) {
	maps.DeleteFunc(l, func(_ plantainrail.RunRef, sentAt time.Time) bool { return now.Sub(sentAt) > lateCallTime })
	l[ref] = now
}

// refs returns the runs whose last start was sent at most lateCallTime ago.
func (l lateStarts) refs(now time.Time) []plantainrail.RunRef {
	var refs []plantainrail.RunRef
	for ref, sentAt := range l {
		if now.Sub(sentAt) <= lateCallTime {
			refs = append(refs, ref)
		}
	}
	return refs
}

// start starts a run on the worker in the background, and cancels the start if it is refused.
// The caller holds the lock.
func (m *Minder) start(r *run) {
	incarnation := m.vm.Incarnation
	go func() {
		release := m.starts.acquire(r)
		before, after := quietTimes(r.order)
		if before > 0 && m.wants(incarnation, r) {
			// Starts just before must be told apart from this one.
			_ = clocker.Sleep(context.Background(), before)
		}
		refusal := m.startRun(incarnation, r)
		if after > 0 && refusal == nil && m.wants(incarnation, r) {
			_ = clocker.Sleep(context.Background(), after)
		}
		release()
		if refusal != nil {
			m.refuseStart(incarnation, r, *refusal)
		}
	}()
}

// wants reports whether a run is still to be started on the incarnation of the worker.
func (m *Minder) wants(incarnation plantainrail.WorkerIncarnation, r *run) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.superseded(incarnation) && m.orderedRuns[r.order.Ref] == r && !m.stopping[r.order.Ref]
}

// later returns the later one of two instants.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// startRefusal tells why a run is not started. Unanswered is set if the worker may still
// execute an earlier try.
type startRefusal struct {
	reason     plantainrail.RefusalReason
	unanswered bool
}

// startRun sends a start to the worker and repeats it until the worker accepts or
// refuses it or the run is to be stopped. It returns a refusal if the worker refuses the
// run, the worker's capacity is too small, the VM is draining or startTimeout has passed,
// and otherwise nil. The time limit also bounds the wait for a lease renewal: a start must
// not be sent after the owner has declared the worker lost.
func (m *Minder) startRun(incarnation plantainrail.WorkerIncarnation, r *run) *startRefusal {
	// unanswered is set if the worker may still execute an earlier try. A run that was
	// ordered again may have been tried by a previous process of this agent.
	unanswered := r.reordered
	var until time.Time
	for {
		release := m.starts.takeTurn()
		if until.IsZero() {
			// A start that had to wait for its turn is tried, but does not hold up the next ones
			// for as long.
			until = later(r.orderedAt.Add(startTimeout), m.Now().Add(workerRetryDelay))
		}
		refusal, settled := m.tryStart(incarnation, r, until, unanswered)
		release()
		if settled {
			return refusal
		}
		unanswered = unanswered || refusal != nil
		_ = clocker.Sleep(context.Background(), workerRetryDelay/3)
	}
}

// tryStart sends a start to the worker unless it has to wait. It reports whether the start is
// settled, and then returns the refusal, if any. If it is not settled, the result is not nil after
// a try without an answer. Only one start is under way at a time, and the next one waits for the
// outcome: a worker that restarts with a smaller capacity executes what reaches it.
func (m *Minder) tryStart(incarnation plantainrail.WorkerIncarnation, r *run, until time.Time, unanswered bool) (refusal *startRefusal, settled bool) {
	ref := r.order.Ref
	m.mu.Lock()
	if m.superseded(incarnation) || m.orderedRuns[ref] != r || m.stopping[ref] {
		m.mu.Unlock()
		return nil, true
	}
	if _, listed := m.running[ref]; listed {
		// An earlier try was executed.
		m.markBegun(r)
		m.mu.Unlock()
		return nil, true
	}
	epoch, deadline, clock := m.epoch, m.leaseDeadline(), m.clock
	reason, wait := m.startObstacle(r, until, unanswered)
	if reason == "" && !wait {
		m.lateStarts.add(ref, m.Now())
	}
	m.mu.Unlock()
	switch {
	case reason != "":
		return &startRefusal{reason, unanswered}, true
	case wait:
		return nil, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	sentAt := m.Now()
	reply, err := m.Worker.Start(ctx, incarnation, epoch, r.order, deadline)
	cancel()
	m.noteStart(incarnation, ref, sentAt, err)
	var refused *plantainrail.RefusedError
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil && executedBy(incarnation, clock, reply) || errors.As(err, &refused) || dialFailed(err) {
		if !unanswered {
			delete(m.lateStarts, ref)
		}
	} else if !m.superseded(incarnation) && !errors.Is(err, context.DeadlineExceeded) {
		m.unconfirmedPoll = m.wantListing()
	}
	switch {
	case err == nil:
		m.markBegun(r)
		m.applyPace(r)
		return nil, true
	case refused != nil:
		return &startRefusal{refused.Reason, unanswered}, true
	}
	m.Logger.Warn("start not answered", zap.Stringer("task", ref.Task), zap.Int64("run", ref.Run), zap.Error(err))
	return &startRefusal{unanswered: true}, false
}

// executedBy reports whether the incarnation has executed a start, given its clock as read before
// the start was sent, and the reply.
func executedBy(incarnation plantainrail.WorkerIncarnation, clock workerClock, reply plantainrail.StartReply) bool {
	return reply.ClockMS >= clock.reading && (reply.StartedMS == 0 || reply.StartedMS == incarnation.StartedMS)
}

// startObstacle returns the reason for which a run must be refused now, if any, or reports
// whether its start has to wait. The caller holds the lock.
func (m *Minder) startObstacle(r *run, until time.Time, unanswered bool) (reason plantainrail.RefusalReason, wait bool) {
	now := m.Now()
	settled := now.After(r.orderedAt.Add(settleTime))
	capacityKnown := m.capacityKnown()
	// A run that was ordered before may be running until a newer list shows that it is not.
	mayRun := r.reordered && m.listedPoll <= r.orderedPoll
	fits := m.fits(r)
	expired := !r.startUntil.IsZero() && !now.Before(r.startUntil)
	// A filler would work at full speed until its pace takes effect, and so spoil the pause.
	paused := r.order.Filler && m.pacing.pacer.Pace() == pacer.ZeroPace
	switch {
	case r.order.Adopt && !mayRun:
		return plantainrail.RefusedZone, false
	case expired && !mayRun:
		return plantainrail.RefusedExpired, false
	case m.vm.Draining:
		return plantainrail.RefusedDraining, false
	case paused && !mayRun && !unanswered && now.After(until):
		// The worker is not at fault.
		return plantainrail.RefusedExpired, false
	case now.After(until):
		return plantainrail.RefusedNoResponse, false
	case m.pollFailed && settled && !unanswered:
		return plantainrail.RefusedUnhealthy, false
	case !fits && settled && capacityKnown && !mayRun:
		return plantainrail.RefusedCapacity, false
	}
	// Without a deadline, the start waits for a renewal of the lease.
	return "", paused || r.order.Adopt || expired || m.pollFailed || m.unconfirmed() || !capacityKnown || !fits || m.leaseDeadline() == 0
}

// unconfirmed reports whether the worker may have restarted since it last listed its runs, as the
// outcome of a start shows. The caller holds the lock.
func (m *Minder) unconfirmed() bool {
	return m.unconfirmedPoll > 0 && m.listedPoll <= m.unconfirmedPoll
}

// capacityKnown reports whether the current incarnation has sent a heartbeat recently. The caller
// holds the lock.
func (m *Minder) capacityKnown() bool {
	return m.Now().Sub(m.heartbeatAt) <= m.HeartbeatInterval+heartbeatDelay
}

// fits reports whether the worker has room for a run, according to its newest heartbeat,
// beside all others that may be running. If so, the run holds that room from then on. Runs
// that were not ordered to start hold an unknown room until they are stopped. The caller holds
// the lock.
func (m *Minder) fits(r *run) bool {
	for ref := range m.running {
		if other := m.orderedRuns[ref]; other == nil || other.sizeUnknown {
			return false
		}
	}
	needed := r.order.Reservation
	for _, other := range m.orderedRuns {
		if other != r && other.holdsRoom {
			needed = needed.Add(other.order.Reservation)
		}
	}
	fits := needed.Fits(m.vm.Capacity)
	r.holdsRoom = r.holdsRoom || fits
	return fits
}

// refuseStart reports to the owner that a run was not started. It first cancels the start
// if the worker may still execute an earlier try, and for those reasons after which the
// owner may place the next run on the VM at once.
func (m *Minder) refuseStart(incarnation plantainrail.WorkerIncarnation, r *run, refusal startRefusal) {
	switch refusal.reason {
	case plantainrail.RefusedCapacity, plantainrail.RefusedUnhealthy, plantainrail.RefusedDraining, plantainrail.RefusedNoResponse, plantainrail.RefusedExpired:
		if !refusal.unanswered {
			m.reportRefusal(incarnation, r, refusal.reason)
			return
		}
	}
	m.cancelStart(incarnation, r, refusal.reason)
}

// cancelStart prevents a run from starting and reports the refusal to the owner. It
// stops the run even if the worker has refused the start: the worker may execute an
// earlier try seconds later, even one that a previous process of this agent sent.
func (m *Minder) cancelStart(incarnation plantainrail.WorkerIncarnation, r *run, reason plantainrail.RefusalReason) {
	ref := r.order.Ref
	m.mu.Lock()
	if m.vm.Incarnation != incarnation || m.orderedRuns[ref] != r {
		m.mu.Unlock()
		return
	}
	m.stopping[ref] = true
	m.mu.Unlock()
	if m.stopRun(incarnation, ref) {
		m.refuseAfterListing(incarnation, r, reason)
	}
}

// refuseAfterListing reports to the owner that a run was not started. It first
// waits for the worker's reply to a RenewLease call that was sent after the stop,
// since a run that did start is listed in that reply, or its end is once the worker lists all
// ends. It reports nothing if the run is no longer among the ordered runs by then.
func (m *Minder) refuseAfterListing(incarnation plantainrail.WorkerIncarnation, r *run, reason plantainrail.RefusalReason) {
	m.mu.Lock()
	since := m.polls
	if _, listed := m.running[r.order.Ref]; !listed {
		m.wantListing()
	}
	m.mu.Unlock()
	for {
		m.mu.Lock()
		obsolete := m.superseded(incarnation) || m.orderedRuns[r.order.Ref] != r
		listed := m.listedPoll > since && m.listComplete()
		m.mu.Unlock()
		switch {
		case obsolete:
			return
		case listed:
			m.reportRefusal(incarnation, r, reason)
			return
		}
		_ = clocker.Sleep(context.Background(), workerRetryDelay/3)
	}
}

// reportRefusal reports to the owner that a run was not started and never will
// be. It does nothing if the worker lists the run, since its end will be reported.
func (m *Minder) reportRefusal(incarnation plantainrail.WorkerIncarnation, r *run, reason plantainrail.RefusalReason) {
	ref := r.order.Ref
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.vm.Incarnation != incarnation || m.orderedRuns[ref] != r {
		return
	}
	if _, listed := m.running[ref]; listed {
		r.stopConfirmed = m.stopping[ref]
		return
	}
	delete(m.orderedRuns, ref)
	delete(m.stopping, ref)
	if !m.ordersComplete {
		// The owner's list is under way. If it holds the run, the agent starts it or refuses it then; a
		// refusal now would let the owner place the task elsewhere as well.
		return
	}
	m.Logger.Info("run refused", zap.Stringer("task", ref.Task), zap.Int64("run", ref.Run), zap.String("reason", string(reason)))
	m.report(linker.WorkReport{Refused: []linker.RunRefusal{{Ref: ref, Reason: reason}}})
}

// stop stops a run in the background. A run that the owner has ordered but that was
// never started has no end, so a refusal is reported to the owner instead. The reason
// is only logged. The caller holds the lock.
func (m *Minder) stop(ref plantainrail.RunRef, reason string) {
	if m.stopping[ref] {
		return
	}
	m.stopping[ref] = true
	r := m.orderedRuns[ref]
	incarnation := m.vm.Incarnation
	// The event is logged when the stop begins, not when the run has ended.
	m.Logger.Info("run stopped", zap.Stringer("task", ref.Task), zap.Int64("run", ref.Run), zap.String("reason", reason))
	go func() {
		if m.stopRun(incarnation, ref) && r != nil {
			m.refuseAfterListing(incarnation, r, plantainrail.RefusedNoResponse)
		}
	}()
}

// stopRun sends a stop to the worker and repeats it until the worker has confirmed it,
// the run has ended, the incarnation is no longer the current one or the agent has
// stopped. It reports whether the worker has confirmed the stop. A refusal with
// RefusedStaleRun counts as confirmed, since the run has ended or was stopped before, and so does the
// end of the time within which a start may be executed; see startsOver.
func (m *Minder) stopRun(incarnation plantainrail.WorkerIncarnation, ref plantainrail.RunRef) bool {
	begun, timeout := m.Now(), callTimeout
	for {
		m.mu.Lock()
		obsolete, epoch := m.superseded(incarnation) || !m.stopping[ref], m.epoch
		over := !obsolete && m.startsOver(ref, begun)
		m.mu.Unlock()
		if obsolete || over {
			return over
		}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		err := m.Worker.Stop(ctx, incarnation, epoch, ref)
		cancel()
		var refused *plantainrail.RefusedError
		if err == nil || errors.As(err, &refused) && refused.Reason == plantainrail.RefusedStaleRun {
			return true
		}
		// The call failed, or the worker refused the stop for another reason.
		m.Logger.Warn("stop not answered", zap.Stringer("task", ref.Task), zap.Int64("run", ref.Run), zap.Error(err))
		timeout = min(2*timeout, maxStopTimeout)
		_ = clocker.Sleep(context.Background(), workerRetryDelay)
	}
}

// startsOver reports whether the worker can execute no more starts of a run that it does not list and
// whose stop was begun at the given time: it executes none whose deadline has passed. The caller
// holds the lock.
func (m *Minder) startsOver(ref plantainrail.RunRef, since time.Time) bool {
	_, listed := m.running[ref]
	// The worker's clock may run slow.
	return !listed && m.Now().Sub(later(since, m.lateStarts[ref])) > m.Lease+m.Lease/10
}
