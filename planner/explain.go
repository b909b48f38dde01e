package planner

import (
	"maps"
	"slices"
	"time"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/ranker"
)

// maxExplainedSteps bounds the steps that an Explanation describes. With 700 VMs the answer stays below the
// limit of a message between entries.
const maxExplainedSteps = 8

// Explanation tells where the tasks of a job would be placed now, and what speaks against each VM.
type Explanation struct {
	// JobsAhead is the number of jobs with waiting tasks that are served before the job, and TasksAhead that
	// of these tasks.
	JobsAhead  int `cbor:"0,keyasint" json:"jobsAhead"`
	TasksAhead int `cbor:"1,keyasint" json:"tasksAhead"`
	// VMs is the number of known VMs. VMsAgeMS is the time in milliseconds since the oldest renewal of the lease of
	// one whose agent is connected.
	VMs      int   `cbor:"2,keyasint" json:"vms"`
	VMsAgeMS int64 `cbor:"3,keyasint" json:"vmsAgeMs"`
	// StartsInMS is the time until the first occurrence is due, in milliseconds; 0 if it is due.
	StartsInMS int64 `cbor:"4,keyasint,omitempty" json:"startsInMs,omitempty"`
	// Steps are the first steps that depend on no other one, at most maxExplainedSteps. OtherSteps is the number of
	// the other steps.
	Steps      []ExplainedStep `cbor:"5,keyasint" json:"steps"`
	OtherSteps int             `cbor:"6,keyasint,omitempty" json:"otherSteps,omitempty"`
}

// ExplainedStep tells where the tasks of a step would be placed.
type ExplainedStep struct {
	Step int `cbor:"0,keyasint" json:"step"`
	// Tasks is the number of tasks, and Placed that of those which would be placed now.
	Tasks  int           `cbor:"1,keyasint" json:"tasks"`
	Placed int           `cbor:"2,keyasint" json:"placed"`
	VMs    []ExplainedVM `cbor:"3,keyasint" json:"vms"`
}

// ExplainedVM is a VM that was considered for the tasks of a step.
type ExplainedVM struct {
	Node string `cbor:"0,keyasint" json:"node"`
	// Placed is the number of tasks that would be placed on the VM now.
	Placed int `cbor:"1,keyasint,omitempty" json:"placed,omitempty"`
	// Fact is the reason for which the VM cannot take a task, and Judgements are those for which it had better not;
	// see docs/PLACEMENT.md.
	Fact       Obstacle   `cbor:"2,keyasint,omitempty" json:"fact,omitempty"`
	Judgements []Obstacle `cbor:"3,keyasint,omitempty" json:"judgements,omitempty"`
	// Score ranks the VMs before the first task is placed: the highest one gets it. It is 0 if the VM takes none.
	Score float64 `cbor:"4,keyasint,omitempty" json:"score,omitempty"`
}

// Explain tells where the tasks of a job would be placed if it was accepted now, after what is placed already. It decides as Tick
// does, on a copy of the VMs, and changes nothing.
func (p *Planner) Explain(w plantainrail.Workflow, now time.Time) Explanation {
	trial := p.copyVMs()
	j := newJob(w, p.Book.acceptedCount+1)
	j.noteAccepted(now)
	e := Explanation{VMs: len(p.ordered), VMsAgeMS: p.vmsAge(now).Milliseconds()}
	if at := j.NotBefore(0); at.After(now) {
		e.StartsInMS = at.Sub(now).Milliseconds()
	}
	e.JobsAhead, e.TasksAhead = trial.ahead(j, now)
	o := j.openOccurrence(0)
	for s := range o {
		if len(e.Steps) == maxExplainedSteps || !j.dependenciesDone(o, s) {
			e.OtherSteps++
			continue
		}
		e.Steps = append(e.Steps, trial.explainStep(readyStep{job: j, step: s}, now))
	}
	return e
}

// ahead returns the numbers of jobs with waiting tasks, and of these tasks, that would be served before a job. Turns
// that the planner gives to others, and tasks that are about to starve, are not foreseen.
func (p *Planner) ahead(j *Job, now time.Time) (jobs, tasks int) {
	pools := p.poolUse(now)
	key := func(j *Job, occurrence int) ranker.Key {
		pool := p.vmPool(j)
		return j.work(occurrence).Key(p.scarceNext[competition{pool, j.Queue.Priority}], pools[pool].capacity, now)
	}
	own, found := key(j, 0), map[*Job]bool{}
	for _, r := range p.readySteps(now) {
		if key(r.job, r.occurrence).Compare(own) < 0 {
			found[r.job] = true
			tasks += r.waitingTasks()
		}
	}
	return len(found), tasks
}

// explainStep places the tasks of a step and tells where.
func (p *Planner) explainStep(ready readyStep, now time.Time) ExplainedStep {
	// The job has just arrived, so it has not waited.
	ready.wait = newWait(time.Time{}, ready.definition().Lasting || p.idlePools()[p.vmPool(ready.job)], now)
	out := ExplainedStep{Step: ready.step, Tasks: ready.waitingTasks()}
	rated := p.rate(ready, p.shapeOf(ready, now), now)
	for i, v := range p.ordered {
		explained := ExplainedVM{Node: v.Incarnation.Node}
		f, doubts := p.obstacles(v, ready, &ready.tasks()[0], now)
		explained.Fact = Obstacle(f)
		for _, doubt := range doubts {
			explained.Judgements = append(explained.Judgements, doubt.name)
		}
		switch {
		case rated.scores[i] != unsuitable:
			explained.Score = rated.scores[i]
		case f == "" && len(doubts) == 0:
			// Only interference with services keeps a filler off such a VM.
			explained.Judgements = append(explained.Judgements, judgedHarmful.name)
		}
		out.VMs = append(out.VMs, explained)
	}
	for _, a := range p.placeReady(ready, now) {
		out.Placed++
		at, _ := slices.BinarySearchFunc(p.ordered, a.Incarnation, compareIncarnation)
		out.VMs[at].Placed++
	}
	return out
}

// copyVMs returns a planner on which tasks can be placed without an effect on p, except for those of the jobs of p.
func (p *Planner) copyVMs() *Planner {
	c := *p
	c.vms, c.ordered = make(map[plantainrail.WorkerIncarnation]*vm, len(p.vms)), make([]*vm, 0, len(p.ordered))
	for _, v := range p.ordered {
		copied := *v
		copied.runs, copied.orderedRuns, copied.failedJobs = maps.Clone(v.runs), slices.Clone(v.orderedRuns), maps.Clone(v.failedJobs)
		c.vms[v.Incarnation], c.ordered = &copied, append(c.ordered, &copied)
	}
	c.changed, c.unplaceable, c.scarce, c.scarceNext = map[string]*Job{}, map[shape]bool{}, map[competition]bool{}, maps.Clone(p.scarceNext)
	c.ready, c.scores, c.stops, c.lost, c.unplaced = nil, nil, nil, nil, nil
	return &c
}

// vmsAge returns the time since the oldest renewal of the lease of a VM whose agent is connected.
func (p *Planner) vmsAge(now time.Time) time.Duration {
	age := time.Duration(0)
	for _, v := range p.ordered {
		if v.connected {
			age = max(age, now.Sub(v.renewedAt))
		}
	}
	return age
}
