package planner_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

// Guards against an explanation that differs from the decision: the same jobs are placed on the same VMs.
func TestExplanationIsWhatIsDecided(t *testing.T) {
	strained, drained := newVM("c", 4000), newVM("d", 4000)
	strained.FillersPaused, drained.Draining = true, true
	vms := []plantainrail.VM{newVM("a", 4000), newVM("b", 2000), strained, drained}
	vms[1].Labels = nil
	for _, c := range []struct {
		name string
		step plantainrail.Step
		// placed is the number of tasks, and against what speaks against each VM.
		placed  int
		against [4]planner.Obstacle
	}{
		{"task", plantainrail.Step{Count: 1, CPU: 1000}, 1, [4]planner.Obstacle{"", "", "", "draining"}},
		{"many tasks", plantainrail.Step{Count: 12, CPU: 1000}, 8, [4]planner.Obstacle{"", "", "", "draining"}},
		{"gang", plantainrail.Step{Count: 3, CPU: 2000, Gang: true}, 3, [4]planner.Obstacle{"", "", "", "draining"}},
		{"gang without room", plantainrail.Step{Count: 12, CPU: 2000, Gang: true}, 0, [4]planner.Obstacle{"", "", "", "draining"}},
		{"large task", plantainrail.Step{Count: 1, CPU: 3000}, 1, [4]planner.Obstacle{"room", "room", "", "draining"}},
		{"label", plantainrail.Step{Count: 1, CPU: 1000, VMLabel: "a"}, 1, [4]planner.Obstacle{"", "label", "", "draining"}},
		{"filler", fillerStep(1, 1000, "f"), 1, [4]planner.Obstacle{"", "", "strained", "draining"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, vms...)
			h.submit("earlier", plantainrail.Step{Count: 1, CPU: 1500, DataRack: "r1-1"})
			assert.Equal(t, h.tick().Assignments[0].Incarnation.Node, "a")
			e := h.planner.Explain(plantainrail.Workflow{ID: "job", Queue: queue, Steps: []plantainrail.Step{c.step}}, h.now)
			explained := e.Steps[0]
			assert.Equal(t, explained.Placed, c.placed)
			want := map[string]int{}
			for i, v := range explained.VMs {
				against := v.Fact
				if len(v.Judgements) > 0 {
					against = v.Judgements[0]
				}
				assert.Equal(t, against, c.against[i], v.Node)
				if v.Placed > 0 {
					want[v.Node] = v.Placed
				}
			}
			h.submit("job", c.step)
			placed := map[string]int{}
			for _, a := range h.tick().Assignments {
				placed[a.Incarnation.Node]++
			}
			assert.DeepEqual(t, placed, want)
		})
	}
}

// Guards against an explanation that does not tell what comes before the job, or which steps wait for others.
func TestExplanationTellsTheOrder(t *testing.T) {
	h := newHarness(t, newVM("a", 1000))
	h.submit("full", plantainrail.Step{Count: 5, CPU: 1000})
	h.tick()
	steps := []plantainrail.Step{{Count: 1, CPU: 1000}, {Count: 1, CPU: 1000, DependsOn: []int{0}}}
	urgent := plantainrail.Queue{Name: "urgent", Pool: "desk", Priority: -1}
	for _, c := range []struct {
		queue        plantainrail.Queue
		jobs, tasks  int
		firstRun     time.Duration
		wantStartsIn int64
	}{{queue, 1, 4, 0, 0}, {urgent, 0, 0, 0, 0}, {queue, 1, 4, time.Minute, 60_000}} {
		w := plantainrail.Workflow{ID: "job", Queue: c.queue, Steps: steps}
		if c.firstRun > 0 {
			w.Repetitions, w.FirstRunMS = 2, h.now.Add(c.firstRun).UnixMilli()
		}
		e := h.planner.Explain(w, h.now)
		assert.Equal(t, e.JobsAhead, c.jobs)
		assert.Equal(t, e.TasksAhead, c.tasks)
		assert.Equal(t, e.StartsInMS, c.wantStartsIn)
		assert.Equal(t, len(e.Steps), 1)
		assert.Equal(t, e.OtherSteps, 1)
	}
}

// Guards against an explanation that changes what is decided later.
func TestExplanationChangesNothing(t *testing.T) {
	for _, row := range starvationRows() {
		if row.name != "services" && row.name != "rule" && row.name != "fillers" {
			continue
		}
		t.Run(row.name, func(t *testing.T) {
			for seed := range uint64(5) {
				plain, explained := newStarvationModel(t, &row, seed), newStarvationModel(t, &row, seed)
				for step := range 300 {
					for _, s := range row.steps {
						s.Count, s.CPU = 3, 700
						explained.planner.Explain(plantainrail.Workflow{ID: "job", Queue: row.queues[0], Steps: []plantainrail.Step{s}}, explained.now)
					}
					for _, m := range []*starvationModel{plain, explained} {
						m.disturb(0.1, 0.3, 0.02, false)
						m.advance()
					}
					for i, w := range plain.workers {
						want, _ := plain.planner.DesiredRuns(w.vm.Incarnation)
						orders, _ := explained.planner.DesiredRuns(explained.workers[i].vm.Incarnation)
						assert.DeepEqual(t, orders, want)
					}
					assert.NilError(t, explained.planner.CheckReservations(), fmt.Sprint("step ", step))
				}
			}
		})
	}
}
