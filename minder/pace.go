package minder

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/linker"
	"github.com/plantainrail/plantainrail/pacer"
)

// paceInterval is the time between two decisions on the pace while fillers run
// beside services. It is half of the time that a measurement of the worker covers.
const paceInterval = 250 * time.Millisecond

// maxCountedGap bounds the time between two measurements for which a service counts as over its
// latency objective.
const maxCountedGap = time.Second

// pacing is the state of the pacing of fillers.
type pacing struct {
	pacer *pacer.Pacer
	// decidedAt is when the pace was last decided.
	decidedAt time.Time
	// fillerUsage is the moving average of the processor time that fillers use, by
	// image, in thousandths of a core.
	fillerUsage map[string]float64
	// measurementsReportedAt is when measurements were last reported to the owner.
	measurementsReportedAt time.Time
	// confirmed holds the paces that the worker has accepted, in percent. A run without an
	// entry works at full speed, unless it may have been started by an earlier process of the agent.
	confirmed map[plantainrail.RunRef]int
	// limits are the paces that the owner has ordered in this session, in percent. They count only
	// while serving is set: the owner changes them with the measurements of services.
	limits map[plantainrail.RunRef]int
	// serving is set while services with a latency objective run.
	serving bool
	// sending holds the runs whose pace is being sent to the worker.
	sending map[plantainrail.RunRef]bool
}

func newPacing() pacing {
	return pacing{pacer: pacer.New(), fillerUsage: map[string]float64{}, confirmed: map[plantainrail.RunRef]int{}, limits: map[plantainrail.RunRef]int{}, sending: map[plantainrail.RunRef]bool{}}
}

// unknownPace is the pace of a filler that an earlier process of the agent may have paused.
const unknownPace = -1

// confirmedPace returns the pace that the worker has accepted for a run, in
// percent, or unknownPace.
func (p *pacing) confirmedPace(r *run) int {
	switch percent, ok := p.confirmed[r.order.Ref]; {
	case ok:
		return percent
	case r.reordered:
		return unknownPace
	}
	return pacer.FullPace
}

// pacingInputs returns the number of running fillers and the running services with a
// latency objective. Runs that the owner has not ordered are left out. The caller
// holds the lock.
func (m *Minder) pacingInputs() (fillers int, services []pacer.Service) {
	for ref, status := range m.running {
		r := m.orderedRuns[ref]
		switch {
		case r == nil:
		case r.order.Filler:
			fillers++
		case r.order.TailObjective > 0:
			services = append(services, pacer.Service{Name: ref.Task.String(), Tail: status.Measurement, Target: r.order.TailObjective, RanBefore: r.reordered})
		}
	}
	return fillers, services
}

// needsPacing reports whether fillers run beside services with a latency objective.
// The caller holds the lock.
func (m *Minder) needsPacing() bool {
	fillers, services := m.pacingInputs()
	return fillers > 0 && len(services) > 0
}

// updatePace updates the usage and the pace of the fillers and reports the measurements,
// all at most once per paceInterval. On each call it sends the pace to the worker for
// the fillers for which the worker has not accepted it yet. The caller holds the lock.
func (m *Minder) updatePace() {
	for ref := range m.pacing.confirmed {
		if m.orderedRuns[ref] == nil {
			delete(m.pacing.confirmed, ref)
		}
	}
	for ref := range m.pacing.limits {
		if m.orderedRuns[ref] == nil {
			delete(m.pacing.limits, ref)
		}
	}
	if now := m.Now(); now.Sub(m.pacing.decidedAt) >= paceInterval {
		elapsed := now.Sub(m.pacing.decidedAt)
		m.updateFillerUsage(elapsed)
		m.pacing.decidedAt = now
		m.reportMeasurements(now)
		fillers, services := m.pacingInputs()
		m.pacing.serving = len(services) > 0
		m.countTimeOver(elapsed, fillers, services)
		if change, changed := m.pacing.pacer.Update(now, services); changed {
			m.Logger.Info("fillers paced", zap.Int("percent", m.pacing.pacer.Pace()), zap.Int("fillers", fillers), zap.Any("services", services),
				zap.String("cause", string(change.Cause)), zap.String("service", change.Service), zap.Duration("over", change.Over), zap.Duration("paused", change.Paused))
			m.report(linker.WorkReport{})
		}
	}
	for ref := range m.running {
		if r := m.orderedRuns[ref]; r != nil {
			m.applyPace(r)
		}
	}
}

// countTimeOver adds the time since the last decision to the time for which services were over
// their latency objectives while fillers worked, and reports the sum. After a gap between the
// measurements only maxCountedGap counts. The caller holds the lock.
func (m *Minder) countTimeOver(elapsed time.Duration, fillers int, services []pacer.Service) {
	if fillers == 0 || m.pacing.pacer.Pace() == pacer.ZeroPace || m.ReportTimeOver == nil {
		return
	}
	for _, s := range services {
		if s.OverObjective() {
			m.timeOver += min(elapsed, maxCountedGap)
		}
	}
	m.ReportTimeOver(m.timeOver)
}

// wantedPace returns the pace that a filler should have, in percent: that of the pacer, or the owner's if
// it is lower and services run.
func (p *pacing) wantedPace(ref plantainrail.RunRef) int {
	if limit, ok := p.limits[ref]; ok && p.serving {
		return min(p.pacer.Pace(), limit)
	}
	return p.pacer.Pace()
}

// applyPace sends the current pace for a run to the worker in the background. It
// does nothing if the run is not a filler, the worker has accepted that pace, or a
// pace is being sent already. The caller holds the lock.
func (m *Minder) applyPace(r *run) {
	ref, want := r.order.Ref, m.pacing.wantedPace(r.order.Ref)
	if !r.order.Filler || m.pacing.sending[ref] || m.pacing.confirmedPace(r) == want {
		return
	}
	m.pacing.sending[ref] = true
	go m.sendPace(m.vm.Incarnation, ref, want)
}

// limitPaces applies the owner's orders on the pace of fillers. The caller holds the lock.
func (m *Minder) limitPaces(paces []plantainrail.RunPace) {
	for _, pace := range paces {
		if r := m.orderedRuns[pace.Ref]; r != nil {
			m.pacing.limits[pace.Ref] = min(max(pace.Percent, pacer.ZeroPace), pacer.FullPace)
			m.applyPace(r)
		}
	}
}

// sendPace sends a run's pace to the worker once. If the worker does not accept it,
// updatePace sends the current pace again after the next poll.
func (m *Minder) sendPace(incarnation plantainrail.WorkerIncarnation, ref plantainrail.RunRef, percent int) {
	m.mu.Lock()
	epoch := m.epoch
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	err := m.Worker.Pace(ctx, incarnation, epoch, ref, percent)
	cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.pacing.sending, ref)
	if err != nil {
		// The worker has not accepted the pace.
		m.Logger.Warn("pace not taken", zap.Stringer("task", ref.Task), zap.Int64("run", ref.Run), zap.Int("percent", percent), zap.Error(err))
		return
	}
	if m.vm.Incarnation == incarnation {
		m.pacing.confirmed[ref] = percent
	}
}
