package planner

import (
	"slices"

	"github.com/plantainrail/plantainrail"
)

// Abandon ends a job whose progress the store does not take: as failed, unless it has ended
// before. From then on its progress holds only the state, so that its record is small whatever
// the size of the job. The plan must be that of the newest Tick and not be stored yet. Abandon
// withdraws the job's assignments from it, which nobody has seen, and adds the stops of the
// job's other runs. A later owner learns of none of them; the agents stop what it does not want.
func (p *Planner) Abandon(j *Job, plan *Plan) {
	j.stateOnly = true
	plan.Assignments = slices.DeleteFunc(plan.Assignments, func(a Assignment) bool { return a.Order.Ref.Task.Job == j.ID })
	j.eachTask(func(id plantainrail.TaskID, t *Task) {
		if t.Phase != Placed {
			return
		}
		v := p.vms[t.Incarnation]
		if run := v.runs[plantainrail.RunRef{Task: id, Run: t.Run}]; run != nil && !run.stored {
			p.requeue(v, run)
		}
	})
	if !j.State.Final() {
		p.endJob(j, Failed)
	}
	// The stops of other jobs have to wait until those are stored.
	p.stops = slices.DeleteFunc(p.stops, func(s Stop) bool {
		own := s.Ref.Task.Job == j.ID
		if own {
			plan.Stops = append(plan.Stops, s)
		}
		return own
	})
	// The caller stores the job with the plan.
	delete(p.changed, j.ID)
}
