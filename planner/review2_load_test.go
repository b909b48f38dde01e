package planner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

// Load pattern: a job of many occurrences that are all due and find no VM. Guards against a tick whose
// time grows with the square of their number.
func TestTickOfManyWaitingOccurrences(t *testing.T) {
	took := func(n int) time.Duration {
		h := newHarness(t, newVM("a", 4000))
		record, err := planner.NewJobRecord(plantainrail.Workflow{
			ID: "job", Queue: queue, Repetitions: n, IntervalMS: 1, FirstRunMS: 1,
			Steps: []plantainrail.Step{{Count: 1, CPU: 9000}},
		})
		assert.NilError(t, err)
		h.applyJob(record)
		h.tick()
		begin := time.Now()
		h.tick()
		return time.Since(begin)
	}
	took(500)
	small, large := took(1000), took(8000)
	t.Logf("1,000 occurrences: %s; 8,000: %s", small, large)
	assert.Assert(t, large < 30*small, "%s and %s", small, large)
}
