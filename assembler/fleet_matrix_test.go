package assembler_test

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/standin/keeper"
)

// fleetFaults are what may go wrong while jobs run. Each returns once the fault
// is over.
var fleetFaults = []struct {
	name string
	do   func(f *fleet)
}{
	{"none", func(*fleet) {}},
	{"owner killed", func(f *fleet) { f.killEntry(f.owner(), time.Second) }},
	{"another entry killed", func(f *fleet) { f.killEntry((f.owner()+1)%fleetEntries, time.Second) }},
	{"all entries killed", func(f *fleet) {
		for i := range f.entries {
			f.killEntry(i, 10*time.Millisecond)
		}
	}},
	{"owner turned away by the store", func(f *fleet) {
		link := pair(f.entries[f.owner()].name, "store")
		f.net.set(link, cut)
		time.Sleep(6 * time.Second)
		f.net.set(link, healthy)
	}},
	{"owner cut off and back", func(f *fleet) {
		name := f.entries[f.owner()].name
		f.net.set(name, deaf)
		time.Sleep(8 * time.Second)
		f.net.set(name, healthy)
	}},
	{"store refuses", func(f *fleet) { f.breakStore(keeper.Busy, 3*time.Second) }},
	{"store silent", func(f *fleet) { f.breakStore(keeper.Mute, 4*time.Second) }},
	{"answers of the store lost", func(f *fleet) { f.breakStore(keeper.Lossy, 4*time.Second) }},
	{"history of the store gone", func(f *fleet) {
		f.store.Expire()
		f.killEntry(f.owner(), time.Second)
	}},
	{"agent restarted", func(f *fleet) { f.restartAgent(f.vms[0]) }},
	{"agent cut off for less than its lease", func(f *fleet) { f.cutAgent(4 * time.Second) }},
	{"agent cut off for longer than its lease", func(f *fleet) { f.cutAgent(14 * time.Second) }},
	{"worker reborn under its ID", func(f *fleet) { f.vms[0].worker.Rebirth() }},
	{"worker crashed for a while", func(f *fleet) {
		f.vms[0].worker.Crash()
		time.Sleep(4 * time.Second)
		f.vms[0].worker.Rebirth()
	}},
	{"worker lost for good", func(f *fleet) { f.vms[0].worker.Crash() }},
	{"worker draining", func(f *fleet) { f.vms[0].worker.Drain() }},
	{"starts carried out late", func(f *fleet) {
		f.vms[0].worker.HangStarts(3 * time.Second)
		time.Sleep(4 * time.Second)
		f.vms[0].worker.HangStarts(0)
	}},
	{"open connections silent", func(f *fleet) {
		for _, e := range f.entries {
			f.net.set(e.name, silent)
		}
	}},
	{"zone taken out and back", func(f *fleet) {
		f.store.Put("keyed.op", "evacuate/z", []byte("{}"))
		time.Sleep(3 * time.Second)
		f.store.Put("keyed.op", "evacuate/z", nil)
	}},
}

func (f *fleet) breakStore(fault keeper.Fault, span time.Duration) {
	f.store.Break(fault)
	time.Sleep(span)
	f.store.Break(keeper.Healthy)
}

func (f *fleet) cutAgent(span time.Duration) {
	f.net.set(f.vms[0].name, deaf)
	// The worker stands on the same VM.
	f.net.set(pair(f.vms[0].name, f.vms[0].name+"-worker"), healthy)
	time.Sleep(span)
	f.net.set(f.vms[0].name, healthy)
}

// TestFleetMatrix lets each fault come while jobs wait, run and end: nothing
// runs twice, every job completes, and lasting tasks run again.
func TestFleetMatrix(t *testing.T) {
	const (
		jobs    = 6
		lasting = 100
		// recovery bounds what may pass after a fault until all is done: a lease
		// with the time of an earlier owner, two lengths of the jobs, and an
		// outage's pauses.
		recovery = 30 * time.Second
	)
	for _, fault := range fleetFaults {
		t.Run(fault.name, func(t *testing.T) {
			inFleet(t, func(f *fleet) {
				f.submit(lasting, "", []map[string]any{{"count": 2, "cpu": 1000, "longRunning": true}})
				for n := range jobs {
					f.submit(n, "800", jobSteps)
				}
				time.Sleep(300 * time.Millisecond)
				fault.do(f)
				for n := range jobs {
					f.await(n, "completed", recovery)
				}
				time.Sleep(recovery / 2)
				assert.Equal(t, f.running(lasting), 2, "lasting tasks that run")
				status, _ := f.call(http.MethodDelete, lasting, nil)
				assert.Equal(t, status, http.StatusOK)
				time.Sleep(3 * time.Second)
				assert.Equal(t, f.running(lasting), 0, "tasks of a cancelled job that run")
				f.check()
			})
		})
	}
}

// fleetPairs is the number of pairs of faults that are tried, and fleetSeed
// picks them.
const (
	fleetPairs = 40
	fleetSeed  = 20261204
)

// TestFleetPairs lets two faults follow each other while jobs run.
func TestFleetPairs(t *testing.T) {
	const recovery = 45 * time.Second
	random := rand.New(rand.NewPCG(fleetSeed, 0))
	for range fleetPairs {
		first, second := fleetFaults[random.IntN(len(fleetFaults))], fleetFaults[random.IntN(len(fleetFaults))]
		t.Run(first.name+", then "+second.name, func(t *testing.T) {
			inFleet(t, func(f *fleet) {
				for n := range 6 {
					f.submit(n, "800", jobSteps)
				}
				time.Sleep(300 * time.Millisecond)
				first.do(f)
				time.Sleep(200 * time.Millisecond)
				second.do(f)
				f.submit(7, "fail", []map[string]any{{"count": 1, "cpu": 1000}})
				for n := range 6 {
					f.await(n, "completed", recovery)
				}
				f.await(7, "failed", recovery)
				f.check()
			})
		})
	}
}
