package receiver

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/linker"
	"github.com/plantainrail/plantainrail/placer"
	"github.com/plantainrail/plantainrail/reducer"
)

const (
	// scheduleInterval is the longest time between two passes of the scheduler. A
	// pass also follows each change of the log state and each call of wakeUp.
	scheduleInterval = 250 * time.Millisecond
	// orderRepeatInterval is the time after which an order is sent again if the
	// agent has not reported its effect.
	orderRepeatInterval = time.Second
	// failureWindow is how long a task failure counts against its worker.
	failureWindow = 2 * time.Minute
	// maxTasksPerPass bounds the waiting tasks that one pass places.
	maxTasksPerPass = 200
)

// scheduler places the tasks of the jobs that this entry owns, sends orders to
// the agents, and proposes to the log what the agents report. Here each job has its
// own owner, which the entries determine by the highest random weight (see ownsJob). The
// owner of all workflows that the doc of package plantainrail describes is a different
// one. Ownership only avoids conflicting proposals; the order of the log decides between
// them.
type scheduler struct {
	receiver *Receiver
	// wake has a buffer of one and starts the next pass without delay.
	wake chan struct{}

	// mu guards the fields below. It may be locked while the log state is viewed,
	// and the receiver's lock may be taken while mu is held. The reverse order of
	// either could deadlock.
	mu sync.Mutex
	// liveEntries holds the names of the entries that may own jobs.
	liveEntries []string
	// pendingProposals holds the keys (see eventKey) of the proposals in progress.
	pendingProposals map[string]bool
	// startSentAt and evictionSentAt hold when each order was last sent.
	startSentAt    map[plantainrail.AttemptRef]time.Time
	evictionSentAt map[plantainrail.AttemptRef]time.Time
	// proposedPlacements holds the assignments that the log has not decided on.
	proposedPlacements map[string]placer.Placement
	// lastEvictionFor holds, for each urgent task, when the eviction of another task was
	// last ordered for it.
	lastEvictionFor map[string]time.Time
	// workerFailures holds the times of recent task failures by worker.
	workerFailures map[string][]time.Time
	// waitReasons holds, by task, why a waiting task was not placed in the latest
	// pass that considered it.
	waitReasons map[string]string
}

func newScheduler(r *Receiver) *scheduler {
	return &scheduler{
		receiver: r, wake: make(chan struct{}, 1), pendingProposals: map[string]bool{},
		startSentAt: map[plantainrail.AttemptRef]time.Time{}, evictionSentAt: map[plantainrail.AttemptRef]time.Time{},
		lastEvictionFor: map[string]time.Time{}, proposedPlacements: map[string]placer.Placement{}, workerFailures: map[string][]time.Time{}, waitReasons: map[string]string{},
	}
}

// wakeUp starts the next pass without delay. It does not block.
func (s *scheduler) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *scheduler) setLiveEntries(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.liveEntries = names
}

// ownsJob reports whether this entry places the job's tasks: it has the highest
// random weight for the job among the live entries (Thaler and Ravishankar,
// "Using Name-Based Mappings to Increase Hit Rates", 1998). The caller holds the
// lock.
func (s *scheduler) ownsJob(job string) bool {
	name := s.receiver.Name
	ownWeight := rendezvousWeight(job, name)
	for _, other := range s.liveEntries {
		if w := rendezvousWeight(job, other); w > ownWeight || (w == ownWeight && other > name) {
			return false
		}
	}
	return slices.Contains(s.liveEntries, name)
}

func rendezvousWeight(job, entry string) uint64 {
	return xxhash.Sum64String(job + "\x00" + entry)
}

// run makes passes until ctx ends. It always returns nil.
func (s *scheduler) run(ctx context.Context) error {
	ticker := time.NewTicker(scheduleInterval)
	defer ticker.Stop()
	for {
		changed := s.receiver.follower.NextChange()
		s.runOnce(ctx, time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-s.wake:
		case <-changed:
		}
	}
}

// vm is a connected agent with its latest task report.
type vm struct {
	hello   linker.Hello
	session *linker.Session
	// heldTasks holds the attempts of the report, running or ended.
	heldTasks map[plantainrail.AttemptRef]plantainrail.TaskStatus
	report    *linker.TaskReport
	// reportedAt is when the report arrived.
	reportedAt time.Time
	// logIsNewer is set if the entry has read the log to its end since the report
	// arrived. Otherwise the log may hold an attempt of the report that the
	// entry's view of the log lacks.
	logIsNewer bool
}

