package planner

import (
	"math"
	"time"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/pacer"
)

const (
	// paceHorizon is how far ahead own loads are predicted for the pace of fillers: the lag of the
	// measurements and the time until the next decision takes effect.
	paceHorizon = 800 * time.Millisecond
	// paceStep is the step of paces, in percent: finer ones would be sent with every measurement.
	paceStep = 10
	// minPressure is the load per core below which slowing a filler does not help a service.
	minPressure = 0.004
	// slowedShare is the share of its speed below which a filler is better off on another VM, and
	// slowedTime how long it has to work below it.
	slowedShare = 0.35
	slowedTime  = 400 * time.Millisecond
	// maxLostWork bounds the time for which a filler without checkpoints may have run that is moved.
	maxLostWork = time.Second
	// maxMoveHarm is the harm up to which another VM is better than one on which the filler is slowed.
	maxMoveHarm = 0.1
	// maxMoves bounds the moves of a task, so that it ends also where no VM tolerates it for long.
	maxMoves = 4
)

// pacedFiller is a filler on a VM and the share of its speed that it may have.
type pacedFiller struct {
	run *placedRun
	// cores is what it uses at full speed, in cores of a VM with referenceMillicores.
	cores float64
	share float64
	// slowable means that its job has time left.
	slowable bool
}

// image returns the image that the filler runs.
func (f pacedFiller) image() string { return f.run.step().Image }

// serviceRoom is the load that fillers may add to the services of an image on a VM.
type serviceRoom struct {
	image string
	room  float64
}

// PaceFillers decides the pace of each filler on a worker so that its services stay below their latency
// objectives, and returns the paces that have changed. Fillers of jobs that have time are slowed first
// where they interfere most; those that are slowed for long are stopped to go on on a VM that
// tolerates them, if there is one. Long-running fillers keep their speed, since they have no end to put off. It ignores
// unknown workers.
func (p *Planner) PaceFillers(incarnation plantainrail.WorkerIncarnation, now time.Time) []plantainrail.RunPace {
	v := p.vms[incarnation]
	if v == nil {
		return nil
	}
	var fillers []pacedFiller
	for _, run := range v.orderedRuns {
		if step := run.step(); step.Filler && !step.Lasting && !run.stopping && !run.begunAt.IsZero() {
			fillers = append(fillers, pacedFiller{
				run: run, cores: v.referenceCores(step.CPU) * v.fillerUse, share: 1, slowable: !run.job.hurries(run.id.Occurrence, now),
			})
		}
	}
	if len(fillers) == 0 {
		return nil
	}
	p.slowFillers(fillers, p.serviceRooms(v, now))
	p.moveSlowed(v, fillers, now)
	var out []plantainrail.RunPace
	for _, f := range fillers {
		// The small addend keeps the rounding of a share from costing a step.
		percent := int(f.share*100/paceStep+1e-6) * paceStep
		if slowed := pacer.FullPace - percent; slowed != f.run.slowed {
			f.run.slowed = slowed
			out = append(out, plantainrail.RunPace{Ref: f.run.ref(), Percent: percent})
		}
	}
	return out
}

// serviceRooms returns the room of each service on the VM. Services that their own load alone pushes over their
// latency objectives are left out, since slowing fillers does not help them.
func (p *Planner) serviceRooms(v *vm, now time.Time) []serviceRoom {
	var out []serviceRoom
	for _, run := range v.orderedRuns {
		if !run.step().HasTailObjective() || run.tailLatency == 0 {
			continue
		}
		s := run.measuredService()
		room := p.estimator.LoadAtTailObjective(s) - p.estimator.PeakOwnLoad(s.Group, now.Add(paceHorizon))
		if room > 0 {
			out = append(out, serviceRoom{s.Image, math.Max(room-keptHeadroom, 0)})
		}
	}
	return out
}

// slowFillers lowers the shares of the fillers until each service has the room for them. For the service that
// lacks most, it slows the filler that interferes with it most for each core.
func (p *Planner) slowFillers(fillers []pacedFiller, services []serviceRoom) {
	// Each step stops a filler, or settles or gives up a service.
	for range len(fillers) + 2*len(services) {
		worst, excess := p.mostPressed(fillers, services)
		if worst < 0 {
			return
		}
		heaviest, pressure := -1, minPressure
		for i, f := range fillers {
			if perCore := p.estimator.LoadPerCore(services[worst].image, f.image()); f.share > 0 && f.slowable && perCore > pressure {
				heaviest, pressure = i, perCore
			}
		}
		if heaviest < 0 {
			services[worst].room = math.Inf(1)
			continue
		}
		f := &fillers[heaviest]
		f.share = math.Max(f.share-excess/(f.cores*pressure), 0)
	}
}

// mostPressed returns the index of the service that the fillers exceed the room of most, and by how
// much; -1 if there is none.
func (p *Planner) mostPressed(fillers []pacedFiller, services []serviceRoom) (worst int, excess float64) {
	// A smaller excess is a rounding error.
	worst, excess = -1, 1e-9
	for i, s := range services {
		sum := 0.0
		for _, f := range fillers {
			sum += f.share * f.cores * p.estimator.LoadPerCore(s.image, f.image())
		}
		if sum-s.room > excess {
			worst, excess = i, sum-s.room
		}
	}
	return worst, excess
}

// moveSlowed stops the fillers that have worked slowly for a while and that another VM could run at full speed.
func (p *Planner) moveSlowed(v *vm, fillers []pacedFiller, now time.Time) {
	for _, f := range fillers {
		run, step := f.run, f.run.step()
		switch {
		case f.share >= slowedShare:
			run.slowedSince = time.Time{}
			continue
		case run.slowedSince.IsZero():
			run.slowedSince = now
		}
		movable := !step.Gang && (step.Checkpoints || now.Sub(run.begunAt) < maxLostWork)
		if !movable || now.Sub(run.slowedSince) < slowedTime || run.task.moves >= maxMoves || !p.hasBetterVM(v, run, now) {
			continue
		}
		run.task.moves++
		p.stop(run.id, run.task, "slowed")
	}
}

// hasBetterVM reports whether another VM can take the run and its services tolerate it.
func (p *Planner) hasBetterVM(current *vm, run *placedRun, now time.Time) bool {
	ready := readyStep{job: run.job, occurrence: run.id.Occurrence, step: run.id.Step}
	for _, v := range p.ordered {
		if v != current && p.fact(v, p.vmPool(run.job), ready) == "" && len(p.judge(v, ready, now)) == 0 && p.pressure(v, run.step(), now).harm <= maxMoveHarm {
			return true
		}
	}
	return false
}
