package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	// stuckJobs is the number of jobs that no worker can run, so that they stay pending.
	stuckJobs = 40
	// earlierJobs is the number of the completed jobs of earlier: what some 50 minutes of the
	// traffic on the users' sheet leave. usualSpec is the mean length of a spec there.
	earlierJobs = 20_000
	usualSpec   = 600
	// pollInterval is the time between two questions for the number of pending jobs.
	pollInterval = 2 * time.Millisecond
)

// newReplica checks the number of pending jobs that an undisturbed entry gives while it takes
// the place of its zone's other entry, which is stopped and started again.
func newReplica(f *fleet, trouble string) ([]string, error) {
	s := newLogStore()
	s.put("keyed.op", "config", []byte(operatorConfig))
	if _, err := s.fill(earlierJobs, usualSpec, maxStored); err != nil {
		return nil, err
	}
	f.note("the store holds the records of %d completed jobs, %d bytes", earlierJobs, s.stored)
	storeAddress, err := f.serve(s)
	if err != nil {
		return nil, err
	}
	first, err := f.startSmall(storeAddress, 3)
	if err != nil {
		return nil, err
	}
	second, err := f.addEntry("entry-1b", "z-a", storeAddress)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	for range stuckJobs {
		if _, err := f.submit(first, job{Spec: "100", Steps: []step{{Count: 1, CPU: 1000, Memory: 100, Requirements: "no-such-kind"}}}); err != nil {
			return nil, err
		}
	}
	f.note("%d jobs are accepted that no worker can run", stuckJobs)
	// The rule asks for jobs that were accepted over visible_ms + 2 s = 5 s before.
	time.Sleep(8 * time.Second)
	if n, err := f.pending(second); err != nil || n < stuckJobs {
		return nil, fmt.Errorf("%d jobs are pending before the disruption: %v", n, err)
	}
	restarted := make(chan error, 1)
	go func() {
		if trouble == troubleNone {
			restarted <- nil
			return
		}
		restarted <- first.restart()
	}()
	broken := f.watchPending(second, 10*time.Second)
	return broken, <-restarted
}

// watchPending asks an entry for the number of pending jobs for some time, and returns the
// answers that are below half of it.
func (f *fleet) watchPending(entry *process, duration time.Duration) []string {
	var broken []string
	last, answers := -1, 0
	for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(pollInterval) {
		n, err := f.pending(entry)
		if err != nil {
			n = -1
		}
		if n >= 0 {
			answers++
		}
		if n != last {
			f.note("%s gives %d pending jobs (%v)", entry.name, n, err)
			last = n
		}
		if n >= 0 && 2*n < stuckJobs {
			broken = append(broken, fmt.Sprintf("%s gives %d of %d pending jobs", entry.name, n, stuckJobs))
		}
	}
	f.note("%d answers with a number", answers)
	return broken
}

// pending returns the number of the queue's pending jobs that an entry gives.
func (f *fleet) pending(entry *process) (int, error) {
	status, raw, err := f.call(http.MethodGet, entry.frontend, "/q/", nil)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, fmt.Errorf("status %d", status)
	}
	var answer struct {
		Pending int `json:"pending"`
	}
	return answer.Pending, json.Unmarshal(raw, &answer)
}
