package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainrail/plantainrail"
)

// readyStep is a step of a job's occurrence with tasks that are ready to be placed.
type readyStep struct {
	job        *Job
	occurrence int
	step       int
	// tasks holds the indexes of the tasks that waited when the tick began.
	tasks []int
}

// shape holds all properties of a task that decide whether a VM can take it,
// provided that the task has not failed before and its step has no MaxPerVM. If
// no VM takes a task of a shape, none takes another one of the same shape.
type shape struct {
	pool, label string
	resources   plantainrail.Resources
	filler      bool
	// image is set for fillers only, since their interference depends on it.
	image string
	// mayWait is set while a filler may still wait for a VM with less
	// interference, and therefore does not take every VM.
	mayWait bool
}

// place assigns tasks that are ready to VMs with enough free resources. It goes
// on with the next step once a task of a step finds no VM, since the step's other
// tasks request the same resources.
func (p *Planner) place(now time.Time) []Assignment {
	var out []Assignment
	// A shape that finds no VM is not tried again in this tick, in which free
	// resources only shrink.
	clear(p.unplaceable)
	for _, ready := range p.readySteps(now) {
		if ready.job.Steps[ready.step].Gang {
			out = append(out, p.placeGang(ready, now)...)
			continue
		}
		for _, index := range ready.tasks {
			a, ok := p.placeTask(ready, index, now)
			if !ok {
				p.recordUnplaced(ready, now)
				break
			}
			out = append(out, a)
		}
	}
	return out
}

// readySteps lists the steps that have waiting tasks, belong to an occurrence that is
// due, and depend on no unfinished step. Jobs that are final or to be cancelled are left
// out. The list is in the order in which the steps are served: by priority of the queue,
// then by arrival of the job, occurrence and step.
func (p *Planner) readySteps(now time.Time) []readyStep {
	var out []readyStep
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
				ready := readyStep{job: j, occurrence: k, step: s, tasks: waitingTasks(o[s])}
				if len(ready.tasks) > 0 && j.dependenciesDone(o, s) {
					out = append(out, ready)
				}
			}
		}
	}
	slices.SortFunc(out, func(a, b readyStep) int {
		return cmp.Or(
			cmp.Compare(a.job.Queue.Priority, b.job.Queue.Priority), cmp.Compare(a.job.arrival, b.job.arrival),
			cmp.Compare(a.occurrence, b.occurrence), cmp.Compare(a.step, b.step),
		)
	})
	return out
}

// waitingTasks returns the indexes of the tasks that are waiting.
func waitingTasks(tasks []Task) []int {
	var out []int
	for i := range tasks {
		if tasks[i].Phase == Waiting {
			out = append(out, i)
		}
	}
	return out
}

// placeTask assigns one task of a ready step. It returns false if no VM can take
// the task now.
func (p *Planner) placeTask(ready readyStep, index int, now time.Time) (Assignment, bool) {
	id := plantainrail.TaskID{Job: ready.job.ID, Occurrence: ready.occurrence, Step: ready.step, Index: index}
	t := ready.job.task(id)
	step := ready.job.Steps[ready.step]
	taskShape := shape{pool: p.vmPool(ready.job), label: step.VMLabel, resources: step.Reservation(), filler: step.Filler}
	if step.Filler {
		taskShape.image, taskShape.mayWait = step.Image, ready.job.fillersMayWait(now)
	}
	if p.unplaceable[taskShape] {
		if taskShape.mayWait {
			// The job's fillers wait; chooseVM, which usually records this, is
			// not called.
			ready.job.trackFillerWait(true, now)
		}
		return Assignment{}, false
	}
	v := p.chooseVM(ready, id, t, now)
	if v == nil {
		if step.MaxPerVM == 0 && t.Failures == 0 {
			p.unplaceable[taskShape] = true
		}
		return Assignment{}, false
	}
	return p.assign(v, ready.job, id, t, t.Run+1, now), true
}

// placeGang assigns all members of a gang, or none. It assigns none unless all
// members are waiting. All members get the same run number and the same
// checkpoint. The checkpoint is that of a member that has one, or empty if none
// has.
func (p *Planner) placeGang(ready readyStep, now time.Time) []Assignment {
	tasks := ready.job.occurrences[ready.occurrence][ready.step]
	if len(ready.tasks) < len(tasks) {
		return nil
	}
	run, checkpoint := int64(0), ""
	for _, t := range tasks {
		run = max(run, t.Run)
		if t.Checkpoint != "" {
			checkpoint = t.Checkpoint
		}
	}
	started := ready.job.Started
	savedTasks := slices.Clone(tasks)
	var out []Assignment
	for _, index := range ready.tasks {
		id := plantainrail.TaskID{Job: ready.job.ID, Occurrence: ready.occurrence, Step: ready.step, Index: index}
		t := ready.job.task(id)
		v := p.chooseVM(ready, id, t, now)
		if v == nil {
			p.recordUnplaced(ready, now)
			// Undo the assignments of the members placed so far.
			for _, a := range out {
				memberVM := p.vms[a.Incarnation]
				memberVM.removeRun(memberVM.runs[a.Order.Ref])
			}
			copy(tasks, savedTasks)
			ready.job.Started = started
			return nil
		}
		t.Checkpoint = checkpoint
		out = append(out, p.assign(v, ready.job, id, t, run+1, now))
	}
	return out
}

