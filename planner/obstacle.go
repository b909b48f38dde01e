package planner

import (
	"slices"
	"time"
)

// Obstacle is the reason why a VM does not take a task, as it appears in the log.
type Obstacle string

// fact is a reason for which a VM cannot take a task. It excludes the VM.
type fact Obstacle

// judgement is a reason for which a VM had better not take a task. It excludes the VM while the
// task may still wait (see wait). After that it ranks the VM, and rating.mayIgnore bounds how
// often overdue tasks try a VM in doubt.
type judgement struct {
	name Obstacle
	// rank orders the judgements: the least bad has the lowest.
	rank float64
}

// The facts. The empty one means that there is none.
const (
	// The agent of the VM has no session.
	factDisconnected fact = "lost"
	factDraining     fact = "draining"
	// The VM belongs to another pool.
	factPool  fact = "service"
	factLabel fact = "label"
	// The operators have taken the availability zone out of service.
	factZone fact = "zone"
	// The VM holds as many tasks of the step as it may.
	factPerVM fact = "spread"
	// Too few resources are free.
	factResources fact = "room"
)

// The judgements.
var (
	// The VM has just refused a run for want of room, which costs no attempt.
	judgedNoRoom = &judgement{"refused", 1}
	// The VM is on probation, and its runs have not proven yet.
	judgedOnTrial = &judgement{"trial", 2}
	// The VM is paused after refused or failed runs.
	judgedPaused = &judgement{"paused", 3}
	// Fillers are paused on the VM to protect its services.
	judgedStrained = &judgement{"strained", 4}
	// The fillers on the VM request too many processors; see Planner.placeReady.
	judgedFilled = &judgement{"filled", 5}
	// A filler beyond the share of the VM would leave less than half of its memory to others.
	judgedScarce = &judgement{"memory", 6}
	// The task has failed before, its newest run was on the VM's node, and another VM may
	// take it later; see rating.choose.
	judgedFailed = &judgement{"failed", 7}
	// A filler would interfere too much with services on the VM; see rating.score.
	judgedHarmful = &judgement{"harm", 8}
	// An order has expired on the VM, and the tasks would be overdue before one more does. The VM comes
	// last, since an order that expires takes longest to tell that it is not carried out.
	judgedLate = &judgement{"late", 9}
)

// fact returns why the VM cannot take any task of the step.
func (p *Planner) fact(v *vm, pool string, ready readyStep) fact {
	step := ready.definition()
	switch {
	case !v.connected:
		return factDisconnected
	case v.Draining:
		return factDraining
	case v.Pool != pool:
		return factPool
	case len(p.config.Out) > 0 && p.config.Out[v.Zone]:
		return factZone
	case step.VMLabel != "" && !slices.Contains(v.Labels, step.VMLabel):
		return factLabel
	case !step.Reservation().Fits(v.Capacity.Sub(v.reserved)):
		return factResources
	case step.MaxPerVM > 0 && v.runsOfStep(ready.taskID(0)) >= step.MaxPerVM:
		return factPerVM
	}
	return ""
}

// judge returns the judgements that speak against placing any task of the step on the VM, apart from
// interference.
func (p *Planner) judge(v *vm, ready readyStep, now time.Time) (out []*judgement) {
	if now.Before(v.noRoomUntil) && v.Capacity == v.noRoomCapacity {
		out = append(out, judgedNoRoom)
	}
	if v.probation && (ready.noTrial || v.onTrial(ready, now)) {
		out = append(out, judgedOnTrial)
	}
	if now.Before(v.pausedUntil) {
		out = append(out, judgedPaused)
	}
	if step := ready.definition(); step.Filler {
		if v.FillersPaused {
			out = append(out, judgedStrained)
		}
		if v.filled(ready) {
			out = append(out, judgedFilled)
		}
		if ready.beyondShare && 2*(v.reserved.Memory+step.Reservation().Memory) > v.Capacity.Memory {
			out = append(out, judgedScarce)
		}
	}
	if ready.shunsLate && v.late(now) {
		out = append(out, judgedLate)
	}
	return out
}

