package agent

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/leaser"
	"github.com/plantainrail/plantainrail/linker"
)

// takeoverDelay is how long an agent that took over an incarnation starts no
// attempts. It does not know which attempts have ended in that incarnation, so it
// waits until the entries' views include those ends: an entry orders starts only if
// its view of the log is at most 1.2 s old.
const takeoverDelay = 2 * time.Second

// takeOverTasks reads the attempts that an earlier agent on this VM left in the
// runtime. If there are any, the agent adopts them and their incarnation. Otherwise
// it claims the VM for its own incarnation and reports the earlier one as ended.
func (a *Agent) takeOverTasks(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	holder, tasks, err := a.Runtime.Tasks(ctx)
	if err != nil {
		return errors.Wrap(err, "read the runtime's tasks")
	}
	if len(tasks) == 0 {
		a.endedIncarnation = holder
		return errors.Wrap(a.Runtime.Claim(ctx, a.leaser.Incarnation()), "claim the VM for a new incarnation")
	}
	a.leaser.Reset(holder)
	a.noStartsBefore = time.Now().Add(takeoverDelay)
	a.recordTasks(tasks)
	return nil
}

// poll calls pollOnce at a fixed interval. It returns nil when the context ends.
func (a *Agent) poll(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			a.pollOnce(ctx)
		}
	}
}

// pollOnce renews the lease of the runtime's tasks and reads their status. It does
// nothing while the VM has no tasks.
func (a *Agent) pollOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a.mu.Lock()
	leaseUntil, busy := a.leaser.LeaseUntil(), len(a.leaser.Running()) > 0 || len(a.taskStatuses) > 0
	a.mu.Unlock()
	if !busy {
		return
	}
	if err := a.Runtime.Renew(ctx, leaseUntil); err != nil {
		a.Log.Warn("failed to renew the lease in the runtime", zap.Error(err))
	}
	_, tasks, err := a.Runtime.Tasks(ctx)
	if err != nil {
		a.Log.Warn("failed to read the runtime's tasks", zap.Error(err))
		return
	}
	a.mu.Lock()
	a.recordTasks(tasks)
	a.mu.Unlock()
}

// recordTasks records the runtime's status of attempts, and reserves or releases their
// resources. Attempts of other incarnations are ignored, and the first final status of
// an attempt is kept. The caller holds the lock, or no other goroutine uses the agent
// yet.
func (a *Agent) recordTasks(tasks []plantainrail.TaskStatus) {
	changed := false
	for _, t := range tasks {
		if t.Incarnation != a.leaser.Incarnation() {
			continue
		}
		previous, known := a.taskStatuses[t.AttemptRef]
		if known && previous.Phase != plantainrail.PhaseRunning {
			continue
		}
		if t.Phase == plantainrail.PhaseRunning {
			a.leaser.Reserve(t.AttemptRef, t.Resources)
		} else {
			a.leaser.Release(t.AttemptRef)
		}
		if !known || previous.Phase != t.Phase {
			changed = true
		}
		a.taskStatuses[t.AttemptRef] = t
		a.sizer.Observe(time.Now(), t.Kind, t.AttemptRef, t.Usage)
	}
	if changed {
		a.notify()
	}
}

// taskReport returns the report on the agent's attempts for the entries, sorted by
// attempt. It leaves out what entries do not need: resources, usage and kind, and the
// checkpoints of running attempts. The caller holds the lock.
func (a *Agent) taskReport() *linker.TaskReport {
	r := &linker.TaskReport{Incarnation: a.leaser.Incarnation(), Free: a.leaser.Free(), PeakUsages: a.sizer.PeakUsages(), Throttled: a.throttledKinds}
	for _, t := range a.taskStatuses {
		t.Resources, t.Usage, t.Kind = plantainrail.Resources{}, plantainrail.Resources{}, ""
		if t.Phase == plantainrail.PhaseRunning {
			t.Checkpoint = nil
		}
		r.Tasks = append(r.Tasks, t)
	}
	slices.SortFunc(r.Tasks, func(x, y plantainrail.TaskStatus) int {
		if x.Task != y.Task {
			return strings.Compare(x.Task, y.Task)
		}
		return int(x.Attempt - y.Attempt)
	})
	return r
}

