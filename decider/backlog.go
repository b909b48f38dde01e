package decider

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
	"github.com/plantainrail/plantainrail/ranker"
)

const (
	// maxBacklogAge bounds the age of the backlog by which a job is refused. With an older one none is.
	maxBacklogAge = 3 * time.Second
	// backlogInterval is how often the owner publishes its backlog while it has one. With the interval of the pings,
	// and a second for the store, an entry's figure stays below maxBacklogAge.
	backlogInterval = time.Second
)

// backlog is what an entry knows of the owner's backlog.
type backlog struct {
	// queues holds the queues without enough capacity, by name.
	queues map[string]ranker.Backlog
	// asOf is a time at which the figure had not been stored yet; zero if there is none.
	asOf time.Time
}

// withAnswer returns the newer one of the backlog and that of a replica's answer to a query that was sent at the
// given time.
func (b backlog) withAnswer(a jobAnswer, sentAt time.Time) backlog {
	if a.BacklogAgeMS == nil || *a.BacklogAgeMS < 0 || *a.BacklogAgeMS > maxBacklogAge.Milliseconds() {
		return b
	}
	asOf := sentAt.Add(-time.Duration(*a.BacklogAgeMS) * time.Millisecond)
	if asOf.Before(b.asOf) {
		return b
	}
	return backlog{queues: a.Backlog, asOf: asOf}
}

// answer returns the backlog and its age in milliseconds for another entry, or nil if it is too old.
func (b backlog) answer(now time.Time) (queues map[string]ranker.Backlog, ageMS *int64) {
	if !b.fresh(now) {
		return nil, nil
	}
	// Rounded up.
	age := (now.Sub(b.asOf) + time.Millisecond - 1).Milliseconds()
	return b.queues, &age
}

func (b backlog) fresh(now time.Time) bool { return now.Sub(b.asOf) < maxBacklogAge }

// noteHeartbeatBacklog notes the backlog of a heartbeat that was not stored yet at the given time. A heartbeat that cannot be decoded, or
// of a previous build, has none. The caller holds the lock.
func (d *Decider) noteHeartbeatBacklog(value []byte, asOf time.Time) {
	var h heartbeat
	var queues map[string]ranker.Backlog
	if err := cbor.Unmarshal(value, &h); err != nil {
		return
	}
	if len(h.Backlog) > 0 && cbor.Unmarshal(h.Backlog, &queues) != nil {
		return
	}
	d.backlog = backlog{queues: queues, asOf: asOf}
}

// noteOwnBacklog notes the backlog of a heartbeat that this entry has written as the owner.
func (d *Decider) noteOwnBacklog(value []byte, asOf time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noteHeartbeatBacklog(value, asOf)
}

// refuseLate reports whether a job is refused since it would end too late, and returns the reply. It is not if an
// earlier try of the client may have stored it.
func (d *Decider) refuseLate(ctx context.Context, w plantainrail.Workflow) (plantainrail.Reply, bool) {
	d.mu.Lock()
	known, now := d.backlog, d.Now()
	d.mu.Unlock()
	ahead, scarce := known.queues[w.Queue.Name]
	if !scarce || !known.fresh(now) {
		return plantainrail.Reply{}, false
	}
	retryAfter, refused := planner.Refuse(ahead, w, rand.Float64())
	if !refused {
		return plantainrail.Reply{}, false
	}
	if job := d.findJob(ctx, jobQuery{ID: w.ID, Current: true}); !job.absent() {
		return plantainrail.Reply{}, false
	}
	d.Logger.Info("job refused", zap.String("job", w.ID), zap.String("queue", w.Queue.Name), zap.Int64("tasksAhead", ahead.TaskMS),
		zap.Int64("fillersAhead", ahead.FillerMS), zap.Int64("age", now.Sub(known.asOf).Milliseconds()), zap.Int64("retryAfter", retryAfter.Milliseconds()))
	return plantainrail.Reply{Result: plantainrail.CallRejected, RetryAfter: retryAfter}, true
}

// awaitCurrentJob is awaitJob for an answer that holds as of the call: it reads the jobs first, unless another call
// has read them since. AbsenceRead is set if that succeeds.
func (d *Decider) awaitCurrentJob(ctx context.Context, id string) jobAnswer {
	since := d.Now()
	select {
	case d.currentReads <- struct{}{}:
		defer func() { <-d.currentReads }()
	case <-ctx.Done():
		return jobAnswer{Result: plantainrail.CallUnavailable}
	}
	d.mu.Lock()
	whole := d.jobs.asOf.After(since)
	d.mu.Unlock()
	if !whole {
		_, read, err := d.advance(ctx, d.jobs, 0)
		if err != nil {
			d.Logger.Debug("jobs not read", zap.String("job", id), zap.Error(err))
		}
		whole = read && err == nil
	}
	answer := d.awaitJob(ctx, jobQuery{ID: id, Immediate: true}, since)
	answer.AbsenceRead = whole
	return answer
}
