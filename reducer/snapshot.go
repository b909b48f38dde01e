package reducer

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/charter"
	"github.com/plantainrail/plantainrail/parser"
)

// encodedState is the encoded form of a State. Jobs are in ascending order of offset.
// Some nested types have fields without a tag, which are encoded under their Go names;
// renaming such a field would make stored snapshots unreadable.
type encodedState struct {
	Table    TableRevision              `cbor:"0,keyasint"`
	History  []TableRevision            `cbor:"1,keyasint"`
	Entries  map[string]Entry           `cbor:"2,keyasint"`
	Claims   []Claim                    `cbor:"3,keyasint"`
	Zones    map[string]Zone            `cbor:"4,keyasint"`
	Leaving  map[string]string          `cbor:"5,keyasint"`
	Suspects map[string]*Suspicion      `cbor:"6,keyasint"`
	Lost     map[string]map[string]bool `cbor:"7,keyasint"`
	Jobs     []encodedJob               `cbor:"8,keyasint"`
	Verdicts []recentVerdict            `cbor:"9,keyasint"`
}

// recentVerdict is the verdict on a recent record. It keeps a duplicate of the record
// that is read after the snapshot from being applied again.
type recentVerdict struct {
	ID      string  `cbor:"0,keyasint"`
	Verdict Verdict `cbor:"1,keyasint"`
}

// maxSnapshotVerdicts is the number of verdicts that a snapshot holds. It can be far
// below maxRecentVerdicts, since a record whose append was not acknowledged is appended
// again within seconds.
const maxSnapshotVerdicts = 4096

type encodedJob struct {
	Record plantainrail.JobRecord `cbor:"0,keyasint"`
	Offset plantainrail.Offset    `cbor:"1,keyasint"`
	Tasks  []encodedTask          `cbor:"2,keyasint"`
}

type encodedTask struct {
	State       charter.State           `cbor:"0,keyasint"`
	Attempt     int64                   `cbor:"1,keyasint,omitempty"`
	Worker      string                  `cbor:"2,keyasint,omitempty"`
	Incarnation string                  `cbor:"3,keyasint,omitempty"`
	Checkpoint  plantainrail.Checkpoint `cbor:"4,keyasint,omitempty"`
	Reason      string                  `cbor:"5,keyasint,omitempty"`
	Failures    int                     `cbor:"6,keyasint,omitempty"`
	FailedOn    map[string]bool         `cbor:"7,keyasint,omitempty"`
	Evictions   int                     `cbor:"8,keyasint,omitempty"`
	Zone        string                  `cbor:"9,keyasint,omitempty"`
	Reserved    plantainrail.Resources  `cbor:"10,keyasint,omitzero"`
}

// Snapshot encodes the state as of Next. It fails while the state is incomplete.
func (s *State) Snapshot() (plantainrail.SnapshotRecord, error) {
	if s.incomplete {
		return plantainrail.SnapshotRecord{}, errors.New("state is incomplete: no snapshot covers the records that retention dropped")
	}
	encoded := encodedState{
		Table: s.Table, History: s.History, Entries: s.Entries, Zones: s.Zones,
		Leaving: s.LeavingTargets, Suspects: s.Suspects, Lost: s.LostIncarnations,
	}
	for _, c := range s.claimOrder {
		// Claims that were taken over are left out.
		if s.Keys[c.Key].Request == c.Request {
			encoded.Claims = append(encoded.Claims, c)
		}
	}
	for _, j := range s.Jobs {
		encoded.Jobs = append(encoded.Jobs, encodeJob(j))
	}
	for _, id := range s.verdictOrder[max(0, len(s.verdictOrder)-maxSnapshotVerdicts):] {
		encoded.Verdicts = append(encoded.Verdicts, recentVerdict{id, s.verdicts[id]})
	}
	slices.SortFunc(encoded.Jobs, func(a, b encodedJob) int { return int(a.Offset - b.Offset) })
	raw, err := cbor.Marshal(encoded)
	return plantainrail.SnapshotRecord{AsOf: s.Next, State: raw}, errors.Wrap(err, "encode state")
}

func encodeJob(j *Job) encodedJob {
	encoded := encodedJob{Record: j.JobRecord, Offset: j.Offset}
	for _, t := range j.Tasks {
		encoded.Tasks = append(encoded.Tasks, encodedTask{
			t.State, t.Attempt, t.Worker, t.Incarnation, t.Checkpoint, t.Reason, t.Failures, t.FailedOn, t.Evictions, t.Zone, t.Reserved,
		})
	}
	return encoded
}

