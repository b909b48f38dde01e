package decider

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/clocker"
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
	reply := replyFor(d.writeHedged(ctx, planner.NewCancelRecord(id)))
	d.logCancel(id, job.State, reply)
	return reply
}

// cancelUnknown cancels a job that findJob has not found. The reply is CallNotFound if no job was stored before the
// call, and CallOK if one was or that is not known.
func (d *Decider) cancelUnknown(ctx context.Context, id string, arrivedAt time.Time) plantainrail.Reply {
	confirmed := make(chan jobAnswer, 1)
	go func() { confirmed <- d.confirmAbsence(ctx, id, arrivedAt) }()
	reply := replyFor(d.writeHedged(ctx, planner.NewCancelRecord(id)))
	if reply.Result == plantainrail.CallOK && (<-confirmed).absent() {
		reply.Result = plantainrail.CallNotFound
	}
	d.logCancel(id, "", reply)
	return reply
}

// cancelHedgeDelay is the time without an answer after which a cancellation is written in the next way as well.
const cancelHedgeDelay = 500 * time.Millisecond

// writeHedged stores a cancellation like write. Once that has no answer for cancelHedgeDelay, it asks another replica as
// well, and after as long again it writes the record itself if it had forwarded it. The entry and the replica of its zone
// may have lost the store without having noticed. Further copies of the record are harmless.
func (d *Decider) writeHedged(ctx context.Context, record plantainrail.KeyedRecord) error {
	d.mu.Lock()
	addresses := d.replicaAddresses()
	d.mu.Unlock()
	first, forwards := d.forwardAddress()
	addresses = slices.DeleteFunc(addresses, func(address string) bool { return forwards && address == first })
	ways := []func() error{func() error { return d.write(ctx, record) }}
	if len(addresses) > 0 {
		ways = append(ways, func() error { return d.forwardTo(ctx, addresses[0], record) })
	}
	if forwards {
		ways = append(ways, func() error { return d.appendRecord(ctx, record) })
	}
	outcomes := make(chan error, len(ways))
	begun, pending := 0, 0
	begin := func() {
		way := ways[begun]
		begun, pending = begun+1, pending+1
		go func() { outcomes <- way() }()
	}
	hedge := clocker.NewTicker(cancelHedgeDelay)
	defer hedge.Stop()
	var tries plantainrail.WriteTries
	for begin(); pending > 0; {
		select {
		case <-hedge.C:
			if begun < len(ways) {
				begin()
			}
		case err := <-outcomes:
			pending--
			if err == nil || begun == 1 && !maybeDone(err) {
				return err
			}
			tries = tries.With(err)
			if begun < len(ways) {
				begin()
			}
		}
	}
	return tries.Err()
}

// maybeDone reports whether a write with the error may have taken effect.
func maybeDone(err error) bool { return plantainrail.WriteTries{}.With(err).MaybeDone() }

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
