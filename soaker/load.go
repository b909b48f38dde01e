package soaker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// clientDeadline is how long a client waits for an answer, and submitTime how long it repeats a
	// submission.
	clientDeadline = 3 * time.Second
	submitTime     = 12 * time.Second
	// retryDelay is the time between two tries.
	retryDelay = 150 * time.Millisecond
	// submitInterval is the time between two jobs of a client, and maxPatience the longest time for which a client that
	// leaves waits.
	submitInterval = 500 * time.Millisecond
	maxPatience    = 800 * time.Millisecond
)

// client keeps its open connections, and uses an entry until it fails.
type client struct {
	fleet *fleet
	http  *http.Client
	// entry is the number of the entry that the client uses.
	entry int
}

func (f *fleet) newClient(entry int) *client {
	return &client{f, &http.Client{Transport: &http.Transport{}, Timeout: clientDeadline}, entry % f.Entries}
}

// call makes a call for a job and returns the HTTP status and the body, or status 0. Without a conclusive
// answer, the next call goes to the next entry.
func (c *client) call(method, id string, body []byte) (status int, answer []byte) {
	return c.callWithin(clientDeadline, method, id, body)
}

// callWithin is call for a client that leaves after the given time.
func (c *client) callWithin(patience time.Duration, method, id string, body []byte) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(c.fleet.ctx, patience)
	defer cancel()
	defer func() {
		if status == 0 || status >= http.StatusInternalServerError {
			c.entry = (c.entry + 1) % c.fleet.Entries
		}
	}()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.fleet.processes[c.entry].frontend()+"/q/"+id, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	req.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	if answer, err = io.ReadAll(response.Body); err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// nextJobID returns an ID that no other job has.
func (f *fleet) nextJobID() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastJob++
	return fmt.Sprintf("%016x", f.lastJob)
}

// submit submits a job until it is accepted, and records it then. The tasks last for the given time,
// or until they are stopped if it is 0.
func (c *client) submit(count int, d time.Duration) {
	f := c.fleet
	id := f.nextJobID()
	step := map[string]any{"count": count, "cpu": 1000, "memMb": 100}
	spec := ""
	if d > 0 {
		spec, step["estimateMs"] = fmt.Sprint(d.Milliseconds()), d.Milliseconds()
	} else {
		step["longRunning"] = true
	}
	// Marshal does not fail for these types.
	body, _ := json.Marshal(map[string]any{"spec": spec, "steps": []any{step}})
	for end := time.Now().Add(submitTime); time.Now().Before(end) && f.ctx.Err() == nil; time.Sleep(retryDelay) {
		if status, _ := c.call(http.MethodPost, id, body); status == http.StatusOK {
			f.mu.Lock()
			f.jobs = append(f.jobs, Job{ID: id, Steps: 1, Count: count, LongRunning: d == 0, Accepted: time.Now()})
			f.mu.Unlock()
			return
		}
	}
	f.note("job %s was not accepted", id)
}

// load submits jobs until the channel is closed: mostly short ones, and some that last for seconds.
func (c *client) load(r *rand.Rand, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(submitInterval):
		}
		d := 300 * time.Millisecond
		if r.IntN(8) == 0 {
			d = 6 * time.Second
		}
		c.submit(1+r.IntN(3), d)
	}
}

// leave submits jobs, leaves before most answers, cancels the jobs and, now and then, submits one once more, until the
// channel is closed.
func (c *client) leave(r *rand.Rand, done <-chan struct{}) {
	body := []byte(`{"spec":"2000","steps":[{"count":1,"cpu":1000,"memMb":100}]}`)
	for {
		select {
		case <-done:
			return
		case <-time.After(submitInterval):
		}
		id := c.fleet.nextJobID()
		c.entry = r.IntN(c.fleet.Entries)
		c.callWithin(time.Duration(r.Int64N(int64(maxPatience))), http.MethodPost, id, body)
		time.Sleep(time.Duration(r.Int64N(int64(submitInterval))))
		c.entry = r.IntN(c.fleet.Entries)
		c.cancel(id)
		if r.IntN(4) == 0 {
			c.callWithin(maxPatience, http.MethodPost, id, body)
		}
	}
}

// cancel cancels a job until that is acknowledged, and records it then.
func (c *client) cancel(id string) {
	f := c.fleet
	for end := time.Now().Add(submitTime); time.Now().Before(end) && f.ctx.Err() == nil; time.Sleep(retryDelay) {
		if status, _ := c.call(http.MethodDelete, id, nil); status == http.StatusOK || status == http.StatusGone {
			f.mu.Lock()
			f.cancelled[id] = time.Now()
			f.mu.Unlock()
			return
		}
	}
	f.note("the cancellation of job %s was not acknowledged", id)
}

// state returns the state of a job as a client sees it, or why it is not known.
func (c *client) state(id string) string {
	last := ""
	for end := time.Now().Add(clientDeadline); time.Now().Before(end); time.Sleep(retryDelay) {
		status, raw := c.call(http.MethodGet, id, nil)
		var answer struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal(raw, &answer) == nil {
			return answer.State
		}
		last = fmt.Sprint("status ", status)
	}
	return last
}
