package soaker

import (
	"bytes"
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
	// submitInterval is the time between two jobs of a client.
	submitInterval = 500 * time.Millisecond
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
	defer func() {
		if status == 0 || status >= http.StatusInternalServerError {
			c.entry = (c.entry + 1) % c.fleet.Entries
		}
	}()
	req, err := http.NewRequestWithContext(c.fleet.ctx, method, "http://"+c.fleet.processes[c.entry].frontend()+"/q/"+id, bytes.NewReader(body))
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

// submit submits a job until it is accepted, and records it then. The tasks last for the given time,
// or until they are stopped if it is 0.
func (c *client) submit(count int, d time.Duration) {
	f := c.fleet
	f.mu.Lock()
	f.lastJob++
	id := fmt.Sprintf("%016x", f.lastJob)
	f.mu.Unlock()
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
