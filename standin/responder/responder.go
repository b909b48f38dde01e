// Package responder is a stand-in for a target: a service instance that
// announces itself to the agent beside it, answers requests, and keeps a tally
// of what it ran, by which runs can be judged from outside.
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
	announceEvery = time.Second
	callLimit     = time.Second
	feedEvery     = 100 * time.Millisecond
	// RequestHeader names the request in what the product sends to a target.
	RequestHeader = "X-Request-Id"
)

// Tally is what a Responder saw.
type Tally struct {
	// Runs counts the runs of each request ID.
	Runs map[string]int `json:"runs"`
	// Paths holds each request's path.
	Paths map[string]string `json:"paths"`
	// Echoes counts the runs by the query's echo, which the caller chose.
	Echoes map[string]int `json:"echoes"`
	// Most is the largest number of requests that ran at once, feeds aside.
	Most int `json:"most"`
	// Late counts the requests that began more than the grace after the
	// target left.
	Late int `json:"late"`
	// Cut counts the requests whose connection ended before the answer.
	Cut int `json:"cut"`
}

// Options describe a Responder.
type Options struct {
	Info plantainrail.TargetInfo
	// Agent is the base URL of the agent beside the target.
	Agent  string
	Client *http.Client
	// Service is the time that one request takes; nil means none.
	Service func(*http.Request) time.Duration
	// Slowdown is by what the tasks on the same VM multiply that time; nil means
	// that they do not.
	Slowdown func() float64
	// Grace is how long after a leave new requests may still begin.
	Grace time.Duration
}

// Responder is a target. It is an http.Handler.
type Responder struct {
	options Options

	mu      sync.Mutex
	tally   Tally
	running int
	slow    float64
	left    time.Time
	away    bool
}

// New returns a Responder that does not announce itself yet.
func New(o Options) *Responder {
	return &Responder{options: o, tally: Tally{Runs: map[string]int{}, Paths: map[string]string{}, Echoes: map[string]int{}}, slow: 1}
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
	r.options.Agent = base
}

// SetIncarnation makes the target another incarnation, as its restart does.
func (r *Responder) SetIncarnation(incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.options.Info.Incarnation = incarnation
	r.left = time.Time{}
}

// Run announces the target until the context ends.
func (r *Responder) Run(ctx context.Context) error {
	for {
		if r.announcing() {
			_ = r.call(ctx, "/announce")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(announceEvery):
		}
	}
}

func (r *Responder) announcing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.away
}

// SetAway stops or resumes the announcements.
func (r *Responder) SetAway(away bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away = away
}

// SetSlow multiplies the service time.
func (r *Responder) SetSlow(factor float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slow = factor
}

// Leave tells the agent that the target leaves.
func (r *Responder) Leave(ctx context.Context) error {
	err := r.call(ctx, "/leave")
	r.MarkLeft()
	return err
}

// MarkLeft notes that somebody asked for the target's leave just now.
func (r *Responder) MarkLeft() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left = time.Now()
}

func (r *Responder) call(ctx context.Context, path string) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	r.mu.Lock()
	info, base := r.options.Info, r.options.Agent
	r.mu.Unlock()
	raw, err := json.Marshal(info)
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(raw))
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	response, err := r.options.Client.Do(request)
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.Body.Close()
}

// Tally returns a copy of what was seen.
func (r *Responder) Tally() Tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tally
	t.Runs = maps.Clone(r.tally.Runs)
	t.Echoes = maps.Clone(r.tally.Echoes)
	t.Paths = maps.Clone(r.tally.Paths)
	return t
}

// ServeHTTP implements http.Handler. The query may ask for an answer of a
// size, for a service time in ms, or for a feed of events.
func (r *Responder) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/-/tally":
		_ = json.NewEncoder(w).Encode(r.Tally())
		return
	case "/-/leave":
		_ = r.Leave(q.Context())
		return
	case "/-/left":
		r.MarkLeft()
		return
	}
	feed := q.URL.Query().Get("feed") != ""
	if !feed {
		defer r.begin(q)()
	}
	size, err := io.Copy(io.Discard, q.Body)
	if err != nil {
		r.noteCut()
		return
	}
	if feed {
		r.feed(w, q)
		return
	}
	if !r.work(q) {
		r.noteCut()
		return
	}
	r.answer(w, q, size)
}

func (r *Responder) begin(q *http.Request) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally.Runs[q.Header.Get(RequestHeader)]++
	r.tally.Paths[q.Header.Get(RequestHeader)] = q.URL.Path
	if echo := q.URL.Query().Get("echo"); echo != "" {
		r.tally.Echoes[echo]++
	}
	r.running++
	r.tally.Most = max(r.tally.Most, r.running)
	if !r.left.IsZero() && time.Since(r.left) > r.options.Grace {
		r.tally.Late++
	}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.running--
	}
}

func (r *Responder) noteCut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally.Cut++
}

// work takes the request's service time. It returns false when the caller went
// away before the end.
func (r *Responder) work(q *http.Request) bool {
	var service time.Duration
	if r.options.Service != nil {
		service = r.options.Service(q)
	}
	if ms, err := strconv.Atoi(q.URL.Query().Get("ms")); err == nil {
		service = time.Duration(ms) * time.Millisecond
	}
	if r.options.Slowdown != nil {
		service = time.Duration(float64(service) * r.options.Slowdown())
	}
	r.mu.Lock()
	service = time.Duration(float64(service) * r.slow * r.crowding())
	r.mu.Unlock()
	if service <= 0 {
		return true
	}
	select {
	case <-time.After(service):
		return true
	case <-q.Context().Done():
		return false
	}
}

// crowding is the factor by which requests beyond the slots slow each other.
// The caller holds the lock.
func (r *Responder) crowding() float64 {
	if r.options.Info.Slots == 0 {
		return 1
	}
	return max(1, float64(r.running)/float64(r.options.Info.Slots))
}

// answer writes the request's ID and the size of its body, or as many bytes as
// the query asks for.
func (r *Responder) answer(w http.ResponseWriter, q *http.Request, received int64) {
	size, err := strconv.Atoi(q.URL.Query().Get("size"))
	if err != nil {
		body := fmt.Sprintf("%s %s %d\n", q.Header.Get(RequestHeader), q.URL.Query().Get("echo"), received)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body)
		return
	}
	piece := bytes.Repeat([]byte("plaque. "), 1024)
	for size > 0 {
		n, err := w.Write(piece[:min(size, len(piece))])
		if err != nil {
			r.noteCut()
			return
		}
		size -= n
	}
}

// feed writes server-sent events with rising IDs until the caller goes away. It
// resumes after the event that Last-Event-ID names.
func (r *Responder) feed(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-ID"))
	flusher := http.NewResponseController(w)
	for {
		last++
		if _, err := fmt.Fprintf(w, "id: %d\ndata: check-in %d\n\n", last, last); err != nil {
			return
		}
		_ = flusher.Flush()
		select {
		case <-time.After(feedEvery):
		case <-q.Context().Done():
			return
		}
	}
}