// RecordRetention records that retention has dropped the log's records below the offset
// oldest. If that includes records that were not applied yet, the state is cleared and
// stays incomplete until a snapshot record that covers the dropped ones is applied or
// SkipSnapshot is called.
func (s *State) RecordRetention(oldest plantainrail.Offset) {
	s.Oldest = max(s.Oldest, oldest)
	if oldest <= s.Next {
		return
	}
	*s = *New()
	s.Oldest = oldest
	s.incomplete = true
	s.retainedFrom = oldest
	s.Next = oldest
}

// SnapshotDue reports whether a new snapshot is needed: none was read so far, or
// retention has begun to drop records and the latest snapshot record is in the older
// half of those that are kept.
func (s *State) SnapshotDue() bool {
	kept := s.Next - s.Oldest
	return s.SnapshotAt == 0 || (s.Oldest > 0 && s.SnapshotAt-s.Oldest < kept/2)
}

// Complete reports whether the state includes every record of the log, either applied
// or through a snapshot. It is also true after SkipSnapshot.
func (s *State) Complete() bool { return !s.incomplete }

// SkipSnapshot stops waiting for a snapshot and applies the buffered records to an
// empty state, without the dropped ones.
func (s *State) SkipSnapshot() {
	s.replay(s.retainedFrom)
}

// bufferUntilSnapshot buffers the records that are read while the state is incomplete.
// A snapshot that covers the dropped records restores the state, and the buffered
// records that it does not cover are applied. If the snapshot cannot be decoded, it is
// rejected and the state stays incomplete.
func (s *State) bufferUntilSnapshot(r plantainrail.Record) Verdict {
	s.Next = r.Offset + 1
	if r.Snapshot == nil || r.Snapshot.AsOf < s.retainedFrom {
		s.pendingRecords = append(s.pendingRecords, r)
		return Verdict{}
	}
	restored, err := restore(*r.Snapshot)
	if err != nil {
		return rejected(plantainrail.CodeInternal, "%v", err)
	}
	records, oldest := append(s.pendingRecords, r), s.Oldest
	*s = *restored
	s.Oldest = oldest
	s.pendingRecords = records
	s.replay(r.Snapshot.AsOf)
	return accepted
}

// replay applies the buffered records from the given offset on.
func (s *State) replay(from plantainrail.Offset) {
	records := s.pendingRecords
	s.pendingRecords = nil
	s.incomplete = false
	s.Next = from
	for _, r := range records {
		s.Apply(r)
	}
}

// restore decodes the state of a snapshot. The error of Parse is ignored as in
// setCurrentTable.
func restore(r plantainrail.SnapshotRecord) (*State, error) {
	var encoded encodedState
	if err := cbor.Unmarshal(r.State, &encoded); err != nil {
		return nil, errors.Wrap(err, "decode state")
	}
	s := New()
	s.Table, s.History = encoded.Table, encoded.History
	s.parsedTable, _ = parser.Parse(encoded.Table.CSV)
	copyMap(s.Entries, encoded.Entries)
	copyMap(s.Zones, encoded.Zones)
	copyMap(s.LeavingTargets, encoded.Leaving)
	copyMap(s.Suspects, encoded.Suspects)
	copyMap(s.LostIncarnations, encoded.Lost)
	for _, c := range encoded.Claims {
		s.Keys[c.Key] = c
		s.claimOrder = append(s.claimOrder, c)
	}
	for _, j := range encoded.Jobs {
		s.restoreJob(j)
	}
	for _, d := range encoded.Verdicts {
		s.recordVerdict(d.ID, d.Verdict)
	}
	return s, nil
}

// copyMap copies the elements of a decoded map into another one, as maps.Copy does.
func copyMap[K comparable, V any](into, from map[K]V) {
	for k, v := range from {
		into[k] = v
	}
}

// restoreJob adds a stored job and its tasks, and rebuilds the indexes and counts that
// are not stored.
func (s *State) restoreJob(stored encodedJob) {
	j := &Job{JobRecord: stored.Record, Offset: stored.Offset}
	for i, t := range stored.Tasks {
		task := &Task{
			ID: taskID(stored.Record.ID, i), Job: j, State: t.State, Attempt: t.Attempt, Worker: t.Worker,
			Incarnation: t.Incarnation, Checkpoint: t.Checkpoint, Reason: t.Reason,
			Failures: t.Failures, FailedOn: t.FailedOn, Evictions: t.Evictions, Zone: t.Zone, Reserved: t.Reserved,
		}
		j.Tasks = append(j.Tasks, task)
		s.Tasks[task.ID] = task
		if task.Worker != "" {
			s.indexAssigned(task)
		}
		if !task.Ended() {
			j.unfinished++
		}
	}
	s.Jobs[j.ID] = j
	s.unfinishedTasks[teamKind{j.Team, j.Kind}] += j.unfinished
	if j.Done() {
		s.endedJobIDs = append(s.endedJobIDs, j.ID)
		return
	}
	s.OpenJobs[j.ID] = j
}
