package pacer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/pacer"
)

const (
	// step is the time between two looks, harm the time on end that fillers may
	// do harm, lag the time that the worker's figures look back.
	step = 250 * time.Millisecond
	harm = 4 * time.Second
	lag  = 500 * time.Millisecond
)

// vm is a model of a VM with one service: its tail is over its target while
// fillers press it, or while its own load does.
type vm struct {
	p   *pacer.Pacer
	now time.Time
	// figure is the tail as the worker tells it: it follows the true one.
	figure float64
	// over is how long the true tail was over its target by the fillers' doing,
	// worst the longest such time.
	over, worst time.Duration
	// worked is how long the fillers worked.
	worked time.Duration
}

const target = 50

func newVM() *vm { return &vm{p: pacer.New(), now: time.Unix(1_700_000_000, 0), figure: 10} }

// run lets time pass with a base tail and what the fillers add to it.
func (v *vm) run(span time.Duration, base, press float64) {
	for until := v.now.Add(span); v.now.Before(until); v.now = v.now.Add(step) {
		tail := base
		if v.p.Pace() == pacer.Whole {
			tail += press
			v.worked += step
		}
		switch {
		case tail >= target && base < target:
			v.over += step
			v.worst = max(v.worst, v.over)
		default:
			v.over = 0
		}
		v.figure += (tail - v.figure) * float64(step) / float64(lag)
		v.p.Step(v.now, []pacer.Service{{Name: "s", Tail: int(v.figure), Target: target}})
	}
}

func TestFillersThatPressStandStillInTime(t *testing.T) {
	for _, press := range []float64{45, 100, 500, 2000} {
		v := newVM()
		v.run(time.Minute, 15, press)
		assert.Assert(t, v.worst < harm, "press %v: over the target for %s on end", press, v.worst)
		assert.Assert(t, v.worked > 30*time.Second, "press %v: fillers worked %s of a minute", press, v.worked)
	}
}

func TestHarmlessFillersAreLeftAlone(t *testing.T) {
	v := newVM()
	v.run(time.Minute, 15, 20)
	assert.Equal(t, v.worked, time.Minute)
}

func TestShortExcessIsLeftAlone(t *testing.T) {
	v := newVM()
	v.run(1500*time.Millisecond, 15, 200)
	v.run(10*time.Second, 15, 0)
	assert.Equal(t, v.worked, 11500*time.Millisecond)
}

func TestServiceThatSuffersByItselfStopsNobodyForLong(t *testing.T) {
	v := newVM()
	v.run(time.Minute, 80, 5)
	assert.Assert(t, v.worked > 40*time.Second, "fillers worked %s of a minute", v.worked)
}

func TestNoServiceNoPacing(t *testing.T) {
	p := pacer.New()
	for i := range 100 {
		p.Step(time.Unix(int64(i), 0), nil)
		assert.Equal(t, p.Pace(), pacer.Whole)
	}
}

// A service that is over its target by its own load is passed over for a while.
// When that load falls right then, fillers that press on it must be found in time,
// also where looks, calls and figures are as late as workers make them.
func TestFillersPressOnceOwnLoadHasFallen(t *testing.T) {
	const (
		tick    = 50 * time.Millisecond
		look    = 450 * time.Millisecond
		taken   = 300 * time.Millisecond
		fade    = 250 * time.Millisecond
		own     = 80.0
		falling = 15.0
		press   = 200.0
	)
	for falls := time.Duration(0); falls < 8*time.Second; falls += tick {
		p, begin, figure := pacer.New(), time.Unix(1_700_000_000, 0), own
		var over, worst time.Duration
		still, stillFrom := false, time.Time{}
		for now := begin; now.Before(begin.Add(20 * time.Second)); now = now.Add(tick) {
			base := own
			if now.Sub(begin) >= falls {
				base = falling
			}
			working := !still || now.Before(stillFrom)
			tail := base
			if working {
				tail += press
			}
			over += tick
			if tail < target || base >= target {
				over = 0
			}
			worst = max(worst, over)
			figure += (tail - figure) * float64(tick) / float64(fade)
			if now.Sub(begin)%look == 0 {
				p.Step(now, []pacer.Service{{Name: "s", Tail: int(figure), Target: target}})
				if paced := p.Pace() != pacer.Whole; paced != still {
					still, stillFrom = paced, now.Add(taken)
				}
			}
		}
		assert.Assert(t, worst < harm, "own load falls after %s: over the target for %s on end", falls, worst)
	}
}
