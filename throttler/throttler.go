// Package throttler decides how much of its processors each batch task on a VM
// may use while the VM's targets answer requests. It is pure: each step takes
// what was measured since the step before.
//
// Shares are cut by half when requests come close to their objective and are
// restored by a fixed amount while they do not, as congestion control does
// (Chiu and Jain, "Analysis of the Increase and Decrease Algorithms for
// Congestion Avoidance in Computer Networks", 1989). Which kinds are cut follows
// from how much each was seen to slow the targets: a linear model of the
// slowdown, fitted step by step by normalised least mean squares (Widrow and
// Hoff, "Adaptive Switching Circuits", 1960).
package throttler

import (
	"slices"

	"github.com/plantainrail/plantainrail"
)

const (
	// Whole is the share of a task that is not throttled, in thousandths.
	Whole = 1000
	// least is the smallest share that a task keeps, in thousandths.
	least = 50
	// restore is what a calm step gives back, in thousandths.
	restore = 50
	// slowShare is the share of slow requests above which a VM is strained.
	slowShare = 0.03
	// calmSteps is the number of calm steps in a row before shares grow.
	calmSteps = 2
	// learningRate is the step of the fit, from 0 to 1.
	learningRate = 0.2
	// blameShare is the part of the whole slowdown that the cut kinds must cover.
	blameShare = 0.8
)

// Window is what was measured of the targets' requests since the last step.
type Window struct {
	// Ended counts the requests that ended, Slow those that came close to their
	// objective.
	Ended, Slow int
	// Slowdown is the mean time of the requests as a multiple of their
	// objective.
	Slowdown float64
}

// Task is a batch task that runs on the VM.
type Task struct {
	plantainrail.AttemptRef
	Kind string
	// Weight is the worth of the kind.
	Weight int
}

// Throttler keeps the shares of one VM's tasks.
type Throttler struct {
	shares map[plantainrail.AttemptRef]int
	// blame is what one whole task of a kind adds to the slowdown; rest is the
	// slowdown without any.
	blame map[string]float64
	rest  float64
	calm  int
}

// New returns a Throttler that has seen nothing.
func New() *Throttler {
	return &Throttler{shares: map[plantainrail.AttemptRef]int{}, blame: map[string]float64{}}
}

// Step takes a window and the tasks that run, and returns the shares that
// change.
func (t *Throttler) Step(w Window, tasks []Task) map[plantainrail.AttemptRef]int {
	t.learn(w, tasks)
	strained := w.Ended > 0 && float64(w.Slow) > slowShare*float64(w.Ended)
	if strained {
		t.calm = 0
	} else {
		t.calm++
	}
	guilty := t.guilty(tasks)
	shares := make(map[plantainrail.AttemptRef]int, len(tasks))
	changed := map[plantainrail.AttemptRef]int{}
	for _, task := range tasks {
		old := t.Share(task.AttemptRef)
		share := old
		switch {
		case strained && guilty[task.Kind]:
			share = max(least, old/2)
		case !strained && t.calm >= calmSteps:
			share = min(Whole, old+restore)
		}
		shares[task.AttemptRef] = share
		if share != old {
			changed[task.AttemptRef] = share
		}
	}
	t.shares = shares
	return changed
}

// Share returns the share of a task, in thousandths.
func (t *Throttler) Share(ref plantainrail.AttemptRef) int {
	if share, ok := t.shares[ref]; ok {
		return share
	}
	return Whole
}

// Blame returns what one whole task of the kind adds to the slowdown.
func (t *Throttler) Blame(kind string) float64 { return t.blame[kind] }

// Throttled names the kinds whose tasks are left less than half of their
// processors on average.
func (t *Throttler) Throttled(tasks []Task) []string {
	counts := map[string]float64{}
	for _, task := range tasks {
		counts[task.Kind]++
	}
	var kinds []string
	for kind, part := range t.mix(tasks) {
		if part < counts[kind]/2 {
			kinds = append(kinds, kind)
		}
	}
	slices.Sort(kinds)
	return kinds
}

// mix sums the shares of the tasks by kind, a whole task as 1.
func (t *Throttler) mix(tasks []Task) map[string]float64 {
	mix := map[string]float64{}
	for _, task := range tasks {
		mix[task.Kind] += float64(t.Share(task.AttemptRef)) / Whole
	}
	return mix
}

func (t *Throttler) learn(w Window, tasks []Task) {
	if w.Ended == 0 {
		return
	}
	mix := t.mix(tasks)
	expected, norm := t.rest, 1.0
	for kind, part := range mix {
		expected += t.blame[kind] * part
		norm += part * part
	}
	step := learningRate * (w.Slowdown - expected) / norm
	t.rest = max(0, t.rest+step)
	for kind, part := range mix {
		t.blame[kind] = max(0, t.blame[kind]+step*part)
	}
}

// guilty names the kinds that together explain most of the slowdown, the ones
// that slow most for their weight first. While nothing is known every kind is.
func (t *Throttler) guilty(tasks []Task) map[string]bool {
	mix := t.mix(tasks)
	weights := map[string]int{}
	for _, task := range tasks {
		weights[task.Kind] = max(1, task.Weight)
	}
	whole := 0.0
	for kind, part := range mix {
		whole += t.blame[kind] * part
	}
	named := map[string]bool{}
	for covered := 0.0; len(named) < len(mix) && covered <= blameShare*whole; {
		worst := ""
		for kind := range mix {
			if !named[kind] && (worst == "" || t.worse(kind, worst, weights)) {
				worst = kind
			}
		}
		named[worst] = true
		covered += t.blame[worst] * mix[worst]
	}
	return named
}

func (t *Throttler) worse(kind, than string, weights map[string]int) bool {
	a, b := t.blame[kind]/float64(weights[kind]), t.blame[than]/float64(weights[than])
	if a == b {
		return kind < than
	}
	return a > b
}
