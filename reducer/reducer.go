// Package reducer folds the records of the log into the state that every entry
// agrees on. Each rule depends only on the record and on the records of lower
// offsets, so every reader reaches the same verdicts.
package reducer

import (
	"time"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/charter"
	"github.com/plantainrail/plantainrail/parser"
)

const (
	// recentIDs is the number of record IDs that are remembered so that a
	// record that was appended twice counts once.
	recentIDs = 1 << 17
	// historyLimit is the number of table revisions kept for history.
	historyLimit = 64
	// KeyWindow is how long a claimed Idempotency-Key is remembered, by the
	// log's clock.
	KeyWindow = 15 * time.Minute
	// endedJobs is the number of ended jobs kept for lookups.
	endedJobs = 4096
)

var taskChart = charter.MustLoad("task")

// Verdict is what the log's order decided about a record.
type Verdict struct {
	Accepted bool
	// Err says why a record was rejected.
	Err *plantainrail.Error
}

var accepted = Verdict{Accepted: true}

func rejected(code plantainrail.Code, format string, args ...any) Verdict {
	return Verdict{Err: plantainrail.NewError(code, format, args...)}
}

// Revision is one accepted revision of the table.
type Revision struct {
	plantainrail.TableRecord
	Offset plantainrail.Offset
	Time   time.Time
}

// Entry is a registered entry.
type Entry struct {
	plantainrail.EntryRecord
	// Seen is the offset of its latest registration record.
	Seen plantainrail.Offset
}

// Zone is the state of an availability zone.
type Zone struct {
	Out bool
	// Epoch counts the accepted changes of the zone.
	Epoch int64
}

// Suspicion is an open proposal that a worker is lost.
type Suspicion struct {
	plantainrail.SuspectRecord
	Offset plantainrail.Offset
	// Waiting holds the registered entries that have not voted.
	Waiting map[string]bool
}

// Job is an accepted job.
type Job struct {
	plantainrail.JobRecord
	Offset plantainrail.Offset
	Tasks  []*Task
	open   int
}

// Done tells whether every task of the job has ended.
func (j *Job) Done() bool { return j.open == 0 }

// Task is one task of a job.
type Task struct {
	ID    string
	Job   *Job
	State charter.State
	// Attempt counts assignments; 0 before the first.
	Attempt     int64
	Worker      string
	Incarnation string
	Checkpoint  plantainrail.Checkpoint
	Reason      string
	// Failures counts failed attempts, and FailedOn names their workers.
	Failures int
	FailedOn map[string]bool
	// Evictions counts releases of running attempts.
	Evictions int
	// Zone is the availability zone of the current attempt, and Reserved what
	// the attempt reserves there.
	Zone     string
	Reserved plantainrail.Resources
}

// Ref names the task's current attempt.
func (t *Task) Ref() plantainrail.AttemptRef {
	return plantainrail.AttemptRef{Task: t.ID, Attempt: t.Attempt}
}

// Ended tells whether the task reached a final state.
func (t *Task) Ended() bool { return taskChart.Final(t.State) }

// Task states, as the chart names them.
const (
	TaskWaiting   charter.State = "waiting"
	TaskAssigned  charter.State = "assigned"
	TaskStopping  charter.State = "stopping"
	TaskFinished  charter.State = "finished"
	TaskFailed    charter.State = "failed"
	TaskCancelled charter.State = "cancelled"
)

// State is the fold of the log up to Next. It is not safe for concurrent use.
type State struct {
	Next     plantainrail.Offset
	Table    Revision
	History  []Revision
	Entries  map[string]Entry
	Keys     map[string]Claim
	Zones    map[string]Zone
	Leaving  map[string]string
	Suspects map[string]*Suspicion
	// Lost maps a worker to its incarnations that may run nothing.
	Lost  map[string]map[string]bool
	Jobs  map[string]*Job
	Tasks map[string]*Task
	// Open holds the jobs that have not ended, and Assigned the tasks that have
	// a worker.
	Open     map[string]*Job
	Assigned map[string]*Task
	// Running counts the tasks that have a worker, by zone and by kind.
	Running map[string]map[string]int
	// Used sums what the attempts on each worker's incarnation reserve.
	Used map[VM]plantainrail.Resources
	// SnapshotAt is the offset of the latest snapshot record.
	SnapshotAt plantainrail.Offset
	// Oldest is the lowest offset that retention was seen to keep.
	Oldest plantainrail.Offset

	// trimmed is set while records below first were dropped unread and no
	// snapshot that covers them was found; pending holds what was read since.
	trimmed  bool
	first    plantainrail.Offset
	pending  []plantainrail.Record
	ids      map[string]Verdict
	idOrder  []string
	keyOrder []Claim
	ended    []string
	usage    map[usageKey]int
	kinds    plantainrail.Table
}