// handleStart starts an attempt in the runtime if it is admitted. If it is refused, it
// reports the refusal to the entry; if that report is lost, the entry repeats the order.
func (a *Agent) handleStart(s *linker.Session, order linker.TaskOrder) {
	if a.Runtime == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.taskStatuses[order.Start.AttemptRef]; known || a.fencing || time.Now().Before(a.noStartsBefore) {
		// No refusal is sent. A known attempt runs or has run: the task report states how
		// it ended, and a refusal would wrongly state that it never started. In the other
		// cases the entry repeats the order, and the attempt may start later.
		return
	}
	verdict, err := a.leaser.DecideStart(time.Now(), order.Start)
	switch verdict {
	case leaser.Ignore:
		return
	case leaser.Refuse:
		_ = s.Send(linker.Frame{Refused: &linker.TaskRefusal{Ref: order.Start.AttemptRef, Err: err}})
		return
	}
	order.Start.NotAfter = a.leaser.PermitUntil()
	go a.startTask(s, order.Start)
}

// startTask starts an admitted attempt in the runtime. It renews the lease first, since
// the runtime's lease may have expired while the VM had no tasks.
func (a *Agent) startTask(s *linker.Session, start plantainrail.TaskStart) {
	ctx, cancel := context.WithTimeout(a.lifetime, callTimeout)
	defer cancel()
	a.mu.Lock()
	leaseUntil := a.leaser.LeaseUntil()
	a.mu.Unlock()
	err := a.Runtime.Renew(ctx, leaseUntil)
	if err == nil {
		err = a.Runtime.Start(ctx, start)
	}
	if err != nil {
		a.startFailed(s, start, err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recordTasks([]plantainrail.TaskStatus{{
		AttemptRef: start.AttemptRef, Incarnation: start.Incarnation,
		Phase: plantainrail.PhaseRunning, Resources: start.Resources, Kind: start.Kind,
	}})
	a.Log.Info("task started", zap.String("task", start.Task), zap.Int64("attempt", start.Attempt))
}

// startFailed makes sure that the attempt does not run, and reports the refusal.
// The runtime may have started the attempt even though its response was lost, so the
// stop is retried until the runtime responds. An attempt that did run is reported
// with its final status instead.
func (a *Agent) startFailed(s *linker.Session, start plantainrail.TaskStart, cause error) {
	a.Log.Warn("failed to start task", zap.String("task", start.Task), zap.Error(cause))
	ended, ran, err := a.stopAttempt(start.AttemptRef)
	for err != nil {
		select {
		case <-time.After(pollInterval):
		case <-a.lifetime.Done():
			return
		}
		ended, ran, err = a.stopAttempt(start.AttemptRef)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if ran {
		a.recordTasks([]plantainrail.TaskStatus{ended})
		return
	}
	a.leaser.Release(start.AttemptRef)
	refusal := linker.TaskRefusal{Ref: start.AttemptRef, Err: plantainrail.NewError(plantainrail.CodeStartForbidden, "%v", cause)}
	_ = s.Send(linker.Frame{Refused: &refusal})
}

// stopAttempt stops an attempt and returns its final status and whether it ever ran.
func (a *Agent) stopAttempt(ref plantainrail.AttemptRef) (ended plantainrail.TaskStatus, ran bool, err error) {
	ctx, cancel := context.WithTimeout(a.lifetime, callTimeout)
	defer cancel()
	_, ended, ran, err = a.stopInRuntime(ctx, ref)
	return ended, ran, err
}

// stopTask checkpoints and stops an attempt and records its end. An attempt that never
// reached this agent is recorded as released, so that a delayed order does not start
// it. If the stop fails, nothing is recorded: an entry repeats its order, but Drain makes no
// second try.
func (a *Agent) stopTask(ctx context.Context, ref plantainrail.AttemptRef, reason string) {
	if a.Runtime == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a.mu.Lock()
	status, known := a.taskStatuses[ref]
	incarnation := a.leaser.Incarnation()
	starting := slices.Contains(a.leaser.Running(), ref)
	if known && status.Phase != plantainrail.PhaseRunning {
		a.mu.Unlock()
		return
	}
	if !known && !starting {
		a.leaser.Release(ref)
	}
	a.mu.Unlock()
	if starting && !known {
		// The start is in progress. An entry repeats its order to stop; Drain does not.
		return
	}
	ended := plantainrail.TaskStatus{AttemptRef: ref, Incarnation: incarnation, Phase: plantainrail.PhaseReleased, Reason: reason}
	if known {
		checkpoint, reported, ran, err := a.stopInRuntime(ctx, ref)
		if err != nil {
			a.Log.Warn("failed to stop task", zap.String("task", ref.Task), zap.Error(err))
			return
		}
		ended.Checkpoint = checkpoint
		if ran && reported.Phase != plantainrail.PhaseReleased {
			ended = reported
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recordTasks([]plantainrail.TaskStatus{ended})
	a.Log.Info("task stopped", zap.String("task", ref.Task), zap.Int64("attempt", ref.Attempt), zap.String("phase", string(ended.Phase)), zap.String("cause", reason))
}

// stopInRuntime stops an attempt and returns its last checkpoint and its final status
// in the runtime. The attempt may have finished or failed just before the stop. Ran
// is false if the attempt never ran there.
func (a *Agent) stopInRuntime(ctx context.Context, ref plantainrail.AttemptRef) (checkpoint plantainrail.Checkpoint, ended plantainrail.TaskStatus, ran bool, err error) {
	checkpoint, err = a.Runtime.Stop(ctx, ref)
	if err != nil {
		return nil, ended, false, err
	}
	_, tasks, err := a.Runtime.Tasks(ctx)
	i := slices.IndexFunc(tasks, func(t plantainrail.TaskStatus) bool { return t.AttemptRef == ref })
	if err != nil || i < 0 {
		return checkpoint, ended, false, err
	}
	return checkpoint, tasks[i], true, nil
}

// forgetTasks deletes the status of ended attempts that the log no longer needs: their end
// is stored there, or they are unknown there. After an error it leaves the rest: they are
// reported again, and the entry repeats its order.
func (a *Agent) forgetTasks(ctx context.Context, refs []plantainrail.AttemptRef) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, ref := range refs {
		if err := a.Runtime.Forget(ctx, ref); err != nil {
			return
		}
		a.mu.Lock()
		// Entries send only attempts that were reported as ended, and an ended attempt
		// does not run again. The condition is a safeguard.
		if a.taskStatuses[ref].Phase != plantainrail.PhaseRunning {
			delete(a.taskStatuses, ref)
			a.notify()
		}
		a.mu.Unlock()
	}
}

// fence stops all attempts of an incarnation that was declared lost, switches to a
// new incarnation, and closes the sessions so that they are reopened with it. This is
// fencing of tasks; package decider fences an earlier owner's writes to the store.
func (a *Agent) fence(ctx context.Context) {
	a.Log.Warn("incarnation declared lost; stopping all tasks")
	newIncarnation := newID()
	for !a.fenceOnce(ctx, newIncarnation) {
		time.Sleep(pollInterval)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endedIncarnation = a.leaser.Incarnation()
	a.leaser.Reset(newIncarnation)
	clear(a.taskStatuses)
	a.fencing = false
	for _, l := range a.entrySessions {
		l.session.Close()
	}
}

// fenceOnce claims the VM for a new incarnation, stops all attempts and deletes their
// status. It returns false if a call failed and everything has to be repeated.
func (a *Agent) fenceOnce(ctx context.Context, newIncarnation string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := a.Runtime.Claim(ctx, newIncarnation); err != nil {
		return false
	}
	_, tasks, err := a.Runtime.Tasks(ctx)
	if err != nil {
		return false
	}
	for _, t := range tasks {
		if _, err := a.Runtime.Stop(ctx, t.AttemptRef); err != nil {
			return false
		}
		if err := a.Runtime.Forget(ctx, t.AttemptRef); err != nil {
			return false
		}
	}
	return true
}
