package planner

import (
	"slices"
	"time"

	"github.com/plantainrail/plantainrail"
)

const (
	// pauseFirst is the first pause of a VM whose worker refuses or fails what
	// it gets; it doubles with each further one up to pauseMost.
	pauseFirst = 500 * time.Millisecond
	pauseMost  = 8 * time.Second
	// fillMost is the share of a VM's processors that fillers may ask for in all.
	fillMost = 0.8
	// trialLasts is how long a run on trial may take to fail; a worker that fails
	// all it gets does so within a second.
	trialLasts = 3 * time.Second
	// suspectJobs is the number of different jobs that have to fail on a VM in
	// a row before it is paused: one alone may be the job's own fault.
	suspectJobs = 2
)

// placedRun is a run that was assigned to a VM and has not ended.
type placedRun struct {
	job       *Job
	id        plantainrail.TaskID
	task      *Task
	committed bool
	stopping  bool
	// since is when the run was assigned; zero when an earlier owner did.
	since time.Time
	// tail is the newest tail latency of a service, in milliseconds.
	tail int
}

func (r *placedRun) step() plantainrail.Step { return r.job.Steps[r.id.Step] }

func (r *placedRun) ref() plantainrail.RunRef {
	return plantainrail.RunRef{Task: r.id, Run: r.task.Run}
}

func (r *placedRun) order() plantainrail.RunOrder {
	step := r.step()
	order := plantainrail.RunOrder{
		Ref: r.ref(), Spec: r.job.Spec, Saved: r.task.Saved, Filler: step.Filler, TailTarget: step.TailTarget,
	}
	if step.Filler {
		order.Image = step.Image
	}
	return order
}

// vm is one life of a VM's worker.
type vm struct {
	plantainrail.VM
	// known is set while the worker's agent is connected.
	known   bool
	renewed time.Time
	runs    map[plantainrail.RunRef]*placedRun
	used    plantainrail.Resources
	// fillers is what the filler tasks would use, in thousandths of a core.
	fillers int
	// seen is the number of the newest end that was taken in.
	seen int64
	// suspects are the jobs that failed here since the last good end.
	suspects map[string]bool
	// pausedUntil keeps new tasks away; trial lets one at a time in after it.
	pausedUntil time.Time
	pauses      int
	trial       bool
	trialSince  time.Time
	// pressed are the services here and what pressed on them at pressedAt; nil
	// when that has to be found out anew.
	pressed   []pressed
	pressedAt time.Time
}

func newVM(told plantainrail.VM, renewed time.Time) *vm {
	return &vm{VM: told, renewed: renewed, runs: map[plantainrail.RunRef]*placedRun{}, suspects: map[string]bool{}}
}

func (v *vm) hold(j *Job, id plantainrail.TaskID, t *Task, committed bool) {
	run := &placedRun{job: j, id: id, task: t, committed: committed}
	v.pressed = nil
	step := run.step()
	v.runs[run.ref()] = run
	v.used = v.used.Plus(step.Room())
	if step.Filler {
		v.fillers += step.CPU
	}
}

func (v *vm) release(run *placedRun) {
	if run == nil || v.runs[run.ref()] != run {
		return
	}
	step := run.step()
	delete(v.runs, run.ref())
	v.pressed = nil
	v.used = v.used.Minus(step.Room())
	if step.Filler {
		v.fillers -= step.CPU
	}
}

// judge learns from the end of a run whether the VM fails what it gets.
func (v *vm) judge(job string, how plantainrail.EndKind, now time.Time) {
	switch how {
	case plantainrail.EndDone:
		clear(v.suspects)
		v.pauses, v.trial = 0, false
	case plantainrail.EndFailed:
		v.suspects[job] = true
		if len(v.suspects) >= suspectJobs || v.trial {
			v.trial, v.trialSince = true, now
			v.rest(now)
		}
	}
}

// pause keeps new tasks away for a while after a refusal.
func (v *vm) pause(reason plantainrail.RefusalReason, now time.Time) {
	switch reason {
	case plantainrail.RefusedUnhealthy, plantainrail.RefusedSilent, plantainrail.RefusedRoom:
		v.rest(now)
	}
}

func (v *vm) rest(now time.Time) {
	if now.Before(v.pausedUntil) {
		return
	}
	v.pausedUntil = now.Add(min(pauseFirst<<v.pauses, pauseMost))
	v.pauses = min(v.pauses+1, 5)
}

// Obstacle is why a VM does not get a task.
type Obstacle string

// Obstacles; none is the empty one.
const (
	obstacleLost     Obstacle = "lost"
	obstacleDraining Obstacle = "draining"
	obstacleService  Obstacle = "service"
	obstaclePaused   Obstacle = "paused"
	obstacleTrial    Obstacle = "trial"
	obstacleLabel    Obstacle = "label"
	obstacleZone     Obstacle = "zone"
	obstacleSpread   Obstacle = "spread"
	obstacleFailed   Obstacle = "failed"
	obstacleStrained Obstacle = "strained"
	obstacleRoom     Obstacle = "room"
	obstacleFilled   Obstacle = "filled"
	obstacleHarm     Obstacle = "harm"
)

// obstacle tells why the VM may not get a task of the step at the instant.
func (v *vm) obstacle(service string, step plantainrail.Step, now time.Time) Obstacle {
	switch {
	case !v.known:
		return obstacleLost
	case v.Draining:
		return obstacleDraining
	case v.Service != service:
		return obstacleService
	case now.Before(v.pausedUntil):
		return obstaclePaused
	case v.trial && v.tried(now):
		return obstacleTrial
	case step.Label != "" && !slices.Contains(v.Labels, step.Label):
		return obstacleLabel
	case step.Filler && v.Strained:
		return obstacleStrained
	case !step.Room().Fits(v.Room.Minus(v.used)):
		return obstacleRoom
	case step.Filler && v.fillers > 0 && v.fillers+step.CPU > int(float64(v.Room.Processors)*fillMost):
		return obstacleFilled
	}
	return ""
}

// tried tells whether a run is under way that was begun on trial and may still
// fail as those before it.
func (v *vm) tried(now time.Time) bool {
	for _, run := range v.runs {
		if run.since.After(v.trialSince) && now.Sub(run.since) < trialLasts {
			return true
		}
	}
	return false
}

// ofStep counts the runs of an occurrence's step.
func (v *vm) ofStep(id plantainrail.TaskID) int {
	n := 0
	for ref := range v.runs {
		if ref.Task.Job == id.Job && ref.Task.Occurrence == id.Occurrence && ref.Task.Step == id.Step {
			n++
		}
	}
	return n
}

// inRack tells whether the VM stands in a rack; racks are labels.
func (v *vm) inRack(rack string) bool { return slices.Contains(v.Labels, rack) }
