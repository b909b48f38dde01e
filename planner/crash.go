package planner

import (
	"slices"
	"time"

	"github.com/plantainrail/plantainrail"
)

const (
	// maxCrashes is the number of workers that may crash under a task before its job fails, unless the
	// task is long-running.
	maxCrashes = 3
	// maxLateCrashes is the same for crashes that may be due to other tasks or to the workers.
	maxLateCrashes = maxCrashes + 1
	// suspectTime is how long other suspects avoid a VM after a suspect was ordered there.
	suspectTime = time.Second
	// crashedNodeTime is how long suspects avoid a node after a crash there, whose cause
	// may be the node.
	crashedNodeTime = 30 * time.Second
	// crashAgeTolerance is the time by which the ages of a task's runs at crashes may differ, beside
	// an eighth of the age. The time until a crash is noticed varies.
	crashAgeTolerance = 250 * time.Millisecond
	// unrelatedTime is how close together workers crash that have a cause in common, other than their
	// tasks. It covers the time until the owner learns of a crash.
	unrelatedTime = 5 * time.Second
	// soundRunTime is how long a run must have lasted to show that its task does not crash workers.
	// It exceeds LateCrashTime by more than a crash takes to be noticed.
	soundRunTime = plantainrail.LateCrashTime + 10*time.Second
	// crashPause is how long a long-running task waits after the second crash in a row, so that a worker in a
	// crash loop is not sent starts all the time. It doubles with each further crash.
	crashPause = 500 * time.Millisecond
	// maxCrashPause bounds that wait. With renewalTime and startLag it stays within lastingGrace.
	maxCrashPause = 4 * time.Second
	// renewalTime is the interval at which leases are renewed, and so for how long a worker may have lived after
	// the newest renewal without one more.
	renewalTime = time.Second
	// maxCrashDoublings is the number of doublings after which crashPause reaches maxCrashPause.
	maxCrashDoublings = 3
	// crashedNodeWeight and suspectWeight are what the score of a VM is lowered by for a
	// suspect; see suspectPenalty. Each exceeds the sum of those that follow and of the
	// other parts of the score.
	crashedNodeWeight = 60
	suspectWeight     = 30
)

// suspect reports whether a worker has crashed when a run of the task had just begun. The
// agent starts its next run alone, so that a further crash shows whether it is the cause.
func (t *Task) suspect() bool { return t.Crashes > 0 }

// lateSuspect reports whether one more crash would be the third one in a row beside which the task
// was there, though none had just begun. Its next run avoids other such tasks, so that
// a further crash shows which of them is the cause.
func (t *Task) lateSuspect() bool { return t.lateCrashes >= maxCrashes-1 }

// hasSuspects reports whether a waiting task of the step is a suspect.
func (r readyStep) hasSuspects() bool {
	return r.job.crashed && slices.ContainsFunc(r.tasks(), func(t Task) bool {
		return t.Phase == Waiting && (t.suspect() || t.lateSuspect())
	})
}

// mayCrash reports whether the run is one of a suspect and the worker may still crash because of it.
func (r *placedRun) mayCrash(now time.Time) bool {
	return r.task.suspect() && now.Sub(r.orderedSince) < suspectTime || r.task.lateSuspect() && !r.hasRunFor(plantainrail.LateCrashTime, now)
}

// suspectPenalty returns what the score of a VM is lowered by for a suspect. Suspects avoid
// nodes where a worker has crashed, and each other, so that a crash has one possible cause.
func (p *Planner) suspectPenalty(v *vm, now time.Time) float64 {
	penalty := 0.0
	if at, crashed := p.crashedAt[v.Incarnation.Node]; crashed && now.Sub(at) < crashedNodeTime {
		penalty += crashedNodeWeight
	}
	if slices.ContainsFunc(v.orderedRuns, func(r *placedRun) bool { return r.mayCrash(now) }) {
		penalty += suspectWeight
	}
	return penalty
}

// countCrash counts the crash of a VM's worker against the tasks of the runs that had just
// begun. It returns the job that fails because of it, or nil: one with a task that has
// maxCrashes and is not long-running, if no other job's run had just begun.
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
		run.task.Crashes = min(run.task.Crashes+1, maxCountedCrashes)
		run.job.crashed = true
		p.markStarted(run.job)
		run.pauseAfterCrash(v, now)
		if run.task.Crashes >= maxCrashes && !run.step().Lasting && !run.job.State.Final() {
			failed = run.job
		}
	}
	if !oneJob {
		return nil
	}
	return failed
}

