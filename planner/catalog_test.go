package planner_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

// catalogRecords are the records of a job that is submitted, cancelled and has progress, in
// each order in which an entry may read them.
func catalogRecords(t *testing.T, h *harness) map[string]func(c *planner.Catalog) {
	t.Helper()
	return map[string]func(c *planner.Catalog){
		"submission": func(c *planner.Catalog) { assert.NilError(t, c.ApplyJob(h.jobRecords[0])) },
		"cancellation": func(c *planner.Catalog) {
			assert.NilError(t, c.ApplyJob(planner.NewCancelRecord("a")))
		},
		"progress": func(c *planner.Catalog) {
			assert.NilError(t, c.ApplyProgress(plantainrail.KeyedRecord{Key: "a", Value: h.stored["a"]}))
		},
	}
}

// The records of different topics may be read in any order.
func TestCatalogAcceptsRecordsInAnyOrder(t *testing.T) {
	h := newHarness(t, newVM("vm-0", 64_000))
	h.submit("a", plantainrail.Step{Count: 2, CPU: 1_000})
	placed := h.tick().Assignments
	apply := catalogRecords(t, h)
	for _, order := range [][]string{
		{"submission", "progress", "cancellation"}, {"progress", "submission", "cancellation"}, {"cancellation", "progress", "submission"},
	} {
		c := planner.NewCatalog()
		for i, record := range order {
			apply[record](c)
			assert.Equal(t, c.Accepted("a"), i >= indexOf(order, "submission"), "%v", order)
		}
		state, cancelRequested, accepted := c.State("a")
		assert.Assert(t, accepted && cancelRequested)
		assert.Equal(t, state, planner.Cancelled)
		book, err := c.Book()
		assert.NilError(t, err)
		// A new owner stops the runs of the cancelled job.
		plan := planner.New(book, timeouts, h.now).Tick(h.now)
		assert.Equal(t, len(plan.Stops), len(placed), "%v", order)
	}
}

func indexOf(order []string, record string) int {
	for i := range order {
		if order[i] == record {
			return i
		}
	}
	return -1
}

// A job that has ended keeps its state, and a repeated submission must not run it again.
func TestCatalogKeepsEndedJobs(t *testing.T) {
	h := newHarness(t, newVM("vm-0", 64_000))
	h.submit("a", plantainrail.Step{Count: 1, CPU: 1_000})
	h.reportEnd(h.tick().Assignments[0], 1, plantainrail.RunDone)
	h.tick()
	c := planner.NewCatalog()
	assert.NilError(t, c.ApplyJob(h.jobRecords[0]))
	assert.DeepEqual(t, c.Pending(), map[string]int{"rota": 1})
	assert.NilError(t, c.ApplyProgress(plantainrail.KeyedRecord{Key: "a", Value: h.stored["a"]}))
	assert.NilError(t, c.ApplyJob(h.jobRecords[0]))
	state, _, accepted := c.State("a")
	assert.Assert(t, accepted)
	assert.Equal(t, state, planner.Completed)
	assert.Equal(t, len(c.Pending()), 0)
	book, err := c.Book()
	assert.NilError(t, err)
	p := planner.New(book, timeouts, h.now)
	p.UpdateWorker(newVM("vm-0", 64_000), h.now)
	assert.NilError(t, p.ApplyJob(h.jobRecords[0], h.now))
	assert.Equal(t, len(p.Tick(h.now).Assignments), 0, "the job must not run again")
}

func TestCatalogRejectsUnreadableRecords(t *testing.T) {
	c := planner.NewCatalog()
	assert.ErrorContains(t, c.ApplyJob(plantainrail.KeyedRecord{Key: "j/a", Value: []byte{0xff}}), "decode job a")
	assert.ErrorContains(t, c.ApplyProgress(plantainrail.KeyedRecord{Key: "a", Value: []byte{0xff}}), "decode progress of job a")
	assert.Assert(t, !c.Accepted("a"))
}
