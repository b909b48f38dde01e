package planner

import (
	"slices"
	"time"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/ranker"
)

// maxBacklogQueues bounds the queues of a Backlog, which is part of a stored record.
const maxBacklogQueues = 256

// Scarce reports whether the newest tick has found too little capacity for the tasks of some priority.
func (p *Planner) Scarce() bool { return len(p.scarceNext) > 0 }

// Backlog returns the work ahead of a new job, by the name of its queue, for the queues whose priority found too
// little capacity in the newest tick. Expired work is not ahead of a new job and does not count.
func (p *Planner) Backlog(now time.Time) map[string]ranker.Backlog {
	if !p.Scarce() {
		return nil
	}
	tasks, fillers := map[competition]float64{}, map[competition]float64{}
	for _, j := range p.active {
		in := competition{p.vmPool(j), j.Queue.Priority}
		if j.State.Final() || j.CancelRequested || hasLasting(j.Workflow) {
			continue
		}
		for k := range j.Occurrences() {
			if j.NotBefore(k).After(now) {
				break
			}
			if w := j.work(k); w.Class(0, now) != ranker.Expired {
				if allFillers(j.Workflow) {
					fillers[in] += w.Left
				} else {
					tasks[in] += w.Left
				}
			}
		}
	}
	capacity := p.batchCapacity()
	out := map[string]ranker.Backlog{}
	for _, q := range p.config.Queues {
		if !p.scarceNext[competition{q.Pool, q.Priority}] || capacity[q.Pool] <= 0 || len(out) == maxBacklogQueues {
			continue
		}
		ahead, fillersAhead := 0.0, 0.0
		for in, left := range tasks {
			if in.pool == q.Pool && in.priority <= q.Priority {
				ahead += left
			}
		}
		for in, left := range fillers {
			if in.pool == q.Pool && in.priority <= q.Priority {
				fillersAhead += left
			}
		}
		out[q.Name] = ranker.Backlog{TaskMS: int64(ahead / capacity[q.Pool]), FillerMS: int64((ahead + fillersAhead) / capacity[q.Pool])}
	}
	return out
}

// batchCapacity returns the processors of each pool, in millicores, that long-running tasks do not hold.
func (p *Planner) batchCapacity() map[string]float64 {
	out := map[string]float64{}
	for _, v := range p.ordered {
		if p.config.Out[v.Zone] {
			continue
		}
		out[v.Pool] += float64(v.Capacity.Processors)
		for _, run := range v.orderedRuns {
			if step := run.step(); step.Lasting {
				out[v.Pool] -= float64(step.Reservation().Processors)
			}
		}
	}
	return out
}

// Refuse reports whether a job is refused because of the backlog of its queue, and after which time the client should
// try again; see ranker.Backlog. Jobs with times of their own, long-running tasks or steps without an estimate are not
// refused. Draw is a random number from [0, 1).
func Refuse(b ranker.Backlog, w plantainrail.Workflow, draw float64) (retryAfter time.Duration, refused bool) {
	if w.Repetitions > 0 || hasLasting(w) {
		return 0, false
	}
	chain, estimated := estimatedChain(w)
	if !estimated {
		return 0, false
	}
	return b.Refuse(ranker.Offer{
		Priority: w.Queue.Priority, Chain: chain, StretchFactor: w.Queue.StretchFactor,
		Slack: time.Duration(w.Queue.SlackMS) * time.Millisecond, Filler: allFillers(w),
	}, draw)
}

// estimatedChain returns the longest chain of the steps' estimates; estimated is false if a step has none.
func estimatedChain(w plantainrail.Workflow) (chain time.Duration, estimated bool) {
	ends := make([]time.Duration, len(w.Steps))
	for s, step := range w.Steps {
		if step.Estimate <= 0 {
			return 0, false
		}
		for _, dependency := range step.DependsOn {
			ends[s] = max(ends[s], ends[dependency])
		}
		ends[s] += time.Duration(step.Estimate) * time.Millisecond
		chain = max(chain, ends[s])
	}
	return chain, true
}

// hasLasting reports whether a step is long-running.
func hasLasting(w plantainrail.Workflow) bool {
	return slices.ContainsFunc(w.Steps, func(s plantainrail.Step) bool { return s.Lasting })
}

// allFillers reports whether all steps are fillers.
func allFillers(w plantainrail.Workflow) bool {
	return !slices.ContainsFunc(w.Steps, func(s plantainrail.Step) bool { return !s.Filler })
}
