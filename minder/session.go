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
	// redialDelay is the delay before the agent tries again to reach the owner.
	redialDelay = 100 * time.Millisecond
	// retryDelay is the delay after a failed read of the store.
	retryDelay = 300 * time.Millisecond
	// maxRenewals bounds the renewal requests whose send times are kept. A later grant of an
	// earlier request renews nothing.
	maxRenewals = 16
)

// directory holds the known addresses of the entries.
type directory struct {
	// ownerAddress is the address of the owner with the highest epoch, ownerEpoch,
	// according to the members topic.
	ownerAddress string
	ownerEpoch   int64
	// addresses holds at most maxEntries addresses of known entries, including the
	// owner's, in the order in which they became known.
	addresses []string
	// tries is the number of calls to next, and otherTries that of calls to other.
	tries, otherTries int
}

func newDirectory() directory { return directory{} }

// followMembers reads the members topic to learn who owns the jobs, until the
// context ends. It returns the context's error.
func (m *Minder) followMembers(ctx context.Context) error {
	next, storeLost := plantainrail.Offset(-1), false
	for ctx.Err() == nil {
		var batch plantainrail.KeyedBatch
		var err error
		ended := false
		if next < 0 {
			batch, err = m.Store.Newest(ctx, m.MembersTopic)
		} else {
			batch, ended, err = m.readMembers(ctx, next)
		}
		if ended {
			continue
		}
		if err != nil {
			if !storeLost && ctx.Err() == nil {
				m.Logger.Warn("store lost", zap.Error(err))
			}
			// After any error, start again from the newest record of each key.
			next, storeLost = -1, true
			_ = clocker.Sleep(ctx, retryDelay)
			continue
		}
		if storeLost {
			m.Logger.Info("store regained")
			storeLost = false
		}
		if batch.Malformed > 0 {
			m.Logger.Error("records unreadable", zap.String("topic", m.MembersTopic), zap.Int64("offset", int64(next)), zap.Int("records", batch.Malformed))
		}
		next = batch.Next
		for _, r := range batch.Records {
			m.applyMember(r)
		}
	}
	return ctx.Err()
}

// readMembers reads the members topic from an offset on. Ended is set if seekOwner has ended the
// read.
func (m *Minder) readMembers(ctx context.Context, from plantainrail.Offset) (batch plantainrail.KeyedBatch, ended bool, err error) {
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.mu.Lock()
	wait := membersWait
	m.endLongRead = cancel
	if m.ownerSought() {
		wait, m.endLongRead = seekWait, nil
	}
	m.mu.Unlock()
	batch, err = m.Store.Read(readCtx, m.MembersTopic, from, wait)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endLongRead = nil
	return batch, err != nil && readCtx.Err() != nil && ctx.Err() == nil, err
}

// applyMember records the address of an entry or a newer owner. If a newer owner
// has succeeded the one that the agent has a session with, that session is closed.
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
	m.entries.ownerNext(true)
	if m.endDial != nil {
		// It may be to an earlier owner that is without power.
		m.endDial()
	}
	if m.session != nil && epoch > m.sessionEpoch {
		m.Logger.Info("owner changed", zap.String("address", address), zap.Int64("epoch", epoch))
		m.session.Close()
	}
}

// maxEntries bounds the addresses of entries that are kept. Beyond it, the address that
// became known first is dropped.
const maxEntries = 64

// add adds the address of an entry unless it is known already.
func (d *directory) add(address string) {
	for _, known := range d.addresses {
		if known == address {
			return
		}
	}
	d.addresses = append(d.addresses, address)
	if len(d.addresses) > maxEntries {
		d.addresses = d.addresses[1:]
	}
}

// next returns the address to try. While an owner is known, every second call returns its
// address, and the other calls return the addresses of all other known entries in turn. Without
// an owner each address is returned twice in a row. The result is empty if no address is
// known.
func (d *directory) next() string {
	d.tries++
	others := slices.DeleteFunc(slices.Clone(d.addresses), func(address string) bool { return address == d.ownerAddress })
	if d.ownerAddress != "" && d.tries%2 == 1 || len(others) == 0 {
		return d.ownerAddress
	}
	return others[(d.tries/2)%len(others)]
}

