package planner

import (
	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/pacer"
)

// strained is the slowness of a service, its tail latency as a share of its
// target, from which on a filler beside it does harm.
const strained = 0.8

// cores sums what the fillers on a VM use, by image.
func (v *vm) cores() map[string]float64 {
	out := map[string]float64{}
	for _, run := range v.runs {
		if step := run.step(); step.Filler {
			out[step.Image] += float64(run.figure) / 1000
		}
	}
	return out
}

// learn takes in the services' newest tail latencies.
func (v *vm) learn(model *pacer.Model) {
	if v.fillers == 0 {
		return
	}
	used := v.cores()
	for _, run := range v.runs {
		if step := run.step(); step.TailTarget > 0 && run.figure > 0 {
			model.Learn(step.Image, slowness(run), used)
		}
	}
}

func slowness(run *placedRun) float64 {
	return float64(run.figure) / float64(run.step().TailTarget)
}

// harm returns how far a filler would bring the VM's services beyond the
// strained slowness, summed over the services.
func (v *vm) harm(step plantainrail.Step, model *pacer.Model) float64 {
	if !step.Filler {
		return 0
	}
	sum := 0.0
	for _, run := range v.runs {
		service := run.step()
		if service.TailTarget == 0 {
			continue
		}
		more := 0.0
		for _, other := range v.runs {
			if filler := other.step(); filler.Filler && other.figure == 0 {
				// A filler that was not measured yet is about to press.
				more += model.Press(service.Image, filler.Image) * float64(filler.CPU) / 1000
			}
		}
		more += model.Press(service.Image, step.Image) * float64(step.CPU) / 1000
		sum += max(0, slowness(run)+more-strained)
	}
	return sum
}
