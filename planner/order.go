package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/ranker"
)

// readyStep is a step of a job's occurrence with tasks that are ready to be placed.
type readyStep struct {
	job        *Job
	occurrence int
	step       int
	// noTrial means that the tasks do not use VMs on probation.
	noTrial bool
	// wait is how long the tasks have waited, and what follows from that.
	wait wait
	// shunsLate means that VMs on which orders have expired come last; see Planner.shunsLate.
	shunsLate bool
	// beyondShare means that one filler of the step, or one gang, may go beyond maxFillerShare, or each of its
	// long-running fillers that are overdue.
	beyondShare bool
}

// definition returns the step as submitted, which must not be changed.
func (r readyStep) definition() *plantainrail.Step { return &r.job.Steps[r.step] }

// tasks returns the step's tasks.
func (r readyStep) tasks() []Task { return r.job.occurrences[r.occurrence][r.step].tasks }

// waitingTasks returns the number of the step's waiting tasks.
func (r readyStep) waitingTasks() int { return r.job.occurrences[r.occurrence][r.step].waiting }

// taskID returns the ID of the task with the index.
func (r readyStep) taskID(index int) plantainrail.TaskID {
	return plantainrail.TaskID{Job: r.job.ID, Occurrence: r.occurrence, Step: r.step, Index: index}
}

// readySteps lists the steps that have waiting tasks, belong to an occurrence that is
// due, and depend on no unfinished step. Jobs that are final or to be cancelled are left
// out. The list is valid until the next call, and in the order in which the steps are served: by priority of the queue,
// then by arrival of the job, occurrence and step.
func (p *Planner) readySteps(now time.Time) []readyStep {
	out := p.ready[:0]
	for _, j := range p.active {
		if j.State.Final() || j.CancelRequested {
			continue
		}
		for k := range j.Occurrences() {
			if due := j.NotBefore(k); due.After(now) {
				// The occurrences that follow are due even later.
				break
			}
			o := j.openOccurrence(k)
			for s := range o {
				if o[s].waiting > 0 && j.dependenciesDone(o, s) {
					out = append(out, readyStep{job: j, occurrence: k, step: s})
				}
			}
		}
	}
	p.ready = out
	return out
}

// idlePools returns the pools with less than half of their processors reserved, those of VMs that
// take no tasks included.
func (p *Planner) idlePools() map[string]bool {
	excess := map[string]int{}
	for _, v := range p.ordered {
		excess[v.Pool] += v.Capacity.Processors - 2*v.reserved.Processors
	}
	idle := map[string]bool{}
	for pool, processors := range excess {
		idle[pool] = processors > 0
	}
	return idle
}

func compareArrival(a, b *Job) int { return cmp.Compare(a.arrival, b.arrival) }

// compareActive orders the active jobs: by priority of the queue, then by arrival.
func compareActive(a, b *Job) int {
	return cmp.Or(cmp.Compare(a.Queue.Priority, b.Queue.Priority), compareArrival(a, b))
}

// isActive reports whether a job is among the active ones.
func (p *Planner) isActive(j *Job) bool {
	_, found := slices.BinarySearchFunc(p.active, j, compareActive)
	return found
}

// competition is what competes for the same capacity: the jobs of one priority in one pool.
type competition struct {
	pool     string
	priority int
}

// noteUnplaced records that a task of a ready step cannot be placed on any VM, and whether that is for
// want of capacity.
func (p *Planner) noteUnplaced(ready readyStep, now time.Time) {
	p.recordUnplaced(ready, now)
	pool := p.vmPool(ready.job)
	in := competition{pool, ready.job.Queue.Priority}
	if p.scarceNext[in] {
		return
	}
	if u := p.poolUse(now)[pool]; u.requested < minRequestedShare*u.capacity || u.sound < minSoundShare*u.capacity {
		return
	}
	step := ready.definition()
	if slices.ContainsFunc(p.ordered, func(v *vm) bool {
		switch p.fact(v, pool, ready) {
		case factResources:
			return step.Reservation().Fits(v.Capacity)
		case "":
			return step.Filler && v.filled(ready)
		}
		return false
	}) {
		p.scarceNext[in] = true
	}
}

// order sorts the ready steps whose pool had too little capacity for their priority in the last tick
// by what waiting costs their callers; see package ranker. The others keep their order.
func (p *Planner) order(ready []readyStep, now time.Time) {
	p.scarce, p.scarceNext = p.scarceNext, p.scarce
	clear(p.scarceNext)
	if len(p.scarce) == 0 {
		return
	}
	pools := p.poolUse(now)
	type ranked struct {
		ready readyStep
		key   ranker.Key
	}
	steps := make([]ranked, len(ready))
	for i, r := range ready {
		if i > 0 && r.job == ready[i-1].job && r.occurrence == ready[i-1].occurrence {
			steps[i] = ranked{r, steps[i-1].key}
			continue
		}
		pool := p.vmPool(r.job)
		in := competition{pool, r.job.Queue.Priority}
		work := r.job.work(r.occurrence)
		key := work.Key(p.scarce[in], pools[pool].capacity, now)
		if p.scarce[in] && (r.starving(now) || p.takeTurn(in, r, now)) {
			key = work.OverdueKey()
		}
		steps[i] = ranked{r, key}
	}
	// Steps of one job compare equal and keep their order.
	slices.SortStableFunc(steps, func(a, b ranked) int { return a.key.Compare(b.key) })
	for i := range steps {
		ready[i] = steps[i].ready
	}
}

