package planner

import (
	"slices"
	"time"

	"github.com/plantainrail/plantainrail"
)

const (
	// initialPause is the first pause of a VM whose worker rejects or fails its
	// runs. It doubles with each further pause up to maxPause.
	initialPause = 500 * time.Millisecond
	maxPause     = 8 * time.Second
	// maxFillerShare is the share of a VM's processors that all its fillers
	// together may request.
	maxFillerShare = 0.8
	// probationRunTime is how long a run on probation may take to fail; a
	// worker that fails every run does so within a second.
	probationRunTime = 3 * time.Second
	// failedJobsToPause is the number of different jobs that must fail on a VM
	// in a row before it is paused. A single failing job may be at fault
	// itself.
	failedJobsToPause = 2
)

// placedRun is a run that was assigned to a VM and has not ended.
type placedRun struct {
	job      *Job
	id       plantainrail.TaskID
	task     *Task
	stored   bool
	stopping bool
	// assignedAt is when the run was assigned; zero if an earlier owner did so.
	assignedAt time.Time
	// tail is the latest tail latency of a service, in milliseconds.
	tail int
}

func (r *placedRun) step() plantainrail.Step { return r.job.Steps[r.id.Step] }

func (r *placedRun) ref() plantainrail.RunRef {
	return plantainrail.RunRef{Task: r.id, Run: r.task.Run}
}

func (r *placedRun) order() plantainrail.RunOrder {
	step := r.step()
	order := plantainrail.RunOrder{
		Ref: r.ref(), Spec: r.job.Spec, Checkpoint: r.task.Checkpoint, Filler: step.Filler, TailTarget: step.TailTarget,
	}
	if step.Filler {
		order.Image = step.Image
	}
	return order
}

// vm is one incarnation of a VM's worker.
type vm struct {
	plantainrail.VM
	// connected is set while the worker's agent has a session.
	connected bool
	renewedAt time.Time
	runs      map[plantainrail.RunRef]*placedRun
	reserved  plantainrail.Resources
	// fillerMillicores is the sum of the processors that fillers request; it is
	// not part of reserved.
	fillerMillicores int
	// lastEnd is the number of the newest end of a run that was applied.
	lastEnd int64
	// failedJobs are the jobs that failed here since the last successful run.
	failedJobs map[string]bool
	// pausedUntil is when the VM may get tasks again. While it is on probation
	// it then gets one run at a time.
	pausedUntil    time.Time
	pauses         int
	probation      bool
	probationSince time.Time
	// headrooms caches the headroom of each service as computed at headroomsAt;
	// nil if it has to be computed again.
	headrooms   []serviceHeadroom
	headroomsAt time.Time
}

func newVM(reported plantainrail.VM, renewedAt time.Time) *vm {
	return &vm{VM: reported, renewedAt: renewedAt, runs: map[plantainrail.RunRef]*placedRun{}, failedJobs: map[string]bool{}}
}

func (v *vm) addRun(j *Job, id plantainrail.TaskID, t *Task, stored bool) {
	run := &placedRun{job: j, id: id, task: t, stored: stored}
	v.headrooms = nil
	step := run.step()
	v.runs[run.ref()] = run
	v.reserved = v.reserved.Add(step.Reservation())
	if step.Filler {
		v.fillerMillicores += step.CPU
	}
}

func (v *vm) removeRun(run *placedRun) {
	if run == nil || v.runs[run.ref()] != run {
		return
	}
	step := run.step()
	delete(v.runs, run.ref())
	v.headrooms = nil
	v.reserved = v.reserved.Sub(step.Reservation())
	if step.Filler {
		v.fillerMillicores -= step.CPU
	}
}

// recordOutcome updates the failures of the VM after a run has ended. Too many
// failed jobs in a row pause the VM and put it on probation, which ends with
// the first successful run.
func (v *vm) recordOutcome(job string, kind plantainrail.RunOutcome, now time.Time) {
	switch kind {
	case plantainrail.RunDone:
		clear(v.failedJobs)
		v.pauses, v.probation = 0, false
	case plantainrail.RunFailed:
		v.failedJobs[job] = true
		if len(v.failedJobs) >= failedJobsToPause || v.probation {
			v.probation, v.probationSince = true, now
			v.startPause(now)
		}
	}
}

