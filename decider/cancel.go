package decider

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

// That a job is absent from what was read proves nothing about a submission that is still under way: one that an entry
// has given up, forwards or relays, or that the store carries out late. So a cancellation is acknowledged only once it is
// stored, also for a job that is not known, and holds for each submission that is stored after it.

// Cancel implements plantainrail.JobService. It writes nothing if the job has ended
// or its cancellation was requested before.
func (d *Decider) Cancel(ctx context.Context, id string) plantainrail.Reply {
	arrivedAt := d.Now()
	job := d.findJob(ctx, jobQuery{ID: id, Immediate: true})
	switch {
	case job.Result == plantainrail.CallNotFound:
		return d.cancelUnknown(ctx, id, arrivedAt)
	case job.Result != plantainrail.CallOK || job.CancelRequested || job.State.Final():
		job.State = ""
		return job.reply()
	}
	reply := replyFor(d.write(ctx, planner.NewCancelRecord(id)))
	d.logCancel(id, job.State, reply)
	return reply
}

// cancelUnknown cancels a job that findJob has not found. The reply is CallNotFound if no job was stored before the
// call, and CallOK if one was or that is not known.
func (d *Decider) cancelUnknown(ctx context.Context, id string, arrivedAt time.Time) plantainrail.Reply {
	confirmed := make(chan jobAnswer, 1)
	go func() { confirmed <- d.confirmAbsence(ctx, id, arrivedAt) }()
	reply := replyFor(d.write(ctx, planner.NewCancelRecord(id)))
	if reply.Result == plantainrail.CallOK && (<-confirmed).absent() {
		reply.Result = plantainrail.CallNotFound
	}
	d.logCancel(id, "", reply)
	return reply
}

// logCancel logs the result of a cancellation. The state is the job's before it, empty if the job is not known, and
// "answer" the number of the plantainrail.CallResult.
func (d *Decider) logCancel(id string, state planner.State, reply plantainrail.Reply) {
	d.Logger.Info("job cancelled", zap.String("job", id), zap.String("state", string(state)), zap.Int("answer", int(reply.Result)))
}

// checkRoom returns an error if the record is a cancellation of an unknown job and too many of these are stored. An
// entry that does not follow the jobs cannot tell.
func (d *Decider) checkRoom(record plantainrail.KeyedRecord) error {
	if !planner.IsCancellation(record) {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.catalog.LoneCancels() < maxLoneCancels || !d.catalog.NeedsRoom(planner.JobID(record)) {
		return nil
	}
	return errors.Wrap(plantainrail.ErrRejected, "too many cancellations of unknown jobs")
}

// appendRecord stores a record of the jobs topic through the entry's own writer, whose errors it returns.
func (d *Decider) appendRecord(ctx context.Context, record plantainrail.KeyedRecord) error {
	if err := d.checkRoom(record); err != nil {
		return err
	}
	err := d.writer.append(ctx, record)
	d.noteFull(err)
	return err
}
