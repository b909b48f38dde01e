package planner

import (
	"time"

	"github.com/plantainrail/plantainrail"
)

// retention tells since when the jobs of a Catalog have ended. An ended job leaves the store in
// two steps: first its submission and cancellation, and later its progress. In the other order
// a reader would find a submission without progress, which is a job that has not begun.
type retention struct {
	// unnoted holds the jobs that have ended, or lost their submission, since the last NoteEnds.
	unnoted []string
	// ended holds the ended jobs, orphans those without a submission, and kept those whose
	// submissions are kept, by the time of NoteEnds. An entry whose job has changed since is stale.
	ended, orphans, kept []endedJob
}

// submissionGrace is how long the submission of a job is kept of which only the end was read. The
// end may be that of an earlier job with the same ID; the first progress of a new one is stored
// within a few seconds, also by the next owner.
const submissionGrace = 30 * time.Second

// endedJob is a job that has ended, with the time at which this was noted.
type endedJob struct {
	id      string
	notedAt time.Time
}

// NoteEnds notes the time as the end of the jobs whose end was applied since the last call, and as that of the
// cancellations of unknown jobs. It is not before the true time, so a catalog that has just been read counts from then.
func (c *Catalog) NoteEnds(now time.Time) {
	c.noteLoneCancels(now)
	for _, id := range c.retention.unnoted {
		j := c.jobs[id]
		if j == nil || !j.progress.ended() {
			continue
		}
		j.notedAt = now
		switch {
		case j.accepted:
			c.retention.ended = append(c.retention.ended, endedJob{id, now})
			if len(j.submission) > 0 {
				c.retention.kept = append(c.retention.kept, endedJob{id, now})
			}
		case !j.submitted:
			c.retention.orphans = append(c.retention.orphans, endedJob{id, now})
		}
	}
	c.retention.unnoted = nil
	c.retention.ended = c.dropStale(c.retention.ended, isEnded)
	c.retention.orphans = c.dropStale(c.retention.orphans, isOrphan)
	c.dropSubmissions(now.Add(-submissionGrace))
}

// dropSubmissions drops the kept submissions of the jobs whose end was noted at the given time or
// before.
func (c *Catalog) dropSubmissions(until time.Time) {
	kept := c.retention.kept
	for len(kept) > 0 && !kept[0].notedAt.After(until) {
		if c.holds(kept[0], isEnded) {
			c.jobs[kept[0].id].submission = nil
		}
		kept = kept[1:]
	}
	c.retention.kept = kept
}

func isEnded(j *catalogJob) bool { return j.accepted && j.progress.ended() }

// isOrphan reports whether only the progress of an ended job is left. A submission that cannot be
// decoded counts as one: another build may be able to run it.
func isOrphan(j *catalogJob) bool { return !j.submitted && j.progress.ended() }

// holds reports whether the entry is not stale.
func (c *Catalog) holds(e endedJob, is func(*catalogJob) bool) bool {
	j := c.jobs[e.id]
	return j != nil && j.notedAt.Equal(e.notedAt) && is(j)
}

// dropStale drops the stale entries at the start of the list.
func (c *Catalog) dropStale(list []endedJob, is func(*catalogJob) bool) []endedJob {
	for len(list) > 0 && !c.holds(list[0], is) {
		list = list[1:]
	}
	return list
}

// due returns the jobs of a list that were noted at the given time or before, at most the given
// number.
func (c *Catalog) due(list []endedJob, until time.Time, limit int, is func(*catalogJob) bool) []string {
	var out []string
	for _, e := range list {
		if len(out) == limit || e.notedAt.After(until) {
			break
		}
		if c.holds(e, is) {
			out = append(out, e.id)
		}
	}
	return out
}

// JobDeletions returns the records of the jobs topic that delete the submissions and
// cancellations of the jobs whose end was noted at the given time or before. It covers at most
// the given number of jobs, and returns the same ones until the deletions are applied.
func (c *Catalog) JobDeletions(until time.Time, limit int) []plantainrail.KeyedRecord {
	var out []plantainrail.KeyedRecord
	for _, id := range c.due(c.retention.ended, until, limit, isEnded) {
		out = append(out, plantainrail.KeyedRecord{Key: jobKeyPrefix + id})
		if c.jobs[id].cancelRequested {
			out = append(out, plantainrail.KeyedRecord{Key: cancelKeyPrefix + id})
		}
	}
	return out
}

// ProgressDeletions returns the records of the progress topic that delete what is left of jobs
// without a submission for which this was noted at the given time or before, at most the given
// number. The catalog must hold all submissions that were stored before that progress.
func (c *Catalog) ProgressDeletions(until time.Time, limit int) []plantainrail.KeyedRecord {
	var out []plantainrail.KeyedRecord
	for _, id := range c.due(c.retention.orphans, until, limit, isOrphan) {
		out = append(out, plantainrail.KeyedRecord{Key: id})
	}
	return out
}

// deleteSubmission applies the deletion of a submission. What was known of the job is of no use
// for a later job with the same ID.
func (c *Catalog) deleteSubmission(id string) {
	j := c.jobs[id]
	if j == nil || !j.submitted {
		return
	}
	// Progress that has not ended is that of a new job with the ID.
	j.queue, j.submission, j.accepted, j.submitted, j.replaced = "", nil, false, false, j.progress.ended()
	if j.progressDeleted {
		j.resetProgress()
	}
	c.retention.unnoted = append(c.retention.unnoted, id)
	c.updateLoneCancel(id)
	c.dropUnknown(id)
}

// deleteCancellation applies the deletion of a cancellation.
func (c *Catalog) deleteCancellation(id string) {
	if j := c.jobs[id]; j != nil {
		j.cancelRequested = false
		c.updateLoneCancel(id)
		c.dropUnknown(id)
	}
}

// deleteProgress applies the deletion of progress. While the submission is known, the state
// stays: the submission was deleted before, and that has not been read yet.
func (c *Catalog) deleteProgress(id string) {
	j := c.jobs[id]
	switch {
	case j == nil:
	case j.submitted:
		j.progressDeleted = true
	default:
		j.resetProgress()
		c.dropUnknown(id)
	}
}

// resetProgress makes the job one that has not begun.
func (j *catalogJob) resetProgress() {
	j.progress, j.progressRecord, j.progressDeleted, j.replaced = progressSummary{State: Queued}, nil, false, false
}

// dropUnknown drops a job of which the store holds no record.
func (c *Catalog) dropUnknown(id string) {
	if j := c.jobs[id]; !j.submitted && !j.cancelRequested && !j.progressKnown() {
		delete(c.jobs, id)
	}
}

// progressKnown reports whether progress of the job was applied.
func (j *catalogJob) progressKnown() bool { return j.progressRecord != nil || j.progress.ended() }

// deleteJob applies the deletion of a submission. A job that has not ended goes on to its end;
// an owner deletes none.
func (b *Book) deleteJob(id string) {
	j := b.jobs[id]
	if j == nil || !j.ended() {
		return
	}
	delete(b.jobs, id)
	b.deleted[id] = true
}

// ended reports whether the job has ended and none of its tasks is placed.
func (j *Job) ended() bool {
	placed := false
	j.eachTask(func(_ plantainrail.TaskID, t *Task) { placed = placed || t.Phase == Placed })
	return j.State.Final() && !placed
}

// ForgetDeleted drops the jobs whose progress the records delete. A later submission of their
// IDs then finds nothing of them.
func (b *Book) ForgetDeleted(records []plantainrail.KeyedRecord) {
	for _, r := range records {
		delete(b.deleted, r.Key)
	}
}
