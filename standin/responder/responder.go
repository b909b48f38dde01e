// Package responder simulates a target: a service instance that announces itself
// to the agent on its VM (package agent) and responds to the requests that the
// agent forwards. It counts the requests that it ran, so that tests and benchmarks can
// compare the counts with the responses that callers got.
package responder

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
)

const (
	announceInterval = time.Second
	// callTimeout bounds a call to the agent.
	callTimeout = time.Second
	// feedInterval is the time between two events of a feed.
	feedInterval = 100 * time.Millisecond
	// RequestHeader is the header of forwarded requests that holds the request ID.
	RequestHeader = "X-Request-Id"
)

// Tally holds the counters of a Responder. Event feeds are not counted, except in
// CutOffRequests if the body of their request is cut off.
type Tally struct {
	// Runs counts how many times each request was run, by request ID.
	Runs map[string]int `json:"runs"`
	// Paths holds the path of each request ID.
	Paths map[string]string `json:"paths"`
	// Echoes counts the runs by the query parameter echo, which the caller chooses.
	// Runs without the parameter are not counted.
	Echoes map[string]int `json:"echoes"`
	// MaxConcurrent is the largest number of requests that ran concurrently.
	MaxConcurrent int `json:"most"`
	// LateRequests counts the requests that began after the grace period that follows
	// the start of the leave.
	LateRequests int `json:"late"`
	// CutOffRequests counts the requests whose connection broke before the response
	// was sent.
	CutOffRequests int `json:"cut"`
}

// Options describe a Responder.
type Options struct {
	// Info is what the target announces about itself.
	Info plantainrail.TargetInfo
	// AgentURL is the base URL of the agent on the target's VM.
	AgentURL string
	Client   *http.Client
	// ServiceTime returns the service time of a request; nil means no service time.
	ServiceTime func(*http.Request) time.Duration
	// Slowdown returns the factor by which tasks on the same VM multiply the
	// service time; nil means 1.
	Slowdown func() float64
	// LeaveGrace is the time after the target begins to leave in which new requests may
	// still begin.
	LeaveGrace time.Duration
}

// Responder is a simulated target. It is an http.Handler.
type Responder struct {
	options Options

	// mu guards the fields below and the Info and AgentURL of the options.
	mu    sync.Mutex
	tally Tally
	// running is the number of requests that run now, without event feeds.
	running int
	// slowdown is the factor that SetSlowdown set.
	slowdown float64
	// leavingSince is when the target began to leave; zero while it is not leaving.
	leavingSince        time.Time
	announcementsPaused bool
}

// New returns a Responder. Run announces it to the agent.
func New(o Options) *Responder {
	return &Responder{options: o, tally: Tally{Runs: map[string]int{}, Paths: map[string]string{}, Echoes: map[string]int{}}, slowdown: 1}
}

// SetAddress sets the address that is announced.
func (r *Responder) SetAddress(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.options.Info.Address = address
}

// SetAgent sets the base URL of the agent.
func (r *Responder) SetAgent(base string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.options.AgentURL = base
}

// SetIncarnation begins a new incarnation, as a restart of the target does. The new
// incarnation is not leaving.
func (r *Responder) SetIncarnation(incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.options.Info.Incarnation = incarnation
	r.leavingSince = time.Time{}
}

// Run announces the target every announceInterval until the context ends. It always
// returns nil. The error of an announcement is ignored, since the next one follows soon.
func (r *Responder) Run(ctx context.Context) error {
	for {
		if r.shouldAnnounce() {
			_ = r.callAgent(ctx, "/announce")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(announceInterval):
		}
	}
}

// shouldAnnounce reports whether the announcements are not paused.
func (r *Responder) shouldAnnounce() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.announcementsPaused
}

// PauseAnnouncements pauses or resumes the announcements.
func (r *Responder) PauseAnnouncements(paused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.announcementsPaused = paused
}

// SetSlowdown sets a factor by which the service time is multiplied, in addition to
// Options.Slowdown; it is 1 by default.
func (r *Responder) SetSlowdown(factor float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slowdown = factor
}

// Leave tells the agent that the target is leaving and calls MarkLeaving. It returns the
// error of the call to the agent; MarkLeaving is called in any case.
func (r *Responder) Leave(ctx context.Context) error {
	err := r.callAgent(ctx, "/leave")
	r.MarkLeaving()
	return err
}

// MarkLeaving records that the target is leaving from now on, without telling the agent.
// Requests that begin after the grace period count as late.
func (r *Responder) MarkLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leavingSince = time.Now()
}

