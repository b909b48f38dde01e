package receiver

import (
	"strings"
	"sync"
	"time"

	"github.com/plantainrail/plantainrail"
)

const (
	// maxTraces is the number of recent calls whose traces are kept.
	maxTraces = 20_000
	// maxEventsPerTrace is the number of events kept for one call.
	maxEventsPerTrace = 16
	// maxTracedBytes bounds each text of a caller that is kept.
	maxTracedBytes = 256
)

// RequestEvent is one step in the handling of a call.
type RequestEvent struct {
	At     time.Time         `json:"at"`
	Event  string            `json:"event"`
	Target string            `json:"target,omitempty"`
	Agent  string            `json:"agent,omitempty"`
	Code   plantainrail.Code `json:"code,omitempty"`
	Detail string            `json:"detail,omitempty"`
}

// RequestTrace is the trace of one call, which operators can query.
type RequestTrace struct {
	ID       string         `json:"id"`
	Kind     string         `json:"kind"`
	Method   string         `json:"method"`
	Path     string         `json:"path"`
	Revision int64          `json:"revision"`
	Deadline time.Time      `json:"deadline"`
	Events   []RequestEvent `json:"events"`
}

// requestTraces keeps the traces of the latest calls.
type requestTraces struct {
	mu   sync.Mutex
	byID map[string]*RequestTrace
	// ring holds the IDs of the latest maxTraces calls. The oldest is overwritten
	// next.
	ring []string
	// added counts the calls so far.
	added int
}

func newRequestTraces() *requestTraces {
	return &requestTraces{byID: map[string]*RequestTrace{}, ring: make([]string, maxTraces)}
}

// add starts an empty trace for a call, and drops the oldest trace if maxTraces
// are kept.
func (t *requestTraces) add(c *call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	slot := t.added % maxTraces
	t.added++
	delete(t.byID, t.ring[slot])
	t.ring[slot] = c.id
	t.byID[c.id] = &RequestTrace{ID: c.id, Kind: c.kind.Name, Method: excerpt(c.method), Path: excerpt(c.path), Revision: c.revision, Deadline: c.deadline}
}

// addEvent adds an event to the trace of a call. It ignores the event if the trace
// was dropped or has maxEventsPerTrace events.
func (t *requestTraces) addEvent(id string, e RequestEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if trace, ok := t.byID[id]; ok && len(trace.Events) < maxEventsPerTrace {
		e.Detail = excerpt(e.Detail)
		trace.Events = append(trace.Events, e)
	}
}

// excerpt returns a copy of the beginning of a text, which does not keep the rest in memory.
func excerpt(text string) string { return strings.Clone(text[:min(len(text), maxTracedBytes)]) }

// find returns a copy of the trace of a call, or false if there is none.
func (t *requestTraces) find(id string) (RequestTrace, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	trace, ok := t.byID[id]
	if !ok {
		return RequestTrace{}, false
	}
	found := *trace
	found.Events = append([]RequestEvent(nil), trace.Events...)
	return found, true
}
