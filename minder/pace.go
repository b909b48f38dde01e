package minder

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/linker"
	"github.com/plantainrail/plantainrail/pacer"
)

// paceEvery is the time between two decisions on pace while fillers run beside
// services: half of the time that the worker's figures look back.
const paceEvery = 250 * time.Millisecond

// pacing is what the agent knows of the pace of fillers.
type pacing struct {
	pacer     *pacer.Pacer
	decidedAt time.Time
	// used is what fillers used lately, by image, in thousandths of a core.
	used map[string]float64
	// measuredAt is when the owner was last told of figures.
	measuredAt time.Time
	// confirmed holds the pace that the worker has taken, in percent; a run that
	// is missing works at its whole speed.
	confirmed map[plantainrail.RunRef]int
	// sending are runs whose pace is on its way to the worker.
	sending map[plantainrail.RunRef]bool
}

func newPacing() pacing {
	return pacing{pacer: pacer.New(), used: map[string]float64{}, confirmed: map[plantainrail.RunRef]int{}, sending: map[plantainrail.RunRef]bool{}}
}

// of returns the pace that the worker has taken for a run.
func (p *pacing) of(ref plantainrail.RunRef) int {
	if percent, ok := p.confirmed[ref]; ok {
		return percent
	}
	return pacer.Whole
}

// measure counts the fillers and lists the services with a target. The caller
// holds the lock.
func (m *Minder) measure() (fillers int, services []pacer.Service) {
	for ref, status := range m.running {
		r := m.wanted[ref]
		switch {
		case r == nil:
		case r.order.Filler:
			fillers++
		case r.order.TailTarget > 0:
			services = append(services, pacer.Service{Name: ref.Task.String(), Tail: status.Figure, Target: r.order.TailTarget})
		}
	}
	return fillers, services
}

// mixed tells whether fillers run beside services with a target.
func (m *Minder) mixed() bool {
	fillers, services := m.measure()
	return fillers > 0 && len(services) > 0
}

// pace decides how fast the fillers may work and tells the worker. The caller
// holds the lock.
func (m *Minder) pace() {
	for ref := range m.pacing.confirmed {
		if m.wanted[ref] == nil {
			delete(m.pacing.confirmed, ref)
		}
	}
	if now := m.Now(); now.Sub(m.pacing.decidedAt) >= paceEvery {
		m.smooth(now.Sub(m.pacing.decidedAt))
		m.pacing.decidedAt = now
		m.tellFigures(now)
		before := m.pacing.pacer.Pace()
		fillers, services := m.measure()
		m.pacing.pacer.Step(now, services)
		if pace := m.pacing.pacer.Pace(); pace != before {
			m.Logger.Info("fillers paced", zap.Int("percent", pace), zap.Int("fillers", fillers), zap.Any("services", services))
			m.tell(linker.WorkReport{})
		}
	}
	for ref := range m.running {
		if r := m.wanted[ref]; r != nil {
			m.paceRun(r)
		}
	}
}

// paceRun tells the worker a run's pace unless it has taken it. The caller
// holds the lock.
func (m *Minder) paceRun(r *run) {
	ref, want := r.order.Ref, m.pacing.pacer.Pace()
	if !r.order.Filler || m.pacing.sending[ref] || m.pacing.of(ref) == want {
		return
	}
	m.pacing.sending[ref] = true
	go m.sendPace(m.vm.Life, ref, want)
}

// sendPace tells the worker a run's pace once; a pace that it has not taken is
// sent again with the next look.
func (m *Minder) sendPace(life plantainrail.Life, ref plantainrail.RunRef, percent int) {
	m.mu.Lock()
	epoch := m.epoch
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	err := m.Worker.Pace(ctx, life, epoch, ref, percent)
	cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.pacing.sending, ref)
	if err != nil {
		m.Logger.Warn("pace not taken", zap.Stringer("task", ref.Task), zap.Int64("run", ref.Run), zap.Int("percent", percent), zap.Error(err))
		return
	}
	if m.vm.Life == life {
		m.pacing.confirmed[ref] = percent
	}
}
