package planner

import (
	"slices"
	"time"
)

const (
	// starvationTime is how long a job may have nothing running while most of the capacity is free,
	// and a long-running task may wait beside free capacity (LOST).
	starvationTime = 3 * time.Second
	// startLag bounds the time from the decision to place a task until it runs: the interval of the
	// ticks, the append to the store and the delivery, with a reserve.
	startLag = time.Second
	// patience is how long judgements may keep back a task to which starvationTime applies.
	patience = starvationTime - startLag
	// busyPatience is the same for all other tasks. It exceeds the longest pause of a VM.
	busyPatience = 10 * time.Second
	// lastingGrace is how long after a run of a long-running task starvationTime begins.
	lastingGrace = 6 * time.Second
)

// wait is how long the waiting tasks of a step have waited.
type wait struct {
	// since is when the turn of the task that waits longest has come while nothing of its job, or of
	// a long-running task itself, was running; zero if something runs.
	since time.Time
	// due orders overdue tasks: the time of since, or later if they have failed and may wait longer.
	due time.Time
	// limit is how long judgements may keep the tasks back.
	limit time.Duration
	// overdue means that the limit is exceeded: judgements only rank VMs from now on.
	overdue bool
}

// newWait returns the wait of tasks. Starving means that starvationTime applies to them.
func newWait(since time.Time, starving bool, now time.Time) wait {
	w := wait{since: since, limit: busyPatience}
	if starving {
		w.limit = patience
	}
	w.overdue = !since.IsZero() && now.Sub(since) > w.limit
	return w
}

// failedOver reports whether a task that has failed need not wait any longer for another VM than
// the one where it has failed.
func (w wait) failedOver(t *Task, now time.Time) bool {
	return w.overdue || now.Sub(t.failedAt) >= w.limit
}

// waited returns how long the tasks have waited.
func (w wait) waited(now time.Time) time.Duration {
	if w.since.IsZero() {
		return 0
	}
	return now.Sub(w.since)
}

// compareWaits orders overdue steps before others, and those by the time at which they are due.
func compareWaits(a, b readyStep) int {
	switch {
	case a.wait.overdue && b.wait.overdue:
		return a.wait.due.Compare(b.wait.due)
	case a.wait.overdue:
		return -1
	case b.wait.overdue:
		return 1
	}
	return 0
}

// trackWaits records since when jobs and long-running tasks that are ready have waited.
func (p *Planner) trackWaits(ready []readyStep, now time.Time) {
	idle := p.idlePools()
	anyLate := slices.ContainsFunc(p.ordered, func(v *vm) bool { return v.late(now) })
	var jobSince time.Time
	for i := range ready {
		r := &ready[i]
		if i == 0 || ready[i-1].job != r.job {
			jobSince = r.job.trackIdle(now)
		}
		since, due := jobSince, jobSince
		if r.definition().Lasting {
			since, due = r.trackTasks(now)
		}
		r.wait = newWait(since, r.definition().Lasting || idle[p.vmPool(r.job)], now)
		r.wait.due = due
		r.noTrial = r.job.failing
		r.shunsLate = anyLate && p.shunsLate(*r, now)
	}
}

// trackIdle records, for a job with a task whose turn has come, since when nothing of the job has been
// running, and returns that time, or zero if a run of the job is known to have begun. A run that was
// refused does not begin a new wait.
func (j *Job) trackIdle(now time.Time) time.Time {
	if j.running > 0 {
		return time.Time{}
	}
	if j.idleSince.IsZero() {
		j.idleSince = now
	}
	return j.idleSince
}

// trackPlaced is trackIdle for a job of which a run has just ended and other runs are placed. They may not
// begin, and the tasks whose turn has come wait from now on.
func (j *Job) trackPlaced(now time.Time) {
	if !j.idle() {
		j.trackIdle(now)
	}
}

// trackTasks does the same for each waiting task of a long-running step, and returns the earliest
// time, and the earliest at which one is due.
func (r readyStep) trackTasks(now time.Time) (since, due time.Time) {
	since, due = now, now.Add(lastingGrace)
	for i := range r.tasks() {
		t := &r.tasks()[i]
		if t.Phase != Waiting {
			continue
		}
		if t.waitingSince.IsZero() {
			t.waitingSince = now
		}
		since, due = earlier(since, t.waitingSince), earlier(due, t.due())
	}
	return since, due
}

// due returns the time by which waiting long-running tasks are ordered.
func (t *Task) due() time.Time {
	if t.retryAt.IsZero() {
		return t.waitingSince
	}
	return t.waitingSince.Add(lastingGrace)
}

// order returns the indexes of the step's tasks in the order in which they are placed, by when they
// are due, or nil if they are not overdue and placed by index.
func (r readyStep) order() []int {
	if !r.wait.overdue {
		return nil
	}
	order := make([]int, len(r.tasks()))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return r.tasks()[a].due().Compare(r.tasks()[b].due()) })
	return order
}

// endWait records that a run has begun or ended.
func (r *placedRun) endWait() { r.job.idleSince, r.task.waitingSince = time.Time{}, time.Time{} }

// idle reports whether no task of the job is placed.
func (j *Job) idle() bool {
	for _, o := range j.occurrences {
		for s := range o {
			if o[s].waiting+o[s].done < len(o[s].tasks) {
				return false
			}
		}
	}
	return true
}
