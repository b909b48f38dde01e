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

// takeoverPause is how long an agent that took an incarnation over starts
// nothing. It has forgotten which attempts ended there, so it lets the entries'
// views become later than those ends; a view that orders is at most
// 1.2 s old.
const takeoverPause = 2 * time.Second

// takeOver learns what an earlier agent on this VM left running. Attempts that
// are there are adopted together with their incarnation; otherwise this agent
// takes an incarnation of its own and tells which one it succeeds.
func (a *Agent) takeOver(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	holder, tasks, err := a.Runtime.Tasks(ctx)
	if err != nil {
		return errors.Wrap(err, "read the runtime's tasks")
	}
	if len(tasks) == 0 {
		a.succeeds = holder
		return errors.Wrap(a.Runtime.Hold(ctx, a.leaser.Incarnation()), "take the VM")
	}
	a.leaser.Renounce(holder)
	a.startsFrom = time.Now().Add(takeoverPause)
	a.note(tasks)
	return nil
}

// poll follows the runtime's tasks and extends their lease.
func (a *Agent) poll(ctx context.Context) error {
	ticker := time.NewTicker(pollEvery)
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

func (a *Agent) pollOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	a.mu.Lock()
	until, busy := a.leaser.Lease(), len(a.leaser.Running()) > 0 || len(a.statuses) > 0
	a.mu.Unlock()
	if !busy {
		return
	}
	if err := a.Runtime.Renew(ctx, until); err != nil {
		a.Log.Warn("lease not passed on", zap.Error(err))
	}
	_, tasks, err := a.Runtime.Tasks(ctx)
	if err != nil {
		a.Log.Warn("runtime not read", zap.Error(err))
		return
	}
	a.mu.Lock()
	a.note(tasks)
	a.mu.Unlock()
}

// note takes the runtime's word on attempts. The caller holds the lock, or is
// alone.
func (a *Agent) note(tasks []plantainrail.TaskStatus) {
	changed := false
	for _, t := range tasks {
		if t.Incarnation != a.leaser.Incarnation() {
			continue
		}
		old, known := a.statuses[t.AttemptRef]
		if known && old.Phase != plantainrail.PhaseRunning {
			continue
		}
		if t.Phase == plantainrail.PhaseRunning {
			a.leaser.Adopt(t.AttemptRef, t.Resources)
		} else {
			a.leaser.Ended(t.AttemptRef)
		}
		if !known || old.Phase != t.Phase {
			changed = true
		}
		a.statuses[t.AttemptRef] = t
		a.sizer.Observe(time.Now(), t.Kind, t.AttemptRef, t.Usage)
	}
	if changed {
		a.notify()
	}
}

