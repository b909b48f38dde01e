package planner_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

// BenchmarkStoredBytes measures what a job of six tasks takes in the store, by the length of its
// spec: the newest records, of the keys and values, and all that it writes until it is deleted.
// Each end is stored on its own.
func BenchmarkStoredBytes(b *testing.B) {
	for _, spec := range []int{0, 600, 4000} {
		b.Run(fmt.Sprint(spec), func(b *testing.B) {
			newest, written := 0, 0
			for b.Loop() {
				newest, written = storedBytes(b, spec)
			}
			b.ReportMetric(float64(newest), "newest-bytes")
			b.ReportMetric(float64(written), "written-bytes")
		})
	}
}

// storedBytes runs a job to its end and its deletion.
func storedBytes(tb testing.TB, spec int) (newest, written int) {
	p := planner.New(planner.NewBook(), timeouts, start)
	vm := newVM("side-jyl-a-3", 64_000)
	p.UpdateWorker(vm, start)
	p.Renew(vm.Incarnation, start)
	const id = "38bf371977200599"
	submission, err := planner.NewJobRecord(plantainrail.Workflow{
		ID: id, Spec: strings.Repeat("s", spec), Queue: queue, Steps: []plantainrail.Step{{Count: 6, CPU: 500, Memory: 1000, Estimate: 1000}},
	})
	assert.NilError(tb, err)
	assert.NilError(tb, p.ApplyJob(submission, start))
	size := func(r plantainrail.KeyedRecord) int { return len(r.Key) + len(r.Value) }
	written = size(submission)
	store := func(plan planner.Plan) {
		for _, j := range plan.Changed {
			progress, err := j.Progress()
			assert.NilError(tb, err)
			record := plantainrail.KeyedRecord{Key: id, Value: progress}
			newest, written = size(submission)+size(record), written+size(record)
		}
	}
	plan := p.Tick(start)
	store(plan)
	for i, a := range plan.Assignments {
		p.MarkStored(a, start)
		p.ApplyEnds(a.Incarnation, []plantainrail.RunEnd{{Number: int64(i + 1), Ref: a.Order.Ref, Outcome: plantainrail.RunDone}}, start)
		store(p.Tick(start))
	}
	assert.Equal(tb, p.Book.Job(id).PublicState(), planner.Completed)
	// The deletions of the submission and the progress.
	return newest, written + len(submission.Key) + len(id)
}
