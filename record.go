package plantainrail

import "time"

// RecordType is the type of a log record.
type RecordType string

// Types of log records. The record types of the same names (TableRecord and so on)
// describe them.
const (
	RecordTable   RecordType = "table"
	RecordEntry   RecordType = "entry"
	RecordKey     RecordType = "key"
	RecordZone    RecordType = "zone"
	RecordLeave   RecordType = "leave"
	RecordSuspect RecordType = "suspect"
	RecordVote    RecordType = "vote"
	RecordGone    RecordType = "gone"
	RecordJob     RecordType = "job"
	RecordCancel  RecordType = "cancel"
	RecordTask    RecordType = "task"
	// RecordSnapshot holds the whole state, so that retention can delete earlier
	// records without losing state.
	RecordSnapshot RecordType = "snapshot"
)

// Record is one log record. Exactly one of its pointers is set: the one that Type
// names.
type Record struct {
	// ID identifies the record. A record that is appended again keeps its ID, so that
	// it takes effect only once.
	ID     string     `cbor:"0,keyasint" json:"id"`
	Type   RecordType `cbor:"1,keyasint" json:"type"`
	Offset Offset     `cbor:"2,keyasint,omitempty" json:"offset"`
	// Time is when the record was appended, by the clock of the log service.
	Time time.Time `cbor:"3,keyasint,omitempty" json:"time"`

	Table   *TableRecord   `cbor:"10,keyasint,omitempty" json:"table,omitempty"`
	Entry   *EntryRecord   `cbor:"11,keyasint,omitempty" json:"entry,omitempty"`
	Key     *KeyRecord     `cbor:"12,keyasint,omitempty" json:"key,omitempty"`
	Zone    *ZoneRecord    `cbor:"13,keyasint,omitempty" json:"zone,omitempty"`
	Leave   *LeaveRecord   `cbor:"14,keyasint,omitempty" json:"leave,omitempty"`
	Suspect *SuspectRecord `cbor:"15,keyasint,omitempty" json:"suspect,omitempty"`
	Vote    *VoteRecord    `cbor:"16,keyasint,omitempty" json:"vote,omitempty"`
	Gone    *GoneRecord    `cbor:"17,keyasint,omitempty" json:"gone,omitempty"`
	Job     *JobRecord     `cbor:"18,keyasint,omitempty" json:"job,omitempty"`
	Cancel  *CancelRecord  `cbor:"19,keyasint,omitempty" json:"cancel,omitempty"`
	Task    *TaskRecord    `cbor:"20,keyasint,omitempty" json:"task,omitempty"`

	Snapshot *SnapshotRecord `cbor:"21,keyasint,omitempty" json:"snapshot,omitempty"`
}

// TableRecord publishes a revision of the table as CSV. Base is the revision that
// the editor started from.
type TableRecord struct {
	Revision int64  `cbor:"0,keyasint" json:"revision"`
	Base     int64  `cbor:"1,keyasint" json:"base"`
	CSV      []byte `cbor:"2,keyasint" json:"csv"`
	Editor   string `cbor:"3,keyasint" json:"editor"`
}

// SnapshotRecord holds the encoded state after all records with offsets below
// AsOf.
type SnapshotRecord struct {
	AsOf  Offset `cbor:"0,keyasint" json:"as_of"`
	State []byte `cbor:"1,keyasint" json:"state"`
}

// EntryRecord registers an entry, or deregisters it if Left is set.
type EntryRecord struct {
	Name        string `cbor:"0,keyasint" json:"name"`
	Incarnation string `cbor:"1,keyasint" json:"incarnation"`
	Address     string `cbor:"2,keyasint" json:"address"`
	Zone        string `cbor:"3,keyasint" json:"zone"`
	Left        bool   `cbor:"4,keyasint,omitempty" json:"left,omitempty"`
}

// KeyRecord claims an Idempotency-Key for one request at one agent.
type KeyRecord struct {
	Key     string `cbor:"0,keyasint" json:"key"`
	Request string `cbor:"1,keyasint" json:"request"`
	Agent   string `cbor:"2,keyasint" json:"agent"`
	// AgentProcessID is a random ID of the agent's process. It changes when the agent
	// restarts.
	AgentProcessID string `cbor:"4,keyasint" json:"boot"`
	// Replaces is the ID of the voided request whose claim this one takes over.
	Replaces string `cbor:"3,keyasint,omitempty" json:"replaces,omitempty"`
}

// ZoneRecord takes an availability zone out of service or puts it back.
type ZoneRecord struct {
	Zone string `cbor:"0,keyasint" json:"zone"`
	Out  bool   `cbor:"1,keyasint" json:"out"`
	// BaseEpoch is the epoch of the zone that the operator's change is based on.
	BaseEpoch int64  `cbor:"2,keyasint" json:"base"`
	Operator  string `cbor:"3,keyasint" json:"operator"`
}