// other returns an address other than the given one, each known one in turn, or an empty one if there is none.
func (d *directory) other(address string) string {
	others := slices.DeleteFunc(slices.Clone(d.addresses), func(known string) bool { return known == address })
	if len(others) == 0 {
		return ""
	}
	d.otherTries++
	return others[d.otherTries%len(others)]
}

// ownerNext makes the next call of next return the owner's address, if one is known, or another one.
func (d *directory) ownerNext(owner bool) {
	if (d.tries%2 == 0) != owner {
		d.tries++
	}
}

// maintainSession keeps a session with the owner open until the context ends, and
// returns the context's error. If an entry that does not own the jobs names the
// owner, the owner is tried next.
func (m *Minder) maintainSession(ctx context.Context) error {
	ownerHint, knownEpoch := "", int64(0)
	for ctx.Err() == nil {
		if found := m.takeFound(); found != nil {
			m.runSession(ctx, *found)
			continue
		}
		m.mu.Lock()
		address := ownerHint
		if address == "" || knownEpoch != m.entries.ownerEpoch {
			// A hint from before the newest claim was read may name its predecessor.
			address = m.entries.next()
		}
		knownEpoch = m.entries.ownerEpoch
		workerKnown := !m.vm.Incarnation.IsZero()
		dialCtx, cancel := context.WithCancel(ctx)
		m.endDial = cancel
		m.mu.Unlock()
		if address == "" || !workerKnown {
			cancel()
			_ = clocker.Sleep(ctx, redialDelay)
			continue
		}
		dialedAt := m.Now()
		session, owner, err := m.Dial(dialCtx, address)
		cancel()
		if err != nil {
			m.Logger.Debug("owner not reached", zap.String("address", address), zap.String("owner", owner.Address), zap.Error(err))
			ownerHint = ""
			if owner.Address != address {
				ownerHint = owner.Address
			}
			_ = clocker.Sleep(ctx, redialDelay)
			continue
		}
		ownerHint = ""
		m.runSession(ctx, dialedSession{session, address, owner.Epoch, dialedAt})
	}
	return ctx.Err()
}

// dialedSession is a session that an entry has accepted.
type dialedSession struct {
	session *linker.Session
	address string
	// epoch is that of the entry's ownership; 0 if the entry has not told it.
	epoch int64
	// dialedAt is when the agent began to open it.
	dialedAt time.Time
}

// runSession runs a session until it ends, and returns after the delay before the next one.
func (m *Minder) runSession(ctx context.Context, dialed dialedSession) {
	if !m.openSession(dialed) {
		_ = clocker.Sleep(ctx, redialDelay)
		return
	}
	err := dialed.session.Run(ctx, m)
	m.closeSession(dialed.session, err)
	if !dialed.session.Silent() && !m.hasFound() {
		_ = clocker.Sleep(ctx, redialDelay)
	}
}

// openSession makes the session the current one. It reports the unacknowledged run
// ends and the checkpoints of all runs to the owner and asks for a renewal of the lease.
// If the worker has departed, it reports only that. It closes a session with an owner that was replaced, and returns
// false: that entry may not know it yet.
func (m *Minder) openSession(dialed dialedSession) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if dialed.epoch > 0 && m.replaced(dialed.epoch) {
		m.Logger.Info("session of an earlier owner closed", zap.String("address", dialed.address), zap.Int64("epoch", dialed.epoch))
		dialed.session.Close()
		return false
	}
	m.resetSession(dialed)
	m.Logger.Info("session opened", zap.String("address", dialed.address))
	if m.departed {
		m.reportDeparture()
		return true
	}
	m.reportEnds()
	m.renew()
	m.wakePoller()
	return true
}

// resetSession makes the session the current one and forgets what belongs to the one before. The caller holds the
// lock.
func (m *Minder) resetSession(dialed dialedSession) {
	m.session, m.sessionAddress, m.sessionEpoch, m.dialedAt = dialed.session, dialed.address, dialed.epoch, dialed.dialedAt
	m.reported, m.ordersComplete = m.acknowledged, false
	m.reportedStatus, m.listed = nil, nil
	clear(m.renewalSentAt)
}

