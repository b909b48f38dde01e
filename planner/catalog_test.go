package planner_test

import (
	"maps"
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"
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
		book, unreadable := c.Book()
		assert.DeepEqual(t, unreadable, []error(nil))
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
	book, unreadable := c.Book()
	assert.DeepEqual(t, unreadable, []error(nil))
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

// encode returns a value as CBOR. The keys of maps are the numbers of fields.
func encode(t *testing.T, value any) []byte {
	t.Helper()
	raw, err := cbor.Marshal(value)
	assert.NilError(t, err)
	return raw
}

// One odd record kept every entry from owning the jobs, since each takeover failed at it, or
// ended the process of the owner and of every one that followed.
func TestOddRecordsDoNotStopOtherJobs(t *testing.T) {
	type fields = map[int]any
	step := fields{0: 1, 1: 1_000}
	odd := fields{0: "b", 1: fields{0: "q", 1: "desk"}, 3: []any{step}}
	with := func(field int, value any) fields {
		out := maps.Clone(odd)
		out[field] = value
		return out
	}
	task := []any{0, 0, 0, 0, ""}
	open := fields{0: []any{[]any{task}}}
	for name, c := range map[string]struct{ submission, progress any }{
		"steps of another type":          {with(3, "steps"), nil},
		"no steps":                       {with(3, []any{}), nil},
		"negative count":                 {with(3, []any{fields{0: -1}}), nil},
		"enormous count":                 {with(3, []any{fields{0: math.MaxInt64}}), nil},
		"number too large":               {with(3, []any{fields{0: uint64(math.MaxUint64)}}), nil},
		"the ID of another job":          {with(0, "a"), nil},
		"progress of another type":       {odd, fields{3: "open"}},
		"progress with more steps":       {odd, fields{3: fields{0: []any{[]any{task}, []any{task}}}}},
		"progress with fewer tasks":      {odd, fields{3: fields{0: []any{[]any{}}}}},
		"progress of an occurrence less": {odd, fields{3: fields{-1: []any{[]any{task}}}}},
		"end of an occurrence too many":  {odd, fields{4: []any{7}}},
		"crash of an occurrence less":    {odd, fields{3: open, 5: []any{[]any{-1, 0, 0, 1}}}},
		"crash of a step less":           {odd, fields{3: open, 5: []any{[]any{0, -1, 0, 1}}}},
		"crash of a task less":           {odd, fields{3: open, 5: []any{[]any{0, 0, -1, 1}}}},
		"crash of a task too many":       {odd, fields{3: open, 5: []any{[]any{0, 0, 1, 1}}}},
		"negative number of crashes":     {odd, fields{3: open, 5: []any{[]any{0, 0, 0, -1}}}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, newVM("vm-0", 64_000))
			h.submit("a", plantainrail.Step{Count: 1, CPU: 1_000})
			record := plantainrail.KeyedRecord{Key: "j/b", Value: encode(t, c.submission)}
			catalog := planner.NewCatalog()
			assert.NilError(t, catalog.ApplyJob(h.jobRecords[0]))
			assert.NilError(t, catalog.ApplyJob(record), "the catalog reads less of a record than an owner")
			if c.progress != nil {
				assert.NilError(t, catalog.ApplyProgress(plantainrail.KeyedRecord{Key: "b", Value: encode(t, c.progress)}))
			}
			_, err := planner.NewBook().ApplyJob(record)
			assert.Equal(t, err == nil, c.progress != nil)
			book, unreadable := catalog.Book()
			assert.Equal(t, len(unreadable), 1)
			assert.Assert(t, book.Job("b") == nil)
			p := planner.New(book, timeouts, h.now)
			p.UpdateWorker(newVM("vm-0", 64_000), h.now)
			assert.Equal(t, len(p.Tick(h.now).Assignments), 1, "the other job must be placed")
		})
	}
}
