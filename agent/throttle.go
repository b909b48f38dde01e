package agent

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/parser"
	"github.com/plantainrail/plantainrail/throttler"
)

const (
	// throttleInterval is the interval at which the tasks' processor shares are
	// recalculated.
	throttleInterval = 200 * time.Millisecond
	// slowFraction is the fraction of its latency objective above which a request
	// counts as slow.
	slowFraction = 0.5
)

// latencyWindow accumulates the latencies of requests, relative to their objectives,
// since it was last read.
type latencyWindow struct {
	// measured counts the requests, and slow those of them above slowFraction.
	measured, slow int
	// fractionSum is the sum of the latencies as fractions of the objective.
	fractionSum float64
}

// add adds the latency of a request whose kind has the objective.
func (l *latencyWindow) add(duration, objective time.Duration) {
	fraction := float64(duration) / float64(objective)
	l.measured++
	l.fractionSum += fraction
	if fraction > slowFraction {
		l.slow++
	}
}

// readAndReset returns the accumulated measurements and starts a new window.
func (l *latencyWindow) readAndReset() throttler.Measurements {
	w := throttler.Measurements{Ended: l.measured, Slow: l.slow}
	if l.measured > 0 {
		w.Slowdown = l.fractionSum / float64(l.measured)
	}
	*l = latencyWindow{}
	return w
}

// recordRequestLatency records the time from the arrival of a request to the beginning of its
// response, relative to the objective of its kind. Event streams and kinds without an
// objective are not measured.
func (a *Agent) recordRequestLatency(e *exchange) {
	a.mu.Lock()
	defer a.mu.Unlock()
	kind, ok := a.parsedTable.Kind(e.request.Kind)
	if !ok || kind.Feed || kind.SLOMS == 0 {
		return
	}
	a.latencies.add(time.Since(e.arrivedAt), time.Duration(kind.SLOMS)*time.Millisecond)
}

// throttle adjusts the processor shares of the VM's batch tasks at a fixed interval to
// protect the latency of its targets. It returns nil when the context ends.
func (a *Agent) throttle(ctx context.Context) error {
	ticker := time.NewTicker(throttleInterval)
	defer ticker.Stop()
	controller := throttler.New()
	applied := map[plantainrail.AttemptRef]int{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			a.throttleOnce(ctx, controller, applied)
		}
	}
}

// throttleOnce recalculates and applies the shares. Applied holds the shares that the
// runtime has confirmed. Any other share is sent, also one that the controller did not
// change: a call may have failed, or an earlier agent may have set another share.
func (a *Agent) throttleOnce(ctx context.Context, controller *throttler.Throttler, applied map[plantainrail.AttemptRef]int) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a.mu.Lock()
	measurements := a.latencies.readAndReset()
	tasks := a.batchTasks()
	a.mu.Unlock()
	controller.Update(measurements, tasks)
	a.mu.Lock()
	a.throttledKinds = controller.Throttled(tasks)
	a.mu.Unlock()
	running := map[plantainrail.AttemptRef]bool{}
	for _, t := range tasks {
		running[t.AttemptRef] = true
		share := controller.Share(t.AttemptRef)
		if applied[t.AttemptRef] == share {
			continue
		}
		if err := a.Runtime.Throttle(ctx, t.AttemptRef, share); err != nil {
			a.Log.Debug("failed to throttle task", zap.String("task", t.Task), zap.Error(err))
			continue
		}
		applied[t.AttemptRef] = share
	}
	maps.DeleteFunc(applied, func(ref plantainrail.AttemptRef, _ int) bool { return !running[ref] })
}

// batchTasks returns the running tasks of batch and unknown kinds. The caller holds
// the lock.
func (a *Agent) batchTasks() []throttler.Task {
	var tasks []throttler.Task
	for ref, t := range a.taskStatuses {
		kind, known := a.parsedTable.Kind(t.Kind)
		if t.Phase != plantainrail.PhaseRunning || (known && kind.Class != plantainrail.ClassBatch) {
			continue
		}
		tasks = append(tasks, throttler.Task{AttemptRef: ref, Kind: t.Kind, Weight: kind.Weight})
	}
	return tasks
}

// parseTable sets parsedTable from tableUpdate. If that cannot be parsed, it logs the
// error and keeps the previous rows. The caller holds the lock.
func (a *Agent) parseTable() {
	table, err := parser.Parse(a.tableUpdate.CSV)
	if err != nil {
		a.Log.Warn("failed to parse the table", zap.Error(err))
		return
	}
	a.parsedTable = table
}
