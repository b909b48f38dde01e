package main

import (
	"errors"
	"fmt"
	"strings"
	"syscall"
	"time"
)

// large hands in three jobs of many small tasks with a long spec, and kills the entry that owns the jobs once all
// tasks run. The platform starts it again. The tasks last, so all of them have to run again afterwards.
func large(f *fleet, trouble bool) (bool, error) {
	if err := f.small(3, minionOptions{cpu: 32000, memory: 128000, labels: []string{"a", "r1-1"}}); err != nil {
		return false, err
	}
	f.configure(1, "plaques", "feeds")
	if err := f.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	const jobs, tasks = 3, 2400
	// The whole spec has 4,000 bytes.
	spec := lastingSpec + strings.Repeat(" ", 4000-len(lastingSpec))
	for i := range jobs {
		j := job{Spec: spec, Steps: []step{{Count: tasks, CPU: 10, Memory: 40, Estimate: 1000, LongRunning: true}}}
		if status := f.submit(f.entries[i], "feeds", newID(), j); status != 200 {
			return false, fmt.Errorf("the job was not accepted: %d", status)
		}
		for range 30 {
			if time.Sleep(500 * time.Millisecond); f.running() == (i+1)*tasks {
				break
			}
		}
		f.record.add("%d of %d tasks run", f.running(), (i+1)*tasks)
	}
	if f.running() != jobs*tasks {
		return false, errors.New("not all tasks run before the disruption")
	}
	if trouble {
		for _, p := range f.entries {
			if f.logged(p, "ownership gained") {
				f.record.add("%s, which owns the jobs, is killed", p.name)
				_ = p.command.Process.Signal(syscall.SIGKILL)
				<-p.ended
				time.Sleep(500 * time.Millisecond)
				if err := f.restart(p); err != nil {
					return false, err
				}
				break
			}
		}
	}
	none, small := 0, newID()
	for second := range 40 {
		if second == 20 {
			// A small job of another queue.
			f.submit(f.entries[0], "plaques", small, job{Spec: "500", Steps: []step{{Count: 4, CPU: 100, Memory: 100, Estimate: 500}}})
		}
		time.Sleep(time.Second)
		n := f.running()
		f.record.add("%d of %d tasks run", n, jobs*tasks)
		if none++; n > 0 {
			none = 0
		}
	}
	_, state := f.state(f.entries[0], "plaques", small)
	if state != "completed" {
		f.record.add("LOST: the small job %s is %q 20 s after it was handed in", small, state)
	}
	if n := f.running(); n < jobs*tasks || state != "completed" {
		f.record.add("LOST: %d of %d tasks that last run 40 s after the disruption; nothing has run for %d s", n, jobs*tasks, none)
		return true, nil
	}
	return false, nil
}
