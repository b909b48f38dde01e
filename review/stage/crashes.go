package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// crashes is the number of times that the minion crashes, and downTime the time for which it is down then.
	crashes  = 30
	downTime = 500 * time.Millisecond
	// minUpTime and maxUpTime bound the time for which it is up in between.
	minUpTime = 100 * time.Millisecond
	maxUpTime = 700 * time.Millisecond
)

// crashLoop lets one of eight minions crash again and again (srv_crash) while it runs a service that needs its label.
// Afterwards it stays up, and the service has to run again.
func crashLoop(f *fleet, trouble bool) (bool, error) {
	if err := f.small(7, minionOptions{cpu: 32000, memory: 128000, labels: []string{"a", "r1-1"}}); err != nil {
		return false, err
	}
	if err := f.startSide(minionOptions{zone: "sl-nord", cpu: 32000, memory: 128000, labels: []string{"b", "r1-2"}}); err != nil {
		return false, err
	}
	m := f.minions[7]
	f.configure(1, "ledger")
	if err := f.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	id := newID()
	j := job{Spec: lastingSpec, Steps: []step{{Count: 1, CPU: 6400, Memory: 13000, Estimate: 400, LongRunning: true, Requirements: "b"}}}
	if status := f.submit(f.entries[0], "ledger", id, j); status != 200 {
		return false, fmt.Errorf("the job was not accepted: %d", status)
	}
	time.Sleep(2 * time.Second)
	for n := 0; trouble && n < crashes; n++ {
		m.down()
		time.Sleep(downTime)
		if err := m.up(); err != nil {
			return false, err
		}
		if n < crashes-1 {
			time.Sleep(minUpTime + rand.N(maxUpTime-minUpTime))
		}
	}
	f.record.add("minion %s stays up from now on", m.id)
	time.Sleep(15 * time.Second)
	_, state := f.state(f.entries[0], "ledger", id)
	running := len(m.tasks())
	f.record.add("the minion runs %d tasks", running)
	if state == "failed" {
		f.record.add("LOST: the job is shown as failed, and none of its runs has ended as failed")
	}
	return state == "failed" || running == 0, nil
}
