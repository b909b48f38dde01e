package planner

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
)

// Catalog holds what an entry that follows the store needs to know about each job: its
// queue and state, and the records from which an owner's Book is made. It decodes of a
// record only what clients ask for. Records may be repeated, and records of different
// topics may arrive in any order.
type Catalog struct {
	jobs map[string]*catalogJob
	// acceptedCount is the number of submissions so far; it gives catalogJob.arrival.
	acceptedCount int64
	retention     retention
	// loneCancels holds the cancellations of jobs whose submission is not stored, with the time at which each was
	// noted; zero until NoteEnds, for those in unnotedCancels.
	loneCancels    map[string]time.Time
	unnotedCancels []string
}

// catalogJob is a job of a Catalog. A cancellation or progress may be known before the
// submission; submitted is set once the latter was read, and accepted if it can be decoded.
type catalogJob struct {
	queue               string
	arrival             int64
	accepted, submitted bool
	cancelRequested     bool
	progress            progressSummary
	// progressDeleted means that the progress is no longer stored. replaced means that it is
	// that of a job whose submission was deleted, and a new submission begins anew.
	progressDeleted, replaced bool
	// notedAt is when the end, or the loss of the submission, was noted; see retention.
	notedAt time.Time
	// submission and progressRecord are the values of the records. They are dropped
	// once the job has ended and none of its tasks is placed. begun is set once progress of the
	// submission was read that has not ended. Before that the end may be the one of an earlier
	// job with the same ID, so the submission is kept for submissionGrace.
	submission, progressRecord []byte
	begun                      bool
}

// progressSummary is the part of the stored progress that is reported to clients. Its
// fields are those of progress; the incarnations are only counted.
type progressSummary struct {
	State        State             `cbor:"0,keyasint,omitempty"`
	Started      bool              `cbor:"1,keyasint,omitempty"`
	Incarnations []cbor.RawMessage `cbor:"2,keyasint,omitempty"`
}

// ended reports whether the job has ended and none of its tasks is placed.
func (s progressSummary) ended() bool { return s.State.Final() && len(s.Incarnations) == 0 }

// NewCatalog returns an empty Catalog.
func NewCatalog() *Catalog {
	return &Catalog{jobs: map[string]*catalogJob{}, loneCancels: map[string]time.Time{}}
}

// job returns the job with the ID, and creates it if it is unknown.
func (c *Catalog) job(id string) *catalogJob {
	j := c.jobs[id]
	if j == nil {
		j = &catalogJob{progress: progressSummary{State: Queued}}
		c.jobs[id] = j
	}
	return j
}

// ApplyJob applies a record of the jobs topic: a submission, a cancellation or the deletion of
// one. It returns an error, and accepts no job, if a submission cannot be decoded.
func (c *Catalog) ApplyJob(r plantainrail.KeyedRecord) error {
	if id, ok := strings.CutPrefix(r.Key, cancelKeyPrefix); ok {
		if len(r.Value) == 0 {
			c.deleteCancellation(id)
			return nil
		}
		c.job(id).cancelRequested = true
		c.updateLoneCancel(id)
		return nil
	}
	id, ok := strings.CutPrefix(r.Key, jobKeyPrefix)
	switch {
	case !ok:
		return nil
	case len(r.Value) == 0:
		c.deleteSubmission(id)
		return nil
	case c.Accepted(id):
		c.keepLaterSubmission(id, r)
		return nil
	}
	c.job(id).submitted = true
	c.updateLoneCancel(id)
	var submission struct {
		Queue plantainrail.Queue `cbor:"1,keyasint"`
	}
	if err := cbor.Unmarshal(r.Value, &submission); err != nil {
		return errors.Wrapf(err, "decode job %s", id)
	}
	c.acceptedCount++
	j := c.job(id)
	if j.replaced {
		j.resetProgress()
	}
	j.accepted, j.arrival, j.queue, j.submission, j.begun = true, c.acceptedCount, submission.Queue.Name, r.Value, false
	c.dropEnded(id, j)
	return nil
}

