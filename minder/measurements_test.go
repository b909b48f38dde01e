package minder

import (
	"math"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/pacer"
)

func refForJob(job string) plantainrail.RunRef {
	return plantainrail.RunRef{Task: plantainrail.TaskID{Job: job}, Run: 1}
}

// newMinderWithMeasurements returns an agent whose worker runs two services with a
// latency objective, two fillers of image "f", a task that is neither, and a run that the
// owner does not want. The fillers use 5000 thousandths of a core together. The
// service "young" has no measurement yet.
func newMinderWithMeasurements() *Minder {
	m := New(Options{Logger: zap.NewNop(), Now: time.Now})
	for job, order := range map[string]plantainrail.RunOrder{
		"service": {TailObjective: 100}, "young": {TailObjective: 100}, "a": {Filler: true, Image: "f"}, "b": {Filler: true, Image: "f"}, "other": {},
	} {
		order.Ref = refForJob(job)
		m.orderedRuns[order.Ref] = &run{order: order}
	}
	for job, measurement := range map[string]int{"service": 40, "young": 0, "a": 3000, "b": 2000, "other": 900, "unwanted": 800} {
		m.running[refForJob(job)] = plantainrail.RunStatus{Ref: refForJob(job), Measurement: measurement}
	}
	return m
}

func TestFillerUsageIsSmoothed(t *testing.T) {
	m := newMinderWithMeasurements()
	m.updateFillerUsage(smoothingTimeConstant)
	assert.Assert(t, math.Abs(m.pacing.fillerUsage["f"]-5000*(1-1/math.E)) < 1, "usage after one time constant is %.0f, want about 3161", m.pacing.fillerUsage["f"])
	for range 10 {
		m.updateFillerUsage(paceInterval)
	}
	assert.Assert(t, math.Abs(m.pacing.fillerUsage["f"]-5000) < 10, "usage long after the fillers started is %.0f, want about 5000", m.pacing.fillerUsage["f"])
	clear(m.running)
	m.updateFillerUsage(paceInterval)
	assert.Assert(t, m.pacing.fillerUsage["f"] > 1000, "usage fell at once when the fillers ended, want a gradual fall")
	for range 10 {
		m.updateFillerUsage(paceInterval)
	}
	assert.Equal(t, len(m.pacing.fillerUsage), 0, "an image is still listed long after its fillers ended")
}

// The report to the owner must include neither tasks that are no fillers and have no
// latency objective nor runs that the owner does not want.
func TestMeasurementsCoverServicesAndFillersOnly(t *testing.T) {
	m := newMinderWithMeasurements()
	m.updateFillerUsage(time.Minute)
	measurements := m.measurements()
	assert.Equal(t, len(measurements.TailLatencies), 1, "want only the service that has a measurement")
	assert.Equal(t, measurements.TailLatencies[0].Ref, refForJob("service"))
	assert.Equal(t, measurements.TailLatencies[0].Milliseconds, 40)
	assert.DeepEqual(t, measurements.FillerCPU, map[string]int{"f": 5000})
}

// Guards against fillers that stay paused after the agent was restarted during a pause: the
// new process takes them for running and never sends them full pace.
func TestPaceOfRunsOfAnEarlierProcessIsUnknown(t *testing.T) {
	m := newMinderWithMeasurements()
	r := m.orderedRuns[refForJob("a")]
	assert.Equal(t, m.pacing.confirmedPace(r), pacer.FullPace)
	r.reordered = true
	assert.Equal(t, m.pacing.confirmedPace(r), unknownPace)
	m.pacing.confirmed[r.order.Ref] = pacer.ZeroPace
	assert.Equal(t, m.pacing.confirmedPace(r), pacer.ZeroPace)
}

// A service that is over its objective counts only while fillers work, and a gap between the
// measurements counts for a second at most.
func TestTimeOverObjectiveBesideFillersIsCounted(t *testing.T) {
	m, over := newMinderWithMeasurements(), time.Duration(0)
	m.ReportTimeOver = func(total time.Duration) { over = total }
	services := []pacer.Service{{Name: "over", Tail: 101, Target: 100}, {Name: "under", Tail: 100, Target: 100}}
	m.countTimeOver(paceInterval, 0, services)
	assert.Equal(t, over, time.Duration(0))
	m.countTimeOver(paceInterval, 1, services)
	m.countTimeOver(time.Minute, 1, services)
	assert.Equal(t, over, paceInterval+maxCountedGap)
}

// Guards against fillers that start while fillers are paused: each works at full speed until its
// pace takes effect, so that the service is slowed through the whole pause (HARM).
func TestFillersDoNotStartDuringAPause(t *testing.T) {
	m, begin := newMinderWithMeasurements(), time.Now()
	for _, at := range []time.Duration{0, 4 * time.Second} {
		m.pacing.pacer.Update(begin.Add(at), []pacer.Service{{Name: "service", Tail: 1000, Target: 100}})
	}
	assert.Equal(t, m.pacing.pacer.Pace(), pacer.ZeroPace)
	m.clock.readAt, m.leaseUntil = m.Now(), m.Now().Add(time.Minute)
	m.heartbeatAt, m.HeartbeatInterval = m.Now(), time.Minute
	delete(m.running, refForJob("unwanted"))
	for job, waits := range map[string]bool{"a": true, "service": false} {
		reason, wait := m.startObstacle(m.orderedRuns[refForJob(job)], m.Now().Add(time.Minute), false)
		assert.Equal(t, reason, plantainrail.RefusalReason(""))
		assert.Equal(t, wait, waits, job)
	}
	// Once it has waited for too long, its VM is not blamed.
	reason, _ := m.startObstacle(m.orderedRuns[refForJob("a")], m.Now().Add(-time.Second), false)
	assert.Equal(t, reason, plantainrail.RefusedExpired)
}

// Guards against fillers that the owner's paces keep slow for longer than there are services to protect, and
// against an owner's pace that lifts a pause by the agent.
func TestOwnersPaceCountsBesideServices(t *testing.T) {
	m, ref := newMinderWithMeasurements(), refForJob("a")
	assert.Equal(t, m.pacing.wantedPace(ref), pacer.FullPace)
	m.pacing.sending[ref] = true
	m.limitPaces([]plantainrail.RunPace{{Ref: ref, Percent: 40}, {Ref: refForJob("unwanted"), Percent: 40}})
	assert.Equal(t, len(m.pacing.limits), 1, "a run that is not ordered has no pace")
	assert.Equal(t, m.pacing.wantedPace(ref), pacer.FullPace, "no service runs")
	m.pacing.serving = true
	assert.Equal(t, m.pacing.wantedPace(ref), 40)
	assert.Equal(t, m.pacing.wantedPace(refForJob("b")), pacer.FullPace)
	for _, at := range []time.Duration{0, 4 * time.Second} {
		m.pacing.pacer.Update(m.Now().Add(at), []pacer.Service{{Name: "service", Tail: 1000, Target: 100}})
	}
	assert.Equal(t, m.pacing.wantedPace(ref), pacer.ZeroPace)
}
