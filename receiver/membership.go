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
	membershipEvery = 250 * time.Millisecond
	// registerEvery is the pace at which an entry repeats its registration.
	registerEvery = 10 * time.Second
	// entrySilence is how long an entry owns work after its last registration
	// was read.
	entrySilence = 25 * time.Second
	// absenceLimit is how long a worker with tasks has no session here before
	// it is suspected.
	absenceLimit = 4 * time.Second
	// objectionPause is how long a worker is not suspected again after another
	// entry said that it hears it.
	objectionPause = 30 * time.Second
	// snapshotEvery is the number of records between two snapshots of the state.
	snapshotEvery = 2000
	// snapshotAge bounds the time between two snapshots.
	snapshotAge = 5 * time.Minute
	// snapshotPause is the least time between two snapshots.
	snapshotPause = 5 * time.Second
	proposalLimit = 3 * time.Second
)

// membership follows which entries and workers are present.
type membership struct {
	receiver   *Receiver
	registered time.Time
	// confirmed is set once the registration was read back.
	confirmed bool
	snapshot  time.Time
	// entries maps an entry to when its latest registration was read.
	entries map[string]seenEntry
	// absent maps a worker's incarnation to when it was first missed.
	absent map[string]time.Time
	// quiet maps a worker to when it may be suspected again.
	quiet map[string]time.Time
	// waits maps a suspicion to its deadlines.
	waits map[plantainrail.Offset]*suspicionWait
	busy  map[string]bool
	ended chan string
}

type seenEntry struct {
	offset plantainrail.Offset
	at     time.Time
}

// suspicionWait holds when a suspicion was read and when its last vote was.
type suspicionWait struct {
	read  time.Time
	voted time.Time
}

// keepMembership registers the entry, votes on suspicions, and raises them.
func (r *Receiver) keepMembership(ctx context.Context) error {
	m := &membership{
		receiver: r, snapshot: time.Now(), entries: map[string]seenEntry{}, absent: map[string]time.Time{},
		quiet: map[string]time.Time{}, waits: map[plantainrail.Offset]*suspicionWait{},
		busy: map[string]bool{}, ended: make(chan string, 64),
	}
	ticker := time.NewTicker(membershipEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case key := <-m.ended:
			delete(m.busy, key)
		case <-ticker.C:
			m.step(ctx, time.Now())
		}
	}
}

func (m *membership) step(ctx context.Context, now time.Time) {
	if _, known := m.receiver.follower.Age(now); !known || m.receiver.draining.Load() {
		return
	}
	var records []keyedRecord
	m.receiver.follower.View(func(s *reducer.State) {
		m.noteEntries(now, s)
		records = append(records, m.register(now, s)...)
		records = append(records, m.vote(s)...)
		records = append(records, m.release(now, s)...)
		records = append(records, m.suspect(now, s)...)
		records = append(records, m.succeed(s)...)
		records = append(records, m.expire(now, s)...)
		records = append(records, m.takeSnapshot(now, s)...)
	})
	for _, k := range records {
		m.propose(ctx, k)
	}
	m.receiver.sched.setLive(m.live(now))
}

// keyedRecord is a record with the key under which one proposal at a time is
// under way.
type keyedRecord struct {
	key    string
	record plantainrail.Record
}

func (m *membership) propose(ctx context.Context, k keyedRecord) {
	if m.busy[k.key] {
		return
	}
	m.busy[k.key] = true
	k.record.ID = follower.NewID()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, proposalLimit)
		defer cancel()
		verdict, err := m.receiver.follower.Propose(ctx, k.record)
		if err == nil && verdict.Accepted && k.record.Snapshot == nil && k.record.Entry == nil {
			m.receiver.Logger.Info("membership record", zap.String("type", string(k.record.Type)), zap.String("key", k.key))
		}
		select {
		case m.ended <- k.key:
		case <-ctx.Done():
			m.ended <- k.key
		}
	}()
}

func (m *membership) noteEntries(now time.Time, s *reducer.State) {
	for name, e := range s.Entries {
		if m.entries[name].offset != e.Seen {
			m.entries[name] = seenEntry{e.Seen, now}
		}
	}
	for name := range m.entries {
		if _, ok := s.Entries[name]; !ok {
			delete(m.entries, name)
		}
	}
}

// live lists the entries that registered lately.
func (m *membership) live(now time.Time) []string {
	var names []string
	for name, e := range m.entries {
		if now.Sub(e.at) < entrySilence {
			names = append(names, name)
		}
	}
	return names
}

// register repeats the entry's registration. An entry whose name was taken by
// another incarnation stays unregistered, and so renews and starts nothing.
func (m *membership) register(now time.Time, s *reducer.State) []keyedRecord {
	r := m.receiver
	current := s.Entries[r.Name].Incarnation == r.incarnation
	if m.confirmed && !current && s.Entries[r.Name].Incarnation != "" {
		r.Logger.Error("another entry has taken this name", zap.String("entry", r.Name))
		return nil
	}
	m.confirmed = m.confirmed || current
	if current && now.Sub(m.registered) < registerEvery {
		return nil
	}
	m.registered = now
	record := r.registration()
	return []keyedRecord{{"register", plantainrail.Record{Type: plantainrail.RecordEntry, Entry: &record}}}
}

