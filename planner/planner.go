// Package planner decides which task of which job runs on which VM. It is pure:
// it opens nothing, starts nothing and takes the instant as an argument. Its
// caller stores what has changed before it carries a decision out.
package planner

import (
	"time"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/estimator"
)

// Times are the limits that the planner keeps.
type Times struct {
	// Lease is how long a worker may go on without word from the owner.
	Lease time.Duration
	// Takeover is added for workers that an earlier owner may still have
	// renewed after this one took over.
	Takeover time.Duration
}

const (
	// clockDrift is the share by which a worker's clock may be slow.
	clockDrift = 0.02
	// lapseMargin covers the worker's own delay in ending what has lapsed.
	lapseMargin = 300 * time.Millisecond
)

// lapse returns the instant by which nothing runs on a worker that was last
// renewed at the given instant.
func (t Times) lapse(renewed time.Time) time.Time {
	return renewed.Add(t.Lease + time.Duration(float64(t.Lease)*clockDrift) + lapseMargin)
}

// Assignment is a run on its way to a VM.
type Assignment struct {
	Life  plantainrail.Life
	Order plantainrail.RunOrder
}

// Stop is a run to be ended.
type Stop struct {
	Life   plantainrail.Life
	Ref    plantainrail.RunRef
	Reason string
}

// Plan is what one Tick has decided. The progress of the jobs in Changed must
// be stored before anything else is carried out.
type Plan struct {
	Changed     []*Job
	Assignments []Assignment
	Stops       []Stop
	// Waits lists steps that find no VM, each every few seconds.
	Waits []Wait
}

// Planner holds the jobs, the VMs and what runs where.
type Planner struct {
	Book       *Book
	times      Times
	settlement plantainrail.Settlement
	vms        map[plantainrail.Life]*vm
	active     map[string]*Job
	changed    map[string]*Job
	stops      []Stop
	waits      []Wait
	// full holds the shapes that found no room in the tick.
	full map[shape]bool
	// estimator learns what fillers do to services.
	estimator *estimator.Estimator
}

// New returns a planner that takes over the jobs of a book at the instant.
// Workers that hold tasks of those jobs count as renewed until the earlier
// owner must have given up.
func New(book *Book, times Times, now time.Time) *Planner {
	p := &Planner{
		Book: book, times: times, vms: map[plantainrail.Life]*vm{},
		active: map[string]*Job{}, changed: map[string]*Job{}, full: map[shape]bool{},
		estimator: estimator.New(),
	}
	for _, j := range book.jobs {
		p.adopt(j, now)
	}
	return p
}

func (p *Planner) adopt(j *Job, now time.Time) {
	placed := false
	j.each(func(id plantainrail.TaskID, t *Task) {
		if t.Phase != Placed {
			return
		}
		placed = true
		v := p.vms[t.Life]
		if v == nil {
			v = newVM(plantainrail.VM{Life: t.Life}, now.Add(p.times.Takeover))
			p.vms[t.Life] = v
		}
		v.hold(j, id, t, true)
	})
	if placed || !j.State.Final() {
		p.active[j.ID] = j
	}
	if j.State.Final() {
		// An earlier owner may not have reached the workers with its stops.
		p.stopAll(j, string(j.State))
	}
}

// stopAll ends all runs of a job.
func (p *Planner) stopAll(j *Job, reason string) {
	j.each(func(id plantainrail.TaskID, t *Task) {
		if t.Phase == Placed {
			p.stop(id, t, reason)
		}
	})
}

// Configure sets what the operators have in force.
func (p *Planner) Configure(s plantainrail.Settlement) { p.settlement = s }

// TakeJob takes in a record of the topic of jobs.
func (p *Planner) TakeJob(r plantainrail.KeyedRecord, now time.Time) error {
	j, err := p.Book.TakeJob(r)
	if err != nil || j == nil || p.active[j.ID] == j {
		return err
	}
	p.adopt(j, now)
	return nil
}

// Knows tells whether a worker's life is known and not given up.
func (p *Planner) Knows(life plantainrail.Life) bool { return p.vms[life] != nil }

// Renew notes that a worker's lease counts from the instant on.
func (p *Planner) Renew(life plantainrail.Life, now time.Time) {
	if v := p.vms[life]; v != nil {
		v.renewed = now
	}
}

