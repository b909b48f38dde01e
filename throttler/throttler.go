// Package throttler decides which share of its processors each batch task on a VM may use
// while the VM's targets serve requests. Package agent calls it in fixed steps and applies
// the shares. It performs no I/O and reads no clock: each step takes the measurements
// since the previous one.
//
// Shares follow additive increase and multiplicative decrease: they are halved when too
// many requests come close to their latency objective and are raised by a fixed amount
// otherwise (Chiu and Jain, "Analysis of the Increase and Decrease Algorithms for
// Congestion Avoidance in Computer Networks", 1989). The kinds to throttle are chosen by
// the interference of each with the targets. It is estimated by a linear model of the
// requests' slowdown, which is fitted at each step by normalised least mean squares
// (Widrow and Hoff, "Adaptive Switching Circuits", 1960).
package throttler

import (
	"slices"

	"github.com/plantainrail/plantainrail"
)

const (
	// FullShare is the share of a task that is not throttled, in thousandths.
	FullShare = 1000
	// minShare is the smallest share that a throttled task keeps, in thousandths.
	minShare = 50
	// restoreStep is how much a share is raised at a step, in thousandths.
	restoreStep = 50
	// maxSlowShare is the largest share of slow requests in a step that does not count as
	// interference, from 0 to 1.
	maxSlowShare = 0.03
	// minCalmSteps is the number of successive steps without interference, including the
	// current one, that are needed to raise shares.
	minCalmSteps = 2
	// learningRate is the step size of the least mean squares fit, from 0 to 1.
	learningRate = 0.2
	// minCoveredSlowdown is the part of the slowdown by all kinds that the throttled kinds
	// together must exceed, from 0 to 1.
	minCoveredSlowdown = 0.8
)

// Measurements holds the measurements of the targets' requests since the previous step.
type Measurements struct {
	// Ended counts the measured requests, and Slow those of them whose latency came close
	// to their objective. The caller decides above which fraction of the objective a
	// request is slow.
	Ended, Slow int
	// Slowdown is the mean latency of the requests as a multiple of their objective; 0 if
	// no request was measured.
	Slowdown float64
}

// Task is a batch task that runs on the VM.
type Task struct {
	plantainrail.AttemptRef
	Kind string
	// Weight is the kind's weight in the table. Of two kinds with the same interference,
	// the one with the lower weight is throttled first.
	Weight int
}

// Throttler computes the shares of one VM's tasks. It is not safe for concurrent use.
type Throttler struct {
	shares map[plantainrail.AttemptRef]int
	// slowdownPerTask is the estimated slowdown that one task of a kind causes at its full
	// share; baseSlowdown is the estimated slowdown without batch tasks.
	slowdownPerTask map[string]float64
	baseSlowdown    float64
	// calmSteps counts the steps since the last one with interference.
	calmSteps int
}

// New returns a Throttler with no shares and all estimates zero.
func New() *Throttler {
	return &Throttler{shares: map[plantainrail.AttemptRef]int{}, slowdownPerTask: map[string]float64{}}
}

// Update carries out one step: it applies the measurements, adjusts the shares of the
// running tasks and returns the shares that changed, in thousandths. Tasks must be all
// batch tasks that run; the shares of others are discarded.
func (t *Throttler) Update(measurements Measurements, tasks []Task) map[plantainrail.AttemptRef]int {
	t.fitModel(measurements, tasks)
	interference := measurements.Ended > 0 && float64(measurements.Slow) > maxSlowShare*float64(measurements.Ended)
	if interference {
		t.calmSteps = 0
	} else {
		t.calmSteps++
	}
	throttled := t.kindsToThrottle(tasks)
	shares := make(map[plantainrail.AttemptRef]int, len(tasks))
	changed := map[plantainrail.AttemptRef]int{}
	for _, task := range tasks {
		current := t.Share(task.AttemptRef)
		next := current
		switch {
		case interference && throttled[task.Kind]:
			next = max(minShare, current/2)
		case !interference && t.calmSteps >= minCalmSteps:
			next = min(FullShare, current+restoreStep)
		}
		shares[task.AttemptRef] = next
		if next != current {
			changed[task.AttemptRef] = next
		}
	}
	t.shares = shares
	return changed
}

