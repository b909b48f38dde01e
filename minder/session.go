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
	// beatEvery is how often the agent asks the owner to renew the lease.
	beatEvery = time.Second
	// redialPause is the pause between two attempts to reach an owner.
	redialPause = 100 * time.Millisecond
	// membersWait is how long a read of the members may take.
	membersWait = 20 * time.Second
	// retryPause is the pause after a failed read of the store.
	retryPause = 300 * time.Millisecond
	// sequencesMost bounds the renewals that were asked for and not answered.
	sequencesMost = 16
)

// owners is what an agent knows of the entries.
type owners struct {
	// newest is the owner's address, with the epoch of its claim.
	newest  string
	epoch   int64
	entries []string
	turn    int
}

func newOwners() owners { return owners{} }

// followMembers learns from the store who owns the jobs.
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
			// The newest records are read anew, whatever the error was.
			next, lost = -1, true
			_ = clocker.Sleep(ctx, retryPause)
			continue
		}
		if lost {
			m.Logger.Info("store regained")
			lost = false
		}
		next = batch.Next
		for _, r := range batch.Records {
			m.takeMember(r)
		}
	}
	return ctx.Err()
}

func (m *Minder) takeMember(r plantainrail.KeyedRecord) {
	address, owner, epoch, err := m.ParseMember(r)
	if err != nil {
		m.Logger.Error("member unreadable", zap.String("key", r.Key), zap.Error(err))
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !owner {
		if address != "" {
			m.owners.learn(address)
		}
		return
	}
	if epoch <= m.owners.epoch {
		return
	}
	m.owners.newest, m.owners.epoch = address, epoch
	m.owners.learn(address)
	if m.session != nil && epoch > m.epoch {
		m.Logger.Info("owner changed", zap.String("address", address), zap.Int64("epoch", epoch))
		m.session.Close()
	}
}

// entriesMost bounds the addresses of entries that are kept.
const entriesMost = 64

func (o *owners) learn(address string) {
	for _, known := range o.entries {
		if known == address {
			return
		}
	}
	o.entries = append(o.entries, address)
	if len(o.entries) > entriesMost {
		o.entries = o.entries[1:]
	}
}

// next returns the address to try: the newest owner and the other entries in
// turn.
func (o *owners) next() string {
	o.turn++
	if o.newest != "" && o.turn%2 == 1 || len(o.entries) == 0 {
		return o.newest
	}
	return o.entries[(o.turn/2)%len(o.entries)]
}

// keepSession keeps a session with the owner.
func (m *Minder) keepSession(ctx context.Context) error {
	hint := ""
	for ctx.Err() == nil {
		m.mu.Lock()
		address := hint
		if address == "" {
			address = m.owners.next()
		}
		known := !m.vm.Life.IsZero()
		m.mu.Unlock()
		if address == "" || !known {
			_ = clocker.Sleep(ctx, redialPause)
			continue
		}
		session, owner, err := m.Dial(ctx, address)
		if err != nil {
			m.Logger.Debug("owner not reached", zap.String("address", address), zap.String("owner", owner), zap.Error(err))
			hint = ""
			if owner != address {
				hint = owner
			}
			_ = clocker.Sleep(ctx, redialPause)
			continue
		}
		hint = ""
		m.open(session, address)
		err = session.Run(ctx, m)
		m.close(session, err)
		_ = clocker.Sleep(ctx, redialPause)
	}
	return ctx.Err()
}

func (m *Minder) open(session *linker.Session, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.session, m.told, m.whole = session, m.noted, false
	m.shown = nil
	clear(m.sentAt)
	m.Logger.Info("session opened", zap.String("address", address))
	if m.departed {
		m.tell(linker.WorkReport{Gone: true})
		return
	}
	m.tellEnds()
	m.renew()
	m.poke()
}

func (m *Minder) close(session *linker.Session, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.session == session {
		m.session = nil
	}
	m.Logger.Info("session closed", zap.Int64("epoch", m.epoch), zap.Error(err))
}

// beat asks the owner at an even pace to renew the lease.
func (m *Minder) beat(ctx context.Context) error {
	for clocker.Sleep(ctx, beatEvery) == nil {
		m.mu.Lock()
		m.renew()
		m.mu.Unlock()
	}
	return ctx.Err()
}

// renew asks for a renewal and tells what has changed in the runs. The caller
// holds the lock.
func (m *Minder) renew() {
	if m.session == nil || m.unreachable || m.departed {
		// The lease of a worker that has ended or does not answer must run out.
		return
	}
	m.sequence++
	if len(m.sentAt) > sequencesMost {
		clear(m.sentAt)
	}
	m.sentAt[m.sequence] = m.Now()
	shown := make(map[plantainrail.RunRef]plantainrail.RunStatus, len(m.running))
	var changed []plantainrail.RunStatus
	for ref, status := range m.running {
		shown[ref] = status
		if status.Saved != m.shown[ref].Saved {
			changed = append(changed, status)
		}
	}
	m.shown = shown
	m.tell(linker.WorkReport{Sequence: m.sequence, Running: changed})
}

// Frame implements linker.Handler.
func (m *Minder) Frame(s *linker.Session, f linker.Frame) {
	if f.Orders != nil {
		m.obey(s, *f.Orders)
	}
}

// Opened implements linker.Handler; entries open no streams.
func (m *Minder) Opened(st *linker.Stream, _ linker.Frame) { st.Close() }

// obey carries out what the owner asks for.
func (m *Minder) obey(s *linker.Session, o linker.WorkOrders) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s != m.session || o.Life != m.vm.Life {
		return
	}
	if o.Epoch < m.epoch {
		m.Logger.Warn("orders of an earlier owner passed over", zap.Int64("epoch", o.Epoch), zap.Int64("known", m.epoch))
		s.Close()
		return
	}
	m.epoch = o.Epoch
	m.farewell = m.farewell || o.Departed
	if o.Renewed > 0 {
		if at, ok := m.sentAt[o.Renewed]; ok {
			delete(m.sentAt, o.Renewed)
			m.grantedUntil = at.Add(m.Lease)
		}
	}
	if o.Whole {
		m.replace(o.Starts)
	} else {
		for _, order := range o.Starts {
			m.want(order)
		}
	}
	for _, ref := range o.Stops {
		m.unwant(ref)
	}
	if o.Noted > m.noted {
		m.note(o.Noted)
	}
}