// Succeed takes in ends of runs that were meant for an earlier life of a worker
// and came to a new one under the same ID. It comes before the first Report of
// the new life, which gives all else up that the earlier one held.
func (p *Planner) Succeed(life plantainrail.Life, ends []plantainrail.RunEnd, now time.Time) {
	for _, v := range p.vms {
		if v.Life.Node != life.Node || v.Life.ID != life.ID || v.Life == life {
			continue
		}
		for _, end := range ends {
			if run := v.runs[end.Ref]; run != nil {
				p.end(v, run, end, now)
			}
		}
	}
}

// Report takes in what an agent tells of its worker. Earlier lives of the
// agent's worker are over with all that ran in them.
func (p *Planner) Report(told plantainrail.VM, now time.Time) {
	for life, v := range p.vms {
		if life.Node == told.Life.Node && life != told.Life {
			p.drop(v)
		}
	}
	v := p.vms[told.Life]
	if v == nil {
		v = newVM(told, now)
		p.vms[told.Life] = v
	}
	v.VM, v.known = told, true
	// A connected agent takes no more renewals from an earlier owner.
	v.renewed = earlier(v.renewed, now)
}

// Disconnect tells that an agent's session has ended. Its worker gets nothing
// new until it reports again.
func (p *Planner) Disconnect(life plantainrail.Life) {
	if v := p.vms[life]; v != nil {
		v.known = false
	}
}

// Gone tells that a worker has ended for good.
func (p *Planner) Gone(life plantainrail.Life) {
	if v := p.vms[life]; v != nil {
		p.drop(v)
	}
}

// Status takes in the runs that a worker lists.
func (p *Planner) Status(life plantainrail.Life, running []plantainrail.RunStatus) {
	v := p.vms[life]
	if v == nil {
		return
	}
	for _, status := range running {
		run := v.runs[status.Ref]
		if run == nil {
			continue
		}
		if status.Saved != "" {
			run.task.Saved = status.Saved
		}
	}
}

// Ended takes in ends that a worker lists. The caller may tell the worker that
// they were noted once the changes are stored.
func (p *Planner) Ended(life plantainrail.Life, ends []plantainrail.RunEnd, now time.Time) {
	v := p.vms[life]
	if v == nil {
		return
	}
	for _, end := range ends {
		if end.Number <= v.seen {
			continue
		}
		v.seen = end.Number
		if run := v.runs[end.Ref]; run != nil {
			p.end(v, run, end, now)
		}
	}
}

// Seen returns the number up to which a worker's ends were taken in.
func (p *Planner) Seen(life plantainrail.Life) int64 {
	if v := p.vms[life]; v != nil {
		return v.seen
	}
	return 0
}

// Refused takes in that a run was not started and never will be.
func (p *Planner) Refused(life plantainrail.Life, ref plantainrail.RunRef, reason plantainrail.RefusalReason, now time.Time) {
	v := p.vms[life]
	if v == nil || v.runs[ref] == nil {
		return
	}
	p.release(v, v.runs[ref])
	v.pause(reason, now)
}

// Committed marks an assignment as stored; it is part of Wanted from then on.
func (p *Planner) Committed(a Assignment) {
	if v := p.vms[a.Life]; v != nil {
		if run := v.runs[a.Order.Ref]; run != nil {
			run.committed = true
		}
	}
}

// Wanted lists the runs that a worker should hold, and those that it may hold
// and should not.
func (p *Planner) Wanted(life plantainrail.Life) (orders []plantainrail.RunOrder, stops []plantainrail.RunRef) {
	v := p.vms[life]
	if v == nil {
		return nil, nil
	}
	for ref, run := range v.runs {
		switch {
		case run.stopping:
			stops = append(stops, ref)
		case run.committed:
			orders = append(orders, run.order())
		}
	}
	return orders, stops
}

