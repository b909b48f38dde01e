package receiver

import (
	"sync"
	"time"

	"github.com/plantainrail/plantainrail"
)

const (
	// journalLimit is the number of calls that are remembered.
	journalLimit = 20_000
	// eventLimit is the number of events kept of one call.
	eventLimit = 16
)

// Event is one step of a call, for operators who ask why.
type Event struct {
	At     time.Time         `json:"at"`
	Event  string            `json:"event"`
	Target string            `json:"target,omitempty"`
	Agent  string            `json:"agent,omitempty"`
	Code   plantainrail.Code `json:"code,omitempty"`
	Detail string            `json:"detail,omitempty"`
}

// Account is what is remembered of one call.
type Account struct {
	ID       string    `json:"id"`
	Kind     string    `json:"kind"`
	Method   string    `json:"method"`
	Path     string    `json:"path"`
	Revision int64     `json:"revision"`
	Deadline time.Time `json:"deadline"`
	Events   []Event   `json:"events"`
}

// journal keeps a bounded account of the latest calls.
type journal struct {
	mu    sync.Mutex
	byID  map[string]*Account
	order []string
	at    int
}

func newJournal() *journal {
	return &journal{byID: map[string]*Account{}, order: make([]string, journalLimit)}
}

func (j *journal) begin(c *call) {
	j.mu.Lock()
	defer j.mu.Unlock()
	slot := j.at % journalLimit
	j.at++
	delete(j.byID, j.order[slot])
	j.order[slot] = c.id
	j.byID[c.id] = &Account{ID: c.id, Kind: c.kind.Name, Method: c.method, Path: c.path, Revision: c.revision, Deadline: c.deadline}
}

func (j *journal) note(id string, e Event) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if a, ok := j.byID[id]; ok && len(a.Events) < eventLimit {
		a.Events = append(a.Events, e)
	}
}

func (j *journal) find(id string) (Account, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a, ok := j.byID[id]
	if !ok {
		return Account{}, false
	}
	found := *a
	found.Events = append([]Event(nil), a.Events...)
	return found, true
}
