// Package reducer computes the replicated state of the entries from the records of
// the log. A verdict depends only on the record and on the records at lower offsets,
// so every reader of the log computes the same state. The package performs no I/O and
// reads no clock. Package follower reads the log and applies its records, and package
// receiver acts on the state.
package reducer

import (
	"time"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/charter"
	"github.com/plantainrail/plantainrail/parser"
)

const (
	// maxRecentVerdicts is the number of records whose verdicts are kept by record ID,
	// so that a record that was appended twice is applied once.
	maxRecentVerdicts = 1 << 17
	// maxRevisions is the number of table revisions kept in State.History.
	maxRevisions = 64
	// KeyWindow is how long a claim of an Idempotency-Key is kept, by the log's
	// clock.
	KeyWindow = 15 * time.Minute
	// maxEndedJobs is the number of ended jobs kept for lookups.
	maxEndedJobs = 4096
)

var taskChart = charter.MustLoad("task")

// Verdict reports whether a record was accepted at its position in the log.
type Verdict struct {
	Accepted bool
	// Err is the reason why a record was rejected.
	Err *plantainrail.Error
}

// accepted is the verdict on an accepted record.
var accepted = Verdict{Accepted: true}

// rejected returns the verdict on a record that is rejected with an error.
func rejected(code plantainrail.Code, format string, args ...any) Verdict {
	return Verdict{Err: plantainrail.NewError(code, format, args...)}
}

// TableRevision is one accepted revision of the table.
type TableRevision struct {
	plantainrail.TableRecord
	Offset plantainrail.Offset
	Time   time.Time
}

// Entry is a registered entry. Entries repeat their registration.
type Entry struct {
	plantainrail.EntryRecord
	// Seen is the offset of its latest registration record.
	Seen plantainrail.Offset
}

// Zone is the state of an availability zone.
type Zone struct {
	// Out is set while the zone is out of service.
	Out bool
	// Epoch counts the accepted changes of the zone.
	Epoch int64
}

// Suspicion is an open proposal to declare an incarnation of a worker lost.
type Suspicion struct {
	plantainrail.SuspectRecord
	// Offset is the offset of the suspect record, by which votes refer to the suspicion.
	Offset plantainrail.Offset
	// Waiting holds the entries that have not voted yet, of those that were registered
	// at the offset of the suspicion.
	Waiting map[string]bool
}

// Job is an accepted job.
type Job struct {
	plantainrail.JobRecord
	Offset plantainrail.Offset
	// Tasks hides JobRecord.Tasks, which is the number of tasks.
	Tasks []*Task
	// unfinished counts the tasks that have not ended.
	unfinished int
}

// Done reports whether every task of the job has ended.
func (j *Job) Done() bool { return j.unfinished == 0 }

// Task is one task of a job.
type Task struct {
	ID    string
	Job   *Job
	State charter.State
	// Attempt is the number of the latest attempt; 0 before the first assignment.
	Attempt int64
	// Worker and Incarnation are those of the current attempt; empty while the task has
	// no worker.
	Worker      string
	Incarnation string
	// Checkpoint is that of the latest attempt that was released.
	Checkpoint plantainrail.Checkpoint
	// Reason is the reason given with the task's latest event.
	Reason string
	// Failures counts the failed attempts; FailedOn is the set of their workers.
	Failures int
	FailedOn map[string]bool
	// Evictions counts the released attempts.
	Evictions int
	// Zone is the availability zone of the current attempt, and Reserved the
	// resources that the attempt reserves on its worker.
	Zone     string
	Reserved plantainrail.Resources
}

// Ref returns the reference of the task's current attempt.
func (t *Task) Ref() plantainrail.AttemptRef {
	return plantainrail.AttemptRef{Task: t.ID, Attempt: t.Attempt}
}

// Ended reports whether the task has reached a final state.
func (t *Task) Ended() bool { return taskChart.Final(t.State) }

// Task states of the state chart "task".
const (
	TaskWaiting   charter.State = "waiting"
	TaskAssigned  charter.State = "assigned"
	TaskStopping  charter.State = "stopping"
	TaskFinished  charter.State = "finished"
	TaskFailed    charter.State = "failed"
	TaskCancelled charter.State = "cancelled"
)

