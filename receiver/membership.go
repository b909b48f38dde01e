package receiver

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/follower"
	"github.com/plantainrail/plantainrail/reducer"
)

const (
	membershipInterval = 250 * time.Millisecond
	// registrationInterval is how often an entry repeats its registration.
	registrationInterval = 10 * time.Second
	// entryLivenessTimeout is how long an entry counts as live, and may own
	// jobs, after its latest registration was read.
	entryLivenessTimeout = 25 * time.Second
	// maxSessionAbsence is how long a worker with tasks may have no live
	// session here before it is suspected.
	maxSessionAbsence = 4 * time.Second
	// minSuspicionInterval is how long this entry waits before it suspects a
	// worker again, since another entry may have voted that the worker is
	// alive.
	minSuspicionInterval = 30 * time.Second
	// maxRecordsPerSnapshot is the number of records after which a new snapshot
	// of the state is due.
	maxRecordsPerSnapshot = 2000
	// maxSnapshotInterval is the time after which a new snapshot is due.
	maxSnapshotInterval = 5 * time.Minute
	// minSnapshotInterval is the shortest time between two snapshots.
	minSnapshotInterval = 5 * time.Second
	proposalTimeout     = 3 * time.Second
)

// membership tracks which entries and workers are alive.
type membership struct {
	receiver     *Receiver
	registeredAt time.Time
	// registrationConfirmed is set once the entry has read its own registration
	// from the log.
	registrationConfirmed bool
	snapshotAt            time.Time
	// registrations maps an entry to its latest registration that was read.
	registrations map[string]seenRegistration
	// absentSince maps a worker's incarnation to when it was first found to
	// have no live session here.
	absentSince map[string]time.Time
	// nextSuspicionAt maps a worker to when it may be suspected again.
	nextSuspicionAt map[string]time.Time
	// suspicionWaits maps the offset of an open suspicion to when it was read
	// and when the last vote on it was read.
	suspicionWaits    map[plantainrail.Offset]*suspicionWait
	pendingProposals  map[string]bool
	finishedProposals chan string
}

type seenRegistration struct {
	offset plantainrail.Offset
	readAt time.Time
}

// suspicionWait holds when a suspicion was read and when its last vote was
// read.
type suspicionWait struct {
	readAt  time.Time
	votedAt time.Time
}

// maintainMembership registers the entry, votes on suspicions, raises new ones,
// and proposes the other records about entries and workers.
func (r *Receiver) maintainMembership(ctx context.Context) error {
	m := &membership{
		receiver: r, snapshotAt: time.Now(), registrations: map[string]seenRegistration{}, absentSince: map[string]time.Time{},
		nextSuspicionAt: map[string]time.Time{}, suspicionWaits: map[plantainrail.Offset]*suspicionWait{},
		pendingProposals: map[string]bool{}, finishedProposals: make(chan string, 64),
	}
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case key := <-m.finishedProposals:
			delete(m.pendingProposals, key)
		case <-ticker.C:
			m.runOnce(ctx, time.Now())
		}
	}
}

func (m *membership) runOnce(ctx context.Context, now time.Time) {
	if _, known := m.receiver.follower.Age(now); !known || m.receiver.draining.Load() {
		return
	}
	var records []keyedProposal
	m.receiver.follower.View(func(s *reducer.State) {
		m.updateRegistrations(now, s)
		records = append(records, m.register(now, s)...)
		records = append(records, m.vote(s)...)
		records = append(records, m.declareLostWorkers(now, s)...)
		records = append(records, m.suspectAbsentWorkers(now, s)...)
		records = append(records, m.declareEndedIncarnations(s)...)
		records = append(records, m.expireEntries(now, s)...)
		records = append(records, m.takeSnapshot(now, s)...)
	})
	for _, k := range records {
		m.propose(ctx, k)
	}
	m.receiver.scheduler.setLiveEntries(m.liveEntries(now))
}

// keyedProposal is a record to propose. At most one proposal with the same key
// is in progress at a time.
type keyedProposal struct {
	key    string
	record plantainrail.Record
}