// ApplyProgress applies a record of the progress topic, whose key is the job's ID, or its
// deletion. It returns an error if the record cannot be decoded.
func (c *Catalog) ApplyProgress(r plantainrail.KeyedRecord) error {
	if len(r.Value) == 0 {
		c.deleteProgress(r.Key)
		return nil
	}
	var summary progressSummary
	if err := cbor.Unmarshal(r.Value, &summary); err != nil {
		return errors.Wrapf(err, "decode progress of job %s", r.Key)
	}
	j := c.job(r.Key)
	j.progress, j.progressRecord, j.progressDeleted = summary, r.Value, false
	if !summary.ended() {
		// Progress that has not ended follows a deletion only if it is that of a new job.
		j.replaced, j.begun = false, true
	}
	c.dropEnded(r.Key, j)
	return nil
}

// keepLaterSubmission keeps a submission of a job that is known to have ended, which may be that of a
// new job with its ID.
func (c *Catalog) keepLaterSubmission(id string, r plantainrail.KeyedRecord) {
	if j := c.jobs[id]; isEnded(j) {
		j.submission, j.begun = r.Value, false
		c.dropEnded(id, j)
	}
}

// dropEnded drops the records of a job that has ended and has no placed task, and has its end
// noted.
func (c *Catalog) dropEnded(id string, j *catalogJob) {
	if !j.progress.ended() {
		return
	}
	c.retention.unnoted = append(c.retention.unnoted, id)
	if !j.accepted {
		return
	}
	j.progressRecord = nil
	if j.begun {
		j.submission = nil
	}
}

// Accepted reports whether the submission of the job is known.
func (c *Catalog) Accepted(id string) bool {
	j := c.jobs[id]
	return j != nil && j.accepted
}

// State returns the state of a job as reported to clients (see Job.PublicState), and
// whether its cancellation was requested. It returns false if the submission is not known.
func (c *Catalog) State(id string) (state State, cancelRequested, accepted bool) {
	j := c.jobs[id]
	if j == nil || !j.accepted {
		return "", false, false
	}
	return publicState(j.progress.State, j.cancelRequested, j.progress.Started), j.cancelRequested, true
}

// Pending returns, by queue, the number of jobs in the public state Queued.
func (c *Catalog) Pending() map[string]int {
	out := map[string]int{}
	for _, j := range c.jobs {
		if j.accepted && publicState(j.progress.State, j.cancelRequested, j.progress.Started) == Queued {
			out[j.queue]++
		}
	}
	return out
}

// Book returns a Book of all jobs, decoded from their records. Of jobs that have ended
// and have no placed task it holds only the state. Jobs with a record that cannot be decoded
// are left out: without its progress a job could be run twice. There is an error for each.
func (c *Catalog) Book() (book *Book, unreadable []error) {
	b := NewBook()
	byArrival := func(x, y string) int { return cmp.Compare(c.jobs[x].arrival, c.jobs[y].arrival) }
	for _, id := range slices.SortedFunc(maps.Keys(c.jobs), byArrival) {
		if err := c.jobs[id].addTo(b, id); err != nil {
			delete(b.jobs, id)
			unreadable = append(unreadable, err)
		}
	}
	return b, unreadable
}

// addTo adds the job to a Book. It returns an error if a record cannot be decoded.
func (j *catalogJob) addTo(b *Book, id string) error {
	switch {
	case isOrphan(j):
		b.deleted[id] = true
	case isEnded(j):
		b.addEnded(id, j.progress.State)
	case j.accepted && len(j.submission) == 0:
		return errors.Errorf("submission of job %s was dropped with the end of an earlier job of its ID", id)
	case j.accepted:
		if _, err := b.ApplyJob(plantainrail.KeyedRecord{Key: jobKeyPrefix + id, Value: j.submission}); err != nil {
			return err
		}
	}
	if len(j.progressRecord) > 0 && !isOrphan(j) {
		if err := b.ApplyProgress(plantainrail.KeyedRecord{Key: id, Value: j.progressRecord}); err != nil {
			return err
		}
	}
	if j.cancelRequested {
		_, err := b.ApplyJob(NewCancelRecord(id))
		return err
	}
	return nil
}
