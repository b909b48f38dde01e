package minder

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/clocker"
	"github.com/plantainrail/plantainrail/linker"
)

const (
	// renewInterval is how often the agent asks the owner to renew the lease.
	renewInterval = time.Second
	// redialDelay is the delay between two attempts to reach an owner.
	redialDelay = 100 * time.Millisecond
	// membersWait is the maximum wait of a long-polled read of the members topic.
	membersWait = 20 * time.Second
	// retryDelay is the delay after a failed read of the store.
	retryDelay = 300 * time.Millisecond
	// maxPendingRenewals bounds the renewal requests that have no answer yet. Above
	// it all of them are forgotten.
	maxPendingRenewals = 16
)

// directory holds the known addresses of the entries.
type directory struct {
	// ownerAddress is the newest owner's address, ownerEpoch the epoch of its
	// claim.
	ownerAddress string
	ownerEpoch   int64
	addresses    []string
	attempts     int
}

func newDirectory() directory { return directory{} }

// followMembers follows the members topic to learn who owns the jobs.
func (m *Minder) followMembers(ctx context.Context) error {
	next, lost := plantainrail.Offset(-1), false
	for ctx.Err() == nil {
		var batch plantainrail.KeyedBatch
		var err error
		if next < 0 {
			batch, err = m.Store.Newest(ctx, m.MembersTopic)
		} else {
			batch, err = m.Store.Read(ctx, m.MembersTopic, next, membersWait)
		}
		if err != nil {
			if !lost && ctx.Err() == nil {
				m.Logger.Warn("store lost", zap.Error(err))
			}
			// After an error, start again from the newest records, whatever the error
			// was.
			next, lost = -1, true
			_ = clocker.Sleep(ctx, retryDelay)
			continue
		}
		if lost {
			m.Logger.Info("store regained")
			lost = false
		}
		next = batch.Next
		for _, r := range batch.Records {
			m.applyMember(r)
		}
	}
	return ctx.Err()
}

func (m *Minder) applyMember(r plantainrail.KeyedRecord) {
	address, owner, epoch, err := m.ParseMember(r)
	if err != nil {
		m.Logger.Error("member unreadable", zap.String("key", r.Key), zap.Error(err))
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !owner {
		if address != "" {
			m.entries.add(address)
		}
		return
	}
	if epoch <= m.entries.ownerEpoch {
		return
	}
	m.entries.ownerAddress, m.entries.ownerEpoch = address, epoch
	m.entries.add(address)
	if m.session != nil && epoch > m.epoch {
		m.Logger.Info("owner changed", zap.String("address", address), zap.Int64("epoch", epoch))
		m.session.Close()
	}
}

// maxEntries bounds the addresses of entries that are kept. The oldest is
// dropped first.
const maxEntries = 64

func (o *directory) add(address string) {
	for _, known := range o.addresses {
		if known == address {
			return
		}
	}
	o.addresses = append(o.addresses, address)
	if len(o.addresses) > maxEntries {
		o.addresses = o.addresses[1:]
	}
}

// next returns the address to try. It alternates between the newest owner and
// the other entries in turn.
func (o *directory) next() string {
	o.attempts++
	if o.ownerAddress != "" && o.attempts%2 == 1 || len(o.addresses) == 0 {
		return o.ownerAddress
	}
	return o.addresses[(o.attempts/2)%len(o.addresses)]
}

// maintainSession keeps a session with the owner open until the context ends.
func (m *Minder) maintainSession(ctx context.Context) error {
	hint := ""
	for ctx.Err() == nil {
		m.mu.Lock()
		address := hint
		if address == "" {
			address = m.entries.next()
		}
		known := !m.vm.Incarnation.IsZero()
		m.mu.Unlock()
		if address == "" || !known {
			_ = clocker.Sleep(ctx, redialDelay)
			continue
		}
		session, owner, err := m.Dial(ctx, address)
		if err != nil {
			m.Logger.Debug("owner not reached", zap.String("address", address), zap.String("owner", owner), zap.Error(err))
			hint = ""
			if owner != address {
				hint = owner
			}
			_ = clocker.Sleep(ctx, redialDelay)
			continue
		}
		hint = ""
		m.openSession(session, address)
		err = session.Run(ctx, m)
		m.closeSession(session, err)
		_ = clocker.Sleep(ctx, redialDelay)
	}
	return ctx.Err()
}

func (m *Minder) openSession(session *linker.Session, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.session, m.reported, m.desiredComplete = session, m.acknowledged, false
	m.reportedStatus = nil
	clear(m.renewalSentAt)
	m.Logger.Info("session opened", zap.String("address", address))
	if m.departed {
		m.report(linker.WorkReport{Deregistered: true})
		return
	}
	m.reportEnds()
	m.renew()
	m.notifyChanged()
}

func (m *Minder) closeSession(session *linker.Session, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.session == session {
		m.session = nil
	}
	m.Logger.Info("session closed", zap.Int64("epoch", m.epoch), zap.Error(err))
}

// renewPeriodically asks the owner for a renewal of the lease at every interval.
func (m *Minder) renewPeriodically(ctx context.Context) error {
	for clocker.Sleep(ctx, renewInterval) == nil {
		m.mu.Lock()
		m.renew()
		m.mu.Unlock()
	}
	return ctx.Err()
}

// renew asks the owner for a renewal of the lease and reports the runs whose
// checkpoint has changed. The caller holds the lock.
func (m *Minder) renew() {
	if m.session == nil || m.unreachable || m.departed {
		// The lease of a worker that has ended or does not answer must expire.
		return
	}
	m.renewalSequence++
	if len(m.renewalSentAt) > maxPendingRenewals {
		clear(m.renewalSentAt)
	}
	m.renewalSentAt[m.renewalSequence] = m.Now()
	reported := make(map[plantainrail.RunRef]plantainrail.RunStatus, len(m.running))
	var changed []plantainrail.RunStatus
	for ref, status := range m.running {
		reported[ref] = status
		if status.Checkpoint != m.reportedStatus[ref].Checkpoint {
			changed = append(changed, status)
		}
	}
	m.reportedStatus = reported
	m.report(linker.WorkReport{Sequence: m.renewalSequence, Running: changed})
}

// Frame implements linker.Handler.
func (m *Minder) Frame(s *linker.Session, f linker.Frame) {
	if f.Orders != nil {
		m.applyOrders(s, *f.Orders)
	}
}

// Opened implements linker.Handler. It closes the stream, since entries open
// none.
func (m *Minder) Opened(st *linker.Stream, _ linker.Frame) { st.Close() }

// applyOrders applies the owner's orders. It rejects those of an owner with a
// lower epoch.
func (m *Minder) applyOrders(s *linker.Session, o linker.WorkOrders) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s != m.session || o.Incarnation != m.vm.Incarnation {
		return
	}
	if o.Epoch < m.epoch {
		// Orders of an earlier owner are rejected, and its session is closed.
		m.Logger.Warn("orders of an earlier owner passed over", zap.Int64("epoch", o.Epoch), zap.Int64("known", m.epoch))
		s.Close()
		return
	}
	m.epoch = o.Epoch
	m.deregistrationAcked = m.deregistrationAcked || o.DeregistrationAcked
	if o.Renewed > 0 {
		if at, ok := m.renewalSentAt[o.Renewed]; ok {
			delete(m.renewalSentAt, o.Renewed)
			m.leaseUntil = at.Add(m.Lease)
		}
	}
	if o.Complete {
		m.replaceDesired(o.Starts)
	} else {
		for _, order := range o.Starts {
			m.addDesired(order)
		}
	}
	for _, ref := range o.Stops {
		m.stopOrdered(ref)
	}
	if o.AckedThrough > m.acknowledged {
		m.acknowledgeEnds(o.AckedThrough)
	}
}

