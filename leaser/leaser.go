// Package leaser decides which attempts of tasks may run on a VM: it keeps the
// VM's lease and start permit and admits attempts within the VM's capacity. It
// is pure: each call takes the instant and changes the state.
package leaser

import (
	"time"

	"github.com/plantainrail/plantainrail"
)

const (
	// LeaseLength is how long the VM's attempts may run after the heartbeat
	// that an entry acknowledged.
	LeaseLength = 5 * time.Second
	// PermitLength is how long attempts may start after such a heartbeat.
	PermitLength = 1500 * time.Millisecond
	// endedLimit bounds the ended attempts that are remembered.
	endedLimit = 100_000
)

// Verdict is what became of an order to start an attempt.
type Verdict int

// Verdicts.
const (
	// Start means that the attempt is admitted and its resources are reserved.
	Start Verdict = iota
	// Ignore means that the order changes nothing; it may be repeated.
	Ignore
	// Refuse means that this attempt never starts on this VM.
	Refuse
)

// Leaser is the authority over one VM's tasks.
type Leaser struct {
	capacity    plantainrail.Resources
	used        plantainrail.Resources
	incarnation string
	lease       time.Time
	permit      time.Time
	running     map[plantainrail.AttemptRef]plantainrail.Resources
	latest      map[string]int64
	ended       map[plantainrail.AttemptRef]bool
	order       []plantainrail.AttemptRef
	draining    bool
}

// New returns a Leaser for a VM of the given capacity.
func New(capacity plantainrail.Resources, incarnation string) *Leaser {
	return &Leaser{
		capacity: capacity, incarnation: incarnation,
		running: map[plantainrail.AttemptRef]plantainrail.Resources{},
		latest:  map[string]int64{}, ended: map[plantainrail.AttemptRef]bool{},
	}
}

// Acknowledged notes an entry's answer to the heartbeat sent at the instant.
func (l *Leaser) Acknowledged(sent time.Time, renewed, permit bool) {
	if until := sent.Add(LeaseLength); renewed && until.After(l.lease) {
		l.lease = until
	}
	if until := sent.Add(PermitLength); permit && until.After(l.permit) {
		l.permit = until
	}
}

// Lease returns the instant until which attempts may run.
func (l *Leaser) Lease() time.Time { return l.lease }

// Permit returns the instant until which attempts may start.
func (l *Leaser) Permit() time.Time {
	if l.lease.Before(l.permit) {
		return l.lease
	}
	return l.permit
}

// Incarnation returns the incarnation that holds the VM.
func (l *Leaser) Incarnation() string { return l.incarnation }

// Order decides on an order to start an attempt.
func (l *Leaser) Order(now time.Time, s plantainrail.TaskStart) (Verdict, *plantainrail.Error) {
	_, running := l.running[s.AttemptRef]
	switch {
	case running || s.Incarnation != l.incarnation:
		return Ignore, nil
	case l.ended[s.AttemptRef]:
		return Refuse, plantainrail.NewError(plantainrail.CodeStaleAttempt, "the attempt has ended here")
	case s.Attempt < l.latest[s.Task]:
		return Refuse, plantainrail.NewError(plantainrail.CodeStaleAttempt, "attempt %d was here since", l.latest[s.Task])
	case l.draining:
		return l.refuse(s, plantainrail.NewError(plantainrail.CodeDraining, "the agent is stopping"))
	case !now.Before(l.Permit()):
		return Ignore, plantainrail.NewError(plantainrail.CodeStartForbidden, "no permit")
	case !l.used.Plus(s.Resources).Fits(l.capacity):
		return l.refuse(s, plantainrail.NewError(plantainrail.CodeOverCapacity, "%+v of %+v is in use", l.used, l.capacity))
	}
	l.Adopt(s.AttemptRef, s.Resources)
	return Start, nil
}

func (l *Leaser) refuse(s plantainrail.TaskStart, err *plantainrail.Error) (Verdict, *plantainrail.Error) {
	l.remember(s.AttemptRef)
	return Refuse, err
}

// Adopt counts an attempt that runs on the VM.
func (l *Leaser) Adopt(ref plantainrail.AttemptRef, r plantainrail.Resources) {
	if _, ok := l.running[ref]; ok {
		return
	}
	l.running[ref] = r
	l.used = l.used.Plus(r)
	l.latest[ref.Task] = max(l.latest[ref.Task], ref.Attempt)
}

// Ended frees what an attempt reserved. The attempt never starts again here,
// whether or not it ever ran.
func (l *Leaser) Ended(ref plantainrail.AttemptRef) {
	if r, ok := l.running[ref]; ok {
		l.used = l.used.Minus(r)
		delete(l.running, ref)
	}
	l.remember(ref)
}

func (l *Leaser) remember(ref plantainrail.AttemptRef) {
	if l.ended[ref] {
		return
	}
	l.ended[ref] = true
	l.order = append(l.order, ref)
	if len(l.order) > endedLimit {
		old := l.order[0]
		l.order = l.order[1:]
		delete(l.ended, old)
		if l.latest[old.Task] == old.Attempt {
			delete(l.latest, old.Task)
		}
	}
}

// Running lists the attempts that hold resources.
func (l *Leaser) Running() []plantainrail.AttemptRef {
	refs := make([]plantainrail.AttemptRef, 0, len(l.running))
	for ref := range l.running {
		refs = append(refs, ref)
	}
	return refs
}

// Free returns what is left of the VM.
func (l *Leaser) Free() plantainrail.Resources {
	if l.draining {
		return plantainrail.Resources{}
	}
	return l.capacity.Minus(l.used)
}

// Drain refuses every later start.
func (l *Leaser) Drain() { l.draining = true }

// Renounce takes another incarnation, after every attempt of the one before
// was stopped. The lease and the permit begin anew.
func (l *Leaser) Renounce(incarnation string) {
	*l = *New(l.capacity, incarnation)
}
