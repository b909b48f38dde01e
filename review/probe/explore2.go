package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

func init() { cases["big"] = playBig }

func playBig(f *fleet, trouble bool) (bool, error) {
	n, _ := strconv.Atoi(os.Getenv("N"))
	if err := f.startEntries(2); err != nil {
		return false, err
	}
	w := newWorld(f)
	for range 3 {
		if _, err := w.start(64000); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second)
	id := "00000000000000d1"
	body := fmt.Sprintf(`{"spec":"%s last","steps":[{"count":%d,"cpu":10,"memMb":10,"estimateMs":500}]}`, strings.Repeat("y", 3900), n)
	body = strings.Replace(body, "last", "work 100000", 1)
	if err := f.submit(id, body); err != nil {
		return false, err
	}
	f.await(60*time.Second, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		c := 0
		for _, m := range w.minions {
			c += len(m.running)
		}
		return c >= n
	})
	count := func() (c int) {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, m := range w.minions {
			c += len(m.running)
		}
		return c
	}
	f.note("running %d", count())
	if trouble {
		_ = f.agents[0].command.Process.Kill()
		<-f.agents[0].exited
		_ = f.restart(f.agents[0])
		time.Sleep(5 * time.Second)
		f.note("running %d after agent restart", count())
	}
	f.ask(0, http.MethodDelete, id, "", clientTimeout)
	for i := range 12 {
		time.Sleep(500 * time.Millisecond)
		f.note("%.1f s after cancel: running %d", float64(i+1)/2, count())
	}
	hows := map[string]int{}
	w.mu.Lock()
	for _, t := range w.history {
		hows[t.how]++
	}
	w.mu.Unlock()
	f.note("%v %v", hows, w.refusals)
	return false, nil
}
