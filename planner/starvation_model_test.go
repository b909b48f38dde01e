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
	"github.com/plantainrail/plantainrail/linker"
	"github.com/plantainrail/plantainrail/planner"
)

// starvationModel is a fleet in which some jobs fail wherever they run and some workers have a
// fault for a while. Its row says which jobs, workers and faults there are.
type starvationModel struct {
	*harness
	row     *starvationRow
	random  *rand.Rand
	workers []*faultyWorker
	jobs    map[string]*modelJob
	ids     []string
	runs    map[plantainrail.RunRef]*modelledRun
	config  plantainrail.OperatorConfig
	// decision is not stored before storedAt. There is no owner before ownerAt.
	decision          *decision
	storedAt, ownerAt time.Time
	// disturbedAt is when the owner or the store was last disturbed. finished is set once the jobs are
	// asked for after the end of the traffic.
	disturbedAt time.Time
	finished    bool
	// obstacles are the newest ones of each job, for the failure message.
	obstacles map[string]map[planner.Obstacle]int
	// violation describes the first task that has starved.
	violation string
}

type modelledRun struct {
	assignment planner.Assignment
	// name is the task's, by which runs are ordered.
	name   string
	endsAt time.Time
	// begunAt is when the worker has started it.
	begunAt time.Time
	// lag is how long after its end the worker lists it.
	lag    time.Duration
	failed bool
	// dead means that nothing runs and the owner may not know that. A run whose start is held back
	// is dead, and refused at endsAt for the reason in refusal.
	dead    bool
	refusal plantainrail.RefusalReason
	// aloneSince is since when a member of a gang has waited for others.
	aloneSince time.Time
}

type modelJob struct {
	plantainrail.Workflow
	duration  time.Duration
	poison    bool
	cancelled bool
	// calmFrom is when the job counts again after a fault has kept a task from running.
	calmFrom time.Time
	// done holds the tasks that are done, lastRun when the newest run of a long-running task ended,
	// and starving since when a task has waited beside free capacity.
	done              map[plantainrail.TaskID]bool
	lastRun, starving map[plantainrail.TaskID]time.Time
}

// disturb records that a fault at the given time keeps a task of the job from running.
func (j *modelJob) disturb(at time.Time) {
	if from := at.Add(calmTime); from.After(j.calmFrom) {
		j.calmFrom = from
	}
}

func newStarvationModel(t *testing.T, row *starvationRow, seed uint64) *starvationModel {
	m := &starvationModel{
		harness: newHarness(t), row: row, random: rand.New(rand.NewPCG(seed, 0)), jobs: map[string]*modelJob{},
		runs: map[plantainrail.RunRef]*modelledRun{}, obstacles: map[string]map[planner.Obstacle]int{},
	}
	m.config = plantainrail.OperatorConfig{Version: 1, Out: map[string]bool{}}
	for _, q := range row.queues {
		m.config.Queues = append(m.config.Queues, plantainrail.QueueRule{Queue: q})
	}
	for i := range row.workers.min + m.random.IntN(row.workers.more) {
		w := &faultyWorker{vm: newVM(fmt.Sprintf("vm-%02d", i), 4_000*(1+m.random.IntN(4))), soundSince: start.Add(-calmTime)}
		w.vm.Zone = fmt.Sprint("z", i%3)
		w.vm.Labels = []string{fmt.Sprint("r1-", i%4)}
		if i%2 == 0 {
			w.vm.Labels = append(w.vm.Labels, "a")
		}
		if i%3 == 0 {
			w.vm.Capacity.Accelerators = 4
		}
		w.full = w.vm.Capacity
		m.workers = append(m.workers, w)
		m.heartbeat(w)
	}
	return m
}

