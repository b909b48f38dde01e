package planner

import (
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/ranker"
)

// Phase is the scheduling phase of a task.
type Phase uint8

// Phases of a task.
const (
	Waiting Phase = iota
	// Placed means that a run was assigned to a worker and has not ended.
	Placed
	// Done means that a run of the task, or of another member of its gang, has ended
	// successfully. A task that has failed is Waiting, also after its job has failed
	// for that reason. A long-running service task is never Done.
	Done
)

// State is the state of a job.
type State string

// States of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state is final: a job in it starts no more tasks.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Task is the state of one task.
type Task struct {
	Phase Phase
	// Run is the number of the newest run; 0 if there was none.
	Run int64
	// Incarnation is the worker incarnation that the newest run was assigned to.
	Incarnation plantainrail.WorkerIncarnation
	// Failures counts the runs that ended as failed.
	Failures int
	// Crashes counts the workers in a row that have crashed when a run of the task had
	// just begun. Any end that a worker reports sets it to 0, and for a long-running task a run that has
	// lasted for soundRunTime when the next worker crashes.
	Crashes int
	// Checkpoint is the newest known checkpoint.
	Checkpoint string
	// preempted is the number of the newest run of the task that was stopped to make room, until one ends
	// otherwise; 0 if there is none. Later runs are not stopped.
	preempted int64
	// lostRun is the number of the newest run that was taken for lost with its worker and whose end has not
	// counted; 0 if there is none. It is not stored.
	lostRun int64
	// lateCrashes counts the workers in a row that have crashed within LateCrashTime of a run's
	// start when no run had just begun there. It is reset like Crashes, and after
	// soundRunTime. lateCrashAge is how long after the start the newest one came, lateCrashNode the
	// node of the first one, and lateCrashesElsewhere is set by one on another node. They are not
	// stored.
	lateCrashes          int
	lateCrashAge         time.Duration
	lateCrashNode        string
	lateCrashesElsewhere bool
	// moves counts the runs of the task that were stopped so that it goes on on another VM. It is not
	// stored.
	moves int
	// failedAt is when the newest failed run ended. It is not stored.
	failedAt time.Time
	// retryAt is when the task may be placed again after its newest failed run, or after repeated crashes
	// of its workers. It is set for long-running tasks only and not stored.
	retryAt time.Time
	// waitingSince is since when a long-running task has waited; zero from the begin of a run. It is
	// not stored.
	waitingSince time.Time
}

// stepTasks holds the tasks of one step in one occurrence of a job, by index.
// waiting and done count the tasks in these phases.
type stepTasks struct {
	tasks         []Task
	waiting, done int
}

// newStepTasks returns the given tasks with their counts.
func newStepTasks(tasks []Task) stepTasks {
	s := stepTasks{tasks: tasks}
	for i := range tasks {
		s.count(tasks[i].Phase, 1)
	}
	return s
}

// setPhase changes the phase of the task with the index.
func (s *stepTasks) setPhase(index int, phase Phase) {
	s.count(s.tasks[index].Phase, -1)
	s.tasks[index].Phase = phase
	s.count(phase, 1)
}

func (s *stepTasks) count(phase Phase, n int) {
	switch phase {
	case Waiting:
		s.waiting += n
	case Done:
		s.done += n
	}
}

// occurrence holds the tasks of one repetition of a job, by step.
type occurrence []stepTasks

// Job is a workflow and its progress.
type Job struct {
	plantainrail.Workflow
	State State
	// CancelRequested is set once a client's cancel is in the store.
	CancelRequested bool
	// Started is set once a run of any task is known to have begun.
	Started bool
	// occurrences holds, by number, the occurrences that have begun; those that
	// have ended are empty. Occurrences() counts all, also those to come.
	occurrences map[int]occurrence
	// arrival is the job's position in the order of acceptance.
	arrival int64
	// acceptedAt is when the job was accepted; see noteAccepted.
	acceptedAt time.Time
	// knownWork is the result of work for workOccurrence, if workKnown is set.
	knownWork      ranker.Work
	workOccurrence int
	workKnown      bool
	// unplacedReportedAt is when the newest UnplacedStep of the job was recorded.
	unplacedReportedAt time.Time
	// keptBackReported is the start of the newest wait of which an UnplacedStep after keptBackTime was
	// recorded.
	keptBackReported time.Time
	// idleSince is when the turn of a task of the job has come while nothing of the job was running;
	// zero from the begin of a run. beyondShare is set once that lasted too long for a job of
	// fillers; see Planner.placeReady. Neither is stored.
	idleSince   time.Time
	beyondShare bool
	// running is the number of placed runs that are known to have begun. It is not stored.
	running int
	// assignedAt is when a task of the job was last placed. It is not stored.
	assignedAt time.Time
	// failing is set from a failed run until the next successful one. faultyOn holds the nodes on
	// which a run has failed before a later run of another job succeeded there, until the job's
	// next successful run. Neither is stored.
	failing  bool
	faultyOn map[string]bool
	// preempted counts the tasks that were stopped to make room; see Task.preempted.
	preempted int
	// crashed is set once a crash was counted against a task of the job. lateCrashAt is when the
	// newest late one was; see Task.lateCrashes. It is not stored.
	crashed     bool
	lateCrashAt time.Time
	// stateOnly means that the tasks of the job, which has ended, are not stored; see
	// Planner.Abandon.
	stateOnly bool
}