func (m *membership) propose(ctx context.Context, k keyedProposal) {
	if m.pendingProposals[k.key] {
		return
	}
	m.pendingProposals[k.key] = true
	k.record.ID = follower.NewID()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
		defer cancel()
		verdict, err := m.receiver.follower.Propose(ctx, k.record)
		if err == nil && verdict.Accepted && k.record.Snapshot == nil && k.record.Entry == nil {
			m.receiver.Logger.Info("membership record accepted", zap.String("type", string(k.record.Type)), zap.String("key", k.key))
		}
		select {
		case m.finishedProposals <- k.key:
		case <-ctx.Done():
			m.finishedProposals <- k.key
		}
	}()
}

func (m *membership) updateRegistrations(now time.Time, s *reducer.State) {
	for name, e := range s.Entries {
		if m.registrations[name].offset != e.Seen {
			m.registrations[name] = seenRegistration{e.Seen, now}
		}
	}
	for name := range m.registrations {
		if _, ok := s.Entries[name]; !ok {
			delete(m.registrations, name)
		}
	}
}

// liveEntries returns the entries whose registration was read within
// entryLivenessTimeout.
func (m *membership) liveEntries(now time.Time) []string {
	var names []string
	for name, e := range m.registrations {
		if now.Sub(e.readAt) < entryLivenessTimeout {
			names = append(names, name)
		}
	}
	return names
}

// register repeats the entry's registration. If another incarnation has taken
// the entry's name, this one stays unregistered, and so renews no leases and
// permits no starts.
func (m *membership) register(now time.Time, s *reducer.State) []keyedProposal {
	r := m.receiver
	current := s.Entries[r.Name].Incarnation == r.incarnation
	if m.registrationConfirmed && !current && s.Entries[r.Name].Incarnation != "" {
		r.Logger.Error("another incarnation has taken this entry's name; renewing no leases and permitting no starts", zap.String("entry", r.Name))
		return nil
	}
	m.registrationConfirmed = m.registrationConfirmed || current
	if current && now.Sub(m.registeredAt) < registrationInterval {
		return nil
	}
	m.registeredAt = now
	record := r.registration()
	return []keyedProposal{{"register", plantainrail.Record{Type: plantainrail.RecordEntry, Entry: &record}}}
}

// vote votes once on each open suspicion. An entry that has read a suspicion
// does not renew the lease of the suspected incarnation.
func (m *membership) vote(s *reducer.State) []keyedProposal {
	var records []keyedProposal
	for worker, p := range s.Suspects {
		if !p.Waiting[m.receiver.Name] {
			continue
		}
		vote := plantainrail.VoteRecord{
			Worker: worker, Suspicion: p.Offset, Entry: m.receiver.Name, Alive: m.receiver.hasLiveSession(worker, p.Incarnation),
		}
		records = append(records, keyedProposal{"vote " + worker, plantainrail.Record{Type: plantainrail.RecordVote, Vote: &vote}})
	}
	return records
}

// hasLiveSession reports whether a worker's incarnation has a session here on
// which a frame has arrived within maxSilence.
func (r *Receiver) hasLiveSession(worker, incarnation string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[worker]
	return p != nil && p.hello.Incarnation == incarnation && p.session.SinceLastMessage() < maxSilence
}

// declareLostWorkers frees the tasks of suspected workers once every lease has
// certainly expired: leaseExpiryWait after the last vote was read or, if some
// entry does not vote, leaseExpiryWait after the longest time for which that
// entry may have renewed leases.
func (m *membership) declareLostWorkers(now time.Time, s *reducer.State) []keyedProposal {
	var records []keyedProposal
	openSuspicions := map[plantainrail.Offset]bool{}
	for worker, p := range s.Suspects {
		openSuspicions[p.Offset] = true
		w := m.suspicionWaits[p.Offset]
		if w == nil {
			w = &suspicionWait{readAt: now}
			m.suspicionWaits[p.Offset] = w
		}
		if len(p.Waiting) == 0 && w.votedAt.IsZero() {
			w.votedAt = now
		}
		leaseExpired := !w.votedAt.IsZero() && now.Sub(w.votedAt) > leaseExpiryWait
		renewalLimitPassed := now.Sub(w.readAt) > MaxRenewalViewAge+leaseExpiryWait
		if leaseExpired || renewalLimitPassed {
			gone := plantainrail.GoneRecord{Worker: worker, Incarnation: p.Incarnation, Suspicion: p.Offset}
			records = append(records, keyedProposal{"gone " + worker, plantainrail.Record{Type: plantainrail.RecordGone, Gone: &gone}})
		}
	}
	for at := range m.suspicionWaits {
		if !openSuspicions[at] {
			delete(m.suspicionWaits, at)
		}
	}
	return records
}

