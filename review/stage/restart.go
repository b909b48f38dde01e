package main

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// restart lets one call that starts a task be carried out late (applied_late), by the minion's next life, after the
// minion and its machine have lost power (node_kill, power) and are back.
func restart(f *fleet, trouble bool) (bool, error) {
	if err := f.small(6, minionOptions{cpu: 32000, memory: 128000, labels: []string{"a", "r1-1"}}); err != nil {
		return false, err
	}
	f.configure(1, "plaques")
	if err := f.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	// Five of the minions are full for three seconds, so that the task gets to the sixth one.
	full := job{Spec: "3000", Steps: []step{{Count: 5, CPU: 30000, Memory: 960, Estimate: 3000}}}
	if status := f.submit(f.entries[0], "plaques", newID(), full); status != 200 {
		return false, fmt.Errorf("the job was not accepted: %d", status)
	}
	time.Sleep(time.Second)
	at := slices.IndexFunc(f.minions, func(m *minion) bool { return len(m.tasks()) == 0 })
	if at < 0 {
		return false, errors.New("no minion is free")
	}
	m, agent := f.minions[at], f.agents[at]
	if trouble {
		m.mu.Lock()
		m.lateStart = lateTime
		m.mu.Unlock()
	}
	if status := f.submit(f.entries[0], "plaques", newID(), job{Spec: "20000", Steps: []step{{Count: 1, CPU: 5000, Memory: 960, Estimate: 20000}}}); status != 200 {
		return false, fmt.Errorf("the job was not accepted: %d", status)
	}
	if trouble {
		select {
		case <-m.heldUp:
		case <-time.After(10 * time.Second):
			return false, errors.New("no start to hold up")
		}
		m.down()
		_ = agent.command.Process.Kill()
		<-agent.ended
		time.Sleep(2500 * time.Millisecond)
		if err := m.up(); err != nil {
			return false, err
		}
		if err := f.restart(agent); err != nil {
			return false, err
		}
	}
	time.Sleep(14 * time.Second)
	return f.twice(), nil
}