// turnInterval is how often, among jobs that compete, one that has had nothing running for busyPatience
// goes first: without that, a job past three times its objective waits for as long as the overload
// lasts. At one a second the turns take little of the capacity.
const turnInterval = time.Second

// starving reports whether starvationTime applies to the step, and a start that is delayed once more
// would exceed it.
func (r readyStep) starving(now time.Time) bool {
	return r.wait.limit == patience && r.wait.waited(now) >= patience-startLag
}

// takeTurn reports whether it is the turn of an overdue step, and begins the interval until the next turn.
func (p *Planner) takeTurn(in competition, r readyStep, now time.Time) bool {
	if !r.wait.overdue || now.Before(p.nextTurn[in]) {
		return false
	}
	p.nextTurn[in] = now.Add(turnInterval)
	return true
}

// minRequestedShare is the share of a pool's processors that tasks have to request before its capacity
// counts as too little. Below it, VMs are in doubt or the room is in parts. It is less than maxFillerShare,
// at which fillers find no room.
const minRequestedShare = 0.7

// minSoundShare is the share of a pool's processors that has to be on VMs without a fault. Otherwise work
// waits for VMs that return, and jobs that have nothing running come first; see placeOverdue.
const minSoundShare = 0.9

// poolUse is how a pool of VMs is used, in millicores: the processors of the VMs outside evacuated zones,
// those of them on VMs that are connected and in no doubt, and those that tasks request, fillers included.
type poolUse struct{ capacity, sound, requested float64 }

// poolUse returns the use of each pool.
func (p *Planner) poolUse(now time.Time) map[string]poolUse {
	out := map[string]poolUse{}
	for _, v := range p.ordered {
		if p.config.Out[v.Zone] {
			continue
		}
		u, processors := out[v.Pool], float64(v.Capacity.Processors)
		u.capacity += processors
		if v.connected && !v.Draining && !v.distrusted(now) && !v.late(now) {
			u.sound += processors
		}
		u.requested += float64(v.reserved.Processors + v.fillerMillicores)
		out[v.Pool] = u
	}
	return out
}

// noteAccepted sets when the job was accepted: as it is stored, or now if that is unknown or the
// clock of the entry that accepted it is ahead.
func (j *Job) noteAccepted(now time.Time) {
	j.acceptedAt, j.workKnown = now, false
	if j.AcceptedMS > 0 {
		j.acceptedAt = earlier(now, time.UnixMilli(j.AcceptedMS))
	}
}

// work returns what package ranker needs to know about an occurrence of the job. The result is kept until the phase of a
// task changes: a job may have thousands of steps, and each is asked about in each tick.
func (j *Job) work(k int) ranker.Work {
	if !j.workKnown || j.workOccurrence != k {
		j.knownWork, j.workOccurrence, j.workKnown = j.computeWork(k), k, true
	}
	return j.knownWork
}

// computeWork computes what work returns. It has no objective
// if the job is long-running or a step has no estimate: then it is not known how long it takes.
func (j *Job) computeWork(k int) ranker.Work {
	w := ranker.Work{Priority: j.Queue.Priority, Arrival: j.arrival, Since: j.acceptedAt}
	if due := j.NotBefore(k); due.After(w.Since) {
		w.Since = due
	}
	o, estimated := j.openOccurrence(k), true
	ends, endsLeft := make([]int, len(j.Steps)), make([]int, len(j.Steps))
	for s, step := range j.Steps {
		estimated = estimated && step.Estimate > 0 && !step.Lasting
		for _, dependency := range step.DependsOn {
			if dependency >= 0 && dependency < s {
				ends[s], endsLeft[s] = max(ends[s], ends[dependency]), max(endsLeft[s], endsLeft[dependency])
			}
		}
		ends[s] += step.Estimate
		w.Chain = max(w.Chain, time.Duration(ends[s])*time.Millisecond)
		if s >= len(o) {
			// The occurrence has ended.
			continue
		}
		left, task := len(o[s].tasks)-o[s].done, float64(step.Estimate)*float64(step.CPU)
		if left > 0 {
			endsLeft[s] += step.Estimate
		}
		w.ChainLeft = max(w.ChainLeft, time.Duration(endsLeft[s])*time.Millisecond)
		w.Left += float64(left) * task
		w.Spent += float64(len(o[s].tasks)-o[s].waiting) * task
	}
	if estimated && (j.Queue.StretchFactor > 0 || j.Queue.SlackMS > 0) {
		w.Objective = ranker.Objective(w.Since, w.Chain, j.Queue.StretchFactor, time.Duration(j.Queue.SlackMS)*time.Millisecond)
	}
	return w
}
