package planner

import (
	"math"
	"slices"
	"time"

	"github.com/plantainrail/plantainrail"
)

// shape holds all properties of a task that decide whether a VM can take it,
// provided that the task has not failed before, is no suspect, and its step has no
// MaxPerVM. If no VM takes a task of a shape, none takes another one of the same shape.
type shape struct {
	pool, label string
	resources   plantainrail.Resources
	filler      bool
	// image and fillerCPU are set for fillers only, since their interference depends on both, and
	// resources lacks their processors.
	image     string
	fillerCPU int
	// suspects means that tasks of the step are suspects; see Task.suspect.
	suspects bool
	// mayWait is set while a filler may still wait for a VM with less
	// interference, and therefore does not take every VM.
	mayWait                                  bool
	noTrial, overdue, shunsLate, beyondShare bool
	// lasting is set for long-running fillers beyond maxFillerShare; see vm.filled.
	lasting bool
	// takesLate means that the step shuns late VMs and may take one all the same.
	takesLate bool
}

// place assigns tasks that are ready to VMs with enough free resources, in the order in which the
// jobs are served. VMs that a judgement speaks against go first to the sound jobs that are overdue,
// the longest waiting first, and last to jobs that fail, whose runs tell little about a VM.
func (p *Planner) place(now time.Time) []Assignment {
	// A shape that finds no VM is not tried again in this tick, in which free
	// resources only shrink.
	clear(p.unplaceable)
	for _, v := range p.ordered {
		v.endProbation(now)
	}
	ready := p.readySteps(now)
	p.trackWaits(ready, now)
	p.order(ready, now)
	out := p.placeOverdue(ready, now)
	taken := len(out) > 0
	var last []readyStep
	for _, r := range ready {
		if taken && r.waitingTasks() == 0 {
			continue
		}
		if r.noTrial {
			last = append(last, r)
		}
		out = append(out, p.placeReady(r, now)...)
	}
	slices.SortStableFunc(last, compareWaits)
	for _, r := range last {
		if r.waitingTasks() > 0 {
			r.noTrial = false
			out = append(out, p.placeReady(r, now)...)
		}
	}
	return out
}

// placeOverdue assigns overdue tasks of jobs that do not fail, the longest waiting first, if only VMs
// that a judgement speaks against can take them.
func (p *Planner) placeOverdue(ready []readyStep, now time.Time) []Assignment {
	if !slices.ContainsFunc(p.ordered, func(v *vm) bool { return v.distrusted(now) }) {
		return nil
	}
	var first []readyStep
	for _, r := range ready {
		if r.wait.overdue && !r.noTrial {
			first = append(first, r)
		}
	}
	slices.SortStableFunc(first, compareWaits)
	var out []Assignment
	for _, r := range first {
		trusted := func(v *vm) bool {
			return !v.distrusted(now) && p.fact(v, p.vmPool(r.job), r) == "" && p.judge(v, r, now) == nil
		}
		if !slices.ContainsFunc(p.ordered, trusted) {
			out = append(out, p.placeTasks(r, now)...)
		}
	}
	return out
}

// placeReady assigns waiting tasks of a step. The fillers of other jobs must not keep a job
// waiting for longer than maxFillerWait: what maxFillerShare holds back is processors, which all
// fillers share anyway. From then on the job has one filler or gang beyond it at a time, until one
// of its tasks is placed within it. Each long-running filler goes beyond it once it is overdue by itself, whether others of
// its job run or not: maxFillerWait would leave too little of starvationTime for its start. Such fillers leave half of a VM's memory to others.
func (p *Planner) placeReady(ready readyStep, now time.Time) []Assignment {
	j := ready.job
	out := p.placeTasks(ready, now)
	step := ready.definition()
	switch {
	case step.Filler && step.Lasting:
		if ready.waitingTasks() > 0 && ready.wait.overdue {
			ready.beyondShare = true
			out = append(out, p.placeTasks(ready, now)...)
		}
	case len(out) > 0:
		j.beyondShare = false
	case step.Filler && j.idle() && (j.beyondShare || ready.wait.waited(now) >= maxFillerWait):
		j.beyondShare, ready.beyondShare = true, true
		out = p.placeTasks(ready, now)
	}
	return out
}

func (p *Planner) placeTasks(ready readyStep, now time.Time) []Assignment {
	if ready.definition().Gang {
		return p.placeGang(ready, now)
	}
	return p.placeStep(ready, now)
}

// shapeOf returns the shape of a step's tasks.
func (p *Planner) shapeOf(ready readyStep, now time.Time) shape {
	step := ready.definition()
	s := shape{
		pool: p.vmPool(ready.job), label: step.VMLabel, resources: step.Reservation(), filler: step.Filler, suspects: ready.hasSuspects(),
		noTrial: ready.noTrial, overdue: ready.wait.overdue, shunsLate: ready.shunsLate, beyondShare: ready.beyondShare,
		lasting:   ready.beyondShare && step.Lasting,
		takesLate: ready.shunsLate && ready.mayTakeLate(now),
	}
	if step.Filler {
		s.image, s.fillerCPU, s.mayWait = step.Image, step.CPU, !ready.beyondShare && !ready.wait.overdue && ready.job.fillersMayWait(ready.occurrence, now)
	}
	return s
}