// vote answers each open suspicion once. From the moment that the suspicion was
// read this entry renews no lease of that incarnation.
func (m *membership) vote(s *reducer.State) []keyedRecord {
	var records []keyedRecord
	for worker, p := range s.Suspects {
		if !p.Waiting[m.receiver.Name] {
			continue
		}
		vote := plantainrail.VoteRecord{
			Worker: worker, Suspicion: p.Offset, Entry: m.receiver.Name, Alive: m.receiver.hears(worker, p.Incarnation),
		}
		records = append(records, keyedRecord{"vote " + worker, plantainrail.Record{Type: plantainrail.RecordVote, Vote: &vote}})
	}
	return records
}

// hears tells whether a worker's incarnation has a session here and spoke lately.
func (r *Receiver) hears(worker, incarnation string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[worker]
	return p != nil && p.hello.Incarnation == incarnation && p.session.Heard() < heardLimit
}

// release frees the tasks of suspected workers once every lease has surely
// ended: a lease's length after the last vote was read, or, when an entry does
// not vote, after the longest time that it may have gone on renewing.
func (m *membership) release(now time.Time, s *reducer.State) []keyedRecord {
	var records []keyedRecord
	open := map[plantainrail.Offset]bool{}
	for worker, p := range s.Suspects {
		open[p.Offset] = true
		w := m.waits[p.Offset]
		if w == nil {
			w = &suspicionWait{read: now}
			m.waits[p.Offset] = w
		}
		if len(p.Waiting) == 0 && w.voted.IsZero() {
			w.voted = now
		}
		fast := !w.voted.IsZero() && now.Sub(w.voted) > leaseWait
		slow := now.Sub(w.read) > StandingLimit+leaseWait
		if fast || slow {
			gone := plantainrail.GoneRecord{Worker: worker, Incarnation: p.Incarnation, Suspicion: p.Offset}
			records = append(records, keyedRecord{"gone " + worker, plantainrail.Record{Type: plantainrail.RecordGone, Gone: &gone}})
		}
	}
	for at := range m.waits {
		if !open[at] {
			delete(m.waits, at)
		}
	}
	return records
}

// suspect raises a suspicion of workers that hold tasks and have had no
// session here for too long.
func (m *membership) suspect(now time.Time, s *reducer.State) []keyedRecord {
	missing := map[string]plantainrail.SuspectRecord{}
	for _, t := range s.Assigned {
		if m.receiver.hears(t.Worker, t.Incarnation) || s.Suspects[t.Worker] != nil {
			continue
		}
		missing[t.Worker+" "+t.Incarnation] = plantainrail.SuspectRecord{Worker: t.Worker, Incarnation: t.Incarnation, Entry: m.receiver.Name}
	}
	for key := range m.absent {
		if _, ok := missing[key]; !ok {
			delete(m.absent, key)
		}
	}
	var records []keyedRecord
	for key, p := range missing {
		if m.absent[key].IsZero() {
			m.absent[key] = now
		}
		if now.Sub(m.absent[key]) < absenceLimit || now.Before(m.quiet[p.Worker]) {
			continue
		}
		m.quiet[p.Worker] = now.Add(objectionPause)
		records = append(records, keyedRecord{"suspect " + p.Worker, plantainrail.Record{Type: plantainrail.RecordSuspect, Suspect: &p}})
	}
	return records
}

// succeed frees the tasks of incarnations that their own VM says are over.
func (m *membership) succeed(s *reducer.State) []keyedRecord {
	var records []keyedRecord
	m.receiver.mu.Lock()
	defer m.receiver.mu.Unlock()
	for name, p := range m.receiver.peers {
		over := p.hello.Succeeds
		if over == "" || s.Lost[name][over] {
			continue
		}
		gone := plantainrail.GoneRecord{Worker: name, Incarnation: over}
		records = append(records, keyedRecord{"gone " + name, plantainrail.Record{Type: plantainrail.RecordGone, Gone: &gone}})
	}
	return records
}

// expire takes back the registrations of entries that have been silent for so
// long that they renew nothing any more.
func (m *membership) expire(now time.Time, s *reducer.State) []keyedRecord {
	var records []keyedRecord
	for name, e := range m.entries {
		if name == m.receiver.Name || now.Sub(e.at) < StandingLimit+leaseWait {
			continue
		}
		left := s.Entries[name].EntryRecord
		left.Left = true
		records = append(records, keyedRecord{"expire " + name, plantainrail.Record{Type: plantainrail.RecordEntry, Entry: &left}})
	}
	return records
}

// takeSnapshot repeats the whole state before retention can drop what counts.
// The live entry with the lowest name does it.
func (m *membership) takeSnapshot(now time.Time, s *reducer.State) []keyedRecord {
	if !s.SnapshotDue() && s.Next-s.SnapshotAt < snapshotEvery && now.Sub(m.snapshot) < snapshotAge {
		return nil
	}
	for _, name := range m.live(now) {
		if name < m.receiver.Name {
			return nil
		}
	}
	if now.Sub(m.snapshot) < snapshotPause && s.SnapshotAt > 0 {
		return nil
	}
	record, err := s.Snapshot()
	if err != nil {
		return nil
	}
	m.snapshot = now
	return []keyedRecord{{"snapshot", plantainrail.Record{Type: plantainrail.RecordSnapshot, Snapshot: &record}}}
}
