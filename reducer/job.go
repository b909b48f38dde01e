package reducer

import (
	"fmt"
	"time"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/charter"
)

// maxFailedWorkers is the number of distinct workers on which attempts of a task must
// fail for the task itself to fail.
const maxFailedWorkers = 3

// taskID returns the ID of a job's task; the index starts at 0.
func taskID(job string, index int) string {
	return fmt.Sprintf("%s/%d", job, index)
}

// applyJob accepts a job. A repeated submission is accepted without effect. The
// record carries the team's quota from the table of the entry that received the job.
// The quota is checked here, in log order, so that concurrent submissions at several
// entries cannot exceed it together.
func (s *State) applyJob(j plantainrail.JobRecord, at plantainrail.Offset) Verdict {
	if _, ok := s.Jobs[j.ID]; ok {
		return accepted
	}
	if v := s.checkQuota(j); !v.Accepted {
		return v
	}
	job := &Job{JobRecord: j, Offset: at, unfinished: j.Tasks}
	for i := range j.Tasks {
		t := &Task{ID: taskID(j.ID, i), Job: job, State: taskChart.Initial}
		job.Tasks = append(job.Tasks, t)
		s.Tasks[t.ID] = t
	}
	s.Jobs[j.ID] = job
	s.OpenJobs[j.ID] = job
	s.unfinishedTasks[teamKind{j.Team, j.Kind}] += j.Tasks
	return accepted
}

// checkQuota returns a rejection if the job's tasks would exceed the quota that its record
// carries, and accepted otherwise.
func (s *State) checkQuota(j plantainrail.JobRecord) Verdict {
	if j.Quota == nil {
		return accepted
	}
	used := s.unfinishedTasks[teamKind{j.Team, j.Kind}]
	if used+j.Tasks > *j.Quota {
		return rejected(plantainrail.CodeQuotaExceeded, "team %s has %d unfinished tasks of kind %s; %d are allowed", j.Team, used, j.Kind, *j.Quota)
	}
	return accepted
}

// applyCancel cancels the tasks of every matching job that has not ended. A task that
// has a worker is only marked as stopping and ends with its attempt.
func (s *State) applyCancel(c plantainrail.CancelRecord) Verdict {
	matched := false
	for _, j := range s.OpenJobs {
		if !matches(c, j.JobRecord) {
			continue
		}
		matched = true
		for _, t := range j.Tasks {
			s.transition(t, "cancel", "cancelled by an operator")
		}
	}
	if !matched {
		return rejected(plantainrail.CodeNotFound, "no unfinished job matches")
	}
	return accepted
}

// matches reports whether a job matches all fields that are set in the record. A
// record without fields matches no job.
func matches(c plantainrail.CancelRecord, j plantainrail.JobRecord) bool {
	if c == (plantainrail.CancelRecord{}) {
		return false
	}
	return (c.Job == "" || c.Job == j.ID) && (c.Team == "" || c.Team == j.Team) && (c.Kind == "" || c.Kind == j.Kind)
}

// applyTask applies an event of a task. An assignment carries the number of the new
// attempt, one above the latest one; any other event carries the number of the
// attempt that it ends. An event of an older attempt is rejected, so an attempt ends
// at most once, and the task is assigned again at most once after it.
func (s *State) applyTask(r plantainrail.TaskRecord, at time.Time) Verdict {
	t, ok := s.Tasks[r.Task]
	if !ok {
		return rejected(plantainrail.CodeNotFound, "no task %s", r.Task)
	}
	if r.Event == plantainrail.TaskAssign {
		return s.applyAssign(t, r, at)
	}
	if r.Attempt != t.Attempt || t.Worker == "" {
		return rejected(plantainrail.CodeStaleAttempt, "attempt %d of %s is not the current one (%d)", r.Attempt, r.Task, t.Attempt)
	}
	return s.applyEvent(t, r)
}

// applyAssign assigns a waiting task to a worker. It rejects the assignment if the
// worker's incarnation was declared lost, if its zone is out of service, or if the task
// would exceed a quiet-hour cap, by the log's clock, or the worker's capacity, if the
// record gives it. Entries check this before they propose an assignment, but two entries
// may propose assignments at the same time.
func (s *State) applyAssign(t *Task, r plantainrail.TaskRecord, at time.Time) Verdict {
	if r.Attempt != t.Attempt+1 || t.State != TaskWaiting {
		return rejected(plantainrail.CodeStaleAttempt, "task %s is %s at attempt %d", t.ID, t.State, t.Attempt)
	}
	if s.LostIncarnations[r.Worker][r.Incarnation] {
		return rejected(plantainrail.CodeNotFound, "worker %s was lost", r.Worker)
	}
	if s.Zones[r.Zone].Out {
		return rejected(plantainrail.CodeStartForbidden, "zone %s is out", r.Zone)
	}
	kind, ok := s.parsedTable.Kind(t.Job.Kind)
	if ok && s.parsedTable.CapReached(at, s.AssignedCounts[r.Zone], kind) {
		return rejected(plantainrail.CodeCapReached, "in zone %s", r.Zone)
	}
	reserved := r.Reserved
	if reserved == (plantainrail.Resources{}) {
		reserved = t.Job.Resources
	}
	used := s.Reserved[IncarnationKey{r.Worker, r.Incarnation}]
	if r.Capacity != (plantainrail.Resources{}) && !used.Add(reserved).Fits(r.Capacity) {
		return rejected(plantainrail.CodeOverCapacity, "%+v of %+v is assigned on %s", used, r.Capacity, r.Worker)
	}
	t.State, _ = taskChart.Next(t.State, charter.Event(r.Event))
	t.Attempt = r.Attempt
	t.Worker = r.Worker
	t.Incarnation = r.Incarnation
	t.Reason = r.Reason
	t.Zone = r.Zone
	t.Reserved = reserved
	s.indexAssigned(t)
	return accepted
}

