// Package leaser decides which task attempts may start and run on a VM. It tracks the
// VM's lease and start permit, which heartbeats renew, and admits attempts within the
// VM's capacity. Package agent calls it for each start order and each heartbeat. It
// performs no I/O and reads no clock: callers pass the current time.
package leaser

import (
	"time"

	"github.com/plantainrail/plantainrail"
)

const (
	// LeaseDuration is how long the VM's attempts may run after the agent sent the latest
	// heartbeat whose acknowledgement renewed the lease.
	LeaseDuration = 5 * time.Second
	// StartPermitDuration is how long attempts may start after the agent sent the latest
	// heartbeat whose acknowledgement granted the start permit.
	StartPermitDuration = 1500 * time.Millisecond
	// maxEndedAttempts is the number of ended attempts that are remembered, so that a
	// late start order for them is refused.
	maxEndedAttempts = 100_000
)

// Verdict is the decision on an order to start an attempt.
type Verdict int

// Verdicts on start orders.
const (
	// Start means that the attempt is admitted and its resources are reserved.
	Start Verdict = iota
	// Ignore means that the order has no effect now; the same order may be sent again.
	Ignore
	// Refuse means that the attempt will never start on this VM.
	Refuse
)

// Leaser admits task attempts on one VM. It is not safe for concurrent use.
type Leaser struct {
	capacity    plantainrail.Resources
	reserved    plantainrail.Resources
	incarnation string
	leaseUntil  time.Time
	permitUntil time.Time
	// running maps the admitted attempts to the resources that they reserve.
	running map[plantainrail.AttemptRef]plantainrail.Resources
	// latestAttempt maps a task to the number of its latest admitted attempt.
	latestAttempt map[string]int64
	// ended holds the attempts that never start again; endedOrder lists them from
	// oldest to newest.
	ended      map[plantainrail.AttemptRef]bool
	endedOrder []plantainrail.AttemptRef
	// draining is set while no further attempt may start.
	draining bool
}

// New returns a Leaser for a VM of the given capacity. It has no lease and no permit.
func New(capacity plantainrail.Resources, incarnation string) *Leaser {
	return &Leaser{
		capacity: capacity, incarnation: incarnation,
		running:       map[plantainrail.AttemptRef]plantainrail.Resources{},
		latestAttempt: map[string]int64{}, ended: map[plantainrail.AttemptRef]bool{},
	}
}

// RecordHeartbeat records an entry's response to the heartbeat that was sent at the given
// time: whether it renewed the lease and whether it granted the start permit. Both
// count from the time of sending and are never shortened.
func (l *Leaser) RecordHeartbeat(sent time.Time, renewed, permit bool) {
	if until := sent.Add(LeaseDuration); renewed && until.After(l.leaseUntil) {
		l.leaseUntil = until
	}
	if until := sent.Add(StartPermitDuration); permit && until.After(l.permitUntil) {
		l.permitUntil = until
	}
}

// LeaseUntil returns the time until which attempts may run.
func (l *Leaser) LeaseUntil() time.Time { return l.leaseUntil }

// PermitUntil returns the time until which attempts may start. It is never after
// LeaseUntil.
func (l *Leaser) PermitUntil() time.Time {
	if l.leaseUntil.Before(l.permitUntil) {
		return l.leaseUntil
	}
	return l.permitUntil
}

// Incarnation returns the agent's current incarnation.
func (l *Leaser) Incarnation() string { return l.incarnation }

