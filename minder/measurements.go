package minder

import (
	"math"
	"time"

	"github.com/plantainrail/plantainrail/linker"
)

// smoothingTimeConstant is the time constant of the moving average of the
// processor time that fillers use: after this time it shows about two thirds of a change.
// The worker's tail latencies, which cover the last half second, lag by as much.
const smoothingTimeConstant = 240 * time.Millisecond

// measurementInterval is the time between two reports of measurements to the
// owner.
const measurementInterval = 500 * time.Millisecond

// updateFillerUsage updates the exponential moving average of the processor time
// that the fillers of each image use together. elapsed is the time since the last
// update. Images that use less than a thousandth of a core are removed. The average
// follows a change as slowly as the worker's tail latencies do. The caller holds the
// lock.
func (m *Minder) updateFillerUsage(elapsed time.Duration) {
	usage := m.pacing.fillerUsage
	decay := math.Exp(-elapsed.Seconds() / smoothingTimeConstant.Seconds())
	for image := range usage {
		if usage[image] *= decay; usage[image] < 1 {
			delete(usage, image)
		}
	}
	for ref, status := range m.running {
		if r := m.orderedRuns[ref]; r != nil && r.order.Filler && status.Measurement > 0 {
			usage[r.order.Image] += (1 - decay) * float64(status.Measurement)
		}
	}
}

// reportMeasurements reports the measurements to the owner at most once per
// measurementInterval, and only if a service with a latency objective has been measured.
// The caller holds the lock.
func (m *Minder) reportMeasurements(now time.Time) {
	if now.Sub(m.pacing.measurementsReportedAt) < measurementInterval {
		return
	}
	if measurements := m.measurements(); len(measurements.TailLatencies) > 0 {
		m.pacing.measurementsReportedAt = now
		m.report(linker.WorkReport{Measurements: &measurements})
	}
}

// measurements returns the tail latencies of services with a latency objective and
// the processor time that fillers use. The caller holds the lock.
func (m *Minder) measurements() linker.Measurements {
	out := linker.Measurements{FillerCPU: make(map[string]int, len(m.pacing.fillerUsage))}
	for ref, status := range m.running {
		if r := m.orderedRuns[ref]; r != nil && r.order.TailObjective > 0 && status.Measurement > 0 {
			out.TailLatencies = append(out.TailLatencies, linker.TailLatency{Ref: ref, Milliseconds: status.Measurement})
		}
	}
	for image, used := range m.pacing.fillerUsage {
		out.FillerCPU[image] = int(used)
	}
	return out
}
