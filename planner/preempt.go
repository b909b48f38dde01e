package planner

import (
	"slices"
	"time"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/ranker"
)

const (
	// clearanceTime bounds how long a VM is kept for the task that room is made for, after the newest stop. It
	// exceeds the time that a worker takes to stop a run and the next tick to place the task.
	clearanceTime = 3 * time.Second
	// maxClearanceSearches bounds the steps for which all VMs are searched in one tick, since a search
	// looks at each run.
	maxClearanceSearches = 16
	// maxPreempted bounds the tasks of a job that are stopped, since each takes room in its stored progress.
	maxPreempted = 32
	// millicoreMillisecondsPerCoreSecond converts work to core-seconds.
	millicoreMillisecondsPerCoreSecond = 1_000_000
	// reasonPreempted is the reason of the stops that make room.
	reasonPreempted = "preempted"
)

// Preemption is a run that is stopped to make room for a task of a higher priority.
type Preemption struct {
	Ref  plantainrail.RunRef
	Node string
	// For is the job that needs the room, and Waited how long its step has waited with nothing running.
	For    string
	Waited time.Duration
	// LostCoreSeconds is the work that is thrown away.
	LostCoreSeconds float64
}

// clearance is a VM where room is made for one task of a step.
type clearance struct {
	vm               *vm
	job              *Job
	occurrence, step int
	// stopped is the run that is being stopped, and until when the VM is kept for the task.
	stopped *placedRun
	until   time.Time
}

func (c *clearance) isFor(r readyStep) bool {
	return c.job == r.job && c.occurrence == r.occurrence && c.step == r.step
}

// pending reports whether the end of the run that is being stopped is not confirmed.
func (c *clearance) pending() bool { return slices.Contains(c.vm.orderedRuns, c.stopped) }

// clearedForOthers reports whether room is made on the VM for a task of a higher priority than the step's.
func (p *Planner) clearedForOthers(v *vm, ready readyStep) bool {
	return slices.ContainsFunc(p.clearances, func(c *clearance) bool {
		return c.vm == v && c.job.Queue.Priority < ready.job.Queue.Priority
	})
}

// preempt stops runs of lower priorities that keep tasks from starting in time, after the tasks that fit
// have been placed: one at a time for each waiting task.
func (p *Planner) preempt(now time.Time) {
	p.endClearances(now)
	searches := 0
	for _, r := range p.ready {
		if r.job.Queue.Priority != ranker.PreemptingPriority || r.waitingTasks() == 0 || r.job.State.Final() || !p.mustPreempt(r, now) {
			continue
		}
		begun := 0
		for _, c := range p.clearances {
			if c.isFor(r) {
				begun++
				p.continueClearance(c, r, now)
			}
		}
		if begun < r.waitingTasks() && searches < maxClearanceSearches {
			searches++
			p.beginClearance(r, now)
		}
	}
}

// endClearances drops the clearances of VMs and steps that are gone or wait no longer.
func (p *Planner) endClearances(now time.Time) {
	p.clearances = slices.DeleteFunc(p.clearances, func(c *clearance) bool {
		o := c.job.occurrences[c.occurrence]
		return now.After(c.until) && !c.pending() || p.vms[c.vm.Incarnation] != c.vm || c.job.State.Final() || c.step >= len(o) || o[c.step].waiting == 0
	})
}

// mustPreempt reports whether the tasks of a step that found no room can wait no longer. Gangs stop nothing, since
// room for some of their members alone does not help.
func (p *Planner) mustPreempt(r readyStep, now time.Time) bool {
	step := r.definition()
	waits := slices.ContainsFunc(r.tasks(), func(t Task) bool { return t.Phase == Waiting && !now.Before(t.retryAt) })
	if step.Gang || !waits || step.Filler && r.job.fillersMayWait(r.occurrence, now) {
		return false
	}
	w := r.job.work(r.occurrence)
	return w.MustPreempt(startLag, now) || r.wait.overdue && (w.Objective.IsZero() || now.Before(w.Expiry()))
}

// beginClearance stops the first run on the VM where the fewest have to be stopped, unless a VM has room.
func (p *Planner) beginClearance(r readyStep, now time.Time) {
	var best *vm
	var victims ranker.Victims
	for _, v := range p.ordered {
		if !p.wantsRoom(v, r, now) {
			continue
		}
		if r.definition().Reservation().Fits(v.Capacity.Sub(v.reserved)) {
			return
		}
		if slices.ContainsFunc(p.clearances, func(c *clearance) bool { return c.vm == v }) {
			continue
		}
		if found := v.victims(r, now); len(found) > 0 && (best == nil || found.Better(victims)) {
			best, victims = v, found
		}
	}
	if best != nil {
		c := &clearance{vm: best, job: r.job, occurrence: r.occurrence, step: r.step}
		p.clearances = append(p.clearances, c)
		p.stopVictim(c, r, victims, now)
	}
}

