package planner_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

const (
	// idleTail is the tail latency of an idle service and tailObjective its
	// latency objective, both in milliseconds. The objective is reached at a load
	// of 1-idleTail/tailObjective, which is 0.8.
	idleTail      = 25
	tailObjective = 125
	// reportInterval is the time between two reports of measurements.
	reportInterval = 500 * time.Millisecond
)

// servingStep returns a step of service tasks, each with the given processors in
// thousandths of a core.
func servingStep(count, cpu int, image string) plantainrail.Step {
	return plantainrail.Step{Count: count, CPU: cpu, Lasting: true, TailObjective: tailObjective, Image: image}
}

// fillerStep returns a step of fillers, each with the given processors in
// thousandths of a core and an estimate of two seconds.
func fillerStep(count, cpu int, image string) plantainrail.Step {
	return plantainrail.Step{Count: count, CPU: cpu, Filler: true, Image: image, Estimate: 2000}
}

// modelVM is a VM of the model pool.
type modelVM struct {
	incarnation plantainrail.WorkerIncarnation
	services    []modelRun
	fillers     []modelRun
	lastEnd     int64
}

// modelRun is a run on a VM of the model pool.
type modelRun struct {
	ref   plantainrail.RunRef
	image string
	cores float64
	// remaining is the work that a filler still has to do.
	remaining time.Duration
	// slowed is by how many percent a filler works slower.
	slowed int
	// phase shifts the periodic load of a service, as a share of the period.
	phase float64
}

// poolModel simulates a pool of VMs: services whose load varies, fillers that
// interfere with them depending on the pair of images, and workers that report
// both.
type poolModel struct {
	*harness
	vms map[plantainrail.WorkerIncarnation]*modelVM
	// ordered holds the same VMs in the order in which they were added.
	ordered []*modelVM
	// interferencePerCore is the load that one core of a filler adds to a
	// service, by the service's image and the filler's image.
	interferencePerCore map[[2]string]float64
	random              *rand.Rand
	reportsMeasurements bool
	// paced means that the fillers work at the paces that the planner decides.
	paced bool
	// timeOverObjective is the sum over all services of the time for which fillers
	// pushed them over their latency objectives. fillersDone is the number of
	// fillers that have ended.
	timeOverObjective time.Duration
	fillersDone       int
	// assignments lists all assignments in their order.
	assignments []string
}

func newPoolModel(t *testing.T, vms int, seed uint64, reportsMeasurements bool) *poolModel {
	m := &poolModel{
		harness: newHarness(t), vms: map[plantainrail.WorkerIncarnation]*modelVM{}, interferencePerCore: map[[2]string]float64{},
		random: rand.New(rand.NewPCG(seed, 1)), reportsMeasurements: reportsMeasurements,
	}
	for i := range vms {
		vm := newVM(fmt.Sprintf("vm-%02d", i), 64_000)
		vm.Capacity.Memory = 1 << 20
		m.report(vm)
		m.ordered = append(m.ordered, &modelVM{incarnation: vm.Incarnation})
		m.vms[vm.Incarnation] = m.ordered[i]
	}
	return m
}

// advance simulates the duration in steps of 100 ms.
func (m *poolModel) advance(duration time.Duration) {
	const step = 100 * time.Millisecond
	for until := m.now.Add(duration); m.now.Before(until); m.now = m.now.Add(step) {
		m.startRuns(m.tick())
		for _, vm := range m.ordered {
			m.planner.Renew(vm.incarnation, m.now)
			m.advanceVM(vm, step)
			if m.reportsMeasurements && m.now.Sub(start)%reportInterval == 0 {
				m.reportMeasurements(vm)
			}
		}
	}
}

