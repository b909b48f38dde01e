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
	// membershipInterval is the interval between two runs of runOnce.
	membershipInterval = 250 * time.Millisecond
	// registrationInterval is how often an entry repeats its registration.
	registrationInterval = 10 * time.Second
	// entryLivenessTimeout is how long an entry counts as live, and may own
	// jobs, after this entry has read its latest registration.
	entryLivenessTimeout = 25 * time.Second
	// maxSessionAbsence is how long a worker with tasks may have no live
	// session with this entry before the entry suspects it to be lost.
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
	// proposalTimeout bounds the wait for the log to decide on a proposed record.
	proposalTimeout = 3 * time.Second
)

// membership tracks which entries and workers are alive. A worker has the name
// of its agent. Only the goroutine of maintainMembership uses the fields.
type membership struct {
	receiver *Receiver
	// registeredAt is when the entry last proposed its registration.
	registeredAt time.Time
	// registrationConfirmed is set once the entry has read its own registration
	// from the log.
	registrationConfirmed bool
	// snapshotProposedAt is when the entry last proposed a snapshot, or when it started.
	snapshotProposedAt time.Time
	// registrations maps an entry to its latest registration that was read.
	registrations map[string]seenRegistration
	// absentSince maps a worker's name and incarnation, separated by a space, to when
	// the incarnation was first found to have no live session here.
	absentSince map[string]time.Time
	// nextSuspicionAt maps a worker to when it may be suspected again.
	nextSuspicionAt map[string]time.Time
	// suspicionWaits holds the times of the open suspicions by their offset.
	suspicionWaits map[plantainrail.Offset]*suspicionWait
	// pendingProposals is the set of the keys of the proposals in progress;
	// finishedProposals receives the key of each when it has ended.
	pendingProposals  map[string]bool
	finishedProposals chan string
}

// seenRegistration holds the offset of a registration and when this entry read
// it.
type seenRegistration struct {
	offset plantainrail.Offset
	readAt time.Time
}

// suspicionWait holds when this entry read a suspicion and when it had read the
// votes of all entries on it. allVotedAt is zero while a vote is missing.
type suspicionWait struct {
	readAt     time.Time
	allVotedAt time.Time
}