// State is the state computed from the log records below the offset Next. It is not
// safe for concurrent use.
type State struct {
	// Next is the offset of the next record to apply.
	Next plantainrail.Offset
	// Table is the table revision in force, and History the latest revisions in
	// ascending order.
	Table   TableRevision
	History []TableRevision
	// Entries holds the registered entries by name.
	Entries map[string]Entry
	// Keys holds the claimed Idempotency-Keys.
	Keys  map[string]Claim
	Zones map[string]Zone
	// LeavingTargets maps a target to its incarnation that was marked as leaving.
	LeavingTargets map[string]string
	// Suspects holds the open suspicion of each suspected worker.
	Suspects map[string]*Suspicion
	// LostIncarnations maps a worker to its incarnations that were declared lost. No
	// attempt is assigned to them.
	LostIncarnations map[string]map[string]bool
	Jobs             map[string]*Job
	Tasks            map[string]*Task
	// OpenJobs holds the jobs that have not ended, and AssignedTasks the tasks that
	// have a worker.
	OpenJobs      map[string]*Job
	AssignedTasks map[string]*Task
	// AssignedCounts counts the tasks that have a worker, started or not, by zone and by
	// kind.
	AssignedCounts map[string]map[string]int
	// Reserved sums the resources that attempts reserve on each incarnation of a worker.
	Reserved map[IncarnationKey]plantainrail.Resources
	// SnapshotAt is the offset of the latest snapshot record; 0 before the first.
	SnapshotAt plantainrail.Offset
	// Oldest is the lowest offset that the log still held when it was last read.
	Oldest plantainrail.Offset

	// incomplete is set while the state lacks records: retention dropped those below
	// retainedFrom before they were read, and no snapshot that covers them was read
	// yet. pendingRecords holds the records that were read since.
	incomplete     bool
	retainedFrom   plantainrail.Offset
	pendingRecords []plantainrail.Record
	// verdicts holds the recent verdicts by record ID; verdictOrder lists the IDs from
	// oldest to newest.
	verdicts     map[string]Verdict
	verdictOrder []string
	// claimOrder lists the claims of Keys, and those that were taken over, from oldest to
	// newest.
	claimOrder []Claim
	// endedJobIDs lists the ended jobs from oldest to newest.
	endedJobIDs []string
	// unfinishedTasks counts the tasks that have not ended, for the quotas.
	unfinishedTasks map[teamKind]int
	// parsedTable is Table in parsed form.
	parsedTable plantainrail.Table
}

// Claim is a claimed Idempotency-Key.
type Claim struct {
	plantainrail.KeyRecord
	// Time is the time of the claim by the log's clock.
	Time time.Time
}

// IncarnationKey identifies one incarnation of a worker.
type IncarnationKey struct{ Worker, Incarnation string }

// teamKind is the scope of a quota.
type teamKind struct{ team, kind string }

// New returns the state of an empty log.
func New() *State {
	return &State{
		Entries:          map[string]Entry{},
		Keys:             map[string]Claim{},
		Zones:            map[string]Zone{},
		LeavingTargets:   map[string]string{},
		Suspects:         map[string]*Suspicion{},
		LostIncarnations: map[string]map[string]bool{},
		Jobs:             map[string]*Job{},
		Tasks:            map[string]*Task{},
		OpenJobs:         map[string]*Job{},
		AssignedTasks:    map[string]*Task{},
		AssignedCounts:   map[string]map[string]int{},
		Reserved:         map[IncarnationKey]plantainrail.Resources{},
		verdicts:         map[string]Verdict{},
		unfinishedTasks:  map[teamKind]int{},
	}
}

// Verdict returns the verdict on the record with the given ID. It returns false when
// the record was not read yet or is no longer among the recent ones.
func (s *State) Verdict(id string) (Verdict, bool) {
	v, ok := s.verdicts[id]
	return v, ok
}

// Apply applies one record and returns the verdict on it. Records must come in
// ascending order of offset. A record whose offset or ID was already applied is not
// applied again, and the recorded verdict is returned, which is empty if it was dropped.
// While the state is incomplete, a record is buffered and the verdict is empty, unless
// the record is a snapshot from which the state can be restored.
func (s *State) Apply(r plantainrail.Record) Verdict {
	if r.Offset < s.Next {
		return s.verdicts[r.ID]
	}
	if s.incomplete {
		return s.bufferUntilSnapshot(r)
	}
	s.Next = r.Offset + 1
	if v, ok := s.verdicts[r.ID]; ok {
		return v
	}
	v := s.applyRecord(r)
	s.recordVerdict(r.ID, v)
	return v
}

// recordVerdict keeps the verdict on a record and drops the oldest one beyond
// maxRecentVerdicts.
func (s *State) recordVerdict(id string, v Verdict) {
	s.verdicts[id] = v
	s.verdictOrder = append(s.verdictOrder, id)
	if len(s.verdictOrder) > maxRecentVerdicts {
		delete(s.verdicts, s.verdictOrder[0])
		s.verdictOrder = s.verdictOrder[1:]
	}
}

