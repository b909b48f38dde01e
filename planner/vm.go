package planner

import (
	"slices"
	"time"

	"github.com/plantainrail/plantainrail"
)

const (
	// initialPause is the first pause of a VM whose worker refuses or fails its
	// runs. It doubles with each further pause up to maxPause.
	initialPause = 500 * time.Millisecond
	maxPause     = 8 * time.Second
	// minSpacing is how long a VM gets no tasks at all, not even overdue ones, after its worker has
	// failed or refused a run.
	minSpacing = 500 * time.Millisecond
	// minDoubtedSpacing is the same after a failed run where nothing better is left.
	minDoubtedSpacing = 100 * time.Millisecond
	// roomPause is how long a VM gets no tasks after its worker has refused one for want of
	// room. It is the interval of the heartbeats, which show the worker's capacity.
	roomPause = 1500 * time.Millisecond
	// heldTime is how long an agent may keep a start.
	heldTime = 1500 * time.Millisecond
	// unansweredTime is the time from which a refusal for want of an answer came late.
	unansweredTime = time.Second
	// latePause is how long other VMs are preferred after an order has expired. It exceeds heldTime.
	latePause = 4 * time.Second
	// maxFillerShare bounds the share of a VM's processors that all its fillers
	// together request.
	maxFillerShare = 0.8
	// maxOverdueShare bounds the same where fillers of jobs that have waited for too long go
	// beyond maxFillerShare, so that each still runs at a fair part of its speed.
	maxOverdueShare = 4
	// maxProofTime is how long a run that was assigned on probation must have run to count as proven.
	// For overdue tasks proofFactor times the age at which runs have failed there is enough, but at
	// least minProofTime.
	minProofTime = 250 * time.Millisecond
	maxProofTime = 1500 * time.Millisecond
	proofFactor  = 2
	// doubtedSlots is how many runs of overdue tasks such a VM gets at a time on probation.
	doubtedSlots = 2
	// maxTrialDoublings keeps a shift from overflowing.
	maxTrialDoublings = 10
	// trustRunTime is how long such a run must have run to end the probation. Most workers that
	// fail every run do so within it.
	trustRunTime = 3 * time.Second
	// failedJobsToPause is the number of different jobs that must fail on a VM
	// in a row before it is paused. A single failing job may be at fault
	// itself.
	failedJobsToPause = 2
)

// placedRun is a run that was assigned to a VM and has not ended.
type placedRun struct {
	job  *Job
	id   plantainrail.TaskID
	task *Task
	// stored is set once the assignment is in the store; only then may the
	// worker be ordered to start the run.
	stored bool
	// stopping is set once a stop was ordered.
	stopping bool
	// assignedAt is when the run was assigned; zero if an earlier owner did so.
	assignedAt time.Time
	// orderedSince is when the run could first be ordered: when its assignment was
	// stored or this owner took it over.
	orderedSince time.Time
	// begunAt is when the worker was first known to run it; zero before that.
	begunAt time.Time
	// slowed is by how many percent the run is ordered to work slower.
	slowed int
	// slowedSince is since when it works below slowedShare; zero if it does not.
	slowedSince time.Time
	// tailAt is when the tail latency was measured, and recentTail the one since the measurement before,
	// of which tailLatency is a moving average. tailNoise is its relative error.
	tailAt                time.Time
	recentTail, tailNoise float64
	// savedAt is when its newest checkpoint was reported; zero before that.
	savedAt time.Time
	// tailLatency is the latest tail latency of a service, in milliseconds.
	tailLatency int
}

// step returns the run's step, which must not be changed.
func (r *placedRun) step() *plantainrail.Step { return &r.job.Steps[r.id.Step] }

func (r *placedRun) ref() plantainrail.RunRef {
	return plantainrail.RunRef{Task: r.id, Run: r.task.Run}
}

// hasRunFor reports whether the worker is known to have run it for the given time.
func (r *placedRun) hasRunFor(d time.Duration, now time.Time) bool {
	return !r.begunAt.IsZero() && now.Sub(r.begunAt) >= d
}

