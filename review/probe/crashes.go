package main

import (
	"strings"
	"time"
)

// playCrashes crashes three of eight minions, one after the other and each once, shortly after it has begun the only
// task of a sound job. The job must not be shown as failed: no run of it has ended so.
func playCrashes(f *fleet, trouble bool) (broken bool, err error) {
	const (
		minions = 8
		id      = "00000000000000a1"
		// crashDelay is the time from the begin of the run to the crash, and downTime how long the minion is away.
		crashDelay = 150 * time.Millisecond
		downTime   = 1500 * time.Millisecond
		crashes    = 3
		limit      = 60 * time.Second
	)
	if err := f.startEntries(2); err != nil {
		return false, err
	}
	workers, err := f.startRunners(minions)
	if err != nil {
		return false, err
	}
	time.Sleep(2 * contactTime)
	if err := f.submit(id, `{"spec":"4000","steps":[{"count":1,"cpu":1000,"memMb":256,"estimateMs":4000}]}`); err != nil {
		return false, err
	}
	crashed := 0
	seen := map[int64]bool{}
	state, ended := "", time.Now().Add(limit)
	for asked := time.Now(); time.Now().Before(ended); time.Sleep(5 * time.Millisecond) {
		for i, w := range workers {
			for _, s := range w.History() {
				if seen[s.Run] {
					continue
				}
				seen[s.Run] = true
				f.note("run %d of %s begins on i-%d", s.Run, s.Task, i+1)
				if !trouble || crashed == crashes {
					continue
				}
				crashed++
				time.Sleep(time.Until(s.Start.Add(crashDelay)))
				f.note("i-%d crashes", i+1)
				w.Crash()
				time.AfterFunc(downTime, func() {
					f.note("i-%d starts again", i+1)
					w.Restart()
				})
			}
		}
		if time.Since(asked) < time.Second {
			continue
		}
		asked = time.Now()
		_, state = f.ask(0, "GET", id, "", clientTimeout)
		if strings.Contains(state, "failed") || strings.Contains(state, "completed") {
			break
		}
	}
	f.noteHistory(workers)
	for _, w := range workers {
		for _, s := range w.History() {
			if s.Outcome == "failed" {
				return false, nil
			}
		}
	}
	return !strings.Contains(state, "completed"), nil
}
