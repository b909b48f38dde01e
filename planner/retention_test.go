package planner_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

// completedJob returns the catalog of an entry that has read a completed job "a" at the time of
// the harness, and the job's submission and progress.
func completedJob(t *testing.T, h *harness) (c *planner.Catalog, submission, progress plantainrail.KeyedRecord) {
	t.Helper()
	h.submit("a", plantainrail.Step{Count: 1, CPU: 1_000})
	h.reportEnd(h.tick().Assignments[0], 1, plantainrail.RunDone)
	h.tick()
	submission, progress = h.jobRecords[0], plantainrail.KeyedRecord{Key: "a", Value: h.stored["a"]}
	c = planner.NewCatalog()
	assert.NilError(t, c.ApplyJob(submission))
	assert.NilError(t, c.ApplyProgress(progress))
	c.NoteEnds(h.now)
	return c, submission, progress
}

// Guards against a job that runs again (TWICE) or never (LOST) on an entry that reads the
// deletions and a later submission in an order of its own.
func TestDeletionsInAnyOrder(t *testing.T) {
	for _, c := range []struct {
		name string
		// records are the topics of the records that are read: d and D are the deletions of
		// submission and progress, s is the submission.
		records string
		state   planner.State
		known   bool
	}{
		{"submission deleted", "d", "", false},
		{"progress read first", "D", planner.Completed, true},
		{"both deleted", "dD", "", false},
		{"both deleted, progress read first", "Dd", "", false},
		{"submitted again", "dDs", planner.Queued, true},
		{"submitted again, progress read first", "Dds", planner.Queued, true},
		{"submitted again before the progress is deleted", "ds", planner.Queued, true},
		{"submitted again, and then the progress is deleted", "dsD", planner.Queued, true},
		{"submitted twice", "s", planner.Completed, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, newVM("vm-0", 64_000))
			catalog, submission, progress := completedJob(t, h)
			for _, r := range c.records {
				switch r {
				case 'd':
					assert.NilError(t, catalog.ApplyJob(plantainrail.KeyedRecord{Key: submission.Key}))
				case 'D':
					assert.NilError(t, catalog.ApplyProgress(plantainrail.KeyedRecord{Key: progress.Key}))
				case 's':
					assert.NilError(t, catalog.ApplyJob(submission))
				}
			}
			state, _, known := catalog.State("a")
			assert.Equal(t, known, c.known)
			assert.Equal(t, state, c.state)
			assert.Equal(t, catalog.Known() > 0, c.known || c.records == "d", "nothing is kept of a job without records")
			book, unreadable := catalog.Book()
			assert.DeepEqual(t, unreadable, []error(nil))
			assert.Equal(t, book.UnknownProgress(), 0)
			next := planner.New(book, timeouts, h.now)
			next.UpdateWorker(newVM("vm-0", 64_000), h.now)
			assert.Equal(t, len(next.Tick(h.now).Assignments) > 0, c.state == planner.Queued)
		})
	}
}

// Guards against deletions that come too early, or without a bound on those of one append, and
// against progress that is deleted while the submission is stored.
func TestDeletionsAreDueInOrder(t *testing.T) {
	h := newHarness(t, newVM("vm-0", 64_000))
	c, submission, _ := completedJob(t, h)
	assert.NilError(t, c.ApplyJob(planner.NewCancelRecord("a")))
	later := h.now.Add(time.Minute)
	assert.Equal(t, len(c.JobDeletions(h.now.Add(-1), 9)), 0)
	assert.Equal(t, len(c.JobDeletions(later, 0)), 0)
	assert.DeepEqual(t, c.JobDeletions(h.now, 1), []plantainrail.KeyedRecord{{Key: "j/a"}, {Key: "c/a"}})
	assert.Equal(t, len(c.ProgressDeletions(later, 9)), 0)
	for _, r := range c.JobDeletions(h.now, 1) {
		assert.NilError(t, c.ApplyJob(r))
	}
	c.NoteEnds(later)
	assert.Equal(t, len(c.JobDeletions(later, 9)), 0)
	assert.Equal(t, len(c.ProgressDeletions(later.Add(-1), 9)), 0)
	assert.DeepEqual(t, c.ProgressDeletions(later, 9), []plantainrail.KeyedRecord{{Key: "a"}})
	assert.NilError(t, c.ApplyJob(submission))
	assert.Equal(t, len(c.ProgressDeletions(later, 9)), 0)
}

