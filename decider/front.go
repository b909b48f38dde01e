package decider

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

// storeRetry is when a client may come back after the store was out of reach.
const storeRetry = time.Second

// unknownWait is how long a call on a job that is not known waits for the
// records that may tell of it.
const unknownWait = 300 * time.Millisecond

// Ready implements plantainrail.Front.
func (d *Decider) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.settled && !d.stopping && d.Now().Sub(d.freshAt) < freshLimit
}

// Queue implements plantainrail.Front.
func (d *Decider) Queue(host, path string) (rule plantainrail.QueueRule, found, known bool) {
	d.mu.Lock()
	s, settled, fresh := d.settlement, d.settled, d.Now().Sub(d.ruledAt) < rulesLimit
	d.mu.Unlock()
	rule, found = s.Match(host, path)
	return rule, found, settled && (found || fresh)
}

// Submit implements plantainrail.Front.
func (d *Decider) Submit(ctx context.Context, w plantainrail.Workflow) plantainrail.Reply {
	d.mu.Lock()
	known, fresh := d.book.Job(w.ID) != nil, d.Now().Sub(d.freshAt) < freshLimit
	d.mu.Unlock()
	switch {
	case known:
		return plantainrail.Reply{Answer: plantainrail.AnswerOK}
	case !fresh:
		// The store was out of reach lately; there is no use in waiting for it.
		d.Logger.Info("job turned away", zap.String("job", w.ID), zap.String("queue", w.Queue.Name))
		return plantainrail.Reply{Answer: plantainrail.AnswerUnavailable, RetryAfter: storeRetry}
	}
	record, err := planner.Offer(w)
	if err != nil {
		d.Logger.Error("job not encoded", zap.String("job", w.ID), zap.Error(err))
		return plantainrail.Reply{Answer: plantainrail.AnswerUnavailable}
	}
	reply := d.persist(ctx, w.ID, record)
	d.Logger.Info("job offered", zap.String("job", w.ID), zap.String("queue", w.Queue.Name), zap.Int("answer", int(reply.Answer)))
	return reply
}

// persist writes the record of a job. A job that is read from the store meanwhile is
// accepted, also when the answer to its write was lost.
func (d *Decider) persist(ctx context.Context, id string, record plantainrail.KeyedRecord) plantainrail.Reply {
	written := make(chan error, 1)
	go func() { written <- d.writer.append(ctx, record) }()
	for {
		d.mu.Lock()
		known, moved := d.book.Job(id) != nil, d.moved
		d.mu.Unlock()
		if known {
			return plantainrail.Reply{Answer: plantainrail.AnswerOK}
		}
		select {
		case err := <-written:
			return answer(err)
		case <-moved:
		}
	}
}

// answer returns the reply to a call whose record was written with the result.
func answer(err error) plantainrail.Reply {
	switch {
	case err == nil:
		return plantainrail.Reply{Answer: plantainrail.AnswerOK}
	case errors.Is(err, plantainrail.ErrNotDone):
		return plantainrail.Reply{Answer: plantainrail.AnswerUnavailable, RetryAfter: storeRetry}
	}
	return plantainrail.Reply{Answer: plantainrail.AnswerUnknown}
}

// find returns what is shown of a job. It waits a little for one that is not
// known.
func (d *Decider) find(ctx context.Context, id string) (state planner.State, asked bool, reply plantainrail.Reply) {
	ctx, cancel := context.WithTimeout(ctx, unknownWait)
	defer cancel()
	for {
		d.mu.Lock()
		j, moved, fresh := d.book.Job(id), d.moved, d.Now().Sub(d.freshAt) < freshLimit
		if j != nil {
			defer d.mu.Unlock()
			return j.Shown(), j.CancelAsked, plantainrail.Reply{Answer: plantainrail.AnswerOK}
		}
		d.mu.Unlock()
		select {
		case <-moved:
		case <-ctx.Done():
			if fresh {
				return "", false, plantainrail.Reply{Answer: plantainrail.AnswerGone}
			}
			return "", false, plantainrail.Reply{Answer: plantainrail.AnswerUnavailable, RetryAfter: storeRetry}
		}
	}
}

// State implements plantainrail.Front.
func (d *Decider) State(ctx context.Context, id string) plantainrail.Reply {
	state, _, reply := d.find(ctx, id)
	reply.State = string(state)
	return reply
}

// Cancel implements plantainrail.Front.
func (d *Decider) Cancel(ctx context.Context, id string) plantainrail.Reply {
	state, asked, reply := d.find(ctx, id)
	if reply.Answer != plantainrail.AnswerOK || asked || state.Final() {
		return reply
	}
	reply = answer(d.writer.append(ctx, planner.Cancel(id)))
	d.Logger.Info("job cancelled", zap.String("job", id), zap.String("state", string(state)), zap.Int("answer", int(reply.Answer)))
	return reply
}

// Pending implements plantainrail.Front.
func (d *Decider) Pending(queue string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.book.Pending(queue)
}
