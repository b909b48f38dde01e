package planner_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

// starvationModel is a fleet in which some jobs fail wherever they run and some workers fail all
// runs, refuse starts, crash, drain, lose their session or change their capacity for a while. It
// checks that no sound task waits (LOST) while most of the capacity is free.
type starvationModel struct {
	*harness
	random  *rand.Rand
	workers []*faultyWorker
	jobs    map[string]*modelJob
	ids     []string
	runs    map[plantainrail.RunRef]*modelledRun
	config  plantainrail.OperatorConfig
	// obstacles are the newest ones of each job, for the failure message.
	obstacles map[string]map[planner.Obstacle]int
	// violation describes the first task that has starved.
	violation string
}

type faultyWorker struct {
	vm        plantainrail.VM
	fault     string
	until     time.Time
	endNumber int64
	// soundSince is when the newest fault ended.
	soundSince time.Time
}

type modelledRun struct {
	assignment planner.Assignment
	endsAt     time.Time
	failed     bool
}

type modelJob struct {
	steps     []plantainrail.Step
	duration  time.Duration
	poison    bool
	cancelled bool
	// done holds the tasks that are done. starving is since when a task has waited beside free
	// capacity.
	done     map[plantainrail.TaskID]bool
	starving map[plantainrail.TaskID]time.Time
}

const (
	starvationStep = 50 * time.Millisecond
	// calmTime is how long a worker must have been sound for its capacity to count.
	calmTime      = 4 * time.Second
	maxStarvation = 3 * time.Second
)

func newStarvationModel(t *testing.T, seed uint64) *starvationModel {
	m := &starvationModel{
		harness: newHarness(t), random: rand.New(rand.NewPCG(seed, 0)), jobs: map[string]*modelJob{},
		runs: map[plantainrail.RunRef]*modelledRun{}, obstacles: map[string]map[planner.Obstacle]int{},
	}
	m.config = plantainrail.OperatorConfig{Version: 1, Queues: []plantainrail.QueueRule{{Queue: queue}}, Out: map[string]bool{}}
	for i := range 2 + m.random.IntN(7) {
		w := &faultyWorker{vm: newVM(fmt.Sprintf("vm-%02d", i), 4_000*(1+m.random.IntN(4))), soundSince: start.Add(-calmTime)}
		w.vm.Zone = fmt.Sprint("z", i%3)
		if i%2 == 1 {
			w.vm.Labels = nil
		}
		m.workers = append(m.workers, w)
		m.report(w.vm)
	}
	return m
}

func (m *starvationModel) submitJob(poison bool) {
	id := fmt.Sprintf("job-%03d", len(m.ids))
	step := plantainrail.Step{Count: 1 + m.random.IntN(4), CPU: 200 + m.random.IntN(1500), Memory: m.random.IntN(800)}
	switch m.random.IntN(6) {
	case 0:
		step.Gang = true
	case 1:
		step.Lasting = true
	case 2:
		step.Filler, step.Image, step.Estimate = true, "f", 1000
	case 3:
		step.MaxPerVM = 1 + m.random.IntN(2)
	case 4:
		step.VMLabel = "a"
	}
	j := &modelJob{
		steps: []plantainrail.Step{step}, duration: time.Duration(200+m.random.IntN(5000)) * time.Millisecond, poison: poison,
		done: map[plantainrail.TaskID]bool{}, starving: map[plantainrail.TaskID]time.Time{},
	}
	if !step.Lasting && m.random.IntN(3) == 0 {
		j.steps = append(j.steps, plantainrail.Step{Count: 1 + m.random.IntN(3), CPU: 500, DependsOn: []int{0}})
	}
	m.ids, m.jobs[id] = append(m.ids, id), j
	m.submit(id, j.steps...)
}

// breakWorker lets a fault befall a worker.
func (m *starvationModel) breakWorker(w *faultyWorker) {
	w.fault = []string{"fails", "refuses", "no room", "crashed", "draining", "disconnected", "small"}[m.random.IntN(7)]
	w.until = m.now.Add(time.Duration(1+m.random.IntN(8)) * time.Second)
	switch w.fault {
	case "crashed":
		// The owner learns that the runs are lost once the worker is back.
		for _, r := range m.runsOf(w) {
			r.endsAt = m.now.Add(time.Hour)
		}
		w.vm.Draining = true
	case "draining":
		w.vm.Draining = true
	case "disconnected":
		m.planner.Disconnect(w.vm.Incarnation)
	case "small":
		w.vm.Capacity.Processors /= 4
	}
}

