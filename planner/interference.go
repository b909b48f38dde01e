package planner

import (
	"math"
	"time"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/estimator"
	"github.com/plantainrail/plantainrail/pacer"
)

const (
	// headroomWeight and harmWeight are the weights of the two parts of pressure in the score of a VM.
	// Headroom ranks a VM that tolerates a filler above one that only has more free processors; harm
	// ranks all VMs on which services go over their latency objectives below the others.
	headroomWeight = 2
	harmWeight     = 60
	// keptHeadroom is the headroom that fillers leave to a service, since estimates are off by as much.
	keptHeadroom = 0.03
	// minHeadroom bounds the headroom of which a share is computed.
	minHeadroom = 0.05
	// fullHarmLoad is the load beyond its headroom from which a service counts in full as harmed.
	fullHarmLoad = 0.1
	// toleratedHarm is the harm above which a filler waits for another VM.
	toleratedHarm = 0.01
	// affinityWeight is the weight of the affinity, from 0 to 1, in the score of a
	// VM. It ranks a VM with similar services above one that only has more free
	// processors. A service of the same job counts 1, one of the same image
	// sameImageAffinity, and a VM without services noServiceAffinity.
	affinityWeight    = 5
	sameImageAffinity = 0.6
	noServiceAffinity = 0.5
	// headroomMaxAge bounds how long computed headrooms are cached: half of the
	// time between two reports of measurements.
	headroomMaxAge = 250 * time.Millisecond
	// placeHorizon is how far ahead own loads are predicted where a filler is placed: most fillers run
	// for some seconds.
	placeHorizon = 2500 * time.Millisecond
	// referenceMillicores are the processors of the VM to whose cores the estimates refer.
	referenceMillicores = 32_000
	// minFillerUse bounds the share of their requested processors that fillers are expected to use.
	minFillerUse = 0.3
)

// referenceCores converts processors of the VM, in millicores, to cores of a VM with
// referenceMillicores. A filler interferes by the share of the VM's processors that it uses.
func (v *vm) referenceCores(millicores int) float64 {
	return float64(millicores) / float64(max(v.Capacity.Processors, 1)) * referenceMillicores / 1000
}

// Observe records the tail latencies of a worker's services, in milliseconds,
// and the processors that fillers on the same VM used, in millicores by image.
// It ignores unknown workers, and runs that are not on the worker or have no
// latency objective.
func (p *Planner) Observe(incarnation plantainrail.WorkerIncarnation, tails map[plantainrail.RunRef]int, usedMillicores map[string]int, now time.Time) {
	v := p.vms[incarnation]
	if v == nil {
		return
	}
	cores := make(map[string]float64, len(usedMillicores))
	for image, millicores := range usedMillicores {
		cores[image] = v.referenceCores(millicores)
	}
	v.trackFillerUse(usedMillicores, now)
	uses := estimator.NewUses(cores)
	var services []estimator.Service
	for _, run := range v.orderedRuns {
		if tail, measured := tails[run.ref()]; measured && run.step().HasTailObjective() {
			run.measureTail(tail, now)
			services = append(services, run.measuredService())
		}
	}
	p.estimator.Observe(now, services, uses)
}

// trackFillerUse records which share of the processors that fillers request they use, given the use
// in millicores by image.
func (v *vm) trackFillerUse(usedMillicores map[string]int, now time.Time) {
	used, requested := 0.0, 0.0
	for _, millicores := range usedMillicores {
		used += float64(millicores)
	}
	for _, run := range v.orderedRuns {
		if run.step().Filler && run.hasRunFor(headroomMaxAge, now) {
			requested += float64(run.step().CPU) * float64(pacer.FullPace-run.slowed) / pacer.FullPace
		}
	}
	v.fillerUse = 1
	if requested > 0 {
		v.fillerUse = min(max(used/requested, minFillerUse), 1)
	}
}

// serviceHeadroom is a service on a VM and its headroom.
type serviceHeadroom struct {
	run *placedRun
	// headroom is the load that can be added before the tail latency of the
	// service reaches its latency objective; it is negative above that. Loads
	// are on the scale of package estimator.
	headroom float64
}

// serviceHeadrooms returns the headroom of each service on the VM that has a
// latency objective. The result is cached until the VM's runs change, but at most
// for headroomMaxAge, since loads vary.
func (p *Planner) serviceHeadrooms(v *vm, now time.Time) []serviceHeadroom {
	if v.headrooms != nil && now.Sub(v.headroomsAt) < headroomMaxAge {
		return v.headrooms
	}
	v.headroomsAt = now
	// Fillers count with the processors that they will use at full speed, also those that are slowed.
	fillerCores := map[string]float64{}
	for _, run := range v.orderedRuns {
		if step := run.step(); step.Filler {
			fillerCores[step.Image] += v.referenceCores(step.CPU) * v.fillerUse
		}
	}
	uses := estimator.NewUses(fillerCores)
	v.headrooms = []serviceHeadroom{}
	for _, run := range v.orderedRuns {
		if run.step().HasTailObjective() {
			measured := run.measuredService()
			ownLoad := p.estimator.PeakOwnLoad(measured.Group, now.Add(placeHorizon))
			v.headrooms = append(v.headrooms, serviceHeadroom{
				run: run, headroom: p.estimator.LoadAtTailObjective(measured) - ownLoad - p.estimator.FillerLoad(measured.Image, uses),
			})
		}
	}
	return v.headrooms
}

// pressure is how one more filler of a step, together with those on the VM, affects the VM's services.
type pressure struct {
	// headroom is the sum of the shares that the filler takes of the services' headrooms.
	headroom float64
	// harm is the share of the VM's processors that are requested by services which the filler pushes, or
	// pushes further, over their latency objectives.
	harm float64
}

// pressure rates a VM for one more filler of a step.
func (p *Planner) pressure(v *vm, step *plantainrail.Step, now time.Time) pressure {
	cores := v.referenceCores(step.CPU)
	var out pressure
	for _, s := range p.serviceHeadrooms(v, now) {
		service := s.run.step()
		load := cores * p.estimator.CautiousLoadPerCore(service.Image, step.Image)
		room := s.headroom - keptHeadroom
		out.headroom += load / math.Max(room, minHeadroom)
		if load > room {
			share := float64(service.CPU) / float64(max(v.Capacity.Processors, 1))
			out.harm += share * math.Min((load-math.Max(room, 0))/fullHarmLoad, 1)
		}
	}
	return out
}

// affinity rates how well a service fits with those on the VM, from 0 to
// affinityWeight. It averages over the services on the VM. Services of one job
// have their load peaks at the same time, and those of one image tolerate the
// same fillers, so co-locating them leaves more VMs for each filler.
func (v *vm) affinity(j *Job, step *plantainrail.Step) float64 {
	sum, services := 0.0, 0.0
	for _, run := range v.orderedRuns {
		s := run.step()
		if !s.HasTailObjective() {
			continue
		}
		services++
		switch {
		case run.job == j:
			sum++
		case s.Image == step.Image:
			sum += sameImageAffinity
		}
	}
	if services == 0 {
		return affinityWeight * noServiceAffinity
	}
	return affinityWeight * sum / services
}