// pauseAfterCrash lets a long-running task wait after repeated crashes, since the number of its runs is not
// limited. The wait counts from at most renewalTime after the newest renewal of the lease, so that it is over when the
// lease has expired.
func (r *placedRun) pauseAfterCrash(v *vm, now time.Time) {
	t := r.task
	crashes := t.Crashes + t.lateCrashes
	if !r.step().Lasting || crashes < 2 {
		return
	}
	pause := min(crashPause<<min(crashes-2, maxCrashDoublings), maxCrashPause)
	if until := earlier(v.renewedAt.Add(renewalTime), now).Add(pause); until.After(t.retryAt) {
		t.retryAt = until
	}
}

// clearSound forgets the late crashes of tasks that have run here for soundRunTime, and all crashes of those that
// are long-running, since their runs need not end.
func (v *vm) clearSound(now time.Time) {
	for _, run := range v.orderedRuns {
		if !run.hasRunFor(soundRunTime, now) {
			continue
		}
		run.task.lateCrashes = 0
		if run.step().Lasting {
			run.task.Crashes = 0
		}
	}
}

// noteLateCrash counts the crash of a node's worker at the given age of the task's run. A task that
// crashes workers does so at about the same age, so the count begins anew at another one.
func (t *Task) noteLateCrash(node string, age time.Duration) {
	if difference := (age - t.lateCrashAge).Abs(); t.lateCrashes == 0 || difference > crashAgeTolerance+max(age, t.lateCrashAge)/8 {
		t.lateCrashes, t.lateCrashNode, t.lateCrashesElsewhere = 0, node, false
	}
	t.lateCrashes, t.lateCrashAge = t.lateCrashes+1, age
	t.lateCrashesElsewhere = t.lateCrashesElsewhere || node != t.lateCrashNode
}

// countLateCrash counts the crash of a VM's worker against the tasks of the runs that were there,
// of which none had just begun. Any of them may be the cause. It returns the job that fails because
// of it, or nil: one with a task that is not long-running and has maxLateCrashes, and maxCrashes more than
// the tasks of all other jobs there. A single node may be the cause itself, so two have to agree.
func (p *Planner) countLateCrash(v *vm, present []plantainrail.RunAge, now time.Time) *Job {
	p.crashedAt[v.Incarnation.Node] = now
	// counts covers all tasks, blamed those for which a job may fail.
	counts, blamed, elsewhere := map[*Job]int{}, map[*Job]int{}, map[*Job]bool{}
	for _, was := range present {
		run := v.runs[was.Ref]
		if run == nil || p.restartedWithout(run.job, now) {
			continue
		}
		run.job.lateCrashAt = now
		run.task.noteLateCrash(v.Incarnation.Node, was.Age)
		run.job.crashed = true
		p.markStarted(run.job)
		run.pauseAfterCrash(v, now)
		counts[run.job] = max(counts[run.job], run.task.lateCrashes)
		if run.step().Lasting {
			continue
		}
		blamed[run.job] = max(blamed[run.job], run.task.lateCrashes)
		elsewhere[run.job] = elsewhere[run.job] || run.task.lateCrashesElsewhere
	}
	for j, count := range blamed {
		others := 0
		for other, n := range counts {
			if other != j {
				others = max(others, n)
			}
		}
		if count >= maxLateCrashes && count-others >= maxCrashes && elsewhere[j] && !j.State.Final() {
			return j
		}
	}
	return nil
}

// restart is the restart of a worker, with the jobs that had runs on it.
type restart struct {
	at   time.Time
	jobs map[*Job]bool
}

// noteRestart records that the worker of a VM has restarted. It clears the jobs that had no run
// there of the late crashes that came at about the same time: workers crash without them as well.
func (p *Planner) noteRestart(v *vm, now time.Time) {
	r := restart{at: now, jobs: map[*Job]bool{}}
	for _, run := range v.orderedRuns {
		r.jobs[run.job] = true
	}
	recent := slices.DeleteFunc(p.restarts, func(r restart) bool { return now.Sub(r.at) > unrelatedTime })
	p.restarts = append(recent, r)
	for _, j := range p.active {
		if !r.jobs[j] && !j.lateCrashAt.IsZero() && now.Sub(j.lateCrashAt) <= unrelatedTime {
			j.lateCrashAt = time.Time{}
			j.eachTask(func(_ plantainrail.TaskID, t *Task) { t.lateCrashes = 0 })
		}
	}
}

// restartedWithout reports whether a worker that had no run of the job has restarted recently.
func (p *Planner) restartedWithout(j *Job, now time.Time) bool {
	return slices.ContainsFunc(p.restarts, func(r restart) bool { return !r.jobs[j] && now.Sub(r.at) <= unrelatedTime })
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
