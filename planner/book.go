package planner

import (
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
)

// Prefixes of the record keys in the jobs topic; the job's ID follows.
const (
	jobKeyPrefix    = "j/"
	cancelKeyPrefix = "c/"
)

// Book is the owner's in-memory registry of the jobs: it holds every job that occurs in the
// store's records, with the state of each task. Entries that do not own the jobs keep a
// Catalog instead. Records may be repeated, and records of different
// topics may arrive in any order.
type Book struct {
	jobs map[string]*Job
	// pendingProgress holds progress records whose job is not known yet.
	pendingProgress map[string][]byte
	// pendingCancels holds cancellations whose job is not known yet.
	pendingCancels map[string]bool
	// deleted holds the jobs whose submission was deleted and whose progress may be stored.
	deleted map[string]bool
	// acceptedCount is the number of submissions decoded so far; it gives Job.arrival.
	acceptedCount int64
}

// NewBook returns an empty Book.
func NewBook() *Book {
	return &Book{jobs: map[string]*Job{}, pendingProgress: map[string][]byte{}, pendingCancels: map[string]bool{}, deleted: map[string]bool{}}
}

// NewJobRecord returns the record that makes a job accepted once it is stored. It
// returns an error if the workflow cannot be encoded.
func NewJobRecord(w plantainrail.Workflow) (plantainrail.KeyedRecord, error) {
	raw, err := cbor.Marshal(w)
	return plantainrail.KeyedRecord{Key: jobKeyPrefix + w.ID, Value: raw}, errors.Wrap(err, "encode job")
}

// decodeWorkflow decodes the value of a job's record. It returns an error if the value is
// none that NewJobRecord returns for a valid job with the ID.
func decodeWorkflow(id string, raw []byte) (plantainrail.Workflow, error) {
	var w plantainrail.Workflow
	if err := cbor.Unmarshal(raw, &w); err != nil {
		return w, errors.Wrapf(err, "decode job %s", id)
	}
	if w.ID != id {
		return w, errors.Errorf("record of job %s holds job %q", id, w.ID)
	}
	return w, errors.Wrapf(w.Validate(), "job %s", id)
}

// NewCancelRecord returns the record that requests the cancellation of a job. Its
// value is not read.
func NewCancelRecord(id string) plantainrail.KeyedRecord {
	return plantainrail.KeyedRecord{Key: cancelKeyPrefix + id, Value: []byte{1}}
}

// IsSubmission reports whether a record of the jobs topic submits a job.
func IsSubmission(r plantainrail.KeyedRecord) bool {
	return strings.HasPrefix(r.Key, jobKeyPrefix) && len(r.Value) > 0
}

// JobID returns the ID of the job that a record of the jobs topic belongs to.
func JobID(r plantainrail.KeyedRecord) string {
	return strings.TrimPrefix(strings.TrimPrefix(r.Key, jobKeyPrefix), cancelKeyPrefix)
}

// Job returns the job with the ID, or nil if it is unknown.
func (b *Book) Job(id string) *Job { return b.jobs[id] }

// UnknownProgress returns the number of jobs whose progress is known but whose submission is not.
func (b *Book) UnknownProgress() int { return len(b.pendingProgress) }

// addEnded adds a job that has ended and has no placed task. Its steps are not known.
func (b *Book) addEnded(id string, state State) {
	b.acceptedCount++
	j := newJob(plantainrail.Workflow{ID: id}, b.acceptedCount)
	j.State = state
	b.jobs[id] = j
}

// ApplyJob applies a record of the jobs topic, a submission, a cancellation or the deletion of
// one, and returns the job that it added or changed, or nil if there is none. It
// returns an error, and adds no job, if the record or the progress that was read before
// it cannot be decoded.
func (b *Book) ApplyJob(r plantainrail.KeyedRecord) (*Job, error) {
	if id, ok := strings.CutPrefix(r.Key, cancelKeyPrefix); ok {
		j := b.jobs[id]
		if len(r.Value) == 0 {
			delete(b.pendingCancels, id)
			return nil, nil
		}
		if j == nil {
			b.pendingCancels[id] = true
			return nil, nil
		}
		if j.CancelRequested {
			return nil, nil
		}
		j.CancelRequested = true
		return j, nil
	}
	id, ok := strings.CutPrefix(r.Key, jobKeyPrefix)
	switch {
	case !ok || b.jobs[id] != nil && len(r.Value) > 0:
		return nil, nil
	case len(r.Value) == 0:
		b.deleteJob(id)
		return nil, nil
	}
	w, err := decodeWorkflow(id, r.Value)
	if err != nil {
		return nil, err
	}
	b.acceptedCount++
	j := newJob(w, b.acceptedCount)
	j.CancelRequested = b.pendingCancels[id]
	delete(b.pendingCancels, id)
	if raw, ok := b.pendingProgress[id]; ok {
		delete(b.pendingProgress, id)
		if err := j.restore(raw); err != nil {
			return nil, err
		}
	}
	b.jobs[id] = j
	return j, nil
}

// ApplyProgress applies a record of the progress topic, whose key is the job's ID. If
// the job is unknown, the record is kept until ApplyJob adds the job. ApplyProgress
// returns an error if the record of a known job cannot be decoded.
func (b *Book) ApplyProgress(r plantainrail.KeyedRecord) error {
	j := b.jobs[r.Key]
	if j == nil {
		b.pendingProgress[r.Key] = r.Value
		return nil
	}
	return j.restore(r.Value)
}