// placeStep assigns waiting tasks of a step until one that avoids no VM finds none, since the
// step's other tasks request the same resources.
func (p *Planner) placeStep(ready readyStep, now time.Time) []Assignment {
	taskShape := p.shapeOf(ready, now)
	if p.unplaceable[taskShape] {
		p.recordUnplaced(ready, now)
		return nil
	}
	var out []Assignment
	r := p.rate(ready, taskShape, now)
	order := ready.order()
	for at := range ready.tasks() {
		index := at
		if order != nil {
			index = order[at]
		}
		t := &ready.tasks()[index]
		if t.Phase != Waiting || now.Before(t.retryAt) {
			continue
		}
		if taskShape.lasting && now.Sub(t.waitingSince) <= ready.wait.limit {
			continue
		}
		v := r.choose(t)
		if v == nil {
			p.noteUnplaced(ready, now)
			if t.Failures > 0 || t.suspect() {
				// The step's other tasks do not avoid the VM that this one avoids.
				continue
			}
			if ready.definition().MaxPerVM == 0 && !r.lastCall() {
				p.unplaceable[taskShape] = true
			}
			break
		}
		out = append(out, p.assign(v, ready.job, ready.taskID(index), t, t.Run+1, now))
		if ready.beyondShare && !taskShape.lasting {
			break
		}
		r.refresh(v)
	}
	return out
}

// placeGang assigns all members of a gang, or none. It assigns none unless all
// members are waiting. All members get the same run number and the same
// checkpoint. The checkpoint is that of a member that has one, or empty if none
// has.
func (p *Planner) placeGang(ready readyStep, now time.Time) []Assignment {
	tasks := ready.tasks()
	if ready.waitingTasks() < len(tasks) {
		return nil
	}
	run, checkpoint := int64(0), ""
	for _, t := range tasks {
		if now.Before(t.retryAt) {
			return nil
		}
		run = max(run, t.Run)
		if t.Checkpoint != "" {
			checkpoint = t.Checkpoint
		}
	}
	savedTasks, assignedAt := slices.Clone(tasks), ready.job.assignedAt
	var out []Assignment
	r := p.rate(ready, p.shapeOf(ready, now), now)
	for index := range tasks {
		t := &tasks[index]
		v := r.choose(t)
		if v == nil {
			p.noteUnplaced(ready, now)
			// Undo the assignments of the members placed so far.
			for _, a := range out {
				memberVM := p.vms[a.Incarnation]
				memberVM.removeRun(memberVM.runs[a.Order.Ref])
			}
			copy(tasks, savedTasks)
			ready.job.assignedAt = assignedAt
			ready.job.occurrences[ready.occurrence][ready.step] = newStepTasks(tasks)
			ready.job.workKnown = false
			return nil
		}
		t.Checkpoint = checkpoint
		out = append(out, p.assign(v, ready.job, ready.taskID(index), t, run+1, now))
		r.refresh(v)
	}
	return out
}

// assign places a run of a task on a VM. The assignment must be stored before the
// run may be started (see MarkStored).
func (p *Planner) assign(v *vm, j *Job, id plantainrail.TaskID, t *Task, run int64, now time.Time) Assignment {
	j.setPhase(id, Placed)
	j.assignedAt = now
	t.Run, t.Incarnation = run, v.Incarnation
	p.markChanged(j)
	v.addRun(j, id, t, false)
	placed := v.runs[plantainrail.RunRef{Task: id, Run: run}]
	placed.assignedAt, placed.orderedSince = now, now
	return Assignment{Incarnation: v.Incarnation, Order: placed.order()}
}

// rating holds the scores of all VMs for the tasks of one step. Assigning a task
// changes the score of its VM alone, so a step of many tasks rates each VM once and
// then only those that got a task.
type rating struct {
	planner *Planner
	ready   readyStep
	shape   shape
	now     time.Time
	// scores holds the score of each of Planner.ordered; unsuitable means that the VM
	// cannot take a task of the step.
	scores []float64
	// allDoubted means that the tasks are overdue and every VM that could take them, if it had the
	// room, has failed or refused runs.
	allDoubted bool
}

// unsuitable is the score of a VM that cannot take a task.
var unsuitable = math.Inf(-1)

