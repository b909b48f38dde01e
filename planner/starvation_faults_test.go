package planner_test

import (
	"fmt"
	"time"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

// workerFault is what may befall a worker for a while.
type workerFault struct {
	// fails means that all runs fail.
	fails bool
	// refusal is the reason for which all starts are refused, after the time given by held.
	refusal plantainrail.RefusalReason
	held    time.Duration
	// draining means that the worker drains, and disconnected that its agent has no session.
	draining, disconnected bool
	// restarts means that the worker is a new incarnation afterwards; if it is gone, nothing is
	// heard of it until then, and if it deregisters, the owner knows that. If it is resized, the
	// new incarnation has another capacity.
	restarts, gone, deregisters, resized bool
	// shrinks means that the worker has only the share of its processors given by keeps, in
	// percent. If it is 0, it has no memory and no accelerators either.
	shrinks bool
	keeps   int
	// loops means that the worker, which is gone, is back after loopDownTime and crashes again and again.
	loops bool
	// strained means that services on the worker are over their latency objectives. The worker
	// counts as sound.
	strained bool
}

type faultyWorker struct {
	vm plantainrail.VM
	// full is the capacity without a fault.
	full plantainrail.Resources
	// reported is what the newest heartbeat has reported.
	reported   plantainrail.VM
	reportedAt time.Time
	fault      *workerFault
	// since and until are when the fault begins and ends.
	since, until time.Time
	// ends are those of the incarnation.
	ends []plantainrail.RunEnd
	// soundSince is when the newest fault ended.
	soundSince time.Time
	// loopsUntil is when the newest crash loop ends, and crashAt when the worker crashes again in it; zero if it does not.
	loopsUntil, crashAt time.Time
}

const (
	// loopDownTime is how long a worker in a crash loop is down, and minLoopUpTime and maxLoopUpTime bound
	// the time for which it is up in between; the figures are those of review/9.
	loopDownTime  = 500 * time.Millisecond
	minLoopUpTime = 100 * time.Millisecond
	maxLoopUpTime = 700 * time.Millisecond
	// blamedTime is the age up to which an agent reports a run as just begun at a crash (minder.breakDelay).
	blamedTime = 290 * time.Millisecond
)

// crashAgain lets a worker in a crash loop crash. Its next incarnation reports the runs that were there.
func (m *starvationModel) crashAgain(w *faultyWorker) {
	w.crashAt = time.Time{}
	if w.fault != nil {
		return
	}
	w.vm.StartedLast, w.vm.RunningLast = nil, nil
	for _, r := range m.runsOf(w) {
		ref, age := r.assignment.Order.Ref, m.now.Sub(r.begunAt)
		switch {
		case r.dead:
		case age <= blamedTime:
			w.vm.StartedLast = append(w.vm.StartedLast, ref)
		case age < plantainrail.LateCrashTime:
			w.vm.RunningLast = append(w.vm.RunningLast, plantainrail.RunAge{Ref: ref, Age: age})
		}
	}
	m.breakWorker(w, looping, m.now.Add(loopDownTime))
}

// breakWorker lets a fault befall a worker until the given time.
func (m *starvationModel) breakWorker(w *faultyWorker, f *workerFault, until time.Time) {
	w.fault, w.since, w.until = f, m.now, until
	w.vm.Draining = f.draining
	if f.disconnected {
		m.planner.Disconnect(w.vm.Incarnation)
	}
	if f.shrinks {
		w.vm.Capacity.Processors = w.full.Processors * f.keeps / 100
		if f.keeps == 0 {
			w.vm.Capacity = plantainrail.Resources{}
		}
	}
	if f.restarts {
		// The owner learns that the runs are lost once the worker is back or its lease has expired.
		for _, r := range m.runsOf(w) {
			r.endsAt, r.dead = m.now.Add(time.Hour), f.gone
			if f.gone {
				id := r.assignment.Order.Ref.Task
				m.jobs[id.Job].disturb(m.now)
				m.jobs[id.Job].lastRun[id] = m.now
			}
		}
	}
	if f.deregisters {
		m.planner.RemoveWorker(w.vm.Incarnation, m.now)
	}
}

func (m *starvationModel) mendWorker(w *faultyWorker) {
	if w.fault.restarts {
		w.vm.Incarnation.StartedMS++
		w.ends = nil
	}
	if w.fault.resized {
		w.full.Processors = 4_000 * (1 + m.random.IntN(4))
	}
	if !w.fault.strained {
		w.soundSince = m.now
	}
	if w.fault.loops && m.now.Before(w.loopsUntil) {
		w.crashAt = m.now.Add(minLoopUpTime + time.Duration(m.random.Int64N(int64(maxLoopUpTime-minLoopUpTime))))
	}
	w.vm.Capacity, w.vm.Draining, w.fault = w.full, false, nil
}

// replaceOwner lets another owner take over from what is stored, and each agent connect to it within a
// second.
func (m *starvationModel) replaceOwner() {
	m.harness, m.decision, m.disturbedAt = m.takeOver(), nil, m.now
	m.planner.Configure(m.config)
	for _, w := range m.workers {
		if w.fault == nil {
			m.breakWorker(w, &workerFault{disconnected: true}, m.now.Add(time.Duration(m.random.IntN(1000))*time.Millisecond))
		}
	}
}

// disturb submits and cancels jobs, breaks workers, delays the store, replaces the owner and evacuates
// zones at random. With late, nothing is disturbed of which the owner learns by the end of a lease.
func (m *starvationModel) disturb(traffic, poisonShare, faultShare float64, late bool) {
	row := m.row
	if m.random.Float64() < traffic {
		m.submitJob(m.random.Float64() < poisonShare)
	}
	if len(m.ids) > 0 && m.random.IntN(15) == 0 {
		id := m.ids[m.random.IntN(len(m.ids))]
		if j := m.jobs[id]; !j.cancelled && j.Steps[0].Lasting {
			j.cancelled = true
			m.applyJob(planner.NewCancelRecord(id))
		}
	}
	for _, w := range m.workers {
		if w.fault == nil && m.random.Float64() < faultShare {
			f, until := row.faults[m.random.IntN(len(row.faults))], m.now.Add(time.Duration(1+m.random.IntN(8))*time.Second)
			if !late || !f.restarts && !f.disconnected {
				if f.loops {
					w.loopsUntil = until
					m.crashAgain(w)
				} else {
					m.breakWorker(w, f, until)
				}
			}
		}
	}
	if m.random.IntN(200) == 0 {
		m.config.Out = map[string]bool{fmt.Sprint("z", m.random.IntN(4)): true}
		m.planner.Configure(m.config)
	}
	if faultShare > 0 && !late && row.storeStall > 0 && m.random.IntN(50) == 0 {
		m.storedAt = m.now.Add(time.Duration(m.random.Int64N(int64(row.storeStall))))
		m.disturbedAt = m.storedAt
	}
	if faultShare > 0 && !late && row.takeovers && m.random.IntN(150) == 0 {
		m.replaceOwner()
	}
}

// losePower lets all workers and the owner lose power for one to three seconds.
func (m *starvationModel) losePower() {
	back := func() time.Time { return m.now.Add(time.Second + time.Duration(m.random.IntN(2000))*time.Millisecond) }
	for _, w := range m.workers {
		m.breakWorker(w, &workerFault{restarts: true, gone: true}, back())
	}
	m.ownerAt = back()
}
