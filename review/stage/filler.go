package main

import (
	"fmt"
	"time"
)

// filler runs a service that lasts and fills (longRunning with fillCount) on eleven minions, and loses one of
// them for good (srv_crash, gone). The rest has room for its tasks many times over.
func filler(f *fleet, trouble bool) (bool, error) {
	if err := f.small(11, minionOptions{cpu: 32000, memory: 128000, labels: []string{"a", "r1-1"}}); err != nil {
		return false, err
	}
	f.configure(1, "ledger")
	if err := f.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	const tasks = 22
	id := newID()
	j := job{Spec: lastingSpec, Steps: []step{{Count: tasks, CPU: 10000, Memory: 2000, Estimate: 1000, LongRunning: true, FillCount: true, Image: "indexer"}}}
	if status := f.submit(f.entries[0], "ledger", id, j); status != 200 {
		return false, fmt.Errorf("the job was not accepted: %d", status)
	}
	time.Sleep(4 * time.Second)
	f.record.add("%d of %d tasks run", f.running(), tasks)
	if f.running() != tasks {
		return false, fmt.Errorf("%d of %d tasks run before the disruption", f.running(), tasks)
	}
	if trouble {
		f.minions[0].down()
	}
	begun := time.Now()
	for time.Since(begun) < 25*time.Second {
		time.Sleep(time.Second)
		n := f.running()
		f.record.add("%d of %d tasks run", n, tasks)
		if trouble && n == tasks {
			return false, nil
		}
	}
	if f.running() < tasks {
		f.record.add("LOST: %d tasks that last have had no run for %.0f s; the other minions have %d MB of memory free", tasks-f.running(), time.Since(begun).Seconds(), 10*128000-2000*f.running())
		return true, nil
	}
	return false, nil
}

// running returns the number of tasks that run.
func (f *fleet) running() int {
	n := 0
	for _, m := range f.minions {
		n += len(m.tasks())
	}
	return n
}