// rate rates all VMs for the tasks of a step. At most one rating is used at a time.
func (p *Planner) rate(ready readyStep, s shape, now time.Time) *rating {
	p.scores = p.scores[:0]
	r := &rating{planner: p, ready: ready, shape: s, now: now}
	r.allDoubted = ready.wait.overdue && !slices.ContainsFunc(p.ordered, func(v *vm) bool {
		f := p.fact(v, s.pool, ready)
		return (f == "" || f == factResources) && !v.distrusted(now) && !(ready.shunsLate && v.late(now))
	})
	for _, v := range p.ordered {
		p.scores = append(p.scores, r.score(v))
	}
	r.scores = p.scores
	return r
}

// score returns the score of a VM. For a filler, interference with services lowers the
// score, and a VM with too much of it is left out while the job's fillers may wait.
func (r *rating) score(v *vm) float64 {
	p, step := r.planner, r.ready.definition()
	if p.fact(v, r.shape.pool, r.ready) != "" || p.clearedForOthers(v, r.ready) {
		return unsuitable
	}
	score := v.score(r.ready.job, step)
	if doubts := p.judge(v, r.ready, r.now); len(doubts) > 0 {
		if !r.mayIgnore(v, doubts) {
			return unsuitable
		}
		for _, doubt := range doubts {
			score -= distrustWeight * doubt.rank
		}
	}
	if v.late(r.now) {
		score -= lateWeight
	}
	if r.shape.suspects {
		score -= p.suspectPenalty(v, r.now)
	}
	if step.Filler {
		pressure := p.pressure(v, step, r.now)
		if pressure.harm > toleratedHarm && r.shape.mayWait {
			return unsuitable
		}
		score -= headroomWeight*pressure.headroom + harmWeight*pressure.harm
	}
	return score
}

// refresh rates a VM again.
func (r *rating) refresh(v *vm) {
	at, found := slices.BinarySearchFunc(r.planner.ordered, v.Incarnation, compareIncarnation)
	if found {
		r.scores[at] = r.score(v)
	}
}

// choose returns the VM with the highest score for a task, or nil if no VM can take it.
// Among equal VMs it returns the first in the order of their nodes' names.
func (r *rating) choose(t *Task) *vm {
	var best, avoided *vm
	bestScore := unsuitable
	for i, score := range r.scores {
		switch v := r.planner.ordered[i]; {
		case score == unsuitable:
		case t.avoids(v):
			avoided = v
		case score > bestScore:
			best, bestScore = v, score
		}
	}
	// A suspect only prefers other VMs, since no node is known to fail. A task that has failed
	// does not wait for long.
	if best == nil && avoided != nil && (t.Failures == 0 || r.ready.wait.failedOver(t, r.now) || !r.mayTakeLater(t)) {
		best = avoided
	}
	return best
}

// mayTakeLater reports whether a VM that the task does not avoid and that is large enough for it
// lacks nothing but room or headroom, or is paused for a short time, so that it is worth waiting
// for.
func (r *rating) mayTakeLater(t *Task) bool {
	return slices.ContainsFunc(r.planner.ordered, func(v *vm) bool {
		if t.avoids(v) || !r.ready.definition().Reservation().Fits(v.Capacity) || v.pausedUntil.Sub(r.now) >= patience {
			return false
		}
		f := r.planner.fact(v, r.shape.pool, r.ready)
		return f == "" || f == factResources
	})
}

// avoids reports whether a task that has failed, or under which a worker has crashed, avoids
// the VM, because its newest run was on the same node.
func (t *Task) avoids(v *vm) bool {
	return (t.Failures > 0 || t.suspect()) && v.Incarnation.Node == t.Incarnation.Node
}

// rackWeight is added to the score of a VM in the rack of the data. It ranks the
// VM above one with similar services or more free processors.
const rackWeight = 10

// distrustWeight is what the score of a VM is lowered by for each rank of a judgement that speaks
// against it. It exceeds the sum of the other parts of the score.
const distrustWeight = 200

// lateWeight is what the score of a VM is lowered by on which an order has expired. It exceeds the
// other parts of the score but distrustWeight.
const lateWeight = distrustWeight / 2

// score rates a VM for a task of a step without regard to interference: higher is
// better. It adds up rackWeight for a VM in the rack of the data, the affinity of
// a service with those on the VM, and the share of free processors, which is at
// most 1 and decides between VMs that are equal otherwise.
func (v *vm) score(j *Job, step *plantainrail.Step) float64 {
	score := float64(v.Capacity.Processors-v.reserved.Processors-v.fillerMillicores) / float64(max(v.Capacity.Processors, 1))
	if step.HasTailObjective() {
		score += v.affinity(j, step)
	}
	if step.DataRack != "" && v.inRack(step.DataRack) {
		score += rackWeight
	}
	return score
}

// vmPool returns the pool of VMs that runs a job: the one that the operators'
// configuration gives for the job's queue or, if the queue is no longer
// configured, the one that the job was accepted with.
func (p *Planner) vmPool(j *Job) string {
	if pool, configured := p.pools[j.Queue.Name]; configured {
		return pool
	}
	return j.Queue.Pool
}
