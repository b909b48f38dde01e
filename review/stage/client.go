package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// deadline is how long clients wait, as in the sheets of the deployments.
const deadline = 3 * time.Second

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call makes a client's call to an entry, and returns the status, or 0 without an answer, and the body.
func (f *fleet) call(p *process, method, path string, body []byte) (int, string) {
	client := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", p.ip, frontendPort, path), bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = "bench.example"
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Content-Type", "application/json")
	begun := time.Now()
	status, text := 0, ""
	response, err := client.Do(req)
	if err == nil {
		raw, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		status, text = response.StatusCode, strings.TrimSpace(string(raw))
	} else {
		text = err.Error()
	}
	f.record.add("client: %s %s at %s -> %d %s (sent %.3f s before)", method, path, p.name, status, text, time.Since(begun).Seconds())
	return status, text
}

// submit hands a job in.
func (f *fleet) submit(p *process, queue, id string, j job) int {
	f.mu.Lock()
	f.jobs[id] = j
	f.mu.Unlock()
	raw, _ := json.Marshal(j)
	status, _ := f.call(p, http.MethodPost, "/"+queue+"/"+id, raw)
	return status
}

// state asks for a job's state.
func (f *fleet) state(p *process, queue, id string) (int, string) {
	status, text := f.call(p, http.MethodGet, "/"+queue+"/"+id, nil)
	var answer struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(text), &answer)
	return status, answer.State
}
