package decider

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/clocker"
	"github.com/plantainrail/plantainrail/planner"
)

// storeRetryAfter is the time after which a client may retry a call that failed
// because the store was unreachable or had not stored the record.
const storeRetryAfter = time.Second

// unknownJobWait bounds how long a call on an unknown job waits for the job's
// record, which another entry may just have written.
const unknownJobWait = 300 * time.Millisecond

// Ready implements plantainrail.JobService. The entry is ready if it has read the
// operators' configuration, has read the store recently and is not stopping.
func (d *Decider) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.configured && !d.stopping && d.storeReadRecently()
}

// storeReadRecently reports whether a read of the store has succeeded within maxJobsAge:
// of the jobs topic if the entry follows it, and of the operators' topic otherwise. The
// caller holds the lock.
func (d *Decider) storeReadRecently() bool {
	asOf := d.operators.asOf
	if d.follows() {
		asOf = d.jobs.asOf
	}
	return d.Now().Sub(asOf) < maxJobsAge
}

// Queue implements plantainrail.JobService. It reports a path without a queue as known
// only if the configuration was read within maxConfigurationAge, since a queue may have
// been added later.
func (d *Decider) Queue(host, path string) (rule plantainrail.QueueRule, found, known bool) {
	d.mu.Lock()
	configuration, configured, fresh := d.configuration, d.configured, d.Now().Sub(d.operators.asOf) < maxConfigurationAge
	d.mu.Unlock()
	rule, found = configuration.Match(host, path)
	return rule, found, configured && (found || fresh)
}

// Submit implements plantainrail.JobService. If a job with this ID is in the entry's catalog
// (see planner.Catalog) already, it returns success and writes nothing, without comparing
// the contents of the two jobs. An entry that does not follow the jobs writes the job again;
// the first record of an ID counts. A job that is too large for the store is refused for good.
func (d *Decider) Submit(ctx context.Context, w plantainrail.Workflow) plantainrail.Reply {
	d.mu.Lock()
	known, fresh, room := d.catalog.Accepted(w.ID), d.storeReadRecently(), d.storeHasRoom()
	d.mu.Unlock()
	switch {
	case known:
		return plantainrail.Reply{Result: plantainrail.CallOK}
	case !fresh, !room:
		// No read has succeeded within maxJobsAge, so the store is probably unreachable, or the
		// store has no room. The job is rejected without a try to write it.
		d.Logger.Info("job turned away", zap.String("job", w.ID), zap.String("queue", w.Queue.Name))
		return plantainrail.Reply{Result: plantainrail.CallUnavailable, RetryAfter: storeRetryAfter}
	}
	if reply, refused := d.refuseLate(ctx, w); refused {
		return reply
	}
	w.AcceptedMS = d.Now().UnixMilli()
	record, err := planner.NewJobRecord(w)
	if err != nil {
		d.Logger.Error("job not encoded", zap.String("job", w.ID), zap.Error(err))
		return plantainrail.Reply{Result: plantainrail.CallUnavailable}
	}
	reply, tooLarge := d.refuseTooLarge(ctx, w, record)
	if !tooLarge {
		reply = d.persist(ctx, w.ID, record)
	}
	// This event is logged for every result, also if the job was not stored. The field
	// "answer" is the number of the plantainrail.CallResult.
	d.Logger.Info("job offered", zap.String("job", w.ID), zap.String("queue", w.Queue.Name), zap.Int("answer", int(reply.Result)))
	return reply
}

// refuseTooLarge reports whether the job's record, or that of its progress at its largest,
// exceeds what the store accepts, and returns the reply for such a job. A job that was
// accepted before, by a build without this limit, gets the same answer as then.
func (d *Decider) refuseTooLarge(ctx context.Context, w plantainrail.Workflow, record plantainrail.KeyedRecord) (plantainrail.Reply, bool) {
	size := storedSize(w, record)
	if d.StoreLimits.FitsRecord(size) {
		return plantainrail.Reply{}, false
	}
	d.Logger.Warn("job too large", zap.String("job", w.ID), zap.String("queue", w.Queue.Name), zap.Int("bytes", size), zap.Int("limit", d.StoreLimits.RecordBytes))
	job := d.findJob(ctx, jobQuery{ID: w.ID})
	job.State = ""
	if job.Result == plantainrail.CallNotFound {
		job.Result = plantainrail.CallTooLarge
	}
	return job.reply(), true
}

// persist writes the record of a job and returns the reply to its client. A job
// that is read from the store in the meantime is accepted, even if the store's
// reply to the write was lost.
func (d *Decider) persist(ctx context.Context, id string, record plantainrail.KeyedRecord) plantainrail.Reply {
	written := make(chan error, 1)
	go func() { written <- d.write(ctx, record) }()
	check := clocker.NewTicker(acceptanceCheckInterval)
	defer check.Stop()
	for {
		d.mu.Lock()
		known, follows, changed := d.catalog.Accepted(id), d.follows(), d.stateChanged
		d.mu.Unlock()
		if known {
			return plantainrail.Reply{Result: plantainrail.CallOK}
		}
		select {
		case err := <-written:
			return replyFor(err)
		case <-changed:
		case <-check.C:
			if !follows && d.findJob(ctx, jobQuery{ID: id, Immediate: true}).Result == plantainrail.CallOK {
				return plantainrail.Reply{Result: plantainrail.CallOK}
			}
		}
	}
}

// replyFor returns the reply to a call whose write returned this error, which may
// be nil. After any error other than ErrRejected and ErrUnacceptable the record may have
// been stored.
func replyFor(err error) plantainrail.Reply {
	switch {
	case err == nil:
		return plantainrail.Reply{Result: plantainrail.CallOK}
	case errors.Is(err, plantainrail.ErrRejected):
		return plantainrail.Reply{Result: plantainrail.CallUnavailable, RetryAfter: storeRetryAfter}
	case errors.Is(err, plantainrail.ErrUnacceptable):
		return plantainrail.Reply{Result: plantainrail.CallTooLarge}
	}
	return plantainrail.Reply{Result: plantainrail.CallUncertain}
}

// State implements plantainrail.JobService.
func (d *Decider) State(ctx context.Context, id string) plantainrail.Reply {
	return d.findJob(ctx, jobQuery{ID: id}).reply()
}

// reply returns the reply to a client.
func (a jobAnswer) reply() plantainrail.Reply {
	out := plantainrail.Reply{Result: a.Result, State: string(a.State)}
	if a.Result == plantainrail.CallUnavailable {
		out.RetryAfter = storeRetryAfter
	}
	return out
}

// maxPendingAge bounds the age of the numbers of pending jobs, which an entry gets with
// each ping of its replica.
const maxPendingAge = 1500 * time.Millisecond

// PendingJobs implements plantainrail.JobService. The numbers are those of the entry's own
// catalog once it has read the jobs, and otherwise those of a replica. If they would be older
// than maxJobsAge, the result is CallUnavailable.
func (d *Decider) PendingJobs(ctx context.Context, queue string) (int, plantainrail.Reply) {
	d.mu.Lock()
	pending, fresh, answers := d.pending, d.Now().Sub(d.pendingReadAt) < maxPendingAge, d.catalogRead()
	d.mu.Unlock()
	if answers || !fresh {
		answer := d.findJob(ctx, jobQuery{})
		if answer.Result == plantainrail.CallOK && !answer.Fresh {
			answer.Result = plantainrail.CallUnavailable
		}
		if answer.Result != plantainrail.CallOK {
			return 0, answer.reply()
		}
		pending = answer.Pending
	}
	return pending[queue], plantainrail.Reply{Result: plantainrail.CallOK}
}
