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
	// renewLeaseWait is the usual maximum wait of a RenewLease call, which is a long
	// poll: the worker replies when a run ends or the wait is over.
	renewLeaseWait = time.Second
	// renewLeaseTimeoutMargin is how long a RenewLease call may take beyond its
	// wait.
	renewLeaseTimeoutMargin = 700 * time.Millisecond
	// workerRetryDelay is the delay after a failed RenewLease or Stop call to the
	// worker. A third of it is the delay between two tries of a start and between two
	// checks whether a lease renewal or a new list of the worker's runs has arrived.
	workerRetryDelay = 150 * time.Millisecond
	// acknowledgmentWait is how long the agent waits for the owner to acknowledge
	// run ends before it polls the worker again.
	acknowledgmentWait = 250 * time.Millisecond
	// maxRenewLeaseFailures is the number of consecutive failed RenewLease calls
	// after which the worker counts as unreachable and gets no new runs.
	maxRenewLeaseFailures = 2
	// missingTime is how long the worker may list neither a run that has begun nor its end.
	missingTime = 500 * time.Millisecond
	// maxListedEnds is the number of ends that the worker lists at most.
	maxListedEnds = 500
)

// pollWorker polls the worker for its runs and their ends, and renews its lease,
// until the context ends. It returns the context's error.
func (m *Minder) pollWorker(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		m.mu.Lock()
		incarnation := m.vm.Incarnation
		epoch := m.epoch
		renewal := plantainrail.LeaseRenewal{AckedThrough: m.acknowledged, DeadlineMS: m.leaseDeadline(), Wait: renewLeaseWait}
		if m.pollFailed {
			// The worker may have restarted, and its next incarnation numbers its ends anew.
			renewal.AckedThrough = 0
		}
		switch {
		case m.listingWanted:
			renewal.Wait = 0
		case len(m.ends) > 0:
			// The wait of at most acknowledgmentWait after each call replaces the long poll.
			renewal.Wait = 0
		case m.pollFailed || m.unreachable || m.clock.readAt.IsZero():
			// The reply shows that the worker is there, a new incarnation, or the clock without which
			// no lease can be set.
			renewal.Wait = 0
		case m.runMissing:
			renewal.Wait = missingTime
		case m.needsPacing() || !m.ordersComplete:
			// Pacing needs new measurements at each interval. Until the list of ordered
			// runs is complete, it is not known whether there are fillers.
			renewal.Wait = paceInterval
		}
		if incarnation.IsZero() {
			m.mu.Unlock()
			m.waitForChange(ctx, renewLeaseWait)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, renewal.Wait+renewLeaseTimeoutMargin)
		m.polls++
		poll := m.polls
		m.listingWanted, m.endPoll = false, cancel
		m.mu.Unlock()
		reply, err := m.Worker.RenewLease(callCtx, incarnation, epoch, renewal)
		ended := errors.Is(callCtx.Err(), context.Canceled)
		cancel()
		switch {
		case err != nil && ended:
			// wantListing has ended the call.
			continue
		case err != nil:
			failures++
			m.renewLeaseFailed(incarnation, failures, err)
			_ = clocker.Sleep(ctx, workerRetryDelay)
			continue
		}
		failures = 0
		if m.applyLeaseReply(incarnation, reply, poll) {
			m.waitForChange(ctx, acknowledgmentWait)
		}
	}
	return ctx.Err()
}

// wantListing makes the worker list its runs soon: it ends the present RenewLease call, and
// the next one does not wait for a run end. It returns the number of the present call, so
// that the replies to calls with higher numbers are known to be newer. The caller holds the
// lock.
func (m *Minder) wantListing() uint64 {
	m.listingWanted = true
	if m.endPoll != nil {
		m.endPoll()
	}
	m.wakePoller()
	return m.polls
}

// waitForChange waits for a value on m.changed, but at most for maxWait.
func (m *Minder) waitForChange(ctx context.Context, maxWait time.Duration) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-m.changed:
	}
}

