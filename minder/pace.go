package minder

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/throttler"
)

const (
	// paceEvery is the time between two decisions on pace while fillers run
	// beside services: half of the time that the worker's figures look back.
	paceEvery = 250 * time.Millisecond
	// strainShare is the share of its target at which a service's tail latency
	// counts as strained, so that fillers slow down before the target is missed.
	strainShare = 0.75
	// wholePercent is the pace of a run that is not slowed down.
	wholePercent = 100
)

// pacer is what the agent knows of the pace of fillers.
type pacer struct {
	throttler *throttler.Throttler
	decidedAt time.Time
	// paced holds the pace that the worker has confirmed, in percent; a run that
	// is missing works at its whole speed.
	paced map[plantainrail.RunRef]int
	// sending are runs whose pace is on its way to the worker.
	sending map[plantainrail.RunRef]bool
}

func newPacer() pacer {
	return pacer{throttler: throttler.New(), paced: map[plantainrail.RunRef]int{}, sending: map[plantainrail.RunRef]bool{}}
}

// mixed tells whether fillers run beside services with a target. The caller
// holds the lock.
func (m *Minder) mixed() bool {
	fillers, services := false, false
	for ref := range m.running {
		if r := m.wanted[ref]; r != nil {
			fillers = fillers || r.order.Filler
			services = services || r.order.TailTarget > 0
		}
	}
	return fillers && services
}

// measure sums up the services' tail latencies against their targets, and lists
// the fillers.
func (m *Minder) measure() (throttler.Window, []throttler.Task) {
	var w throttler.Window
	var tasks []throttler.Task
	for ref, status := range m.running {
		r := m.wanted[ref]
		switch {
		case r == nil:
		case r.order.Filler:
			tasks = append(tasks, throttler.Task{AttemptRef: attempt(ref), Kind: r.order.Image})
		case r.order.TailTarget > 0 && status.Figure > 0:
			part := float64(status.Figure) / float64(r.order.TailTarget)
			w.Ended++
			w.Slowdown += part
			if part > strainShare {
				w.Slow++
			}
		}
	}
	if w.Ended > 0 {
		w.Slowdown /= float64(w.Ended)
	}
	return w, tasks
}

func attempt(ref plantainrail.RunRef) plantainrail.AttemptRef {
	return plantainrail.AttemptRef{Task: ref.Task.String(), Attempt: ref.Run}
}

// pace decides how much the fillers may work and tells the worker. The caller
// holds the lock.
func (m *Minder) pace() {
	for ref := range m.pacer.paced {
		if _, runs := m.running[ref]; !runs {
			delete(m.pacer.paced, ref)
		}
	}
	window, tasks := m.measure()
	if len(tasks) == 0 {
		return
	}
	if now := m.Now(); now.Sub(m.pacer.decidedAt) >= paceEvery {
		m.pacer.decidedAt = now
		m.pacer.throttler.Step(window, tasks)
	}
	for ref := range m.running {
		r := m.wanted[ref]
		if r == nil || !r.order.Filler || m.pacer.sending[ref] {
			continue
		}
		want := m.pacer.throttler.Share(attempt(ref)) * wholePercent / throttler.Whole
		if want != m.confirmedPace(ref) {
			m.pacer.sending[ref] = true
			go m.sendPace(m.vm.Life, ref, want, window)
		}
	}
}

// confirmedPace returns the pace that the worker has confirmed.
func (m *Minder) confirmedPace(ref plantainrail.RunRef) int {
	if percent, ok := m.pacer.paced[ref]; ok {
		return percent
	}
	return wholePercent
}

// sendPace tells the worker a run's pace once; a pace that was not confirmed is
// decided on anew.
func (m *Minder) sendPace(life plantainrail.Life, ref plantainrail.RunRef, percent int, window throttler.Window) {
	m.mu.Lock()
	epoch := m.epoch
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	err := m.Worker.Pace(ctx, life, epoch, ref, percent)
	cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.pacer.sending, ref)
	m.Logger.Info("run paced", zap.Stringer("task", ref.Task), zap.Int64("run", ref.Run), zap.Int("percent", percent),
		zap.Float64("slowdown", window.Slowdown), zap.Int("strained", window.Slow), zap.Int("services", window.Ended), zap.Error(err))
	if err == nil && m.vm.Life == life {
		m.pacer.paced[ref] = percent
	}
}
