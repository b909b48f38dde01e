// Package planner decides which task of which job runs on which VM. It performs
// no I/O, starts no goroutines and takes the current time as an argument. Its
// caller, the owner of the jobs in package decider, must store the changed jobs
// before it carries out a decision. Package estimator estimates for it how much
// fillers interfere with services.
package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/estimator"
)

// Timeouts are the time limits that the planner applies.
type Timeouts struct {
	// Lease is how long a worker may continue its runs after the owner has
	// renewed its lease.
	Lease time.Duration
	// TakeoverGrace is how long after a takeover the earlier owner may still
	// have renewed leases.
	TakeoverGrace time.Duration
}

const (
	// maxClockDrift is the share by which a worker's clock may run slow, so that
	// the worker's lease lasts longer than the owner measures.
	maxClockDrift = 0.02
	// stopDelay bounds how long a worker takes to stop its runs after its lease
	// has expired.
	stopDelay = 300 * time.Millisecond
)

// leaseExpiry returns the time by which nothing runs any longer on a worker
// whose lease was last renewed at renewedAt.
func (t Timeouts) leaseExpiry(renewedAt time.Time) time.Time {
	return renewedAt.Add(t.Lease + time.Duration(float64(t.Lease)*maxClockDrift) + stopDelay)
}

// Assignment is a run to be started on a worker.
type Assignment struct {
	Incarnation plantainrail.WorkerIncarnation
	Order       plantainrail.RunOrder
}

// Stop is a run to be stopped on a worker.
type Stop struct {
	Incarnation plantainrail.WorkerIncarnation
	Ref         plantainrail.RunRef
	Reason      string
}

// LossCause is the reason why the runs of a worker incarnation are lost.
type LossCause string

// Values of LossCause, as they appear in the log.
const (
	// LostReplaced means that the worker runs under another incarnation.
	LostReplaced LossCause = "replaced"
	LostDeparted LossCause = "departed"
	LostExpired  LossCause = "expired"
)

// LostRun is a run that was lost with its worker incarnation.
type LostRun struct {
	Ref   plantainrail.RunRef
	Node  string
	Cause LossCause
	// Age is the time from the order, or the takeover by this owner, to the loss.
	Age time.Duration
	// Crashes is the number of crashes that count against the task, and LateCrashes that of those
	// that may be due to it or to others beside it.
	Crashes, LateCrashes int
}

// Plan is the result of one Tick. The progress of the jobs in Changed must be
// stored before assignments and stops are carried out.
type Plan struct {
	Changed     []*Job
	Assignments []Assignment
	Stops       []Stop
	// Lost lists the runs that were lost since the last Tick.
	Lost []LostRun
	// Unplaced lists steps with tasks that cannot be placed on any VM. A job is
	// listed at most once per unplacedReportInterval.
	Unplaced []UnplacedStep
	// Preempted lists the runs among Stops that make room for others.
	Preempted []Preemption
}

// Planner holds the jobs, the VMs and the runs placed on them.
type Planner struct {
	Book     *Book
	timeouts Timeouts
	config   plantainrail.OperatorConfig
	vms      map[plantainrail.WorkerIncarnation]*vm
	// ordered holds the VMs in the order of their incarnations, so that decisions
	// do not depend on the order of a map.
	ordered []*vm
	// active holds the jobs that are not final or still have placed tasks, in the
	// order in which they are served: by priority of the queue, then by arrival.
	active []*Job
	// crashedAt is when a worker last crashed on a node, by the node's name.
	crashedAt map[string]time.Time
	// restarts are the recent restarts of workers.
	restarts []restart
	// pools maps the configured queues to their pools of VMs.
	pools map[string]string
	// changed, stops, lost and unplaced are collected for the next Plan.
	changed  map[string]*Job
	stops    []Stop
	lost     []LostRun
	unplaced []UnplacedStep
	// preempted is collected for the next Plan, and clearances are the VMs where room is made.
	preempted  []Preemption
	clearances []*clearance
	// unplaceable holds the shapes that found no VM in the current tick.
	unplaceable map[shape]bool
	// ready is the buffer of the steps that are ready to be placed.
	ready []readyStep
	// scarce holds where the last tick found too little capacity, and scarceNext the same of the
	// current one.
	scarce, scarceNext map[competition]bool
	// nextTurn is when the next overdue job goes first.
	nextTurn map[competition]time.Time
	// scores is the buffer of the ratings of the step that is being placed.
	scores []float64
	// estimator learns how fillers interfere with services.
	estimator *estimator.Estimator
}