// DecideStart decides on an order to start an attempt and, if the verdict is Start,
// reserves the attempt's resources. With any other verdict the error gives the reason,
// except that an order for an attempt that runs already, or for another incarnation, is
// ignored without an error.
func (l *Leaser) DecideStart(now time.Time, s plantainrail.TaskStart) (Verdict, *plantainrail.Error) {
	_, alreadyRunning := l.running[s.AttemptRef]
	switch {
	case alreadyRunning || s.Incarnation != l.incarnation:
		return Ignore, nil
	case l.ended[s.AttemptRef]:
		return Refuse, plantainrail.NewError(plantainrail.CodeStaleAttempt, "the attempt has ended here")
	case s.Attempt < l.latestAttempt[s.Task]:
		return Refuse, plantainrail.NewError(plantainrail.CodeStaleAttempt, "attempt %d was here since", l.latestAttempt[s.Task])
	case l.draining:
		return l.refuseAndRecord(s, plantainrail.NewError(plantainrail.CodeDraining, "the agent is stopping"))
	case !now.Before(l.PermitUntil()):
		return Ignore, plantainrail.NewError(plantainrail.CodeStartForbidden, "no permit")
	case !l.reserved.Add(s.Resources).Fits(l.capacity):
		return l.refuseAndRecord(s, plantainrail.NewError(plantainrail.CodeOverCapacity, "%+v of %+v is in use", l.reserved, l.capacity))
	}
	l.Reserve(s.AttemptRef, s.Resources)
	return Start, nil
}

// refuseAndRecord refuses an order and records the attempt as ended, so that the same
// order is refused later as well.
func (l *Leaser) refuseAndRecord(s plantainrail.TaskStart, err *plantainrail.Error) (Verdict, *plantainrail.Error) {
	l.recordEnded(s.AttemptRef)
	return Refuse, err
}

// Reserve reserves the resources of an attempt that runs on the VM, for example one that
// an earlier agent process started. It checks neither the lease nor the capacity, and
// does nothing if the attempt has its reservation already.
func (l *Leaser) Reserve(ref plantainrail.AttemptRef, r plantainrail.Resources) {
	if _, ok := l.running[ref]; ok {
		return
	}
	l.running[ref] = r
	l.reserved = l.reserved.Add(r)
	l.latestAttempt[ref.Task] = max(l.latestAttempt[ref.Task], ref.Attempt)
}

// Release releases the resources of an attempt. The attempt never starts again on this
// VM, even if it did not run yet.
func (l *Leaser) Release(ref plantainrail.AttemptRef) {
	if r, ok := l.running[ref]; ok {
		l.reserved = l.reserved.Sub(r)
		delete(l.running, ref)
	}
	l.recordEnded(ref)
}

// recordEnded adds an attempt to the ended ones and drops the oldest of them beyond
// maxEndedAttempts. If the dropped attempt was the latest one of its task, the task is
// dropped from latestAttempt too.
func (l *Leaser) recordEnded(ref plantainrail.AttemptRef) {
	if l.ended[ref] {
		return
	}
	l.ended[ref] = true
	l.endedOrder = append(l.endedOrder, ref)
	if len(l.endedOrder) > maxEndedAttempts {
		oldest := l.endedOrder[0]
		l.endedOrder = l.endedOrder[1:]
		delete(l.ended, oldest)
		if l.latestAttempt[oldest.Task] == oldest.Attempt {
			delete(l.latestAttempt, oldest.Task)
		}
	}
}

// Running lists the attempts that reserve resources, in no particular order.
func (l *Leaser) Running() []plantainrail.AttemptRef {
	refs := make([]plantainrail.AttemptRef, 0, len(l.running))
	for ref := range l.running {
		refs = append(refs, ref)
	}
	return refs
}

// Free returns the resources that are not reserved; none while the VM is draining.
func (l *Leaser) Free() plantainrail.Resources {
	if l.draining {
		return plantainrail.Resources{}
	}
	return l.capacity.Sub(l.reserved)
}

// Drain makes the Leaser refuse to start any further attempt.
func (l *Leaser) Drain() { l.draining = true }

// Reset switches to another incarnation and clears all state, including the lease
// and the permit. Every attempt of the previous incarnation must have been stopped.
func (l *Leaser) Reset(incarnation string) {
	*l = *New(l.capacity, incarnation)
}
