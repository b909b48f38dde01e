package planner

import (
	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
)

// CheckReservations returns an error unless what each VM has reserved is the sum of its runs.
func (p *Planner) CheckReservations() error {
	for _, v := range p.ordered {
		sum, fillers := plantainrail.Resources{}, 0
		for _, run := range v.runs {
			sum = sum.Add(run.step().Reservation())
			if run.step().Filler {
				fillers += run.step().CPU
			}
			if run.task.Phase != Placed || run.task.Incarnation != v.Incarnation {
				return errors.Errorf("%s holds %v, which is not placed there", v.Incarnation.Node, run.ref())
			}
		}
		if sum != v.reserved || fillers != v.fillerMillicores || len(v.runs) != len(v.orderedRuns) {
			return errors.Errorf("%s reserves %v and %d for fillers, its runs %v and %d", v.Incarnation.Node, v.reserved, v.fillerMillicores, sum, fillers)
		}
	}
	return nil
}

// Known returns the number of jobs that the catalog holds anything of.
func (c *Catalog) Known() int { return len(c.jobs) }
