package minder

import (
	"math"
	"time"

	"github.com/plantainrail/plantainrail/linker"
)

// tailFade is the time in which two thirds of a change show in the worker's
// tails, which look back half a second.
const tailFade = 240 * time.Millisecond

// figuresEvery is the time between two reports of figures to the owner.
const figuresEvery = 500 * time.Millisecond

// smooth lets what fillers used follow what they use now, as slowly as the tails
// do. The caller holds the lock.
func (m *Minder) smooth(passed time.Duration) {
	used := m.pacing.used
	kept := math.Exp(-passed.Seconds() / tailFade.Seconds())
	for image := range used {
		if used[image] *= kept; used[image] < 1 {
			delete(used, image)
		}
	}
	for ref, status := range m.running {
		if r := m.wanted[ref]; r != nil && r.order.Filler && status.Figure > 0 {
			used[r.order.Image] += (1 - kept) * float64(status.Figure)
		}
	}
}

// tellFigures tells the owner what was measured beside services, at an even
// pace. The caller holds the lock.
func (m *Minder) tellFigures(now time.Time) {
	if now.Sub(m.pacing.measuredAt) < figuresEvery {
		return
	}
	if figures := m.figures(); len(figures.Tails) > 0 {
		m.pacing.measuredAt = now
		m.tell(linker.WorkReport{Figures: &figures})
	}
}

// figures returns what was measured of services with a target and of the fillers
// beside them. The caller holds the lock.
func (m *Minder) figures() linker.WorkFigures {
	out := linker.WorkFigures{Used: make(map[string]int, len(m.pacing.used))}
	for ref, status := range m.running {
		if r := m.wanted[ref]; r != nil && r.order.TailTarget > 0 && status.Figure > 0 {
			out.Tails = append(out.Tails, linker.RunTail{Ref: ref, Tail: status.Figure})
		}
	}
	for image, used := range m.pacing.used {
		out.Used[image] = int(used)
	}
	return out
}
