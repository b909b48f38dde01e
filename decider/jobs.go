package decider

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

// storeRetryAfter is the time after which a client may retry a call that failed
// because the store was unreachable or had not stored the record.
const storeRetryAfter = time.Second

// unknownJobWait bounds how long a call on an unknown job waits for the job's
// record, which another entry may just have written.
const unknownJobWait = 300 * time.Millisecond

// Ready implements plantainrail.JobService. The entry is ready if it has read the
// operators' configuration, has read the jobs topic recently and is not stopping.
func (d *Decider) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.configured && !d.stopping && d.Now().Sub(d.jobsReadAt) < maxJobsAge
}

// Queue implements plantainrail.JobService. It reports a path without a queue as known
// only if the configuration was read within maxConfigurationAge, since a queue may have
// been added later.
func (d *Decider) Queue(host, path string) (rule plantainrail.QueueRule, found, known bool) {
	d.mu.Lock()
	configuration, configured, fresh := d.configuration, d.configured, d.Now().Sub(d.configurationReadAt) < maxConfigurationAge
	d.mu.Unlock()
	rule, found = configuration.Match(host, path)
	return rule, found, configured && (found || fresh)
}

// Submit implements plantainrail.JobService. If a job with this ID is in the book (see
// planner.Book) already, it returns success and writes nothing, without comparing the
// contents of the two jobs.
func (d *Decider) Submit(ctx context.Context, w plantainrail.Workflow) plantainrail.Reply {
	d.mu.Lock()
	known, fresh := d.book.Job(w.ID) != nil, d.Now().Sub(d.jobsReadAt) < maxJobsAge
	d.mu.Unlock()
	switch {
	case known:
		return plantainrail.Reply{Result: plantainrail.CallOK}
	case !fresh:
		// No read of the jobs topic has succeeded within maxJobsAge, so the store is
		// probably unreachable. The job is rejected without a try to write it.
		d.Logger.Info("job turned away", zap.String("job", w.ID), zap.String("queue", w.Queue.Name))
		return plantainrail.Reply{Result: plantainrail.CallUnavailable, RetryAfter: storeRetryAfter}
	}
	record, err := planner.NewJobRecord(w)
	if err != nil {
		d.Logger.Error("job not encoded", zap.String("job", w.ID), zap.Error(err))
		return plantainrail.Reply{Result: plantainrail.CallUnavailable}
	}
	reply := d.persist(ctx, w.ID, record)
	// This event is logged for every result, also if the job was not stored. The field
	// "answer" is the number of the plantainrail.CallResult.
	d.Logger.Info("job offered", zap.String("job", w.ID), zap.String("queue", w.Queue.Name), zap.Int("answer", int(reply.Result)))
	return reply
}

// persist writes the record of a job and returns the reply to its client. A job
// that is read from the store in the meantime is accepted, even if the store's
// reply to the write was lost.
func (d *Decider) persist(ctx context.Context, id string, record plantainrail.KeyedRecord) plantainrail.Reply {
	written := make(chan error, 1)
	go func() { written <- d.writer.append(ctx, record) }()
	for {
		d.mu.Lock()
		known, changed := d.book.Job(id) != nil, d.bookChanged
		d.mu.Unlock()
		if known {
			return plantainrail.Reply{Result: plantainrail.CallOK}
		}
		select {
		case err := <-written:
			return replyFor(err)
		case <-changed:
		}
	}
}

// replyFor returns the reply to a call whose write returned this error, which may
// be nil. After any error other than ErrRejected the record may have been stored.
func replyFor(err error) plantainrail.Reply {
	switch {
	case err == nil:
		return plantainrail.Reply{Result: plantainrail.CallOK}
	case errors.Is(err, plantainrail.ErrRejected):
		return plantainrail.Reply{Result: plantainrail.CallUnavailable, RetryAfter: storeRetryAfter}
	}
	return plantainrail.Reply{Result: plantainrail.CallUncertain}
}

// findJob returns the state of a job as reported to clients, and whether its
// cancellation was requested. It waits up to unknownJobWait for an unknown job. If
// the job stays unknown, the reply is CallNotFound or, if no read of the jobs topic has
// succeeded within maxJobsAge, CallUnavailable, since the job may exist.
func (d *Decider) findJob(ctx context.Context, id string) (state planner.State, cancelRequested bool, reply plantainrail.Reply) {
	ctx, cancel := context.WithTimeout(ctx, unknownJobWait)
	defer cancel()
	for {
		d.mu.Lock()
		j, changed, fresh := d.book.Job(id), d.bookChanged, d.Now().Sub(d.jobsReadAt) < maxJobsAge
		if j != nil {
			defer d.mu.Unlock()
			return j.PublicState(), j.CancelRequested, plantainrail.Reply{Result: plantainrail.CallOK}
		}
		d.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			if fresh {
				return "", false, plantainrail.Reply{Result: plantainrail.CallNotFound}
			}
			return "", false, plantainrail.Reply{Result: plantainrail.CallUnavailable, RetryAfter: storeRetryAfter}
		}
	}
}

// State implements plantainrail.JobService.
func (d *Decider) State(ctx context.Context, id string) plantainrail.Reply {
	state, _, reply := d.findJob(ctx, id)
	reply.State = string(state)
	return reply
}

// Cancel implements plantainrail.JobService. It writes nothing if the job has ended
// or its cancellation was requested before.
func (d *Decider) Cancel(ctx context.Context, id string) plantainrail.Reply {
	state, cancelRequested, reply := d.findJob(ctx, id)
	if reply.Result != plantainrail.CallOK || cancelRequested || state.Final() {
		return reply
	}
	reply = replyFor(d.writer.append(ctx, planner.NewCancelRecord(id)))
	// This event is logged for every result, as in Submit. The field "state" is the job's
	// state before the write.
	d.Logger.Info("job cancelled", zap.String("job", id), zap.String("state", string(state)), zap.Int("answer", int(reply.Result)))
	return reply
}

// PendingJobs implements plantainrail.JobService.
func (d *Decider) PendingJobs(queue string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.book.Pending(queue)
}