// replace takes the whole of what the owner wants.
func (m *Minder) replace(orders []plantainrail.RunOrder) {
	keep := map[plantainrail.RunRef]bool{}
	for _, order := range orders {
		keep[order.Ref] = true
	}
	for ref := range m.wanted {
		if !keep[ref] {
			m.stop(ref, "no longer wanted")
		}
	}
	m.whole = true
	for _, order := range orders {
		m.want(order)
	}
	// The owner may have given the worker up and taken it anew.
	if len(m.ends) > 0 {
		m.tellEnds()
	}
	m.poke()
}

// want takes in a run that the owner wants, and starts it unless it runs or has
// ended.
func (m *Minder) want(order plantainrail.RunOrder) {
	if m.wanted[order.Ref] != nil || m.ended(order.Ref) {
		return
	}
	r := &run{order: order}
	m.wanted[order.Ref] = r
	if _, runs := m.running[order.Ref]; runs {
		return
	}
	m.start(r)
}

// unwant ends a run that the owner believes to be here. The owner is told when
// it was never begun.
func (m *Minder) unwant(ref plantainrail.RunRef) {
	if m.ended(ref) {
		return
	}
	if m.wanted[ref] == nil {
		m.wanted[ref] = &run{order: plantainrail.RunOrder{Ref: ref}}
	}
	m.stop(ref, "ordered")
}

// ended tells whether the worker lists an end of the run.
func (m *Minder) ended(ref plantainrail.RunRef) bool {
	return slices.ContainsFunc(m.ends, func(end plantainrail.RunEnd) bool { return end.Ref == ref })
}

// note drops the ends that the store holds.
func (m *Minder) note(number int64) {
	m.noted = number
	kept := m.ends[:0]
	for _, end := range m.ends {
		if end.Number > number {
			kept = append(kept, end)
		}
	}
	m.ends = kept
	m.poke()
}
