package main

import (
	"fmt"
	"net"
	"time"
)

const (
	// stopTime is how long a worker takes for a stop, below stopTimeoutMs (900) of the first
	// site. standInStopTime is what the project's stand-in takes.
	stopTime        = 800 * time.Millisecond
	standInStopTime = 300 * time.Millisecond
	// dataRack is the rack of the other three workers, and longTasks the number of the tasks that
	// run on the first one.
	dataRack  = "r1-2"
	longTasks = 4
)

// delayedHeartbeat checks that no task runs twice when the first heartbeat that a restarted
// agent receives is one of the worker's previous life, which a partition has delayed.
func delayedHeartbeat(f *fleet, trouble string) ([]string, error) {
	f.stopDelay = stopTime - standInStopTime
	f.racks = map[string]string{"vm-2": dataRack, "vm-3": dataRack, "vm-4": dataRack}
	storeAddress, err := f.serve(f.store)
	if err != nil {
		return nil, err
	}
	entry, err := f.startSmall(storeAddress, 4)
	if err != nil {
		return nil, err
	}
	v := f.vms[0]
	var held *heldHeartbeat
	if trouble != troubleNone {
		if held, err = v.link.holdOne(); err != nil {
			return nil, err
		}
		f.note("a heartbeat of %s is delayed", v.agent.name)
		v.worker.Crash()
		f.note("the worker of %s crashes", v.agent.name)
		time.Sleep(2 * time.Second)
		v.worker.Restart()
		f.note("the worker of %s is back under its ID", v.agent.name)
	}
	time.Sleep(8 * time.Second)
	// The first job fills the workers in the rack of its data, so that the second one, whose tasks
	// run throughout the rest of the case, gets the other worker. Later there is room in the rack.
	if _, err := f.submit(entry, job{Spec: "5000", Steps: []step{{Count: 3 * maxRuns, CPU: 1000, Memory: 100, Estimate: 5000, Affinity: dataRack}}}); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	id, err := f.submit(entry, job{Spec: "40000", Steps: []step{{Count: longTasks, CPU: 1000, Memory: 100, Estimate: 40000, Affinity: dataRack}}})
	if err != nil {
		return nil, err
	}
	f.note("job %s of %d tasks is accepted", id, longTasks)
	time.Sleep(7 * time.Second)
	if n := len(f.runs(id)); n != longTasks {
		return nil, fmt.Errorf("%d of %d tasks run", n, longTasks)
	}
	if trouble != troubleNone {
		// The worker's next heartbeat is due after the agent's restart.
		v.link.awaitDelivery()
		v.agent.kill()
		time.Sleep(500 * time.Millisecond)
		if err := v.agent.start(); err != nil {
			return nil, err
		}
		if err := awaitListener(v.agent.heartbeat); err != nil {
			return nil, err
		}
		if trouble == troubleAll {
			status, err := v.link.deliver(held.path, held.body)
			f.note("the delayed heartbeat reaches the agent: %s (status %d, %v)", held.body, status, err)
		}
	}
	time.Sleep(15 * time.Second)
	f.noteRuns()
	return f.violations(), nil
}

// awaitListener waits until a process listens at the address.
func awaitListener(address string) error {
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(2 * time.Millisecond) {
		connection, err := net.Dial("tcp", address)
		if err == nil {
			return connection.Close()
		}
	}
	return fmt.Errorf("nothing listens at %s", address)
}

// startSmall starts three entries in three zones and some VMs, waits until jobs are served,
// and returns the first entry.
func (f *fleet) startSmall(storeAddress string, vms int) (*process, error) {
	zones := []string{"z-a", "z-b", "z-c"}
	var first *process
	for i, zone := range zones {
		e, err := f.addEntry(fmt.Sprint("entry-", i+1), zone, storeAddress)
		if err != nil {
			return nil, err
		}
		if first == nil {
			first = e
		}
	}
	for i := range vms {
		if _, err := f.addVM(fmt.Sprint("vm-", i+1), zones[i%len(zones)], storeAddress); err != nil {
			return nil, err
		}
	}
	time.Sleep(4 * time.Second)
	id, err := f.submit(first, job{Spec: "100", Steps: []step{{Count: vms, CPU: 1000, Memory: 100, Estimate: 100}}})
	if err != nil {
		return nil, err
	}
	return first, f.awaitState(first, id, "completed", 10*time.Second)
}