func (m *starvationModel) mendWorker(w *faultyWorker) {
	switch w.fault {
	case "crashed":
		w.vm.Incarnation.StartedMS++
		w.endNumber = 0
	case "small":
		w.vm.Capacity.Processors *= 4
	}
	w.fault, w.vm.Draining, w.soundSince = "", false, m.now
}

// runsOf returns the runs of a worker in a fixed order.
func (m *starvationModel) runsOf(w *faultyWorker) []*modelledRun {
	var out []*modelledRun
	for _, r := range m.runs {
		if r.assignment.Incarnation == w.vm.Incarnation {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *modelledRun) int {
		return strings.Compare(a.assignment.Order.Ref.Task.String(), b.assignment.Order.Ref.Task.String())
	})
	return out
}

func (m *starvationModel) endRun(w *faultyWorker, r *modelledRun, outcome plantainrail.RunOutcome) {
	w.endNumber++
	ref := r.assignment.Order.Ref
	delete(m.runs, ref)
	j := m.jobs[ref.Task.Job]
	if outcome == plantainrail.RunDone {
		j.done[ref.Task] = true
		if j.steps[ref.Task.Step].Gang {
			for i := range j.steps[ref.Task.Step].Count {
				id := ref.Task
				id.Index = i
				j.done[id] = true
			}
		}
	}
	m.reportEnd(r.assignment, w.endNumber, outcome)
	if j.steps[ref.Task.Step].Gang {
		// The other members end with this one.
		for _, other := range m.workers {
			for _, o := range m.runsOf(other) {
				if id := o.assignment.Order.Ref.Task; id.Job == ref.Task.Job && id.Step == ref.Task.Step && other.fault != "disconnected" {
					delete(m.runs, o.assignment.Order.Ref)
					other.endNumber++
					m.reportEnd(o.assignment, other.endNumber, plantainrail.RunGangBroken)
				}
			}
		}
	}
}

func (m *starvationModel) advance() {
	m.now = m.now.Add(starvationStep)
	for _, w := range m.workers {
		if w.fault != "" && !m.now.Before(w.until) {
			m.mendWorker(w)
		}
		if w.fault != "disconnected" {
			m.report(w.vm)
			for _, r := range m.runsOf(w) {
				m.begin(r.assignment)
				if m.runs[r.assignment.Order.Ref] == nil || r.endsAt.After(m.now) {
					continue
				}
				outcome := plantainrail.RunDone
				if r.failed {
					outcome = plantainrail.RunFailed
				}
				m.endRun(w, r, outcome)
			}
		}
	}
	plan := m.tick()
	for _, lost := range plan.Lost {
		delete(m.runs, lost.Ref)
	}
	for _, s := range plan.Stops {
		for _, w := range m.workers {
			if r := m.runs[s.Ref]; r != nil && w.vm.Incarnation == s.Incarnation {
				m.endRun(w, r, plantainrail.RunStopped)
			}
		}
	}
	for _, u := range plan.Unplaced {
		m.obstacles[u.Job] = u.Obstacles
	}
	for _, a := range plan.Assignments {
		for _, w := range m.workers {
			if w.vm.Incarnation == a.Incarnation {
				m.start(w, a)
			}
		}
	}
	assert.NilError(m.t, m.planner.CheckReservations())
	m.checkStarvation()
}

func (m *starvationModel) start(w *faultyWorker, a planner.Assignment) {
	j := m.jobs[a.Order.Ref.Task.Job]
	reasons := map[string]plantainrail.RefusalReason{"refuses": plantainrail.RefusedNoResponse, "no room": plantainrail.RefusedCapacity}
	if reason, refused := reasons[w.fault]; refused {
		m.planner.ApplyRefusal(a.Incarnation, a.Order.Ref, reason, m.now)
		return
	}
	r := &modelledRun{assignment: a, endsAt: m.now.Add(j.duration), failed: j.poison || w.fault == "fails"}
	if j.steps[a.Order.Ref.Task.Step].Lasting {
		r.endsAt = m.now.Add(time.Hour)
	}
	if r.failed {
		r.endsAt = m.now.Add(100 * time.Millisecond)
	}
	m.runs[a.Order.Ref] = r
}

