package planner_test

import (
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

// crashModel is a fleet of workers in which the tasks of some jobs crash every worker that
// starts them.
type crashModel struct {
	*harness
	random  *rand.Rand
	workers []*crashWorker
	// deadly holds the jobs whose tasks with index 0 crash workers, and starts counts the
	// starts of these tasks.
	deadly map[string]bool
	starts map[string]int
	// submitted is the number of jobs.
	submitted int
	// crashDelay is the time from the start of a deadly task to the crash.
	crashDelay time.Duration
}

type crashWorker struct {
	vm plantainrail.VM
	// orders are the runs to be started, and startedLast those that were started in the
	// newest step.
	orders      []planner.Assignment
	startedLast []plantainrail.RunRef
	runs        []planner.Assignment
	// begun and ends are the times at which the runs begin and end, and endNumber that of the newest end.
	begun     []time.Time
	ends      []time.Time
	endNumber int64
	// crashAt and returnAt are when the worker will crash and be back; zero if not.
	crashAt, returnAt time.Time
}

const (
	crashDelay    = 10 * time.Millisecond
	crashDowntime = 3200 * time.Millisecond
	modelStep     = 25 * time.Millisecond
)

func newCrashModel(t *testing.T, workers int, seed uint64) *crashModel {
	m := &crashModel{harness: newHarness(t), random: rand.New(rand.NewPCG(seed, 0)), deadly: map[string]bool{}, starts: map[string]int{}, crashDelay: crashDelay}
	for i := range workers {
		w := &crashWorker{vm: newVM(fmt.Sprintf("vm-%02d", i), 32_000)}
		m.workers = append(m.workers, w)
		m.report(w.vm)
	}
	return m
}

// submitJob submits a job of up to ten tasks.
func (m *crashModel) submitJob(deadly bool) {
	m.submitted++
	id := fmt.Sprintf("job-%03d", m.submitted)
	m.deadly[id] = deadly
	m.submit(id, plantainrail.Step{Count: 1 + m.random.IntN(10), CPU: 500 + m.random.IntN(1000)})
}

// advance lets a step of time pass on all workers and runs a tick.
func (m *crashModel) advance() {
	m.now = m.now.Add(modelStep)
	for _, w := range m.workers {
		m.advanceWorker(w)
	}
	for _, a := range m.tick().Assignments {
		for _, w := range m.workers {
			if w.vm.Incarnation == a.Incarnation && w.returnAt.IsZero() {
				w.orders = append(w.orders, a)
			}
		}
	}
	for _, w := range m.workers {
		m.startRuns(w)
	}
}

// startRuns starts the ordered runs as the agent does: those that are to be started alone one
// after the other, at most one in a step.
func (m *crashModel) startRuns(w *crashWorker) {
	w.startedLast = nil
	for len(w.orders) > 0 {
		a := w.orders[0]
		if a.Order.Alone && len(w.startedLast) > 0 {
			return
		}
		m.startRun(w, a)
		w.orders, w.startedLast = w.orders[1:], append(w.startedLast, a.Order.Ref)
		if a.Order.Alone {
			return
		}
	}
}

func (m *crashModel) startRun(w *crashWorker, a planner.Assignment) {
	w.runs, w.begun = append(w.runs, a), append(w.begun, m.now)
	w.ends = append(w.ends, m.now.Add(500*time.Millisecond+time.Duration(m.random.IntN(1500))*time.Millisecond))
	if id := a.Order.Ref.Task; m.deadly[id.Job] && id.Index == 0 {
		m.starts[id.Job]++
		w.crashAt, w.ends[len(w.ends)-1] = m.now.Add(m.crashDelay), m.now.Add(time.Hour)
	}
}

// crash ends a worker's runs. It is back after crashDowntime.
func (m *crashModel) crash(w *crashWorker) {
	w.vm.RunningLast = nil
	for i, a := range w.runs {
		if age := m.now.Sub(w.begun[i]); age < plantainrail.LateCrashTime {
			w.vm.RunningLast = append(w.vm.RunningLast, plantainrail.RunAge{Ref: a.Order.Ref, Age: age})
		}
	}
	w.runs, w.begun, w.ends, w.crashAt, w.returnAt = nil, nil, nil, time.Time{}, m.now.Add(crashDowntime)
	w.vm.Draining, w.vm.StartedLast, w.orders = true, w.startedLast, nil
	m.planner.UpdateWorker(w.vm, m.now)
}

func (m *crashModel) advanceWorker(w *crashWorker) {
	switch {
	case !w.crashAt.IsZero() && !m.now.Before(w.crashAt):
		m.crash(w)
		return
	case !w.returnAt.IsZero() && m.now.Before(w.returnAt):
		return
	case !w.returnAt.IsZero():
		w.returnAt, w.endNumber, w.vm.Draining, w.vm.StartedLast, w.vm.RunningLast = time.Time{}, 0, false, nil, nil
		w.vm.Incarnation.StartedMS++
	}
	m.report(w.vm)
	for i := 0; i < len(w.runs); {
		if m.now.Before(w.ends[i]) {
			i++
			continue
		}
		w.endNumber++
		m.reportEnd(w.runs[i], w.endNumber, plantainrail.RunDone)
		w.runs, w.begun, w.ends = slices.Delete(w.runs, i, i+1), slices.Delete(w.begun, i, i+1), slices.Delete(w.ends, i, i+1)
	}
}

// checkEnds fails the test unless the jobs with deadly tasks have failed after fewer starts
// than the platform allows, and all others are complete.
func (m *crashModel) checkEnds() {
	// Three workers may crash, and the third start after that is one too many.
	const maxStarts = 5
	for id, deadly := range m.deadly {
		if deadly {
			assert.Equal(m.t, m.state(id), planner.Failed, id)
			assert.Assert(m.t, m.starts[id] <= maxStarts, "%s: %d starts", id, m.starts[id])
			continue
		}
		assert.Equal(m.t, m.state(id), planner.Completed, id)
	}
}

// Guards against a task that crashes one worker after another, while the sound tasks beside it
// are lost with them (BUDGET): its job must fail, and no other.
func TestDeadlyTasksAreGivenUp(t *testing.T) {
	for seed := range uint64(20) {
		m := newCrashModel(t, 11, seed)
		for step := range 1600 {
			if step < 400 && step%10 == 0 {
				m.submitJob(m.random.IntN(10) == 0)
			}
			if step == 600 {
				m.harness = m.takeOver()
			}
			m.advance()
		}
		m.checkEnds()
	}
}

// Guards against a task that crashes its workers long after each start (BUDGET), and against sound
// jobs that are given up in its place (LOST), since they were there each time.
func TestLateDeadlyTaskIsGivenUp(t *testing.T) {
	for seed := range uint64(20) {
		m := newCrashModel(t, 11, seed)
		m.crashDelay = time.Second
		for step := range 1600 {
			if step < 400 && step%10 == 0 {
				m.submitJob(step == 100)
			}
			m.advance()
		}
		m.checkEnds()
	}
}

// Guards against sound jobs that are given up (LOST) because all workers crash at the same time, again
// and again, so that their runs are always of the same age.
func TestWorkersThatCrashTogetherFailNoJobs(t *testing.T) {
	for _, c := range []struct {
		jobs, tasks int
		every       time.Duration
		lasting     bool
	}{{4, 2, 3 * time.Second, false}, {2, 1, 2500 * time.Millisecond, true}} {
		for seed := range uint64(10) {
			m := newCrashModel(t, 6, seed)
			for i := range c.jobs {
				m.submit(fmt.Sprintf("long-%d", i), plantainrail.Step{Count: c.tasks, CPU: 1000, Lasting: c.lasting})
			}
			for step, last := 0, m.now; step < 1000; step++ {
				if step%25 == 0 {
					m.submitJob(false)
				}
				for _, w := range m.workers {
					for i, a := range w.runs {
						if strings.HasPrefix(a.Order.Ref.Task.Job, "long") {
							w.ends[i] = m.now.Add(time.Hour)
						}
					}
				}
				if m.now.Sub(last) >= c.every {
					last = m.now
					for _, w := range m.workers {
						if w.returnAt.IsZero() {
							m.crash(w)
						}
					}
				}
				m.advance()
			}
			for i := range c.jobs {
				assert.Assert(t, !m.state(fmt.Sprintf("long-%d", i)).Final(), "seed %d, %+v", seed, c)
			}
		}
	}
}

// Guards against a sound job that is given up (LOST) because the only worker that can run it crashes
// at regular times, be it long or right after the start of the run.
func TestWorkerThatCrashesRegularlyFailsNoJob(t *testing.T) {
	for _, after := range []time.Duration{2 * time.Second, 0} {
		t.Run(after.String(), func(t *testing.T) {
			m := newCrashModel(t, 1, 1)
			m.submit("service", plantainrail.Step{Count: 1, CPU: 1000, Lasting: true})
			w := m.workers[0]
			for step := range 2000 {
				for i := range w.runs {
					w.ends[i] = m.now.Add(time.Hour)
					if step < 1800 && m.now.Sub(w.begun[i]) >= after {
						m.crash(w)
						break
					}
				}
				m.advance()
			}
			assert.Assert(t, !m.state("service").Final())
			assert.Equal(t, len(w.runs), 1)
		})
	}
}

// Guards against a long-running task that is started again at once after each crash of its worker, or
// that waits for longer than the rules allow (LOST).
func TestLongRunningTaskWaitsAfterCrashes(t *testing.T) {
	vm := newVM("a", 4000)
	h := newHarness(t, vm)
	h.submit("service", plantainrail.Step{Count: 1, CPU: 1000, Lasting: true})
	run := h.tick().Assignments[0]
	for _, c := range []struct {
		// lasted is how long the run lasts before the crash.
		lasted, wait time.Duration
	}{
		{0, 0},
		{100 * time.Millisecond, 500 * time.Millisecond},
		{0, time.Second},
		{2 * time.Second, 2 * time.Second},
		{0, 4 * time.Second},
		{0, 4 * time.Second},
		// A run that has lasted shows that the task is not the cause.
		{time.Minute, 0},
		{0, 0},
		{0, 500 * time.Millisecond},
	} {
		h.begin(run)
		h.now = h.now.Add(c.lasted)
		h.planner.Renew(vm.Incarnation, h.now)
		switch {
		case c.lasted < 200*time.Millisecond:
			vm.StartedLast = []plantainrail.RunRef{run.Order.Ref}
		case c.lasted < plantainrail.LateCrashTime:
			vm.RunningLast = []plantainrail.RunAge{{Ref: run.Order.Ref, Age: c.lasted}}
		}
		vm.Incarnation.StartedMS++
		crashedAt := h.now
		h.report(vm)
		vm.StartedLast, vm.RunningLast = nil, nil
		placed := h.tick().Assignments
		for len(placed) == 0 {
			h.now = h.now.Add(50 * time.Millisecond)
			assert.Assert(t, h.now.Sub(crashedAt) <= lastingGrace)
			h.report(vm)
			placed = h.tick().Assignments
		}
		assert.Equal(t, h.now.Sub(crashedAt), c.wait)
		run = placed[0]
	}
	assert.Assert(t, !h.state("service").Final())
}

// Guards against sound jobs that are given up (LOST) because workers crash for another
// cause, some of them again and again.
func TestFailingWorkersDoNotFailJobs(t *testing.T) {
	for seed := range uint64(20) {
		m := newCrashModel(t, 11, seed)
		for step := range 2400 {
			if step < 800 && step%10 == 0 {
				m.submitJob(false)
			}
			for i, w := range m.workers {
				// The first two workers are up for less than two seconds at a time.
				flapping := i < 2 && m.random.IntN(40) == 0
				if w.returnAt.IsZero() && (flapping || m.random.IntN(8000) == 0) && step < 1200 {
					m.crash(w)
				}
			}
			m.advance()
		}
		m.checkEnds()
	}
}
