package decider

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/linker"
	"github.com/plantainrail/plantainrail/planner"
)

// A start may be wrong if something has changed that the owner has not read: the operators have
// evacuated a zone, a client has cancelled the job, another entry owns the jobs. That the store
// accepts the owner's writes does not show that the owner has read anything. So each order to start
// a run has a limit, which follows from the ages of the views that the order rests on. The owner
// sends no starts whose limit is too near, but reads first, and the agent starts nothing after the
// limit, however long the order was on its way.

const (
	// defaultEvacuationBound and defaultCancelBound are used if the settings do not tell within
	// what time starts must end.
	defaultEvacuationBound = 5 * time.Second
	defaultCancelBound     = 3 * time.Second
	// maxStartMargin bounds the part of a bound that is left between the limit of a start and the
	// bound: for a call to the worker that is under way, and for clocks of different speed.
	maxStartMargin = 500 * time.Millisecond
	// maxStartWindow bounds the part of a bound that an agent needs to receive and carry out an
	// order.
	maxStartWindow = 500 * time.Millisecond
	// maxStartBytes bounds the starts that are on their way to an agent, in bytes. A link of 10 Mbit/s carries them in
	// 0.4 s, so that they arrive within maxStartWindow.
	maxStartBytes = 512 << 10
)

// startBound is the time after a change within which starts that contradict it must end.
type startBound time.Duration

// limit returns when the last start may be sent to a worker that rests on a view that is whole as
// of the given time.
func (b startBound) limit(asOf time.Time) time.Time {
	return asOf.Add(time.Duration(b) - min(maxStartMargin, time.Duration(b)/4))
}

// pollWait returns the maximum wait of a long poll of a topic, so that its view is usually young
// enough for starts: the given one, or half of the greatest age of the view.
func (b startBound) pollWait(byDefault time.Duration) time.Duration {
	maxAge := time.Duration(b) - min(maxStartMargin, time.Duration(b)/4) - b.window()
	return min(byDefault, maxAge/2)
}

// window returns the time that an order must leave to its agent.
func (b startBound) window() time.Duration { return min(maxStartWindow, time.Duration(b)/4) }

// knowledge is something that starts rest on: all that was stored until asOf is known, and the bound
// tells within what time starts must follow a change.
type knowledge struct {
	asOf  time.Time
	bound startBound
}

// startLimit returns the time until which workers may be told to start what rests on all of this,
// and whether this leaves the agents enough time.
func startLimit(now time.Time, known ...knowledge) (until time.Time, enough bool) {
	enough = true
	for i, k := range known {
		limit := k.bound.limit(k.asOf)
		if i == 0 || limit.Before(until) {
			until = limit
		}
		enough = enough && limit.Sub(now) >= k.bound.window()
	}
	return until, enough
}

// startBounds are the bounds of what starts rest on. An owner's progress is as old as the newest
// write that the store has accepted.
func (d *Decider) startBounds() (operators, jobs, progress startBound) {
	operators, jobs = startBound(defaultEvacuationBound), startBound(defaultCancelBound)
	if d.EvacuationBound > 0 {
		operators = startBound(d.EvacuationBound)
	}
	if d.CancelBound > 0 {
		jobs = startBound(d.CancelBound)
	}
	return operators, jobs, startBound(renewalWindow)
}

// noteRead records as of when the views are whole, once what was read has reached the planner.
func (o *owner) noteRead(operators, jobs time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.operatorsAsOf, o.jobsAsOf = operators, jobs
}

// startLimit is the limit of what the owner orders now; see the function of this name. The caller
// holds the lock.
func (o *owner) startLimit() (until time.Time, enough bool) {
	operators, jobs, progress := o.decider.startBounds()
	return startLimit(o.decider.Now(),
		knowledge{o.operatorsAsOf, operators}, knowledge{o.jobsAsOf, jobs}, knowledge{o.confirmedWriteAt, progress})
}

