package assembler_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// smallJobs are the numbers of the jobs that are submitted beside a large one.
var smallJobs = []int{1, 2, 3}

// checkSmallJobs fails the test unless small jobs that are submitted now complete.
func (f *fleet) checkSmallJobs() {
	f.t.Helper()
	for _, n := range smallJobs {
		f.submit(n, "500", jobSteps)
	}
	for _, n := range smallJobs {
		f.waitForState(n, "completed", 20*time.Second)
	}
	f.checkRuns()
}

// Guards against jobs of everybody that never start (LOST) after a job was accepted whose
// progress the store does not take.
func TestTooLargeJobIsRefused(t *testing.T) {
	for _, shape := range fleetShapes {
		t.Run(shape.name, func(t *testing.T) {
			runInFleet(t, shape, func(f *fleet) {
				client := f.client("client")
				defer client.CloseIdleConnections()
				for i := range f.entries {
					status, _, ok := f.callEntry(client, i, http.MethodPost, "/q/"+jobID(100), map[string]any{"steps": []map[string]any{{"count": 50_000}}})
					assert.Check(t, ok && status == http.StatusRequestEntityTooLarge, "entry %d: status %d", i, status)
				}
				f.checkSmallJobs()
				status, _ := f.call(http.MethodGet, 100, nil)
				assert.Equal(t, status, http.StatusGone)
			})
		})
	}
}
