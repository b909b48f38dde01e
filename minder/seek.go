package minder

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail/clocker"
	"github.com/plantainrail/plantainrail/linker"
)

// An entry that has been replaced may not know it, for example while it is cut off from the store, and keeps a
// session alive on which it grants nothing. So the agent goes by what the owner grants: if that is overdue, it reads
// the members topic at once, and asks the other entries as well, since it may be cut off from the store itself. The
// session stays open meanwhile: in an outage of the store the owner grants nothing either.

const (
	// membersWait is the maximum wait of a long-polled read of the members topic, and seekWait the
	// one while the agent seeks the owner: nothing else ends a read whose answer was lost.
	membersWait = 20 * time.Second
	seekWait    = time.Second
	// seekDelay is how long the owner counts as found after its session was closed, silentSeekDelay after a
	// session has ended since it was silent, and renewalDelay after a granted request for a renewal, or a report of the
	// worker's departure, on a session that lives. Until then the agent asks the entries that it knows. Most changes of
	// the owner take less from when it is lost, so that they cause no reads of the store.
	seekDelay       = 2 * time.Second
	silentSeekDelay = 750 * time.Millisecond
	renewalDelay    = 2500 * time.Millisecond
	// seekInterval is the time between two other entries that are asked.
	seekInterval = 500 * time.Millisecond
)

// ownerSought reports whether the agent has to find the owner: it had a session, which has ended a while ago, or
// what it has asked for on the present one is overdue: a renewal of its lease for renewalDelay, though its worker needs
// one, or the acknowledgement of the worker's departure. The caller holds the lock.
func (m *Minder) ownerSought() bool {
	now := m.Now()
	found := now.Add(-renewalDelay)
	switch {
	case m.vm.Incarnation.IsZero():
		return false
	case m.session == nil:
		return !m.seekAt.After(now)
	case m.departed:
		return !m.departureAcked && !m.departureDue.After(now)
	case m.unreachable:
		return false
	}
	return !m.dialedAt.After(found) && !m.leaseUntil.After(found.Add(m.Lease))
}

// seekOwner ends a long read of the members topic if the owner has to be found. The caller holds the
// lock.
func (m *Minder) seekOwner() {
	if m.endLongRead != nil && m.ownerSought() {
		m.endLongRead()
	}
}

// reportDeparture reports that the worker has ended. The caller holds the lock.
func (m *Minder) reportDeparture() {
	m.departureDue = m.Now().Add(renewalDelay)
	m.report(linker.WorkReport{Departed: true})
}

// seekOtherOwner asks the other entries in turn whether they own the jobs, while the owner is sought and there is a
// session, until the context ends. It returns the context's error.
func (m *Minder) seekOtherOwner(ctx context.Context) error {
	for clocker.Sleep(ctx, seekInterval) == nil {
		m.mu.Lock()
		session, current, address := m.session, m.sessionAddress, ""
		if session != nil && m.ownerSought() {
			address = m.entries.other(current)
		}
		m.mu.Unlock()
		if address == "" {
			continue
		}
		if owner := m.tryOwner(ctx, session, address); owner != "" && owner != address && owner != current {
			m.tryOwner(ctx, session, owner)
		}
	}
	m.dropFound()
	return ctx.Err()
}

// tryOwner replaces the session by one with the entry at the address if that entry owns the jobs. Otherwise it
// returns the address of the owner as that entry knows it, which may be empty.
func (m *Minder) tryOwner(ctx context.Context, replaced *linker.Session, address string) (owner string) {
	dialedAt := m.Now()
	session, told, err := m.Dial(ctx, address)
	if err != nil {
		m.Logger.Debug("owner not found", zap.String("address", address), zap.String("owner", told.Address), zap.Error(err))
		return told.Address
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.session != replaced || told.Epoch > 0 && m.replaced(told.Epoch) {
		session.Close()
		return ""
	}
	m.Logger.Warn("owner found at another entry", zap.String("address", address), zap.String("replaced", m.sessionAddress), zap.Int64("epoch", m.sessionEpoch))
	m.found = &dialedSession{session, address, told.Epoch, dialedAt}
	replaced.Close()
	return ""
}

// takeFound returns the session that tryOwner has found, or nil if there is none.
func (m *Minder) takeFound() *dialedSession {
	m.mu.Lock()
	defer m.mu.Unlock()
	found := m.found
	m.found = nil
	return found
}

// hasFound reports whether tryOwner has found a session.
func (m *Minder) hasFound() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.found != nil
}

// dropFound closes a session that tryOwner has found and that nobody runs.
func (m *Minder) dropFound() {
	if found := m.takeFound(); found != nil {
		found.session.Close()
	}
}