func (m *starvationModel) submitJob(poison bool) {
	row, id := m.row, fmt.Sprintf("job-%03d", len(m.ids))
	count, cpu, memory := 1+m.random.IntN(row.count), 200+m.random.IntN(row.cpu), m.random.IntN(800)
	step := row.steps[m.random.IntN(len(row.steps))]
	step.Count, step.CPU, step.Memory = count, cpu, memory
	if step.MaxPerVM > 0 {
		step.MaxPerVM = 1 + m.random.IntN(step.MaxPerVM)
	}
	j := &modelJob{
		duration: time.Duration(200+m.random.IntN(5000)) * time.Millisecond, poison: poison, done: map[plantainrail.TaskID]bool{},
		lastRun: map[plantainrail.TaskID]time.Time{}, starving: map[plantainrail.TaskID]time.Time{},
	}
	j.Workflow = plantainrail.Workflow{ID: id, Queue: row.queues[0], Steps: []plantainrail.Step{step}}
	if !step.Lasting && m.random.IntN(3) == 0 {
		j.Steps = append(j.Steps, plantainrail.Step{Count: 1 + m.random.IntN(3), CPU: 500, DependsOn: []int{0}})
	}
	if len(row.queues) > 1 {
		j.Queue = row.queues[m.random.IntN(len(row.queues))]
	}
	if row.repetitions > 0 && !step.Lasting {
		j.Repetitions, j.FirstRunMS, j.IntervalMS = 1+m.random.IntN(row.repetitions), m.now.UnixMilli(), int64(500+m.random.IntN(3000))
	}
	m.ids, m.jobs[id] = append(m.ids, id), j
	m.submitWorkflow(j.Workflow)
}

// reachable reports whether the owner hears of the worker.
func (w *faultyWorker) reachable() bool {
	return w.fault == nil || !w.fault.disconnected && !w.fault.gone
}

// sound reports whether the worker has no fault.
func (w *faultyWorker) sound() bool { return w.fault == nil || w.fault.strained }

// runsOf returns the runs of a worker in a fixed order.
func (m *starvationModel) runsOf(w *faultyWorker) []*modelledRun {
	var out []*modelledRun
	for _, r := range m.runs {
		if r.assignment.Incarnation == w.vm.Incarnation {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *modelledRun) int {
		return strings.Compare(a.name, b.name)
	})
	return out
}

func (m *starvationModel) endRun(w *faultyWorker, r *modelledRun, outcome plantainrail.RunOutcome) {
	ref := r.assignment.Order.Ref
	delete(m.runs, ref)
	j := m.jobs[ref.Task.Job]
	step := j.Steps[ref.Task.Step]
	j.lastRun[ref.Task] = m.now
	if outcome == plantainrail.RunDone {
		j.done[ref.Task] = true
		if step.Gang {
			for i := range step.Count {
				id := ref.Task
				id.Index = i
				j.done[id] = true
			}
		}
	}
	m.listEnd(w, r, outcome)
	if !step.Gang {
		return
	}
	// The other members end with this one.
	for _, other := range m.workers {
		for _, o := range m.runsOf(other) {
			id := o.assignment.Order.Ref.Task
			id.Index = ref.Task.Index
			if id == ref.Task && other.reachable() && !o.dead {
				delete(m.runs, o.assignment.Order.Ref)
				m.listEnd(other, o, plantainrail.RunGangBroken)
			}
		}
	}
}

func (m *starvationModel) listEnd(w *faultyWorker, r *modelledRun, outcome plantainrail.RunOutcome) {
	w.ends = append(w.ends, plantainrail.RunEnd{Number: int64(len(w.ends) + 1), Ref: r.assignment.Order.Ref, Outcome: outcome})
	m.planner.ApplyEnds(w.vm.Incarnation, w.ends[len(w.ends)-1:], m.now)
}

// heartbeat reports a worker as its newest heartbeat has described it.
func (m *starvationModel) heartbeat(w *faultyWorker) {
	if m.now.Sub(w.reportedAt) >= m.row.heartbeat || w.reported.Incarnation != w.vm.Incarnation {
		w.reported, w.reportedAt = w.vm, m.now
	}
	reported := w.reported
	reported.FillersPaused = w.fault != nil && w.fault.strained
	m.report(reported)
	w.vm.StartedLast, w.vm.RunningLast = nil, nil
}