// assign places a run of a task on a VM. The assignment must be stored before the
// run may be started (see MarkStored).
func (p *Planner) assign(v *vm, j *Job, id plantainrail.TaskID, t *Task, run int64, now time.Time) Assignment {
	t.Phase, t.Run, t.Incarnation = Placed, run, v.Incarnation
	j.Started = true
	p.markChanged(j)
	v.addRun(j, id, t, false)
	v.runs[plantainrail.RunRef{Task: id, Run: run}].assignedAt = now
	return Assignment{Incarnation: v.Incarnation, Order: v.runs[plantainrail.RunRef{Task: id, Run: run}].order()}
}

// chooseVM returns the VM for a task, or nil if there is none. Among the VMs that
// can take the task it returns the one with the highest score, and among equal
// ones the one whose node's name sorts first. For a filler, interference with
// services lowers the score, and a VM with too much of it is left out while the
// job's fillers may wait. chooseVM then also records whether they wait.
func (p *Planner) chooseVM(ready readyStep, id plantainrail.TaskID, t *Task, now time.Time) *vm {
	step := ready.job.Steps[ready.step]
	pool := p.vmPool(ready.job)
	mayWait := step.Filler && ready.job.fillersMayWait(now)
	var best *vm
	var bestScore float64
	for _, v := range p.vms {
		if p.taskObstacle(v, pool, step, id, t, now) != "" {
			continue
		}
		score := v.score(ready.job, step)
		if step.Filler {
			interference := p.interference(v, step, now)
			if interference > maxInterference && mayWait {
				continue
			}
			score -= interferenceWeight * interference
		}
		if best == nil || score > bestScore || score == bestScore && v.Incarnation.Node < best.Incarnation.Node {
			best, bestScore = v, score
		}
	}
	if mayWait {
		ready.job.trackFillerWait(best == nil, now)
	}
	return best
}

// taskObstacle returns why the VM cannot take the task, or an empty Obstacle. It
// does not consider interference.
func (p *Planner) taskObstacle(v *vm, pool string, step plantainrail.Step, id plantainrail.TaskID, t *Task, now time.Time) Obstacle {
	switch o := v.stepObstacle(pool, step, now); {
	case o != "":
		return o
	case p.config.Out[v.Zone]:
		return obstacleZone
	case step.MaxPerVM > 0 && v.runsOfStep(id) >= step.MaxPerVM:
		return obstaclePerVM
	case t.Failures > 0 && v.Incarnation.Node == t.Incarnation.Node && len(p.vms) > 1:
		return obstacleFailed
	}
	return ""
}

// unplacedReportInterval is the minimum time between two items of a job in
// Plan.Unplaced.
const unplacedReportInterval = 2 * time.Second

// UnplacedStep describes a step with a task that cannot be placed on any VM.
type UnplacedStep struct {
	Job        string
	Occurrence int
	Step       int
	// Tasks is the number of the step's tasks that waited when the tick began.
	Tasks int
	// Obstacles counts the VMs by the reason why they cannot take the first of these
	// tasks.
	Obstacles map[Obstacle]int
}

// recordUnplaced records that a task of a ready step cannot be placed on any VM, unless a
// step of the job was recorded less than unplacedReportInterval ago. The recorded obstacles
// are always those of the step's first ready task, even if a later task is the one without
// a VM. The first task may have been placed already in this tick; then the obstacles are
// computed as if it had to be placed once more.
func (p *Planner) recordUnplaced(ready readyStep, now time.Time) {
	if now.Sub(ready.job.unplacedReportedAt) < unplacedReportInterval {
		return
	}
	ready.job.unplacedReportedAt = now
	id := plantainrail.TaskID{Job: ready.job.ID, Occurrence: ready.occurrence, Step: ready.step, Index: ready.tasks[0]}
	unplaced := UnplacedStep{Job: ready.job.ID, Occurrence: ready.occurrence, Step: ready.step, Tasks: len(ready.tasks), Obstacles: map[Obstacle]int{}}
	for _, v := range p.vms {
		o := p.taskObstacle(v, p.vmPool(ready.job), ready.job.Steps[ready.step], id, ready.job.task(id), now)
		if o == "" && ready.job.Steps[ready.step].Filler {
			// Without another obstacle, only interference with services keeps a
			// filler off a VM.
			o = obstacleInterference
		}
		if o != "" {
			unplaced.Obstacles[o]++
		}
	}
	p.unplaced = append(p.unplaced, unplaced)
}

// rackWeight is added to the score of a VM in the rack of the data. It ranks the
// VM above one with similar services or more free processors.
const rackWeight = 10

// score rates a VM for a task of a step without regard to interference: higher is
// better. It adds up rackWeight for a VM in the rack of the data, the affinity of
// a service with those on the VM, and the share of free processors, which is at
// most 1 and decides between VMs that are equal otherwise.
func (v *vm) score(j *Job, step plantainrail.Step) float64 {
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
	for _, q := range p.config.Queues {
		if q.Name == j.Queue.Name {
			return q.Pool
		}
	}
	return j.Queue.Pool
}
