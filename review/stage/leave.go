package main

import (
	"errors"
	"fmt"
	"time"
)

// leave lets a minion drain and leave (scale_in). Its machine's connections are reset once (reset_conns) right after it has
// deregistered, so that it gets no acknowledgement and ends some seconds later. No task may run twice meanwhile.
func leave(f *fleet, trouble bool) (bool, error) {
	if err := f.small(6, minionOptions{cpu: 32000, memory: 128000, labels: []string{"a", "r1-1"}}); err != nil {
		return false, err
	}
	f.configure(1, "ledger")
	if err := f.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	const tasks = 12
	j := job{Spec: "20000", Steps: []step{{Count: tasks, CPU: 3000, Memory: 2000, Estimate: 20000}}}
	if status := f.submit(f.entries[0], "ledger", newID(), j); status != 200 {
		return false, fmt.Errorf("the job was not accepted: %d", status)
	}
	time.Sleep(2 * time.Second)
	if f.running() != tasks {
		return false, errors.New("not all tasks run")
	}
	m := f.minions[0]
	m.drain()
	time.Sleep(2500 * time.Millisecond)
	acked := m.deregister(trouble)
	f.record.add("minion %s has deregistered, acknowledged: %v", m.id, acked)
	if !acked {
		time.Sleep(3 * time.Second)
	}
	m.down()
	time.Sleep(3 * time.Second)
	return f.twice(), nil
}

// twice reports whether two runs of one task have overlapped, and records them.
func (f *fleet) twice() bool {
	broken := false
	byTask := map[string][]begin{}
	for _, m := range f.minions {
		for _, b := range m.startsOf("") {
			byTask[b.task] = append(byTask[b.task], b)
		}
	}
	for task, runs := range byTask {
		for _, a := range runs {
			for _, b := range runs {
				overlap := earlier(a.end, b.end).Sub(b.at)
				if b.at.After(a.at) && overlap > 0 {
					broken = true
					f.record.add("TWICE: run %d of %s begins on %s while run %d works on %s, for %.3f s", b.number, task, b.minion, a.number, a.minion, overlap.Seconds())
				}
			}
		}
	}
	return broken
}

// earlier returns the earlier one of two ends of runs, or the present if neither has ended.
func earlier(a, b time.Time) time.Time {
	now := time.Now()
	for _, end := range []time.Time{a, b} {
		if !end.IsZero() && end.Before(now) {
			now = end
		}
	}
	return now
}