// New returns a planner that takes over the jobs of a book. The leases of
// workers that hold tasks of those jobs count as renewed at now plus
// Timeouts.TakeoverGrace, the last time at which the earlier owner may have
// renewed them.
func New(book *Book, timeouts Timeouts, now time.Time) *Planner {
	p := &Planner{
		Book: book, timeouts: timeouts, vms: map[plantainrail.WorkerIncarnation]*vm{},
		changed: map[string]*Job{}, unplaceable: map[shape]bool{}, scarce: map[competition]bool{}, scarceNext: map[competition]bool{},
		nextTurn: map[competition]time.Time{}, crashedAt: map[string]time.Time{},
		estimator: estimator.New(),
	}
	for _, j := range slices.SortedFunc(maps.Values(book.jobs), compareArrival) {
		p.activate(j, now)
	}
	return p
}

// addVM adds a VM, and returns it.
func (p *Planner) addVM(v *vm) *vm {
	p.vms[v.Incarnation] = v
	at, _ := slices.BinarySearchFunc(p.ordered, v.Incarnation, compareIncarnation)
	p.ordered = slices.Insert(p.ordered, at, v)
	return v
}

// compareIncarnation compares a VM's incarnation with another one, by node, ID and start.
func compareIncarnation(v *vm, other plantainrail.WorkerIncarnation) int {
	return cmp.Or(
		cmp.Compare(v.Incarnation.Node, other.Node), cmp.Compare(v.Incarnation.ID, other.ID), cmp.Compare(v.Incarnation.StartedMS, other.StartedMS),
	)
}

// vmsOfNode returns the VMs on a node: one for each incarnation of the node's worker.
func (p *Planner) vmsOfNode(node string) []*vm {
	first, _ := slices.BinarySearchFunc(p.ordered, plantainrail.WorkerIncarnation{Node: node}, compareIncarnation)
	last := first
	for last < len(p.ordered) && p.ordered[last].Incarnation.Node == node {
		last++
	}
	return slices.Clone(p.ordered[first:last])
}

// activate adds the placed tasks of a job to their VMs, and the job to the active
// ones unless it is final and has no placed task. If the job is final, activate
// orders the stop of its placed tasks. A VM whose worker has not reported yet is
// created with a lease that an earlier owner may have renewed until TakeoverGrace
// from now.
func (p *Planner) activate(j *Job, now time.Time) {
	j.noteAccepted(now)
	placed := false
	j.eachTask(func(id plantainrail.TaskID, t *Task) {
		if t.Phase != Placed {
			return
		}
		placed = true
		v := p.vms[t.Incarnation]
		if v == nil {
			v = p.addVM(newVM(plantainrail.VM{Incarnation: t.Incarnation}, now.Add(p.timeouts.TakeoverGrace)))
		}
		// The assignment is known from the store, so it is stored.
		v.addRun(j, id, t, true)
		v.runs[plantainrail.RunRef{Task: id, Run: t.Run}].orderedSince = now
	})
	if placed || !j.State.Final() {
		at, _ := slices.BinarySearchFunc(p.active, j, compareActive)
		p.active = slices.Insert(p.active, at, j)
	}
	if j.State.Final() {
		// The earlier owner may not have delivered its stops to the workers.
		p.stopAll(j, string(j.State))
	}
}

// Configure replaces the operators' configuration.
func (p *Planner) Configure(s plantainrail.OperatorConfig) {
	p.config, p.pools = s, make(map[string]string, len(s.Queues))
	for _, q := range s.Queues {
		if _, known := p.pools[q.Name]; !known {
			p.pools[q.Name] = q.Pool
		}
	}
}

// ApplyJob applies a record of the jobs topic. A cancellation takes effect in the
// next Tick. ApplyJob returns an error if the record, or progress of the job that
// was read before it, cannot be decoded.
func (p *Planner) ApplyJob(r plantainrail.KeyedRecord, now time.Time) error {
	j, err := p.Book.ApplyJob(r)
	if err != nil || j == nil || p.isActive(j) {
		return err
	}
	p.activate(j, now)
	if p.Book.deleted[j.ID] {
		// The progress of an ended job with this ID may be stored, and a new owner would take
		// it for that of this job.
		delete(p.Book.deleted, j.ID)
		p.markChanged(j)
	}
	return nil
}