// filled reports whether the fillers on the VM request too many processors for one more. A single
// filler is admitted however large it is. Beyond maxFillerShare long-running fillers are neither limited nor
// counted: they do not end, so that whatever waits for them would wait for ever.
func (v *vm) filled(ready readyStep) bool {
	share, requested := maxFillerShare, v.fillerMillicores
	if ready.beyondShare {
		if ready.definition().Lasting {
			return false
		}
		share, requested = maxOverdueShare, v.fillerMillicores-v.lastingFillerMillicores()
	}
	total := requested + ready.definition().CPU
	return (v.fillerMillicores > 0 || ready.beyondShare) && total > int(float64(v.Capacity.Processors)*share)
}

// lastingFillerMillicores returns the processors that long-running fillers on the VM request, in thousandths of a core.
func (v *vm) lastingFillerMillicores() int {
	sum := 0
	for _, r := range v.orderedRuns {
		if step := r.step(); step.Filler && step.Lasting {
			sum += step.CPU
		}
	}
	return sum
}

// mayIgnore reports whether tasks of the step may be placed on the VM in spite of the judgements. They
// have waited for too long, the VM has not failed or refused a run for minSpacing, and it does not
// get more unproven runs at a time than a slow start allows. Fillers beyond the share of a VM are
// admitted by Planner.placeReady.
func (r *rating) mayIgnore(v *vm, doubts []*judgement) bool {
	spacing, slots := minSpacing, 1
	if r.allDoubted {
		spacing, slots = minDoubtedSpacing, doubtedSlots
	}
	switch {
	case !r.ready.wait.overdue, r.ready.noTrial:
		return false
	case slices.Contains(doubts, judgedFilled):
		return false
	case slices.Contains(doubts, judgedLate) && !r.ready.mayTakeLate(r.now):
		return false
	case r.now.Sub(v.failedAt) < spacing, r.now.Sub(v.refusedAt) < minSpacing:
		return false
	}
	return !v.probation || !v.slowStartFull(r.ready, slots, r.now) || r.lastCall() && !r.hasTrial(v)
}

// lastCall reports whether the tasks are about to starve and only VMs in doubt are left. Then a slow start
// does not keep a job that does not fail from having one run on trial, or a long-running task from running.
func (r *rating) lastCall() bool {
	if r.ready.job.failing && !r.ready.definition().Lasting {
		return false
	}
	return r.allDoubted && r.ready.wait.waited(r.now) > r.ready.wait.limit+minSpacing
}

// hasTrial reports whether the VM runs a task of the job on trial, which is enough for tasks that are not
// long-running.
func (r *rating) hasTrial(v *vm) bool {
	return !r.ready.definition().Lasting &&
		slices.ContainsFunc(v.trialRuns(r.ready, r.now), func(t *placedRun) bool { return t.job == r.ready.job })
}

// distrusted reports whether failures or refusals speak against the VM.
func (v *vm) distrusted(now time.Time) bool {
	return v.probation || now.Before(v.pausedUntil) || now.Before(v.noRoomUntil)
}

// late reports whether an order has expired on the VM within latePause.
func (v *vm) late(now time.Time) bool { return now.Before(v.lateUntil) }

// mayTakeLate reports whether the tasks of a step that shuns late VMs may take one all the same. Until then other VMs
// in doubt that have just failed may be tried.
func (r readyStep) mayTakeLate(now time.Time) bool {
	return r.wait.waited(now) > r.wait.limit+minSpacing
}

// shunsLate reports whether the tasks of the step had better not be ordered from a late VM: they would
// be overdue if the order expires, and another VM could take them if it had the room.
func (p *Planner) shunsLate(ready readyStep, now time.Time) bool {
	if ready.wait.since.IsZero() || ready.wait.waited(now)+heldTime <= ready.wait.limit {
		return false
	}
	late, other := false, false
	for _, v := range p.ordered {
		switch f := p.fact(v, p.vmPool(ready.job), ready); {
		case f == "" && v.late(now):
			late = true
		case f == "", f == factResources && ready.definition().Reservation().Fits(v.Capacity):
			other = other || !v.late(now)
		}
	}
	return late && other
}

// proofTime is how long a run on probation must have run to count as proven for overdue tasks.
func (v *vm) proofTime() time.Duration {
	return min(max(proofFactor*v.failedAge, minProofTime), maxProofTime)
}

// trialRuns returns the runs that were assigned after the newest failure. The members of a gang that
// are assigned together with a task of the step do not count.
func (v *vm) trialRuns(ready readyStep, now time.Time) []*placedRun {
	step := ready.definition()
	var out []*placedRun
	for _, r := range v.orderedRuns {
		fellow := step.Gang && r.step() == step && r.assignedAt.Equal(now)
		if r.assignedAt.After(v.probationSince) && !fellow {
			out = append(out, r)
		}
	}
	return out
}