// sendOrders sends orders to an agent, in parts if they are large, with the limit of the starts among them. Renewals
// of the lease are not sent this way, since they must not wait for the parts. If the session has
// ended, the agent gets all runs again when it reconnects. The caller holds the lock.
func (o *owner) sendOrders(a *agentSession, orders *linker.WorkOrders) {
	if len(orders.Starts) > 0 {
		orders.StartLimit = o.limitFor(a)
	}
	var frames []linker.Frame
	for _, part := range orders.Parts(a.acceptsParts) {
		frames = append(frames, linker.Frame{Orders: &part})
	}
	_ = a.session.SendInOrder(frames...)
}

// limitFor returns the limit of starts that are ordered now, as an agent can measure it. The caller
// holds the lock.
func (o *owner) limitFor(a *agentSession) *linker.StartLimit {
	until, _ := o.startLimit()
	return &linker.StartLimit{Heard: a.heard, WithinMS: until.Sub(a.heardAt).Milliseconds()}
}

// ageFields returns the ages of what starts rest on, in milliseconds. The caller holds the lock.
func (o *owner) ageFields() []zap.Field {
	now := o.decider.Now()
	age := func(asOf time.Time) int64 { return now.Sub(asOf).Milliseconds() }
	return []zap.Field{
		zap.Int64("operators_age", age(o.operatorsAsOf)), zap.Int64("jobs_age", age(o.jobsAsOf)), zap.Int64("progress_age", age(o.confirmedWriteAt)),
	}
}

// releaseStarts returns the assignments that may be ordered now: the given ones, which are stored,
// and those that waited. If the views are too old, it returns none and reads
// them in the background; the next round tries again. Starts of agents that have enough on their way wait
// too. The caller holds the lock.
func (o *owner) releaseStarts(ctx context.Context, stored []planner.Assignment) []planner.Assignment {
	starts := append(o.waitingStarts, stored...)
	if len(starts) == 0 {
		return nil
	}
	if _, enough := o.startLimit(); enough {
		if !o.startsWaitSince.IsZero() {
			o.decider.Logger.Info("starts go on", zap.Int("starts", len(starts)),
				zap.Int64("waited", o.decider.Now().Sub(o.startsWaitSince).Milliseconds()))
		}
		o.startsWaitSince = time.Time{}
		starts, o.waitingStarts = o.splitStarts(starts)
		return starts
	}
	if o.startsWaitSince.IsZero() {
		o.startsWaitSince = o.decider.Now()
		o.decider.Logger.Warn("starts wait for a read", append(o.ageFields(), zap.Int("starts", len(starts)))...)
	}
	o.waitingStarts = starts
	if !o.reading {
		o.reading = true
		go o.readViews(ctx)
	}
	return nil
}

// splitStarts divides assignments into those that their agents get within the time for a start, and those that wait
// until what is on its way has arrived: they would expire before. The caller holds the lock.
func (o *owner) splitStarts(starts []planner.Assignment) (now, later []planner.Assignment) {
	bytes := map[plantainrail.WorkerIncarnation]int{}
	for _, start := range starts {
		a := o.agents[start.Incarnation]
		if a != nil && (bytes[start.Incarnation] >= maxStartBytes || a.session.SendingParts()) {
			later = append(later, start)
			continue
		}
		bytes[start.Incarnation] += linker.OrderBytes(start.Order)
		now = append(now, start)
	}
	return now, later
}

// readViews reads what the operators and the clients have written, and requests a round.
func (o *owner) readViews(ctx context.Context) {
	group, groupCtx := errgroup.WithContext(ctx)
	for _, v := range []*view{o.decider.operators, o.decider.jobs} {
		group.Go(func() error { return o.decider.catchUp(groupCtx, v) })
	}
	// An error means that the ownership has ended.
	_ = group.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reading = false
	o.requestRound()
}
