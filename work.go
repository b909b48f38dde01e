package plantainrail

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// TaskID names one task of a job of steps.
type TaskID struct {
	_   struct{} `cbor:",toarray"`
	Job string
	// Occurrence counts the repetitions of the job from 0.
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name: job, occurrence, step and index with dots
// between them.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// ParseTaskID reads what String wrote.
func ParseTaskID(name string) (TaskID, bool) {
	const numbers = 3
	parts := strings.Split(name, ".")
	if len(parts) != numbers+1 {
		return TaskID{}, false
	}
	var values [numbers]int
	for i, part := range parts[1:] {
		value, err := strconv.Atoi(part)
		if err != nil || value < 0 {
			return TaskID{}, false
		}
		values[i] = value
	}
	return TaskID{Job: parts[0], Occurrence: values[0], Step: values[1], Index: values[2]}, true
}

// RunRef names one run of a task. The runs of a task are numbered from 1.
type RunRef struct {
	_    struct{} `cbor:",toarray"`
	Task TaskID
	Run  int64
}

// Step is a set of like tasks of a job.
type Step struct {
	Count int `cbor:"0,keyasint" json:"count"`
	// CPU is what each task asks for, in thousandths of a core.
	CPU int `cbor:"1,keyasint,omitempty" json:"cpu,omitempty"`
	// Memory is what each task asks for, in MB.
	Memory int `cbor:"2,keyasint,omitempty" json:"memory,omitempty"`
	// Accelerators is the number that each task asks for.
	Accelerators int `cbor:"3,keyasint,omitempty" json:"accelerators,omitempty"`
	// Estimate is a rough length of one task, in milliseconds.
	Estimate int `cbor:"4,keyasint,omitempty" json:"estimate,omitempty"`
	// After lists the earlier steps, counted from 0, that end before this one.
	After       []int `cbor:"5,keyasint,omitempty" json:"after,omitempty"`
	Checkpoints bool  `cbor:"6,keyasint,omitempty" json:"checkpoints,omitempty"`
	// Gang tasks work only while all of them are present, and end together.
	Gang bool `cbor:"7,keyasint,omitempty" json:"gang,omitempty"`
	// OneRack tasks are slower when they are spread over racks.
	OneRack bool `cbor:"8,keyasint,omitempty" json:"onerack,omitempty"`
	// Label is one that the VM must have.
	Label string `cbor:"9,keyasint,omitempty" json:"label,omitempty"`
	// Rack is where the data lies; tasks are slower elsewhere.
	Rack string `cbor:"10,keyasint,omitempty" json:"rack,omitempty"`
	// PerVM bounds the tasks of the step on one VM; 0 means no bound.
	PerVM int `cbor:"11,keyasint,omitempty" json:"pervm,omitempty"`
	// Copies tells that a task may run more than once at the same time.
	Copies bool `cbor:"12,keyasint,omitempty" json:"copies,omitempty"`
	// Lasting tasks run until the job is cancelled.
	Lasting bool `cbor:"13,keyasint,omitempty" json:"lasting,omitempty"`
	// Image names what the tasks run.
	Image string `cbor:"14,keyasint,omitempty" json:"image,omitempty"`
	// TailTarget bounds the tail latency of what a lasting task serves, in
	// milliseconds; 0 means none.
	TailTarget int `cbor:"15,keyasint,omitempty" json:"tailtarget,omitempty"`
	// Filler tasks use the processors that the other tasks leave.
	Filler bool `cbor:"16,keyasint,omitempty" json:"filler,omitempty"`
	// MayMiss is the number of lasting tasks that planned work may take away
	// at the same time.
	MayMiss int `cbor:"17,keyasint,omitempty" json:"maymiss,omitempty"`
}

// Room returns what one task of the step takes of its VM.
func (s Step) Room() Resources {
	if s.Filler {
		return Resources{Memory: s.Memory, Accelerators: s.Accelerators}
	}
	return Resources{Processors: s.CPU, Memory: s.Memory, Accelerators: s.Accelerators}
}

// Serves tells whether the step's tasks are services with a target for their tail
// latency, which fillers beside them may slow.
func (s Step) Serves() bool { return s.Lasting && s.TailTarget > 0 }

// Queue is a kind of job: where its tasks run and what it aims at.
type Queue struct {
	Name string `cbor:"0,keyasint"`
	// Service is the pool of VMs that runs the queue's tasks.
	Service string `cbor:"1,keyasint"`
	// Priority 0 comes first.
	Priority int `cbor:"2,keyasint,omitempty"`
	// Attempts is the number of failed runs that a task may have.
	Attempts int `cbor:"3,keyasint,omitempty"`
	// Stretch times the longest chain of work, plus Slack in milliseconds, is
	// the objective of a job.
	Stretch float64 `cbor:"4,keyasint,omitempty"`
	Slack   int     `cbor:"5,keyasint,omitempty"`
}

// Workflow is a job of steps as a client handed it in.
type Workflow struct {
	ID    string `cbor:"0,keyasint"`
	Queue Queue  `cbor:"1,keyasint"`
	// Spec is passed on to the tasks unchanged.
	Spec  string `cbor:"2,keyasint"`
	Steps []Step `cbor:"3,keyasint"`
	// Times is the number of occurrences; 0 means one, at once.
	Times int `cbor:"4,keyasint,omitempty"`
	// First is the time of day of occurrence 0, in Unix milliseconds, and Every
	// the time between two, in milliseconds.
	First int64 `cbor:"5,keyasint,omitempty"`
	Every int64 `cbor:"6,keyasint,omitempty"`
}

// Occurrences returns how often the steps run.
func (w Workflow) Occurrences() int { return max(w.Times, 1) }

// Due returns the time of day from which an occurrence may start; the zero
// instant means at once.
func (w Workflow) Due(occurrence int) time.Time {
	if w.Times == 0 {
		return time.Time{}
	}
	return time.UnixMilli(w.First + int64(occurrence)*w.Every)
}

// Life names one life of a VM's worker: what ran in an earlier life is gone.
type Life struct {
	_ struct{} `cbor:",toarray"`
	// Node is the agent that stands beside the worker.
	Node string
	// ID is the worker's own name; Born tells its lives under one ID apart.
	ID   string
	Born int64
}

// IsZero tells whether the life names no worker.
func (l Life) IsZero() bool { return l.ID == "" }

// VM is what a worker tells of itself.
type VM struct {
	Life     Life      `cbor:"0,keyasint"`
	Service  string    `cbor:"1,keyasint"`
	Zone     string    `cbor:"2,keyasint"`
	Labels   []string  `cbor:"3,keyasint,omitempty"`
	Room     Resources `cbor:"4,keyasint"`
	Draining bool      `cbor:"5,keyasint,omitempty"`
	// Strained means that fillers stand still there for the sake of services.
	Strained bool `cbor:"6,keyasint,omitempty"`
}

// EndKind is the outcome of a run, as the worker tells it.
type EndKind string

// Ends of runs.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	EndLapsed  EndKind = "lapsed"
	// EndBroken means that another member of the gang ended.
	EndBroken EndKind = "broken"
	// EndAlone means that the other members of the gang did not come in time.
	EndAlone EndKind = "alone"
)

