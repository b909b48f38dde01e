package planner

import (
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
)

// Keys of the topic of jobs start with one of these; the job's ID follows.
const (
	offerKey  = "j/"
	cancelKey = "c/"
)

// Book holds every job that the store's records tell of. Records may come more
// than once and out of the order in which they were written to other topics.
type Book struct {
	jobs map[string]*Job
	// progress keeps states whose job is not known yet.
	progress map[string][]byte
	// cancels keeps cancels whose job is not known yet.
	cancels map[string]bool
	count   int64
}

// NewBook returns an empty Book.
func NewBook() *Book {
	return &Book{jobs: map[string]*Job{}, progress: map[string][]byte{}, cancels: map[string]bool{}}
}

// Offer returns the record that makes a job accepted.
func Offer(w plantainrail.Workflow) (plantainrail.KeyedRecord, error) {
	raw, err := cbor.Marshal(w)
	return plantainrail.KeyedRecord{Key: offerKey + w.ID, Value: raw}, errors.Wrap(err, "encode job")
}

// Cancel returns the record that cancels a job.
func Cancel(id string) plantainrail.KeyedRecord {
	return plantainrail.KeyedRecord{Key: cancelKey + id, Value: []byte{1}}
}

// JobOf returns the ID of the job that a record of the topic of jobs is about.
func JobOf(r plantainrail.KeyedRecord) string {
	return strings.TrimPrefix(strings.TrimPrefix(r.Key, offerKey), cancelKey)
}

// Job returns a job by its ID, or nil.
func (b *Book) Job(id string) *Job { return b.jobs[id] }

// Pending counts the queue's jobs of which no task has started.
func (b *Book) Pending(queue string) int {
	n := 0
	for _, j := range b.jobs {
		if j.Queue.Name == queue && j.Shown() == Queued {
			n++
		}
	}
	return n
}

// TakeJob takes in a record of the topic of jobs and returns the job that it
// changed, or nil.
func (b *Book) TakeJob(r plantainrail.KeyedRecord) (*Job, error) {
	if id, ok := strings.CutPrefix(r.Key, cancelKey); ok {
		j := b.jobs[id]
		if j == nil {
			b.cancels[id] = true
			return nil, nil
		}
		if j.CancelAsked {
			return nil, nil
		}
		j.CancelAsked = true
		return j, nil
	}
	id, ok := strings.CutPrefix(r.Key, offerKey)
	if !ok || b.jobs[id] != nil || len(r.Value) == 0 {
		return nil, nil
	}
	var w plantainrail.Workflow
	if err := cbor.Unmarshal(r.Value, &w); err != nil {
		return nil, errors.Wrapf(err, "decode job %s", id)
	}
	b.count++
	j := newJob(w, b.count)
	j.CancelAsked = b.cancels[id]
	delete(b.cancels, id)
	if raw, ok := b.progress[id]; ok {
		delete(b.progress, id)
		if err := j.restore(raw); err != nil {
			return nil, err
		}
	}
	b.jobs[id] = j
	return j, nil
}

// TakeProgress takes in a record of the topic of progress.
func (b *Book) TakeProgress(r plantainrail.KeyedRecord) error {
	j := b.jobs[r.Key]
	if j == nil {
		b.progress[r.Key] = r.Value
		return nil
	}
	return j.restore(r.Value)
}

// Clone returns a copy that shares nothing that changes.
func (b *Book) Clone() (*Book, error) {
	out := NewBook()
	out.count = b.count
	for id, j := range b.jobs {
		copied := newJob(j.Workflow, j.order)
		raw, err := j.Progress()
		if err != nil {
			return nil, err
		}
		if err := copied.restore(raw); err != nil {
			return nil, err
		}
		copied.CancelAsked = j.CancelAsked
		out.jobs[id] = copied
	}
	for id, raw := range b.progress {
		out.progress[id] = raw
	}
	for id := range b.cancels {
		out.cancels[id] = true
	}
	return out, nil
}