// startRuns starts the runs of a plan. Each service gets a phase that depends on
// the name of its job, and each filler a random amount of work.
func (m *poolModel) startRuns(plan planner.Plan) {
	assert.Assert(m.t, m.paced || len(plan.Stops) == 0, "placement must not stop runs")
	for _, s := range plan.Stops {
		vm := m.vms[s.Incarnation]
		vm.fillers = slices.DeleteFunc(vm.fillers, func(run modelRun) bool { return run.ref == s.Ref })
		m.end(vm, s.Ref, plantainrail.RunStopped)
	}
	for _, a := range plan.Assignments {
		m.assignments = append(m.assignments, fmt.Sprint(a.Order.Ref.Task, " on ", a.Incarnation.Node))
		// The agent lists the run.
		m.planner.RecordCheckpoints(a.Incarnation, []plantainrail.RunStatus{{Ref: a.Order.Ref}}, m.now)
		step := m.planner.Book.Job(a.Order.Ref.Task.Job).Steps[a.Order.Ref.Task.Step]
		vm := m.vms[a.Incarnation]
		run := modelRun{ref: a.Order.Ref, image: step.Image, cores: float64(step.CPU) / 1000}
		if step.Lasting {
			// The fifth character of a job's name is its number, as in svc-3.
			run.phase = float64(len(a.Order.Ref.Task.Job)+int(a.Order.Ref.Task.Job[4])) / 7
			vm.services = append(vm.services, run)
			continue
		}
		run.remaining = time.Duration(1500+m.random.IntN(2000)) * time.Millisecond
		vm.fillers = append(vm.fillers, run)
	}
}

// advanceVM lets the VM's fillers work for the time of a step, ends those that are
// done, and adds up the time for which they push services over their latency
// objectives.
func (m *poolModel) advanceVM(vm *modelVM, step time.Duration) {
	for _, s := range vm.services {
		ownLoad := m.ownLoad(s)
		// The latency objective is reached at a load of 0.8 (see tailObjective).
		if ownLoad < 0.8 && ownLoad+m.interference(vm, s) >= 0.8 {
			m.timeOverObjective += step
		}
	}
	unfinished := vm.fillers[:0]
	for _, run := range vm.fillers {
		if run.remaining -= step * time.Duration(100-run.slowed) / 100; run.remaining > 0 {
			unfinished = append(unfinished, run)
			continue
		}
		m.fillersDone++
		m.end(vm, run.ref, plantainrail.RunDone)
	}
	vm.fillers = unfinished
}

// end reports the end of a run.
func (m *poolModel) end(vm *modelVM, ref plantainrail.RunRef, outcome plantainrail.RunOutcome) {
	vm.lastEnd++
	m.planner.ApplyEnds(vm.incarnation, []plantainrail.RunEnd{{Number: vm.lastEnd, Ref: ref, Outcome: outcome}}, m.now)
}

// ownLoad returns the load of a service without fillers. It varies between 0.25
// and 0.65 with a period of 20 seconds.
func (m *poolModel) ownLoad(s modelRun) float64 {
	return 0.45 + 0.2*math.Sin(2*math.Pi*(m.now.Sub(start).Seconds()/20+s.phase))
}

// interference returns the load that the VM's fillers add to a service.
func (m *poolModel) interference(vm *modelVM, s modelRun) float64 {
	sum := 0.0
	for _, run := range vm.fillers {
		sum += run.cores * float64(100-run.slowed) / 100 * m.interferencePerCore[[2]string{s.image, run.image}]
	}
	return sum
}

// reportMeasurements reports the tail latencies of a VM's services, with a random
// error of up to 5 percent, and the processors that its fillers use.
func (m *poolModel) reportMeasurements(vm *modelVM) {
	tails, used := map[plantainrail.RunRef]int{}, map[string]int{}
	for _, s := range vm.services {
		noise := 1 + 0.05*(2*m.random.Float64()-1)
		tails[s.ref] = int(idleTail / (1 - min(m.ownLoad(s)+m.interference(vm, s), 0.98)) * noise)
	}
	for _, run := range vm.fillers {
		used[run.image] += int(run.cores * 10 * float64(100-run.slowed))
	}
	m.planner.Observe(vm.incarnation, tails, used, m.now)
	if !m.paced {
		return
	}
	for _, pace := range m.planner.PaceFillers(vm.incarnation, m.now) {
		if i := slices.IndexFunc(vm.fillers, func(run modelRun) bool { return run.ref == pace.Ref }); i >= 0 {
			vm.fillers[i].slowed = 100 - pace.Percent
		}
	}
}

