package main

import (
	"fmt"
	"time"
)

const (
	// largeCount is the number of tasks of the large job.
	largeCount = 50_000
	// smallJobs is the number of jobs that are submitted after the large one.
	smallJobs = 20
	// finishTime is finish_s: how long after the end of the traffic jobs are asked for.
	finishTime = 14 * time.Second
	// starvedTime is how long a job may have nothing running although there is room.
	starvedTime = 3 * time.Second
)

// largeJob checks that jobs are run after a job of very many small tasks was accepted.
func largeJob(f *fleet, trouble string) ([]string, error) {
	storeAddress, err := f.serve(f.store)
	if err != nil {
		return nil, err
	}
	entry, err := f.startSmall(storeAddress, 4)
	if err != nil {
		return nil, err
	}
	if trouble != troubleNone {
		id, err := f.submit(entry, job{Spec: "1000", Steps: []step{{Count: largeCount, CPU: 10, Memory: 1, Estimate: 1000}}})
		if err != nil {
			return nil, err
		}
		f.note("job %s of %d tasks is accepted", id, largeCount)
	}
	var ids []string
	for range smallJobs {
		id, err := f.submit(entry, job{Spec: "500", Steps: []step{{Count: 2, CPU: 500, Memory: 100, Estimate: 500}}})
		if err != nil {
			return nil, err
		}
		f.note("job %s of 2 tasks is accepted", id)
		ids = append(ids, id)
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(finishTime + starvedTime)
	var broken []string
	running := 0
	for _, v := range f.vms {
		for _, s := range v.worker.History() {
			if s.End.IsZero() {
				running++
			}
		}
	}
	f.note("%d tasks run on the workers", running)
	for _, id := range ids {
		state := f.state(entry, id)
		f.note("job %s is %s and has had %d runs", id, state, len(f.runs(id)))
		if state != "completed" && len(f.runs(id)) == 0 && running == 0 {
			broken = append(broken, fmt.Sprintf("job %s is %s and has never had a run, with all workers idle", id, state))
		}
	}
	return broken, nil
}
