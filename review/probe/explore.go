package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"syscall"
	"time"
)

func init() { cases["explore"] = playExplore }

func playExplore(f *fleet, trouble bool) (bool, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	r := rand.New(rand.NewPCG(seed, 7))
	kinds := strings.Split(os.Getenv("KINDS"), ",")
	if err := f.startEntries(3); err != nil {
		return false, err
	}
	w := newWorld(f)
	for range 6 {
		if _, err := w.start(8000); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	w.checkpointBytes = 16
	quit := make(chan struct{})
	type jobInfo struct {
		id    string
		first int64
		kind  int
	}
	var jobs []jobInfo
	go func() {
		defer close(quit)
		end := time.Now().Add(50 * time.Second)
		for trouble && time.Now().Before(end) {
			time.Sleep(time.Duration(500+r.IntN(2500)) * time.Millisecond)
			switch k := kinds[r.IntN(len(kinds))]; k {
			case "entry":
				p := f.entries[r.IntN(3)]
				f.note("restart %s", p.name)
				_ = p.command.Process.Kill()
				<-p.exited
				time.Sleep(300 * time.Millisecond)
				_ = f.restart(p)
			case "agent":
				p := f.agents[r.IntN(6)]
				f.note("restart %s", p.name)
				_ = p.command.Process.Kill()
				<-p.exited
				time.Sleep(300 * time.Millisecond)
				_ = f.restart(p)
			case "stop":
				p := f.entries[r.IntN(3)]
				f.note("stop %s", p.name)
				_ = p.command.Process.Signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(500+r.IntN(4500)) * time.Millisecond)
				_ = p.command.Process.Signal(syscall.SIGCONT)
			case "stopagent":
				p := f.agents[r.IntN(6)]
				f.note("stop %s", p.name)
				_ = p.command.Process.Signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(500+r.IntN(7500)) * time.Millisecond)
				_ = p.command.Process.Signal(syscall.SIGCONT)
			case "crash":
				w.minions[r.IntN(6)].crash(time.Duration(200+r.IntN(3000)) * time.Millisecond)
			case "store":
				f.note("store away")
				f.setIntercept(func(rw http.ResponseWriter, _ *http.Request) bool { rw.WriteHeader(503); return true })
				time.Sleep(time.Duration(500+r.IntN(4000)) * time.Millisecond)
				f.setIntercept(nil)
			}
		}
	}()
	q := rand.New(rand.NewPCG(seed, 9))
	for i := range 45 {
		id := fmt.Sprintf("%016x", 0xabc000+i)
		kind := i % 5
		body, first := "", int64(0)
		switch kind {
		case 0:
			n := 2 + q.IntN(6)
			body = fmt.Sprintf(`{"spec":"gang %d %d","steps":[{"count":%d,"cpu":500,"memMb":100,"estimateMs":2000,"gang":true,"checkpointing":true},{"count":%d,"cpu":200,"memMb":100,"estimateMs":500,"gang":true,"dependsOn":[0]}]}`, n, 1500+q.IntN(3000), n, n)
		case 1:
			body = fmt.Sprintf(`{"spec":"work %d","steps":[{"count":4,"cpu":500,"memMb":100,"estimateMs":1000,"checkpointing":true,"antiAffinity":1},{"count":3,"cpu":500,"memMb":100,"estimateMs":1000,"dependsOn":[0]}]}`, 500+q.IntN(2500))
		case 2:
			first = time.Now().Add(3 * time.Second).UnixMilli()
			body = fmt.Sprintf(`{"spec":"work %d","repetitions":5,"firstRunMs":%d,"intervalMs":1500,"steps":[{"count":2,"cpu":300,"memMb":100,"estimateMs":500}]}`, 300+q.IntN(2000), first)
		case 3:
			body = `{"spec":"last","steps":[{"count":2,"cpu":300,"memMb":100,"estimateMs":500,"longRunning":true,"antiAffinity":1}]}`
		case 4:
			n := 2 + q.IntN(4)
			first = time.Now().Add(2 * time.Second).UnixMilli()
			body = fmt.Sprintf(`{"spec":"gang %d %d","repetitions":3,"firstRunMs":%d,"intervalMs":1500,"steps":[{"count":%d,"cpu":500,"memMb":100,"estimateMs":2000,"gang":true,"requirements":"r1-1"}]}`, n, 500+q.IntN(2000), first, n)
		}
		for try := range 10 {
			p := f.entries[(i+try)%3]
			st, _, err := f.call(http.MethodPost, fmt.Sprintf("http://%s:%d%s%s", p.ip, frontendPort, queuePrefix, id), body, clientTimeout)
			if err == nil && st == 200 {
				jobs = append(jobs, jobInfo{id, first, kind})
				break
			}
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(900 * time.Millisecond)
		if kind == 3 && i > 15 {
			// cancel an earlier lasting job
			old := fmt.Sprintf("%016x", 0xabc000+i-15)
			for try := range 10 {
				p := f.entries[(i+try)%3]
				st, _, err := f.call(http.MethodDelete, fmt.Sprintf("http://%s:%d%s%s", p.ip, frontendPort, queuePrefix, old), "", clientTimeout)
				if err == nil && (st == 200 || st == 410) {
					break
				}
				time.Sleep(300 * time.Millisecond)
			}
		}
	}
	<-quit
	bad := 0
	open := map[string]string{}
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(time.Second) {
		clear(open)
		for _, j := range jobs {
			if j.kind == 3 {
				continue
			}
			p := f.entries[0]
			_, text, err := f.call(http.MethodGet, fmt.Sprintf("http://%s:%d%s%s", p.ip, frontendPort, queuePrefix, j.id), "", clientTimeout)
			if err != nil || !strings.Contains(text, "completed") {
				open[j.id] = text
			}
		}
		if len(open) == 0 {
			break
		}
	}
	for id, text := range open {
		f.note("VIOLATION job %s is %s", id, text)
		bad++
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	byTask := map[string][]*task{}
	byGroup := map[string][]*task{}
	for _, t := range w.history {
		byTask[t.name] = append(byTask[t.name], t)
		if t.gang > 0 {
			byGroup[t.group()] = append(byGroup[t.group()], t)
		}
	}
	for name, runs := range byTask {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				ea, eb := a.ended, b.ended
				if (ea.IsZero() || b.began.Before(ea)) && (eb.IsZero() || a.began.Before(eb)) {
					f.noteLater("VIOLATION twice %s run %d on %s and %d on %s: %.3f-%.3f %s, %.3f-%.3f %s", name, a.run, a.minion.id, b.run, b.minion.id, a.began.Sub(f.began).Seconds(), ea.Sub(f.began).Seconds(), a.how, b.began.Sub(f.began).Seconds(), eb.Sub(f.began).Seconds(), b.how)
					bad++
				}
			}
			for _, b := range runs {
				if a.how == "done" && a.noted && b.began.After(a.ended) {
					bad++
					f.noteLater("AFTERDONE %s run %d done at %.3f, run %d began at %.3f", name, a.run, a.ended.Sub(f.began).Seconds(), b.run, b.began.Sub(f.began).Seconds())
				}
			}
		}
	}
	for g, ts := range byGroup {
		for _, t := range ts[1:] {
			if t.given != ts[0].given {
				f.noteLater("VIOLATION gang %s checkpoints %q and %q", g, t.given, ts[0].given)
				bad++
			}
		}
	}
	for _, j := range jobs {
		var s0 time.Time
		var s1 time.Time
		for _, t := range w.history {
			if !strings.HasPrefix(t.name, j.id) {
				continue
			}
			parts := strings.Split(t.name, ".")
			k, _ := strconv.Atoi(parts[1])
			if j.first > 0 {
				interval := int64(1500)
				if due := time.UnixMilli(j.first + int64(k)*interval - 250); t.began.Before(due) {
					f.noteLater("VIOLATION early %s", t.name)
					bad++
				}
			}
			if parts[2] == "0" && t.how == "done" && t.ended.After(s0) {
				s0 = t.ended
			}
			if parts[2] == "1" && (s1.IsZero() || t.began.Before(s1)) {
				s1 = t.began
			}
		}
		if !s1.IsZero() && s1.Before(s0) {
			f.noteLater("VIOLATION order %s", j.id)
			bad++
		}
	}
	hows := map[string]int{}
	for _, t := range w.history {
		hows[t.how]++
	}
	keys := []string{}
	for k, n := range hows {
		keys = append(keys, fmt.Sprint(k, ":", n))
	}
	sort.Strings(keys)
	time.Sleep(200 * time.Millisecond)
	f.note("ends %v refusals %v jobs %d", keys, w.refusals, len(jobs))
	return bad > 0, nil
}