// onTrial reports whether a VM on probation has as many unproven runs as it may: one, or as many as
// have proven.
func (v *vm) onTrial(ready readyStep, now time.Time) bool {
	runs, proven := v.trialRuns(ready, now), 0
	for _, r := range runs {
		if r.hasRunFor(maxProofTime, now) {
			proven++
		}
	}
	return len(runs)-proven >= max(proven, 1)
}

// slowStartFull reports whether a VM on probation has as many runs as it may get of overdue tasks,
// whether they are known to have begun or not: one, doubled with each proofTime since the first.
func (v *vm) slowStartFull(ready readyStep, slots int, now time.Time) bool {
	runs := v.trialRuns(ready, now)
	if len(runs) == 0 {
		return false
	}
	if !runs[0].stored {
		return len(runs) >= slots
	}
	doublings := min(int(now.Sub(runs[0].orderedSince)/v.proofTime()), maxTrialDoublings)
	return len(runs) >= slots<<doublings
}

// unplacedReportInterval is the minimum time between two items of a job in
// Plan.Unplaced.
const unplacedReportInterval = 2 * time.Second

// keptBackTime is the wait from which a step counts as kept back. It is then listed once out of turn.
const keptBackTime = time.Second

// UnplacedStep describes a step with a task that cannot be placed on any VM.
type UnplacedStep struct {
	Job        string
	Occurrence int
	Step       int
	// Tasks is the number of the step's waiting tasks.
	Tasks int
	// Waited is how long the step has waited with nothing of the job, or for a long-running step one
	// of its tasks, running.
	Waited time.Duration
	// Obstacles counts the VMs by the reason why they do not take the first of these
	// tasks, and Judgements those of them that are judgements.
	Obstacles, Judgements map[Obstacle]int
}

// KeptBack reports whether the step has waited for keptBackTime and a judgement holds it back on a VM
// that could take it.
func (u UnplacedStep) KeptBack() bool { return u.Waited >= keptBackTime && len(u.Judgements) > 0 }

// obstacles returns the fact for which the VM cannot take a task of the step and, without one, the judgements that
// speak against it, apart from interference.
func (p *Planner) obstacles(v *vm, ready readyStep, t *Task, now time.Time) (fact, []*judgement) {
	if f := p.fact(v, p.vmPool(ready.job), ready); f != "" {
		return f, nil
	}
	doubts := p.judge(v, ready, now)
	if t.avoids(v) {
		doubts = append(doubts, judgedFailed)
	}
	return "", doubts
}

// recordUnplaced records that a task of a ready step cannot be placed on any VM, unless a
// step of the job was recorded less than unplacedReportInterval ago and the step is not newly kept
// back. The recorded obstacles
// are those of the step's first waiting task.
func (p *Planner) recordUnplaced(ready readyStep, now time.Time) {
	keptBack := ready.wait.waited(now) >= keptBackTime && !ready.job.keptBackReported.Equal(ready.wait.since)
	if !keptBack && now.Sub(ready.job.unplacedReportedAt) < unplacedReportInterval {
		return
	}
	ready.job.unplacedReportedAt = now
	if keptBack {
		ready.job.keptBackReported = ready.wait.since
	}
	u := UnplacedStep{
		Job: ready.job.ID, Occurrence: ready.occurrence, Step: ready.step, Tasks: ready.waitingTasks(),
		Waited: ready.wait.waited(now), Obstacles: map[Obstacle]int{}, Judgements: map[Obstacle]int{},
	}
	tasks := ready.tasks()
	first := &tasks[slices.IndexFunc(tasks, func(t Task) bool { return t.Phase == Waiting })]
	for _, v := range p.ordered {
		f, doubts := p.obstacles(v, ready, first, now)
		if f != "" {
			u.Obstacles[Obstacle(f)]++
			continue
		}
		if len(doubts) == 0 && ready.definition().Filler {
			// Without another obstacle, only interference with services keeps a
			// filler off a VM.
			doubts = append(doubts, judgedHarmful)
		}
		if len(doubts) > 0 {
			// The last judgement is the worst.
			u.Obstacles[doubts[len(doubts)-1].name]++
			u.Judgements[doubts[len(doubts)-1].name]++
		}
	}
	p.unplaced = append(p.unplaced, u)
}