// applyRecord applies a record whose ID is new and returns the verdict on it.
func (s *State) applyRecord(r plantainrail.Record) Verdict {
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
		s.LeavingTargets[r.Leave.Target] = r.Leave.Incarnation
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

// applyTable accepts a revision of the table only if it is based on the current one.
func (s *State) applyTable(r plantainrail.Record) Verdict {
	t := *r.Table
	current := s.Table.Revision
	if t.Base != current || t.Revision != current+1 {
		return rejected(plantainrail.CodeTableConflict, "written against revision %d; revision %d is in force", t.Base, current)
	}
	s.setCurrentTable(r)
	return accepted
}

// setCurrentTable makes the record's table the current one and adds it to the history.
// The error of Parse can be ignored because an entry parses a table before it appends
// the record. An invalid table would have no kinds and therefore no caps.
func (s *State) setCurrentTable(r plantainrail.Record) {
	s.Table = TableRevision{*r.Table, r.Offset, r.Time}
	s.parsedTable, _ = parser.Parse(r.Table.CSV)
	s.History = append(s.History, s.Table)
	if len(s.History) > maxRevisions {
		s.History = s.History[1:]
	}
}

// applyEntry registers or deregisters an entry. Open suspicions no longer wait for the
// vote of a deregistered entry.
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

// applyKey accepts the first claim of a key. A later claim by another request takes the
// key over only if it names the holder's request in Replaces, which means that the
// holder's request was voided. A claim that replaces an expired one is rejected.
func (s *State) applyKey(c Claim) Verdict {
	s.expireKeys(c.Time)
	current, ok := s.Keys[c.Key]
	if ok && current.Request == c.Request {
		return accepted
	}
	if ok && current.Request != c.Replaces {
		return rejected(plantainrail.CodeKeyInUse, "held by request %s", current.Request)
	}
	if !ok && c.Replaces != "" {
		return rejected(plantainrail.CodeKeyInUse, "the claim of request %s has expired", c.Replaces)
	}
	s.Keys[c.Key] = c
	s.claimOrder = append(s.claimOrder, c)
	return accepted
}

// expireKeys drops the claims older than KeyWindow. A claim that was taken over by a
// newer one is only dropped from claimOrder.
func (s *State) expireKeys(now time.Time) {
	for len(s.claimOrder) > 0 && now.Sub(s.claimOrder[0].Time) > KeyWindow {
		oldest := s.claimOrder[0]
		s.claimOrder = s.claimOrder[1:]
		if s.Keys[oldest.Key].Request == oldest.Request {
			delete(s.Keys, oldest.Key)
		}
	}
}

// applyZone accepts a change of a zone only if it is based on the zone's current epoch.
func (s *State) applyZone(z plantainrail.ZoneRecord) Verdict {
	current := s.Zones[z.Zone]
	if z.BaseEpoch != current.Epoch {
		return rejected(plantainrail.CodeZoneConflict, "zone %s is at epoch %d, not %d", z.Zone, current.Epoch, z.BaseEpoch)
	}
	s.Zones[z.Zone] = Zone{Out: z.Out, Epoch: current.Epoch + 1}
	return accepted
}

// applySuspect opens a suspicion on which every registered entry may vote. A suspicion
// of another incarnation of the worker replaces the open one.
func (s *State) applySuspect(proposal plantainrail.SuspectRecord, at plantainrail.Offset) Verdict {
	if s.LostIncarnations[proposal.Worker][proposal.Incarnation] {
		return rejected(plantainrail.CodeNotFound, "worker %s is already lost", proposal.Worker)
	}
	if current := s.Suspects[proposal.Worker]; current != nil && current.Incarnation == proposal.Incarnation {
		return rejected(plantainrail.CodeZoneConflict, "worker %s is already suspected", proposal.Worker)
	}
	waiting := map[string]bool{}
	for name := range s.Entries {
		waiting[name] = true
	}
	s.Suspects[proposal.Worker] = &Suspicion{proposal, at, waiting}
	return accepted
}

// applyVote records an entry's vote. One vote that the worker is alive withdraws the
// suspicion. Only an entry's first vote counts, since the entry stops renewing the
// worker's lease when it votes that the worker is lost.
func (s *State) applyVote(v plantainrail.VoteRecord) Verdict {
	suspicion := s.Suspects[v.Worker]
	if suspicion == nil || suspicion.Offset != v.Suspicion {
		return rejected(plantainrail.CodeNotFound, "no such suspicion of %s", v.Worker)
	}
	if v.Alive && suspicion.Waiting[v.Entry] {
		delete(s.Suspects, v.Worker)
		return accepted
	}
	delete(suspicion.Waiting, v.Entry)
	return accepted
}

// applyGone declares an incarnation of a worker lost and releases its attempts. A
// record that refers to a suspicion is accepted only while that suspicion is open.
func (s *State) applyGone(g plantainrail.GoneRecord) Verdict {
	suspicion := s.Suspects[g.Worker]
	if g.Suspicion != 0 && (suspicion == nil || suspicion.Offset != g.Suspicion || suspicion.Incarnation != g.Incarnation) {
		return rejected(plantainrail.CodeNotFound, "the suspicion of %s was withdrawn", g.Worker)
	}
	if suspicion != nil && suspicion.Incarnation == g.Incarnation {
		delete(s.Suspects, g.Worker)
	}
	if s.LostIncarnations[g.Worker] == nil {
		s.LostIncarnations[g.Worker] = map[string]bool{}
	}
	s.LostIncarnations[g.Worker][g.Incarnation] = true
	for _, t := range s.AssignedTasks {
		if t.Worker == g.Worker && t.Incarnation == g.Incarnation {
			s.transition(t, "gone", "the worker was lost")
		}
	}
	return accepted
}
