package reducer

import (
	"fmt"
	"time"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/charter"
)

// taskFailureLimit is the number of failed attempts, on different workers,
// after which a task is given up.
const taskFailureLimit = 3

func taskID(job string, index int) string {
	return fmt.Sprintf("%s/%d", job, index)
}

// applyJob accepts a job once; the same submission again is accepted without
// effect. The quota is the one that the owner checked, held here for races.
func (s *State) applyJob(j plantainrail.JobRecord, at plantainrail.Offset) Verdict {
	if _, ok := s.Jobs[j.ID]; ok {
		return accepted
	}
	if v := s.checkQuota(j); !v.Accepted {
		return v
	}
	job := &Job{JobRecord: j, Offset: at, open: j.Tasks}
	for i := range j.Tasks {
		t := &Task{ID: taskID(j.ID, i), Job: job, State: taskChart.Initial}
		job.Tasks = append(job.Tasks, t)
		s.Tasks[t.ID] = t
	}
	s.Jobs[j.ID] = job
	s.Open[j.ID] = job
	s.usage[usageKey{j.Team, j.Kind}] += j.Tasks
	return accepted
}

func (s *State) checkQuota(j plantainrail.JobRecord) Verdict {
	if j.Quota == nil {
		return accepted
	}
	used := s.usage[usageKey{j.Team, j.Kind}]
	if used+j.Tasks > *j.Quota {
		return rejected(plantainrail.CodeQuotaExceeded, "team %s has %d unfinished tasks of kind %s; %d are allowed", j.Team, used, j.Kind, *j.Quota)
	}
	return accepted
}

func (s *State) applyCancel(c plantainrail.CancelRecord) Verdict {
	matched := false
	for _, j := range s.Open {
		if !matches(c, j.JobRecord) {
			continue
		}
		matched = true
		for _, t := range j.Tasks {
			s.step(t, "cancel", "cancelled by an operator")
		}
	}
	if !matched {
		return rejected(plantainrail.CodeNotFound, "no unfinished job matches")
	}
	return accepted
}

func matches(c plantainrail.CancelRecord, j plantainrail.JobRecord) bool {
	if c == (plantainrail.CancelRecord{}) {
		return false
	}
	return (c.Job == "" || c.Job == j.ID) && (c.Team == "" || c.Team == j.Team) && (c.Kind == "" || c.Kind == j.Kind)
}

// applyTask takes a step of a task. An assignment names the attempt before it;
// any other step names the attempt that it ends. A step of an older attempt is
// rejected, so an attempt ends at most once and is resumed at most once.
func (s *State) applyTask(r plantainrail.TaskRecord, at time.Time) Verdict {
	t, ok := s.Tasks[r.Task]
	if !ok {
		return rejected(plantainrail.CodeNotFound, "no task %s", r.Task)
	}
	if r.Step == plantainrail.StepAssign {
		return s.applyAssign(t, r, at)
	}
	if r.Attempt != t.Attempt || t.Worker == "" {
		return rejected(plantainrail.CodeStaleAttempt, "attempt %d of %s is not the current one (%d)", r.Attempt, r.Task, t.Attempt)
	}
	return s.applyEnd(t, r)
}

// applyAssign gives a waiting task a worker. It holds the worker's capacity, and
// the caps of the quiet hours by the log's clock, so that two entries with stale
// views together cannot exceed them.
func (s *State) applyAssign(t *Task, r plantainrail.TaskRecord, at time.Time) Verdict {
	if r.Attempt != t.Attempt+1 || t.State != TaskWaiting {
		return rejected(plantainrail.CodeStaleAttempt, "task %s is %s at attempt %d", t.ID, t.State, t.Attempt)
	}
	if s.Lost[r.Worker][r.Incarnation] {
		return rejected(plantainrail.CodeNotFound, "worker %s was lost", r.Worker)
	}
	if s.Zones[r.Zone].Out {
		return rejected(plantainrail.CodeStartForbidden, "zone %s is out", r.Zone)
	}
	kind, ok := s.kinds.Kind(t.Job.Kind)
	if ok && s.kinds.CapReached(at, s.Running[r.Zone], kind) {
		return rejected(plantainrail.CodeCapReached, "in zone %s", r.Zone)
	}
	reserved := r.Reserved
	if reserved == (plantainrail.Resources{}) {
		reserved = t.Job.Resources
	}
	used := s.Used[VM{r.Worker, r.Incarnation}]
	if r.Capacity != (plantainrail.Resources{}) && !used.Plus(reserved).Fits(r.Capacity) {
		return rejected(plantainrail.CodeOverCapacity, "%+v of %+v is assigned on %s", used, r.Capacity, r.Worker)
	}
	t.State, _ = taskChart.Next(t.State, charter.Event(r.Step))
	t.Attempt = r.Attempt
	t.Worker = r.Worker
	t.Incarnation = r.Incarnation
	t.Reason = r.Reason
	t.Zone = r.Zone
	t.Reserved = reserved
	s.indexAssigned(t)
	return accepted
}

func (s *State) indexAssigned(t *Task) {
	s.Assigned[t.ID] = t
	if s.Running[t.Zone] == nil {
		s.Running[t.Zone] = map[string]int{}
	}
	s.Running[t.Zone][t.Job.Kind]++
	vm := VM{t.Worker, t.Incarnation}
	s.Used[vm] = s.Used[vm].Plus(t.Reserved)
}

func (s *State) unindexAssigned(t *Task) {
	if s.Assigned[t.ID] == nil {
		return
	}
	delete(s.Assigned, t.ID)
	s.Running[t.Zone][t.Job.Kind]--
	vm := VM{t.Worker, t.Incarnation}
	s.Used[vm] = s.Used[vm].Minus(t.Reserved)
	if s.Used[vm] == (plantainrail.Resources{}) {
		delete(s.Used, vm)
	}
}

func (s *State) applyEnd(t *Task, r plantainrail.TaskRecord) Verdict {
	if _, ok := taskChart.Next(t.State, charter.Event(r.Step)); !ok {
		return rejected(plantainrail.CodeStaleAttempt, "task %s is %s", t.ID, t.State)
	}
	event := charter.Event(r.Step)
	switch r.Step {
	case plantainrail.StepRelease:
		t.Evictions++
		t.Checkpoint = r.Checkpoint
	case plantainrail.StepFail:
		event = t.noteFailure()
	}
	s.step(t, event, r.Reason)
	return accepted
}

// noteFailure counts a failed attempt. The task waits for another worker until
// it has failed on as many workers as the limit.
func (t *Task) noteFailure() charter.Event {
	if t.FailedOn == nil {
		t.FailedOn = map[string]bool{}
	}
	t.Failures++
	t.FailedOn[t.Worker] = true
	if len(t.FailedOn) >= taskFailureLimit {
		return "fail"
	}
	return "release"
}

// step moves a task by one event, if its state takes it.
func (s *State) step(t *Task, e charter.Event, reason string) {
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
		s.endTask(t)
	}
}

func (s *State) endTask(t *Task) {
	j := t.Job
	j.open--
	s.usage[usageKey{j.Team, j.Kind}]--
	if j.Done() {
		s.endJob(j)
	}
}

// endJob keeps a bounded number of ended jobs for lookups.
func (s *State) endJob(j *Job) {
	delete(s.Open, j.ID)
	s.ended = append(s.ended, j.ID)
	if len(s.ended) <= endedJobs {
		return
	}
	old := s.Jobs[s.ended[0]]
	s.ended = s.ended[1:]
	delete(s.Jobs, old.ID)
	for _, t := range old.Tasks {
		delete(s.Tasks, t.ID)
	}
}