// listRuns reports the runs of a worker that go on, refuses or ends the others.
func (m *starvationModel) listRuns(w *faultyWorker) {
	for _, r := range m.runsOf(w) {
		ref := r.assignment.Order.Ref
		if !r.dead {
			m.planner.RecordCheckpoints(w.vm.Incarnation, []plantainrail.RunStatus{{Ref: ref, Checkpoint: m.checkpoint(ref)}}, m.now)
		}
		switch {
		case m.runs[ref] == nil:
		case m.row.gangTimeout > 0 && m.waitsForGang(r):
			if m.now.Sub(r.aloneSince) >= m.row.gangTimeout {
				m.endRun(w, r, plantainrail.RunGangIncomplete)
			}
		case r.endsAt.Add(r.lag).After(m.now):
		case r.dead:
			delete(m.runs, ref)
			m.planner.ApplyRefusal(w.vm.Incarnation, ref, r.refusal, m.now)
		case r.failed:
			m.endRun(w, r, plantainrail.RunFailed)
		default:
			m.endRun(w, r, plantainrail.RunDone)
		}
	}
}

// waitsForGang reports whether a run, which has not failed, makes no progress since other members of
// its gang do not run.
func (m *starvationModel) waitsForGang(r *modelledRun) bool {
	if step := m.step(r); !step.Gang || r.dead || r.failed {
		return false
	}
	present := 0
	for ref, other := range m.runs {
		ref.Task.Index = r.assignment.Order.Ref.Task.Index
		if ref == r.assignment.Order.Ref && !other.dead {
			present++
		}
	}
	switch {
	case present == m.step(r).Count:
		r.aloneSince = time.Time{}
		return false
	case r.aloneSince.IsZero():
		r.aloneSince = m.now
	}
	r.endsAt = r.endsAt.Add(starvationStep)
	return true
}

func (m *starvationModel) checkpoint(ref plantainrail.RunRef) string {
	if m.jobs[ref.Task.Job].Steps[ref.Task.Step].Checkpoints {
		return fmt.Sprint(m.now.Unix())
	}
	return ""
}

// measure reports the tail latencies of the services on a worker, which grow with the fillers beside them.
func (m *starvationModel) measure(w *faultyWorker) {
	tails, fillers := map[plantainrail.RunRef]int{}, 0
	runs := m.runsOf(w)
	for _, r := range runs {
		if step := m.step(r); step.Filler {
			fillers += step.CPU
		}
	}
	for _, r := range runs {
		if step := m.step(r); step.HasTailObjective() {
			tails[r.assignment.Order.Ref] = step.TailObjective/4 + m.random.IntN(step.TailObjective) + fillers/200
		}
	}
	if len(tails) > 0 {
		m.planner.Observe(w.vm.Incarnation, tails, map[string]int{"f": fillers}, m.now)
	}
}

func (m *starvationModel) step(r *modelledRun) plantainrail.Step {
	id := r.assignment.Order.Ref.Task
	return m.jobs[id.Job].Steps[id.Step]
}

func (m *starvationModel) advance() {
	m.now = m.now.Add(starvationStep)
	for _, w := range m.workers {
		if w.fault != nil && !m.now.Before(w.until) {
			m.mendWorker(w)
		}
		if !w.crashAt.IsZero() && !m.now.Before(w.crashAt) {
			m.crashAgain(w)
		}
	}
	if m.now.Before(m.ownerAt) {
		return
	}
	if !m.ownerAt.IsZero() {
		m.ownerAt = time.Time{}
		m.replaceOwner()
	}
	for _, w := range m.workers {
		if w.fault != nil && w.fault.gone && m.now.Sub(w.since) >= linker.SessionTimeout {
			m.planner.Disconnect(w.vm.Incarnation)
		}
		if w.reachable() {
			m.heartbeat(w)
			m.planner.ApplyEnds(w.vm.Incarnation, w.ends, m.now)
			m.listRuns(w)
			if m.row.measures {
				m.measure(w)
			}
		}
	}
	if m.decision == nil {
		d := m.decide()
		m.decision = &d
		if at := m.now.Add(m.row.storeLag); at.After(m.storedAt) {
			m.storedAt = at
		}
	}
	if !m.now.Before(m.storedAt) {
		d := *m.decision
		m.decision = nil
		m.store(d)
		m.carryOut(d.Plan)
	}
	assert.NilError(m.t, m.planner.CheckReservations())
	m.checkStarvation()
}