// suspectAbsentWorkers suspects the workers that hold tasks and have had no
// live session here for maxSessionAbsence.
func (m *membership) suspectAbsentWorkers(now time.Time, s *reducer.State) []keyedProposal {
	missing := map[string]plantainrail.SuspectRecord{}
	for _, t := range s.AssignedTasks {
		if m.receiver.hasLiveSession(t.Worker, t.Incarnation) || s.Suspects[t.Worker] != nil {
			continue
		}
		missing[t.Worker+" "+t.Incarnation] = plantainrail.SuspectRecord{Worker: t.Worker, Incarnation: t.Incarnation, Entry: m.receiver.Name}
	}
	for key := range m.absentSince {
		if _, ok := missing[key]; !ok {
			delete(m.absentSince, key)
		}
	}
	var records []keyedProposal
	for key, p := range missing {
		if m.absentSince[key].IsZero() {
			m.absentSince[key] = now
		}
		if now.Sub(m.absentSince[key]) < maxSessionAbsence || now.Before(m.nextSuspicionAt[p.Worker]) {
			continue
		}
		m.nextSuspicionAt[p.Worker] = now.Add(minSuspicionInterval)
		records = append(records, keyedProposal{"suspect " + p.Worker, plantainrail.Record{Type: plantainrail.RecordSuspect, Suspect: &p}})
	}
	return records
}

// declareEndedIncarnations frees the tasks of earlier incarnations that their
// own VM reports as ended.
func (m *membership) declareEndedIncarnations(s *reducer.State) []keyedProposal {
	var records []keyedProposal
	m.receiver.mu.Lock()
	defer m.receiver.mu.Unlock()
	for name, p := range m.receiver.peers {
		ended := p.hello.Succeeds
		if ended == "" || s.LostIncarnations[name][ended] {
			continue
		}
		gone := plantainrail.GoneRecord{Worker: name, Incarnation: ended}
		records = append(records, keyedProposal{"gone " + name, plantainrail.Record{Type: plantainrail.RecordGone, Gone: &gone}})
	}
	return records
}

// expireEntries removes the registrations of entries that have been silent for
// so long that none of them can renew a lease.
func (m *membership) expireEntries(now time.Time, s *reducer.State) []keyedProposal {
	var records []keyedProposal
	for name, e := range m.registrations {
		if name == m.receiver.Name || now.Sub(e.readAt) < MaxRenewalViewAge+leaseExpiryWait {
			continue
		}
		left := s.Entries[name].EntryRecord
		left.Left = true
		records = append(records, keyedProposal{"expire " + name, plantainrail.Record{Type: plantainrail.RecordEntry, Entry: &left}})
	}
	return records
}

// takeSnapshot proposes a snapshot of the whole state before retention can drop
// records that are still needed. Only the live entry with the lowest name takes
// snapshots.
func (m *membership) takeSnapshot(now time.Time, s *reducer.State) []keyedProposal {
	if !s.SnapshotDue() && s.Next-s.SnapshotAt < maxRecordsPerSnapshot && now.Sub(m.snapshotAt) < maxSnapshotInterval {
		return nil
	}
	for _, name := range m.liveEntries(now) {
		if name < m.receiver.Name {
			return nil
		}
	}
	if now.Sub(m.snapshotAt) < minSnapshotInterval && s.SnapshotAt > 0 {
		return nil
	}
	record, err := s.Snapshot()
	if err != nil {
		return nil
	}
	m.snapshotAt = now
	return []keyedProposal{{"snapshot", plantainrail.Record{Type: plantainrail.RecordSnapshot, Snapshot: &record}}}
}
