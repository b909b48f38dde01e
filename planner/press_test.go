package planner_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

const (
	// idleTail is the tail of an idle service and tailTarget its bound, both in
	// milliseconds.
	idleTail   = 25
	tailTarget = 125
	// look is the time between two reports of figures.
	look = 500 * time.Millisecond
)

func servingStep(count, cpu int, image string) plantainrail.Step {
	return plantainrail.Step{Count: count, CPU: cpu, Lasting: true, TailTarget: tailTarget, Image: image}
}

func fillerStep(count, cpu int, image string) plantainrail.Step {
	return plantainrail.Step{Count: count, CPU: cpu, Filler: true, Image: image, Estimate: 2000}
}

// floorVM is a VM of a model in which fillers press on services.
type floorVM struct {
	life     plantainrail.Life
	services []placed
	fillers  []placed
	number   int64
}

// placed is a run on a VM of the model.
type placed struct {
	ref   plantainrail.RunRef
	image string
	cores float64
	// left is the work that a filler has to do yet.
	left time.Duration
	// phase is when the load of a service swings.
	phase float64
}

// floor is a model of a pool: services whose load swings, fillers that press on
// them by pair of images, and workers that report both.
type floor struct {
	*room
	vms     map[plantainrail.Life]*floorVM
	presses map[[2]string]float64
	random  *rand.Rand
	tells   bool
	// harmed is the time that services were over their targets by the fillers'
	// doing, done the number of fillers that have ended.
	harmed time.Duration
	done   int
}

func newFloor(t *testing.T, vms int, seed uint64, tells bool) *floor {
	f := &floor{
		room: newRoom(t), vms: map[plantainrail.Life]*floorVM{}, presses: map[[2]string]float64{},
		random: rand.New(rand.NewPCG(seed, 1)), tells: tells,
	}
	for i := range vms {
		vm := newVM(fmt.Sprintf("vm-%02d", i), 64_000)
		vm.Room.Memory = 1 << 20
		f.report(vm)
		f.vms[vm.Life] = &floorVM{life: vm.Life}
	}
	return f
}

// run lets time pass.
func (f *floor) run(span time.Duration) {
	const step = 100 * time.Millisecond
	for until := f.now.Add(span); f.now.Before(until); f.now = f.now.Add(step) {
		f.start(f.tick())
		for _, vm := range f.vms {
			f.p.Renew(vm.life, f.now)
			f.work(vm, step)
			if f.tells && f.now.Sub(start)%look == 0 {
				f.tellFigures(vm)
			}
		}
	}
}

func (f *floor) start(plan planner.Plan) {
	assert.Equal(f.t, len(plan.Stops), 0, "nothing is stopped for the sake of placing")
	for _, a := range plan.Assignments {
		step := f.p.Book.Job(a.Order.Ref.Task.Job).Steps[a.Order.Ref.Task.Step]
		vm := f.vms[a.Life]
		run := placed{ref: a.Order.Ref, image: step.Image, cores: float64(step.CPU) / 1000}
		if step.Lasting {
			run.phase = float64(len(a.Order.Ref.Task.Job)+int(a.Order.Ref.Task.Job[4])) / 7
			vm.services = append(vm.services, run)
			continue
		}
		run.left = time.Duration(1500+f.random.IntN(2000)) * time.Millisecond
		vm.fillers = append(vm.fillers, run)
	}
}

// work lets fillers work and counts what they do to the services.
func (f *floor) work(vm *floorVM, step time.Duration) {
	for _, s := range vm.services {
		own := f.own(s)
		if own < 0.8 && own+f.pressed(vm, s) >= 0.8 {
			f.harmed += step
		}
	}
	kept := vm.fillers[:0]
	for _, run := range vm.fillers {
		if run.left -= step; run.left > 0 {
			kept = append(kept, run)
			continue
		}
		f.done++
		vm.number++
		f.p.Ended(vm.life, []plantainrail.RunEnd{{Number: vm.number, Ref: run.ref, How: plantainrail.EndDone}}, f.now)
	}
	vm.fillers = kept
}

func (f *floor) own(s placed) float64 {
	return 0.45 + 0.2*math.Sin(2*math.Pi*(f.now.Sub(start).Seconds()/20+s.phase))
}

func (f *floor) pressed(vm *floorVM, s placed) float64 {
	sum := 0.0
	for _, run := range vm.fillers {
		sum += run.cores * f.presses[[2]string{s.image, run.image}]
	}
	return sum
}

