package worker

import (
	"time"

	"github.com/plantainrail/plantainrail"
)

const (
	// fullShare is the processor share of a task that is not throttled, in
	// thousandths.
	fullShare = 1000
	// usageLag is the minimum age of the reported usage.
	usageLag = time.Second
)

// KindProfile describes how tasks of a kind actually behave, regardless of what the
// table declares. With the zero value, tasks use what they reserve, take the declared
// run time and cause no interference.
type KindProfile struct {
	// Usage is the actual resource usage of a task; zero means what it reserves.
	Usage plantainrail.Resources
	// RunTimeRatio is the ratio of the actual run time to the declared one; 0 means 1.
	RunTimeRatio float64
	// Interference is what one task adds to the service time of the targets on its
	// VM, as a fraction of the service time without tasks.
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

// Slowdown returns the factor by which the running tasks multiply the service times
// of the targets on the VM; it is at least 1.
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

// usage returns what an attempt uses at its present processor share. A smaller share
// reduces only the use of processors.
func (w *Worker) usage(a *attempt) plantainrail.Resources {
	used := w.profiles[a.kind].Usage
	if used == (plantainrail.Resources{}) {
		used = a.status.Resources
	}
	used.Processors = int(float64(used.Processors) * a.shareFraction())
	return used
}

// contention returns the factor by which everything on the VM slows down when
// the tasks use more processors than the VM has; it is at least 1, and 1 if the
// capacity is unknown.
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

// progressRate returns the progress of a running attempt, in milliseconds of declared
// work per millisecond.
func (w *Worker) progressRate(a *attempt, contention float64) float64 {
	runTimeRatio := w.profiles[a.kind].RunTimeRatio
	if runTimeRatio == 0 {
		runTimeRatio = 1
	}
	return a.shareFraction() / runTimeRatio / contention
}

// updateUsage reports the latest measurement of an attempt's usage and takes a new
// one, if usageLag has passed since the latest measurement. The reported usage is
// therefore at least usageLag old.
func (w *Worker) updateUsage(a *attempt, now time.Time) {
	if now.Sub(a.measuredAt) < usageLag {
		return
	}
	a.status.Usage = a.latestUsage
	a.latestUsage = w.usage(a)
	a.measuredAt = now
}
