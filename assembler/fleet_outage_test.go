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

// maxRecoveryTime is how long entries may take to accept jobs again after a store
// outage: one store call that gets no reply and one that succeeds.
const maxRecoveryTime = time.Second

// Entries that were rejecting jobs during a store outage must accept them again
// within maxRecoveryTime after it. State that an entry recorded during the outage
// must not make it reject jobs for longer.
func TestEntriesAcceptJobsSoonAfterStoreOutage(t *testing.T) {
	for _, c := range []struct {
		name     string
		fault    keeper.Fault
		duration time.Duration
	}{
		{"hangs", keeper.Unresponsive, 4 * time.Second},
		{"hangs for longer", keeper.Unresponsive, 9 * time.Second},
		{"busy", keeper.Unavailable, 4 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			runInFleet(t, smallFleet, func(f *fleet) {
				time.Sleep(time.Second)
				f.breakStore(c.fault, c.duration)
				outageEnd := time.Now()
				// Each entry gets job numbers of its own.
				for i := range f.entries {
					for n := 1000 * (i + 1); !f.accepts(i, n); n++ {
						time.Sleep(50 * time.Millisecond)
					}
				}
				elapsed := time.Since(outageEnd)
				assert.Assert(t, elapsed <= maxRecoveryTime, "entries accepted jobs only %s after the outage", elapsed)
			})
		})
	}
}

// Guards against tasks that wait after an outage until reads that hang since then have timed out: the
// owner reads at once what its starts rest on.
func TestStartsGoOnSoonAfterOwnerOutage(t *testing.T) {
	for _, outage := range []ownerOutage{ownerCutOff, ownerRefused, ownerFrozen} {
		t.Run(outage.name, func(t *testing.T) {
			runInFleet(t, smallFleet, func(f *fleet) {
				owner := f.darkenOthers()
				f.submit(1, "700", []map[string]any{{"count": 400, "cpu": 1000}})
				time.Sleep(300 * time.Millisecond)
				outage.inject(f, f.entries[owner], 5500*time.Millisecond)
				outageEnd := time.Now()
				time.Sleep(maxRecoveryTime)
				started := 0
				for _, v := range f.vms {
					for _, span := range v.worker.History() {
						if span.Start.After(outageEnd) {
							started++
						}
					}
				}
				assert.Check(t, started > 0, "nothing started within %s", maxRecoveryTime)
			})
		})
	}
}

// accepts submits job n to entry i and reports whether it was accepted.
func (f *fleet) accepts(i, n int) bool {
	body, err := json.Marshal(map[string]any{"spec": "100", "steps": []map[string]any{{"count": 1, "cpu": 1000}}})
	assert.NilError(f.t, err)
	request, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+f.entries[i].clientAddress+"/q/"+jobID(n), bytes.NewReader(body))
	assert.NilError(f.t, err)
	request.Host = fleetHost
	client := f.client("client")
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	assert.NilError(f.t, err)
	assert.NilError(f.t, response.Body.Close())
	return response.StatusCode == http.StatusOK
}
