// Package keeper is a stand-in for the platform's store: topics of keyed
// records over HTTP, in memory, with faults to order.
package keeper

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Fault is what is wrong with the store.
type Fault int

const (
	// Healthy means that nothing is wrong.
	Healthy Fault = iota
	// Busy refuses every call.
	Busy
	// Mute does nothing and answers nothing.
	Mute
	// Lossy carries every second write out and does not answer it.
	Lossy
)

// Keeper is the store.
type Keeper struct {
	mu     sync.Mutex
	topics map[string]*topic
	fault  Fault
	writes int
}

type topic struct {
	records [][]byte
	// first is the offset of the oldest record that Read still returns.
	first int64
	// newest holds the offset of each key's newest record.
	newest map[string]int64
	writer map[string]*writer
	grown  chan struct{}
}

// writer is the state of a fenced producer of a topic.
type writer struct {
	epoch, sequence int64
	// last holds the first offset of the newest append, for a repeat of it.
	last int64
}

// New returns an empty store.
func New() *Keeper { return &Keeper{topics: map[string]*topic{}} }

// Break sets what is wrong.
func (k *Keeper) Break(f Fault) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fault = f
}

// Expire drops the history of all topics but the newest record of each key.
func (k *Keeper) Expire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, t := range k.topics {
		t.first = int64(len(t.records))
	}
}

// Put writes a record as an operator does; without a value it drops the key.
func (k *Keeper) Put(name, key string, value []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.topic(name).add(append(append([]byte{byte(len(key))}, key...), value...))
}

func (k *Keeper) topic(name string) *topic {
	t := k.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int64{}, writer: map[string]*writer{}, grown: make(chan struct{})}
		k.topics[name] = t
	}
	return t
}

func (t *topic) add(record []byte) {
	key := string(record[1 : 1+int(record[0])])
	t.newest[key] = int64(len(t.records))
	if len(record) == 1+len(key) {
		delete(t.newest, key)
	}
	t.records = append(t.records, record)
	close(t.grown)
	t.grown = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (k *Keeper) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	k.mu.Lock()
	fault := k.fault
	if fault == Lossy && q.URL.Path == "/log-append" {
		if k.writes++; k.writes%2 == 0 {
			fault = Healthy
		}
	}
	k.mu.Unlock()
	switch fault {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Mute:
		// The end of a client shows only once its body was read.
		_, _ = io.Copy(io.Discard, q.Body)
		<-q.Context().Done()
		return
	}
	answer := w
	if fault == Lossy && q.URL.Path == "/log-append" {
		answer = &deaf{header: http.Header{}}
	}
	switch q.URL.Path {
	case "/log-append":
		k.append(answer, q)
	case "/log-read":
		k.read(q.Context(), w, q)
	case "/log-newest":
		k.newest(w, q)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
	if answer != w {
		panic(http.ErrAbortHandler)
	}
}

// deaf is an answer that goes nowhere.
type deaf struct{ header http.Header }

func (d *deaf) Header() http.Header         { return d.header }
func (d *deaf) Write(p []byte) (int, error) { return len(p), nil }
func (d *deaf) WriteHeader(int)             {}

func (k *Keeper) append(w http.ResponseWriter, q *http.Request) {
	raw, err := io.ReadAll(q.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	query := q.URL.Query()
	t := k.topic(query.Get("topic"))
	end := int64(len(t.records))
	if at := query.Get("at"); at != "" && number(at) != end {
		reply(w, http.StatusPreconditionFailed, map[string]any{"endOffset": end})
		return
	}
	if name := query.Get("producer"); name != "" && !t.admit(w, name, number(query.Get("epoch")), number(query.Get("sequence")), len(raw) == 0) {
		return
	}
	for len(raw) > 0 {
		size := binary.BigEndian.Uint32(raw)
		t.add(bytes.Clone(raw[4 : 4+size]))
		raw = raw[4+size:]
	}
	reply(w, http.StatusOK, map[string]any{"offset": end, "endOffset": len(t.records)})
}

// admit checks a fenced append and answers one that is not to be carried out.
func (t *topic) admit(w http.ResponseWriter, name string, epoch, sequence int64, empty bool) bool {
	p := t.writer[name]
	if p == nil {
		p = &writer{}
		t.writer[name] = p
	}
	switch {
	case epoch < p.epoch:
		reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
		return false
	case epoch > p.epoch:
		*p = writer{epoch: epoch, sequence: sequence}
	case empty:
	case sequence == p.sequence:
		reply(w, http.StatusOK, map[string]any{"offset": p.last, "endOffset": len(t.records)})
		return false
	case sequence != p.sequence+1:
		reply(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.sequence + 1})
		return false
	}
	p.sequence, p.last = sequence, int64(len(t.records))
	return true
}

func (k *Keeper) read(ctx context.Context, w http.ResponseWriter, q *http.Request) {
	query := q.URL.Query()
	from := number(query.Get("from"))
	until := time.NewTimer(time.Duration(number(query.Get("waitMs"))) * time.Millisecond)
	defer until.Stop()
	for {
		k.mu.Lock()
		t := k.topic(query.Get("topic"))
		records, first, grown := t.records, t.first, t.grown
		k.mu.Unlock()
		if from < first {
			reply(w, http.StatusGone, map[string]any{"firstOffset": first})
			return
		}
		if from < int64(len(records)) {
			write(w, records[from:], int64(len(records)), first)
			return
		}
		select {
		case <-grown:
		case <-until.C:
			write(w, nil, int64(len(records)), first)
			return
		case <-ctx.Done():
			return
		}
	}
}

func write(w io.Writer, records [][]byte, end, first int64) {
	var out bytes.Buffer
	_ = binary.Write(&out, binary.BigEndian, []int64{end, first})
	for _, r := range records {
		_ = binary.Write(&out, binary.BigEndian, uint32(len(r)))
		out.Write(r)
	}
	_, _ = w.Write(out.Bytes())
}

func (k *Keeper) newest(w http.ResponseWriter, q *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.topic(q.URL.Query().Get("topic"))
	items := []map[string]any{}
	for key, offset := range t.newest {
		value := t.records[offset][1+len(key):]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": offset})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "endOffset": len(t.records)})
}

func number(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

func reply(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
