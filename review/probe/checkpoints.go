package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// playCheckpoints runs a sound job whose tasks save checkpoints. With the disruption the checkpoints are long strings;
// without it they have the 16 characters of the example. The job must not be shown as failed.
func playCheckpoints(f *fleet, trouble bool) (broken bool, err error) {
	const (
		id       = "00000000000000c1"
		tasks    = 300
		long     = 1000
		capacity = 32_000
		minions  = 3
		limit    = 60 * time.Second
	)
	if err := f.startEntries(2); err != nil {
		return false, err
	}
	w := newWorld(f)
	if trouble {
		w.checkpointBytes = long
	}
	for range minions {
		if _, err := w.start(capacity); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * contactTime)
	body := fmt.Sprintf(`{"spec":"vary 6000","steps":[{"count":%d,"cpu":100,"memMb":100,"estimateMs":8000,"checkpointing":true},{"count":1,"cpu":100,"memMb":100,"estimateMs":500,"dependsOn":[0]}]}`, tasks)
	if err := f.submit(id, body); err != nil {
		return false, err
	}
	state := ""
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(time.Second) {
		if _, state = f.ask(0, http.MethodGet, id, "", clientTimeout); strings.Contains(state, "failed") || strings.Contains(state, "completed") {
			break
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	ends := map[string]int{}
	for _, t := range w.history {
		ends[t.how]++
	}
	f.note("runs: %d, by their ends %v, refusals %v", len(w.history), ends, w.refusals)
	return ends["failed"] == 0 && !strings.Contains(state, "completed"), nil
}