// Share returns the share of a task, in thousandths; FullShare for an unknown task.
func (t *Throttler) Share(ref plantainrail.AttemptRef) int {
	if share, ok := t.shares[ref]; ok {
		return share
	}
	return FullShare
}

// SlowdownPerTask returns the estimated slowdown that one task of the kind causes at
// its full share.
func (t *Throttler) SlowdownPerTask(kind string) float64 { return t.slowdownPerTask[kind] }

// Throttled returns the kinds whose tasks have on average less than half of their full
// share, sorted by name.
func (t *Throttler) Throttled(tasks []Task) []string {
	counts := map[string]float64{}
	for _, task := range tasks {
		counts[task.Kind]++
	}
	var kinds []string
	for kind, equivalent := range t.taskEquivalents(tasks) {
		if equivalent < counts[kind]/2 {
			kinds = append(kinds, kind)
		}
	}
	slices.Sort(kinds)
	return kinds
}

// taskEquivalents sums the shares of the tasks by kind, where a task at its full share
// counts as 1.
func (t *Throttler) taskEquivalents(tasks []Task) map[string]float64 {
	equivalents := map[string]float64{}
	for _, task := range tasks {
		equivalents[task.Kind] += float64(t.Share(task.AttemptRef)) / FullShare
	}
	return equivalents
}

// fitModel updates the linear model with the measured slowdown: it corrects the estimate
// of each kind in proportion to the sum of the shares of the kind's tasks. It treats the
// base slowdown as a kind that always has one task at its full share. Estimates are
// never negative, since a task cannot speed requests up.
func (t *Throttler) fitModel(measurements Measurements, tasks []Task) {
	if measurements.Ended == 0 {
		return
	}
	equivalents := t.taskEquivalents(tasks)
	expected, norm := t.baseSlowdown, 1.0
	for kind, equivalent := range equivalents {
		expected += t.slowdownPerTask[kind] * equivalent
		norm += equivalent * equivalent
	}
	step := learningRate * (measurements.Slowdown - expected) / norm
	t.baseSlowdown = max(0, t.baseSlowdown+step)
	for kind, equivalent := range equivalents {
		t.slowdownPerTask[kind] = max(0, t.slowdownPerTask[kind]+step*equivalent)
	}
}

// kindsToThrottle returns the kinds that together cause more than minCoveredSlowdown of
// the slowdown by all kinds, chosen in descending order of slowdown relative to weight.
// While no slowdown is attributed to any of them it returns every kind.
func (t *Throttler) kindsToThrottle(tasks []Task) map[string]bool {
	equivalents := t.taskEquivalents(tasks)
	weights := map[string]int{}
	for _, task := range tasks {
		weights[task.Kind] = max(1, task.Weight)
	}
	total := 0.0
	for kind, equivalent := range equivalents {
		total += t.slowdownPerTask[kind] * equivalent
	}
	chosen := map[string]bool{}
	for covered := 0.0; len(chosen) < len(equivalents) && covered <= minCoveredSlowdown*total; {
		worst := ""
		for kind := range equivalents {
			if !chosen[kind] && (worst == "" || t.slowsMore(kind, worst, weights)) {
				worst = kind
			}
		}
		chosen[worst] = true
		covered += t.slowdownPerTask[worst] * equivalents[worst]
	}
	return chosen
}

// slowsMore reports whether a kind causes more slowdown relative to its weight than
// another one. Equal kinds are ordered by name, so that the choice is deterministic.
func (t *Throttler) slowsMore(kind, other string, weights map[string]int) bool {
	a, b := t.slowdownPerTask[kind]/float64(weights[kind]), t.slowdownPerTask[other]/float64(weights[other])
	if a == b {
		return kind < other
	}
	return a > b
}