// maintainMembership registers the entry, votes on suspicions, raises new ones,
// and proposes the other records about entries and workers, until ctx ends. It
// always returns nil.
func (r *Receiver) maintainMembership(ctx context.Context) error {
	m := &membership{
		receiver: r, snapshotProposedAt: time.Now(), registrations: map[string]seenRegistration{}, absentSince: map[string]time.Time{},
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

// runOnce proposes the records that are due and updates the scheduler's list of
// live entries. It does nothing before the log has been read to its end, while the
// state lacks dropped records that no snapshot covers, or once the entry drains.
func (m *membership) runOnce(ctx context.Context, now time.Time) {
	if _, known := m.receiver.follower.Age(now); !known || m.receiver.draining.Load() {
		return
	}
	var records []keyedProposal
	m.receiver.follower.View(func(s *reducer.State) {
		m.updateRegistrations(now, s)
		records = append(records, m.dueRegistration(now, s)...)
		records = append(records, m.dueVotes(s)...)
		records = append(records, m.lostWorkerRecords(now, s)...)
		records = append(records, m.newSuspicions(now, s)...)
		records = append(records, m.endedIncarnationRecords(s)...)
		records = append(records, m.expiredEntryRecords(now, s)...)
		records = append(records, m.dueSnapshot(now, s)...)
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

// propose proposes a record in the background, unless a proposal with the same
// key is in progress. A record that fails or is rejected is proposed again by a
// later runOnce if it is still needed.
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
		// The key is sent also after the timeout; otherwise no record with this
		// key would be proposed again.
		select {
		case m.finishedProposals <- k.key:
		case <-ctx.Done():
			m.finishedProposals <- k.key
		}
	}()
}

// updateRegistrations records the time at which new registrations were read, and
// removes entries that have been deregistered.
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

// dueRegistration returns the entry's registration if it is time to repeat it. When the
// entry starts, its registration replaces that of an earlier incarnation of the
// same name. If a later incarnation then takes the name in turn, this one does
// not register again, and so renews no leases and permits no starts.
func (m *membership) dueRegistration(now time.Time, s *reducer.State) []keyedProposal {
	r := m.receiver
	registered := s.Entries[r.Name].Incarnation == r.incarnation
	if m.registrationConfirmed && !registered && s.Entries[r.Name].Incarnation != "" {
		r.Logger.Error("another incarnation has taken this entry's name; renewing no leases and permitting no starts", zap.String("entry", r.Name))
		return nil
	}
	m.registrationConfirmed = m.registrationConfirmed || registered
	if registered && now.Sub(m.registeredAt) < registrationInterval {
		return nil
	}
	m.registeredAt = now
	record := r.registration()
	return []keyedProposal{{"register", plantainrail.Record{Type: plantainrail.RecordEntry, Entry: &record}}}
}

// dueVotes returns the entry's vote on each open suspicion that still waits for it.
// An entry that has read a suspicion does not renew the lease of the suspected
// incarnation, whatever its vote.
func (m *membership) dueVotes(s *reducer.State) []keyedProposal {
	var records []keyedProposal
	for worker, suspicion := range s.Suspects {
		if !suspicion.Waiting[m.receiver.Name] {
			continue
		}
		vote := plantainrail.VoteRecord{
			Worker: worker, Suspicion: suspicion.Offset, Entry: m.receiver.Name, Alive: m.receiver.hasLiveSession(worker, suspicion.Incarnation),
		}
		records = append(records, keyedProposal{"vote " + worker, plantainrail.Record{Type: plantainrail.RecordVote, Vote: &vote}})
	}
	return records
}

// hasLiveSession reports whether this entry has a session with the given
// incarnation of a worker's agent and has received a message on it within
// maxSilence.
func (r *Receiver) hasLiveSession(worker, incarnation string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[worker]
	return p != nil && p.hello.Incarnation == incarnation && p.session.SinceLastMessage() < maxSilence
}

// lostWorkerRecords returns records that declare suspected workers lost, which
// releases their tasks. It waits until every lease has certainly expired:
// leaseExpiryWait after the last vote was read or, if some entry does not vote,
// MaxRenewalViewAge plus leaseExpiryWait after the suspicion was read. An entry that
// has not read the suspicion within MaxRenewalViewAge has stopped renewing leases.
func (m *membership) lostWorkerRecords(now time.Time, s *reducer.State) []keyedProposal {
	var records []keyedProposal
	openSuspicions := map[plantainrail.Offset]bool{}
	for worker, suspicion := range s.Suspects {
		openSuspicions[suspicion.Offset] = true
		w := m.suspicionWaits[suspicion.Offset]
		if w == nil {
			w = &suspicionWait{readAt: now}
			m.suspicionWaits[suspicion.Offset] = w
		}
		if len(suspicion.Waiting) == 0 && w.allVotedAt.IsZero() {
			w.allVotedAt = now
		}
		leaseExpired := !w.allVotedAt.IsZero() && now.Sub(w.allVotedAt) > leaseExpiryWait
		renewalLimitPassed := now.Sub(w.readAt) > MaxRenewalViewAge+leaseExpiryWait
		if leaseExpired || renewalLimitPassed {
			gone := plantainrail.GoneRecord{Worker: worker, Incarnation: suspicion.Incarnation, Suspicion: suspicion.Offset}
			records = append(records, keyedProposal{"gone " + worker, plantainrail.Record{Type: plantainrail.RecordGone, Gone: &gone}})
		}
	}
	for offset := range m.suspicionWaits {
		if !openSuspicions[offset] {
			delete(m.suspicionWaits, offset)
		}
	}
	return records
}

// newSuspicions returns a suspicion of each worker that holds tasks, has
// had no live session with this entry for maxSessionAbsence and is not suspected
// yet.
func (m *membership) newSuspicions(now time.Time, s *reducer.State) []keyedProposal {
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
	for key, suspect := range missing {
		if m.absentSince[key].IsZero() {
			m.absentSince[key] = now
		}
		if now.Sub(m.absentSince[key]) < maxSessionAbsence || now.Before(m.nextSuspicionAt[suspect.Worker]) {
			continue
		}
		m.nextSuspicionAt[suspect.Worker] = now.Add(minSuspicionInterval)
		records = append(records, keyedProposal{"suspect " + suspect.Worker, plantainrail.Record{Type: plantainrail.RecordSuspect, Suspect: &suspect}})
	}
	return records
}

// endedIncarnationRecords returns a record for each earlier incarnation of a worker
// that its current agent has reported as ended. The record declares that incarnation
// lost, which releases its tasks without waiting for a lease to expire.
func (m *membership) endedIncarnationRecords(s *reducer.State) []keyedProposal {
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

// expiredEntryRecords returns records that deregister the entries that have not
// repeated their registration for so long that no lease that they renewed can
// still be valid.
func (m *membership) expiredEntryRecords(now time.Time, s *reducer.State) []keyedProposal {
	var records []keyedProposal
	for name, e := range m.registrations {
		if name == m.receiver.Name || now.Sub(e.readAt) < MaxRenewalViewAge+leaseExpiryWait {
			continue
		}
		record := s.Entries[name].EntryRecord
		record.Left = true
		records = append(records, keyedProposal{"expire " + name, plantainrail.Record{Type: plantainrail.RecordEntry, Entry: &record}})
	}
	return records
}

// dueSnapshot returns a snapshot of the whole state if one is due, so that
// retention never drops records that no snapshot covers. Only the live entry with
// the lowest name takes snapshots. Once the log has a snapshot, the entry waits for
// minSnapshotInterval after its own latest one.
func (m *membership) dueSnapshot(now time.Time, s *reducer.State) []keyedProposal {
	if !s.SnapshotDue() && s.Next-s.SnapshotAt < maxRecordsPerSnapshot && now.Sub(m.snapshotProposedAt) < maxSnapshotInterval {
		return nil
	}
	for _, name := range m.liveEntries(now) {
		if name < m.receiver.Name {
			return nil
		}
	}
	if now.Sub(m.snapshotProposedAt) < minSnapshotInterval && s.SnapshotAt > 0 {
		return nil
	}
	record, err := s.Snapshot()
	if err != nil {
		// The state lacks records. The next runOnce tries again.
		return nil
	}
	m.snapshotProposedAt = now
	return []keyedProposal{{"snapshot", plantainrail.Record{Type: plantainrail.RecordSnapshot, Snapshot: &record}}}
}
