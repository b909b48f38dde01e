package assembler_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/standin/keeper"
	"github.com/plantainrail/plantainrail/standin/runner"
)

// maxStartDelay is how long a task that could run may have to wait.
const maxStartDelay = 3 * time.Second

// capacityShapes are fleets whose workers guard their capacity and whose workers do not.
var capacityShapes = []fleetShape{
	{name: "guarded", entries: 3, zones: 3, vms: 8},
	{name: "unguarded", entries: 3, zones: 3, vms: 8, unguarded: true},
}

// oneTask describes a job of one task, and taskPerVM one of long-running tasks on
// different VMs.
var oneTask = []map[string]any{{"count": 1, "cpu": 1000, "estimateMs": 500}}

func taskPerVM(count int) []map[string]any {
	return []map[string]any{{"count": count, "cpu": 1000, "longRunning": true, "antiAffinity": 1}}
}

// setMaxRuns sets the capacity of some VMs.
func setMaxRuns(vms []*fleetVM, n int) {
	for _, v := range vms {
		v.worker.SetMaxRuns(n)
	}
}

// firstStart returns when job n first started a run; zero if it has not.
func (f *fleet) firstStart(n int) time.Time {
	var first time.Time
	for _, v := range f.vms {
		for _, s := range v.worker.History() {
			if runner.JobID(s.Task) == jobID(n) && (first.IsZero() || s.Start.Before(first)) {
				first = s.Start
			}
		}
	}
	return first
}

// Guards against tasks that wait for seconds after a refusal although other VMs are free:
// the capacity of each half of the workers shrinks in turn to what runs there, while the
// other half is nearly free.
func TestTasksStartWhileCapacityChanges(t *testing.T) {
	for _, shape := range capacityShapes {
		t.Run(shape.name, func(t *testing.T) {
			runInFleet(t, shape, func(f *fleet) {
				f.submit(1000, "", taskPerVM(len(f.vms)))
				time.Sleep(2 * time.Second)
				accepted := []time.Time{}
				for begin := time.Now(); time.Since(begin) < time.Minute; {
					half := len(accepted) / 16 % 2
					setMaxRuns(f.vms[half*4:half*4+4], 1)
					setMaxRuns(f.vms[4-half*4:8-half*4], fleetMaxRuns)
					f.submit(len(accepted), "500", oneTask)
					accepted = append(accepted, time.Now())
					time.Sleep(300 * time.Millisecond)
				}
				time.Sleep(20 * time.Second)
				for n, at := range accepted {
					delay := f.firstStart(n).Sub(at)
					assert.Check(t, delay >= 0 && delay <= maxStartDelay, "job %d started after %s", n, delay)
				}
				f.checkRuns()
			})
		})
	}
}

// Guards against tasks that wait after the capacity has grown again: all workers shrink to
// what runs there, refuse starts, and grow, again and again, while no run ends by itself.
func TestTasksStartOnceCapacityGrows(t *testing.T) {
	runInFleet(t, smallFleet, func(f *fleet) {
		f.submit(1000, "", taskPerVM(len(f.vms)))
		time.Sleep(2 * time.Second)
		for cycle := range 10 {
			setMaxRuns(f.vms, 1)
			for n := range 6 {
				f.submit(10*cycle+n, "60000", oneTask)
				time.Sleep(500 * time.Millisecond)
			}
			grown := time.Now()
			setMaxRuns(f.vms, fleetMaxRuns)
			time.Sleep(12 * time.Second)
			for n := range 6 {
				start := f.firstStart(10*cycle + n)
				assert.Check(t, !start.IsZero() && start.Sub(grown) <= maxStartDelay, "cycle %d: job %d started %s after the capacity grew", cycle, n, start.Sub(grown))
				status, _ := f.call(http.MethodDelete, 10*cycle+n, nil)
				assert.Equal(t, status, http.StatusOK)
			}
		}
		f.checkRuns()
	})
}

// Guards against tasks that wait for the next heartbeat (LOST) where the platform's workers send
// them less or more often: a capacity counts as known between two heartbeats.
func TestTasksStartBetweenHeartbeats(t *testing.T) {
	for _, interval := range []time.Duration{500 * time.Millisecond, 10 * time.Second} {
		shape := smallFleet
		shape.heartbeatInterval = interval
		t.Run(interval.String(), func(t *testing.T) {
			runInFleet(t, shape, func(f *fleet) {
				accepted := make([]time.Time, 60)
				for n := range accepted {
					f.submit(n, "500", oneTask)
					accepted[n] = time.Now()
					time.Sleep(410 * time.Millisecond)
				}
				time.Sleep(2 * interval)
				for n, at := range accepted {
					delay := f.firstStart(n).Sub(at)
					assert.Check(t, delay >= 0 && delay <= maxStartDelay, "job %d started after %s", n, delay)
				}
				f.checkRuns()
			})
		})
	}
}

