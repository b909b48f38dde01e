package main

import (
	"bytes"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/plantainrail/plantainrail/standin/runner"
)

// slowStore makes each answer of the store late, and tells when the topic of the members is appended to.
type slowStore struct {
	mu      sync.Mutex
	slow    bool
	claimed chan struct{}
	once    sync.Once
}

// intercept implements the hook of the fleet's store.
func (s *slowStore) intercept(_ http.ResponseWriter, req *http.Request) bool {
	// An answer takes 4 ms, and sixty times as long while the store is slow.
	const answerTime, factor = 4 * time.Millisecond, 60
	s.mu.Lock()
	slow := s.slow
	s.mu.Unlock()
	if slow {
		time.Sleep(answerTime * factor)
		if req.URL.Path == "/log-append" && req.URL.Query().Get("topic") == "keyed.members" {
			s.once.Do(func() { close(s.claimed) })
		}
	}
	return false
}

// owner returns the entry that has gained the ownership last, by the logs.
func (f *fleet) owner() (*process, error) {
	var newest *process
	latest := int64(-1)
	for _, p := range f.entries {
		log, err := os.ReadFile(filepath.Join(f.folder, p.name) + ".log")
		if err != nil {
			return nil, err
		}
		for _, line := range bytes.Split(log, []byte("\n")) {
			var epoch int64
			if _, rest, found := bytes.Cut(line, []byte(`"event":"ownership gained","epoch":`)); found {
				_, _ = fmt.Sscanf(string(rest), "%d", &epoch)
				if epoch > latest {
					newest, latest = p, epoch
				}
			}
		}
	}
	if newest == nil {
		return nil, fmt.Errorf("no entry owns the jobs")
	}
	return newest, nil
}

// connections returns the local addresses of the open connections from one process to the peer port of another.
func connections(from, to *process) map[string]bool {
	out := map[string]bool{}
	var a, b, c, d int
	_, _ = fmt.Sscanf(to.ip, "%d.%d.%d.%d", &a, &b, &c, &d)
	remote := fmt.Sprintf("%02X%02X%02X%02X:%04X", d, c, b, a, peerPort)
	sockets := map[string]bool{}
	folder := fmt.Sprintf("/proc/%d/fd", from.command.Process.Pid)
	entries, _ := os.ReadDir(folder)
	for _, e := range entries {
		if target, err := os.Readlink(filepath.Join(folder, e.Name())); err == nil && strings.HasPrefix(target, "socket:[") {
			sockets[strings.TrimSuffix(strings.TrimPrefix(target, "socket:["), "]")] = true
		}
	}
	raw, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(raw)) {
		const localField, remoteField, stateField, inodeField = 1, 2, 3, 9
		words := strings.Fields(line)
		if len(words) > inodeField && words[remoteField] == remote && words[stateField] == "01" && sockets[words[inodeField]] {
			out[words[localField]] = true
		}
	}
	return out
}

// active returns the number of runs that have not ended.
func active(workers []*runner.Worker) (n int) {
	for _, w := range workers {
		for _, s := range w.History() {
			if s.End.IsZero() {
				n++
			}
		}
	}
	return n
}

