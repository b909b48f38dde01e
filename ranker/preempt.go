package ranker

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainrail/plantainrail"
)

// PreemptingPriority is the priority whose tasks may have runs of lower ones stopped. The platform
// defines it.
const PreemptingPriority = 0

// MustPreempt reports whether a task of the work that finds no room would start too late if it went on
// waiting: its objective leaves no more time than lead beside the remaining work. The work of another
// priority and work that has expired stop nothing.
func (w Work) MustPreempt(lead time.Duration, now time.Time) bool {
	if w.Priority != PreemptingPriority || w.Objective.IsZero() || !now.Before(w.Expiry()) {
		return false
	}
	return !now.Add(w.ChainLeft + lead).Before(w.Objective)
}

// Run is a run that may be stopped.
type Run struct {
	// Index identifies the run for the caller.
	Index     int
	Resources plantainrail.Resources
	// Loss is the work that a stop throws away, in millicores times milliseconds.
	Loss float64
}

// Victims are the runs to be stopped on one VM, the one with the least loss first.
type Victims []Run

// Loss returns the sum of the losses.
func (v Victims) Loss() float64 {
	sum := 0.0
	for _, r := range v {
		sum += r.Loss
	}
	return sum
}

// Better reports whether fewer runs are stopped than with the other victims, or as many with less loss.
func (v Victims) Better(other Victims) bool {
	return cmp.Or(cmp.Compare(len(v), len(other)), cmp.Compare(v.Loss(), other.Loss())) < 0
}

// ChooseVictims returns as few as possible of a VM's runs whose end makes room, and of these the ones that lose
// least. Free is what the VM has left, which may be negative. It returns nil if all of them do not make room.
func ChooseVictims(needed, free plantainrail.Resources, runs []Run) Victims {
	runs = slices.SortedStableFunc(slices.Values(runs), func(a, b Run) int { return cmp.Compare(a.Loss, b.Loss) })
	for _, r := range runs {
		if needed.Fits(free.Add(r.Resources)) {
			return Victims{r}
		}
	}
	var chosen Victims
	for _, r := range runs {
		if needed.Fits(free) {
			break
		}
		free, chosen = free.Add(r.Resources), append(chosen, r)
	}
	if !needed.Fits(free) {
		return nil
	}
	// The runs that lose most are spared first if the others make enough room.
	for i := len(chosen) - 1; i >= 0; i-- {
		if without := free.Sub(chosen[i].Resources); needed.Fits(without) {
			free, chosen = without, slices.Delete(chosen, i, i+1)
		}
	}
	return chosen
}
