package planner_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
)

// Load pattern: own loads of services that rise while fillers run beside them. Guards against fillers that
// go on at full speed until they end: slowing and moving them must save a quarter of the time over the
// latency objectives, and complete as many fillers.
func TestSlowedFillersProtectServices(t *testing.T) {
	var placed, paced time.Duration
	for seed := range uint64(4) {
		without, with := simulateColocation(t, seed, true, false), simulateColocation(t, seed, true, true)
		placed, paced = placed+without.timeOverObjective, paced+with.timeOverObjective
		assert.Assert(t, with.fillersDone >= without.fillersDone*99/100, "seed %d: %d fillers done, %d at full speed", seed, with.fillersDone, without.fillersDone)
	}
	assert.Assert(t, paced*4 < placed*3, "services over their latency objectives for %s, %s beside fillers at full speed", paced, placed)
}

// newPressedVM returns a pool of one VM with four services, which the planner knows not to tolerate fillers
// of the image "f".
func newPressedVM(t *testing.T) *poolModel {
	m := newPoolModel(t, 1, 1, true)
	m.interferencePerCore[[2]string{"s", "f"}] = 0.08
	m.submit("svc-0", servingStep(4, 13_000, "s"))
	for j := range 10 {
		m.submit(fmt.Sprintf("early-%d", j), fillerStep(1, 4_000, "f"))
		m.advance(6 * time.Second)
	}
	m.paced = true
	return m
}

// Load pattern: services at their latency objectives beside batch work. Guards against fillers that miss the
// objective of their job because they were slowed, and against those that harm services though their job
// has time, or has no objective, or is late anyway.
func TestOnlyFillersWithTimeAreSlowed(t *testing.T) {
	for _, c := range []struct {
		name    string
		stretch float64
		slackMS int
		slowed  bool
	}{
		{"time left", 4, 10_000, true},
		{"objective about to pass", 1, 2600, false},
		{"late", 0.001, 1, true},
		{"no objective", 0, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newPressedVM(t)
			w := plantainrail.Workflow{ID: "fill", Queue: queue, Steps: []plantainrail.Step{fillerStep(2, 14_000, "f")}}
			w.Queue.StretchFactor, w.Queue.SlackMS = c.stretch, c.slackMS
			w.Steps[0].Estimate = 6000
			if c.name == "objective about to pass" {
				w.Steps[0].Estimate = 1
			}
			m.submitWorkflow(w)
			slowed := false
			for range 40 {
				m.advance(100 * time.Millisecond)
				for _, f := range m.ordered[0].fillers {
					slowed = slowed || f.slowed > 0
				}
			}
			assert.Equal(t, slowed, c.slowed)
		})
	}
}

// Load pattern: neighbours, and a VM that gets free. Guards against a filler that stays slowed on its VM while
// another one tolerates it, and against moves without such a VM.
func TestSlowedFillerMovesToAVMThatToleratesIt(t *testing.T) {
	m := newPressedVM(t)
	step := fillerStep(2, 14_000, "f")
	step.Checkpoints, step.Estimate = true, 20_000
	m.submit("fill", step)
	m.advance(3 * time.Second)
	before := m.vms[m.ordered[0].incarnation]
	assert.Assert(t, len(before.fillers) > 0, "a filler must have started once it has waited")
	for i := range before.fillers {
		before.fillers[i].remaining = time.Minute
	}
	m.advance(3 * time.Second)
	assert.Assert(t, len(before.fillers) > 0, "there is no VM to move to")
	free := newVM("vm-free", 64_000)
	free.Capacity.Memory = 1 << 20
	m.report(free)
	m.ordered = append(m.ordered, &modelVM{incarnation: free.Incarnation})
	m.vms[free.Incarnation] = m.ordered[1]
	m.advance(15 * time.Second)
	assert.Equal(t, len(before.fillers), 0, "the fillers must have left the VM that does not tolerate them")
}
