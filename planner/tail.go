package planner

import (
	"math"
	"time"

	"github.com/plantainrail/plantainrail/estimator"
)

const (
	// tailTimeConstant is the time constant of the worker's tail latencies, which are moving averages,
	// and tailNoise their relative error.
	tailTimeConstant = 420 * time.Millisecond
	tailNoise        = 0.04
	// maxTailGap is the time between two measurements from which the earlier one is of no use.
	maxTailGap = 3 * time.Second
)

// measureTail records a measured tail latency in milliseconds, and derives from the one before what it
// was since then.
func (r *placedRun) measureTail(tail int, now time.Time) {
	recent, noise := float64(tail), tailNoise
	if elapsed := now.Sub(r.tailAt); r.tailLatency > 0 && elapsed < maxTailGap && elapsed > 0 {
		decay := math.Exp(-elapsed.Seconds() / tailTimeConstant.Seconds())
		before := float64(r.tailLatency)
		recent = math.Max((recent-decay*before)/(1-decay), 1)
		noise = tailNoise * math.Hypot(float64(tail), decay*before) / (1 - decay) / recent
	}
	r.tailLatency, r.tailAt, r.recentTail, r.tailNoise = tail, now, recent, noise
}

// measuredService returns the service with its latest tail latency. The users of
// a job are spread over its services, so these have the same load and form one
// group of the estimator.
func (r *placedRun) measuredService() estimator.Service {
	step := r.step()
	return estimator.Service{Group: r.id.Job, Image: step.Image, TailLatency: r.recentTail, ReportedTail: float64(r.tailLatency), Noise: r.tailNoise, TailObjective: step.TailObjective}
}
