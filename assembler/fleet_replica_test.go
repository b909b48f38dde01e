package assembler_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/decider"
)

// storeCallRate returns the calls to the store in a second of a fleet that runs jobs.
func storeCallRate(t *testing.T, shape fleetShape) float64 {
	const duration = 10 * time.Second
	rate := 0.0
	runInFleet(t, shape, func(f *fleet) {
		before := f.store.Calls()
		for n := range int(duration / time.Second) {
			f.submit(n, "300", jobSteps)
			time.Sleep(time.Second)
		}
		rate = float64(f.store.Calls()-before) / duration.Seconds()
	})
	return rate
}

// Size: many entries. Guards against a load of the store that grows with the product of
// entries and work: an entry more in a zone may only read the configuration.
func TestStoreCallsDoNotGrowWithEntries(t *testing.T) {
	few := fleetShape{entries: 4, zones: 2, vms: 4}
	many := fleetShape{entries: 24, zones: 2, vms: 4}
	perEntry := (storeCallRate(t, many) - storeCallRate(t, few)) / float64(many.entries-few.entries)
	assert.Assert(t, perEntry < 1.5, "each further entry makes %.1f calls a second", perEntry)
}

// Size: many entries. One entry of each zone follows the jobs, the largest one, and every
// entry answers clients.
func TestEveryEntryAnswersThroughTheReplica(t *testing.T) {
	shape := fleetShape{entries: 6, zones: 2, vms: 4, cores: []float64{0.2, 0.2, 0.8, 0.8, 0.2, 0.2}}
	runInFleet(t, shape, func(f *fleet) {
		assert.DeepEqual(t, f.replicas(), []int{2, 3})
		client := f.client("client")
		defer client.CloseIdleConnections()
		for i := range f.entries {
			status, _, _ := f.callEntry(client, i, http.MethodPost, "/q/"+jobID(i), map[string]any{"spec": "500", "steps": jobSteps})
			assert.Equal(t, status, http.StatusOK, "submission through entry %d", i)
		}
		time.Sleep(time.Second)
		for i := range f.entries {
			begin := time.Now()
			status, response, _ := f.callEntry(client, i, http.MethodGet, "/q/"+jobID(0), nil)
			assert.Equal(t, status, http.StatusOK, "query through entry %d", i)
			assert.Assert(t, response["state"] != "", "query through entry %d", i)
			assert.Assert(t, time.Since(begin) < 50*time.Millisecond, "entry %d answered after %s", i, time.Since(begin))
			status, _, _ = f.callEntry(client, i, http.MethodGet, "/q/"+jobID(99), nil)
			assert.Equal(t, status, http.StatusGone, "unknown job through entry %d", i)
			status, _, _ = f.callEntry(client, i, http.MethodDelete, "/q/"+jobID(99), nil)
			assert.Equal(t, status, http.StatusGone, "cancellation of an unknown job through entry %d", i)
			status, _, _ = f.callEntry(client, i, http.MethodGet, "/q/", nil)
			assert.Equal(t, status, http.StatusOK, "pending jobs through entry %d", i)
		}
		for n := range f.entries {
			f.waitForState(n, "completed", 10*time.Second)
		}
	})
}

// Guards against an entry that explains a placement on what it knows itself, or not at all: the owner answers through each
// entry, without a change of the jobs.
func TestEveryEntryExplainsThroughTheOwner(t *testing.T) {
	runInFleet(t, smallFleet, func(f *fleet) {
		client := f.client("client")
		defer client.CloseIdleConnections()
		owner := f.owner()
		job := plantainrail.Workflow{ID: "explained", Queue: plantainrail.Queue{Name: "q"}, Steps: []plantainrail.Step{{Count: 2, CPU: 1000}}}
		for i, e := range f.entries {
			explained, err := decider.Explain(f.ctx, client, e.decider.Address, job)
			assert.NilError(t, err, "through entry %d", i)
			assert.Equal(t, explained.Owner, f.entries[owner].name)
			assert.Equal(t, explained.Placement.Steps[0].Placed, 2)
			assert.Equal(t, len(explained.Placement.Steps[0].VMs), smallFleet.vms)
			assert.Assert(t, explained.Refusal == nil)
			for text, wrong := range map[string]plantainrail.Workflow{
				"no queue has this name":         {Queue: plantainrail.Queue{Name: "missing"}, Steps: job.Steps},
				"steps must name one step":       {Queue: job.Queue},
				"depends on step 0, which is no": {Queue: job.Queue, Steps: []plantainrail.Step{{Count: 1, DependsOn: []int{0}}}},
			} {
				_, err := decider.Explain(f.ctx, client, e.decider.Address, wrong)
				assert.ErrorContains(t, err, text)
			}
		}
		large := job
		large.Steps = []plantainrail.Step{{Count: 50_000, CPU: 1000}}
		explained, err := decider.Explain(f.ctx, client, f.entries[owner].decider.Address, large)
		assert.NilError(t, err)
		assert.Equal(t, explained.Refusal.Result, plantainrail.CallTooLarge)
		assert.Equal(t, f.statusAt(0, 1), http.StatusGone)
	})
}

