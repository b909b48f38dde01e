package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// entryMemory is the memory of an entry's machine in MB, as in sites/bancs-fleuve.toml.
const entryMemory = 284

// residentMB returns the memory that a process has in use, in MB; 0 if it has ended.
func residentMB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, _ := strconv.Atoi(strings.Fields(value)[0])
			return kilobytes >> 10
		}
	}
	return 0
}

// enforceMemory kills an entry that exceeds the memory of its machine and starts it again, as the platform does,
// until the context ends. It returns how often it has killed each.
func (f *fleet) enforceMemory(ctx context.Context) (kills []int, err error) {
	const interval, restartDelay = 100 * time.Millisecond, time.Second
	kills = make([]int, len(f.entries))
	peaks := make([]int, len(f.entries))
	for ctx.Err() == nil {
		time.Sleep(interval)
		for i, p := range f.entries {
			used := residentMB(p.command.Process.Pid)
			peaks[i] = max(peaks[i], used)
			if used <= entryMemory {
				continue
			}
			kills[i]++
			f.note("platform kills %s, which uses %d MB of %d", p.name, used, entryMemory)
			_ = p.command.Process.Kill()
			<-p.exited
			time.Sleep(restartDelay)
			if err := f.restart(p); err != nil {
				return kills, err
			}
		}
	}
	f.note("most memory in use by the entries: %v MB", peaks)
	return kills, nil
}

// playMemory hands in jobs at the site's usual rate, whose bodies are of legal size but large, and have many steps.
// The entries must stay within the memory of their machines.
func playMemory(f *fleet, trouble bool) (broken bool, err error) {
	const (
		minions, capacity = 4, 32_000
		// jobs come at rate a second, as the traffic of the site does.
		jobs, rate = 150, 6
		largeSteps = 8000
		retries    = 4
		// watched is the time after the last job.
		watched = 40 * time.Second
		// A day has a fault if on two machines at least processes end by themselves three times.
		machines, times = 2, 3
	)
	if err := f.startEntries(3); err != nil {
		return false, err
	}
	w := newWorld(f)
	for range minions {
		if _, err := w.start(capacity); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * contactTime)
	steps := `{"count":6,"cpu":480,"memMb":960,"estimateMs":1000},{"count":6,"cpu":480,"memMb":960,"estimateMs":1000,"dependsOn":[0]}`
	if trouble {
		steps = strings.TrimSuffix(strings.Repeat(`{"count":1,"cpu":1000},`, largeSteps), ",")
	}
	body := `{"spec":"work 1000","steps":[` + steps + `]}`
	f.note("bodies have %d bytes", len(body))
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	type result struct {
		kills []int
		err   error
	}
	ended := make(chan result, 1)
	go func() {
		kills, err := f.enforceMemory(ctx)
		ended <- result{kills, err}
	}()
	accepted := 0
	for i := range jobs {
		for try := range retries + 1 {
			p := f.entries[(i+try)%len(f.entries)]
			status, _, err := f.call(http.MethodPost, fmt.Sprintf("http://%s:%d%s%016x", p.ip, frontendPort, queuePrefix, i+1), body, clientTimeout)
			if err == nil && status == http.StatusOK {
				accepted++
				break
			}
			f.note("job %016x: %s answers %d, %v", i+1, p.name, status, err)
		}
		time.Sleep(time.Second / rate)
	}
	f.note("%d of %d jobs accepted", accepted, jobs)
	for until := time.Now().Add(watched); time.Now().Before(until); time.Sleep(5 * time.Second) {
		f.ask(0, http.MethodGet, fmt.Sprintf("%016x", 1), "", clientTimeout)
	}
	cancel()
	r := <-ended
	f.note("kills by entry: %v", r.kills)
	ending := 0
	for _, n := range r.kills {
		if n >= times {
			ending++
		}
	}
	return ending >= machines, r.err
}