// leaseDeadline returns the end of the lease in milliseconds on the worker's
// clock. It returns 0 if the lease has expired or the worker's clock is not known
// yet. The caller holds the lock.
func (m *Minder) leaseDeadline() int64 {
	if m.clock.readAt.IsZero() || !m.leaseUntil.After(m.Now()) {
		return 0
	}
	return m.clock.at(m.leaseUntil)
}

// showsEnd reports whether a failed call shows that a worker that has deregistered has ended.
// Such a worker replies until it closes its port. A call that timed out shows nothing, and
// a worker that refuses a call has not ended, unless it is another one by now.
func showsEnd(err error) bool {
	var refused *plantainrail.RefusedError
	if errors.As(err, &refused) {
		return refused.Reason == plantainrail.RefusedIncarnation
	}
	return !errors.Is(err, context.DeadlineExceeded)
}

// renewLeaseFailed handles a failed RenewLease call; failures is the number of calls that
// have failed in a row. If the worker has deregistered and the failure shows that it has
// ended, it reports to the owner that the worker has departed. Otherwise, once failures reaches
// maxRenewLeaseFailures, it marks the worker as unreachable and reports it as draining.
// Each change is reported once. Failed calls to an earlier incarnation are ignored.
func (m *Minder) renewLeaseFailed(incarnation plantainrail.WorkerIncarnation, failures int, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.vm.Incarnation != incarnation {
		return
	}
	var refused *plantainrail.RefusedError
	if errors.As(err, &refused) && refused.Reason != plantainrail.RefusedIncarnation && m.reborn(refused.StartedMS) {
		return
	}
	m.pollFailed = true
	if brokenOff(err) {
		m.noteBreak()
	}
	if m.leaving && !m.departed && showsEnd(err) {
		m.departed = true
		m.Logger.Info("worker departed", zap.String("worker", incarnation.ID))
		m.reportDeparture()
	}
	if m.unreachable || m.departed || failures < maxRenewLeaseFailures {
		return
	}
	m.unreachable = true
	m.Logger.Warn("worker lost", zap.String("worker", incarnation.ID), zap.Any("started", m.crashes.suspects), zap.Error(err))
	m.report(linker.WorkReport{})
}

// applyLeaseReply records the worker's reply to the RenewLease call with the given
// number. It reports whether there are run ends that the owner has not
// acknowledged. If the reply shows that the worker has restarted, the new incarnation
// becomes the current one and the rest of the reply is ignored. The reply to a call that was
// meant for an earlier incarnation is ignored, too. In both cases the result is false.
func (m *Minder) applyLeaseReply(incarnation plantainrail.WorkerIncarnation, reply plantainrail.LeaseReply, poll uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.vm.Incarnation != incarnation {
		return false
	}
	if m.reborn(reply.StartedMS) {
		return false
	}
	m.pollFailed = false
	if m.unreachable || m.departed {
		m.unreachable, m.departed, m.departureAcked = false, false, false
		// The worker replies again. If it seemed to have departed, the owner has removed it;
		// it now registers it again and tells which of its runs are still wanted.
		m.Logger.Info("worker regained", zap.String("worker", incarnation.ID))
		m.renew()
	}
	m.crashes = m.crashes.withAnswer()
	m.clock = workerClock{reading: reply.ClockMS, readAt: m.Now()}
	clear(m.running)
	for _, status := range reply.Running {
		m.running[status.Ref] = status
	}
	if reply.Malformed > 0 {
		m.Logger.Error("runs unreadable", zap.String("worker", incarnation.ID), zap.Int("rows", reply.Malformed))
	}
	m.listedPoll, m.endsOmitted = poll, len(reply.Ended)+reply.Malformed-reply.MalformedRunning >= maxListedEnds
	m.runsUnreadable = reply.MalformedRunning > 0
	m.applyEnds(reply.Ended)
	m.reconcile()
	if m.listComplete() {
		m.checkMissing(poll)
	}
	m.updatePace()
	return len(m.ends) > 0
}

