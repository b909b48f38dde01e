package reducer

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/charter"
	"github.com/plantainrail/plantainrail/parser"
)

// image is the encoded form of a State. Jobs are in ascending order of offset.
type image struct {
	Table    Revision                   `cbor:"0,keyasint"`
	History  []Revision                 `cbor:"1,keyasint"`
	Entries  map[string]Entry           `cbor:"2,keyasint"`
	Claims   []Claim                    `cbor:"3,keyasint"`
	Zones    map[string]Zone            `cbor:"4,keyasint"`
	Leaving  map[string]string          `cbor:"5,keyasint"`
	Suspects map[string]*Suspicion      `cbor:"6,keyasint"`
	Lost     map[string]map[string]bool `cbor:"7,keyasint"`
	Jobs     []jobImage                 `cbor:"8,keyasint"`
	Decided  []decided                  `cbor:"9,keyasint"`
}

// decided is the verdict on a recent record. It keeps a copy of the record that
// comes after the snapshot from counting again.
type decided struct {
	ID      string  `cbor:"0,keyasint"`
	Verdict Verdict `cbor:"1,keyasint"`
}

// snapshotIDs is the number of verdicts that a snapshot holds. A record that is
// in doubt is appended again within seconds.
const snapshotIDs = 4096

type jobImage struct {
	Record plantainrail.JobRecord `cbor:"0,keyasint"`
	Offset plantainrail.Offset    `cbor:"1,keyasint"`
	Tasks  []taskImage            `cbor:"2,keyasint"`
}

type taskImage struct {
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

// Snapshot encodes the state as of Next. It refuses while the state itself is
// incomplete.
func (s *State) Snapshot() (plantainrail.SnapshotRecord, error) {
	if s.trimmed {
		return plantainrail.SnapshotRecord{}, errors.New("the state is incomplete")
	}
	m := image{
		Table: s.Table, History: s.History, Entries: s.Entries, Zones: s.Zones,
		Leaving: s.Leaving, Suspects: s.Suspects, Lost: s.Lost,
	}
	for _, c := range s.keyOrder {
		if s.Keys[c.Key].Request == c.Request {
			m.Claims = append(m.Claims, c)
		}
	}
	for _, j := range s.Jobs {
		m.Jobs = append(m.Jobs, imageOf(j))
	}
	for _, id := range s.idOrder[max(0, len(s.idOrder)-snapshotIDs):] {
		m.Decided = append(m.Decided, decided{id, s.ids[id]})
	}
	slices.SortFunc(m.Jobs, func(a, b jobImage) int { return int(a.Offset - b.Offset) })
	raw, err := cbor.Marshal(m)
	return plantainrail.SnapshotRecord{AsOf: s.Next, State: raw}, errors.Wrap(err, "encode state")
}

func imageOf(j *Job) jobImage {
	m := jobImage{Record: j.JobRecord, Offset: j.Offset}
	for _, t := range j.Tasks {
		m.Tasks = append(m.Tasks, taskImage{
			t.State, t.Attempt, t.Worker, t.Incarnation, t.Checkpoint, t.Reason, t.Failures, t.FailedOn, t.Evictions, t.Zone, t.Reserved,
		})
	}
	return m
}

// Trim makes the state incomplete when retention dropped records that it never
// read. It stays so until a snapshot comes that covers them, or SkipSnapshot.
func (s *State) Trim(oldest plantainrail.Offset) {
	s.Oldest = max(s.Oldest, oldest)
	if oldest <= s.Next {
		return
	}
	*s = *New()
	s.Oldest = oldest
	s.trimmed = true
	s.first = oldest
	s.Next = oldest
}

// SnapshotDue tells whether the latest snapshot has come into the older half of
// what retention keeps, or was never written.
func (s *State) SnapshotDue() bool {
	kept := s.Next - s.Oldest
	return s.SnapshotAt == 0 || (s.Oldest > 0 && s.SnapshotAt-s.Oldest < kept/2)
}

// Complete tells whether the state holds all that the log ever said.
func (s *State) Complete() bool { return !s.trimmed }

// SkipSnapshot gives up the wait for a snapshot and folds what was read.
func (s *State) SkipSnapshot() {
	s.replay(s.first)
}

func (s *State) applyTrimmed(r plantainrail.Record) Verdict {
	s.Next = r.Offset + 1
	if r.Snapshot == nil || r.Snapshot.AsOf < s.first {
		s.pending = append(s.pending, r)
		return Verdict{}
	}
	fresh, err := restore(*r.Snapshot)
	if err != nil {
		return rejected(plantainrail.CodeInternal, "%v", err)
	}
	pending, oldest := append(s.pending, r), s.Oldest
	*s = *fresh
	s.Oldest = oldest
	s.pending = pending
	s.replay(r.Snapshot.AsOf)
	return accepted
}

// replay folds the pending records from the offset on.
func (s *State) replay(from plantainrail.Offset) {
	pending := s.pending
	s.pending = nil
	s.trimmed = false
	s.Next = from
	for _, r := range pending {
		s.Apply(r)
	}
}

func restore(r plantainrail.SnapshotRecord) (*State, error) {
	var m image
	if err := cbor.Unmarshal(r.State, &m); err != nil {
		return nil, errors.Wrap(err, "decode state")
	}
	s := New()
	s.Table, s.History = m.Table, m.History
	s.kinds, _ = parser.Parse(m.Table.CSV)
	fill(s.Entries, m.Entries)
	fill(s.Zones, m.Zones)
	fill(s.Leaving, m.Leaving)
	fill(s.Suspects, m.Suspects)
	fill(s.Lost, m.Lost)
	for _, c := range m.Claims {
		s.Keys[c.Key] = c
		s.keyOrder = append(s.keyOrder, c)
	}
	for _, j := range m.Jobs {
		s.restoreJob(j)
	}
	for _, d := range m.Decided {
		s.remember(d.ID, d.Verdict)
	}
	return s, nil
}

func fill[K comparable, V any](into, from map[K]V) {
	for k, v := range from {
		into[k] = v
	}
}

func (s *State) restoreJob(m jobImage) {
	j := &Job{JobRecord: m.Record, Offset: m.Offset}
	for i, t := range m.Tasks {
		task := &Task{
			ID: taskID(m.Record.ID, i), Job: j, State: t.State, Attempt: t.Attempt, Worker: t.Worker,
			Incarnation: t.Incarnation, Checkpoint: t.Checkpoint, Reason: t.Reason,
			Failures: t.Failures, FailedOn: t.FailedOn, Evictions: t.Evictions, Zone: t.Zone, Reserved: t.Reserved,
		}
		j.Tasks = append(j.Tasks, task)
		s.Tasks[task.ID] = task
		if task.Worker != "" {
			s.indexAssigned(task)
		}
		if !task.Ended() {
			j.open++
		}
	}
	s.Jobs[j.ID] = j
	s.usage[usageKey{j.Team, j.Kind}] += j.open
	if j.Done() {
		s.ended = append(s.ended, j.ID)
		return
	}
	s.Open[j.ID] = j
}