// carryOut carries out a plan that is stored, and what else the workers should start or stop.
func (m *starvationModel) carryOut(plan planner.Plan) {
	for _, lost := range plan.Lost {
		if r := m.runs[lost.Ref]; r != nil && !r.dead {
			m.jobs[lost.Ref.Task.Job].lastRun[lost.Ref.Task] = m.now
		}
		delete(m.runs, lost.Ref)
	}
	for _, s := range plan.Stops {
		for _, w := range m.workers {
			if r := m.runs[s.Ref]; r != nil && w.vm.Incarnation == s.Incarnation && !r.dead {
				m.endRun(w, r, plantainrail.RunStopped)
			}
		}
	}
	for _, u := range plan.Unplaced {
		m.obstacles[u.Job] = u.Obstacles
	}
	for _, w := range m.workers {
		orders, stops := m.planner.DesiredRuns(w.vm.Incarnation)
		if !w.reachable() {
			for _, order := range orders {
				if r := m.runs[order.Ref]; r == nil || r.dead {
					m.jobs[order.Ref.Task.Job].disturb(w.since)
				}
			}
			continue
		}
		for _, ref := range stops {
			if r := m.runs[ref]; r != nil && !r.dead {
				m.endRun(w, r, plantainrail.RunStopped)
			} else {
				delete(m.runs, ref)
				m.planner.ApplyRefusal(w.vm.Incarnation, ref, plantainrail.RefusedStaleRun, m.now)
			}
		}
		for _, order := range orders {
			if m.runs[order.Ref] == nil {
				m.start(w, planner.Assignment{Incarnation: w.vm.Incarnation, Order: order})
			}
		}
	}
}

func (m *starvationModel) start(w *faultyWorker, a planner.Assignment) {
	j, f := m.jobs[a.Order.Ref.Task.Job], workerFault{}
	if w.fault != nil {
		f = *w.fault
	}
	used := plantainrail.Resources{}
	for _, r := range m.runsOf(w) {
		used = used.Add(m.step(r).Reservation())
	}
	switch {
	case a.Order.Adopt:
		f.refusal = plantainrail.RefusedZone
	case !a.Order.Reservation.Fits(w.vm.Capacity.Sub(used)) && f.refusal == "":
		f.refusal = plantainrail.RefusedCapacity
	}
	if f.held > 0 {
		j.disturb(w.since)
		m.runs[a.Order.Ref] = &modelledRun{
			assignment: a, name: a.Order.Ref.Task.String(), endsAt: m.now.Add(f.held), dead: true, refusal: f.refusal,
		}
		return
	}
	if f.refusal != "" {
		m.planner.ApplyRefusal(a.Incarnation, a.Order.Ref, f.refusal, m.now)
		return
	}
	r := &modelledRun{
		assignment: a, name: a.Order.Ref.Task.String(), begunAt: m.now, endsAt: m.now.Add(j.duration), failed: j.poison || f.fails,
	}
	if m.step(r).Lasting {
		r.endsAt = m.now.Add(time.Hour)
	}
	if m.row.endLag > 0 {
		r.lag = time.Duration(m.random.Int64N(int64(m.row.endLag)))
	}
	if r.failed {
		r.endsAt = m.now.Add(100 * time.Millisecond)
		if m.row.failTime > 0 {
			r.endsAt = r.endsAt.Add(time.Duration(m.random.Int64N(int64(m.row.failTime))))
		}
	}
	m.runs[a.Order.Ref] = r
}
