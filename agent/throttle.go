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
	// throttleEvery is the pace at which the tasks' shares are reconsidered.
	throttleEvery = 200 * time.Millisecond
	// slackShare is the share of its objective at which a request counts as slow.
	slackShare = 0.5
)

// gauge gathers what became of requests since it was last read.
type gauge struct {
	ended, slow int
	parts       float64
}

func (g *gauge) add(took, objective time.Duration) {
	part := float64(took) / float64(objective)
	g.ended++
	g.parts += part
	if part > slackShare {
		g.slow++
	}
}

func (g *gauge) read() throttler.Window {
	w := throttler.Window{Ended: g.ended, Slow: g.slow}
	if g.ended > 0 {
		w.Slowdown = g.parts / float64(g.ended)
	}
	*g = gauge{}
	return w
}

// noteLatency measures a request whose answer has begun against the objective of
// its kind.
func (a *Agent) noteLatency(e *exchange) {
	a.mu.Lock()
	defer a.mu.Unlock()
	kind, ok := a.kinds.Kind(e.open.Kind)
	if !ok || kind.Feed || kind.SLOMS == 0 {
		return
	}
	a.gauge.add(time.Since(e.offered), time.Duration(kind.SLOMS)*time.Millisecond)
}

// throttle keeps the VM's tasks from slowing its targets too much.
func (a *Agent) throttle(ctx context.Context) error {
	ticker := time.NewTicker(throttleEvery)
	defer ticker.Stop()
	decisions := throttler.New()
	applied := map[plantainrail.AttemptRef]int{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			a.throttleOnce(ctx, decisions, applied)
		}
	}
}

// throttleOnce takes one step. A share that the runtime is not known to hold,
// because a call failed or an earlier agent made it, is sent again.
func (a *Agent) throttleOnce(ctx context.Context, decisions *throttler.Throttler, applied map[plantainrail.AttemptRef]int) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	a.mu.Lock()
	window := a.gauge.read()
	tasks := a.throttled()
	a.mu.Unlock()
	decisions.Step(window, tasks)
	a.mu.Lock()
	a.throttledKinds = decisions.Throttled(tasks)
	a.mu.Unlock()
	running := map[plantainrail.AttemptRef]bool{}
	for _, t := range tasks {
		running[t.AttemptRef] = true
		share := decisions.Share(t.AttemptRef)
		if applied[t.AttemptRef] == share {
			continue
		}
		if err := a.Runtime.Throttle(ctx, t.AttemptRef, share); err != nil {
			a.Log.Debug("task not throttled", zap.String("task", t.Task), zap.Error(err))
			continue
		}
		applied[t.AttemptRef] = share
	}
	maps.DeleteFunc(applied, func(ref plantainrail.AttemptRef, _ int) bool { return !running[ref] })
}

// throttled lists the running tasks of batch kinds. The caller holds the lock.
func (a *Agent) throttled() []throttler.Task {
	var tasks []throttler.Task
	for ref, t := range a.statuses {
		kind, known := a.kinds.Kind(t.Kind)
		if t.Phase != plantainrail.PhaseRunning || (known && kind.Class != plantainrail.ClassBatch) {
			continue
		}
		tasks = append(tasks, throttler.Task{AttemptRef: ref, Kind: t.Kind, Weight: kind.Weight})
	}
	return tasks
}

// parseKinds reads the rows of the table in force. The caller holds the lock.
func (a *Agent) parseKinds() {
	kinds, err := parser.Parse(a.table.CSV)
	if err != nil {
		a.Log.Warn("table not read", zap.Error(err))
		return
	}
	a.kinds = kinds
}
