package main

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/plantainrail/plantainrail/standin/runner"
)

const (
	// trafficDuration and jobInterval describe the clients' traffic: about six jobs a second,
	// as on the users' sheet.
	trafficDuration = 20 * time.Second
	jobInterval     = time.Second / 6
	// silenceAt is when connections go silent, and stopDelay how long after that the owner is
	// asked to stop.
	silenceAt = 10 * time.Second
	stopDelay = 250 * time.Millisecond
	// restartDelay is the platform's delay before it starts an ended process again.
	restartDelay = 500 * time.Millisecond
	// siteVMs is the number of workers on the users' sheet.
	siteVMs = 11
)

// silentJobs checks that no task runs twice when the owner is stopped and started again just after
// the connections over which the other entries wait for new jobs have gone silent. It also notes
// the accepted jobs that are not run to their ends.
func silentJobs(f *fleet, trouble string) ([]string, error) {
	storeAddress, err := f.serve(f.store)
	if err != nil {
		return nil, err
	}
	proxies := map[*process]*silentProxy{}
	var entries []*process
	zones := []string{"z-a", "z-b", "z-c"}
	for i, zone := range zones {
		proxy, address, err := f.newSilentProxy(storeAddress)
		if err != nil {
			return nil, err
		}
		e, err := f.addEntry(fmt.Sprint("entry-", i+1), zone, address)
		if err != nil {
			return nil, err
		}
		proxies[e] = proxy
		entries = append(entries, e)
	}
	for i := range siteVMs {
		if _, err := f.addVM(fmt.Sprint("vm-", i+1), zones[i%len(zones)], storeAddress); err != nil {
			return nil, err
		}
	}
	time.Sleep(4 * time.Second)
	owner, err := f.owner()
	if err != nil {
		return nil, err
	}
	f.note("%s owns the jobs", owner.name)
	stopped := make(chan error, 1)
	go func() {
		time.Sleep(silenceAt)
		if trouble == troubleAll {
			for _, e := range entries {
				if e != owner {
					f.note("%d connections of %s to the store go silent", proxies[e].silence(isJobsRead), e.name)
				}
			}
		}
		time.Sleep(stopDelay)
		if trouble == troubleNone {
			stopped <- nil
			return
		}
		stopped <- owner.restart()
	}()
	ids := f.sendTraffic(entries, owner, trouble)
	if err := <-stopped; err != nil {
		return nil, err
	}
	f.note("the traffic ends: %d jobs are accepted", len(ids))
	time.Sleep(finishTime)
	for _, text := range f.findStarved(entries, ids) {
		f.note("LOST: %s", text)
	}
	if trouble != troubleNone {
		// A rolling restart goes on with the next entry.
		if owner, err = f.owner(); err != nil {
			return nil, err
		}
		f.note("%s owns the jobs", owner.name)
		if err := owner.restart(); err != nil {
			return nil, err
		}
	}
	time.Sleep(settleTime)
	broken := f.violations()
	for _, id := range ids {
		f.noteRepeated(id)
	}
	return broken, nil
}

// settleTime is how long a case waits for the effects of its last step.
const settleTime = 8 * time.Second

// violations returns the tasks that were run twice.
func (f *fleet) violations() []string {
	var histories [][]runner.Span
	for _, v := range f.vms {
		histories = append(histories, v.worker.History())
	}
	return runner.Violations(histories...)
}

// noteRepeated writes the runs of a job to the record if a task of it has had more than one.
func (f *fleet) noteRepeated(id string) {
	runs := f.runs(id)
	repeated := slices.ContainsFunc(runs, func(s runner.Span) bool { return s.Run > 1 })
	for _, s := range runs {
		if repeated {
			f.note("run %s %d from %.3f to %.3f %s, end acknowledged: %t", s.Task, s.Run, s.Start.Sub(f.started).Seconds(), s.End.Sub(f.started).Seconds(), s.Outcome, s.Acknowledged)
		}
	}
}

// isJobsRead reports whether a request waits for records of the jobs topic.
func isJobsRead(request string) bool {
	return strings.Contains(request, "/log-read") && strings.Contains(request, "topic=keyed.jobs")
}

// sendTraffic sends jobs to the entries in turn, and returns the IDs of those that were
// accepted. The entry that is to be restarted gets none from shortly before: the balancer sends
// new connections elsewhere.
func (f *fleet) sendTraffic(entries []*process, restarted *process, trouble string) []string {
	var ids []string
	began := time.Now()
	for n := 0; time.Since(began) < trafficDuration; n++ {
		e := entries[n%len(entries)]
		if e == restarted && trouble != troubleNone && time.Since(began) > silenceAt {
			e = entries[(n+1)%len(entries)]
		}
		id, err := f.submit(e, job{Spec: "300", Steps: []step{{Count: 3, CPU: 1000, Memory: 100, Estimate: 300}}})
		if err != nil {
			f.note("%v", err)
		} else {
			f.note("job %s is accepted by %s", id, e.name)
			ids = append(ids, id)
		}
		time.Sleep(time.Until(began.Add(time.Duration(n+1) * jobInterval)))
	}
	return ids
}

// findStarved returns the jobs that have not ended and have nothing running for starvedTime,
// with workers idle.
func (f *fleet) findStarved(entries []*process, ids []string) []string {
	counted := map[string]int{}
	for range int(starvedTime / time.Second) {
		for _, id := range ids {
			if f.state(entries[0], id) != "completed" && f.running(id) == 0 {
				counted[id]++
			}
		}
		time.Sleep(time.Second)
	}
	total := 0
	for _, v := range f.vms {
		for _, s := range v.worker.History() {
			if s.End.IsZero() {
				total++
			}
		}
	}
	f.note("%d tasks run on workers with room for %d", total, maxRuns*len(f.vms))
	var broken []string
	for _, id := range ids {
		state := f.state(entries[0], id)
		if counted[id] < int(starvedTime/time.Second) || state == "completed" || 2*total >= maxRuns*len(f.vms) {
			continue
		}
		broken = append(broken, fmt.Sprintf("job %s is %q, and nothing of it has run for 3 s", id, state))
	}
	f.note("%d jobs of %d are not completed and have nothing running", len(broken), len(ids))
	return broken
}

// running returns the number of a job's tasks that run.
func (f *fleet) running(id string) int {
	n := 0
	for _, s := range f.runs(id) {
		if s.End.IsZero() {
			n++
		}
	}
	return n
}

// restart stops the process by SIGTERM and starts it again.
func (p *process) restart() error {
	p.fleet.note("%s is asked to stop", p.name)
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	err := p.command.Wait()
	p.fleet.note("%s has stopped (%v)", p.name, err)
	p.command = nil
	time.Sleep(restartDelay)
	return p.start()
}
