package assembler_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStaleEntryKnowsNoMissingQueue cuts an entry off from the store and from
// the entries that it could read through, at any phase of its reads: two seconds
// after a queue was added it must not say that there is none.
func TestStaleEntryKnowsNoMissingQueue(t *testing.T) {
	const apply = 2 * time.Second
	for phase := time.Duration(0); phase < 1500*time.Millisecond; phase += 100 * time.Millisecond {
		t.Run(phase.String(), func(t *testing.T) {
			inFleet(t, func(f *fleet) {
				time.Sleep(phase)
				assert.Equal(t, f.probe(0), http.StatusNotFound)
				cutOff := []string{pair(f.entries[0].name, "store")}
				for i, e := range f.entries {
					if i > 0 {
						cutOff = append(cutOff, pair(f.entries[0].name, e.name))
					}
				}
				for _, link := range cutOff {
					f.net.set(link, deaf)
				}
				added := strings.Replace(fleetConfig, `"version":1,"routes":[`,
					`"version":2,"routes":[{"name":"new","host":"desk.example","pathPrefix":"/new/","service":"desk"},`, 1)
				f.store.Put("keyed.op", "config", []byte(added))
				time.Sleep(apply)
				assert.Assert(t, f.probe(0) != http.StatusNotFound, "a stale entry refuses what a newer configuration has")
				for _, link := range cutOff {
					f.net.set(link, healthy)
				}
				time.Sleep(5 * time.Second)
				for i := range f.entries {
					assert.Equal(t, f.probe(i), http.StatusOK, fmt.Sprint("entry ", i))
				}
			})
		})
	}
}

// probe asks an entry for the count of the queue that is added.
func (f *fleet) probe(i int) int {
	client := f.client("client")
	defer client.CloseIdleConnections()
	q, err := http.NewRequestWithContext(f.ctx, http.MethodGet, "http://"+f.entries[i].clientsAt+"/new/", nil)
	assert.NilError(f.t, err)
	q.Host = fleetHost
	answer, err := client.Do(q)
	assert.NilError(f.t, err)
	assert.NilError(f.t, answer.Body.Close())
	return answer.StatusCode
}