// connectedVMs returns, by agent name, the connected agents that have reported
// their tasks in their current incarnation.
func (s *scheduler) connectedVMs() map[string]*vm {
	r := s.receiver
	r.mu.Lock()
	defer r.mu.Unlock()
	vms := map[string]*vm{}
	for name, p := range r.peers {
		if p.report == nil || p.report.Incarnation != p.hello.Incarnation {
			continue
		}
		v := &vm{hello: p.hello, session: p.session, report: p.report, reportedAt: p.reportedAt, heldTasks: map[plantainrail.AttemptRef]plantainrail.TaskStatus{}}
		for _, t := range p.report.Tasks {
			v.heldTasks[t.AttemptRef] = t
		}
		vms[name] = v
	}
	return vms
}

// runOnce makes one pass: it compares the state of the log with the attempts that
// the agents hold, and sends the orders and proposes the records that resolve the
// differences. It does nothing while the entry's view of the log is incomplete.
func (s *scheduler) runOnce(ctx context.Context, now time.Time) {
	vms := s.connectedVMs()
	table := s.receiver.Table()
	age, known := s.receiver.follower.Age(now)
	viewIsFresh := known && age < maxStartViewAge
	for _, v := range vms {
		v.logIsNewer = known && v.reportedAt.Before(now.Add(-age))
	}
	var records []plantainrail.TaskRecord
	s.receiver.follower.View(func(state *reducer.State) {
		if !state.Complete() {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		// A task that no longer waits needs no further eviction.
		maps.DeleteFunc(s.lastEvictionFor, func(task string, _ time.Time) bool {
			t := state.Tasks[task]
			return t == nil || t.State != reducer.TaskWaiting
		})
		dropOldOrderTimes(s.startSentAt, now)
		dropOldOrderTimes(s.evictionSentAt, now)
		for _, v := range vms {
			records = append(records, s.reconcile(v, state)...)
		}
		for _, t := range state.AssignedTasks {
			if s.ownsJob(t.Job.ID) {
				s.sendOrder(now, t, vms[t.Worker], state, viewIsFresh)
			}
		}
		s.enforceQuietHourCaps(now, state, vms, table)
		if viewIsFresh {
			records = append(records, s.place(now, state, vms, table)...)
		}
	})
	for _, record := range records {
		s.propose(ctx, record)
	}
}

// maxRememberedOrders is the number of remembered orders at which the old ones
// are dropped.
const maxRememberedOrders = 20_000

// dropOldOrderTimes drops the times of orders that were sent at least
// orderRepeatInterval ago, if there are maxRememberedOrders or more. These times no
// longer have an effect, since such orders may be repeated.
func dropOldOrderTimes(orders map[plantainrail.AttemptRef]time.Time, now time.Time) {
	if len(orders) < maxRememberedOrders {
		return
	}
	for ref, at := range orders {
		if now.Sub(at) >= orderRepeatInterval {
			delete(orders, ref)
		}
	}
}

// reconcile compares the attempts that one agent holds with the log. It returns
// records of the ends that the log lacks, and orders the agent to stop the running
// attempts that are no longer current in the log and to delete the status of the ended
// ones that are not current. It leaves running attempts of tasks that the log does not
// know. It gives orders only if the view of the log is newer than the agent's report.
// The caller holds the lock.
func (s *scheduler) reconcile(v *vm, state *reducer.State) []plantainrail.TaskRecord {
	var records []plantainrail.TaskRecord
	var forget []plantainrail.AttemptRef
	for ref, status := range v.heldTasks {
		t, known := state.Tasks[ref.Task]
		current := known && t.Attempt == ref.Attempt && t.Worker == v.hello.Agent && t.Incarnation == status.Incarnation
		switch {
		case current && status.Phase != plantainrail.PhaseRunning:
			records = append(records, endRecord(status))
		case !v.logIsNewer:
			// The log may have assigned the attempt since. A later pass decides.
		case known && !current && status.Phase == plantainrail.PhaseRunning:
			s.orderEviction(v, ref, "the attempt is no longer the current one")
		case known && !current, !known && status.Phase != plantainrail.PhaseRunning:
			forget = append(forget, ref)
		}
	}
	if len(forget) > 0 {
		_ = v.session.Send(linker.Frame{Forget: forget})
	}
	return records
}

// endRecord returns the record of an attempt that has ended. An attempt that
// neither finished nor failed is released, so that its task is placed again.
func endRecord(status plantainrail.TaskStatus) plantainrail.TaskRecord {
	record := plantainrail.TaskRecord{AttemptRef: status.AttemptRef, Checkpoint: status.Checkpoint, Reason: status.Reason}
	switch status.Phase {
	case plantainrail.PhaseFinished:
		record.Event = plantainrail.TaskFinish
	case plantainrail.PhaseFailed:
		record.Event = plantainrail.TaskFail
	default:
		record.Event = plantainrail.TaskRelease
	}
	return record
}

// sendOrder sends the start or stop order for an assigned task, unless the agent's
// report shows its effect or it was sent within orderRepeatInterval. Orders are
// idempotent, so later passes repeat them. It sends no start order while the entry's
// view of the log is stale. A stop order is also sent for an attempt that the agent
// does not hold, so that a delayed start order has no effect. The caller holds the
// lock.
func (s *scheduler) sendOrder(now time.Time, t *reducer.Task, v *vm, state *reducer.State, viewIsFresh bool) {
	if v == nil || v.hello.Incarnation != t.Incarnation {
		return
	}
	ref := t.Ref()
	status, held := v.heldTasks[ref]
	zoneOut := state.Zones[v.hello.Zone].Out
	wantStop := t.State == reducer.TaskStopping || zoneOut
	if held && (!wantStop || status.Phase != plantainrail.PhaseRunning) {
		return
	}
	if wantStop {
		reason := "cancelled"
		if zoneOut {
			reason = "the availability zone is out"
		}
		s.orderEviction(v, ref, reason)
		return
	}
	if !viewIsFresh || now.Sub(s.startSentAt[ref]) < orderRepeatInterval {
		return
	}
	s.startSentAt[ref] = now
	_ = v.session.Send(linker.Frame{Start: &linker.TaskOrder{Start: plantainrail.TaskStart{
		AttemptRef: ref, Incarnation: t.Incarnation, Kind: t.Job.Kind, Resources: t.Reserved,
		Work: t.Job.Work, Checkpoint: t.Checkpoint,
	}}})
}

// orderEviction orders an agent to stop an attempt, at most once per
// orderRepeatInterval. The caller holds the lock.
func (s *scheduler) orderEviction(v *vm, ref plantainrail.AttemptRef, reason string) {
	now := time.Now()
	if now.Sub(s.evictionSentAt[ref]) < orderRepeatInterval {
		return
	}
	s.evictionSentAt[ref] = now
	_ = v.session.Send(linker.Frame{Evict: &linker.EvictOrder{Ref: ref, Reason: reason}})
	s.receiver.Logger.Info("task eviction ordered", zap.String("task", ref.Task), zap.Int64("attempt", ref.Attempt), zap.String("cause", reason))
}

// eventKey returns the key of a proposal in scheduler.pendingProposals.
func eventKey(task string, event plantainrail.TaskEvent) string {
	return string(event) + " " + task
}

// propose proposes a task record in the background, unless a proposal of the same
// event of the task is in progress. A record that fails or is rejected is proposed
// again by a later pass if it is still needed.
func (s *scheduler) propose(ctx context.Context, record plantainrail.TaskRecord) {
	key := eventKey(record.Task, record.Event)
	s.mu.Lock()
	if s.pendingProposals[key] {
		s.mu.Unlock()
		return
	}
	s.pendingProposals[key] = true
	s.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
		defer cancel()
		verdict, err := s.receiver.follower.Propose(ctx, plantainrail.Record{Type: plantainrail.RecordTask, Task: &record})
		s.mu.Lock()
		delete(s.pendingProposals, key)
		if record.Event == plantainrail.TaskAssign {
			delete(s.proposedPlacements, record.Task)
		}
		if record.Event == plantainrail.TaskFail && err == nil {
			// Every entry that received the failure report proposes the record. The
			// log accepts only one of them, but each entry counts the failure.
			s.recordFailure(record)
		}
		s.mu.Unlock()
		if err != nil {
			return
		}
		s.receiver.Logger.Info("task step decided", zap.String("task", record.Task), zap.Int64("attempt", record.Attempt),
			zap.String("step", string(record.Event)), zap.String("worker", record.Worker), zap.Bool("accepted", verdict.Accepted))
		s.wakeUp()
	}()
}

// recordFailure counts a failed attempt against the worker that reported it. It
// counts nothing if that worker is no longer connected. The caller holds the
// lock.
func (s *scheduler) recordFailure(record plantainrail.TaskRecord) {
	for name, v := range s.connectedVMs() {
		if _, ok := v.heldTasks[record.AttemptRef]; ok {
			s.workerFailures[name] = append(s.workerFailures[name], time.Now())
		}
	}
}

// handleRefusal proposes to the log to release an attempt that an agent has
// refused and will never start, so that the task waits for another worker. The
// proposal continues if the agent's session ends.
func (s *scheduler) handleRefusal(p *peer, refusal linker.TaskRefusal) {
	s.receiver.Logger.Info("task start refused by agent", zap.String("agent", p.hello.Agent), zap.String("task", refusal.Ref.Task), zap.Error(refusal.Err))
	s.propose(context.Background(), plantainrail.TaskRecord{AttemptRef: refusal.Ref, Event: plantainrail.TaskRelease, Reason: refusal.Err.Error()})
}
