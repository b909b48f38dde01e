package minder

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/clocker"
)

const (
	// confirmationDelay is how long after the interval of the heartbeats the worker is asked
	// whether it is the incarnation that one names. So a worker that does not answer yet is
	// asked until its next heartbeat.
	confirmationDelay = 500 * time.Millisecond
	// maxConfirmations bounds the heartbeats that are being confirmed at the same time.
	maxConfirmations = 8
)

const (
	// maxSequenceGap bounds the gap between the sequence numbers of two heartbeats in a
	// row. It allows for those that were lost.
	maxSequenceGap = 1000
	// resyncDelay is the time after which heartbeats that contradict the known order count.
	// Those that a suspended agent receives all at once are closer together.
	resyncDelay = 500 * time.Millisecond
)

// heartbeatOrder tells which heartbeats of an incarnation count: those in the order of their
// sequence numbers. If two heartbeats in a row contradict it, their order counts instead,
// since one of another writer may have been accepted before. The zero value is that of an
// incarnation without heartbeats.
type heartbeatOrder struct {
	// newest is the sequence number of the newest heartbeat that counts.
	newest int64
	// passed is that of a heartbeat that was passed over since. From resyncAt on, one that
	// follows it counts; zero if none was passed over.
	passed   int64
	resyncAt time.Time
}

// accept reports whether the heartbeat with the sequence number counts.
func (o *heartbeatOrder) accept(sequence int64, now time.Time) bool {
	// A difference that overflows is negative.
	follows := func(earlier int64) bool { return sequence-earlier > 0 && sequence-earlier <= maxSequenceGap }
	contradicted := !o.resyncAt.IsZero() && follows(o.passed)
	if follows(o.newest) || contradicted && !now.Before(o.resyncAt) {
		*o = heartbeatOrder{newest: sequence}
		return true
	}
	o.passed = sequence
	if !contradicted {
		o.resyncAt = now.Add(resyncDelay)
	}
	return false
}

// identity is what a call to the worker shows about a claimed incarnation.
type identity int

const (
	identityUnknown identity = iota
	identityConfirmed
	identityRefuted
)

// identify returns what the outcome of a call that was addressed to the claimed
// incarnation shows. Only the worker itself can tell which incarnation it is: the start
// times that heartbeats name are in no order if another writer sends one, or if the time
// of day was set back.
func identify(current, claimed plantainrail.WorkerIncarnation, reply plantainrail.LeaseReply, err error) identity {
	startedMS := reply.StartedMS
	var refused *plantainrail.RefusedError
	if errors.As(err, &refused) {
		startedMS = refused.StartedMS
	}
	switch {
	case refused != nil && refused.Reason == plantainrail.RefusedIncarnation:
		return identityRefuted
	case startedMS != 0 && startedMS == claimed.StartedMS:
		return identityConfirmed
	case startedMS != 0:
		return identityRefuted
	case err == nil && (claimed.ID != current.ID || claimed.StartedMS > current.StartedMS):
		// A worker that lists its runs without its start goes at least by the ID.
		return identityConfirmed
	}
	return identityUnknown
}

// lowEpoch reports whether the worker has refused a call for its epoch.
func lowEpoch(err error) bool {
	var refused *plantainrail.RefusedError
	return errors.As(err, &refused) && refused.Reason == plantainrail.RefusedEpoch
}

// confirm asks the worker whether it is the incarnation that the heartbeat names, and
// applies the heartbeat if it is. The calls change nothing on the worker: they neither
// extend the lease nor acknowledge ends.
func (m *Minder) confirm(h plantainrail.Heartbeat) {
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.confirmations--
	}()
	claimed := h.VM.Incarnation
	outdated := false
	for until := m.Now().Add(m.HeartbeatInterval + confirmationDelay); m.Now().Before(until); _ = clocker.Sleep(context.Background(), workerRetryDelay/3) {
		m.mu.Lock()
		current, epoch := m.vm.Incarnation, m.epoch
		if outdated {
			// A refusal that does not name the start shows nothing; the epoch that the
			// owner has published gets a reply.
			epoch = max(epoch, m.entries.ownerEpoch)
		}
		stopped := m.superseded(current)
		m.mu.Unlock()
		if stopped {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		reply, err := m.Worker.RenewLease(ctx, claimed, epoch, plantainrail.LeaseRenewal{})
		cancel()
		outdated = outdated || lowEpoch(err)
		if m.settle(h, current, identify(current, claimed, reply, err)) {
			return
		}
	}
	m.Logger.Warn("heartbeat not confirmed", zap.String("worker", claimed.ID), zap.Int64("born", claimed.StartedMS))
}

// settle applies a heartbeat that the worker has confirmed, and drops one that it has
// refuted. It returns false if the worker has to be asked again, also because the current
// incarnation is no longer the one that was current before the call.
func (m *Minder) settle(h plantainrail.Heartbeat, current plantainrail.WorkerIncarnation, shown identity) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	claimed := h.VM.Incarnation
	switch {
	case m.vm.Incarnation == claimed:
		m.applyHeartbeat(h)
		return true
	case m.vm.Incarnation != current || shown == identityUnknown:
		return false
	case shown == identityRefuted:
		m.Logger.Warn("heartbeat refuted", zap.String("worker", claimed.ID), zap.Int64("born", claimed.StartedMS), zap.String("current", current.ID))
		return true
	}
	m.startIncarnation(claimed)
	m.heartbeats = heartbeatOrder{newest: h.Sequence}
	m.recordHeartbeat(h)
	return true
}