// playWake freezes the owner of the jobs while the store is slow, until another entry has claimed the ownership, and the
// machine of one minion for half a second as the owner wakes. All minions stay up. Each task that lasts must be at work
// again.
func playWake(f *fleet, trouble bool) (broken bool, err error) {
	const (
		minions = 8
		id      = "00000000000000e1"
		slowFor = 4500 * time.Millisecond
		// maxFreeze is that of the site file.
		maxFreeze   = 4 * time.Second
		agentFreeze = 450 * time.Millisecond
		watched     = 30 * time.Second
		// The owner freezes again if the task of no minion has lapsed after settleTime.
		tries      = 3
		settleTime = 10 * time.Second
		// A task that lasts has to run from 6 s after its last run on, if the 3 s and the 4 s before are calm.
		limit = 13 * time.Second
	)
	if err := f.startEntries(2); err != nil {
		return false, err
	}
	workers, err := f.startRunners(minions)
	if err != nil {
		return false, err
	}
	time.Sleep(2 * contactTime)
	body := fmt.Sprintf(`{"spec":"","steps":[{"count":%d,"cpu":1000,"memMb":256,"estimateMs":400,"longRunning":true,"antiAffinity":1}]}`, minions)
	if err := f.submit(id, body); err != nil {
		return false, err
	}
	if !f.await(startTime, func() bool { return active(workers) == minions }) {
		return false, fmt.Errorf("not all tasks run")
	}
	for try := 0; trouble && try < tries && active(workers) == minions; try++ {
		if err := f.freezeOwner(slowFor, maxFreeze, agentFreeze); err != nil {
			return false, err
		}
		time.Sleep(settleTime)
	}
	var since time.Time
	for until := time.Now().Add(watched); time.Now().Before(until); time.Sleep(time.Second) {
		n := active(workers)
		f.note("%d of %d tasks run", n, minions)
		switch {
		case n == minions:
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
		}
	}
	f.noteHistory(workers)
	return !since.IsZero() && time.Since(since) > limit, nil
}

// awaitDial waits until another entry has claimed the jobs and an agent that has read this dials the frozen owner, and returns
// the agent. The connections that were open before don't count. It returns nil if there is none at the given time.
func (f *fleet) awaitDial(owner *process, before map[string]bool, claimed <-chan struct{}, until time.Time) *process {
	// An agent gives a dial up after a second. A young one may not have sent its request yet.
	const youngest, oldest = 50 * time.Millisecond, 450 * time.Millisecond
	// readTime is what the agents take to read the claim from the slow store. An earlier dial is given up then.
	const readTime = 350 * time.Millisecond
	var claimedAt time.Time
	seen := map[string]time.Time{}
	for ; time.Now().Before(until); time.Sleep(time.Millisecond) {
		select {
		case <-claimed:
			if claimedAt.IsZero() {
				claimedAt = time.Now()
				f.note("another entry claims the jobs")
			}
		default:
		}
		for _, agent := range f.agents {
			for local := range connections(agent, owner) {
				if seen[local].IsZero() {
					seen[local] = time.Now()
				}
				age := time.Since(seen[local])
				informed := !claimedAt.IsZero() && time.Since(claimedAt) >= readTime
				if informed && !before[local] && age >= youngest && age <= oldest {
					f.note("%s dials %s", agent.name, owner.name)
					return agent
				}
			}
		}
	}
	return nil
}

// freezeOwner freezes the owner and one agent; see playWake.
func (f *fleet) freezeOwner(slowFor, maxFreeze, agentFreeze time.Duration) error {
	owner, err := f.owner()
	if err != nil {
		return err
	}
	store := &slowStore{slow: true, claimed: make(chan struct{})}
	f.setIntercept(store.intercept)
	f.note("the store is slow")
	time.AfterFunc(slowFor, func() {
		f.note("the store is as fast as before")
		f.setIntercept(nil)
	})
	time.Sleep(agentFreeze)
	before := map[string]bool{}
	for _, agent := range f.agents {
		maps.Copy(before, connections(agent, owner))
	}
	f.note("%s, which owns the jobs, freezes", owner.name)
	_ = owner.command.Process.Signal(syscall.SIGSTOP)
	frozen := f.awaitDial(owner, before, store.claimed, time.Now().Add(maxFreeze))
	if frozen != nil {
		f.note("%s freezes", frozen.name)
		_ = frozen.command.Process.Signal(syscall.SIGSTOP)
	}
	f.note("%s wakes", owner.name)
	_ = owner.command.Process.Signal(syscall.SIGCONT)
	if frozen != nil {
		time.Sleep(agentFreeze)
		f.note("%s wakes", frozen.name)
		_ = frozen.command.Process.Signal(syscall.SIGCONT)
	}
	return nil
}