// HasWorker reports whether the planner has a record of the worker incarnation. The
// record is deleted when the incarnation is replaced or removed or its lease expires.
func (p *Planner) HasWorker(id plantainrail.WorkerIncarnation) bool { return p.vms[id] != nil }

// Renew records that the lease of a worker was renewed at the given time. An earlier owner may still
// renew it later, until EndGrace.
func (p *Planner) Renew(incarnation plantainrail.WorkerIncarnation, now time.Time) {
	if v := p.vms[incarnation]; v != nil && v.renewedAt.Before(now) {
		v.renewedAt = now
	}
}

// LimitLease records that the lease of a worker ends at the given time, unless it is renewed: the
// agent knows what the earlier owner has granted. It must be called after EndGrace only.
func (p *Planner) LimitLease(incarnation plantainrail.WorkerIncarnation, end time.Time) {
	if v := p.vms[incarnation]; v != nil {
		v.renewedAt = earlier(v.renewedAt, end.Add(-p.timeouts.Lease))
	}
}

// ApplyPredecessorEnds applies ends of runs that belong to an earlier incarnation of a
// worker but were reported by a new one with the same ID. It must be called
// before the first UpdateWorker of the new incarnation, which requeues all other runs
// of the earlier one.
func (p *Planner) ApplyPredecessorEnds(incarnation plantainrail.WorkerIncarnation, ends []plantainrail.RunEnd, now time.Time) {
	for _, v := range p.vmsOfNode(incarnation.Node) {
		if v.Incarnation.ID != incarnation.ID || v.Incarnation == incarnation {
			continue
		}
		for _, end := range ends {
			if run := v.runs[end.Ref]; run != nil {
				p.handleRunEnd(v, run, end, now)
			}
		}
	}
}

// UpdateWorker records the state of a worker as its agent reports it, and marks
// the worker as connected. All other incarnations on the same node are removed
// and their runs requeued.
func (p *Planner) UpdateWorker(reported plantainrail.VM, now time.Time) {
	for _, v := range p.vmsOfNode(reported.Incarnation.Node) {
		if v.Incarnation != reported.Incarnation {
			if len(reported.StartedLast) > 0 {
				v.StartedLast = reported.StartedLast
			}
			if len(reported.RunningLast) > 0 {
				v.RunningLast = reported.RunningLast
			}
			p.removeVM(v, LostReplaced, now)
		}
	}
	v := p.vms[reported.Incarnation]
	if v == nil {
		v = p.addVM(newVM(reported, now))
	}
	if !v.connected {
		v.connectedAt = now
	}
	v.VM, v.connected = reported, true
}

// EndGrace records that the agent of a worker accepts no more renewals from an earlier owner, so the
// rest of the TakeoverGrace is dropped.
func (p *Planner) EndGrace(incarnation plantainrail.WorkerIncarnation, now time.Time) {
	if v := p.vms[incarnation]; v != nil {
		v.renewedAt = earlier(v.renewedAt, now)
	}
}

// Disconnect records that an agent's session has ended. Its worker gets no new
// runs until the agent reports again.
func (p *Planner) Disconnect(incarnation plantainrail.WorkerIncarnation) {
	if v := p.vms[incarnation]; v != nil {
		v.connected = false
	}
}

// RemoveWorker removes a worker that has deregistered and requeues its runs.
func (p *Planner) RemoveWorker(incarnation plantainrail.WorkerIncarnation, now time.Time) {
	if v := p.vms[incarnation]; v != nil {
		p.removeVM(v, LostDeparted, now)
	}
}

// RecordCheckpoints records the checkpoints of the runs that a worker lists, which have begun.
// The checkpoints are stored with the job's next change.
func (p *Planner) RecordCheckpoints(incarnation plantainrail.WorkerIncarnation, running []plantainrail.RunStatus, now time.Time) {
	v := p.vms[incarnation]
	if v == nil {
		return
	}
	for _, status := range running {
		run := v.runs[status.Ref]
		if run == nil {
			continue
		}
		p.markStarted(run.job)
		if run.begunAt.IsZero() {
			run.begunAt = now
			run.job.running++
			run.endWait()
		}
		if status.Checkpoint != "" && status.Checkpoint != run.task.Checkpoint {
			run.task.Checkpoint, run.savedAt = status.Checkpoint, now
		}
	}
}

