package plantainrail

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// TaskID identifies one task of a workflow.
type TaskID struct {
	_   struct{} `cbor:",toarray"`
	Job string
	// Occurrence is the number of the workflow's occurrence, from 0.
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name: job, occurrence, step and index, separated by
// dots.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// ParseTaskID parses a task's name in the format of String. It returns false if
// the name is malformed.
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

// RunRef identifies one run of a task. The runs of a task are numbered from 1.
type RunRef struct {
	_    struct{} `cbor:",toarray"`
	Task TaskID
	Run  int64
}

// Step is a set of identical tasks of a workflow. The steps form a graph by
// DependsOn.
type Step struct {
	// Count is the number of tasks.
	Count int `cbor:"0,keyasint" json:"count"`
	// CPU is what each task requests, in thousandths of a core.
	CPU int `cbor:"1,keyasint,omitempty" json:"cpu,omitempty"`
	// Memory is what each task requests, in MB.
	Memory int `cbor:"2,keyasint,omitempty" json:"memory,omitempty"`
	// Accelerators is the number of devices that each task requests.
	Accelerators int `cbor:"3,keyasint,omitempty" json:"accelerators,omitempty"`
	// Estimate is the estimated duration of one task, in milliseconds.
	Estimate int `cbor:"4,keyasint,omitempty" json:"estimate,omitempty"`
	// DependsOn lists the indexes of the earlier steps that must end before this one
	// starts.
	DependsOn []int `cbor:"5,keyasint,omitempty" json:"after,omitempty"`
	// Checkpoints marks tasks that can resume from a checkpoint.
	Checkpoints bool `cbor:"6,keyasint,omitempty" json:"checkpoints,omitempty"`
	// Gang marks tasks that make progress only while all of them run and that end
	// together.
	Gang bool `cbor:"7,keyasint,omitempty" json:"gang,omitempty"`
	// RackSensitive marks tasks that are slower if they are spread over several racks.
	RackSensitive bool `cbor:"8,keyasint,omitempty" json:"onerack,omitempty"`
	// VMLabel is a label that the VM must have; empty means any VM.
	VMLabel string `cbor:"9,keyasint,omitempty" json:"label,omitempty"`
	// DataRack is the rack that stores the tasks' data; they are slower in other racks.
	DataRack string `cbor:"10,keyasint,omitempty" json:"rack,omitempty"`
	// MaxPerVM is the maximum number of tasks of the step on one VM; 0 means no limit.
	MaxPerVM int `cbor:"11,keyasint,omitempty" json:"pervm,omitempty"`
	// AllowsDuplicates allows several runs of a task at the same time.
	AllowsDuplicates bool `cbor:"12,keyasint,omitempty" json:"copies,omitempty"`
	// Lasting marks long-running service tasks, which run until the job is
	// cancelled.
	Lasting bool `cbor:"13,keyasint,omitempty" json:"lasting,omitempty"`
	// Image is the name of the image that the tasks run.
	Image string `cbor:"14,keyasint,omitempty" json:"image,omitempty"`
	// TailObjective is the latency objective of a long-running service task: the maximum
	// tail latency in milliseconds; 0 means none.
	TailObjective int `cbor:"15,keyasint,omitempty" json:"tailtarget,omitempty"`
	// Filler marks best-effort tasks, which use spare processors.
	Filler bool `cbor:"16,keyasint,omitempty" json:"filler,omitempty"`
	// MaxUnavailable is the maximum number of the step's long-running tasks that planned
	// maintenance may make unavailable at the same time.
	MaxUnavailable int `cbor:"17,keyasint,omitempty" json:"maymiss,omitempty"`
}

// Reservation returns the resources that one task of the step reserves on its VM. Fillers
// reserve no processors.
func (s Step) Reservation() Resources {
	if s.Filler {
		return Resources{Memory: s.Memory, Accelerators: s.Accelerators}
	}
	return Resources{Processors: s.CPU, Memory: s.Memory, Accelerators: s.Accelerators}
}

// HasTailObjective reports whether the step's tasks are services with a latency objective.
// Fillers on the same VM can slow such services.
func (s Step) HasTailObjective() bool { return s.Lasting && s.TailObjective > 0 }

// Queue is a class of jobs with a common pool of VMs, priority and objective for their
// duration.
type Queue struct {
	Name string `cbor:"0,keyasint"`
	// Pool is the pool of VMs that runs the queue's tasks.
	Pool string `cbor:"1,keyasint"`
	// Priority orders the queues; 0 is the highest priority.
	Priority int `cbor:"2,keyasint,omitempty"`
	// MaxAttempts is the number of failed runs after which a task fails; 0 means 1.
	MaxAttempts int `cbor:"3,keyasint,omitempty"`
	// StretchFactor and SlackMS give the objective for the duration of a job:
	// StretchFactor times the length of its critical path, plus SlackMS.
	StretchFactor float64 `cbor:"4,keyasint,omitempty"`
	SlackMS       int     `cbor:"5,keyasint,omitempty"`
}

// Workflow is a job of one or more steps as a client submitted it.
type Workflow struct {
	ID    string `cbor:"0,keyasint"`
	Queue Queue  `cbor:"1,keyasint"`
	// Spec is passed to the tasks unchanged.
	Spec  string `cbor:"2,keyasint"`
	Steps []Step `cbor:"3,keyasint"`
	// Repetitions is the total number of occurrences, including the first one, that start
	// at the times below; 0 means a single one that may start immediately.
	Repetitions int `cbor:"4,keyasint,omitempty"`
	// FirstRunMS is the time at which occurrence 0 is due, in Unix milliseconds.
	// IntervalMS is the interval between occurrences, in milliseconds.
	FirstRunMS int64 `cbor:"5,keyasint,omitempty"`
	IntervalMS int64 `cbor:"6,keyasint,omitempty"`
	// AcceptedMS is when an entry got the job, in Unix milliseconds by its clock; 0 if it is one of an
	// earlier build. The objective counts from it.
	AcceptedMS int64 `cbor:"7,keyasint,omitempty"`
}

// maxTasksPerStep bounds the tasks of one step.
const maxTasksPerStep = 100_000

// Validate returns an error that names the first step whose values are out of range. The
// text is meant for the client.
func (w Workflow) Validate() error {
	if len(w.Steps) == 0 {
		return errors.New("steps must name one step at least")
	}
	for i, s := range w.Steps {
		if s.Count < 1 || s.Count > maxTasksPerStep || s.CPU < 0 || s.Memory < 0 || s.Accelerators < 0 {
			return errors.Errorf("step %d asks for an amount out of range", i)
		}
		for _, dependency := range s.DependsOn {
			if dependency < 0 || dependency >= i {
				return errors.Errorf("step %d depends on step %d, which is no earlier one", i, dependency)
			}
		}
	}
	return nil
}

// Occurrences returns the number of times that the steps run.
func (w Workflow) Occurrences() int { return max(w.Repetitions, 1) }

// NotBefore returns the earliest time at which an occurrence may start. The zero time
// means immediately.
func (w Workflow) NotBefore(occurrence int) time.Time {
	if w.Repetitions == 0 {
		return time.Time{}
	}
	return time.UnixMilli(w.FirstRunMS + int64(occurrence)*w.IntervalMS)
}

// WorkerIncarnation identifies an incarnation of a VM's worker. A worker that restarts
// has a new incarnation, and the runs of the earlier ones no longer exist.
type WorkerIncarnation struct {
	_ struct{} `cbor:",toarray"`
	// Node is the name of the agent beside the worker on its VM.
	Node string
	// ID is the worker's own name. StartedMS is the start of the incarnation in Unix
	// milliseconds, which distinguishes incarnations with the same ID.
	ID        string
	StartedMS int64
}

// IsZero reports whether w identifies no worker, which means that its ID is empty.
func (w WorkerIncarnation) IsZero() bool { return w.ID == "" }

// LateCrashTime is how long after the start of a run a crash of the worker may be due to it.
const LateCrashTime = 10 * time.Second

// VM is a worker's description of itself and its VM.
type VM struct {
	Incarnation WorkerIncarnation `cbor:"0,keyasint"`
	// Pool is the pool of VMs that the VM belongs to; see Queue.Pool.
	Pool     string    `cbor:"1,keyasint"`
	Zone     string    `cbor:"2,keyasint"`
	Labels   []string  `cbor:"3,keyasint,omitempty"`
	Capacity Resources `cbor:"4,keyasint"`
	Draining bool      `cbor:"5,keyasint,omitempty"`
	// FillersPaused means that the VM's fillers are paused to protect its services.
	FillersPaused bool `cbor:"6,keyasint,omitempty"`
	// StartedLast holds the runs that had just begun when the worker, or its incarnation
	// before this one, broke off its calls.
	StartedLast []RunRef `cbor:"7,keyasint,omitempty"`
	// RunningLast holds the runs that were there then and had begun less than LateCrashTime before.
	RunningLast []RunAge `cbor:"8,keyasint,omitempty"`
}

// RunAge is the time since a run has begun.
type RunAge struct {
	_   struct{} `cbor:",toarray"`
	Ref RunRef
	Age time.Duration
}

// RunOutcome is the outcome of a run, as reported by the worker.
type RunOutcome string

// Outcomes of runs.
const (
	RunDone    RunOutcome = "done"
	RunFailed  RunOutcome = "failed"
	RunStopped RunOutcome = "stopped"
	// RunLeaseExpired means that the worker's lease expired.
	RunLeaseExpired RunOutcome = "lapsed"
	// RunGangBroken means that another task of the gang ended.
	RunGangBroken RunOutcome = "broken"
	// RunGangIncomplete means that the other tasks of the gang did not start in time.
	RunGangIncomplete RunOutcome = "alone"
)

// RunEnd is the end of a run. The worker lists it in each LeaseReply until it is
// acknowledged as stored.
type RunEnd struct {
	_ struct{} `cbor:",toarray"`
	// Number is the number of the end, which increases with each run that ends in an
	// incarnation.
	Number  int64
	Ref     RunRef
	Outcome RunOutcome
	// Checkpoint is the checkpoint to resume from; empty means none.
	Checkpoint string
}

// RunStatus is the state of one run on a worker.
type RunStatus struct {
	_          struct{} `cbor:",toarray"`
	Ref        RunRef
	Checkpoint string
	// Percent is the completed share of the work; 100 for a long-running service task
	// that is ready.
	Percent int
	// Measurement is a recent measurement: the tail latency in milliseconds of a service
	// task, or the processor use in thousandths of a core of any other task.
	Measurement int
}

// RunOrder is an order to start a run.
type RunOrder struct {
	Ref  RunRef `cbor:"0,keyasint"`
	Spec string `cbor:"1,keyasint,omitempty"`
	// Checkpoint is the checkpoint to resume from; empty means from the beginning.
	Checkpoint string `cbor:"2,keyasint,omitempty"`
	// Filler and TailObjective are those of the step. They are used to throttle fillers
	// that share a VM with services.
	Filler        bool `cbor:"3,keyasint,omitempty"`
	TailObjective int  `cbor:"4,keyasint,omitempty"`
	// Image is that of the step; it is set only for fillers.
	Image string `cbor:"5,keyasint,omitempty"`
	// Alone means that no other run is started together with this one, since workers have
	// crashed under its task.
	Alone bool `cbor:"6,keyasint,omitempty"`
	// Reservation is what the run takes of the worker's capacity.
	Reservation Resources `cbor:"7,keyasint"`
	// Isolated means that the job fails if the worker crashes under this run, so that no
	// other start may be the cause. It is set only beside Alone.
	Isolated bool `cbor:"8,keyasint,omitempty"`
	// Adopt means that the run must not be started, but may go on if the worker runs it
	// already: since the run was assigned, the operators have evacuated the worker's
	// availability zone or a client has cancelled the job.
	Adopt bool `cbor:"9,keyasint,omitempty"`
}

// RunPace limits a run to a share of its full speed, in percent.
type RunPace struct {
	_       struct{} `cbor:",toarray"`
	Ref     RunRef
	Percent int
}

// Worker runs tasks on one VM. Each call carries the worker incarnation that it is
// meant for and, as fencing token, the epoch of the owner that ordered it. A worker
// of another incarnation, or one that has seen a higher epoch, refuses the call. A
// call without a response may still be executed later.
type Worker interface {
	// Start starts a run. The worker ends it at the deadline, in milliseconds on the
	// worker's clock, unless the lease is extended. It returns a *RefusedError if the
	// worker refuses the call. A worker that has restarted under its ID does not refuse it, so the
	// reply tells which incarnation has executed it.
	Start(ctx context.Context, incarnation WorkerIncarnation, epoch int64, order RunOrder, deadline int64) (StartReply, error)
	// Stop stops a run, or prevents it from starting later.
	Stop(ctx context.Context, incarnation WorkerIncarnation, epoch int64, ref RunRef) error
	// RenewLease extends the lease of all runs, deletes the ends that are acknowledged as
	// stored, and returns the current runs and ends. It is a long poll, which waits
	// for an end for up to renewal.Wait.
	RenewLease(ctx context.Context, incarnation WorkerIncarnation, epoch int64, renewal LeaseRenewal) (LeaseReply, error)
	// Pace limits a run to a percentage of its full speed.
	Pace(ctx context.Context, incarnation WorkerIncarnation, epoch int64, ref RunRef, percent int) error
}

// LeaseRenewal holds the parameters of Worker.RenewLease.
type LeaseRenewal struct {
	// DeadlineMS is the end of the lease in milliseconds on the worker's clock; 0
	// leaves the lease unchanged.
	DeadlineMS int64
	// AckedThrough is the high-water mark of acknowledgement: all ends up to this number
	// are stored.
	AckedThrough int64
	Wait         time.Duration
}

// StartReply is a worker's response to Worker.Start.
type StartReply struct {
	// ClockMS is the time of the response on the worker's clock, in milliseconds. The clock of
	// each incarnation begins with 0.
	ClockMS int64
	// StartedMS is the start of the worker's incarnation in Unix milliseconds; 0 if the
	// worker did not report it.
	StartedMS int64
}

// LeaseReply is a worker's response to Worker.RenewLease.
type LeaseReply struct {
	// ClockMS is the time of the response on the worker's clock, in milliseconds.
	ClockMS int64
	// StartedMS is the start of the worker's incarnation in Unix milliseconds; 0 if the
	// worker did not report it.
	StartedMS int64
	Running   []RunStatus
	Ended     []RunEnd
	// Malformed is the number of rows that were left out since they do not tell which run they
	// are of.
	Malformed int
	// MalformedRunning is the number of those of running runs.
	MalformedRunning int
}

// RefusedError means that a worker refused a call and did nothing.
type RefusedError struct {
	Reason RefusalReason
	// StartedMS is the start of the incarnation that refused the call, in Unix
	// milliseconds; 0 if the worker did not report it.
	StartedMS int64
}

// Error implements error.
func (e *RefusedError) Error() string { return "worker refused the call: " + string(e.Reason) }

// RefusalReason is the reason why a worker refused a call.
type RefusalReason string

// Reasons for refusal.
const (
	// RefusedEpoch means that the worker has seen a higher epoch.
	RefusedEpoch RefusalReason = "epoch"
	// RefusedStaleRun means that this or a later run of the task has ended or was
	// stopped.
	RefusedStaleRun RefusalReason = "old"
	// RefusedDeadline means that the deadline has passed.
	RefusedDeadline RefusalReason = "late"
	// RefusedCapacity means that the VM has not enough free resources.
	RefusedCapacity RefusalReason = "room"
	// RefusedIncarnation means that the call was meant for another incarnation.
	RefusedIncarnation RefusalReason = "life"
	// RefusedUnhealthy means that the worker is overloaded or unable to serve calls.
	RefusedUnhealthy RefusalReason = "unhealthy"
	// RefusedInvalid means that the call is malformed.
	RefusedInvalid RefusalReason = "invalid"
	// RefusedDraining is set by the agent, not the worker: the worker is draining.
	RefusedDraining RefusalReason = "draining"
	// RefusedZone is set by the agent, not the worker: the run was only to be adopted, for instance
	// in an evacuated zone, and the worker does not run it.
	RefusedZone RefusalReason = "zone"
	// RefusedExpired is set by the agent, not the worker: the order was too old to be carried
	// out, and the worker does not run it.
	RefusedExpired RefusalReason = "expired"
	// RefusedNoResponse is set by the agent, not the worker: the worker did not respond,
	// and the run was prevented from starting.
	RefusedNoResponse RefusalReason = "silent"
	// RefusedMissing is set by the agent, not the worker: the worker had accepted the run but
	// lists neither it nor its end, and the run was prevented from starting again.
	RefusedMissing RefusalReason = "missing"
)

// Heartbeat is the message that a worker sends at a fixed interval.
type Heartbeat struct {
	VM VM
	// Sequence increases with each heartbeat of an incarnation.
	Sequence int64
}

// Registry receives the workers' heartbeats and deregistrations.
type Registry interface {
	// Heartbeat records a heartbeat.
	Heartbeat(h Heartbeat)
	// Deregistered records that the worker with the ID has deregistered.
	Deregistered(id string)
}
