package planner

import (
	"math"
	"time"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/estimator"
)

const (
	// interferenceWeight ranks a VM where a filler does not interfere with
	// services above one that only has more free processors.
	interferenceWeight = 6
	// minHeadroom is the headroom of a service below which interference starts
	// to count: the service's own load varies by about that much while a filler
	// runs.
	minHeadroom = 0.1
	// existingInterferenceShare is the share of the interference by the fillers
	// already running that would persist without another filler.
	existingInterferenceShare = 0.5
	// maxInterference is the interference above which a filler waits for
	// another VM.
	maxInterference = 0.1
	// fillerWaitShare is the share of a job's spare time that its fillers may
	// spend waiting for a VM with less interference. It is well below 1 since
	// task estimates are off by a factor of two.
	fillerWaitShare = 0.4
	// maxFillerWait bounds that wait: a job that has nothing running for three
	// seconds counts as forgotten.
	maxFillerWait = 2500 * time.Millisecond
	// affinityWeight ranks a VM with similar services above one that only has
	// more free processors. sameImageAffinity rates a service of the same image
	// relative to one of the same job, and noServiceAffinity rates a VM without
	// services.
	affinityWeight    = 5
	sameImageAffinity = 0.6
	noServiceAffinity = 0.5
	// headroomMaxAge is how long computed headrooms are cached: half of the
	// time between two reports of measurements.
	headroomMaxAge    = 250 * time.Millisecond
	millicoresPerCore = 1000
)

// Observe records the tail latencies of a worker's services, in milliseconds,
// and the processors that the fillers beside them used, in millicores by image.
// It ignores unknown workers.
func (p *Planner) Observe(incarnation plantainrail.WorkerIncarnation, tails map[plantainrail.RunRef]int, usedMillicores map[string]int, now time.Time) {
	v := p.vms[incarnation]
	if v == nil {
		return
	}
	cores := make(map[string]float64, len(usedMillicores))
	for image, millicores := range usedMillicores {
		cores[image] = float64(millicores) / millicoresPerCore
	}
	var services []estimator.Service
	for ref, tail := range tails {
		if run := v.runs[ref]; run != nil && run.step().HasTailTarget() {
			run.tail = tail
			services = append(services, run.measuredService())
		}
	}
	p.estimator.Observe(now, services, cores)
}

// measuredService returns the service with its latest measurement. The users of
// a job are spread over its services, so these share one load and form one
// group.
func (r *placedRun) measuredService() estimator.Service {
	step := r.step()
	return estimator.Service{Group: r.id.Job, Image: step.Image, Tail: r.tail, Target: step.TailTarget}
}

// serviceHeadroom is a service on a VM and its headroom.
type serviceHeadroom struct {
	run *placedRun
	// headroom is the load that can be added before the tail latency of the
	// service reaches its target; it is negative above the target.
	headroom float64
}

// serviceHeadrooms returns the headroom of each service on the VM. The result
// is cached until the VM's runs change, and for headroomMaxAge at most, since
// loads vary.
func (p *Planner) serviceHeadrooms(v *vm, now time.Time) []serviceHeadroom {
	if v.headrooms != nil && now.Sub(v.headroomsAt) < headroomMaxAge {
		return v.headrooms
	}
	v.headroomsAt = now
	fillerCores := map[string]float64{}
	for _, run := range v.runs {
		if step := run.step(); step.Filler {
			fillerCores[step.Image] += float64(step.CPU) / millicoresPerCore
		}
	}
	v.headrooms = []serviceHeadroom{}
	for _, run := range v.runs {
		if run.step().HasTailTarget() {
			measured := run.measuredService()
			ownLoad := p.estimator.OwnLoad(measured.Group)
			v.headrooms = append(v.headrooms, serviceHeadroom{
				run: run, headroom: p.estimator.LoadAtTarget(measured) - ownLoad - p.estimator.FillerLoad(measured.Image, fillerCores),
			})
		}
	}
	return v.headrooms
}

// interference rates how one more filler of a step, together with the fillers
// already on the VM, affects the VM's services. It returns the share of the
// VM's processors that belongs to services which the filler would push over
// their targets, where services close to their targets count in part.
func (p *Planner) interference(v *vm, step plantainrail.Step, now time.Time) float64 {
	cores := float64(step.CPU) / millicoresPerCore
	sum := 0.0
	for _, s := range p.serviceHeadrooms(v, now) {
		service := s.run.step()
		perCore := p.estimator.CoreLoad(service.Image, step.Image)
		sum += (headroomDeficit(s.headroom-cores*perCore) - existingInterferenceShare*headroomDeficit(s.headroom)) * float64(service.CPU)
	}
	return sum / float64(max(v.Capacity.Processors, 1))
}

// fillerWaitLimit returns how long a job's fillers may wait in total for a VM
// with less interference: a share of the time that the job's objective leaves
// beside its estimated work.
func fillerWaitLimit(j *Job) time.Duration {
	work := 0
	for _, step := range j.Steps {
		work += step.Estimate
	}
	spare := (j.Queue.StretchFactor-1)*float64(work) + float64(j.Queue.SlackMS)
	return min(time.Duration(max(spare, 0)*fillerWaitShare)*time.Millisecond, maxFillerWait)
}

// fillersMayWait reports whether fillers of the job may still wait for a VM
// with less interference.
func (j *Job) fillersMayWait(now time.Time) bool {
	waited := j.waited
	if !j.waitingSince.IsZero() {
		waited += now.Sub(j.waitingSince)
	}
	return waited < fillerWaitLimit(j)
}

// trackWait records whether fillers of the job are waiting for a VM with less
// interference, and adds up the time that they have waited.
func (j *Job) trackWait(waiting bool, now time.Time) {
	switch {
	case waiting && j.waitingSince.IsZero():
		j.waitingSince = now
	case !waiting && !j.waitingSince.IsZero():
		j.waited += now.Sub(j.waitingSince)
		j.waitingSince = time.Time{}
	}
}

// headroomDeficit returns how far the headroom is below minHeadroom, as a share
// from 0 to 1.
func headroomDeficit(headroom float64) float64 {
	return math.Min(math.Max((minHeadroom-headroom)/minHeadroom, 0), 1)
}

// affinity rates how well a service fits with those on the VM. Services of one
// job have their load peaks at the same time, and those of one image tolerate
// the same fillers, so co-locating them leaves more VMs for each filler.
func (v *vm) affinity(j *Job, step plantainrail.Step) float64 {
	sum, services := 0.0, 0.0
	for _, run := range v.runs {
		s := run.step()
		if !s.HasTailTarget() {
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