// newColocation returns a pool of 12 VMs with services that fillers interfere with in half of the pairs
// of images.
func newColocation(t *testing.T, seed uint64, reportsMeasurements, paced bool) *poolModel {
	const services, fillers = 4, 6
	m := newPoolModel(t, 12, seed, reportsMeasurements)
	m.paced = paced
	for service := range services {
		for filler := range fillers {
			if m.random.IntN(2) == 0 {
				m.interferencePerCore[[2]string{fmt.Sprint("s", service), fmt.Sprint("f", filler)}] = 0.03
			}
		}
	}
	for j := range 2 * services {
		m.submit(fmt.Sprintf("svc-%d", j), servingStep(5, 13_000, fmt.Sprint("s", j%services)))
	}
	return m
}

// runFillers submits jobs of fillers, one each 300 ms.
func (m *poolModel) runFillers(jobs int) {
	for j := range jobs {
		m.submit(fmt.Sprintf("fill-%03d", j), fillerStep(4, 7_000, fmt.Sprint("f", m.random.IntN(6))))
		m.advance(300 * time.Millisecond)
	}
}

// simulateColocation simulates two minutes of such a pool.
func simulateColocation(t *testing.T, seed uint64, reportsMeasurements, paced bool) *poolModel {
	m := newColocation(t, seed, reportsMeasurements, paced)
	m.runFillers(400)
	return m
}

// Guards against decisions that depend on the order of a map: two planners with the same
// input must decide the same, in the same order.
func TestPlansRepeat(t *testing.T) {
	first := simulateColocation(t, 1, true, true)
	for range 3 {
		again := simulateColocation(t, 1, true, true)
		assert.DeepEqual(t, first.assignments, again.assignments)
	}
}

// Load pattern: neighbours. Guards against fillers that slow services on the same
// VM: compared with a planner that gets no measurements, and so places by free
// resources alone, the learned interference must halve the time over the latency
// objective and complete about as many fillers.
func TestLearnedInterferenceProtectsServices(t *testing.T) {
	for seed := range uint64(4) {
		baseline, learned := simulateColocation(t, seed, false, false), simulateColocation(t, seed, true, false)
		assert.Assert(t, learned.timeOverObjective*2 < baseline.timeOverObjective, "seed %d: services over their latency objectives for %s, %s without measurements", seed, learned.timeOverObjective, baseline.timeOverObjective)
		assert.Assert(t, float64(learned.fillersDone) >= 0.97*float64(baseline.fillersDone), "seed %d: %d fillers done, %d without measurements", seed, learned.fillersDone, baseline.fillersDone)
	}
}

// A filler must wait for a VM with little interference, but no longer than the
// wait limit of its job (see fillerWaitLimit).
func TestFillerWaitIsLimited(t *testing.T) {
	for _, c := range []struct {
		name string
		gang bool
	}{{"alone", false}, {"gang", true}} {
		t.Run(c.name, func(t *testing.T) {
			m := newPoolModel(t, 1, 1, true)
			m.interferencePerCore[[2]string{"s", "f"}] = 0.08
			m.submit("svc-0", servingStep(4, 13_000, "s"))
			for j := range 10 {
				m.submit(fmt.Sprintf("early-%d", j), fillerStep(1, 4_000, "f"))
				m.advance(6 * time.Second)
			}
			done := m.fillersDone
			step := fillerStep(2, 7_000, "f")
			step.Gang = c.gang
			ids := []string{"fill-1", "fill-2", "fill-3"}
			for _, id := range ids {
				m.submit(id, step)
			}
			m.advance(100 * time.Millisecond)
			for _, id := range ids {
				assert.Assert(t, !m.planner.Book.Job(id).Started, "%s must wait: the only VM tolerates no more interference", id)
			}
			m.advance(3 * time.Second)
			for _, id := range ids {
				assert.Assert(t, m.planner.Book.Job(id).Started, "%s must start after the wait limit", id)
			}
			m.advance(10 * time.Second)
			assert.Assert(t, m.fillersDone >= done+2)
		})
	}
}

