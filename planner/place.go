package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainrail/plantainrail"
)

// candidate is a step of a job with tasks whose turn has come.
type candidate struct {
	job        *Job
	occurrence int
	step       int
	tasks      []int
}

// shape is what decides whether a VM takes a task that has neither failed nor a
// bound for each VM.
type shape struct {
	service, label string
	room           plantainrail.Resources
	filler         bool
	// image counts for fillers, which press on services by their image.
	image string
	// waits is set while a filler waits for a VM whose services bear it.
	waits bool
}

// place assigns tasks whose turn has come to VMs with room. Room only shrinks
// meanwhile, so a shape that found none is not looked for again.
func (p *Planner) place(now time.Time) []Assignment {
	var out []Assignment
	clear(p.full)
	for _, c := range p.candidates(now) {
		if c.job.Steps[c.step].Gang {
			out = append(out, p.placeGang(c, now)...)
			continue
		}
		for _, index := range c.tasks {
			a, ok := p.placeTask(c, index, now)
			if !ok {
				p.wait(c, now)
				break
			}
			out = append(out, a)
		}
	}
	return out
}

// candidates lists the steps with waiting tasks in the order in which they are
// served: by priority, then by arrival.
func (p *Planner) candidates(now time.Time) []candidate {
	var out []candidate
	for _, j := range p.active {
		if j.State.Final() || j.CancelAsked {
			continue
		}
		for k := range j.Occurrences() {
			if due := j.Due(k); due.After(now) {
				break
			}
			o := j.begin(k)
			for s := range o {
				c := candidate{job: j, occurrence: k, step: s, tasks: waiting(o[s])}
				if len(c.tasks) > 0 && j.ready(o, s) {
					out = append(out, c)
				}
			}
		}
	}
	slices.SortFunc(out, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.job.Queue.Priority, b.job.Queue.Priority), cmp.Compare(a.job.order, b.job.order),
			cmp.Compare(a.occurrence, b.occurrence), cmp.Compare(a.step, b.step),
		)
	})
	return out
}

func waiting(tasks []Task) []int {
	var out []int
	for i := range tasks {
		if tasks[i].Phase == Waiting {
			out = append(out, i)
		}
	}
	return out
}

func (p *Planner) placeTask(c candidate, index int, now time.Time) (Assignment, bool) {
	id := plantainrail.TaskID{Job: c.job.ID, Occurrence: c.occurrence, Step: c.step, Index: index}
	t := c.job.task(id)
	step := c.job.Steps[c.step]
	want := shape{service: p.service(c.job), label: step.Label, room: step.Room(), filler: step.Filler}
	if step.Filler {
		want.image, want.waits = step.Image, c.job.mayWait(now)
	}
	if p.full[want] {
		if want.waits {
			c.job.hold(true, now)
		}
		return Assignment{}, false
	}
	v := p.choose(c, id, t, now)
	if v == nil {
		if step.PerVM == 0 && t.Failures == 0 {
			p.full[want] = true
		}
		return Assignment{}, false
	}
	return p.assign(v, c.job, id, t, t.Run+1, now), true
}

// placeGang assigns all members of a gang, or none.
func (p *Planner) placeGang(c candidate, now time.Time) []Assignment {
	tasks := c.job.occurrences[c.occurrence][c.step]
	if len(c.tasks) < len(tasks) {
		return nil
	}
	run, saved := int64(0), ""
	for _, t := range tasks {
		run = max(run, t.Run)
		if t.Saved != "" {
			saved = t.Saved
		}
	}
	started := c.job.Started
	before := slices.Clone(tasks)
	var out []Assignment
	for _, index := range c.tasks {
		id := plantainrail.TaskID{Job: c.job.ID, Occurrence: c.occurrence, Step: c.step, Index: index}
		t := c.job.task(id)
		v := p.choose(c, id, t, now)
		if v == nil {
			p.wait(c, now)
			for _, a := range out {
				placed := p.vms[a.Life]
				placed.release(placed.runs[a.Order.Ref])
			}
			copy(tasks, before)
			c.job.Started = started
			return nil
		}
		t.Saved = saved
		out = append(out, p.assign(v, c.job, id, t, run+1, now))
	}
	return out
}