// ApplyEnds applies the ends of runs that a worker lists, which must be in
// ascending order of RunEnd.Number, and skips those that were applied before. The
// caller may acknowledge them to the worker once the changes are stored. ApplyEnds
// returns the ends that change nothing: those of runs that are not placed on the worker, unless they
// are the newest of tasks that wait.
func (p *Planner) ApplyEnds(incarnation plantainrail.WorkerIncarnation, ends []plantainrail.RunEnd, now time.Time) (dropped []plantainrail.RunEnd) {
	v := p.vms[incarnation]
	if v == nil {
		return nil
	}
	for _, end := range ends {
		if end.Number <= v.lastEnd {
			continue
		}
		v.lastEnd = end.Number
		if run := v.runs[end.Ref]; run != nil {
			p.handleRunEnd(v, run, end, now)
		} else if !p.applyLateEnd(end, now) {
			dropped = append(dropped, end)
		}
	}
	return dropped
}

// LastAppliedEnd returns the number of the newest end that ApplyEnds has applied
// for a worker. It returns 0 if there is none or the worker is unknown.
func (p *Planner) LastAppliedEnd(incarnation plantainrail.WorkerIncarnation) int64 {
	if v := p.vms[incarnation]; v != nil {
		return v.lastEnd
	}
	return 0
}

// ApplyRefusal requeues a run whose start a worker or its agent has refused: the
// run was not started and never will be. If the reason lies in the VM and not in
// the run, ApplyRefusal also pauses the VM, unless the run was being stopped.
func (p *Planner) ApplyRefusal(incarnation plantainrail.WorkerIncarnation, ref plantainrail.RunRef, reason plantainrail.RefusalReason, now time.Time) {
	v := p.vms[incarnation]
	if v == nil || v.runs[ref] == nil {
		return
	}
	run := v.runs[ref]
	p.requeue(v, run)
	if !run.stopping {
		v.pauseAfterRefusal(run, reason, now)
	}
}

// MarkStored records that an assignment is in the store, and reports whether it still holds.
// If so, DesiredRuns returns its order from then on, until the run ends or is to be
// stopped. Otherwise the run must not be ordered: since the assignment was decided, the worker
// has gone, the run is to be stopped, the VM's zone was evacuated or the job's cancellation was
// read. In the last two cases the task waits again.
func (p *Planner) MarkStored(a Assignment, now time.Time) bool {
	v := p.vms[a.Incarnation]
	if v == nil || v.runs[a.Order.Ref] == nil || v.runs[a.Order.Ref].stopping {
		return false
	}
	run := v.runs[a.Order.Ref]
	if !p.mayStart(v, run) {
		p.requeue(v, run)
		return false
	}
	run.stored, run.orderedSince = true, now
	return true
}

// DesiredRuns returns the orders for the runs that a worker should have, and the
// runs that the worker may still have and must stop. Runs whose assignments are
// not stored yet are in neither list unless they are to be stopped. In an evacuated zone, and of
// a job whose cancellation was read, the runs are only to be adopted, since it is not known which
// of them have begun.
func (p *Planner) DesiredRuns(incarnation plantainrail.WorkerIncarnation) (orders []plantainrail.RunOrder, stops []plantainrail.RunRef) {
	v := p.vms[incarnation]
	if v == nil {
		return nil, nil
	}
	for _, run := range v.orderedRuns {
		switch {
		case run.stopping:
			stops = append(stops, run.ref())
		case run.stored:
			order := run.order()
			order.Adopt = !p.mayStart(v, run)
			orders = append(orders, order)
		}
	}
	return orders, stops
}

// mayStart reports whether a run that is placed on a VM may still be started there.
func (p *Planner) mayStart(v *vm, run *placedRun) bool {
	return !p.config.Out[v.Zone] && !run.job.CancelRequested
}

// retryDelay is how long a long-running task waits after a failed run, since the number of its runs
// is not limited. After the first one it does not wait, unless the job is known to be faulty.
const retryDelay = patience

