package planner

import (
	"math"
	"time"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/estimator"
)

const (
	// interferenceWeight is the weight of interference in the score of a VM. It
	// ranks a VM where a filler does not interfere with services above one that
	// only has more free processors.
	interferenceWeight = 6
	// minHeadroom is the headroom of a service below which a filler waits for another
	// VM: the service's own load varies by about that much while a filler runs.
	// rankingHeadroom is the headroom below which interference lowers the score of a VM.
	minHeadroom     = 0.1
	rankingHeadroom = 0.3
	// existingInterferenceShare is the share of the interference by the running
	// fillers that is not attributed to a further filler, since it would persist
	// anyway.
	existingInterferenceShare = 0.5
	// maxInterference is the interference above which a filler waits for
	// another VM, as a share of the VM's processors.
	maxInterference = 0.1
	// fillerWaitShare is the share of a job's spare time that its fillers may
	// spend waiting for a VM with less interference. It is well below 1 since
	// task estimates are off by a factor of two.
	fillerWaitShare = 0.4
	// maxFillerWait bounds the same waiting time of jobs with much spare time. It
	// is below the three seconds after which a job with nothing running counts as
	// starved.
	maxFillerWait = 2500 * time.Millisecond
	// affinityWeight is the weight of the affinity, from 0 to 1, in the score of a
	// VM. It ranks a VM with similar services above one that only has more free
	// processors. A service of the same job counts 1, one of the same image
	// sameImageAffinity, and a VM without services noServiceAffinity.
	affinityWeight    = 5
	sameImageAffinity = 0.6
	noServiceAffinity = 0.5
	// headroomMaxAge bounds how long computed headrooms are cached: half of the
	// time between two reports of measurements.
	headroomMaxAge    = 250 * time.Millisecond
	millicoresPerCore = 1000
)

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
		cores[image] = float64(millicores) / millicoresPerCore
	}
	uses := estimator.NewUses(cores)
	var services []estimator.Service
	for _, run := range v.orderedRuns {
		if tail, measured := tails[run.ref()]; measured && run.step().HasTailObjective() {
			run.tailLatency = tail
			services = append(services, run.measuredService())
		}
	}
	p.estimator.Observe(now, services, uses)
}

// measuredService returns the service with its latest tail latency. The users of
// a job are spread over its services, so these have the same load and form one
// group of the estimator.
func (r *placedRun) measuredService() estimator.Service {
	step := r.step()
	return estimator.Service{Group: r.id.Job, Image: step.Image, TailLatency: r.tailLatency, TailObjective: step.TailObjective}
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
	// Fillers count with the processors that they request, not those they use.
	fillerCores := map[string]float64{}
	for _, run := range v.orderedRuns {
		if step := run.step(); step.Filler {
			fillerCores[step.Image] += float64(step.CPU) / millicoresPerCore
		}
	}
	uses := estimator.NewUses(fillerCores)
	v.headrooms = []serviceHeadroom{}
	for _, run := range v.orderedRuns {
		if run.step().HasTailObjective() {
			measured := run.measuredService()
			ownLoad := p.estimator.OwnLoad(measured.Group)
			v.headrooms = append(v.headrooms, serviceHeadroom{
				run: run, headroom: p.estimator.LoadAtTailObjective(measured) - ownLoad - p.estimator.FillerLoad(measured.Image, uses),
			})
		}
	}
	return v.headrooms
}

// interference is how one more filler of a step, together with the fillers already on the
// VM, affects the VM's services: the processors that are requested by services which the
// filler would push over their latency objectives, as a share of the VM's processors. A
// service counts in part if the filler would only bring it close to its latency objective:
// within minHeadroom for expected, and within rankingHeadroom for possible. It counts less
// if its headroom is below that already.
type interference struct{ expected, possible float64 }

// interference rates a VM for one more filler of a step.
func (p *Planner) interference(v *vm, step *plantainrail.Step, now time.Time) interference {
	cores := float64(step.CPU) / millicoresPerCore
	var out interference
	for _, s := range p.serviceHeadrooms(v, now) {
		service := s.run.step()
		after := s.headroom - cores*p.estimator.LoadPerCore(service.Image, step.Image)
		share := float64(service.CPU) / float64(max(v.Capacity.Processors, 1))
		out.expected += share * addedDeficit(s.headroom, after, minHeadroom)
		out.possible += share * addedDeficit(s.headroom, after, rankingHeadroom)
	}
	return out
}

// addedDeficit returns the deficit of a headroom after a filler was added, less the part of
// the earlier deficit that is not attributed to the filler.
func addedDeficit(before, after, wanted float64) float64 {
	return headroomDeficit(after, wanted) - existingInterferenceShare*headroomDeficit(before, wanted)
}

// fillerWaitLimit returns how long a job's fillers may wait in total for a VM
// with less interference: fillerWaitShare of the time by which the objective for
// the job's duration exceeds the sum of its steps' estimates, but at most
// maxFillerWait.
func fillerWaitLimit(j *Job) time.Duration {
	work := 0
	for _, step := range j.Steps {
		work += step.Estimate
	}
	spare := (j.Queue.StretchFactor-1)*float64(work) + float64(j.Queue.SlackMS)
	return min(time.Duration(max(spare, 0)*fillerWaitShare)*time.Millisecond, maxFillerWait)
}

// fillersMayWait reports whether fillers of the job may still wait for a VM with
// less interference. Once they may not, they are placed in spite of interference.
func (j *Job) fillersMayWait(now time.Time) bool {
	waited := j.fillerWait
	if !j.fillersWaitingSince.IsZero() {
		waited += now.Sub(j.fillersWaitingSince)
	}
	return waited < fillerWaitLimit(j)
}

// trackFillerWait records whether fillers of the job are waiting for a VM with less
// interference, and adds up the time that they have waited.
func (j *Job) trackFillerWait(waiting bool, now time.Time) {
	switch {
	case waiting && j.fillersWaitingSince.IsZero():
		j.fillersWaitingSince = now
	case !waiting && !j.fillersWaitingSince.IsZero():
		j.fillerWait += now.Sub(j.fillersWaitingSince)
		j.fillersWaitingSince = time.Time{}
	}
}

// headroomDeficit returns how far the headroom is below the wanted one, as a fraction of
// it: 0 if the headroom is as wanted, and 1 if none is left.
func headroomDeficit(headroom, wanted float64) float64 {
	return math.Min(math.Max((wanted-headroom)/wanted, 0), 1)
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
