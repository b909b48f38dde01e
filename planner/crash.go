package planner

import (
	"slices"
	"time"

	"github.com/plantainrail/plantainrail"
)

const (
	// maxCrashes is the number of workers that may crash under a task before its job fails.
	maxCrashes = 3
	// suspectTime is how long other suspects avoid a VM after a suspect was ordered there.
	suspectTime = time.Second
	// crashedNodeTime is how long suspects avoid a node after a crash there, whose cause
	// may be the node.
	crashedNodeTime = 30 * time.Second
	// crashedNodeWeight and suspectWeight are what the score of a VM is lowered by for a
	// suspect; see suspectPenalty. Each exceeds the sum of those that follow and of the
	// other parts of the score.
	crashedNodeWeight = 60
	suspectWeight     = 30
)

// suspect reports whether a worker has crashed when a run of the task had just begun. The
// agent starts its next run alone, so that a further crash shows whether it is the cause.
func (t *Task) suspect() bool { return t.Crashes > 0 }

// hasSuspects reports whether a waiting task of the step is a suspect.
func (r readyStep) hasSuspects() bool {
	return r.job.crashed && slices.ContainsFunc(r.tasks(), func(t Task) bool { return t.Phase == Waiting && t.suspect() })
}

// suspectPenalty returns what the score of a VM is lowered by for a suspect. Suspects avoid
// nodes where a worker has crashed, and each other, since they are started one by one.
func (p *Planner) suspectPenalty(v *vm, now time.Time) float64 {
	penalty := 0.0
	if at, crashed := p.crashedAt[v.Incarnation.Node]; crashed && now.Sub(at) < crashedNodeTime {
		penalty += crashedNodeWeight
	}
	if slices.ContainsFunc(v.orderedRuns, func(r *placedRun) bool { return r.task.suspect() && now.Sub(r.orderedSince) < suspectTime }) {
		penalty += suspectWeight
	}
	return penalty
}

// countCrash counts the crash of a VM's worker against the tasks of the runs that had just
// begun. It returns the job that fails because of it, or nil: one with a task that has
// maxCrashes, if no other job's run had just begun.
func (p *Planner) countCrash(v *vm, startedLast []plantainrail.RunRef, now time.Time) *Job {
	p.crashedAt[v.Incarnation.Node] = now
	var failed *Job
	oneJob := true
	for _, ref := range startedLast {
		oneJob = oneJob && ref.Task.Job == startedLast[0].Task.Job
		run := v.runs[ref]
		if run == nil {
			continue
		}
		run.task.Crashes++
		run.job.crashed = true
		p.markStarted(run.job)
		if run.task.Crashes >= maxCrashes && !run.job.State.Final() {
			failed = run.job
		}
	}
	if !oneJob {
		return nil
	}
	return failed
}

// crashRecord is the stored form of Task.Crashes.
type crashRecord struct {
	_                       struct{} `cbor:",toarray"`
	Occurrence, Step, Index int
	Crashes                 int
}

// crashRecords returns the stored form of the crashes of the job's tasks.
func (j *Job) crashRecords() []crashRecord {
	if !j.crashed {
		return nil
	}
	var out []crashRecord
	j.eachTask(func(id plantainrail.TaskID, t *Task) {
		if t.Crashes > 0 {
			out = append(out, crashRecord{Occurrence: id.Occurrence, Step: id.Step, Index: id.Index, Crashes: t.Crashes})
		}
	})
	return out
}

// restoreCrashes sets the crashes of the job's tasks from their stored form.
func (j *Job) restoreCrashes(records []crashRecord) {
	for _, r := range records {
		if t := j.task(plantainrail.TaskID{Occurrence: r.Occurrence, Step: r.Step, Index: r.Index}); t != nil {
			t.Crashes, j.crashed = r.Crashes, true
		}
	}
}
