package decider

import (
	"cmp"
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/clocker"
)

const (
	// defaultStatusDuration is used if Options.StatusDuration is 0.
	defaultStatusDuration = 2 * time.Minute
	// retentionMargin is how much longer than the clients may ask for its state an ended job is
	// kept. Requests and writes that were sent before its end may arrive that late; without
	// the job they would make it run again.
	retentionMargin = 3 * time.Minute
	// loneCancelTime is how long the cancellation of an unknown job is kept: submissions that were sent before it may be
	// stored that late.
	loneCancelTime = retentionMargin
	// maxLoneCancels bounds the cancellations of unknown jobs that are stored. Each takes 24 bytes in the store, and some
	// 400 bytes in the memory of an entry that follows the jobs.
	maxLoneCancels = 10_000
	// progressGrace is the time from the deletion of a submission to that of the progress. An
	// entry of an earlier build, which ignores deletions, reads the lists of both topics well
	// within it.
	progressGrace = 30 * time.Second
	// deletionInterval is the time between two appends of deletions to the jobs topic.
	deletionInterval = 2 * time.Second
	// maxDeletions bounds the jobs of one append of deletions to the jobs topic. It then takes at
	// most 40 kB.
	maxDeletions = 512
	// maxProgressDeletions bounds the deletions among the records of a round: one kB, so that they
	// find room in a full store.
	maxProgressDeletions = 64
)

// retention is how long an ended job is kept.
func (d *Decider) retention() time.Duration {
	return cmp.Or(d.StatusDuration, defaultStatusDuration) + retentionMargin
}

// deleteJobs deletes the submissions of jobs that have ended long ago, and old cancellations of unknown jobs, until the
// context ends.
//
// The jobs topic is not fenced. So an append is done only if the topic still ends where this
// entry has read it: one that is carried out late, or by a replaced owner, cannot delete a later
// submission of the same ID. After a failure the same jobs are deleted by a later try, and fewer at
// a time if the store has no room.
func (o *owner) deleteJobs(ctx context.Context) {
	d, limit := o.decider, maxDeletions
	for clocker.Sleep(ctx, deletionInterval) == nil {
		d.mu.Lock()
		records, at := d.catalog.JobDeletions(d.Now().Add(-d.retention()), limit), d.jobs.next
		records = append(records, d.catalog.CancelDeletions(d.Now().Add(-loneCancelTime), limit)...)
		d.mu.Unlock()
		if len(records) == 0 {
			continue
		}
		_, err := d.Store.Append(ctx, plantainrail.AppendCall{Topic: jobsTopic, At: &at, Records: records})
		d.noteFull(err)
		var moved *plantainrail.OffsetMismatchError
		switch {
		case err == nil:
			limit = min(2*limit, maxDeletions)
			d.Logger.Info("ended jobs deleted", zap.Int("records", len(records)), zap.Int64("offset", int64(at)))
		case errors.Is(err, plantainrail.ErrFull):
			limit = max(limit/2, 1)
			fallthrough
		case !errors.As(err, &moved):
			d.Logger.Warn("ended jobs not deleted", zap.Int("records", len(records)), zap.Error(err))
		}
	}
}

// progressDeletions returns the records that delete the progress of jobs whose submissions were
// deleted. They must precede the other records of an append: a later submission of the same ID
// may have progress among these. The submissions are gone for each later owner, since the views
// of both topics are whole at a takeover.
func (o *owner) progressDeletions() []plantainrail.KeyedRecord {
	d := o.decider
	d.mu.Lock()
	defer d.mu.Unlock()
	records := d.catalog.ProgressDeletions(d.Now().Add(-progressGrace), maxProgressDeletions)
	if len(records) > 0 {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.planner.Book.ForgetDeleted(records)
	}
	return records
}