// reborn reports whether an answer under the worker's ID is of another incarnation than the
// current one, given the start that it names, and switches to it if so. The start may seem to
// be the earlier one, since the time of day may have been set back meanwhile. The caller holds
// the lock.
func (m *Minder) reborn(startedMS int64) bool {
	incarnation := m.vm.Incarnation
	if startedMS == 0 || startedMS == incarnation.StartedMS {
		return false
	}
	m.Logger.Info("worker reborn", zap.String("worker", incarnation.ID), zap.Int64("born", startedMS))
	incarnation.StartedMS = startedMS
	m.startIncarnation(incarnation)
	m.renew()
	return true
}

// applyEnds replaces the known run ends by those that the worker lists and the owner
// has not acknowledged, and removes the ended runs from the ordered runs. Ends that were
// not reported in the current session are reported to the owner in ascending order of
// their numbers, since the owner skips an end that follows one with a higher number.
// The caller holds the lock.
func (m *Minder) applyEnds(ends []plantainrail.RunEnd) {
	m.ends = m.ends[:0]
	var unreported []plantainrail.RunEnd
	for _, end := range ends {
		if end.Number <= m.acknowledged {
			continue
		}
		m.ends = append(m.ends, end)
		delete(m.orderedRuns, end.Ref)
		delete(m.stopping, end.Ref)
		if end.Number > m.reported {
			unreported = append(unreported, end)
		}
	}
	slices.SortFunc(unreported, func(a, b plantainrail.RunEnd) int { return int(a.Number - b.Number) })
	if len(unreported) > 0 && m.session != nil {
		m.reported = unreported[len(unreported)-1].Number
		m.report(linker.WorkReport{Ended: unreported})
	}
}

// reconcile stops the worker's runs that the owner has not ordered. It does nothing until
// the owner has sent the complete list of the runs that it wants, unless it does not know of
// the incarnation yet and so wants none. The caller holds the lock.
func (m *Minder) reconcile() {
	if !m.ordersComplete && !m.clearingEarlierRuns {
		return
	}
	for ref := range m.running {
		if m.orderedRuns[ref] == nil && !m.stopping[ref] {
			m.stop(ref, "not wanted")
		}
	}
}

// listComplete reports whether a run that the worker's last reply does not show is neither running nor
// among the ends that the worker keeps. The caller holds the lock.
func (m *Minder) listComplete() bool { return !m.endsOmitted && !m.runsUnreadable }

// markBegun records that the worker has accepted or listed a run. The caller holds the lock.
func (m *Minder) markBegun(r *run) {
	if !r.begun && !r.reordered {
		r.begunAt = m.Now()
	}
	r.begun, r.begunPoll, r.missingSince = true, m.polls, time.Time{}
}

// checkMissing looks for ordered runs that the worker has accepted and of which its reply to
// the RenewLease call with the given number shows nothing. A late call of an earlier
// incarnation may have made the worker forget their ends. After missingTime such a run is
// stopped, so that it cannot start later, and refused, so that the owner places its task again.
// The caller holds the lock.
func (m *Minder) checkMissing(poll uint64) {
	m.runMissing = false
	for ref, r := range m.orderedRuns {
		_, listed := m.running[ref]
		switch {
		case listed:
			m.markBegun(r)
		case !r.begun || poll <= r.begunPoll || m.stopping[ref] && !r.stopConfirmed:
			// The reply need not show the run.
		case r.missingSince.IsZero():
			r.missingSince, m.runMissing = m.Now(), true
		case m.Now().Sub(r.missingSince) < missingTime:
			m.runMissing = true
		default:
			m.Logger.Warn("run missing", zap.Stringer("task", ref.Task), zap.Int64("run", ref.Run), zap.Duration("for", m.Now().Sub(r.missingSince)))
			r.stopConfirmed, m.stopping[ref] = false, true
			go m.cancelStart(m.vm.Incarnation, r, plantainrail.RefusedMissing)
		}
	}
}
