package assembler_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

// Guards against tasks that lapse (LOST) because the store has no room, against a new job that is
// refused and runs, and against a system that does not go on once there is room.
func TestFullStore(t *testing.T) {
	runInFleet(t, smallFleet, func(f *fleet) {
		f.submit(1, "", taskPerVM(4))
		time.Sleep(2 * time.Second)
		assert.Equal(t, f.runningCount(1), 4)
		runs := f.runs()
		f.store.SetMaxBytes(1)
		time.Sleep(15 * time.Second)
		assert.Assert(t, !f.accepts(0, 2), "a new job is refused")
		assert.Equal(t, f.runningCount(1), 4, "leases are renewed without room")
		f.store.SetMaxBytes(0)
		time.Sleep(5 * time.Second)
		f.submit(3, "300", jobSteps)
		f.waitForState(3, "completed", finishTime)
		assert.Equal(t, f.statusAt(0, 2), http.StatusGone, "a refused job never runs")
		assert.Equal(t, f.runs(), runs+6, "no run has lapsed")
		f.checkRuns()
	})
}

// finishTime is finish_s: the time after which accepted jobs that can run have to be done.
const finishTime = 14 * time.Second

// Guards against jobs that wait (LOST) while the store is full of records that all have read.
func TestFullStoreDropsWhatWasRead(t *testing.T) {
	runInFleet(t, smallFleet, func(f *fleet) {
		f.store.SetMaxBytes(f.store.Bytes() + 3000)
		for n := range 12 {
			f.submit(n, "300", jobSteps)
			f.waitForState(n, "completed", finishTime)
		}
		f.checkRuns()
	})
}

// Guards against a store that stays full of ended jobs (LOST) because their deletions need more room
// at a time than there is.
func TestFullStoreIsFreedOfEndedJobs(t *testing.T) {
	runInFleet(t, smallFleet, func(f *fleet) {
		for n := range 200 {
			record, err := planner.NewJobRecord(plantainrail.Workflow{
				ID: jobID(n), Spec: strings.Repeat("s", 2000), Steps: []plantainrail.Step{{Count: 1, CPU: 1000}},
			})
			assert.NilError(t, err)
			job, err := planner.NewBook().ApplyJob(record)
			assert.NilError(t, err)
			job.State = planner.Completed
			progress, err := job.Progress()
			assert.NilError(t, err)
			f.store.Put("keyed.jobs", record.Key, record.Value)
			f.store.Put("keyed.runs", job.ID, progress)
		}
		// The owner does not read the progress of others.
		f.killEntry(f.owner(), time.Second)
		time.Sleep(5 * time.Second)
		f.store.Expire()
		f.store.SetMaxBytes(f.store.Bytes() + 1000)
		time.Sleep(maxRetention + time.Minute)
		assert.DeepEqual(t, f.jobRecords(), []string(nil))
		f.submit(1000, "300", jobSteps)
		f.waitForState(1000, "completed", finishTime)
	})
}