// checkStarvation notes a violation if a task has waited for maxStarvation although there was room for
// two such tasks all the time and less than half of the capacity was in use. A task that is not
// lasting counts only while nothing of its job runs.
func (m *starvationModel) checkStarvation() {
	free, used, total := map[*faultyWorker]plantainrail.Resources{}, 0, 0
	placed := map[plantainrail.TaskID]bool{}
	active := map[string]bool{}
	perVM := map[string]int{}
	for _, w := range m.workers {
		free[w] = w.vm.Capacity
		for _, r := range m.runsOf(w) {
			id := r.assignment.Order.Ref.Task
			step := m.jobs[id.Job].steps[id.Step]
			free[w] = free[w].Sub(plantainrail.Resources{Processors: step.CPU, Memory: step.Memory})
			used += step.CPU
			placed[id], active[id.Job] = true, true
			perVM[fmt.Sprint(w.vm.Incarnation.Node, id.Job, id.Step)]++
		}
		total += w.vm.Capacity.Processors
	}
	for _, id := range m.ids {
		j := m.jobs[id]
		if j.poison || j.cancelled || m.state(id).Final() {
			continue
		}
		for s, step := range j.steps {
			for i := range step.Count {
				task := plantainrail.TaskID{Job: id, Step: s, Index: i}
				ready := !j.done[task] && !placed[task] && (step.Lasting || !active[id])
				for d := range step.DependsOn {
					for k := range j.steps[d].Count {
						ready = ready && j.done[plantainrail.TaskID{Job: id, Step: d, Index: k}]
					}
				}
				room := 0
				for _, w := range m.workers {
					if w.fault != "" || m.now.Sub(w.soundSince) < calmTime || m.config.Out[w.vm.Zone] ||
						step.VMLabel != "" && !slices.Contains(w.vm.Labels, step.VMLabel) {
						continue
					}
					fits := max(free[w].Processors/step.CPU, 0)
					if step.Memory > 0 {
						fits = min(fits, max(free[w].Memory/step.Memory, 0))
					}
					if step.MaxPerVM > 0 {
						fits = min(fits, step.MaxPerVM-perVM[fmt.Sprint(w.vm.Incarnation.Node, id, s)])
					}
					room += fits
				}
				need := 2
				if step.Gang {
					need *= step.Count
				}
				switch since := j.starving[task]; {
				case !ready || room < need || used*2 >= total:
					delete(j.starving, task)
				case since.IsZero():
					j.starving[task] = m.now
				case m.now.Sub(since) > maxStarvation && m.violation == "":
					m.violation = fmt.Sprintf("at %v task %v of %+v waits since %v, room for %d, %d of %d used, obstacles %v",
						m.now.Sub(start), task, step, since.Sub(start), room, used, total, m.obstacles[id])
				}
			}
		}
	}
}

// disturb submits and cancels jobs, breaks workers and evacuates zones at random.
func (m *starvationModel) disturb(poisonShare, faultShare float64) {
	if m.random.Float64() < 0.06 {
		m.submitJob(m.random.Float64() < poisonShare)
	}
	if len(m.ids) > 0 && m.random.IntN(15) == 0 {
		id := m.ids[m.random.IntN(len(m.ids))]
		if j := m.jobs[id]; !j.cancelled && j.steps[0].Lasting {
			j.cancelled = true
			m.applyJob(planner.NewCancelRecord(id))
		}
	}
	for _, w := range m.workers {
		if w.fault == "" && m.random.Float64() < faultShare {
			m.breakWorker(w)
		}
	}
	if m.random.IntN(200) == 0 {
		m.config.Out = map[string]bool{fmt.Sprint("z", m.random.IntN(4)): true}
		m.planner.Configure(m.config)
	}
}

var starvationSeeds = flag.Int("starvation.seeds", 60, "number of seeds of TestTasksDoNotStarve")

// Guards against tasks that wait (LOST) while most of the capacity is free, because of failures of
// other jobs or of workers that are sound again.
func TestTasksDoNotStarve(t *testing.T) {
	const steps = 600
	for seed := range uint64(*starvationSeeds) {
		m := newStarvationModel(t, seed)
		poisonShare, faultShare := m.random.Float64(), m.random.Float64()*0.04
		for step := range steps {
			if step > steps*2/3 {
				faultShare = 0
			}
			m.disturb(poisonShare, faultShare)
			m.advance()
		}
		if m.violation != "" {
			t.Errorf("seed %d: %s", seed, m.violation)
		}
	}
}