func (r *placedRun) order() plantainrail.RunOrder {
	step := r.step()
	order := plantainrail.RunOrder{
		Ref: r.ref(), Spec: r.job.Spec, Checkpoint: r.task.Checkpoint, Filler: step.Filler, TailObjective: step.TailObjective,
		Alone: r.task.suspect(), Isolated: r.task.Crashes >= maxCrashes-1, Reservation: step.Reservation(),
	}
	if step.Filler {
		order.Image = step.Image
	}
	return order
}

// vm is a VM as described by one incarnation of its worker.
type vm struct {
	plantainrail.VM
	// connected is set while the worker's agent has a session.
	connected bool
	// connectedAt is when the session was opened.
	connectedAt time.Time
	// renewedAt is when the lease was last renewed. It lies in the future after a
	// takeover, when the earlier owner may still renew the lease.
	renewedAt time.Time
	runs      map[plantainrail.RunRef]*placedRun
	// orderedRuns holds the runs in the order in which they were added.
	orderedRuns []*placedRun
	// reserved is the sum of the resources that the runs reserve.
	reserved plantainrail.Resources
	// fillerMillicores is the sum of the processors that fillers request, in
	// thousandths of a core; it is not part of reserved.
	fillerMillicores int
	// lastEnd is the number of the newest end that was applied.
	lastEnd int64
	// failedJobs are the jobs that failed here since the last successful run, and when.
	failedJobs map[*Job]time.Time
	// pausedUntil is when the VM may get tasks again.
	pausedUntil time.Time
	// failedAt and refusedAt are when the worker has last failed and refused a run.
	failedAt, refusedAt time.Time
	// pauseDoublings is how many times initialPause is doubled for the next
	// pause.
	pauseDoublings int
	// lateUntil is until when other VMs are preferred, since an order expired before the agent could
	// carry it out or the worker did not answer a start.
	lateUntil time.Time
	// noRoomUntil is when the VM may get tasks again after a refusal for want of room, as
	// long as its capacity is still noRoomCapacity and none of its runs has ended.
	noRoomUntil    time.Time
	noRoomCapacity plantainrail.Resources
	// probation is set after repeated failures until the next run that succeeds or lasts for
	// trustRunTime. The VM then gets one run at first, and as many more as have proven.
	// probationSince is the time of the newest of these failures, and failedAge the greatest age at
	// which a run has failed since the VM was trusted.
	probation      bool
	probationSince time.Time
	failedAge      time.Duration
	// fillerUse is the share of the processors requested by fillers that they use.
	fillerUse float64
	// headrooms caches the headroom of each service as computed at headroomsAt;
	// nil if it has to be computed again.
	headrooms   []serviceHeadroom
	headroomsAt time.Time
}

func newVM(reported plantainrail.VM, renewedAt time.Time) *vm {
	return &vm{VM: reported, renewedAt: renewedAt, fillerUse: 1, runs: map[plantainrail.RunRef]*placedRun{}, failedJobs: map[*Job]time.Time{}}
}

// addRun adds a task's newest run to the VM. Stored means that the assignment is
// in the store.
func (v *vm) addRun(j *Job, id plantainrail.TaskID, t *Task, stored bool) {
	run := &placedRun{job: j, id: id, task: t, stored: stored}
	v.headrooms = nil
	step := run.step()
	v.runs[run.ref()] = run
	v.orderedRuns = append(v.orderedRuns, run)
	v.reserved = v.reserved.Add(step.Reservation())
	if step.Filler {
		v.fillerMillicores += step.CPU
	}
}

// removeRun removes a run from the VM and frees its resources. It does nothing if
// the run is nil or not on the VM.
func (v *vm) removeRun(run *placedRun) {
	if run == nil || v.runs[run.ref()] != run {
		return
	}
	step := run.step()
	if !run.begunAt.IsZero() {
		run.job.running--
	}
	delete(v.runs, run.ref())
	v.orderedRuns = slices.DeleteFunc(v.orderedRuns, func(r *placedRun) bool { return r == run })
	v.headrooms, v.noRoomUntil = nil, time.Time{}
	v.reserved = v.reserved.Sub(step.Reservation())
	if step.Filler {
		v.fillerMillicores -= step.CPU
	}
}