// replaceDesired replaces the desired runs by the owner's complete list.
func (m *Minder) replaceDesired(orders []plantainrail.RunOrder) {
	keep := map[plantainrail.RunRef]bool{}
	for _, order := range orders {
		keep[order.Ref] = true
	}
	for ref := range m.desired {
		if !keep[ref] {
			m.stop(ref, "no longer wanted")
		}
	}
	m.desiredComplete = true
	for _, order := range orders {
		m.addDesired(order)
	}
	// The owner may have given up the worker and registered it again, so it needs
	// all ends that it has not acknowledged.
	if len(m.ends) > 0 {
		m.reportEnds()
	}
	m.notifyChanged()
}

// addDesired records a run that the owner wants, and starts it unless it runs or
// has ended.
func (m *Minder) addDesired(order plantainrail.RunOrder) {
	if m.desired[order.Ref] != nil || m.runEnded(order.Ref) {
		return
	}
	r := &run{order: order}
	m.desired[order.Ref] = r
	if _, runs := m.running[order.Ref]; runs {
		return
	}
	m.start(r)
}

// stopOrdered stops a run that the owner has ordered to stop. If the run was
// never started, that is reported to the owner.
func (m *Minder) stopOrdered(ref plantainrail.RunRef) {
	if m.runEnded(ref) {
		return
	}
	if m.desired[ref] == nil {
		m.desired[ref] = &run{order: plantainrail.RunOrder{Ref: ref}}
	}
	m.stop(ref, "ordered")
}

// runEnded reports whether the worker lists an end of the run.
func (m *Minder) runEnded(ref plantainrail.RunRef) bool {
	return slices.ContainsFunc(m.ends, func(end plantainrail.RunEnd) bool { return end.Ref == ref })
}

// acknowledgeEnds drops the run ends up to the given number, which are stored.
func (m *Minder) acknowledgeEnds(number int64) {
	m.acknowledged = number
	kept := m.ends[:0]
	for _, end := range m.ends {
		if end.Number > number {
			kept = append(kept, end)
		}
	}
	m.ends = kept
	m.notifyChanged()
}
