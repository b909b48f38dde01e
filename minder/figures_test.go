package minder

import (
	"math"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
)

func refOf(job string) plantainrail.RunRef {
	return plantainrail.RunRef{Task: plantainrail.TaskID{Job: job}, Run: 1}
}

// newMeasured is an agent whose worker runs a service, two fillers of one image
// and another task.
func newMeasured() *Minder {
	m := New(Options{Logger: zap.NewNop(), Now: time.Now})
	for job, order := range map[string]plantainrail.RunOrder{
		"service": {TailTarget: 100}, "young": {TailTarget: 100}, "a": {Filler: true, Image: "f"}, "b": {Filler: true, Image: "f"}, "other": {},
	} {
		order.Ref = refOf(job)
		m.wanted[order.Ref] = &run{order: order}
	}
	for job, figure := range map[string]int{"service": 40, "young": 0, "a": 3000, "b": 2000, "other": 900, "unwanted": 800} {
		m.running[refOf(job)] = plantainrail.RunStatus{Ref: refOf(job), Figure: figure}
	}
	return m
}

func TestUseIsToldAsSlowlyAsTails(t *testing.T) {
	m := newMeasured()
	m.smooth(tailFade)
	assert.Assert(t, math.Abs(m.pacing.used["f"]-5000*(1-1/math.E)) < 1, "after one fade: %.0f", m.pacing.used["f"])
	for range 10 {
		m.smooth(paceEvery)
	}
	assert.Assert(t, math.Abs(m.pacing.used["f"]-5000) < 10, "in the end: %.0f", m.pacing.used["f"])
	clear(m.running)
	m.smooth(paceEvery)
	assert.Assert(t, m.pacing.used["f"] > 1000, "its press shows a little longer")
	for range 10 {
		m.smooth(paceEvery)
	}
	assert.Equal(t, len(m.pacing.used), 0, "what has ended is forgotten")
}

func TestFiguresHoldServicesAndFillersAlone(t *testing.T) {
	m := newMeasured()
	m.smooth(time.Minute)
	figures := m.figures()
	assert.Equal(t, len(figures.Tails), 1, "a service without a figure tells nothing")
	assert.Equal(t, figures.Tails[0].Ref, refOf("service"))
	assert.Equal(t, figures.Tails[0].Tail, 40)
	assert.DeepEqual(t, figures.Used, map[string]int{"f": 5000})
}