func newJob(w plantainrail.Workflow, arrival int64) *Job {
	return &Job{Workflow: w, State: Queued, occurrences: map[int]occurrence{}, arrival: arrival}
}

// PublicState returns the state that is reported to clients: a job counts as
// cancelled as soon as this is requested, and as running once a task has begun.
func (j *Job) PublicState() State { return publicState(j.State, j.CancelRequested, j.Started) }

func publicState(state State, cancelRequested, started bool) State {
	switch {
	case state.Final():
		return state
	case cancelRequested:
		return Cancelled
	case started:
		return Running
	}
	return Queued
}

// openOccurrence returns the tasks of occurrence k, and creates them if it has
// not begun. The result is empty if the occurrence has ended.
func (j *Job) openOccurrence(k int) occurrence {
	if o, ok := j.occurrences[k]; ok {
		return o
	}
	o := make(occurrence, len(j.Steps))
	for i, step := range j.Steps {
		o[i] = newStepTasks(make([]Task, step.Count))
	}
	j.occurrences[k] = o
	return o
}

// task returns a task, or nil if its occurrence has not begun or has ended.
func (j *Job) task(id plantainrail.TaskID) *Task {
	o := j.occurrences[id.Occurrence]
	if id.Step >= len(o) || id.Index >= len(o[id.Step].tasks) {
		return nil
	}
	return &o[id.Step].tasks[id.Index]
}

// setPhase changes the phase of a task whose occurrence has begun and not ended.
func (j *Job) setPhase(id plantainrail.TaskID, phase Phase) {
	j.occurrences[id.Occurrence][id.Step].setPhase(id.Index, phase)
	j.workKnown = false
}

// dependenciesDone reports whether all tasks of the steps that a step depends
// on are done. It ignores indexes of steps that do not exist.
func (j *Job) dependenciesDone(o occurrence, step int) bool {
	for _, dependency := range j.Steps[step].DependsOn {
		if dependency < 0 || dependency >= len(o) {
			continue
		}
		if o[dependency].done < len(o[dependency].tasks) {
			return false
		}
	}
	return true
}

// completeOccurrences clears the occurrences whose tasks are all done, and
// completes the job once all of its occurrences have ended.
func (j *Job) completeOccurrences() {
	ended := 0
	for k, o := range j.occurrences {
		if len(o) > 0 && o.done() {
			j.occurrences[k] = occurrence{}
			o = j.occurrences[k]
		}
		if len(o) == 0 {
			ended++
		}
	}
	if ended == j.Occurrences() && !j.State.Final() {
		j.State = Completed
	}
}

// done reports whether all tasks of the occurrence are done.
func (o occurrence) done() bool {
	for i := range o {
		if o[i].done < len(o[i].tasks) {
			return false
		}
	}
	return true
}

// eachTask calls f for every task of the occurrences that have begun and not
// ended, in ascending order.
func (j *Job) eachTask(f func(id plantainrail.TaskID, t *Task)) {
	for _, k := range slices.Sorted(maps.Keys(j.occurrences)) {
		for s := range j.occurrences[k] {
			tasks := j.occurrences[k][s].tasks
			for i := range tasks {
				f(plantainrail.TaskID{Job: j.ID, Occurrence: k, Step: s, Index: i}, &tasks[i])
			}
		}
	}
}

// progress is the stored form of a job's progress.
type progress struct {
	State        State                            `cbor:"0,keyasint,omitempty"`
	Started      bool                             `cbor:"1,keyasint,omitempty"`
	Incarnations []plantainrail.WorkerIncarnation `cbor:"2,keyasint,omitempty"`
	// Open holds the tasks of the occurrences that have begun, by number of the
	// occurrence, step and index. Closed lists the occurrences that have ended.
	Open   map[int][][]taskRecord `cbor:"3,keyasint,omitempty"`
	Closed []int                  `cbor:"4,keyasint,omitempty"`
	// Crashes is not part of taskRecord, whose number of elements is fixed.
	Crashes []crashRecord `cbor:"5,keyasint,omitempty"`
	// Preempted holds occurrence, step, index and run of the tasks with Task.preempted.
	Preempted [][4]int64 `cbor:"6,keyasint,omitempty"`
}