// RunEnd is an end that a worker lists until it is told that it was noted.
type RunEnd struct {
	_      struct{} `cbor:",toarray"`
	Number int64
	Ref    RunRef
	How    EndKind
	// Saved is the checkpoint to resume from; empty means none.
	Saved string
}

// RunStatus is one run on a worker.
type RunStatus struct {
	_     struct{} `cbor:",toarray"`
	Ref   RunRef
	Saved string
	// Percent is the work done, or 100 for a lasting task that is at work.
	Percent int
	// Figure is the tail latency in milliseconds of a lasting task that serves,
	// and the thousandths of a core in use of any other, lately.
	Figure int
}

// RunOrder asks for the start of a run.
type RunOrder struct {
	Ref  RunRef `cbor:"0,keyasint"`
	Spec string `cbor:"1,keyasint,omitempty"`
	// Saved is the checkpoint to resume from; empty means from the start.
	Saved string `cbor:"2,keyasint,omitempty"`
	// Filler and TailTarget repeat the step's, for pacing beside services.
	Filler     bool `cbor:"3,keyasint,omitempty"`
	TailTarget int  `cbor:"4,keyasint,omitempty"`
	// Image repeats a filler's.
	Image string `cbor:"5,keyasint,omitempty"`
}

// Worker runs tasks on one VM. Each call names the life that it is meant for
// and the epoch of the owner that asked for it; another life, or one that has
// seen a higher epoch, does nothing. A call without an answer may be carried
// out later.
type Worker interface {
	// Start starts a run that ends by itself at the latest at the deadline on
	// the worker's clock. A refusal is a *RefusedError.
	Start(ctx context.Context, life Life, epoch int64, order RunOrder, deadline int64) error
	// Stop ends a run, or keeps one from starting.
	Stop(ctx context.Context, life Life, epoch int64, ref RunRef) error
	// Hold lets all runs go on until the deadline, forgets the ends up to seen,
	// and lists runs and ends. It waits for an end as long as asked.
	Hold(ctx context.Context, life Life, epoch int64, hold Hold) (Held, error)
	// Pace lets a run work at a share of its speed, in percent.
	Pace(ctx context.Context, life Life, epoch int64, ref RunRef, percent int) error
}

// Hold is what a Hold call asks for.
type Hold struct {
	// Deadline is on the worker's clock in milliseconds; 0 leaves it as it is.
	Deadline int64
	Seen     int64
	Wait     time.Duration
}

// Held is what a worker answers to Hold.
type Held struct {
	// Clock is the worker's own clock in milliseconds when it answered.
	Clock   int64
	Born    int64
	Running []RunStatus
	Ended   []RunEnd
}

// RefusedError tells that a worker did nothing, and why.
type RefusedError struct{ Reason RefusalReason }

// Error implements error.
func (e *RefusedError) Error() string { return "worker refused: " + string(e.Reason) }

// RefusalReason is why a worker refused a call.
type RefusalReason string

// Reasons of a worker's refusal.
const (
	RefusedEpoch RefusalReason = "epoch"
	// RefusedOld means that this or a later run has ended or was stopped.
	RefusedOld       RefusalReason = "old"
	RefusedLate      RefusalReason = "late"
	RefusedRoom      RefusalReason = "room"
	RefusedLife      RefusalReason = "life"
	RefusedUnhealthy RefusalReason = "unhealthy"
	RefusedInvalid   RefusalReason = "invalid"
	// RefusedDraining is the agent's own: its worker is leaving.
	RefusedDraining RefusalReason = "draining"
	// RefusedSilent is the agent's own: the worker gave no answer, and the run
	// was kept from starting.
	RefusedSilent RefusalReason = "silent"
)

// Announcement is what a worker tells of itself at an even pace.
type Announcement struct {
	VM VM
	// Sequence rises with each announcement of a life.
	Sequence int64
}

// Registry takes what workers announce.
type Registry interface {
	Announced(a Announcement)
	Departed(id string)
}
