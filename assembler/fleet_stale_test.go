package assembler_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/planner"
	"github.com/plantainrail/plantainrail/standin/runner"
)

const (
	// evacuationBound and cancelBound are how long after an evacuation, or after the
	// cancellation of a job, tasks may still start that it concerns.
	evacuationBound = 5 * time.Second
	cancelBound     = 3 * time.Second
)

// ownerOutage separates the owner from the store for some time, so that it does not learn what is
// written there meanwhile, and returns when that time is over.
type ownerOutage struct {
	name   string
	inject func(f *fleet, owner *fleetEntry, duration time.Duration)
}

var (
	ownerCutOff = ownerOutage{"owner cut off from the store", func(f *fleet, owner *fleetEntry, duration time.Duration) {
		f.cutFromStore([]*fleetEntry{owner}, duration)
	}}
	ownerRefused = ownerOutage{"owner refused by the store", func(f *fleet, owner *fleetEntry, duration time.Duration) {
		link := linkName(owner.name, "store")
		f.net.setFault(link, down)
		time.Sleep(duration)
		f.net.setFault(link, healthy)
	}}
	ownerFrozen = ownerOutage{"owner frozen", func(_ *fleet, owner *fleetEntry, duration time.Duration) {
		owner.store.freeze(duration)
		time.Sleep(duration)
	}}
	writesOnly = ownerOutage{"store answers writes only", func(_ *fleet, owner *fleetEntry, duration time.Duration) {
		owner.store.refuseReads(true)
		time.Sleep(duration)
		owner.store.refuseReads(false)
	}}
)

var ownerOutages = []ownerOutage{
	ownerCutOff, ownerRefused, ownerFrozen, writesOnly,
	{"reads hang again and again", func(_ *fleet, owner *fleetEntry, duration time.Duration) {
		for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			for _, topic := range []string{"op", "jobs"} {
				owner.store.silence(topic)
			}
		}
	}},
	// A session on which nothing arrives for three seconds ends, and heartbeats are one second apart.
	{"orders held up on their way", func(f *fleet, owner *fleetEntry, duration time.Duration) {
		f.holdUpOrders(owner, 1250*time.Millisecond, 3200*time.Millisecond, duration)
	}},
	{"orders held up until sessions end", func(f *fleet, owner *fleetEntry, duration time.Duration) {
		f.holdUpOrders(owner, time.Second, 3900*time.Millisecond, duration)
	}},
	{"write takes five seconds", func(f *fleet, _ *fleetEntry, duration time.Duration) {
		f.store.SetAppendTime(5 * time.Second)
		time.Sleep(duration)
		f.store.SetAppendTime(0)
	}},
}

// holdUpOrders refuses the owner's reads for some time, and within it holds up what the owner sends
// to the agents. It returns at the end of that time.
func (f *fleet) holdUpOrders(owner *fleetEntry, from, to, duration time.Duration) {
	setLinks := func(state fault) {
		for _, v := range f.vms {
			f.net.setFault(linkName(owner.name, v.name), state)
		}
	}
	owner.store.refuseReads(true)
	time.Sleep(from)
	setLinks(repliesHeld)
	time.Sleep(to - from)
	setLinks(healthy)
	time.Sleep(duration - to)
	owner.store.refuseReads(false)
}

// storedChange is a change that operators or clients write to the store, and that the owner must
// follow within the bound.
type storedChange struct {
	name  string
	bound time.Duration
	write func(f *fleet)
	// concerns reports whether a task must not start after the change.
	concerns func(task string) bool
}

var storedChanges = []storedChange{
	{
		"zone evacuated", evacuationBound,
		// All VMs are in zone z.
		func(f *fleet) { f.store.Put("keyed.op", "evacuate/z", []byte("{}")) },
		func(string) bool { return true },
	},
	{
		"job cancelled", cancelBound,
		func(f *fleet) {
			record := planner.NewCancelRecord(jobID(1))
			f.store.Put("keyed.jobs", record.Key, record.Value)
		},
		func(task string) bool { return runner.JobID(task) == jobID(1) },
	},
}

// Guards against starts in an evacuated zone (EVAC) or of a cancelled job (UNASKED): an owner that
// was separated from the store had its writes accepted again before it read what was written
// meanwhile. Nobody else is up to take the ownership.
func TestOwnerStartsNothingOnWhatItHasNotRead(t *testing.T) {
	for _, outage := range ownerOutages {
		for _, change := range storedChanges {
			t.Run(outage.name+"/"+change.name, func(t *testing.T) {
				checkStarts(t, startCase{outage, change, 5500 * time.Millisecond, 50 * time.Millisecond, 200 * time.Millisecond})
			})
		}
	}
}

// separateOwner separates the owner from the store while nobody else is up, and evacuates the zone of
// all VMs for that time.
func (f *fleet) separateOwner(outage ownerOutage) {
	owner := f.darkenOthers()
	f.store.Put("keyed.op", "evacuate/z", []byte("{}"))
	outage.inject(f, f.entries[owner], 5500*time.Millisecond)
	f.store.Put("keyed.op", "evacuate/z", nil)
	f.restartOthers(owner)
}