// Guards against a changed capacity that waits for the next renewal of the lease: the owner
// must use grown workers as soon as a heartbeat shows them.
func TestChangedCapacityIsReportedAtOnce(t *testing.T) {
	// maxDelay is the interval of the heartbeats and a little time for the calls.
	const maxDelay = 1600 * time.Millisecond
	runInFleet(t, smallFleet, func(f *fleet) {
		f.submit(1000, "", taskPerVM(len(f.vms)))
		for n := range 12 {
			setMaxRuns(f.vms, 1)
			// The phase of the renewals differs in each round.
			time.Sleep(5*time.Second + time.Duration(n)*130*time.Millisecond)
			f.submit(n, "500", oneTask)
			setMaxRuns(f.vms, fleetMaxRuns)
			grown := time.Now()
			time.Sleep(5 * time.Second)
			delay := f.firstStart(n).Sub(grown)
			assert.Check(t, delay >= 0 && delay <= maxDelay, "job %d started %s after the capacity grew", n, delay)
		}
	})
}

// Guards against tasks that wait because a start without an answer is given up slowly: a
// worker answers no start, and the task must start on another VM.
func TestUnansweredStartsAreGivenUpInTime(t *testing.T) {
	runInFleet(t, smallFleet, func(f *fleet) {
		f.vms[0].worker.DelayStarts(20 * time.Second)
		for n := range 20 {
			f.submit(n, "500", oneTask)
			accepted := time.Now()
			// The VM's pause ends, and the phase of the long polls differs in each round.
			time.Sleep(12*time.Second + time.Duration(n)*130*time.Millisecond)
			delay := f.firstStart(n).Sub(accepted)
			assert.Check(t, delay >= 0 && delay <= maxStartDelay, "job %d started after %s", n, delay)
		}
		f.checkRuns()
	})
}

// Guards against starts that bring a worker over its capacity because they were planned
// before it shrank and are carried out long after that.
func TestLateStartsKeepWithinShrunkCapacity(t *testing.T) {
	// outage is longer than a shrunk capacity may be ignored.
	const outage = 6 * time.Second
	for _, c := range []struct {
		name   string
		inject func(f *fleet)
	}{
		{"store hangs", func(f *fleet) {
			f.store.SetFault(keeper.Unresponsive)
			time.Sleep(500 * time.Millisecond)
			setMaxRuns(f.vms, 1)
			time.Sleep(outage)
			f.store.SetFault(keeper.Healthy)
		}},
		{"owner killed", func(f *fleet) {
			setMaxRuns(f.vms, 1)
			f.killEntry(f.owner(), outage)
		}},
		{"agents cut off from their workers", func(f *fleet) {
			setMaxRuns(f.vms, 1)
			for _, v := range f.vms {
				f.net.setFault(linkName(v.name+workerSuffix, v.name), blackholed)
			}
			time.Sleep(outage)
			for _, v := range f.vms {
				f.net.setFault(linkName(v.name+workerSuffix, v.name), healthy)
			}
		}},
		{"workers restart smaller", func(f *fleet) {
			for _, v := range f.vms {
				v.worker.SetMaxRuns(1)
				v.worker.Restart()
				time.Sleep(outage / time.Duration(len(f.vms)))
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runInFleet(t, capacityShapes[1], func(f *fleet) {
				f.submit(1000, "", taskPerVM(len(f.vms)))
				// The second steps become ready during the fault.
				steps := []map[string]any{
					{"count": 1, "cpu": 1000, "estimateMs": 800},
					{"count": 6, "cpu": 1000, "estimateMs": 800, "dependsOn": []int{0}},
				}
				for n := range 6 {
					f.submit(n, fmt.Sprint(700+1500*n), steps)
				}
				c.inject(f)
				time.Sleep(10 * time.Second)
				setMaxRuns(f.vms, fleetMaxRuns)
				for n := range 6 {
					f.waitForState(n, "completed", time.Minute)
				}
				f.checkRuns()
			})
		})
	}
}
