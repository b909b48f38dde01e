package minder

import (
	"math"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
)

func refForJob(job string) plantainrail.RunRef {
	return plantainrail.RunRef{Task: plantainrail.TaskID{Job: job}, Run: 1}
}

// newMinderWithMeasurements returns an agent whose worker runs a service, two
// fillers of one image and another task. The service "young" has no measurement
// yet.
func newMinderWithMeasurements() *Minder {
	m := New(Options{Logger: zap.NewNop(), Now: time.Now})
	for job, order := range map[string]plantainrail.RunOrder{
		"service": {TailTarget: 100}, "young": {TailTarget: 100}, "a": {Filler: true, Image: "f"}, "b": {Filler: true, Image: "f"}, "other": {},
	} {
		order.Ref = refForJob(job)
		m.desired[order.Ref] = &run{order: order}
	}
	for job, measurement := range map[string]int{"service": 40, "young": 0, "a": 3000, "b": 2000, "other": 900, "unwanted": 800} {
		m.running[refForJob(job)] = plantainrail.RunStatus{Ref: refForJob(job), Measurement: measurement}
	}
	return m
}

func TestFillerUsageIsSmoothed(t *testing.T) {
	m := newMinderWithMeasurements()
	m.updateFillerUsage(smoothingTimeConstant)
	assert.Assert(t, math.Abs(m.pacing.fillerUsage["f"]-5000*(1-1/math.E)) < 1, "after one time constant: %.0f", m.pacing.fillerUsage["f"])
	for range 10 {
		m.updateFillerUsage(paceInterval)
	}
	assert.Assert(t, math.Abs(m.pacing.fillerUsage["f"]-5000) < 10, "after convergence: %.0f", m.pacing.fillerUsage["f"])
	clear(m.running)
	m.updateFillerUsage(paceInterval)
	assert.Assert(t, m.pacing.fillerUsage["f"] > 1000, "usage falls gradually after the fillers end")
	for range 10 {
		m.updateFillerUsage(paceInterval)
	}
	assert.Equal(t, len(m.pacing.fillerUsage), 0, "fillers that have ended are removed")
}

func TestMeasurementsCoverServicesAndFillersOnly(t *testing.T) {
	m := newMinderWithMeasurements()
	m.updateFillerUsage(time.Minute)
	measurements := m.measurements()
	assert.Equal(t, len(measurements.TailLatencies), 1, "a service without a measurement is left out")
	assert.Equal(t, measurements.TailLatencies[0].Ref, refForJob("service"))
	assert.Equal(t, measurements.TailLatencies[0].Milliseconds, 40)
	assert.DeepEqual(t, measurements.FillerCPU, map[string]int{"f": 5000})
}
