package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

const (
	// lateTime is how late the call is carried out; applied_late allows 2 to 12 s.
	lateTime = 8 * time.Second
	// cutAfter is the time from the call to the cut, and lateCutTime how long that lasts.
	cutAfter    = 4 * time.Second
	lateCutTime = 9 * time.Second
)

// late lets one call that renews a minion's lease be carried out late (applied_late), after the minion has crashed
// (srv_crash) and come up again under its ID, and cuts its machine off (node_cut) while its tasks run. With
// TROUBLE=partial the crash and the cut come alone.
func late(f *fleet, trouble bool) (bool, error) {
	if err := f.small(6, minionOptions{cpu: 32000, memory: 128000, labels: []string{"a", "r1-1"}}); err != nil {
		return false, err
	}
	f.configure(1, "plaques")
	if err := f.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	m, agent := f.minions[0], f.agents[0]
	if trouble && os.Getenv("TROUBLE") != "partial" {
		m.mu.Lock()
		m.lateHold = lateTime
		m.mu.Unlock()
		select {
		case <-m.heldUp:
		case <-time.After(10 * time.Second):
			return false, errors.New("no call to hold up")
		}
	}
	begun := time.Now()
	if trouble {
		m.down()
		time.Sleep(1500 * time.Millisecond)
		if err := m.up(); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
	}
	if status := f.submit(f.entries[0], "plaques", newID(), job{Spec: "25000", Steps: []step{{Count: 12, CPU: 5000, Memory: 960, Estimate: 25000}}}); status != 200 {
		return false, fmt.Errorf("the job was not accepted: %d", status)
	}
	time.Sleep(time.Until(begun.Add(cutAfter)))
	if len(m.tasks()) == 0 {
		return false, errors.New("no task runs on the minion")
	}
	if trouble {
		agent.cut(true)
		f.record.add("%s is cut off from the entries and the store; its minion runs %v", agent.name, m.tasks())
	}
	time.Sleep(lateCutTime)
	agent.cut(false)
	f.record.add("the cut has ended")
	time.Sleep(6 * time.Second)
	return f.twice(), nil
}
