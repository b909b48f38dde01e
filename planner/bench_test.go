package planner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

// BenchmarkTick measures one tick at the planned size: 660 VMs, about 12,000
// running tasks and about 2,000 tasks that find no free processors.
func BenchmarkTick(b *testing.B) {
	const vms, running, waiting, width = 660, 12_000, 2_000, 10
	now := start
	p := planner.New(planner.NewBook(), timeouts, now)
	for i := range vms {
		vm := newVM(fmt.Sprint("vm-", i), 20_000)
		vm.Capacity.Memory = 1 << 20
		p.UpdateWorker(vm, now)
	}
	for i := range (running + waiting) / width {
		record, err := planner.NewJobRecord(plantainrail.Workflow{
			ID: fmt.Sprint("job-", i), Queue: queue, Steps: []plantainrail.Step{{Count: width, CPU: vms * 20_000 / running}},
		})
		assert.NilError(b, err)
		assert.NilError(b, p.ApplyJob(record, now))
	}
	placed := len(p.Tick(now).Assignments)
	assert.Assert(b, placed >= running*9/10, "placed %d", placed)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		p.Tick(now)
	}
}

// busyFleet simulates the owner's work on a busy fleet: services fill half of the
// VMs' processors, wide jobs of fillers and short jobs arrive all the time, and agents
// report ends and measurements.
type busyFleet struct {
	planner *planner.Planner
	now     time.Time
	random  *rand.Rand
	vms     []plantainrail.VM
	// ends holds the runs that are running, by the time at which they end.
	ends     map[int64][]planner.Assignment
	lastEnds map[plantainrail.WorkerIncarnation]int64
	services map[plantainrail.WorkerIncarnation][]plantainrail.RunRef
	jobs     int
	starts   int
	stored   int
}

const busyTick = 10 * time.Millisecond

func newBusyFleet(tb testing.TB, vms int) *busyFleet {
	f := &busyFleet{
		planner: planner.New(planner.NewBook(), timeouts, start), now: start, random: rand.New(rand.NewPCG(1, 2)),
		ends: map[int64][]planner.Assignment{}, lastEnds: map[plantainrail.WorkerIncarnation]int64{},
		services: map[plantainrail.WorkerIncarnation][]plantainrail.RunRef{},
	}
	for i := range vms {
		vm := newVM(fmt.Sprintf("vm-%03d", i), 32_000)
		vm.Capacity.Memory = 125_000
		f.vms = append(f.vms, vm)
		f.planner.UpdateWorker(vm, f.now)
	}
	for i := range vms * 23 / 240 {
		f.submit(tb, servingStep(24, 6_400, fmt.Sprint("s", i%16)))
	}
	return f
}

func (f *busyFleet) submit(tb testing.TB, steps ...plantainrail.Step) {
	f.jobs++
	record, err := planner.NewJobRecord(plantainrail.Workflow{ID: fmt.Sprint("job-", f.jobs), Queue: queue, Steps: steps})
	assert.NilError(tb, err)
	assert.NilError(tb, f.planner.ApplyJob(record, f.now))
}

// advance simulates one tick of the owner, with the arrivals and the reports since the
// previous one.
func (f *busyFleet) advance(tb testing.TB) {
	f.now = f.now.Add(busyTick)
	tick := f.now.Sub(start) / busyTick
	share := float64(len(f.vms)) / 240 * busyTick.Seconds()
	if f.random.Float64() < 16.6*share {
		f.submit(tb, plantainrail.Step{Count: 1 + f.random.IntN(25), CPU: 1_300, Memory: 2_600, Estimate: 1000})
	}
	if f.random.Float64() < 4.95*share {
		image := fmt.Sprint("f", f.random.IntN(30))
		second := fillerStep(40, 3_500, image)
		second.DependsOn = []int{0}
		f.submit(tb, fillerStep(20+f.random.IntN(60), 3_500, image), second)
	}
	for _, a := range f.ends[int64(tick)] {
		f.lastEnds[a.Incarnation]++
		f.planner.ApplyEnds(a.Incarnation, []plantainrail.RunEnd{{Number: f.lastEnds[a.Incarnation], Ref: a.Order.Ref, Outcome: plantainrail.RunDone}}, f.now)
	}
	delete(f.ends, int64(tick))
	for i, vm := range f.vms {
		if (i+int(tick))%50 != 0 {
			continue
		}
		f.planner.UpdateWorker(vm, f.now)
		f.planner.Renew(vm.Incarnation, f.now)
		tails := map[plantainrail.RunRef]int{}
		for _, ref := range f.services[vm.Incarnation] {
			tails[ref] = 30 + f.random.IntN(40)
		}
		f.planner.Observe(vm.Incarnation, tails, map[string]int{"f1": 3500, "f2": 7000}, f.now)
	}
	plan := f.planner.Tick(f.now)
	for _, j := range plan.Changed {
		raw, err := j.Progress()
		assert.NilError(tb, err)
		f.stored += len(raw)
	}
	for _, a := range plan.Assignments {
		f.starts++
		f.planner.MarkStored(a, f.now)
		if a.Order.TailObjective > 0 {
			f.services[a.Incarnation] = append(f.services[a.Incarnation], a.Order.Ref)
			continue
		}
		duration := int64(100 + f.random.IntN(100))
		f.ends[int64(tick)+duration] = append(f.ends[int64(tick)+duration], a)
	}
}

// BenchmarkBusyFleet measures one second of the owner's planning and encoding on a busy
// fleet.
func BenchmarkBusyFleet(b *testing.B) {
	for _, vms := range []int{60, 240, 660} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			f := newBusyFleet(b, vms)
			for range 300 {
				f.advance(b)
			}
			f.starts, f.stored = 0, 0
			b.ReportAllocs()
			for b.Loop() {
				for range time.Second / busyTick {
					f.advance(b)
				}
			}
			b.ReportMetric(float64(f.starts)/float64(b.N), "starts/op")
			b.ReportMetric(float64(f.stored)/float64(b.N), "stored-B/op")
		})
	}
}