// continueClearance stops the next run on a VM where the newest stop is confirmed and did not suffice.
func (p *Planner) continueClearance(c *clearance, r readyStep, now time.Time) {
	if c.pending() || !p.wantsRoom(c.vm, r, now) || r.definition().Reservation().Fits(c.vm.Capacity.Sub(c.vm.reserved)) {
		return
	}
	if victims := c.vm.victims(r, now); len(victims) > 0 {
		p.stopVictim(c, r, victims, now)
	}
}

// stopVictim stops the first of the victims on the VM of a clearance.
func (p *Planner) stopVictim(c *clearance, r readyStep, victims ranker.Victims, now time.Time) {
	run := c.vm.orderedRuns[victims[0].Index]
	c.stopped, c.until = run, now.Add(clearanceTime)
	if run.task.preempted == 0 {
		run.job.preempted++
	}
	run.task.preempted = run.task.Run
	p.markChanged(run.job)
	p.stop(run.id, run.task, reasonPreempted)
	p.preempted = append(p.preempted, Preemption{
		Ref: run.ref(), Node: c.vm.Incarnation.Node, For: r.job.ID, Waited: r.wait.waited(now),
		LostCoreSeconds: victims[0].Loss / millicoreMillisecondsPerCoreSecond,
	})
}

// wantsRoom reports whether nothing but want of room keeps the VM from taking a task of the step.
func (p *Planner) wantsRoom(v *vm, r readyStep, now time.Time) bool {
	step := r.definition()
	if f := p.fact(v, p.vmPool(r.job), r); f != "" && f != factResources {
		return false
	}
	return (step.MaxPerVM == 0 || v.runsOfStep(r.taskID(0)) < step.MaxPerVM) && len(p.judge(v, r, now)) == 0
}

// victims returns the runs to be stopped on the VM to make room for a task of the step; nil if that is not
// possible.
func (v *vm) victims(r readyStep, now time.Time) ranker.Victims {
	var runs []ranker.Run
	for i, run := range v.orderedRuns {
		if run.mayBePreempted(r.job.Queue.Priority) {
			runs = append(runs, ranker.Run{Index: i, Resources: run.step().Reservation(), Loss: run.loss(now)})
		}
	}
	return ranker.ChooseVictims(r.definition().Reservation(), v.Capacity.Sub(v.reserved), runs)
}

// mayBePreempted reports whether the run may be stopped for a task of the given priority. It has a lower one, is no
// service and no member of a gang, whose end would end others, its start is confirmed and no stop is open. The task was
// not stopped before, unless an earlier owner has ordered the stop of this run.
func (r *placedRun) mayBePreempted(priority int) bool {
	step := r.step()
	return r.job.Queue.Priority > priority && !step.Lasting && !step.Gang && r.stored && !r.stopping && !r.begunAt.IsZero() &&
		(r.task.preempted == r.task.Run || r.task.preempted == 0 && r.job.preempted < maxPreempted)
}

// loss returns the work that a stop would throw away, in millicores times milliseconds: that since the newest
// checkpoint, or since the run has begun as far as this owner knows.
func (r *placedRun) loss(now time.Time) float64 {
	if r.task.preempted == r.task.Run {
		// The worker may have got the stop.
		return 0
	}
	since := r.begunAt
	if r.step().Checkpoints && r.savedAt.After(since) {
		since = r.savedAt
	}
	return float64(now.Sub(since).Milliseconds()) * float64(r.step().CPU)
}

// preemptedTasks returns the stored form of Task.preempted.
func (j *Job) preemptedTasks() [][4]int64 {
	if j.preempted == 0 {
		return nil
	}
	var out [][4]int64
	j.eachTask(func(id plantainrail.TaskID, t *Task) {
		if t.preempted > 0 && t.Phase != Done {
			out = append(out, [4]int64{int64(id.Occurrence), int64(id.Step), int64(id.Index), t.preempted})
		}
	})
	return out
}

// restorePreempted sets Task.preempted from its stored form. Tasks that do not exist are passed over.
func (j *Job) restorePreempted(tasks [][4]int64) {
	for _, at := range tasks {
		if at[1] < 0 || at[2] < 0 || at[3] <= 0 {
			continue
		}
		if t := j.task(plantainrail.TaskID{Occurrence: int(at[0]), Step: int(at[1]), Index: int(at[2])}); t != nil {
			t.preempted = at[3]
			j.preempted++
		}
	}
}

// stopAll orders the stop of all placed runs of a job.
func (p *Planner) stopAll(j *Job, reason string) {
	j.eachTask(func(id plantainrail.TaskID, t *Task) {
		if t.Phase == Placed {
			p.stop(id, t, reason)
		}
	})
}

// stop orders the stop of a placed task's run, unless it was ordered before. The
// run keeps its resources until the worker reports its end or the VM is removed.
func (p *Planner) stop(id plantainrail.TaskID, t *Task, reason string) {
	v := p.vms[t.Incarnation]
	ref := plantainrail.RunRef{Task: id, Run: t.Run}
	if run := v.runs[ref]; run != nil && !run.stopping {
		run.stopping = true
		p.stops = append(p.stops, Stop{Incarnation: t.Incarnation, Ref: ref, Reason: reason})
	}
}
