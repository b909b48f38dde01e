package pacer_test

import (
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/pacer"
	"github.com/plantainrail/plantainrail/standin/host"
)

// modelSeeds is the number of simulated workers for each lag and overload.
var modelSeeds = flag.Int("model.seeds", 40, "number of simulated workers for each configuration")

const (
	// step is the time between two calls of Update, overObjectiveLimit the longest
	// time for which fillers may keep a service over its latency objective, and
	// tailWindow the time that the worker's measurements cover.
	step               = 250 * time.Millisecond
	overObjectiveLimit = 4 * time.Second
	tailWindow         = 500 * time.Millisecond
)

// vm simulates a VM with one service whose tail latency goes over its latency
// objective because of fillers or of its own load.
type vm struct {
	pacer *pacer.Pacer
	now   time.Time
	// reportedTail is the tail latency as the worker reports it, in milliseconds.
	// It lags behind the true one.
	reportedTail float64
	// timeOverObjective is how long the true tail latency has now been over the
	// latency objective because of fillers. longestTimeOverObjective is the longest
	// such time.
	timeOverObjective, longestTimeOverObjective time.Duration
	// fillerTime is how long the fillers ran in total.
	fillerTime time.Duration
}

// tailObjective is the latency objective of the service in milliseconds.
const tailObjective = 50

func newVM() *vm { return &vm{pacer: pacer.New(), now: time.Unix(1_700_000_000, 0), reportedTail: 10} }

// advance simulates the duration. Base is the tail latency without fillers, and
// interference what running fillers add to it, both in milliseconds.
func (v *vm) advance(duration time.Duration, base, interference float64) {
	for until := v.now.Add(duration); v.now.Before(until); v.now = v.now.Add(step) {
		tail := base
		if v.pacer.Pace() == pacer.FullPace {
			tail += interference
			v.fillerTime += step
		}
		switch {
		case tail >= tailObjective && base < tailObjective:
			v.timeOverObjective += step
			v.longestTimeOverObjective = max(v.longestTimeOverObjective, v.timeOverObjective)
		default:
			v.timeOverObjective = 0
		}
		v.reportedTail += (tail - v.reportedTail) * float64(step) / float64(tailWindow)
		v.pacer.Update(v.now, []pacer.Service{{Name: "s", Tail: int(v.reportedTail), Target: tailObjective}})
	}
}

func TestInterferingFillersArePausedInTime(t *testing.T) {
	for _, interference := range []float64{45, 100, 500, 2000} {
		v := newVM()
		v.advance(time.Minute, 15, interference)
		assert.Assert(t, v.longestTimeOverObjective < overObjectiveLimit, "interference %v: over the latency objective for %s without a break", interference, v.longestTimeOverObjective)
		assert.Assert(t, v.fillerTime > 30*time.Second, "interference %v: fillers ran only %s of a minute", interference, v.fillerTime)
	}
}

func TestHarmlessFillersAreNotPaused(t *testing.T) {
	v := newVM()
	v.advance(time.Minute, 15, 20)
	assert.Equal(t, v.fillerTime, time.Minute)
}

// Guards against a pause for each short time over the latency objective: such pauses
// would make fillers pile up.
func TestShortExcessDoesNotPauseFillers(t *testing.T) {
	v := newVM()
	v.advance(1500*time.Millisecond, 15, 200)
	v.advance(10*time.Second, 15, 0)
	assert.Equal(t, v.fillerTime, 11500*time.Millisecond)
}

// Guards against fillers that stay paused although the service is over its latency
// objective by its own load, so that pausing them does not help.
func TestOverloadedServiceDoesNotKeepFillersPaused(t *testing.T) {
	v := newVM()
	v.advance(time.Minute, 80, 5)
	assert.Assert(t, v.fillerTime > 40*time.Second, "fillers ran only %s of a minute", v.fillerTime)
}

func TestNoPacingWithoutServices(t *testing.T) {
	p := pacer.New()
	for i := range 100 {
		p.Update(time.Unix(int64(i), 0), nil)
		assert.Equal(t, p.Pace(), pacer.FullPace)
	}
}