func (f *floor) tellFigures(vm *floorVM) {
	tails, used := map[plantainrail.RunRef]int{}, map[string]int{}
	for _, s := range vm.services {
		rough := 1 + 0.05*(2*f.random.Float64()-1)
		tails[s.ref] = int(idleTail / (1 - min(f.own(s)+f.pressed(vm, s), 0.98)) * rough)
	}
	for _, run := range vm.fillers {
		used[run.image] += int(run.cores * 1000)
	}
	f.p.Measured(vm.life, tails, used, f.now)
}

// neighbours plays two minutes in which half of the pairs of images press.
func neighbours(t *testing.T, seed uint64, tells bool) *floor {
	const services, fillers = 4, 6
	f := newFloor(t, 12, seed, tells)
	for s := range services {
		for k := range fillers {
			if f.random.IntN(2) == 0 {
				f.presses[[2]string{fmt.Sprint("s", s), fmt.Sprint("f", k)}] = 0.03
			}
		}
	}
	for j := range 2 * services {
		f.offer(fmt.Sprintf("svc-%d", j), servingStep(5, 13_000, fmt.Sprint("s", j%services)))
	}
	for j := range 400 {
		f.offer(fmt.Sprintf("fill-%03d", j), fillerStep(4, 7_000, fmt.Sprint("f", f.random.IntN(fillers))))
		f.run(300 * time.Millisecond)
	}
	return f
}

// Pattern: neighbours. Beside a planner that is told nothing, and so places by
// room alone, learned presses must halve the harm and finish as many fillers.
func TestLearnedPressesSpareServices(t *testing.T) {
	for seed := range uint64(4) {
		blind, told := neighbours(t, seed, false), neighbours(t, seed, true)
		assert.Assert(t, told.harmed*2 < blind.harmed, "seed %d: %s of harm, %s without figures", seed, told.harmed, blind.harmed)
		assert.Assert(t, float64(told.done) >= 0.97*float64(blind.done), "seed %d: %d fillers done, %d without figures", seed, told.done, blind.done)
	}
}

// A filler waits for a VM that bears it, and no longer than its job may.
func TestFillerWaitsNoLongerThanItsJobMay(t *testing.T) {
	for _, c := range []struct {
		name string
		gang bool
	}{{"alone", false}, {"gang", true}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFloor(t, 1, 1, true)
			f.presses[[2]string{"s", "f"}] = 0.08
			f.offer("svc-0", servingStep(4, 13_000, "s"))
			for j := range 10 {
				f.offer(fmt.Sprintf("early-%d", j), fillerStep(1, 4_000, "f"))
				f.run(6 * time.Second)
			}
			done := f.done
			step := fillerStep(2, 7_000, "f")
			step.Gang = c.gang
			alike := []string{"fill-1", "fill-2", "fill-3"}
			for _, id := range alike {
				f.offer(id, step)
			}
			f.run(100 * time.Millisecond)
			for _, id := range alike {
				assert.Assert(t, !f.p.Book.Job(id).Started, "%s: the only VM bears no more", id)
			}
			f.run(3 * time.Second)
			for _, id := range alike {
				assert.Assert(t, f.p.Book.Job(id).Started, "%s waits no longer", id)
			}
			f.run(10 * time.Second)
			assert.Assert(t, f.done >= done+2)
		})
	}
}

// Services of one job, then of one image, share VMs: it leaves more VMs to each
// filler.
func TestServicesAlikeShareVMs(t *testing.T) {
	f := newFloor(t, 4, 1, false)
	for j := range 4 {
		f.offer(fmt.Sprintf("svc-%d", j), servingStep(3, 15_000, fmt.Sprint("s", j%2)))
		f.run(100 * time.Millisecond)
	}
	for _, vm := range f.vms {
		images := map[string]bool{}
		for _, s := range vm.services {
			images[s.image] = true
		}
		assert.Assert(t, len(images) <= 1, "%s holds services of %d images", vm.life.Node, len(images))
	}
}

// Pattern: burst. Fillers use what others leave of a VM, and never ask for more
// than a part of it: they would take the memory that other tasks need.
func TestFillersLeaveRoomInABurst(t *testing.T) {
	f := newFloor(t, 2, 1, false)
	for j := range 20 {
		f.offer(fmt.Sprintf("fill-%02d", j), fillerStep(4, 7_000, "f"))
	}
	f.run(100 * time.Millisecond)
	for _, vm := range f.vms {
		sum := 0.0
		for _, run := range vm.fillers {
			sum += run.cores
		}
		assert.Assert(t, sum > 40 && sum <= 0.8*64, "%s: fillers ask for %.0f cores of 64", vm.life.Node, sum)
	}
}