// Guards against a small entry that becomes the replica, and with it the owner, because its
// next ping, by which it learns of a resignation, comes before that of a larger one.
func TestResignedPlaceGoesToTheLargerEntry(t *testing.T) {
	const resigning, larger = 2, 5
	shape := fleetShape{entries: larger, zones: 1, vms: 4, cores: []float64{0.2, 0.2, resigning: 0.8, 0.2, 0.2, larger: 0.8}}
	runInFleet(t, shape, func(f *fleet) {
		// The larger entry pings just before the resignation, so its next ping comes last.
		time.Sleep(480 * time.Millisecond)
		f.entries = append(f.entries, nil)
		f.startEntry(larger)
		time.Sleep(1010 * time.Millisecond)
		assert.DeepEqual(t, f.replicas(), []int{resigning})
		drained := make(chan error, 1)
		go func() { drained <- f.entries[resigning].decider.Drain(f.ctx) }()
		for begin := time.Now(); time.Since(begin) < 2*time.Second; time.Sleep(10 * time.Millisecond) {
			for _, i := range f.replicas() {
				assert.Equal(t, f.coresOf(i), 0.8, "entry %d, %s after the resignation", i, time.Since(begin))
			}
		}
		assert.NilError(t, <-drained)
		f.entries[resigning].stop()
		assert.DeepEqual(t, f.replicas(), []int{larger})
	})
}

// Guards against entries that replace each other as the replica for ever, because an unknown
// number of processors counts as twice as many as another unknown one.
func TestReplicaOfUnknownSizeStays(t *testing.T) {
	runInFleet(t, fleetShape{entries: 3, zones: 1, vms: 4, cores: []float64{0, 0, 0}}, func(f *fleet) {
		replica := f.replicas()
		assert.Equal(t, len(replica), 1)
		for begin := time.Now(); time.Since(begin) < 10*time.Second; time.Sleep(100 * time.Millisecond) {
			assert.DeepEqual(t, f.replicas(), replica)
		}
	})
}

// Load pattern: slow store beside many entries. Guards against jobs that are refused because
// the appends of many entries queue up at a store that takes 75 ms for each, as on
// trouble-2 of the large site: the entries of a zone must share appends.
func TestSlowStoreAcceptsTheJobsOfManyEntries(t *testing.T) {
	const interval, duration = 45 * time.Millisecond, 5 * time.Second
	runInFleet(t, fleetShape{entries: 24, zones: 2, vms: 4}, func(f *fleet) {
		f.store.SetAppendTime(75 * time.Millisecond)
		client := f.client("client")
		defer client.CloseIdleConnections()
		accepted := make(chan bool)
		jobs := int(duration / interval)
		for n := range jobs {
			go func() {
				time.Sleep(time.Duration(n) * interval)
				status, _, _ := f.callEntry(client, n%len(f.entries), http.MethodPost, "/q/"+jobID(n), map[string]any{"spec": "100", "steps": jobSteps[:1]})
				accepted <- status == http.StatusOK
			}()
		}
		refused := 0
		for range jobs {
			if !<-accepted {
				refused++
			}
		}
		assert.Assert(t, refused*20 <= jobs, "%d of %d jobs were not accepted", refused, jobs)
		f.store.SetAppendTime(0)
		time.Sleep(10 * time.Second)
	})
}

// followDelay is how much later than the owner a replica may report a state, as package
// decider defines it.
const followDelay = 60 * time.Millisecond

// A replica that is gone, whatever way it went, must be replaced, and its zone's entries
// must answer meanwhile and afterwards.
func TestReplicaIsReplaced(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(f *fleet, replica int)
		// silent means that the others' long polls are silent.
		silent bool
	}{
		{"power lost", func(f *fleet, i int) {
			f.net.setFault(f.entries[i].name, down)
			f.entries[i].stop()
		}, false},
		{"silent", func(f *fleet, i int) { f.net.setFault(f.entries[i].name, blackholed) }, false},
		{"silent, reads hang", func(f *fleet, i int) { f.net.setFault(f.entries[i].name, blackholed) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			runInFleet(t, widerFleet, func(f *fleet) {
				f.submit(1, "300", jobSteps)
				f.waitForState(1, "completed", 10*time.Second)
				// By then the other replica has read the state too.
				time.Sleep(followDelay)
				synctest.Wait()
				lost := f.replicas()[0]
				for _, e := range f.others(lost) {
					if c.silent {
						e.store.silence("members")
						e.store.silence("replicas")
					}
				}
				c.lose(f, lost)
				client := f.client("client")
				defer client.CloseIdleConnections()
				for begin := time.Now(); time.Since(begin) < 4*time.Second; time.Sleep(100 * time.Millisecond) {
					for i := range f.entries {
						if i == lost {
							continue
						}
						_, response, _ := f.callEntry(client, i, http.MethodGet, "/q/"+jobID(1), nil)
						assert.Equal(t, response["state"], "completed", fmt.Sprintf("entry %d, %s after the loss", i, time.Since(begin)))
					}
				}
				replaced := false
				for _, i := range f.replicas() {
					replaced = replaced || i != lost && f.zoneOf(i) == f.zoneOf(lost)
				}
				assert.Assert(t, replaced, "no other entry of the zone follows the jobs")
			})
		})
	}
}