// handleRunEnd updates a task, its job and the VM after the task's newest run has
// ended. The task is done after a successful run, and a failed run counts as a
// failure of the task; at maxFailedRuns the job fails. After any other outcome,
// and after every end of a long-running service task, the task waits again
// without a failure.
func (p *Planner) handleRunEnd(v *vm, run *placedRun, end plantainrail.RunEnd, now time.Time) {
	j, t, step := run.job, run.task, run.step()
	p.markStarted(j)
	if end.Checkpoint != "" {
		t.Checkpoint = end.Checkpoint
	}
	t.Crashes, t.lateCrashes = 0, 0
	if end.Outcome != plantainrail.RunStopped {
		t.preempted = 0
	}
	run.endWait()
	v.removeRun(run)
	j.setPhase(run.id, Waiting)
	p.markChanged(j)
	v.recordOutcome(run, end.Outcome, now)
	if step.Lasting && end.Outcome == plantainrail.RunFailed {
		again := len(j.faultyOn) > 0 || !t.retryAt.IsZero()
		t.retryAt = now
		if again {
			t.retryAt = now.Add(retryDelay)
		}
	}
	if !step.Lasting {
		p.countOutcome(j, run.id, end.Outcome, now)
	}
	j.trackPlaced(now)
}

// countOutcome completes a task whose run is done, and counts the failure of one whose run has failed.
func (p *Planner) countOutcome(j *Job, id plantainrail.TaskID, outcome plantainrail.RunOutcome, now time.Time) {
	switch outcome {
	case plantainrail.RunDone:
		p.completeTask(j, id)
	case plantainrail.RunFailed:
		t := j.task(id)
		t.Failures++
		t.failedAt = now
		if j.failures(id, j.Steps[id.Step].Gang) >= j.maxFailedRuns() && !j.State.Final() {
			p.endJob(j, Failed)
		}
	}
}

// applyLateEnd applies the end of a run that was taken for lost, if its task has waited since, and reports whether
// it has changed anything. The worker forgets the end once it is acknowledged, so it must count first.
func (p *Planner) applyLateEnd(end plantainrail.RunEnd, now time.Time) bool {
	id := end.Ref.Task
	j := p.Book.Job(id.Job)
	if j == nil || j.State.Final() || end.Outcome != plantainrail.RunDone && end.Outcome != plantainrail.RunFailed {
		return false
	}
	t := j.task(id)
	if t == nil || t.Phase != Waiting || t.Run != end.Ref.Run || j.Steps[id.Step].Lasting || j.Steps[id.Step].Gang {
		return false
	}
	// The end of another run may have counted before and be reported again. That does not matter if the run is
	// done, unless it is that of an earlier job under the same ID.
	if lost := t.lostRun == t.Run; !lost && (end.Outcome == plantainrail.RunFailed || !j.Started) {
		return false
	}
	t.lostRun = 0
	p.markStarted(j)
	p.markChanged(j)
	p.countOutcome(j, id, end.Outcome, now)
	return true
}

// failures returns the number of failed runs that is compared with maxFailedRuns.
// Of the tasks in the given task's step it takes the one with the most failed
// runs or, for a gang, the sum of all.
func (j *Job) failures(id plantainrail.TaskID, gang bool) int {
	worst, sum := 0, 0
	for _, t := range j.occurrences[id.Occurrence][id.Step].tasks {
		worst, sum = max(worst, t.Failures), sum+t.Failures
	}
	if gang {
		return sum
	}
	return worst
}

// maxFailedRuns returns the number of failed runs at which the job fails.
func (j *Job) maxFailedRuns() int { return max(j.Queue.MaxAttempts, 1) }

// completeTask marks a task as done. One member of a gang completes the whole
// gang.
func (p *Planner) completeTask(j *Job, id plantainrail.TaskID) {
	j.setPhase(id, Done)
	if j.Steps[id.Step].Gang {
		for i, t := range j.occurrences[id.Occurrence][id.Step].tasks {
			id.Index = i
			if t.Phase == Placed {
				// The other members have ended with this one. Their own ends, which
				// arrive later, no longer find a run and are ignored.
				v := p.vms[t.Incarnation]
				v.removeRun(v.runs[plantainrail.RunRef{Task: id, Run: t.Run}])
			}
			j.setPhase(id, Done)
		}
	}
	j.completeOccurrences()
	p.deactivateIfIdle(j)
}

// endJob sets the final state of a job and stops its runs.
func (p *Planner) endJob(j *Job, state State) {
	j.State = state
	p.markChanged(j)
	p.stopAll(j, string(state))
	p.deactivateIfIdle(j)
}

