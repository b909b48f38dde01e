package receiver

import (
	"net/http"
	"slices"
	"strings"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/follower"
	"github.com/plantainrail/plantainrail/reducer"
)

// JobSubmission is the body of a call to submit a job. Repeating a call with
// the same ID has no further effect.
type JobSubmission struct {
	ID   string `json:"id"`
	Kind string `json:"kind"`
	Team string `json:"team"`
	// Tasks is the number of tasks; Work is the declared run time of each in
	// milliseconds.
	Tasks  int  `json:"tasks"`
	Work   int  `json:"work"`
	Urgent bool `json:"urgent"`
}

const (
	maxTasksPerJob = 10_000
	// maxWorkMS bounds the declared run time of a task: seven days, in milliseconds.
	maxWorkMS = 7 * 24 * 60 * 60 * 1000
)

func (r *Receiver) postJob(w http.ResponseWriter, req *http.Request) error {
	in, err := decodeBody[JobSubmission](req)
	if err != nil {
		return err
	}
	record, err := r.jobRecord(in)
	if err != nil {
		return err
	}
	if err := r.proposeAndWait(req.Context(), plantainrail.Record{Type: plantainrail.RecordJob, Job: &record}); err != nil {
		return err
	}
	r.scheduler.wakeUp()
	return r.replyJob(w, record.ID)
}

// jobRecord validates a submission and returns its record, with the resources and
// the team's quota from the active table. It assigns an ID if there is none.
func (r *Receiver) jobRecord(in JobSubmission) (plantainrail.JobRecord, error) {
	kind, ok := r.Table().Kind(in.Kind)
	switch {
	case !ok:
		return plantainrail.JobRecord{}, plantainrail.NewError(plantainrail.CodeUnknownKind, "kind %q", in.Kind)
	case in.Tasks < 1 || in.Tasks > maxTasksPerJob:
		return plantainrail.JobRecord{}, plantainrail.NewError(plantainrail.CodeJobInvalid, "tasks must be from 1 to %d", maxTasksPerJob)
	case in.Work < 0 || in.Work > maxWorkMS:
		return plantainrail.JobRecord{}, plantainrail.NewError(plantainrail.CodeJobInvalid, "work must be from 0 to %d ms", maxWorkMS)
	case strings.Contains(in.ID, "/"):
		return plantainrail.JobRecord{}, plantainrail.NewError(plantainrail.CodeJobInvalid, "an ID holds no slash")
	}
	if in.ID == "" {
		in.ID = follower.NewID()
	}
	record := plantainrail.JobRecord{
		ID: in.ID, Kind: in.Kind, Team: in.Team, Tasks: in.Tasks, Work: in.Work, Urgent: in.Urgent, Resources: kind.Resources,
	}
	if quota, ok := kind.Quota(in.Team); ok {
		record.Quota = &quota
	}
	return record, nil
}

// TaskReply describes one task.
type TaskReply struct {
	ID        string `json:"id"`
	State     string `json:"state"`
	Attempt   int64  `json:"attempt"`
	Worker    string `json:"worker,omitempty"`
	Evictions int    `json:"evictions"`
	Failures  int    `json:"failures"`
	// Reason says why a waiting task was not placed or, if that is not known, why
	// the task last changed its state.
	Reason string `json:"reason,omitempty"`
}

// JobReply describes one job. Done is set once every task has ended, and States
// counts the tasks by state.
type JobReply struct {
	plantainrail.JobRecord
	Done   bool           `json:"done"`
	States map[string]int `json:"states"`
	// Detail describes the tasks. It is empty in a list of jobs.
	Detail []TaskReply `json:"detail,omitempty"`
}

func (r *Receiver) getJob(w http.ResponseWriter, req *http.Request) error {
	return r.replyJob(w, req.PathValue("id"))
}

// replyJob sends the description of a job and its tasks.
func (r *Receiver) replyJob(w http.ResponseWriter, id string) error {
	var out JobReply
	found := false
	r.follower.View(func(s *reducer.State) {
		j, ok := s.Jobs[id]
		if !ok {
			return
		}
		found = true
		out = r.describeJob(j)
		for _, t := range j.Tasks {
			reason := t.Reason
			if waitReason := r.scheduler.waitReason(t.ID); waitReason != "" && t.State == reducer.TaskWaiting {
				reason = waitReason
			}
			out.Detail = append(out.Detail, TaskReply{t.ID, string(t.State), t.Attempt, t.Worker, t.Evictions, t.Failures, reason})
		}
	})
	if !found {
		return plantainrail.NewError(plantainrail.CodeNotFound, "job %s", id)
	}
	return writeJSON(w, out)
}

// describeJob returns the description of a job without its tasks.
func (r *Receiver) describeJob(j *reducer.Job) JobReply {
	out := JobReply{JobRecord: j.JobRecord, Done: j.Done(), States: map[string]int{}}
	for _, t := range j.Tasks {
		out.States[string(t.State)]++
	}
	return out
}

// getJobs sends the descriptions of the known jobs, the oldest first.
func (r *Receiver) getJobs(w http.ResponseWriter, _ *http.Request) error {
	list := []JobReply{}
	offsets := map[string]plantainrail.Offset{}
	r.follower.View(func(s *reducer.State) {
		for _, j := range s.Jobs {
			list = append(list, r.describeJob(j))
			offsets[j.ID] = j.Offset
		}
	})
	slices.SortFunc(list, func(a, b JobReply) int { return int(offsets[a.ID] - offsets[b.ID]) })
	return writeJSON(w, list)
}

// cancelJobs cancels the unfinished jobs that match the body and sends the body back.
// It is an error if none matches.
func (r *Receiver) cancelJobs(w http.ResponseWriter, req *http.Request) error {
	in, err := decodeBody[plantainrail.CancelRecord](req)
	if err != nil {
		return err
	}
	if err := r.proposeAndWait(req.Context(), plantainrail.Record{Type: plantainrail.RecordCancel, Cancel: &in}); err != nil {
		return err
	}
	r.scheduler.wakeUp()
	return writeJSON(w, in)
}
