package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/plantainrail/plantainrail/standin/runner"
)

// lateStore loses the answers to some appends to the jobs topic and carries them out late.
type lateStore struct {
	fleet *fleet
	delay time.Duration

	mu            sync.Mutex
	lossy         bool
	lost, appends int
}

// maxLost bounds the appends whose answers are lost.
const maxLost = 4

// intercept implements the hook of the fleet's store.
func (l *lateStore) intercept(_ http.ResponseWriter, req *http.Request) bool {
	if req.URL.Path != "/log-append" {
		return false
	}
	l.mu.Lock()
	lose := l.lossy && l.lost < maxLost && req.URL.Query().Get("topic") == "keyed.jobs"
	if l.lossy {
		l.appends++
	}
	if lose {
		l.lost++
	}
	l.mu.Unlock()
	if !lose {
		return false
	}
	raw, err := io.ReadAll(req.Body)
	if err != nil {
		return false
	}
	l.fleet.note("store loses the answer to an append of %d bytes to the jobs topic", len(raw))
	target := req.URL.RequestURI()
	time.AfterFunc(l.delay, func() {
		late := httptest.NewRequest(http.MethodPost, target, bytes.NewReader(raw))
		answer := httptest.NewRecorder()
		l.fleet.store.ServeHTTP(answer, late)
		l.fleet.note("store carries the append out: %d %s", answer.Code, bytes.TrimSpace(answer.Body.Bytes()))
	})
	<-req.Context().Done()
	return true
}

// playCancel loses the answers to the appends of one submission, which the store carries out five seconds later. The
// client leaves without an answer and cancels the job. No task may start once the cancelling was acknowledged
// and cancel_ms are over.
func playCancel(f *fleet, trouble bool) (broken bool, err error) {
	const (
		id = "00000000000000b1"
		// lateness is within the 1 to 6 s of platform_lost.
		lateness = 5500 * time.Millisecond
		// patience is when the client leaves, before its deadline, and pause how long after that it cancels.
		patience = 800 * time.Millisecond
		pause    = 500 * time.Millisecond
		// watched is how long starts are looked for after the cancelling.
		watched = 15 * time.Second
	)
	if err := f.startEntries(3); err != nil {
		return false, err
	}
	workers, err := f.startRunners(3)
	if err != nil {
		return false, err
	}
	time.Sleep(2 * contactTime)
	l := &lateStore{fleet: f, delay: lateness, lossy: trouble}
	f.setIntercept(l.intercept)
	f.ask(0, http.MethodPost, id, `{"spec":"3000","steps":[{"count":1,"cpu":1000,"memMb":256,"estimateMs":3000}]}`, patience)
	time.Sleep(pause)
	l.mu.Lock()
	l.lossy = false
	f.note("store has lost the answers to %d of %d writes, and loses no more", l.lost, l.appends)
	l.mu.Unlock()
	var acknowledged time.Time
	for try := range 5 {
		status, _ := f.ask(try, http.MethodDelete, id, "", clientTimeout)
		if status == http.StatusOK || status == http.StatusGone {
			acknowledged = time.Now()
			break
		}
	}
	if acknowledged.IsZero() {
		return false, fmt.Errorf("the cancelling was not acknowledged")
	}
	time.Sleep(watched)
	f.ask(1, http.MethodGet, id, "", clientTimeout)
	f.noteHistory(workers)
	return startedAfter(workers, acknowledged.Add(cancelTime)), nil
}

// startedAfter reports whether a run began after a time.
func startedAfter(workers []*runner.Worker, limit time.Time) bool {
	for _, w := range workers {
		for _, s := range w.History() {
			if s.Start.After(limit) {
				return true
			}
		}
	}
	return false
}
