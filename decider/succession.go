package decider

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/ranker"
)

// heartbeat is the value of the owner's heartbeats in the progress topic. It tells the next owner how
// long the owners before this one could renew leases. Earlier versions write a value that cannot be
// decoded.
type heartbeat struct {
	// Epoch is that of the owner.
	Epoch int64 `cbor:"0,keyasint"`
	// RenewalsMS is how long after the write owners with lower epochs may still renew leases, in
	// milliseconds. A nil pointer, from a record without it, says nothing.
	RenewalsMS *int64 `cbor:"1,keyasint"`
	// Backlog is the encoded backlog, by queue; it is left out if each priority has enough capacity. It is decoded on
	// its own, so that the other fields do not depend on it.
	Backlog cbor.RawMessage `cbor:"2,keyasint,omitempty"`
}

// newHeartbeat returns the record of a heartbeat that is written at the given time or later, by the owner
// with the epoch. Owners with lower epochs have renewed no lease after renewalsEnd.
func newHeartbeat(epoch int64, renewalsEnd, now time.Time) (plantainrail.KeyedRecord, error) {
	return newBacklogHeartbeat(epoch, renewalsEnd, nil, now)
}

// newBacklogHeartbeat is newHeartbeat with the backlogs of the queues.
func newBacklogHeartbeat(epoch int64, renewalsEnd time.Time, queues map[string]ranker.Backlog, now time.Time) (plantainrail.KeyedRecord, error) {
	var backlog []byte
	if len(queues) > 0 {
		var err error
		if backlog, err = cbor.Marshal(queues); err != nil {
			return plantainrail.KeyedRecord{}, errors.Wrap(err, "encode backlog")
		}
	}
	// Whole milliseconds, rounded up.
	left := (max(renewalsEnd.Sub(now), 0) + time.Millisecond - 1).Milliseconds()
	raw, err := cbor.Marshal(heartbeat{Epoch: epoch, RenewalsMS: &left, Backlog: backlog})
	return plantainrail.KeyedRecord{Key: heartbeatKey, Value: raw}, errors.Wrap(err, "encode heartbeat")
}

// tenure is what the newest heartbeat tells of the owner that wrote it.
type tenure struct {
	// epoch is the owner's; 0 if the heartbeat is of an earlier version or cannot be read.
	epoch int64
	// renewalsEnd is a time after which owners with lower epochs have renewed no lease.
	renewalsEnd time.Time
}

// withHeartbeat returns the tenure after a newer heartbeat was read at the given time. The heartbeat was
// written before that, so it bounds the renewals by a later time than its writer did.
func (t tenure) withHeartbeat(value []byte, now time.Time) tenure {
	var h heartbeat
	if err := cbor.Unmarshal(value, &h); err != nil || h.Epoch <= 0 || h.RenewalsMS == nil ||
		*h.RenewalsMS < 0 || *h.RenewalsMS > renewalWindow.Milliseconds() {
		return tenure{}
	}
	end := now.Add(time.Duration(*h.RenewalsMS) * time.Millisecond)
	if t.epoch == h.Epoch && t.renewalsEnd.Before(end) {
		return t
	}
	return tenure{epoch: h.Epoch, renewalsEnd: end}
}

// succession is what a new owner knows of the owners before it, once it has fenced them and read all that
// they have written.
type succession struct {
	// name, address and nonce are those of the new owner, whose process has started at startedAt.
	name, address, nonce string
	startedAt            time.Time
	// claim is the newest claim or resignation before the new owner's own claim, and tenure what the newest
	// heartbeat tells.
	claim  claim
	tenure tenure
	// newestAt is when the newest record of the progress topic was read, and newestAfter a time before which it
	// was not yet stored.
	newestAt, newestAfter time.Time
}

const (
	// unseenDelay is how long after its newest record an owner renews no leases for an append without records,
	// and seenLimit how old that record may be for the next owner to count from it. The difference covers
	// reads and writes at nearly the same time.
	unseenDelay = 2500 * time.Millisecond
	seenLimit   = 2400 * time.Millisecond
)

// renewalsEnd returns a time after which no earlier owner has renewed a lease. An owner that has fallen silent
// renews for renewalWindow after it sent the newest record that is read, or after a later append without
// records, which may have been just before it was fenced; see confirmUnseen. What is known of the last owner
// says nothing about those before it, which may live on: that is in its heartbeats.
func (s succession) renewalsEnd(now time.Time) time.Time {
	unknown := now.Add(renewalWindow)
	last, end := s.claim.Epoch, now
	switch {
	case s.claim.Epoch == 0 || s.claim.obscured:
		return unknown
	case s.claim.Resigned:
		// It renewed nothing after it wrote the resignation.
		last = s.claim.Ended
	case s.claim.Name == s.name && s.claim.Nonce == s.nonce:
		// A process begins no term before its last one has ended.
	case s.claim.Name == s.name && sameHost(s.claim.Address, s.address):
		// This process has replaced the owner's.
		end = s.startedAt
	case now.Sub(s.newestAfter) < seenLimit:
		end = s.newestAt.Add(renewalWindow)
	default:
		return unknown
	}
	if last == 0 || s.tenure.epoch != last {
		return unknown
	}
	if s.tenure.renewalsEnd.After(end) {
		return s.tenure.renewalsEnd
	}
	return end
}

// sameHost reports whether two addresses are of the same host.
func sameHost(a, b string) bool {
	x, errX := netip.ParseAddrPort(a)
	y, errY := netip.ParseAddrPort(b)
	return errX == nil && errY == nil && x.Addr() == y.Addr()
}

// confirm notes that the store has accepted a write whose answered try was sent at the first time, and whose
// records were stored after the second one, since an earlier try may have stored them. The next owner counts
// the renewalWindow from the newest record that it reads, so this owner counts it from the second time.
func (o *owner) confirm(sent, stored time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.confirmedWriteAt, o.answeredAt = sent, o.decider.Now()
	if stored.After(o.renewableFrom) {
		o.renewableFrom = stored
	}
}

// noteUnanswered notes that an append has failed that may have been done.
func (o *owner) noteUnanswered() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.answeredAt = o.decider.Now()
}

// confirmUnseen notes that the store has accepted an append without records, which the next owner does not
// see. It allows renewals only once the newest record is so old that the next owner does not count from it.
// The caller holds the lock.
func (o *owner) confirmUnseen(sent time.Time) {
	o.confirmedWriteAt = sent
	if sent.Sub(o.answeredAt) >= unseenDelay {
		o.renewableFrom = sent
	}
}

// heartbeatDue reports whether a heartbeat is due also beside other writes, since it tells the next owner
// something new: that this owner has taken over, or that no lease is left that an earlier one has renewed. It is
// due for the entries while the owner has a backlog. The caller holds the lock.
func (o *owner) heartbeatDue(now time.Time) bool {
	return o.heartbeatAt.IsZero() || o.planner != nil && o.planner.Scarce() && now.Sub(o.heartbeatAt) >= backlogInterval || o.heartbeatAt.Before(o.renewalsEnd) && !now.Before(o.renewalsEnd)
}

// heartbeat returns the record of a heartbeat that is written now.
func (o *owner) heartbeat(now time.Time) ([]plantainrail.KeyedRecord, error) {
	var queues map[string]ranker.Backlog
	o.mu.Lock()
	if o.planner != nil {
		queues = o.planner.Backlog(now)
	}
	o.mu.Unlock()
	record, err := newBacklogHeartbeat(o.epoch, o.renewalsEnd, queues, now)
	o.heartbeatAt = now
	return []plantainrail.KeyedRecord{record}, err
}