// end moves a task on by the end of its newest run.
func (p *Planner) end(v *vm, run *placedRun, end plantainrail.RunEnd, now time.Time) {
	j, t, step := run.job, run.task, run.step()
	if end.Saved != "" {
		t.Saved = end.Saved
	}
	v.release(run)
	t.Phase = Waiting
	p.touch(j)
	v.judge(j.ID, end.How, now)
	switch {
	case end.How == plantainrail.EndDone && !step.Lasting:
		p.finish(j, run.id)
	case end.How == plantainrail.EndFailed && !step.Lasting:
		t.Failures++
		if j.failures(run.id, step.Gang) >= j.attempts() && !j.State.Final() {
			p.close(j, Failed)
		}
	}
}

// failures returns the failed runs of the worst task of a step, or of the whole
// gang.
func (j *Job) failures(id plantainrail.TaskID, gang bool) int {
	worst, sum := 0, 0
	for _, t := range j.occurrences[id.Occurrence][id.Step] {
		worst, sum = max(worst, t.Failures), sum+t.Failures
	}
	if gang {
		return sum
	}
	return worst
}

// attempts returns the number of failed runs that ends the job.
func (j *Job) attempts() int { return max(j.Queue.Attempts, 1) }

// finish marks a task as done, and with one member of a gang the whole gang.
func (p *Planner) finish(j *Job, id plantainrail.TaskID) {
	tasks := j.occurrences[id.Occurrence][id.Step]
	tasks[id.Index].Phase = Done
	if j.Steps[id.Step].Gang {
		for i := range tasks {
			id.Index = i
			if tasks[i].Phase == Placed {
				v := p.vms[tasks[i].Life]
				v.release(v.runs[plantainrail.RunRef{Task: id, Run: tasks[i].Run}])
			}
			tasks[i].Phase = Done
		}
	}
	j.settle()
	p.rest(j)
}

// close ends a job and stops what runs of it.
func (p *Planner) close(j *Job, state State) {
	j.State = state
	p.touch(j)
	p.stopAll(j, string(state))
	p.rest(j)
}

func (p *Planner) stop(id plantainrail.TaskID, t *Task, reason string) {
	v := p.vms[t.Life]
	ref := plantainrail.RunRef{Task: id, Run: t.Run}
	if run := v.runs[ref]; run != nil && !run.stopping {
		run.stopping = true
		p.stops = append(p.stops, Stop{Life: t.Life, Ref: ref, Reason: reason})
	}
}

// release gives a run up that does not run.
func (p *Planner) release(v *vm, run *placedRun) {
	v.release(run)
	run.task.Phase = Waiting
	p.touch(run.job)
	p.rest(run.job)
}

// drop gives up all that a worker held.
func (p *Planner) drop(v *vm) {
	for _, run := range v.runs {
		p.release(v, run)
	}
	delete(p.vms, v.Life)
}

func (p *Planner) touch(j *Job) { p.changed[j.ID] = j }

// rest takes a job off the active ones once it starts nothing and holds
// nothing.
func (p *Planner) rest(j *Job) {
	if !j.State.Final() {
		return
	}
	held := false
	j.each(func(_ plantainrail.TaskID, t *Task) { held = held || t.Phase == Placed })
	if !held {
		delete(p.active, j.ID)
	}
}

// Tick decides what has to change at the instant.
func (p *Planner) Tick(now time.Time) Plan {
	p.expire(now)
	for _, j := range p.active {
		if j.CancelAsked && !j.State.Final() {
			p.close(j, Cancelled)
		}
	}
	assignments := p.place(now)
	plan := Plan{Assignments: assignments, Stops: p.stops, Waits: p.waits}
	for _, j := range p.changed {
		plan.Changed = append(plan.Changed, j)
	}
	p.stops, p.waits = nil, nil
	clear(p.changed)
	return plan
}

// expire gives up the workers whose leases are over, also those whose agents
// are connected and cannot reach them.
func (p *Planner) expire(now time.Time) {
	for _, v := range p.vms {
		if now.After(p.times.lapse(v.renewed)) {
			p.drop(v)
		}
	}
}

// Next returns when Tick has to be called again at the latest.
func (p *Planner) Next(now time.Time) time.Time {
	next := now.Add(tickMost)
	for _, v := range p.vms {
		next = earlier(next, p.times.lapse(v.renewed))
	}
	return next
}

// tickMost bounds the time between two ticks; the times of occurrences and the
// pauses of VMs are looked at that often.
const tickMost = 250 * time.Millisecond

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
