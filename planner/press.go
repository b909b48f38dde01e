package planner

import (
	"math"
	"time"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/estimator"
)

const (
	// harmWeight puts a VM whose services bear a filler before any that is only
	// emptier.
	harmWeight = 6
	// harmMargin is the pressure below the bound of a service from which on more
	// of it counts as harm: own load swings by about that much while a filler
	// runs.
	harmMargin = 0.1
	// harmLasts is the part of the harm by the fillers that run which goes on
	// without one more.
	harmLasts = 0.5
	// harmBorne is the harm from which on a filler waits for another VM.
	harmBorne = 0.1
	// patienceShare is the part of a job's spare time in which its fillers wait
	// for a VM that bears them; estimates are off by a factor of two.
	patienceShare = 0.4
	// patienceMost bounds that wait: a job that has nothing running for three
	// seconds counts as forgotten.
	patienceMost = 2500 * time.Millisecond
	// kinWeight puts a VM whose services are like a new one before any that is
	// only emptier; imageKin rates one of the same image beside one of the same
	// job, emptyKin a VM without any.
	kinWeight = 5
	imageKin  = 0.6
	emptyKin  = 0.5
	// pressedFor is how long what presses on services is kept: half of the time
	// between two reports of figures.
	pressedFor = 250 * time.Millisecond
	// milliCores are the thousandths in a core.
	milliCores = 1000
)

// Measured takes in the tails of a worker's services and what the fillers beside
// them used, in thousandths of a core by image.
func (p *Planner) Measured(life plantainrail.Life, tails map[plantainrail.RunRef]int, used map[string]int, now time.Time) {
	v := p.vms[life]
	if v == nil {
		return
	}
	cores := make(map[string]float64, len(used))
	for image, thousandths := range used {
		cores[image] = float64(thousandths) / milliCores
	}
	var services []estimator.Service
	for ref, tail := range tails {
		if run := v.runs[ref]; run != nil && run.step().Serves() {
			run.tail = tail
			services = append(services, run.service())
		}
	}
	p.estimator.Observe(now, services, cores)
}

// service is a run that serves, as it was measured last. The users of a job are
// spread over its services, so that these share a load.
func (r *placedRun) service() estimator.Service {
	step := r.step()
	return estimator.Service{Group: r.id.Job, Image: step.Image, Tail: r.tail, Target: step.TailTarget}
}

// pressed is a service on a VM and what presses on it.
type pressed struct {
	run *placedRun
	// room is the pressure that is left below the bound of the service.
	room float64
}

// services returns the VM's services with what presses on them. The result is
// kept until the runs of the VM change, and no longer than loads take to swing.
func (p *Planner) services(v *vm, now time.Time) []pressed {
	if v.pressed != nil && now.Sub(v.pressedAt) < pressedFor {
		return v.pressed
	}
	v.pressedAt = now
	fillers := map[string]float64{}
	for _, run := range v.runs {
		if s := run.step(); s.Filler {
			fillers[s.Image] += float64(s.CPU) / milliCores
		}
	}
	v.pressed = []pressed{}
	for _, run := range v.runs {
		if run.step().Serves() {
			service := run.service()
			own := p.estimator.Own(service.Group)
			v.pressed = append(v.pressed, pressed{
				run: run, room: p.estimator.Bound(service) - own - p.estimator.Pressed(service.Image, fillers),
			})
		}
	}
	return v.pressed
}

// harm rates what one more filler of a step does together with those on the VM to
// its services: the share of the VM's processors that belongs to those which are
// over their targets by it.
func (p *Planner) harm(v *vm, step plantainrail.Step, now time.Time) float64 {
	cores := float64(step.CPU) / milliCores
	sum := 0.0
	for _, s := range p.services(v, now) {
		served := s.run.step()
		press := p.estimator.Press(served.Image, step.Image)
		sum += (over(s.room-cores*press) - harmLasts*over(s.room)) * float64(served.CPU)
	}
	return sum / float64(max(v.Room.Processors, 1))
}

// patience returns how long a job's fillers may wait in all for a VM whose
// services bear them: a part of what the job's objective leaves beside its work.
func patience(j *Job) time.Duration {
	chain := 0
	for _, step := range j.Steps {
		chain += step.Estimate
	}
	spare := (j.Queue.Stretch-1)*float64(chain) + float64(j.Queue.Slack)
	return min(time.Duration(max(spare, 0)*patienceShare)*time.Millisecond, patienceMost)
}

// mayWait tells whether fillers of a job wait for a VM that bears them.
func (j *Job) mayWait(now time.Time) bool {
	held := j.held
	if !j.heldSince.IsZero() {
		held += now.Sub(j.heldSince)
	}
	return held < patience(j)
}

// hold notes that fillers of a job wait for a VM that bears them, or no longer do.
func (j *Job) hold(waits bool, now time.Time) {
	switch {
	case waits && j.heldSince.IsZero():
		j.heldSince = now
	case !waits && !j.heldSince.IsZero():
		j.held += now.Sub(j.heldSince)
		j.heldSince = time.Time{}
	}
}

// over returns how far the room below a bound is used up, at most 1.
func over(room float64) float64 {
	return math.Min(math.Max((harmMargin-room)/harmMargin, 0), 1)
}

// kinship rates how well a service goes with those on the VM. Services of one job
// have their load peaks at the same time, and those of one image bear the same
// fillers, so that keeping them together leaves more VMs for each filler.
func (v *vm) kinship(j *Job, step plantainrail.Step) float64 {
	kin, all := 0.0, 0.0
	for _, run := range v.runs {
		s := run.step()
		if !s.Serves() {
			continue
		}
		all++
		switch {
		case run.job == j:
			kin++
		case s.Image == step.Image:
			kin += imageKin
		}
	}
	if all == 0 {
		return kinWeight * emptyKin
	}
	return kinWeight * kin / all
}
