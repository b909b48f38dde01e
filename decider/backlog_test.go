package decider

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
	"github.com/plantainrail/plantainrail/ranker"
)

var nightBacklog = map[string]ranker.Backlog{"night": {TaskMS: 1e9}}

// quietStore is a store whose topics are empty. It counts the reads and can fail them.
type quietStore struct {
	plantainrail.Store
	reads int
	err   error
}

func (s *quietStore) Read(context.Context, string, plantainrail.Offset, time.Duration) (plantainrail.KeyedBatch, error) {
	s.reads++
	return plantainrail.KeyedBatch{}, s.err
}

// Load pattern: a backlog in one queue. Guards against a refusal by a figure that is too old or of no owner, against one
// of a job that an earlier try may have stored, and against a read of the store for each of the jobs that are accepted.
func TestRefusalNeedsFreshFigure(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	job := plantainrail.Workflow{
		ID: "1", Queue: plantainrail.Queue{Name: "night", Priority: 2, StretchFactor: 2}, Steps: []plantainrail.Step{{Count: 1, CPU: 1000, Estimate: 100}},
	}
	for _, c := range []struct {
		name           string
		age            time.Duration
		change         func(w *plantainrail.Workflow, d *Decider, s *quietStore)
		refused, reads bool
	}{
		{"fresh", 2900 * time.Millisecond, func(*plantainrail.Workflow, *Decider, *quietStore) {}, true, true},
		{"too old", maxBacklogAge, func(*plantainrail.Workflow, *Decider, *quietStore) {}, false, false},
		{"no figure", 0, func(_ *plantainrail.Workflow, d *Decider, _ *quietStore) { d.backlog = backlog{} }, false, false},
		{"queue with capacity", 0, func(w *plantainrail.Workflow, _ *Decider, _ *quietStore) { w.Queue.Name = "day" }, false, false},
		{"highest priority", 0, func(w *plantainrail.Workflow, _ *Decider, _ *quietStore) { w.Queue.Priority = 0 }, false, false},
		{"scheduled", 0, func(w *plantainrail.Workflow, _ *Decider, _ *quietStore) { w.Repetitions = 1 }, false, false},
		{"long-running", 0, func(w *plantainrail.Workflow, _ *Decider, _ *quietStore) { w.Steps[0].Lasting = true }, false, false},
		{"stored before", 0, func(w *plantainrail.Workflow, d *Decider, _ *quietStore) {
			record, err := planner.NewJobRecord(*w)
			assert.NilError(t, err)
			assert.NilError(t, d.catalog.ApplyJob(record))
		}, false, true},
		{"store out of reach", 0, func(_ *plantainrail.Workflow, _ *Decider, s *quietStore) { s.err = plantainrail.ErrRejected }, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			store, w := &quietStore{}, job
			w.Steps = []plantainrail.Step{job.Steps[0]}
			d := New(Options{Name: "a", Zone: "z", Logger: zap.NewNop(), Store: store, Now: func() time.Time { return now }})
			makeReplica(d)
			d.ownerSeenAt, d.jobs.next, d.jobs.asOf, d.progress.asOf = now, 0, now, now
			d.backlog = backlog{queues: nightBacklog, asOf: now.Add(-c.age)}
			c.change(&w, d, store)
			reply, refused := d.refuseLate(t.Context(), w)
			assert.Equal(t, refused, c.refused)
			assert.Equal(t, refused, reply.Result == plantainrail.CallRejected && reply.RetryAfter >= time.Second)
			assert.Equal(t, store.reads > 0, c.reads)
		})
	}
}

// Load pattern: as above, while builds are replaced. Guards against a figure that looks younger than it is after it has
// passed through the store and a replica, and against one that an older figure replaces.
func TestBacklogAgesOnItsWay(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	d := New(Options{Name: "a", Zone: "z", Logger: zap.NewNop(), Now: func() time.Time { return now }})
	record, err := newBacklogHeartbeat(7, now, nightBacklog, now)
	assert.NilError(t, err)
	d.noteHeartbeatBacklog(record.Value, now.Add(-time.Second))
	queues, age := d.backlog.answer(now.Add(500 * time.Millisecond))
	assert.DeepEqual(t, queues["night"].TaskMS, int64(1e9))
	assert.Equal(t, *age, int64(1500))
	sentAt := now.Add(time.Minute)
	entry := backlog{}.withAnswer(jobAnswer{Backlog: queues, BacklogAgeMS: age}, sentAt)
	assert.Equal(t, entry.asOf, sentAt.Add(-1500*time.Millisecond))
	older := int64(2000)
	assert.Equal(t, entry.withAnswer(jobAnswer{BacklogAgeMS: &older}, sentAt).asOf, entry.asOf)
	assert.Equal(t, entry.withAnswer(jobAnswer{}, sentAt).asOf, entry.asOf, "a replica of the previous build")
	_, age = d.backlog.answer(now.Add(2 * time.Second))
	assert.Assert(t, age == nil)
	// A heartbeat of an owner with capacity, or of the previous build, ends the refusals.
	record, err = newHeartbeat(7, now, now)
	assert.NilError(t, err)
	d.noteHeartbeatBacklog(record.Value, now)
	assert.Equal(t, len(d.backlog.queues), 0)
}