// Claim is a claimed Idempotency-Key.
type Claim struct {
	plantainrail.KeyRecord
	Time time.Time
}

// VM names one incarnation of a worker.
type VM struct{ Worker, Incarnation string }

type usageKey struct{ team, kind string }

// New returns the state of an empty log.
func New() *State {
	return &State{
		Entries:  map[string]Entry{},
		Keys:     map[string]Claim{},
		Zones:    map[string]Zone{},
		Leaving:  map[string]string{},
		Suspects: map[string]*Suspicion{},
		Lost:     map[string]map[string]bool{},
		Jobs:     map[string]*Job{},
		Tasks:    map[string]*Task{},
		Open:     map[string]*Job{},
		Assigned: map[string]*Task{},
		Running:  map[string]map[string]int{},
		Used:     map[VM]plantainrail.Resources{},
		ids:      map[string]Verdict{},
		usage:    map[usageKey]int{},
	}
}

// Decided returns the verdict on the record with the given ID, once it was read.
func (s *State) Decided(id string) (Verdict, bool) {
	v, ok := s.ids[id]
	return v, ok
}

// Apply folds one record and returns the verdict on it. Records must come in
// ascending order of offset; a record that was already folded is skipped.
func (s *State) Apply(r plantainrail.Record) Verdict {
	if r.Offset < s.Next {
		return s.ids[r.ID]
	}
	if s.trimmed {
		return s.applyTrimmed(r)
	}
	s.Next = r.Offset + 1
	if v, ok := s.ids[r.ID]; ok {
		return v
	}
	v := s.decide(r)
	s.remember(r.ID, v)
	return v
}

func (s *State) remember(id string, v Verdict) {
	s.ids[id] = v
	s.idOrder = append(s.idOrder, id)
	if len(s.idOrder) > recentIDs {
		delete(s.ids, s.idOrder[0])
		s.idOrder = s.idOrder[1:]
	}
}

func (s *State) decide(r plantainrail.Record) Verdict {
	switch {
	case r.Table != nil:
		return s.applyTable(r)
	case r.Entry != nil:
		return s.applyEntry(*r.Entry, r.Offset)
	case r.Key != nil:
		return s.applyKey(Claim{*r.Key, r.Time})
	case r.Zone != nil:
		return s.applyZone(*r.Zone)
	case r.Leave != nil:
		s.Leaving[r.Leave.Target] = r.Leave.Incarnation
		return accepted
	case r.Suspect != nil:
		return s.applySuspect(*r.Suspect, r.Offset)
	case r.Vote != nil:
		return s.applyVote(*r.Vote)
	case r.Gone != nil:
		return s.applyGone(*r.Gone)
	case r.Job != nil:
		return s.applyJob(*r.Job, r.Offset)
	case r.Cancel != nil:
		return s.applyCancel(*r.Cancel)
	case r.Task != nil:
		return s.applyTask(*r.Task, r.Time)
	case r.Snapshot != nil:
		s.SnapshotAt = r.Offset
		return accepted
	}
	return rejected(plantainrail.CodeBadRequest, "record %s has no body", r.ID)
}

// applyTable accepts a publish only against the revision in force.
func (s *State) applyTable(r plantainrail.Record) Verdict {
	t := *r.Table
	current := s.Table.Revision
	if t.Base != current || t.Revision != current+1 {
		return rejected(plantainrail.CodeTableConflict, "written against revision %d; revision %d is in force", t.Base, current)
	}
	s.setTable(r)
	return accepted
}

func (s *State) setTable(r plantainrail.Record) {
	s.Table = Revision{*r.Table, r.Offset, r.Time}
	s.kinds, _ = parser.Parse(r.Table.CSV)
	s.History = append(s.History, s.Table)
	if len(s.History) > historyLimit {
		s.History = s.History[1:]
	}
}

