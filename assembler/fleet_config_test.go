package assembler_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A configuration must be in force two seconds after it is stored. An entry is cut
// off from the store, and from the other entries through which it could read the
// store, and then a queue is added. Two seconds later the entry must not respond with
// status 404 for that queue: it has to notice that its configuration is stale. The
// subtests cut the entry off at different phases of its reads.
func TestStaleEntryDoesNotReportMissingQueue(t *testing.T) {
	const applyTime = 2 * time.Second
	for phase := time.Duration(0); phase < 1500*time.Millisecond; phase += 100 * time.Millisecond {
		t.Run(phase.String(), func(t *testing.T) {
			runInFleet(t, smallFleet, func(f *fleet) {
				time.Sleep(phase)
				assert.Equal(t, f.newQueueStatus(0), http.StatusNotFound)
				cutLinks := []string{linkName(f.entries[0].name, "store")}
				for i, e := range f.entries {
					if i > 0 {
						cutLinks = append(cutLinks, linkName(f.entries[0].name, e.name))
					}
				}
				for _, link := range cutLinks {
					f.net.setFault(link, blackholed)
				}
				newConfig := strings.Replace(fleetConfig, `"version":1,"routes":[`,
					`"version":2,"routes":[{"name":"new","host":"desk.example","pathPrefix":"/new/","service":"desk"},`, 1)
				f.store.Put("keyed.op", "config", []byte(newConfig))
				time.Sleep(applyTime)
				assert.Assert(t, f.newQueueStatus(0) != http.StatusNotFound, "a stale entry reports that a queue of the newer configuration does not exist")
				for _, link := range cutLinks {
					f.net.setFault(link, healthy)
				}
				time.Sleep(5 * time.Second)
				for i := range f.entries {
					assert.Equal(t, f.newQueueStatus(i), http.StatusOK, fmt.Sprint("entry ", i))
				}
			})
		})
	}
}

// newQueueStatus sends a request for the added queue to entry i and returns the HTTP
// status.
func (f *fleet) newQueueStatus(i int) int {
	client := f.client("client")
	defer client.CloseIdleConnections()
	request, err := http.NewRequestWithContext(f.ctx, http.MethodGet, "http://"+f.entries[i].clientAddress+"/new/", nil)
	assert.NilError(f.t, err)
	request.Host = fleetHost
	response, err := client.Do(request)
	assert.NilError(f.t, err)
	assert.NilError(f.t, response.Body.Close())
	return response.StatusCode
}