// fits reports whether the progress has the occurrences, steps and tasks of the job.
func (p progress) fits(w plantainrail.Workflow) bool {
	exists := func(occurrence int) bool { return occurrence >= 0 && occurrence < w.Occurrences() }
	for _, k := range p.Closed {
		if !exists(k) {
			return false
		}
	}
	for k, steps := range p.Open {
		if !exists(k) || len(steps) != len(w.Steps) {
			return false
		}
		for s := range steps {
			if len(steps[s]) != w.Steps[s].Count {
				return false
			}
		}
	}
	for _, c := range p.Crashes {
		if !exists(c.Occurrence) || c.Step < 0 || c.Step >= len(w.Steps) || c.Index < 0 || c.Index >= w.Steps[c.Step].Count || c.Crashes < 0 {
			return false
		}
	}
	return true
}

// taskRecord is the stored form of a Task. Incarnation is a position in
// progress.Incarnations, counted from 1; 0 means that the task is not placed.
type taskRecord struct {
	_           struct{} `cbor:",toarray"`
	Phase       Phase
	Run         int64
	Incarnation int
	Failures    int
	Checkpoint  string
}

// Progress returns the job's progress in the form in which it is stored. It
// returns an error if the progress cannot be encoded.
func (j *Job) Progress() ([]byte, error) {
	if j.stateOnly {
		raw, err := cbor.Marshal(progress{State: j.State, Started: j.Started})
		return raw, errors.Wrap(err, "encode progress")
	}
	p := progress{State: j.State, Started: j.Started, Crashes: j.crashRecords(), Preempted: j.preemptedTasks()}
	incarnations := map[plantainrail.WorkerIncarnation]int{}
	for _, k := range slices.Sorted(maps.Keys(j.occurrences)) {
		o := j.occurrences[k]
		if len(o) == 0 {
			p.Closed = append(p.Closed, k)
			continue
		}
		if p.Open == nil {
			p.Open = map[int][][]taskRecord{}
		}
		p.Open[k] = make([][]taskRecord, len(o))
		for s := range o {
			for _, t := range o[s].tasks {
				r := taskRecord{Phase: t.Phase, Run: t.Run, Failures: t.Failures}
				if t.Phase != Done {
					r.Checkpoint = t.Checkpoint
				}
				if t.Phase == Placed {
					r.Incarnation = incarnations[t.Incarnation]
					if r.Incarnation == 0 {
						p.Incarnations = append(p.Incarnations, t.Incarnation)
						r.Incarnation = len(p.Incarnations)
						incarnations[t.Incarnation] = r.Incarnation
					}
				}
				p.Open[k][s] = append(p.Open[k][s], r)
			}
		}
	}
	raw, err := cbor.Marshal(p)
	return raw, errors.Wrap(err, "encode progress")
}

// restore replaces the job's progress by one in its stored form. It returns an
// error, and changes nothing, if the stored form cannot be decoded or does not fit the job.
func (j *Job) restore(raw []byte) error {
	var p progress
	if err := cbor.Unmarshal(raw, &p); err != nil {
		return errors.Wrapf(err, "decode progress of job %s", j.ID)
	}
	if !p.fits(j.Workflow) {
		return errors.Errorf("progress of job %s has other occurrences, steps or tasks than the job", j.ID)
	}
	j.State, j.Started = p.State, p.Started
	j.occurrences = map[int]occurrence{}
	for _, k := range p.Closed {
		j.occurrences[k] = occurrence{}
	}
	for k, steps := range p.Open {
		o := make(occurrence, len(steps))
		for s, records := range steps {
			tasks := make([]Task, 0, len(records))
			for _, r := range records {
				t := Task{Phase: r.Phase, Run: r.Run, Failures: r.Failures, Checkpoint: r.Checkpoint}
				if r.Incarnation > 0 && r.Incarnation <= len(p.Incarnations) {
					t.Incarnation = p.Incarnations[r.Incarnation-1]
				}
				tasks = append(tasks, t)
			}
			o[s] = newStepTasks(tasks)
		}
		j.occurrences[k] = o
	}
	j.restoreCrashes(p.Crashes)
	j.restorePreempted(p.Preempted)
	return nil
}

// noteFaultyOn records that the job has failed on a node for a reason that is not the node's.
func (j *Job) noteFaultyOn(node string) {
	if j.faultyOn == nil {
		j.faultyOn = map[string]bool{}
	}
	j.faultyOn[node] = true
}

// isFaultyOn reports whether a failed run on the node counts against the job and not against the
// node. A fault of one node that has passed looks like one of its jobs, so a second node has to
// agree before the job counts as faulty everywhere.
func (j *Job) isFaultyOn(node string) bool { return j.faultyOn[node] || len(j.faultyOn) >= 2 }
