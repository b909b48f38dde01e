package assembler_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Load pattern: one queue with many times its capacity. Guards against jobs that are accepted and then have no value,
// against a refused job that runs, and against the refusal of a job that was accepted before or of another queue.
func TestBacklogIsRefused(t *testing.T) {
	for _, shape := range fleetShapes {
		t.Run(shape.name, func(t *testing.T) {
			runInFleet(t, shape, func(f *fleet) {
				route := `{"name":"%s","host":"` + fleetHost + `","pathPrefix":"/%s/","service":"desk","priority":%d,"maxAttempts":3,"stretchFactor":2,"targetLatencyMs":100},`
				config := strings.Replace(fleetConfig, `"version":1,"routes":[`,
					`"version":2,"routes":[`+fmt.Sprintf(route, "night", "night", 2)+fmt.Sprintf(route, "day", "day", 1), 1)
				f.store.Put("keyed.op", "config", []byte(config))
				time.Sleep(3 * time.Second)
				client := f.client("client")
				offer := func(entry int, queue string, n int) (int, int) {
					status, after := f.offer(client, entry, "/"+queue+"/"+jobID(n), []map[string]any{{"count": 8, "cpu": 2000, "estimateMs": 300}})
					return status, after
				}
				refused, accepted := 0, 0
				for n := range 300 {
					status, after := offer(n%len(f.entries), "night", n)
					switch status {
					case http.StatusOK:
						accepted = n
					case http.StatusTooManyRequests:
						refused = n
						assert.Assert(t, after >= 1 && after <= 60, "retry after %d s", after)
					}
					if refused > 0 {
						break
					}
					time.Sleep(10 * time.Millisecond)
				}
				assert.Assert(t, refused > 0, "no job of 300 was refused")
				for entry := range f.entries {
					status, _ := offer(entry, "night", accepted)
					assert.Equal(t, status, http.StatusOK, "entry %d: a job that was accepted before", entry)
					status, _ = offer(entry, "day", 1000+entry)
					assert.Equal(t, status, http.StatusOK, "entry %d: a queue of a higher priority", entry)
				}
				time.Sleep(time.Second)
				assert.Equal(t, f.statusAt(0, refused), http.StatusGone, "a refused job never runs")
			})
		})
	}
}

// offer posts a job to an entry, and returns the status and the seconds of Retry-After.
func (f *fleet) offer(client *http.Client, entry int, path string, steps any) (status, retryAfter int) {
	f.t.Helper()
	response := f.postEntry(client, entry, path, map[string]any{"spec": "300", "steps": steps})
	defer func() { _ = response.Body.Close() }()
	retryAfter, _ = strconv.Atoi(response.Header.Get("Retry-After"))
	return response.StatusCode, retryAfter
}

// postEntry posts a body to an entry.
func (f *fleet) postEntry(client *http.Client, entry int, path string, body any) *http.Response {
	f.t.Helper()
	raw, err := json.Marshal(body)
	assert.NilError(f.t, err)
	request, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+f.entries[entry].clientAddress+path, bytes.NewReader(raw))
	assert.NilError(f.t, err)
	request.Host = fleetHost
	response, err := client.Do(request)
	assert.NilError(f.t, err)
	return response
}