// Guards against an owner whose memory keeps deleted jobs, and against a new job whose stored
// progress is that of an ended one with its ID, so that the next owner never runs it (LOST).
func TestOwnerForgetsDeletedJobs(t *testing.T) {
	h := newHarness(t, newVM("vm-0", 64_000))
	c, submission, progress := completedJob(t, h)
	h.submit("b", plantainrail.Step{Count: 1, CPU: 1_000})
	for _, key := range []string{"j/a", "j/b"} {
		assert.NilError(t, h.planner.ApplyJob(plantainrail.KeyedRecord{Key: key}, h.now))
	}
	assert.Assert(t, h.planner.Book.Job("a") == nil)
	assert.Assert(t, h.planner.Book.Job("b") != nil, "only an ended job is forgotten")

	assert.NilError(t, c.ApplyJob(plantainrail.KeyedRecord{Key: "j/a"}))
	book, _ := c.Book()
	for name, p := range map[string]*planner.Planner{"the owner that deleted it": h.planner, "the next owner": planner.New(book, timeouts, h.now)} {
		assert.NilError(t, p.ApplyJob(submission, h.now), name)
		changed := false
		for _, j := range p.Tick(h.now).Changed {
			changed = changed || j.ID == progress.Key
		}
		assert.Assert(t, changed, name)
	}
}

// Guards against a job that runs again (TWICE), or that no owner knows (LOST), on an entry that reads
// the submission and progress of a new job with the ID of an ended one in an order of its own.
func TestNewJobWithTheIDOfADeletedOne(t *testing.T) {
	// d is the deletion of the submission, s the new submission, p the progress of the new job. The
	// deletion of the old progress does not exist: p has replaced it.
	for _, c := range []struct {
		records string
		// list means that the entry begins with lists of the newest records, which hold no d.
		list bool
	}{{"dsp", false}, {"dps", false}, {"pds", false}, {"sp", true}, {"sp", false}} {
		t.Run(fmt.Sprint(c.records, c.list), func(t *testing.T) {
			h := newHarness(t, newVM("vm-0", 64_000))
			catalog, submission, old := completedJob(t, h)
			if c.list {
				catalog = planner.NewCatalog()
			}
			// The new job's progress: its task is placed.
			other := newHarness(t, newVM("vm-0", 64_000))
			other.submit("a", plantainrail.Step{Count: 1, CPU: 1_000})
			assert.Equal(t, len(other.tick().Assignments), 1)
			progress := plantainrail.KeyedRecord{Key: "a", Value: other.stored["a"]}
			for _, r := range c.records {
				switch r {
				case 'd':
					assert.NilError(t, catalog.ApplyJob(plantainrail.KeyedRecord{Key: submission.Key}))
				case 's':
					assert.NilError(t, catalog.ApplyJob(submission))
					if c.list {
						// The list of the progress is answered before the owner has stored the new job's.
						assert.NilError(t, catalog.ApplyProgress(old))
					}
				case 'p':
					assert.NilError(t, catalog.ApplyProgress(progress))
				}
				catalog.NoteEnds(h.now)
			}
			book, unreadable := catalog.Book()
			assert.DeepEqual(t, unreadable, []error(nil))
			assert.Assert(t, book.Job("a") != nil, "the new owner does not know the job")
			assert.Equal(t, book.UnknownProgress(), 0)
			next := planner.New(book, timeouts, h.now)
			next.UpdateWorker(newVM("vm-0", 64_000), h.now)
			assert.Equal(t, len(next.Tick(h.now).Assignments), 0, "the task is placed already")
		})
	}
}

// Guards against an entry whose memory keeps the submissions of ended jobs that it has only listed.
func TestSubmissionsOfEndedJobsAreDropped(t *testing.T) {
	h := newHarness(t, newVM("vm-0", 64_000))
	_, submission, ended := completedJob(t, h)
	other := newHarness(t, newVM("vm-0", 64_000))
	other.submit("a", plantainrail.Step{Count: 1, CPU: 1_000})
	other.tick()
	for wait, dropped := range map[time.Duration]bool{20 * time.Second: false, 31 * time.Second: true} {
		c := planner.NewCatalog()
		assert.NilError(t, c.ApplyJob(submission))
		assert.NilError(t, c.ApplyProgress(ended))
		c.NoteEnds(h.now)
		c.NoteEnds(h.now.Add(wait))
		assert.NilError(t, c.ApplyProgress(plantainrail.KeyedRecord{Key: "a", Value: other.stored["a"]}))
		book, _ := c.Book()
		assert.Equal(t, book.Job("a") == nil, dropped, "after %s", wait)
	}
}