// Services of one job or, failing that, of one image must share VMs, since this
// leaves more VMs for each filler.
func TestSimilarServicesShareVMs(t *testing.T) {
	m := newPoolModel(t, 4, 1, false)
	for j := range 4 {
		m.submit(fmt.Sprintf("svc-%d", j), servingStep(3, 15_000, fmt.Sprint("s", j%2)))
		m.advance(100 * time.Millisecond)
	}
	for _, vm := range m.vms {
		images := map[string]bool{}
		for _, s := range vm.services {
			images[s.image] = true
		}
		assert.Assert(t, len(images) <= 1, "%s runs services of %d images", vm.incarnation.Node, len(images))
	}
}

// Load pattern: burst. Guards against a burst of fillers that fills a VM: together
// they may request only a share of its processors, since they would otherwise
// take the memory that other tasks need.
func TestFillerBurstIsLimited(t *testing.T) {
	m := newPoolModel(t, 2, 1, false)
	for j := range 20 {
		m.submit(fmt.Sprintf("fill-%02d", j), fillerStep(4, 7_000, "f"))
	}
	m.advance(100 * time.Millisecond)
	for _, vm := range m.vms {
		sum := 0.0
		for _, run := range vm.fillers {
			sum += run.cores
		}
		assert.Assert(t, sum > 40 && sum <= 0.8*64, "%s: fillers request %.0f cores of 64", vm.incarnation.Node, sum)
	}
}

// Load pattern: neighbours. Guards against a filler that takes a VM only because it has more
// free processors, although it brings a service there close to its latency objective: the
// load of the service may rise while the filler runs.
func TestFillerAvoidsServiceWithLittleHeadroom(t *testing.T) {
	const ownLoad, fillerLoad = 0.5, 0.14
	vms := []plantainrail.VM{newVM("vm-0", 64_000), newVM("vm-1", 64_000)}
	h := newHarness(t, vms...)
	nodes := map[string]plantainrail.RunRef{}
	for _, step := range []plantainrail.Step{servingStep(1, 20_000, "near"), servingStep(1, 50_000, "tolerant")} {
		h.submit("svc-"+step.Image, step)
		a := h.tick().Assignments[0]
		nodes[a.Incarnation.Node] = a.Order.Ref
	}
	for i := range 60 {
		h.now = h.now.Add(reportInterval)
		for _, vm := range vms {
			h.report(vm)
			ref, load, used := nodes[vm.Incarnation.Node], ownLoad, map[string]int{}
			switch {
			case i == 0:
				// The services are idle once, which tells their lowest tail latency.
				load = 0
			case i%2 == 0:
				used["f"] = 7_000
				if ref.Task.Job == "svc-near" {
					load += fillerLoad
				}
			}
			h.planner.Observe(vm.Incarnation, map[plantainrail.RunRef]int{ref: int(idleTail / (1 - load))}, used, h.now)
		}
	}
	h.submit("fill", fillerStep(1, 7_000, "f"))
	a := h.tick().Assignments[0]
	assert.Equal(t, nodes[a.Incarnation.Node].Task.Job, "svc-tolerant", "the filler must run beside the service that tolerates it")
}

// Load pattern: neighbours, after a takeover. Guards against a new owner that places fillers beside services
// that do not tolerate them until it has measured each pair of images itself.
func TestNextOwnerKnowsInterference(t *testing.T) {
	first := func(learned []byte, seed uint64) time.Duration {
		m := newColocation(t, seed, true, false)
		if learned != nil {
			assert.NilError(t, m.planner.Learn(learned, m.now))
		}
		m.runFillers(40)
		return m.timeOverObjective
	}
	var without, with time.Duration
	for seed := range uint64(4) {
		learned, err := simulateColocation(t, seed, true, false).planner.Learned()
		assert.NilError(t, err)
		without, with = without+first(nil, seed), with+first(learned, seed)
	}
	assert.Assert(t, with*4 < without*3, "services over their latency objectives for %s, %s without what was learned", with, without)
	assert.Assert(t, newPoolModel(t, 1, 1, true).planner.Learn([]byte("no knowledge"), start) != nil)
}