func (p *Planner) assign(v *vm, j *Job, id plantainrail.TaskID, t *Task, run int64, now time.Time) Assignment {
	t.Phase, t.Run, t.Life = Placed, run, v.Life
	j.Started = true
	p.touch(j)
	v.hold(j, id, t, false)
	v.runs[plantainrail.RunRef{Task: id, Run: run}].since = now
	return Assignment{Life: v.Life, Order: v.runs[plantainrail.RunRef{Task: id, Run: run}].order()}
}

// choose returns the VM for a task, or nil while there is none: among those
// with room, the one near the data or with services alike, then the emptiest. A
// filler goes where it harms services least.
func (p *Planner) choose(c candidate, id plantainrail.TaskID, t *Task, now time.Time) *vm {
	step := c.job.Steps[c.step]
	service := p.service(c.job)
	waits := step.Filler && c.job.mayWait(now)
	var best *vm
	var bestScore float64
	for _, v := range p.vms {
		if p.obstacle(v, service, step, id, t, now) != "" {
			continue
		}
		score := v.score(c.job, step)
		if step.Filler {
			harm := p.harm(v, step, now)
			if harm > harmBorne && waits {
				continue
			}
			score -= harmWeight * harm
		}
		if best == nil || score > bestScore || score == bestScore && v.Life.Node < best.Life.Node {
			best, bestScore = v, score
		}
	}
	if waits {
		c.job.hold(best == nil, now)
	}
	return best
}

// obstacle tells why a VM does not get a task.
func (p *Planner) obstacle(v *vm, service string, step plantainrail.Step, id plantainrail.TaskID, t *Task, now time.Time) Obstacle {
	switch o := v.obstacle(service, step, now); {
	case o != "":
		return o
	case p.settlement.Out[v.Zone]:
		return obstacleZone
	case step.PerVM > 0 && v.ofStep(id) >= step.PerVM:
		return obstacleSpread
	case t.Failures > 0 && v.Life.Node == t.Life.Node && len(p.vms) > 1:
		return obstacleFailed
	}
	return ""
}

// waitNoteEvery is how often a step that waits for room is told of.
const waitNoteEvery = 2 * time.Second

// Wait is a step whose next task finds no VM.
type Wait struct {
	Job        string
	Occurrence int
	Step       int
	Tasks      int
	// Obstacles counts the VMs by why they do not get the task.
	Obstacles map[Obstacle]int
}

// wait notes why the next task of a candidate finds no VM.
func (p *Planner) wait(c candidate, now time.Time) {
	if now.Sub(c.job.notedAt) < waitNoteEvery {
		return
	}
	c.job.notedAt = now
	id := plantainrail.TaskID{Job: c.job.ID, Occurrence: c.occurrence, Step: c.step, Index: c.tasks[0]}
	w := Wait{Job: c.job.ID, Occurrence: c.occurrence, Step: c.step, Tasks: len(c.tasks), Obstacles: map[Obstacle]int{}}
	for _, v := range p.vms {
		o := p.obstacle(v, p.service(c.job), c.job.Steps[c.step], id, c.job.task(id), now)
		if o == "" && c.job.Steps[c.step].Filler {
			// Only what it would do to services keeps a filler off such a VM.
			o = obstacleHarm
		}
		if o != "" {
			w.Obstacles[o]++
		}
	}
	p.waits = append(p.waits, w)
}

// nearWeight puts a VM near the data before any that is only emptier.
const nearWeight = 10

// score rates a VM for a task of a step: higher is better.
func (v *vm) score(j *Job, step plantainrail.Step) float64 {
	free := float64(v.Room.Processors-v.used.Processors-v.fillers) / float64(max(v.Room.Processors, 1))
	if step.Serves() {
		free += v.kinship(j, step)
	}
	if step.Rack != "" && v.inRack(step.Rack) {
		free += nearWeight
	}
	return free
}

// service returns the pool of VMs that runs a job now: the one of its queue in
// force, or the one that it was accepted with.
func (p *Planner) service(j *Job) string {
	for _, q := range p.settlement.Queues {
		if q.Name == j.Queue.Name {
			return q.Service
		}
	}
	return j.Queue.Service
}
