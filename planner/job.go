package planner

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
)

// Phase is where a task stands.
type Phase uint8

// Phases of a task.
const (
	Waiting Phase = iota
	// Placed means that a run was assigned to a worker and has not ended.
	Placed
	Done
)

// State is where a job stands.
type State string

// States of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final tells whether a job in the state starts nothing any more.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Task is the state of one task.
type Task struct {
	Phase Phase
	// Run is the number of the newest run; 0 before the first.
	Run int64
	// Life is the worker that the newest run was assigned to.
	Life plantainrail.Life
	// Failures counts the runs that ended as failed.
	Failures int
	// Saved is the newest known checkpoint.
	Saved string
}

// occurrence holds the tasks of one occurrence by step and index.
type occurrence [][]Task

// Job is a workflow and how far it is.
type Job struct {
	plantainrail.Workflow
	State State
	// CancelAsked is set once a client's cancel is in the store.
	CancelAsked bool
	// Started is set once any task has been placed.
	Started bool
	// occurrences holds those that have begun; an empty one has ended.
	occurrences map[int]occurrence
	// order is the job's place among all that were accepted.
	order int64
	// notedAt is when the job was last told to wait.
	notedAt time.Time
	// held is how long fillers of the job have waited for a VM whose services
	// bear them, heldSince since when they do now.
	held      time.Duration
	heldSince time.Time
}

func newJob(w plantainrail.Workflow, order int64) *Job {
	return &Job{Workflow: w, State: Queued, occurrences: map[int]occurrence{}, order: order}
}

// Shown returns the state that clients are told.
func (j *Job) Shown() State {
	switch {
	case j.State.Final():
		return j.State
	case j.CancelAsked:
		return Cancelled
	case j.Started:
		return Running
	}
	return Queued
}

func (j *Job) begin(k int) occurrence {
	if o, ok := j.occurrences[k]; ok {
		return o
	}
	o := make(occurrence, len(j.Steps))
	for i, step := range j.Steps {
		o[i] = make([]Task, step.Count)
	}
	j.occurrences[k] = o
	return o
}

// task returns a task of an occurrence that goes on.
func (j *Job) task(id plantainrail.TaskID) *Task {
	o := j.occurrences[id.Occurrence]
	if id.Step >= len(o) || id.Index >= len(o[id.Step]) {
		return nil
	}
	return &o[id.Step][id.Index]
}

// ready tells whether the steps that a step depends on have ended.
func (j *Job) ready(o occurrence, step int) bool {
	for _, before := range j.Steps[step].After {
		if before < 0 || before >= len(o) {
			continue
		}
		for i := range o[before] {
			if o[before][i].Phase != Done {
				return false
			}
		}
	}
	return true
}

// settle closes occurrences that have ended and completes the job after the
// last one.
func (j *Job) settle() {
	closed := 0
	for k, o := range j.occurrences {
		if len(o) > 0 && o.done() {
			j.occurrences[k] = occurrence{}
			o = j.occurrences[k]
		}
		if len(o) == 0 {
			closed++
		}
	}
	if closed == j.Occurrences() && !j.State.Final() {
		j.State = Completed
	}
}

func (o occurrence) done() bool {
	for _, step := range o {
		for i := range step {
			if step[i].Phase != Done {
				return false
			}
		}
	}
	return true
}

// each calls f for every task of the job's open occurrences.
func (j *Job) each(f func(id plantainrail.TaskID, t *Task)) {
	for k, o := range j.occurrences {
		for s, step := range o {
			for i := range step {
				f(plantainrail.TaskID{Job: j.ID, Occurrence: k, Step: s, Index: i}, &step[i])
			}
		}
	}
}

// progress is the form in which the store keeps how far a job is.
type progress struct {
	State   State               `cbor:"0,keyasint,omitempty"`
	Started bool                `cbor:"1,keyasint,omitempty"`
	Lives   []plantainrail.Life `cbor:"2,keyasint,omitempty"`
	// Open holds the tasks of an occurrence by step; Closed lists the
	// occurrences that have ended.
	Open   map[int][][]taskRecord `cbor:"3,keyasint,omitempty"`
	Closed []int                  `cbor:"4,keyasint,omitempty"`
}

// taskRecord is the stored form of a Task. Life counts from 1 in the list of
// lives; 0 is none.
type taskRecord struct {
	_        struct{} `cbor:",toarray"`
	Phase    Phase
	Run      int64
	Life     int
	Failures int
	Saved    string
}

// Progress returns the job's state as the store keeps it.
func (j *Job) Progress() ([]byte, error) {
	p := progress{State: j.State, Started: j.Started}
	lives := map[plantainrail.Life]int{}
	for k, o := range j.occurrences {
		if len(o) == 0 {
			p.Closed = append(p.Closed, k)
			continue
		}
		if p.Open == nil {
			p.Open = map[int][][]taskRecord{}
		}
		p.Open[k] = make([][]taskRecord, len(o))
		for s, step := range o {
			for _, t := range step {
				r := taskRecord{Phase: t.Phase, Run: t.Run, Failures: t.Failures}
				if t.Phase != Done {
					r.Saved = t.Saved
				}
				if t.Phase == Placed {
					r.Life = lives[t.Life]
					if r.Life == 0 {
						p.Lives = append(p.Lives, t.Life)
						r.Life = len(p.Lives)
						lives[t.Life] = r.Life
					}
				}
				p.Open[k][s] = append(p.Open[k][s], r)
			}
		}
	}
	raw, err := cbor.Marshal(p)
	return raw, errors.Wrap(err, "encode progress")
}

// restore takes over the state that the store keeps.
func (j *Job) restore(raw []byte) error {
	var p progress
	if err := cbor.Unmarshal(raw, &p); err != nil {
		return errors.Wrap(err, "decode progress")
	}
	j.State, j.Started = p.State, p.Started
	j.occurrences = map[int]occurrence{}
	for _, k := range p.Closed {
		j.occurrences[k] = occurrence{}
	}
	for k, steps := range p.Open {
		o := make(occurrence, len(steps))
		for s, step := range steps {
			for _, r := range step {
				t := Task{Phase: r.Phase, Run: r.Run, Failures: r.Failures, Saved: r.Saved}
				if r.Life > 0 && r.Life <= len(p.Lives) {
					t.Life = p.Lives[r.Life-1]
				}
				o[s] = append(o[s], t)
			}
		}
		j.occurrences[k] = o
	}
	return nil
}