// indexAssigned adds a task that has a worker to AssignedTasks, AssignedCounts and
// Reserved.
func (s *State) indexAssigned(t *Task) {
	s.AssignedTasks[t.ID] = t
	if s.AssignedCounts[t.Zone] == nil {
		s.AssignedCounts[t.Zone] = map[string]int{}
	}
	s.AssignedCounts[t.Zone][t.Job.Kind]++
	incarnation := IncarnationKey{t.Worker, t.Incarnation}
	s.Reserved[incarnation] = s.Reserved[incarnation].Add(t.Reserved)
}

// unindexAssigned reverts indexAssigned. It must run before the task's worker and
// zone are cleared.
func (s *State) unindexAssigned(t *Task) {
	if s.AssignedTasks[t.ID] == nil {
		return
	}
	delete(s.AssignedTasks, t.ID)
	s.AssignedCounts[t.Zone][t.Job.Kind]--
	incarnation := IncarnationKey{t.Worker, t.Incarnation}
	s.Reserved[incarnation] = s.Reserved[incarnation].Sub(t.Reserved)
	if s.Reserved[incarnation] == (plantainrail.Resources{}) {
		delete(s.Reserved, incarnation)
	}
}

// applyEvent applies an event that ends the task's current attempt.
func (s *State) applyEvent(t *Task, r plantainrail.TaskRecord) Verdict {
	if _, ok := taskChart.Next(t.State, charter.Event(r.Event)); !ok {
		return rejected(plantainrail.CodeStaleAttempt, "task %s is %s", t.ID, t.State)
	}
	event := charter.Event(r.Event)
	switch r.Event {
	case plantainrail.TaskRelease:
		t.Evictions++
		t.Checkpoint = r.Checkpoint
	case plantainrail.TaskFail:
		event = t.recordFailure()
	}
	s.transition(t, event, r.Reason)
	return accepted
}

// recordFailure counts a failed attempt and returns the resulting event: "release"
// to wait for another worker, or "fail" once the task has failed on
// maxFailedWorkers workers.
func (t *Task) recordFailure() charter.Event {
	if t.FailedOn == nil {
		t.FailedOn = map[string]bool{}
	}
	t.Failures++
	t.FailedOn[t.Worker] = true
	if len(t.FailedOn) >= maxFailedWorkers {
		return "fail"
	}
	return "release"
}

// transition applies an event to a task. If the task has no worker in its new state, its
// reservation, zone, worker and incarnation are cleared. An event that the task's state
// does not accept is ignored.
func (s *State) transition(t *Task, e charter.Event, reason string) {
	next, ok := taskChart.Next(t.State, e)
	if !ok {
		return
	}
	t.State = next
	t.Reason = reason
	if next != TaskAssigned && next != TaskStopping {
		s.unindexAssigned(t)
		t.Zone = ""
		t.Worker = ""
		t.Incarnation = ""
	}
	if t.Ended() {
		s.countTaskEnd(t)
	}
}

// countTaskEnd updates the counts of unfinished tasks after a task has ended. If it was
// the job's last unfinished task, the job ends too.
func (s *State) countTaskEnd(t *Task) {
	j := t.Job
	j.unfinished--
	s.unfinishedTasks[teamKind{j.Team, j.Kind}]--
	if j.Done() {
		s.endJob(j)
	}
}

// endJob moves a job from the open to the ended jobs and drops the oldest ended
// job once there are more than maxEndedJobs.
func (s *State) endJob(j *Job) {
	delete(s.OpenJobs, j.ID)
	s.endedJobIDs = append(s.endedJobIDs, j.ID)
	if len(s.endedJobIDs) <= maxEndedJobs {
		return
	}
	oldest := s.Jobs[s.endedJobIDs[0]]
	s.endedJobIDs = s.endedJobIDs[1:]
	delete(s.Jobs, oldest.ID)
	for _, t := range oldest.Tasks {
		delete(s.Tasks, t.ID)
	}
}