// restartOthers gives all entries but one power again.
func (f *fleet) restartOthers(excluded int) {
	for i, e := range f.entries {
		if i != excluded {
			f.net.setFault(e.name, healthy)
			f.startEntry(i)
		}
	}
}

// startCases is the number of cases of TestOwnerStartsNothingInSeededOutages; startSeed seeds their
// random selection.
const (
	startCases = 24
	startSeed  = 20261205
)

// The same as TestOwnerStartsNothingOnWhatItHasNotRead, with random times.
func TestOwnerStartsNothingInSeededOutages(t *testing.T) {
	random := rand.New(rand.NewPCG(startSeed, 0))
	between := func(low, high int) time.Duration { return time.Duration(low+random.IntN(high-low)) * time.Millisecond }
	for n := range startCases {
		c := startCase{
			ownerOutages[random.IntN(len(ownerOutages))], storedChanges[random.IntN(len(storedChanges))],
			between(4000, 8000), between(0, 2500), between(1, 400),
		}
		t.Run(fmt.Sprint(n, " ", c.outage.name, ", ", c.change.name), func(t *testing.T) { checkStarts(t, c) })
	}
}

// startCase is a change that is written during an outage of the only entry that is up, some time
// after it began. Reads take longer than writes by readDelay.
type startCase struct {
	outage                           ownerOutage
	change                           storedChange
	duration, changeAfter, readDelay time.Duration
}

// darkenOthers cuts the power of all entries but the owner, and returns the owner's index.
func (f *fleet) darkenOthers() int {
	owner := f.owner()
	for _, e := range f.others(owner) {
		f.net.setFault(e.name, down)
		e.stop()
	}
	return owner
}

// checkStarts plays a case and fails the test if a task that the change concerns starts after its
// bound.
func checkStarts(t *testing.T, c startCase) {
	t.Helper()
	runInFleet(t, smallFleet, func(f *fleet) { c.play(f) })
}

func (c startCase) play(f *fleet) {
	// More tasks than fit at once, so that some wait for the end of others.
	f.submit(1, "300", []map[string]any{{"count": 900, "cpu": 1000}})
	owner := f.darkenOthers()
	f.entries[owner].store.slowDownReads(c.readDelay)
	time.Sleep(300 * time.Millisecond)
	f.group.Go(func() error {
		time.Sleep(c.changeAfter)
		c.change.write(f)
		return nil
	})
	limit := time.Now().Add(c.changeAfter + c.change.bound)
	c.outage.inject(f, f.entries[owner], c.duration)
	time.Sleep(5 * time.Second)
	late, latest := 0, limit
	for _, v := range f.vms {
		for _, span := range v.worker.History() {
			if c.change.concerns(span.Task) && span.Start.After(limit) {
				late++
				if span.Start.After(latest) {
					latest = span.Start
				}
			}
		}
	}
	assert.Check(f.t, late == 0, "%d starts up to %s after the bound", late, latest.Sub(limit))
	f.restartOthers(owner)
	f.store.Put("keyed.op", "evacuate/z", nil)
	time.Sleep(40 * time.Second)
	state := f.jobState(1)
	assert.Check(f.t, state == "completed" || state == "cancelled", "job is %s", state)
	f.checkRuns()
}

// Guards against a cancellation that is acknowledged with "no such job" (UNASKED) by an entry that was just cut off from
// the store, or whose replica was, while another entry accepts the job.
func TestCancellationThroughAnEntryThatIsCutOff(t *testing.T) {
	for _, shape := range []fleetShape{smallFleet, {entries: 6, zones: 2, vms: 4}} {
		for _, after := range []time.Duration{100 * time.Millisecond, time.Second, 2 * time.Second} {
			t.Run(fmt.Sprintf("%d entries, %s after the cut", shape.entries, after), func(t *testing.T) {
				runInFleet(t, shape, func(f *fleet) {
					client := f.client("client")
					defer client.CloseIdleConnections()
					owner := f.owner()
					// The last entry with the zone of the first one that is not the owner.
					away := (owner + 1) % shape.zones
					var cut []*fleetEntry
					through := away
					for i := away; i < len(f.entries); i += shape.zones {
						cut, through = append(cut, f.entries[i]), i
					}
					go f.cutFromStore(cut, 5500*time.Millisecond)
					time.Sleep(after)
					status, _, _ := f.callEntry(client, owner, http.MethodPost, "/q/"+jobID(1), map[string]any{"spec": "2500", "steps": []map[string]any{
						{"count": 2, "cpu": 1000}, {"count": 2, "cpu": 1000, "dependsOn": []int{0}},
					}})
					assert.Equal(t, status, http.StatusOK)
					time.Sleep(100 * time.Millisecond)
					status, _, _ = f.callEntry(client, through, http.MethodDelete, "/q/"+jobID(1), nil)
					assert.Assert(t, status == http.StatusOK || status == http.StatusGone, "answered with %d", status)
					time.Sleep(10 * time.Second)
					assert.Equal(t, f.jobState(1), "cancelled", "answered with %d", status)
				})
			})
		}
	}
}