// callAgent posts the target's info to the agent. It returns an error if the call
// fails, but does not check the status of the response.
func (r *Responder) callAgent(ctx context.Context, path string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r.mu.Lock()
	info, base := r.options.Info, r.options.AgentURL
	r.mu.Unlock()
	raw, err := json.Marshal(info)
	if err != nil {
		return errors.Wrap(err, "encode target info")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(raw))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	response, err := r.options.Client.Do(request)
	if err != nil {
		return errors.Wrap(err, "call agent")
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.Body.Close()
}

// Tally returns a copy of the counters.
func (r *Responder) Tally() Tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tally
	t.Runs = maps.Clone(r.tally.Runs)
	t.Echoes = maps.Clone(r.tally.Echoes)
	t.Paths = maps.Clone(r.tally.Paths)
	return t
}

// ServeHTTP implements http.Handler. The query parameters are size (the bytes of
// the response), ms (the service time in milliseconds, instead of
// Options.ServiceTime), feed (stream events if not empty) and echo (a text to
// return). Three paths are for tests in other processes: /-/tally returns the counters,
// /-/leave calls Leave, which tells the agent, and /-/left calls MarkLeaving, which does
// not.
func (r *Responder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch req.URL.Path {
	case "/-/tally":
		_ = json.NewEncoder(w).Encode(r.Tally())
		return
	case "/-/leave":
		_ = r.Leave(req.Context())
		return
	case "/-/left":
		r.MarkLeaving()
		return
	}
	feed := req.URL.Query().Get("feed") != ""
	if !feed {
		defer r.beginRequest(req)()
	}
	size, err := io.Copy(io.Discard, req.Body)
	if err != nil {
		r.countCutOff()
		return
	}
	if feed {
		r.streamEvents(w, req)
		return
	}
	if !r.waitServiceTime(req) {
		r.countCutOff()
		return
	}
	r.writeResponse(w, req, size)
}

// beginRequest counts a request and returns the function to call when it ends.
func (r *Responder) beginRequest(req *http.Request) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally.Runs[req.Header.Get(RequestHeader)]++
	r.tally.Paths[req.Header.Get(RequestHeader)] = req.URL.Path
	if echo := req.URL.Query().Get("echo"); echo != "" {
		r.tally.Echoes[echo]++
	}
	r.running++
	r.tally.MaxConcurrent = max(r.tally.MaxConcurrent, r.running)
	if !r.leavingSince.IsZero() && time.Since(r.leavingSince) > r.options.LeaveGrace {
		r.tally.LateRequests++
	}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.running--
	}
}

// countCutOff counts a request whose connection broke.
func (r *Responder) countCutOff() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally.CutOffRequests++
}

// waitServiceTime waits for the request's service time, multiplied by the slowdown
// factors and the contention when the wait begins. It returns false if the caller
// disconnects before the wait ends.
func (r *Responder) waitServiceTime(req *http.Request) bool {
	var serviceTime time.Duration
	if r.options.ServiceTime != nil {
		serviceTime = r.options.ServiceTime(req)
	}
	if ms, err := strconv.Atoi(req.URL.Query().Get("ms")); err == nil {
		serviceTime = time.Duration(ms) * time.Millisecond
	}
	if r.options.Slowdown != nil {
		serviceTime = time.Duration(float64(serviceTime) * r.options.Slowdown())
	}
	r.mu.Lock()
	serviceTime = time.Duration(float64(serviceTime) * r.slowdown * r.contention())
	r.mu.Unlock()
	if serviceTime <= 0 {
		return true
	}
	select {
	case <-time.After(serviceTime):
		return true
	case <-req.Context().Done():
		return false
	}
}

// contention returns the factor by which concurrent requests beyond the number of
// slots slow each other down. The caller holds the lock.
func (r *Responder) contention() float64 {
	if r.options.Info.Slots == 0 {
		return 1
	}
	return max(1, float64(r.running)/float64(r.options.Info.Slots))
}

// writeResponse writes a body of the size that the query asks for. Without a size it
// writes the request ID, the echo and the number of bytes received from the caller.
func (r *Responder) writeResponse(w http.ResponseWriter, req *http.Request, received int64) {
	size, err := strconv.Atoi(req.URL.Query().Get("size"))
	if err != nil {
		body := fmt.Sprintf("%s %s %d\n", req.Header.Get(RequestHeader), req.URL.Query().Get("echo"), received)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body)
		return
	}
	// The content of the body does not matter.
	chunk := bytes.Repeat([]byte("plaque. "), 1024)
	for size > 0 {
		n, err := w.Write(chunk[:min(size, len(chunk))])
		if err != nil {
			r.countCutOff()
			return
		}
		size -= n
	}
}

// streamEvents writes server-sent events with increasing IDs until the caller
// disconnects. It resumes after the event in the Last-Event-ID header.
func (r *Responder) streamEvents(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	lastID, _ := strconv.Atoi(req.Header.Get("Last-Event-ID"))
	flusher := http.NewResponseController(w)
	for {
		lastID++
		if _, err := fmt.Fprintf(w, "id: %d\ndata: check-in %d\n\n", lastID, lastID); err != nil {
			return
		}
		_ = flusher.Flush()
		select {
		case <-time.After(feedInterval):
		case <-req.Context().Done():
			return
		}
	}
}
