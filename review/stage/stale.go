package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// cutTime is how long the entry is cut off: for_s of core_cut in the site file.
const cutTime = 5500 * time.Millisecond

// stale cuts one entry off from the store (core_cut) and cancels jobs there that another entry has just
// accepted. A cancel that is answered with 2xx or 410 is acknowledged: none of the job's tasks may start more
// than cancel_ms after that.
func stale(f *fleet, trouble bool) (bool, error) {
	if err := f.small(6, minionOptions{cpu: 32000, memory: 128000, labels: []string{"a", "r1-1"}}); err != nil {
		return false, err
	}
	f.configure(1, "plaques")
	if err := f.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	var other, away *process
	for _, p := range f.entries {
		switch {
		case f.logged(p, "ownership gained"):
			f.record.add("%s owns the jobs", p.name)
			other = p
		case away == nil:
			away = p
		}
	}
	if other == nil || away == nil {
		return false, errors.New("no entry owns the jobs")
	}
	cutAt := time.Now()
	if trouble {
		away.link.setCut(true)
		f.record.add("%s is cut off from the store", away.name)
	}
	type cancelled struct {
		id     string
		status int
		at     time.Time
	}
	var all []cancelled
	for range 5 {
		id := newID()
		j := job{Spec: "2500", Steps: []step{{Count: 2, CPU: 1000, Memory: 1000, Estimate: 2500}, {Count: 2, CPU: 1000, Memory: 1000, Estimate: 2500, DependsOn: []int{0}}, {Count: 2, CPU: 1000, Memory: 1000, Estimate: 2500, DependsOn: []int{1}}}}
		if status := f.submit(other, "plaques", id, j); status != 200 {
			return false, fmt.Errorf("job not accepted: %d", status)
		}
		time.Sleep(100 * time.Millisecond)
		f.record.add("%s is ready: %v", away.name, ready(http.DefaultClient, away))
		status, _ := f.call(away, http.MethodDelete, "/plaques/"+id, nil)
		all = append(all, cancelled{id, status, time.Now()})
	}
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	away.link.setCut(false)
	f.record.add("the cut has ended")
	time.Sleep(8 * time.Second)
	broken := false
	for _, c := range all {
		if c.status/100 != 2 && c.status != http.StatusGone {
			continue
		}
		for _, m := range f.minions {
			for _, b := range m.startsOf(c.id) {
				if late := b.at.Sub(c.at); late > 3*time.Second {
					broken = true
					f.record.add("UNASKED: %s began on %s %.3f s after its cancel was answered with %d", b.task, m.id, late.Seconds(), c.status)
				}
			}
		}
	}
	return broken, nil
}

// logged reports whether a process has written a line with the text.
func (f *fleet) logged(p *process, text string) bool {
	raw, err := os.ReadFile(filepath.Join(f.dir, p.name+".log"))
	return err == nil && strings.Contains(string(raw), text)
}