// report lists the attempts that this agent holds. The caller holds the lock.
func (a *Agent) report() *linker.TaskReport {
	r := &linker.TaskReport{Incarnation: a.leaser.Incarnation(), Free: a.leaser.Free(), Sizes: a.sizer.Sizes(), Throttled: a.throttledKinds}
	for _, t := range a.statuses {
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

// orderStart admits an attempt and starts it in the runtime.
func (a *Agent) orderStart(s *linker.Session, order linker.TaskOrder) {
	if a.Runtime == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.statuses[order.Start.AttemptRef]; known || a.fencing || time.Now().Before(a.startsFrom) {
		// A known attempt runs or has run; the report says how it ended, and a
		// refusal would say that it never started.
		return
	}
	verdict, err := a.leaser.Order(time.Now(), order.Start)
	switch verdict {
	case leaser.Ignore:
		return
	case leaser.Refuse:
		_ = s.Send(linker.Frame{Refused: &linker.TaskRefusal{Ref: order.Start.AttemptRef, Err: err}})
		return
	}
	order.Start.NotAfter = a.leaser.Permit()
	go a.startTask(s, order.Start)
}

func (a *Agent) startTask(s *linker.Session, start plantainrail.TaskStart) {
	ctx, cancel := context.WithTimeout(a.life, callLimit)
	defer cancel()
	a.mu.Lock()
	until := a.leaser.Lease()
	a.mu.Unlock()
	err := a.Runtime.Renew(ctx, until)
	if err == nil {
		err = a.Runtime.Start(ctx, start)
	}
	if err != nil {
		a.startFailed(s, start, err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.note([]plantainrail.TaskStatus{{
		AttemptRef: start.AttemptRef, Incarnation: start.Incarnation,
		Phase: plantainrail.PhaseRunning, Resources: start.Resources, Kind: start.Kind,
	}})
	a.Log.Info("task started", zap.String("task", start.Task), zap.Int64("attempt", start.Attempt))
}

// startFailed makes sure that the attempt does not run, and says so. The runtime
// may have taken the start although its reply was lost, so it is asked until it
// answers. An attempt that did run is reported as it ended.
func (a *Agent) startFailed(s *linker.Session, start plantainrail.TaskStart, cause error) {
	a.Log.Warn("task not started", zap.String("task", start.Task), zap.Error(cause))
	ended, ran, err := a.endAttempt(start.AttemptRef)
	for err != nil {
		select {
		case <-time.After(pollEvery):
		case <-a.life.Done():
			return
		}
		ended, ran, err = a.endAttempt(start.AttemptRef)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if ran {
		a.note([]plantainrail.TaskStatus{ended})
		return
	}
	a.leaser.Ended(start.AttemptRef)
	refusal := linker.TaskRefusal{Ref: start.AttemptRef, Err: plantainrail.NewError(plantainrail.CodeStartForbidden, "%v", cause)}
	_ = s.Send(linker.Frame{Refused: &refusal})
}

// endAttempt stops an attempt and tells whether it ever ran, and how it ended.
func (a *Agent) endAttempt(ref plantainrail.AttemptRef) (ended plantainrail.TaskStatus, ran bool, err error) {
	ctx, cancel := context.WithTimeout(a.life, callLimit)
	defer cancel()
	_, ended, ran, err = a.stopInRuntime(ctx, ref)
	return ended, ran, err
}

// stopTask checkpoints and stops an attempt. An attempt that never came here
// counts as released from then on, so that a late order does not start it.
func (a *Agent) stopTask(ctx context.Context, ref plantainrail.AttemptRef, reason string) {
	if a.Runtime == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	a.mu.Lock()
	status, known := a.statuses[ref]
	incarnation := a.leaser.Incarnation()
	starting := slices.Contains(a.leaser.Running(), ref)
	if known && status.Phase != plantainrail.PhaseRunning {
		a.mu.Unlock()
		return
	}
	if !known && !starting {
		a.leaser.Ended(ref)
	}
	a.mu.Unlock()
	if starting && !known {
		// The start is under way; the order to stop is repeated.
		return
	}
	ended := plantainrail.TaskStatus{AttemptRef: ref, Incarnation: incarnation, Phase: plantainrail.PhaseReleased, Reason: reason}
	if known {
		checkpoint, found, ran, err := a.stopInRuntime(ctx, ref)
		if err != nil {
			a.Log.Warn("task not stopped", zap.String("task", ref.Task), zap.Error(err))
			return
		}
		ended.Checkpoint = checkpoint
		if ran && found.Phase != plantainrail.PhaseReleased {
			ended = found
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.note([]plantainrail.TaskStatus{ended})
	a.Log.Info("task stopped", zap.String("task", ref.Task), zap.Int64("attempt", ref.Attempt), zap.String("phase", string(ended.Phase)), zap.String("cause", reason))
}

// stopInRuntime stops an attempt and returns its last checkpoint and what the
// runtime says of it, which may be that it finished or failed just before. It
// returns ran as false when the attempt never ran there.
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

// forgetTasks drops ended attempts whose end is in the log.
func (a *Agent) forgetTasks(ctx context.Context, refs []plantainrail.AttemptRef) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	for _, ref := range refs {
		if err := a.Runtime.Forget(ctx, ref); err != nil {
			return
		}
		a.mu.Lock()
		if a.statuses[ref].Phase != plantainrail.PhaseRunning {
			delete(a.statuses, ref)
			a.notify()
		}
		a.mu.Unlock()
	}
}

// fence stops every attempt of an incarnation that was given up, takes a new
// incarnation, and opens its sessions anew.
func (a *Agent) fence(ctx context.Context) {
	a.Log.Warn("incarnation given up; stopping every task")
	fresh := newID()
	for !a.fenceOnce(ctx, fresh) {
		time.Sleep(pollEvery)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.succeeds = a.leaser.Incarnation()
	a.leaser.Renounce(fresh)
	clear(a.statuses)
	a.fencing = false
	for _, l := range a.links {
		l.session.Close()
	}
}

func (a *Agent) fenceOnce(ctx context.Context, fresh string) bool {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	if err := a.Runtime.Hold(ctx, fresh); err != nil {
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
