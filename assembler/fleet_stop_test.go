package assembler_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Jobs are submitted to an entry while it shuts down. Each call that the entry
// received must get a response, and the accepted jobs must complete after the entry
// has been started again.
func TestStoppingEntryAnswersReceivedCalls(t *testing.T) {
	for _, owner := range []bool{true, false} {
		name := "another entry"
		if owner {
			name = "owner"
		}
		t.Run(name, func(t *testing.T) {
			runInFleet(t, smallFleet, func(f *fleet) {
				i := f.owner()
				if !owner {
					i = (i + 1) % len(f.entries)
				}
				stopped := make(chan error, 1)
				go func() {
					err := f.entries[i].decider.Drain(f.ctx)
					f.entries[i].stop()
					stopped <- err
				}()
				accepted := f.submitUntilClosed(i)
				assert.NilError(t, <-stopped)
				assert.Assert(t, len(accepted) > 10, "the stopping entry accepted only %d jobs", len(accepted))
				f.startEntry(i)
				for _, n := range accepted {
					f.waitForState(n, "completed", 20*time.Second)
				}
				f.checkRuns()
			})
		})
	}
}

// maxCloseDelay is how long a call may wait for a connection error. A call that
// arrives at the instant when the entry stops listening gets no response and must
// not hang.
const maxCloseDelay = 200 * time.Millisecond

// submitUntilClosed submits jobs to entry i until a call fails, and returns the
// numbers of the accepted jobs.
func (f *fleet) submitUntilClosed(i int) []int {
	body, err := json.Marshal(map[string]any{"spec": "100", "steps": []map[string]any{{"count": 1, "cpu": 1000}}})
	assert.NilError(f.t, err)
	client := f.client("client")
	defer client.CloseIdleConnections()
	var accepted []int
	for n := 1000; ; n++ {
		request, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+f.entries[i].clientAddress+"/q/"+jobID(n), bytes.NewReader(body))
		assert.NilError(f.t, err)
		request.Host = fleetHost
		sent := time.Now()
		response, err := client.Do(request)
		if err != nil {
			assert.Assert(f.t, time.Since(sent) <= maxCloseDelay, "the connection for job %d failed only after %s: %v", n, time.Since(sent), err)
			return accepted
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			accepted = append(accepted, n)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
