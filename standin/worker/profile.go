package worker

import (
	"time"

	"github.com/plantainrail/plantainrail"
)

const (
	// fullShare is the processor share of a task that is not throttled, in
	// thousandths.
	fullShare = 1000
	// usageLag is the delay of the reported usage.
	usageLag = time.Second
)

// KindProfile describes how tasks of a kind actually behave, regardless of what the
// table declares. Tasks with the zero value use what they reserve and cause no
// interference.
type KindProfile struct {
	// Usage is the actual resource usage of a task; zero means what it reserves.
	Usage plantainrail.Resources
	// RunTimeRatio is the ratio of the actual run time to the declared one; 0 means 1.
	RunTimeRatio float64
	// Interference is the interference of one task: what it adds to the service
	// time of the targets on its VM, as a fraction of that time without tasks.
	Interference float64
}

// SetProfiles sets the actual behavior of tasks by kind.
func (w *Worker) SetProfiles(profiles map[string]KindProfile) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.profiles = profiles
}

// SetInterferenceScale sets a factor by which the interference of all tasks is
// multiplied; it is 1 by default.
func (w *Worker) SetInterferenceScale(scale float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.interferenceScale = scale
}

// Slowdown returns the factor by which the tasks multiply the service times of the
// targets on the VM.
func (w *Worker) Slowdown() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
	sum := 0.0
	for _, a := range w.attempts {
		if a.status.Phase == plantainrail.PhaseRunning {
			sum += w.profiles[a.kind].Interference * a.shareFraction()
		}
	}
	return (1 + w.interferenceScale*sum) * w.contention()
}

// shareFraction returns the fraction of its processors that an attempt gets, from
// 0 to 1.
func (a *attempt) shareFraction() float64 { return float64(a.share) / fullShare }

// usage returns what an attempt uses at its present processor share.
func (w *Worker) usage(a *attempt) plantainrail.Resources {
	used := w.profiles[a.kind].Usage
	if used == (plantainrail.Resources{}) {
		used = a.status.Resources
	}
	used.Processors = int(float64(used.Processors) * a.shareFraction())
	return used
}

// contention returns the factor by which everything on the VM slows down because
// the tasks use more processors than the VM has; it is at least 1.
func (w *Worker) contention() float64 {
	sum := 0
	for _, a := range w.attempts {
		if a.status.Phase == plantainrail.PhaseRunning {
			sum += w.usage(a).Processors
		}
	}
	if w.capacity.Processors == 0 {
		return 1
	}
	return max(1, float64(sum)/float64(w.capacity.Processors))
}

// progressRate returns the progress of an attempt, in ms of declared work per ms.
func (w *Worker) progressRate(a *attempt, contention float64) float64 {
	runtimeFactor := w.profiles[a.kind].RunTimeRatio
	if runtimeFactor == 0 {
		runtimeFactor = 1
	}
	return a.shareFraction() / runtimeFactor / contention
}

// updateUsage updates the reported usage, which lags by at least usageLag.
func (w *Worker) updateUsage(a *attempt, now time.Time) {
	if now.Sub(a.measuredAt) < usageLag {
		return
	}
	a.status.Usage = a.latestUsage
	a.latestUsage = w.usage(a)
	a.measuredAt = now
}