// A service that is over its latency objective by its own load is ignored for a
// while. When its own load falls during that time, fillers that interfere with it
// must still be paused in time. Steps, changes of pace and measurements are as
// late here as those of real workers.
func TestFillersArePausedAfterOwnLoadFalls(t *testing.T) {
	const (
		tick             = 50 * time.Millisecond
		stepInterval     = 450 * time.Millisecond
		paceDelay        = 300 * time.Millisecond
		tailTimeConstant = 250 * time.Millisecond
		highLoadTail     = 80.0
		lowLoadTail      = 15.0
		interference     = 200.0
	)
	for fallsAfter := time.Duration(0); fallsAfter < 8*time.Second; fallsAfter += tick {
		p, begin, reportedTail := pacer.New(), time.Unix(1_700_000_000, 0), highLoadTail
		var timeOver, longest time.Duration
		paused, paceChangedAt := false, time.Time{}
		for now := begin; now.Before(begin.Add(20 * time.Second)); now = now.Add(tick) {
			base := highLoadTail
			if now.Sub(begin) >= fallsAfter {
				base = lowLoadTail
			}
			working := !paused || now.Before(paceChangedAt)
			tail := base
			if working {
				tail += interference
			}
			timeOver += tick
			if tail < tailObjective || base >= tailObjective {
				timeOver = 0
			}
			longest = max(longest, timeOver)
			reportedTail += (tail - reportedTail) * float64(tick) / float64(tailTimeConstant)
			if now.Sub(begin)%stepInterval == 0 {
				p.Update(now, []pacer.Service{{Name: "s", Tail: int(reportedTail), Target: tailObjective}})
				if wantPaused := p.Pace() != pacer.FullPace; wantPaused != paused {
					paused, paceChangedAt = wantPaused, now.Add(paceDelay)
				}
			}
		}
		assert.Assert(t, longest < overObjectiveLimit, "own load falls after %s: over the latency objective for %s without a break", fallsAfter, longest)
	}
}

// Guards against full pace for a service whose measured tail latency falls, but less than that of
// one which fillers no longer slow: a filler that still worked kept it over its latency objective
// through the whole pause (HARM). One that falls by half a step has recovered.
func TestSlowlyFallingTailIsNotRecovered(t *testing.T) {
	for _, c := range []struct {
		falls  float64
		cause  pacer.Cause
		paused time.Duration
	}{{0.9, pacer.OwnLoad, time.Second}, {0.75, pacer.OwnLoad, time.Second}, {0.5, pacer.Recovered, 2 * step}} {
		p, now, tail, change, changed := pacer.New(), time.Unix(1_700_000_000, 0), 10.0*tailObjective, pacer.Change{}, false
		for !changed {
			if p.Pace() == pacer.ZeroPace {
				tail *= c.falls
			}
			change, changed = p.Update(now, []pacer.Service{{Name: "s", Tail: int(tail), Target: tailObjective}})
			changed = changed && change.Cause != pacer.OverObjective
			now = now.Add(step)
		}
		assert.Equal(t, change.Cause, c.cause, "falls to %v a step", c.falls)
		assert.Equal(t, change.Paused, c.paused, "falls to %v a step", c.falls)
	}
}

// Guards against services that fillers keep over their latency objectives for longer than
// allowed (HARM), with measurements and changes of pace as late as the constants assume, loads
// that swing and services that are overloaded at times, and against pauses that take too much of
// the fillers' work.
func TestNoServiceIsSlowedForTooLong(t *testing.T) {
	for _, lag := range []struct{ poll, pace time.Duration }{{275 * time.Millisecond, 100 * time.Millisecond}, {450 * time.Millisecond, 300 * time.Millisecond}} {
		for _, overload := range []float64{0, 0.05, 0.2} {
			var paused time.Duration
			for seed := range uint64(*modelSeeds) {
				p := pacer.New()
				result := host.Run(host.Config{
					Seed: seed, TimeConstant: 360 * time.Millisecond, PollInterval: lag.poll, PaceDelay: lag.pace, OverloadShare: overload, HoldsStarts: true,
				}, time.Minute, func(now time.Time, services []pacer.Service) int {
					p.Update(now, services)
					return p.Pace()
				})
				paused += result.Paused
				assert.Check(t, result.LongestOver < overObjectiveLimit, "seed %d, overload %v, lag %v: over the latency objective for %s without a break", seed, overload, lag, result.LongestOver)
			}
			share := paused.Seconds() / time.Minute.Seconds() / float64(*modelSeeds)
			t.Logf("overload %v, lag %v: fillers paused for %.3f of the time", overload, lag, share)
			assert.Check(t, share < 0.1+overload, "overload %v: fillers paused for %.2f of the time", overload, share)
		}
	}
}

// Guards against a restarted agent that gives a service the whole time over its latency
// objective again.
func TestRestartedAgentPausesFillersAtOnce(t *testing.T) {
	for _, ranBefore := range []bool{false, true} {
		p := pacer.New()
		change, changed := p.Update(time.Unix(1_700_000_000, 0), []pacer.Service{{Name: "s", Tail: 10 * tailObjective, Target: tailObjective, RanBefore: ranBefore}})
		assert.Equal(t, changed, ranBefore)
		assert.Equal(t, change.Cause == pacer.OverObjective && change.Service == "s", ranBefore)
	}
}
