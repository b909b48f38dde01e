package planner_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

// batch is a queue whose runs may be stopped for those of queue.
var batch = plantainrail.Queue{Name: "night", Pool: "desk", Priority: 2, MaxAttempts: 2}

// preemption is a VM of 10,000 MB whose memory fillers hold.
type preemption struct {
	*harness
	vm      plantainrail.VM
	ends    int64
	running []planner.Assignment
}

func newPreemption(t *testing.T, steps ...plantainrail.Step) *preemption {
	p := &preemption{vm: newVM("a", 4_000)}
	p.harness = newHarness(t, p.vm)
	for i, s := range steps {
		p.submitWorkflow(plantainrail.Workflow{ID: fmt.Sprint("fill-", i), Queue: batch, Steps: []plantainrail.Step{s}})
		p.pass()
		p.now = p.now.Add(time.Second)
	}
	return p
}

// pass reports that all runs go on, runs a tick, and returns its plan.
func (p *preemption) pass() planner.Plan {
	p.report(p.vm)
	for _, a := range p.running {
		p.begin(a)
	}
	plan := p.tick()
	p.running = append(p.running, plan.Assignments...)
	return plan
}

// stopsWithin passes the time in steps of 100 ms and returns the tasks that are stopped. With confirm set, their ends
// are reported at once.
func (p *preemption) stopsWithin(d time.Duration, confirm bool) (stopped []string) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(100 * time.Millisecond) {
		for _, s := range p.pass().Stops {
			stopped = append(stopped, s.Ref.Task.String())
			for i, a := range p.running {
				if confirm && a.Order.Ref == s.Ref {
					p.ends++
					p.running = append(p.running[:i], p.running[i+1:]...)
					p.reportEnd(a, p.ends, plantainrail.RunStopped)
					break
				}
			}
		}
	}
	return stopped
}

func (p *preemption) placed(job string) bool {
	return p.planner.Book.Job(job).PublicState() == planner.Running
}

// Load pattern: fillers hold the memory that urgent tasks need. Guards against urgent tasks that wait for the ends of
// fillers, and against more stops than needed, two stops of a task, and stops of services or unconfirmed runs.
func TestUrgentTaskPreemptsFillers(t *testing.T) {
	filler := plantainrail.Step{Count: 1, CPU: 500, Memory: 3000, Filler: true}
	small := plantainrail.Step{Count: 1, CPU: 500, Memory: 1500, Filler: true}
	service := plantainrail.Step{Count: 1, CPU: 500, Memory: 3000, Lasting: true}
	for _, c := range []struct {
		name   string
		held   []plantainrail.Step
		needed int
		want   []string
	}{
		{"the newest of equal ones", []plantainrail.Step{filler, filler, filler}, 3500, []string{"fill-2.0.0.0"}},
		{"one instead of two that lose less", []plantainrail.Step{filler, small, small, filler}, 3500, []string{"fill-3.0.0.0"}},
		{"two, one after the other", []plantainrail.Step{filler, filler, filler}, 6500, []string{"fill-2.0.0.0", "fill-1.0.0.0"}},
		{"no service", []plantainrail.Step{service, service, service}, 3500, nil},
		{"none if that is not enough", []plantainrail.Step{service, filler, service}, 6500, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPreemption(t, c.held...)
			p.submit("urgent", plantainrail.Step{Count: 1, CPU: 500, Memory: c.needed, Estimate: 500})
			assert.DeepEqual(t, p.stopsWithin(3*time.Second, true), c.want)
			assert.Equal(t, p.placed("urgent"), c.want != nil)
		})
	}
}

// Load pattern: as above. Guards against a second stop for one task while the first is not confirmed, and against a new owner
// that stops another run instead of repeating a stop that may not have been delivered.
func TestOnePreemptionAtATime(t *testing.T) {
	filler := plantainrail.Step{Count: 1, CPU: 500, Memory: 3000, Filler: true, Checkpoints: true}
	p := newPreemption(t, filler, filler, filler)
	// The first one loses least, since it has just saved a checkpoint.
	p.planner.RecordCheckpoints(p.vm.Incarnation, []plantainrail.RunStatus{{Ref: p.running[0].Order.Ref, Checkpoint: "c"}}, p.now)
	p.submit("urgent", plantainrail.Step{Count: 1, CPU: 500, Memory: 6500, Estimate: 500})
	assert.DeepEqual(t, p.stopsWithin(2*time.Second, false), []string{"fill-0.0.0.0"})
	// The stop was not delivered before the takeover.
	next := &preemption{harness: p.takeOver(), vm: p.vm, running: p.running}
	next.now = p.now.Add(time.Second)
	assert.DeepEqual(t, next.stopsWithin(3*time.Second, true), []string{"fill-0.0.0.0", "fill-1.0.0.0"})
}

// Load pattern: urgent tasks come again and again. Guards against a filler that never ends, since it is stopped each
// time, and against work of equal priority that is stopped.
func TestPreemptedTaskIsNotStoppedAgain(t *testing.T) {
	p := newPreemption(t, plantainrail.Step{Count: 1, CPU: 500, Memory: 8000, Filler: true})
	p.submit("urgent-1", plantainrail.Step{Count: 1, CPU: 500, Memory: 8000, Estimate: 500})
	assert.DeepEqual(t, p.stopsWithin(3*time.Second, true), []string{"fill-0.0.0.0"})
	p.submit("urgent-2", plantainrail.Step{Count: 1, CPU: 500, Memory: 8000, Estimate: 500})
	assert.DeepEqual(t, p.stopsWithin(time.Second, true), []string(nil))
	p.planner.ApplyEnds(p.vm.Incarnation, []plantainrail.RunEnd{{Number: 50, Ref: p.running[0].Order.Ref, Outcome: plantainrail.RunDone}}, p.now)
	p.running = nil
	p.stopsWithin(time.Second, true)
	p.planner.ApplyEnds(p.vm.Incarnation, []plantainrail.RunEnd{{Number: 51, Ref: p.running[0].Order.Ref, Outcome: plantainrail.RunDone}}, p.now)
	p.running = nil
	p.stopsWithin(time.Second, true)
	assert.Equal(t, p.running[0].Order.Ref.Task.Job, "fill-0")
	p.submit("urgent-3", plantainrail.Step{Count: 1, CPU: 500, Memory: 8000, Estimate: 500})
	assert.DeepEqual(t, p.stopsWithin(3*time.Second, true), []string(nil))
}