// pauseAfterRefusal pauses the VM if the reason of a rejected run concerns the
// VM itself.
func (v *vm) pauseAfterRefusal(reason plantainrail.RefusalReason, now time.Time) {
	switch reason {
	case plantainrail.RefusedUnhealthy, plantainrail.RefusedNoResponse, plantainrail.RefusedCapacity:
		v.startPause(now)
	}
}

func (v *vm) startPause(now time.Time) {
	if now.Before(v.pausedUntil) {
		return
	}
	v.pausedUntil = now.Add(min(initialPause<<v.pauses, maxPause))
	v.pauses = min(v.pauses+1, 5)
}

// Obstacle is the reason why a VM cannot take a task.
type Obstacle string

// Values of Obstacle, as they appear in the log. The empty one means that the
// VM can take the task.
const (
	// The agent of the VM has no session.
	obstacleDisconnected Obstacle = "lost"
	obstacleDraining     Obstacle = "draining"
	// The VM belongs to another pool.
	obstaclePool Obstacle = "service"
	// The VM is paused after rejected or failed runs.
	obstaclePaused Obstacle = "paused"
	// The VM is on probation and has a recent run already.
	obstacleProbation Obstacle = "trial"
	obstacleLabel     Obstacle = "label"
	// The operators have taken the availability zone out.
	obstacleZone Obstacle = "zone"
	// The VM holds as many tasks of the step as it may.
	obstaclePerVM Obstacle = "spread"
	// The last run of the task was on this VM, and the task has failed before.
	obstacleFailed Obstacle = "failed"
	// Fillers are paused on the VM to protect its services.
	obstacleThrottled Obstacle = "strained"
	// Too few resources are free.
	obstacleResources Obstacle = "room"
	// The fillers on the VM request too many processors.
	obstacleFillers Obstacle = "filled"
	// A filler would interfere too much with services on the VM.
	obstacleInterference Obstacle = "harm"
)

// obstacleTo returns why the VM cannot take a task of the step now, or an empty
// Obstacle.
func (v *vm) obstacleTo(pool string, step plantainrail.Step, now time.Time) Obstacle {
	switch {
	case !v.connected:
		return obstacleDisconnected
	case v.Draining:
		return obstacleDraining
	case v.Service != pool:
		return obstaclePool
	case now.Before(v.pausedUntil):
		return obstaclePaused
	case v.probation && v.probationRunActive(now):
		return obstacleProbation
	case step.VMLabel != "" && !slices.Contains(v.Labels, step.VMLabel):
		return obstacleLabel
	case step.Filler && v.FillersPaused:
		return obstacleThrottled
	case !step.Reservation().Fits(v.Capacity.Sub(v.reserved)):
		return obstacleResources
	case step.Filler && v.fillerMillicores > 0 && v.fillerMillicores+step.CPU > int(float64(v.Capacity.Processors)*maxFillerShare):
		return obstacleFillers
	}
	return ""
}

// probationRunActive reports whether a run that started during the probation is
// still running and recent enough to fail like those before it.
func (v *vm) probationRunActive(now time.Time) bool {
	for _, run := range v.runs {
		if run.assignedAt.After(v.probationSince) && now.Sub(run.assignedAt) < probationRunTime {
			return true
		}
	}
	return false
}

// runsOfStep returns the number of the VM's runs for the task's step and
// occurrence.
func (v *vm) runsOfStep(id plantainrail.TaskID) int {
	n := 0
	for ref := range v.runs {
		if ref.Task.Job == id.Job && ref.Task.Occurrence == id.Occurrence && ref.Task.Step == id.Step {
			n++
		}
	}
	return n
}

// inRack reports whether the VM is in a rack; racks are labels.
func (v *vm) inRack(rack string) bool { return slices.Contains(v.Labels, rack) }
