package assembler_test

import (
	"bytes"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/soaker"
	"github.com/plantainrail/plantainrail/standin/keeper"
)

// fleetFault is a fault that is injected while jobs run. Its inject function returns when
// the fault is over, or at once if the fault does not end.
type fleetFault struct {
	name   string
	inject func(f *fleet)
}

// fleetCase is a fault in a fleet of a shape.
type fleetCase struct {
	shape fleetShape
	fault fleetFault
}

func (c fleetCase) String() string { return c.shape.name + "/" + c.fault.name }

// fleetCases returns each fault in each shape.
func fleetCases() []fleetCase {
	var out []fleetCase
	for _, shape := range fleetShapes {
		for _, fault := range fleetFaults {
			out = append(out, fleetCase{shape, fault})
		}
	}
	return out
}

// everythingWithoutPower and allProcessesKilled hit all entries and agents. The workers go on after the
// second one.
var (
	everythingWithoutPower = fleetFault{"everything without power", func(f *fleet) { f.stopAll(true) }}
	allProcessesKilled     = fleetFault{"all processes killed", func(f *fleet) { f.stopAll(false) }}
)

// agentsWithoutStore hides the new addresses of all entries from the agents for a while.
var agentsWithoutStore = fleetFault{"agents without the store, all entries killed", func(f *fleet) {
	f.setAgentLinks("store", blackholed)
	for i := range f.entries {
		f.killEntry(i, 10*time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	f.setAgentLinks("store", healthy)
}}

var fleetFaults = []fleetFault{
	{"none", func(*fleet) {}},
	{"owner killed", func(f *fleet) { f.killEntry(f.owner(), time.Second) }},
	{"another entry killed", func(f *fleet) { f.killEntry((f.owner()+1)%len(f.entries), time.Second) }},
	{"zone of the owner lost", func(f *fleet) { f.loseZone(f.zoneOf(f.owner()), 4*time.Second) }},
	{"another zone lost", func(f *fleet) { f.loseZone(f.zoneOf(f.owner()+1), 4*time.Second) }},
	{"zone of the owner cut off", func(f *fleet) { f.cutZone(f.zoneOf(f.owner()), 6*time.Second) }},
	{"zone of the owner cut off for longer than the leases", func(f *fleet) { f.cutZone(f.zoneOf(f.owner()), 14*time.Second) }},
	{"another zone cut off", func(f *fleet) { f.cutZone(f.zoneOf(f.owner()+1), 6*time.Second) }},
	{"replicas killed", func(f *fleet) {
		for _, i := range f.replicas() {
			f.killEntry(i, 10*time.Millisecond)
		}
	}},
	{"all entries killed", func(f *fleet) {
		for i := range f.entries {
			f.killEntry(i, 10*time.Millisecond)
		}
	}},
	{"owner cut off from the store", func(f *fleet) {
		link := linkName(f.entries[f.owner()].name, "store")
		f.net.setFault(link, down)
		time.Sleep(6 * time.Second)
		f.net.setFault(link, healthy)
	}},
	{"owner blackholed for a while", func(f *fleet) {
		name := f.entries[f.owner()].name
		f.net.setFault(name, blackholed)
		time.Sleep(8 * time.Second)
		f.net.setFault(name, healthy)
	}},
	{"owner cut off from the store for a moment", func(f *fleet) { f.cutFromStore(f.entries[f.owner():][:1], 2400*time.Millisecond) }},
	{"other entries cut off from the store for moments", func(f *fleet) {
		for _, duration := range []time.Duration{400 * time.Millisecond, 1220 * time.Millisecond, 1400 * time.Millisecond} {
			f.cutFromStore(f.others(f.owner()), duration)
			time.Sleep(500 * time.Millisecond)
		}
	}},
	{"reads of the other entries hang, owner killed", func(f *fleet) {
		owner := f.owner()
		for _, e := range f.others(owner) {
			for _, topic := range []string{"jobs", "members", "op", "replicas"} {
				e.store.silence(topic)
			}
		}
		f.submit(50, "800", jobSteps)
		f.killEntry(owner, time.Second)
	}},
	{"others without power, owner cut off from the store", func(f *fleet) { f.separateOwner(ownerCutOff) }},
	{"others without power, owner frozen", func(f *fleet) { f.separateOwner(ownerFrozen) }},
	{"others without power, store answers writes only", func(f *fleet) { f.separateOwner(writesOnly) }},
	{"store busy", func(f *fleet) { f.breakStore(keeper.Unavailable, 3*time.Second) }},
	{"store hangs", func(f *fleet) { f.breakStore(keeper.Unresponsive, 4*time.Second) }},
	{"store replies lost", func(f *fleet) { f.breakStore(keeper.LosesReplies, 4*time.Second) }},
	{"store history expired", func(f *fleet) {
		f.store.Expire()
		f.killEntry(f.owner(), time.Second)
	}},
	{"agent restarted", func(f *fleet) { f.restartAgent(f.vms[0]) }},
	{"agent cut off for less than its lease", func(f *fleet) { f.blackholeAgent(4 * time.Second) }},
	{"agent cut off for longer than its lease", func(f *fleet) { f.blackholeAgent(14 * time.Second) }},
	{"worker restarted under its ID", func(f *fleet) { f.vms[0].worker.Restart() }},
	{"worker restarted with the time of day set back", func(f *fleet) {
		f.vms[0].worker.StepClock(-time.Minute)
		f.vms[0].worker.Restart()
	}},
	{"heartbeats of another writer", func(f *fleet) {
		for _, v := range f.vms {
			f.sendHeartbeat(v, "w-"+v.name, math.MaxInt64)
			f.sendHeartbeat(v, "w-unknown", math.MaxInt64)
		}
	}},
	{"worker down for a while", func(f *fleet) {
		f.vms[0].worker.Crash()
		time.Sleep(4 * time.Second)
		f.vms[0].worker.Restart()
	}},
	{"worker lost", func(f *fleet) { f.vms[0].worker.Crash() }},
	{"worker draining", func(f *fleet) { f.vms[0].worker.Drain() }},
	{"capacity shrinks and grows again", func(f *fleet) {
		for _, v := range f.vms[1:] {
			v.worker.SetMaxRuns(1)
		}
		time.Sleep(6 * time.Second)
		for _, v := range f.vms[1:] {
			v.worker.SetMaxRuns(fleetMaxRuns)
		}
	}},
	{"starts delayed", func(f *fleet) {
		f.vms[0].worker.DelayStarts(3 * time.Second)
		time.Sleep(4 * time.Second)
		f.vms[0].worker.DelayStarts(0)
	}},
	{"open connections stalled", func(f *fleet) {
		for _, e := range f.entries {
			f.net.setFault(e.name, stalled)
		}
	}},
	{"all connections silent", func(f *fleet) { f.silence() }},
	{"connections to the store silent, all entries killed", func(f *fleet) {
		f.net.setFault("store", stalled)
		for i := range f.entries {
			f.killEntry(i, 10*time.Millisecond)
		}
	}},
	agentsWithoutStore,
	everythingWithoutPower, allProcessesKilled,
	{"agents restarted", func(f *fleet) {
		for _, v := range f.vms {
			f.restartAgent(v)
		}
	}},
	{"agent cut off from its worker", func(f *fleet) { f.cutFromWorker(f.vms[0], blackholed, 2500*time.Millisecond) }},
	{"agent cut off from its worker for longer than its lease", func(f *fleet) { f.cutFromWorker(f.vms[0], blackholed, 9*time.Second) }},
	{"worker refuses connections", func(f *fleet) { f.cutFromWorker(f.vms[0], down, 4*time.Second) }},
	{"answers of a worker late", func(f *fleet) { f.cutFromWorker(f.vms[0], repliesHeld, 2*time.Second) }},
	{"orders late", func(f *fleet) {
		f.setAgentLinks(f.entries[f.owner()].name, repliesHeld)
		time.Sleep(2800 * time.Millisecond)
		for _, e := range f.entries {
			f.setAgentLinks(e.name, healthy)
		}
	}},
	{"stops and renewals executed late", func(f *fleet) {
		for _, path := range []string{"/run-stop", "/hold"} {
			f.vms[0].worker.DelayCalls(path, 2*time.Second)
		}
		time.Sleep(3 * time.Second)
		for _, path := range []string{"/run-stop", "/hold"} {
			f.vms[0].worker.DelayCalls(path, 0)
		}
	}},
	{"heartbeats stop", func(f *fleet) {
		f.vms[0].worker.Mute(true)
		time.Sleep(6 * time.Second)
		f.vms[0].worker.Mute(false)
	}},
	{"workers return smaller under their IDs", func(f *fleet) {
		for _, v := range f.vms {
			v.worker.SetMaxRuns(3)
			v.worker.Restart()
		}
	}},
	{"workers shrink to nothing and grow", func(f *fleet) {
		setMaxRuns(f.vms, 0)
		time.Sleep(6 * time.Second)
		setMaxRuns(f.vms, fleetMaxRuns)
	}},
	{"route removed and added again", func(f *fleet) {
		f.store.Put("keyed.op", "config", []byte(`{"version":2,"routes":[],"services":[{"name":"desk","rejectsOverload":true}]}`))
		time.Sleep(3 * time.Second)
		f.store.Put("keyed.op", "config", []byte(strings.Replace(fleetConfig, `"version":1`, `"version":3`, 1)))
		time.Sleep(2 * time.Second)
	}},
	{"odd records of another writer, owner killed", func(f *fleet) {
		f.putOddRecords()
		f.killEntry(f.owner(), time.Second)
	}},
	{"zone evacuated and restored", func(f *fleet) {
		f.store.Put("keyed.op", "evacuate/z", []byte("{}"))
		time.Sleep(3 * time.Second)
		f.store.Put("keyed.op", "evacuate/z", nil)
	}},
	{"end of an evacuation forgotten by the store", func(f *fleet) {
		f.store.Put("keyed.op", "evacuate/z", []byte("{}"))
		time.Sleep(2 * time.Second)
		f.missEnd("evacuate/z")
	}},
}

// putOddRecords appends records of another writer to the entries' topics.
func (f *fleet) putOddRecords() {
	// The count of tasks of the first job is negative, and the steps of the second one are a
	// text.
	f.store.Put("keyed.jobs", "j/odd-count", []byte("\xa3\x00\x69odd-count\x01\xa1\x00\x61q\x03\x81\xa1\x00\x20"))
	f.store.Put("keyed.jobs", "j/odd-steps", []byte("\xa3\x00\x69odd-steps\x01\xa1\x00\x61q\x03\x61s"))
	f.store.Put("keyed.jobs", "j/nested", bytes.Repeat([]byte("\x81"), 100_000))
	f.store.Put("keyed.jobs", "", []byte("x"))
	f.store.Put("keyed.members", "e/odd", []byte("10.0.0.1:99999"))
	f.store.Put("keyed.members", "claim", bytes.Repeat([]byte("\x81"), 100_000))
	f.store.Put("keyed.members", "x", []byte("\xa3\x00\x61x\x01\x71255.255.255.255:1\x02\x61x"))
	f.store.Put("keyed.replicas", f.zoneOf(0), []byte("\xa4\x00\x61x\x01\x6a10.0.0.1:1\x02\x61x\x03\xf9\x7e\x00"))
}

// cutFromStore drops all data between entries and the store, and returns when it passes again.
func (f *fleet) cutFromStore(entries []*fleetEntry, duration time.Duration) {
	setLinks := func(state fault) {
		for _, e := range entries {
			f.net.setFault(linkName(e.name, "store"), state)
		}
	}
	setLinks(blackholed)
	time.Sleep(duration)
	setLinks(healthy)
}

// breakStore injects a fault of the store and returns when it is over.
func (f *fleet) breakStore(fault keeper.Fault, duration time.Duration) {
	f.store.SetFault(fault)
	time.Sleep(duration)
	f.store.SetFault(keeper.Healthy)
}

// setAgentLinks sets the fault of the links between all agents and a component.
func (f *fleet) setAgentLinks(name string, state fault) {
	for _, v := range f.vms {
		f.net.setFault(linkName(v.name, name), state)
	}
}

// cutFromWorker injects a fault between an agent and its worker, and returns when it is over.
func (f *fleet) cutFromWorker(v *fleetVM, state fault, duration time.Duration) {
	link := linkName(v.name, v.name+workerSuffix)
	f.net.setFault(link, state)
	time.Sleep(duration)
	f.net.setFault(link, healthy)
}

// loseZone cuts the power of a zone: its entries, agents and workers end at once and start
// again after the downtime.
func (f *fleet) loseZone(zone string, downtime time.Duration) {
	entries, vms := f.inZone(zone)
	f.stopProcesses(entries, vms, true, downtime)
}

// stopAll ends all entries and agents at once, and the workers if they lose power as well, and starts
// them again two seconds later.
func (f *fleet) stopAll(workers bool) {
	var entries []int
	for i := range f.entries {
		entries = append(entries, i)
	}
	f.stopProcesses(entries, f.vms, workers, 2*time.Second)
}

// stopProcesses ends entries and agents at once, and the agents' workers if they end as well, and starts
// them again after the downtime.
func (f *fleet) stopProcesses(entries []int, vms []*fleetVM, workers bool, downtime time.Duration) {
	for _, i := range entries {
		f.net.setFault(f.entries[i].name, down)
		f.entries[i].stop()
	}
	for _, v := range vms {
		f.net.setFault(v.name, down)
		v.stop()
		if workers {
			v.worker.Crash()
		}
	}
	time.Sleep(downtime)
	for _, i := range entries {
		f.net.setFault(f.entries[i].name, healthy)
		f.startEntry(i)
	}
	for _, v := range vms {
		f.net.setFault(v.name, healthy)
		v.registry = f.net.relisten(v.registry)
		f.startAgent(v)
		if workers {
			v.worker.Restart()
		}
	}
}

// cutZone cuts a zone's entries and agents off from everything outside of it, the store
// included, and returns when they are connected again.
func (f *fleet) cutZone(zone string, duration time.Duration) {
	inside, outside := []string{}, []string{"store"}
	for i, e := range f.entries {
		if f.zoneOf(i) == zone {
			inside = append(inside, e.name)
		} else {
			outside = append(outside, e.name)
		}
	}
	for i, v := range f.vms {
		if f.zoneOf(i) == zone {
			inside = append(inside, v.name)
		} else {
			outside = append(outside, v.name)
		}
	}
	setLinks := func(state fault) {
		for _, a := range inside {
			for _, b := range outside {
				f.net.setFault(linkName(a, b), state)
			}
		}
	}
	setLinks(blackholed)
	time.Sleep(duration)
	setLinks(healthy)
}

// blackholeAgent cuts the first VM's agent off from the network and returns when it is
// connected again. The agent still reaches its worker.
func (f *fleet) blackholeAgent(duration time.Duration) {
	f.net.setFault(f.vms[0].name, blackholed)
	time.Sleep(duration)
	f.net.setFault(f.vms[0].name, healthy)
}

// TestFleetMatrix injects each fault while jobs wait, run and end. No task may
// run twice, every job must complete, and long-running service tasks must run
// again afterwards. Once their job is cancelled, they must stop.
func TestFleetMatrix(t *testing.T) {
	const (
		jobs       = 6
		lastingJob = 100
		// recoveryTime is how long the jobs may take to complete after a fault: a
		// worker lease, the time for which an earlier owner may still renew it,
		// twice the run time of the jobs, and the retry pauses of an outage.
		recoveryTime = 30 * time.Second
	)
	for _, c := range fleetCases() {
		t.Run(c.String(), func(t *testing.T) {
			runInFleet(t, c.shape, func(f *fleet) {
				f.submit(lastingJob, "", []map[string]any{{"count": 2, "cpu": 1000, "longRunning": true}})
				accepted := []acceptedJob{{lastingJob, 1, 2, true}}
				for n := range jobs {
					f.submit(n, "800", jobSteps)
					accepted = append(accepted, acceptedJob{n, 2, 3, false})
				}
				time.Sleep(300 * time.Millisecond)
				c.fault.inject(f)
				f.checkNothingWaits(accepted, soaker.AskTime-soaker.IdleTime, soaker.AskTime)
				for n := range jobs {
					f.waitForState(n, "completed", recoveryTime)
				}
				time.Sleep(recoveryTime / 2)
				assert.Equal(t, f.runningCount(lastingJob), 2, "number of long-running tasks that run after the fault")
				status, _ := f.call(http.MethodDelete, lastingJob, nil)
				assert.Equal(t, status, http.StatusOK)
				time.Sleep(3 * time.Second)
				assert.Equal(t, f.runningCount(lastingJob), 0, "number of tasks of the cancelled job that still run")
				f.checkRuns()
			})
		})
	}
}

// fleetPairs is the number of pairs of faults that TestFleetPairs tests; fleetSeed
// seeds their random selection.
const (
	fleetPairs = 40
	fleetSeed  = 20261204
)

// TestFleetPairs injects two faults in succession while jobs run. No task may run
// twice, every job must complete, and a job whose task fails must be reported as
// failed.
func TestFleetPairs(t *testing.T) {
	// recoveryTime is how long the jobs may take to complete after both faults.
	const recoveryTime = 45 * time.Second
	random := rand.New(rand.NewPCG(fleetSeed, 0))
	for pair := range fleetPairs {
		shape := fleetShapes[pair%len(fleetShapes)]
		first, second := fleetFaults[random.IntN(len(fleetFaults))], fleetFaults[random.IntN(len(fleetFaults))]
		t.Run(shape.name+": "+first.name+", then "+second.name, func(t *testing.T) {
			runInFleet(t, shape, func(f *fleet) {
				for n := range 6 {
					f.submit(n, "800", jobSteps)
				}
				time.Sleep(300 * time.Millisecond)
				first.inject(f)
				time.Sleep(200 * time.Millisecond)
				second.inject(f)
				f.submit(7, "fail", []map[string]any{{"count": 1, "cpu": 1000}})
				for n := range 6 {
					f.waitForState(n, "completed", recoveryTime)
				}
				f.waitForState(7, "failed", recoveryTime)
				f.checkRuns()
			})
		})
	}
}