// recordOutcome updates the failures of the VM after a run has ended.
// Failed runs of failedJobsToPause different jobs, without a successful run in between,
// pause the VM and put it on probation, which ends with the first run that succeeds or lasts
// for trustRunTime. On probation each failed run pauses the VM again. Runs of a job that is
// known to be faulty there do not count.
func (v *vm) recordOutcome(run *placedRun, outcome plantainrail.RunOutcome, now time.Time) {
	j := run.job
	switch outcome {
	case plantainrail.RunDone:
		j.failing, j.faultyOn = false, nil
		for failed, at := range v.failedJobs {
			// The worker began a run later that succeeded, so the fault is not the worker's.
			if failed != j && run.assignedAt.After(at) {
				failed.noteFaultyOn(v.Incarnation.Node)
			}
		}
		v.trust()
	case plantainrail.RunFailed:
		j.failing = true
		if j.isFaultyOn(v.Incarnation.Node) {
			return
		}
		v.failedJobs[j] = now
		// The end of a run that failed without a session is reported late.
		if run.orderedSince.After(v.connectedAt) {
			v.failedAge = max(v.failedAge, now.Sub(run.orderedSince))
		}
		if len(v.failedJobs) >= failedJobsToPause || v.probation {
			v.probation, v.probationSince, v.failedAt = true, now, now
			v.startPause(now)
		}
	}
}

// pauseAfterRefusal pauses the VM if the reason for refusing a run lies in the VM
// and not in the run. A refusal for want of room is no sign of a failing worker: its
// capacity has shrunk and its agent has not reported that yet, or a run that the owner
// does not know takes the room. An order that was carried out too late keeps no task off the VM,
// since the delay may be the owner's, but others come first. The same holds after the pause if the start
// was refused late, since the worker did not answer.
func (v *vm) pauseAfterRefusal(run *placedRun, reason plantainrail.RefusalReason, now time.Time) {
	if reason == plantainrail.RefusedNoResponse && now.Sub(run.orderedSince) >= unansweredTime {
		v.lateUntil = now.Add(latePause)
	}
	switch reason {
	case plantainrail.RefusedUnhealthy, plantainrail.RefusedNoResponse:
		v.refusedAt = now
		v.startPause(now)
	case plantainrail.RefusedCapacity:
		v.noRoomUntil, v.noRoomCapacity, v.refusedAt = now.Add(roomPause), v.Capacity, now
	case plantainrail.RefusedExpired:
		v.lateUntil = now.Add(latePause)
	}
}

// startPause pauses the VM, unless it is paused already. If the last pause ended more than
// maxPause ago, the worker had recovered, and the pauses begin with initialPause again.
func (v *vm) startPause(now time.Time) {
	if now.Before(v.pausedUntil) {
		return
	}
	if now.Sub(v.pausedUntil) > maxPause {
		v.pauseDoublings = 0
	}
	v.pausedUntil = now.Add(min(initialPause<<v.pauseDoublings, maxPause))
	// Four doublings reach maxPause, so any bound of at least four gives the same
	// pauses. The bound keeps the shift from overflowing.
	v.pauseDoublings = min(v.pauseDoublings+1, 5)
}

// endProbation ends the probation of a VM on which a run that was assigned after the newest
// failure has lasted for trustRunTime: the worker does not fail every run.
func (v *vm) endProbation(now time.Time) {
	if v.probation && slices.ContainsFunc(v.orderedRuns, func(r *placedRun) bool {
		return r.assignedAt.After(v.probationSince) && r.hasRunFor(trustRunTime, now)
	}) {
		v.trust()
	}
}

// trust forgets the failures of a VM.
func (v *vm) trust() {
	clear(v.failedJobs)
	v.pauseDoublings, v.probation, v.failedAge = 0, false, 0
}

// runsOfStep returns the number of the VM's runs for the task's step and
// occurrence.
func (v *vm) runsOfStep(id plantainrail.TaskID) int {
	n := 0
	for _, run := range v.orderedRuns {
		if run.id.Job == id.Job && run.id.Occurrence == id.Occurrence && run.id.Step == id.Step {
			n++
		}
	}
	return n
}

// inRack reports whether the VM is in a rack; racks are labels.
func (v *vm) inRack(rack string) bool { return slices.Contains(v.Labels, rack) }