// requeue removes a run that is certain not to be executing from its VM, and lets
// its task wait again.
func (p *Planner) requeue(v *vm, run *placedRun) {
	v.removeRun(run)
	run.job.setPhase(run.id, Waiting)
	p.markChanged(run.job)
	p.deactivateIfIdle(run.job)
}

// removeVM removes a VM on which certainly nothing runs any longer, and requeues
// all its runs. If its worker has crashed just after a start, this counts against the task.
func (p *Planner) removeVM(v *vm, cause LossCause, now time.Time) {
	var failed *Job
	v.clearSound(now)
	if cause == LostReplaced {
		p.noteRestart(v, now)
	}
	switch {
	case len(v.StartedLast) > 0:
		failed = p.countCrash(v, v.StartedLast, now)
	case len(v.RunningLast) > 0:
		failed = p.countLateCrash(v, v.RunningLast, now)
	}
	for _, run := range slices.Clone(v.orderedRuns) {
		p.lost = append(p.lost, LostRun{
			Ref: run.ref(), Node: v.Incarnation.Node, Cause: cause, Age: now.Sub(run.orderedSince),
			Crashes: run.task.Crashes, LateCrashes: run.task.lateCrashes,
		})
		p.requeue(v, run)
		run.task.lostRun = run.task.Run
		run.job.trackPlaced(now)
	}
	if failed != nil {
		p.endJob(failed, Failed)
	}
	delete(p.vms, v.Incarnation)
	if at, found := slices.BinarySearchFunc(p.ordered, v.Incarnation, compareIncarnation); found {
		p.ordered = slices.Delete(p.ordered, at, at+1)
	}
}

func (p *Planner) markChanged(j *Job) { p.changed[j.ID] = j }

// markStarted records that a run of the job has begun.
func (p *Planner) markStarted(j *Job) {
	if !j.Started {
		j.Started = true
		p.markChanged(j)
	}
}

// deactivateIfIdle removes a job from the active ones once it is in a final
// state and none of its tasks is placed.
func (p *Planner) deactivateIfIdle(j *Job) {
	if !j.State.Final() {
		return
	}
	placed := false
	j.eachTask(func(_ plantainrail.TaskID, t *Task) { placed = placed || t.Phase == Placed })
	if at, found := slices.BinarySearchFunc(p.active, j, compareActive); found && !placed {
		p.active = slices.Delete(p.active, at, at+1)
	}
}

// Tick decides what has to change at the given time. It expires leases, ends
// cancelled jobs and places tasks.
func (p *Planner) Tick(now time.Time) Plan {
	p.expireLeases(now)
	// The active jobs are copied, since a job that ends may be removed from them.
	for _, j := range slices.Clone(p.active) {
		if j.CancelRequested && !j.State.Final() {
			p.endJob(j, Cancelled)
		}
	}
	assignments := p.place(now)
	p.preempt(now)
	plan := Plan{
		Changed:     slices.SortedFunc(maps.Values(p.changed), compareArrival),
		Assignments: assignments, Stops: p.stops, Lost: p.lost, Unplaced: p.unplaced,
		Preempted: p.preempted,
	}
	p.stops, p.lost, p.unplaced, p.preempted = nil, nil, nil, nil
	clear(p.changed)
	return plan
}

// expireLeases removes the workers whose leases have expired. These may include
// workers with a connected agent that cannot reach its worker.
func (p *Planner) expireLeases(now time.Time) {
	expired := func(v *vm) bool { return now.After(p.timeouts.leaseExpiry(v.renewedAt)) }
	if !slices.ContainsFunc(p.ordered, expired) {
		return
	}
	for _, v := range slices.Clone(p.ordered) {
		if expired(v) {
			p.removeVM(v, LostExpired, now)
		}
	}
}

// NextTick returns the time by which Tick has to be called again: the earliest
// time at which a lease expires, but at most maxTickInterval from now.
func (p *Planner) NextTick(now time.Time) time.Time {
	next := now.Add(maxTickInterval)
	for _, v := range p.ordered {
		next = earlier(next, p.timeouts.leaseExpiry(v.renewedAt))
	}
	return next
}

// maxTickInterval bounds the time between two ticks, and so how late an
// occurrence that has become due, or a VM whose pause has ended, is noticed.
const maxTickInterval = 250 * time.Millisecond

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