// closeSession removes a session that ended with the error.
func (m *Minder) closeSession(session *linker.Session, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.session == session {
		delay := seekDelay
		if session.Silent() {
			delay = silentSeekDelay
			// The owner may be without power, and the others then know its successor.
			m.entries.ownerNext(false)
		}
		m.session, m.seekAt = nil, m.Now().Add(delay)
		clear(m.pacing.limits)
		time.AfterFunc(delay, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.seekOwner()
		})
	}
	m.Logger.Info("session closed", zap.Int64("epoch", m.epoch), zap.Bool("silent", session.Silent()), zap.Error(err))
}

// renewPeriodically asks the owner for a renewal of the lease at every
// renewInterval until the context ends. It returns the context's error.
func (m *Minder) renewPeriodically(ctx context.Context) error {
	for clocker.Sleep(ctx, renewInterval) == nil {
		m.mu.Lock()
		m.renew()
		m.seekOwner()
		m.mu.Unlock()
	}
	return ctx.Err()
}

// renew asks the owner for a renewal of the lease and reports the runs that are new or whose
// checkpoint has changed since the last request of this session. It does nothing without
// a session or if the worker is unreachable or has departed. The caller holds the lock.
func (m *Minder) renew() {
	if m.session == nil || m.unreachable || m.departed {
		// The lease of a worker that has ended or does not reply must expire.
		return
	}
	m.renewalSequence++
	m.renewalSentAt[m.renewalSequence] = m.Now()
	if m.renewalSequence > maxRenewals {
		delete(m.renewalSentAt, m.renewalSequence-maxRenewals)
	}
	current := make(map[plantainrail.RunRef]plantainrail.RunStatus, len(m.running))
	var changed []plantainrail.RunStatus
	for ref, status := range m.running {
		current[ref] = status
		if reported, known := m.reportedStatus[ref]; !known || status.Checkpoint != reported.Checkpoint {
			changed = append(changed, status)
		}
	}
	m.reportedStatus = current
	m.report(linker.WorkReport{Sequence: m.renewalSequence, Running: changed})
}

// Frame implements linker.Handler. It applies orders and ignores all other frames.
func (m *Minder) Frame(s *linker.Session, f linker.Frame) {
	if f.Orders != nil {
		m.applyOrders(s, *f.Orders)
	}
}

// Opened implements linker.Handler. It closes the stream, since entries open
// none.
func (m *Minder) Opened(st *linker.Stream, _ linker.Frame) { st.Close() }

// applyOrders applies the owner's orders. It ignores orders that arrive on an
// earlier session, are meant for another incarnation, or come from an owner with a
// lower epoch than the highest known one, of an owner or of a claim. In the last case it also closes the session.
func (m *Minder) applyOrders(s *linker.Session, o linker.WorkOrders) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s != m.session {
		return
	}
	if m.replaced(o.Epoch) {
		m.Logger.Warn("orders of an earlier owner passed over", zap.Int64("epoch", o.Epoch), zap.Int64("known", max(m.epoch, m.entries.ownerEpoch)))
		s.Close()
		return
	}
	m.sessionEpoch = o.Epoch
	if o.Incarnation != m.vm.Incarnation {
		return
	}
	if o.Epoch > m.epoch {
		m.epoch = o.Epoch
		// From now on the owner may rely on it that nobody else renews the lease.
		m.report(linker.WorkReport{})
	}
	m.departureAcked = m.departureAcked || o.DepartureAcked
	if o.Renewed > 0 {
		if at, ok := m.renewalSentAt[o.Renewed]; ok {
			m.leaseUntil = later(m.leaseUntil, at.Add(m.Lease))
		}
	}
	startUntil := m.startUntil(o.StartLimit)
	m.listed = append(m.listed, o.Listed...)
	if o.Complete {
		orders := append(m.listed, o.Starts...)
		m.listed = nil
		m.replaceOrderedRuns(orders, startUntil)
	} else {
		for _, order := range o.Starts {
			m.addOrderedRun(&run{order: order, startUntil: startUntil})
		}
	}
	for _, ref := range o.Stops {
		m.stopOrdered(ref)
	}
	m.limitPaces(o.Paces)
	if o.AckedThrough > m.acknowledged {
		m.acknowledgeEnds(o.AckedThrough)
	}
}