// LeaveRecord marks one incarnation of a target as leaving.
type LeaveRecord struct {
	Target      string `cbor:"0,keyasint" json:"target"`
	Incarnation string `cbor:"1,keyasint" json:"incarnation"`
}

// SuspectRecord states that an entry suspects that an incarnation of a worker is
// lost. Worker is the name of the VM's agent, here and in the records below.
type SuspectRecord struct {
	Worker      string `cbor:"0,keyasint" json:"worker"`
	Incarnation string `cbor:"1,keyasint" json:"incarnation"`
	Entry       string `cbor:"2,keyasint" json:"entry"`
}

// VoteRecord is an entry's vote on a suspicion. If Alive is set, the entry still
// receives the worker's heartbeats; otherwise it has stopped renewing the worker's
// lease.
type VoteRecord struct {
	Worker    string `cbor:"0,keyasint" json:"worker"`
	Suspicion Offset `cbor:"1,keyasint" json:"suspicion"`
	Entry     string `cbor:"2,keyasint" json:"entry"`
	Alive     bool   `cbor:"3,keyasint" json:"alive"`
}

// GoneRecord declares an incarnation of a worker lost and releases its attempts, so
// that their tasks can be assigned again.
type GoneRecord struct {
	Worker      string `cbor:"0,keyasint" json:"worker"`
	Incarnation string `cbor:"1,keyasint" json:"incarnation"`
	// Suspicion is the offset of the suspicion whose waiting time has passed, or 0
	// if the worker's own agent reported the end of the incarnation.
	Suspicion Offset `cbor:"2,keyasint" json:"suspicion"`
}

// JobRecord submits a job. A second record with the ID of an accepted job has no effect,
// so a submission can be repeated.
type JobRecord struct {
	ID   string `cbor:"0,keyasint" json:"id"`
	Kind string `cbor:"1,keyasint" json:"kind"`
	Team string `cbor:"2,keyasint" json:"team"`
	// Tasks is the number of tasks.
	Tasks int `cbor:"3,keyasint" json:"tasks"`
	// Work is the declared run time of one task, in milliseconds.
	Work   int  `cbor:"4,keyasint" json:"work"`
	Urgent bool `cbor:"5,keyasint,omitempty" json:"urgent,omitempty"`
	// Resources are what each task reserves, from the table's row at submission.
	Resources Resources `cbor:"6,keyasint" json:"resources"`
	// Quota caps the team's unfinished tasks of the kind; nil means no cap.
	Quota *int `cbor:"7,keyasint,omitempty" json:"quota,omitempty"`
}

// CancelRecord cancels every unfinished job that matches all fields that are set. A record
// without fields matches no job.
type CancelRecord struct {
	Job  string `cbor:"0,keyasint,omitempty" json:"job,omitempty"`
	Team string `cbor:"1,keyasint,omitempty" json:"team,omitempty"`
	Kind string `cbor:"2,keyasint,omitempty" json:"kind,omitempty"`
}

// TaskEvent is a change of state of an attempt that the log records.
type TaskEvent string

// Changes of state of an attempt.
const (
	// TaskAssign assigns the next attempt of the task to a worker. The agent decides
	// later whether the attempt may start.
	TaskAssign TaskEvent = "assign"
	// TaskRelease ends the attempt early. The task waits for another worker and
	// resumes from the record's checkpoint.
	TaskRelease TaskEvent = "release"
	TaskFinish  TaskEvent = "finish"
	TaskFail    TaskEvent = "fail"
)

// TaskRecord records a change of state of one attempt of a task.
type TaskRecord struct {
	AttemptRef
	Event       TaskEvent  `cbor:"2,keyasint" json:"step"`
	Worker      string     `cbor:"3,keyasint,omitempty" json:"worker,omitempty"`
	Incarnation string     `cbor:"4,keyasint,omitempty" json:"incarnation,omitempty"`
	Checkpoint  Checkpoint `cbor:"5,keyasint,omitempty" json:"checkpoint,omitempty"`
	Reason      string     `cbor:"6,keyasint,omitempty" json:"reason,omitempty"`
	// Zone is the assigned worker's availability zone.
	Zone string `cbor:"7,keyasint,omitempty" json:"zone,omitempty"`
	// Capacity is the capacity of the assigned worker; zero means unknown.
	Capacity Resources `cbor:"8,keyasint,omitzero" json:"capacity"`
	// Reserved is what the attempt reserves of Capacity; zero means the resources of
	// the job.
	Reserved Resources `cbor:"9,keyasint,omitzero" json:"reserved"`
}