func (s *State) applyEntry(e plantainrail.EntryRecord, at plantainrail.Offset) Verdict {
	if !e.Left {
		s.Entries[e.Name] = Entry{e, at}
		return accepted
	}
	if s.Entries[e.Name].Incarnation != e.Incarnation {
		return rejected(plantainrail.CodeNotFound, "entry %s has another incarnation", e.Name)
	}
	delete(s.Entries, e.Name)
	for _, p := range s.Suspects {
		delete(p.Waiting, e.Name)
	}
	return accepted
}

// applyKey gives a key to the first claim. A claim that names the holder as
// replaced takes the key over, since the holder's request was voided.
func (s *State) applyKey(c Claim) Verdict {
	s.expireKeys(c.Time)
	held, ok := s.Keys[c.Key]
	if ok && held.Request == c.Request {
		return accepted
	}
	if ok && held.Request != c.Replaces {
		return rejected(plantainrail.CodeKeyInUse, "held by request %s", held.Request)
	}
	if !ok && c.Replaces != "" {
		return rejected(plantainrail.CodeKeyInUse, "the claim of request %s has expired", c.Replaces)
	}
	s.Keys[c.Key] = c
	s.keyOrder = append(s.keyOrder, c)
	return accepted
}

func (s *State) expireKeys(now time.Time) {
	for len(s.keyOrder) > 0 && now.Sub(s.keyOrder[0].Time) > KeyWindow {
		old := s.keyOrder[0]
		s.keyOrder = s.keyOrder[1:]
		if s.Keys[old.Key].Request == old.Request {
			delete(s.Keys, old.Key)
		}
	}
}

func (s *State) applyZone(z plantainrail.ZoneRecord) Verdict {
	current := s.Zones[z.Zone]
	if z.Base != current.Epoch {
		return rejected(plantainrail.CodeZoneConflict, "zone %s is at epoch %d, not %d", z.Zone, current.Epoch, z.Base)
	}
	s.Zones[z.Zone] = Zone{Out: z.Out, Epoch: current.Epoch + 1}
	return accepted
}

func (s *State) applySuspect(p plantainrail.SuspectRecord, at plantainrail.Offset) Verdict {
	if s.Lost[p.Worker][p.Incarnation] {
		return rejected(plantainrail.CodeNotFound, "worker %s is already lost", p.Worker)
	}
	if open := s.Suspects[p.Worker]; open != nil && open.Incarnation == p.Incarnation {
		return rejected(plantainrail.CodeZoneConflict, "worker %s is already suspected", p.Worker)
	}
	waiting := map[string]bool{}
	for name := range s.Entries {
		waiting[name] = true
	}
	s.Suspects[p.Worker] = &Suspicion{p, at, waiting}
	return accepted
}

func (s *State) applyVote(v plantainrail.VoteRecord) Verdict {
	p := s.Suspects[v.Worker]
	if p == nil || p.Offset != v.Suspicion {
		return rejected(plantainrail.CodeNotFound, "no such suspicion of %s", v.Worker)
	}
	if v.Alive && p.Waiting[v.Entry] {
		delete(s.Suspects, v.Worker)
		return accepted
	}
	delete(p.Waiting, v.Entry)
	return accepted
}

// applyGone frees the attempts of a worker's incarnation. A record that waited
// out a suspicion counts only while that suspicion stands.
func (s *State) applyGone(g plantainrail.GoneRecord) Verdict {
	p := s.Suspects[g.Worker]
	if g.Suspicion != 0 && (p == nil || p.Offset != g.Suspicion || p.Incarnation != g.Incarnation) {
		return rejected(plantainrail.CodeNotFound, "the suspicion of %s was withdrawn", g.Worker)
	}
	if p != nil && p.Incarnation == g.Incarnation {
		delete(s.Suspects, g.Worker)
	}
	if s.Lost[g.Worker] == nil {
		s.Lost[g.Worker] = map[string]bool{}
	}
	s.Lost[g.Worker][g.Incarnation] = true
	for _, t := range s.Assigned {
		if t.Worker == g.Worker && t.Incarnation == g.Incarnation {
			s.step(t, "gone", "the worker was lost")
		}
	}
	return accepted
}