// replaced reports whether an owner with the epoch was replaced by a later one, as far as the agent knows from orders
// and claims. The caller holds the lock.
func (m *Minder) replaced(epoch int64) bool { return epoch < max(m.epoch, m.entries.ownerEpoch) }

// startUntil returns the time until which the runs of an order may be started; zero if there is no
// limit. A limit that counts from a request whose send time is not known any more has passed. The
// caller holds the lock.
func (m *Minder) startUntil(limit *linker.StartLimit) time.Time {
	if limit == nil {
		return time.Time{}
	}
	within := time.Duration(limit.WithinMS) * time.Millisecond
	if limit.Heard == 0 {
		return m.dialedAt.Add(within)
	}
	if at, known := m.renewalSentAt[limit.Heard]; known {
		return at.Add(within)
	}
	return m.Now()
}

// replaceOrderedRuns applies the owner's complete list of the runs that it wants: it
// stops the other ordered runs and adds the missing ones, which may be started until the given
// time. The caller holds the lock.
func (m *Minder) replaceOrderedRuns(orders []plantainrail.RunOrder, startUntil time.Time) {
	keep := map[plantainrail.RunRef]bool{}
	for _, order := range orders {
		keep[order.Ref] = true
	}
	for ref := range m.orderedRuns {
		if !keep[ref] {
			m.stop(ref, "no longer wanted")
		}
	}
	m.ordersComplete = true
	for _, order := range orders {
		m.addOrderedRun(&run{order: order, reordered: true, holdsRoom: true, startUntil: startUntil})
	}
	// The owner may have removed the worker and registered it again. In that case it
	// needs another report of all ends that it has not acknowledged.
	if len(m.ends) > 0 {
		m.reportEnds()
	}
	m.wakePoller()
}

// addOrderedRun records a run that the owner wants, and starts it unless it is running.
// It ignores a run that is recorded already or whose end the owner has not acknowledged.
// The caller holds the lock.
func (m *Minder) addOrderedRun(r *run) {
	ref := r.order.Ref
	if m.orderedRuns[ref] != nil || m.hasUnackedEnd(ref) {
		return
	}
	r.orderedAt, r.orderedPoll = m.Now(), m.polls
	m.orderedRuns[ref] = r
	if _, listed := m.running[ref]; listed {
		r.holdsRoom = true
		m.markBegun(r)
		return
	}
	if r.reordered {
		// Whether it runs may decide whether the worker has room for it.
		m.wantListing()
	}
	m.start(r)
}

// stopOrdered stops a run on the owner's order, unless the run has an end that the owner
// has not acknowledged. A run that is not in orderedRuns is added first, since stop
// reports a refusal only for a run there. The owner thus gets a refusal for a run that
// was never started and has no end. The caller holds the lock.
func (m *Minder) stopOrdered(ref plantainrail.RunRef) {
	if m.hasUnackedEnd(ref) {
		return
	}
	if m.orderedRuns[ref] == nil {
		m.orderedRuns[ref] = &run{order: plantainrail.RunOrder{Ref: ref}, sizeUnknown: true}
	}
	m.stop(ref, "ordered")
}

// hasUnackedEnd reports whether the run has an end that the owner has not acknowledged.
// The caller holds the lock.
func (m *Minder) hasUnackedEnd(ref plantainrail.RunRef) bool {
	return slices.ContainsFunc(m.ends, func(end plantainrail.RunEnd) bool { return end.Ref == ref })
}

// acknowledgeEnds drops the run ends up to the given number, which the owner has
// acknowledged as stored. It wakes the poller, whose next call acknowledges them to the
// worker. The caller holds the lock.
func (m *Minder) acknowledgeEnds(number int64) {
	m.acknowledged = number
	kept := m.ends[:0]
	for _, end := range m.ends {
		if end.Number > number {
			kept = append(kept, end)
		}
	}
	m.ends = kept
	m.wakePoller()
}
