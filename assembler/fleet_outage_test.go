package assembler_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/standin/keeper"
)

// regained bounds the time from the end of an outage until every entry accepts
// jobs again: one try without an answer and one that has one.
const regained = time.Second

// Pattern: outage. Clients that come after the store is back must not be turned
// away for what the entries believed during its outage.
func TestEntriesAcceptSoonAfterAnOutage(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault keeper.Fault
		span  time.Duration
	}{
		{"silent", keeper.Mute, 4 * time.Second},
		{"silent, long", keeper.Mute, 9 * time.Second},
		{"refusing", keeper.Busy, 4 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			inFleet(t, func(f *fleet) {
				time.Sleep(time.Second)
				f.breakStore(c.fault, c.span)
				back := time.Now()
				for i := range f.entries {
					for n := 1000 * (i + 1); !f.accepts(i, n); n++ {
						time.Sleep(50 * time.Millisecond)
					}
				}
				took := time.Since(back)
				assert.Assert(t, took <= regained, "it took %s", took)
			})
		})
	}
}

// accepts offers a job to one entry and tells whether it was accepted.
func (f *fleet) accepts(i, n int) bool {
	body, err := json.Marshal(map[string]any{"spec": "100", "steps": []map[string]any{{"count": 1, "cpu": 1000}}})
	assert.NilError(f.t, err)
	q, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+f.entries[i].clientsAt+"/q/"+jobID(n), bytes.NewReader(body))
	assert.NilError(f.t, err)
	q.Host = fleetHost
	client := f.client("client")
	defer client.CloseIdleConnections()
	answer, err := client.Do(q)
	assert.NilError(f.t, err)
	assert.NilError(f.t, answer.Body.Close())
	return answer.StatusCode == http.StatusOK
}
