// Package keeper simulates the platform's store for tests. It keeps topics of
// keyed records in memory, serves them over HTTP, and can inject faults.
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

// Fault is a failure mode of the store.
type Fault int

const (
	// Healthy is the store without a failure.
	Healthy Fault = iota
	// Unavailable rejects every call with status 503.
	Unavailable
	// Unresponsive neither executes nor answers calls.
	Unresponsive
	// LosesReplies executes all appends but loses the reply to every second one.
	LosesReplies
)

// Store is a store in memory. It is an http.Handler.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	fault  Fault
	// lossyAppends counts the appends under the fault LosesReplies.
	lossyAppends int
}

type topic struct {
	records [][]byte
	// firstOffset is the offset of the oldest record that can be read.
	firstOffset int64
	// newest holds the offset of each key's newest record.
	newest    map[string]int64
	producers map[string]*producer
	// appended is closed and replaced by each append.
	appended chan struct{}
}

// producer is the state of a fenced producer of a topic.
type producer struct {
	epoch, sequence int64
	// lastOffset is the first offset of the newest append. It is the reply to a
	// retry of that append.
	lastOffset int64
}

// New returns an empty store.
func New() *Store { return &Store{topics: map[string]*topic{}} }

// SetFault sets the failure mode; Healthy ends it.
func (k *Store) SetFault(f Fault) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fault = f
}

// Expire expires the records of all topics, as limited retention does. The
// newest record of each key can still be listed.
func (k *Store) Expire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, t := range k.topics {
		t.firstOffset = int64(len(t.records))
	}
}

// Put appends a record as an operator does. An empty value deletes the key.
func (k *Store) Put(name, key string, value []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.topic(name).add(append(append([]byte{byte(len(key))}, key...), value...))
}

func (k *Store) topic(name string) *topic {
	t := k.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int64{}, producers: map[string]*producer{}, appended: make(chan struct{})}
		k.topics[name] = t
	}
	return t
}

// add appends a record: the length of the key in one byte, the key and the value.
func (t *topic) add(record []byte) {
	key := string(record[1 : 1+int(record[0])])
	t.newest[key] = int64(len(t.records))
	if len(record) == 1+len(key) {
		delete(t.newest, key)
	}
	t.records = append(t.records, record)
	close(t.appended)
	t.appended = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (k *Store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	k.mu.Lock()
	fault := k.fault
	if fault == LosesReplies && q.URL.Path == "/log-append" {
		if k.lossyAppends++; k.lossyAppends%2 == 0 {
			fault = Healthy
		}
	}
	k.mu.Unlock()
	switch fault {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Unresponsive:
		// The server notices that the client has gone only after the body is read.
		_, _ = io.Copy(io.Discard, q.Body)
		<-q.Context().Done()
		return
	}
	response := w
	if fault == LosesReplies && q.URL.Path == "/log-append" {
		response = &discardingWriter{header: http.Header{}}
	}
	switch q.URL.Path {
	case "/log-append":
		k.append(response, q)
	case "/log-read":
		k.read(q.Context(), w, q)
	case "/log-newest":
		k.newest(w, q)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
	if response != w {
		panic(http.ErrAbortHandler)
	}
}

// discardingWriter discards a response.
type discardingWriter struct{ header http.Header }

func (d *discardingWriter) Header() http.Header         { return d.header }
func (d *discardingWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardingWriter) WriteHeader(int)             {}

func (k *Store) append(w http.ResponseWriter, q *http.Request) {
	raw, err := io.ReadAll(q.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	query := q.URL.Query()
	t := k.topic(query.Get("topic"))
	endOffset := int64(len(t.records))
	if at := query.Get("at"); at != "" && parseNumber(at) != endOffset {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"endOffset": endOffset})
		return
	}
	if name := query.Get("producer"); name != "" && !t.acceptAppend(w, name, parseNumber(query.Get("epoch")), parseNumber(query.Get("sequence")), len(raw) == 0) {
		return
	}
	for len(raw) > 0 {
		size := binary.BigEndian.Uint32(raw)
		t.add(bytes.Clone(raw[4 : 4+size]))
		raw = raw[4+size:]
	}
	writeJSON(w, http.StatusOK, map[string]any{"offset": endOffset, "endOffset": len(t.records)})
}

// acceptAppend reports whether an append of a fenced producer is to be executed.
// If not, it writes the reply: the stored one for a retry of the newest append,
// and an error for an old epoch or a wrong sequence number.
func (t *topic) acceptAppend(w http.ResponseWriter, name string, epoch, sequence int64, empty bool) bool {
	p := t.producers[name]
	if p == nil {
		p = &producer{}
		t.producers[name] = p
	}
	switch {
	case epoch < p.epoch:
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "fenced"})
		return false
	case epoch > p.epoch:
		*p = producer{epoch: epoch, sequence: sequence}
	case empty:
	case sequence == p.sequence:
		writeJSON(w, http.StatusOK, map[string]any{"offset": p.lastOffset, "endOffset": len(t.records)})
		return false
	case sequence != p.sequence+1:
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.sequence + 1})
		return false
	}
	p.sequence, p.lastOffset = sequence, int64(len(t.records))
	return true
}

func (k *Store) read(ctx context.Context, w http.ResponseWriter, q *http.Request) {
	query := q.URL.Query()
	from := parseNumber(query.Get("from"))
	timeout := time.NewTimer(time.Duration(parseNumber(query.Get("waitMs"))) * time.Millisecond)
	defer timeout.Stop()
	for {
		k.mu.Lock()
		t := k.topic(query.Get("topic"))
		records, firstOffset, appended := t.records, t.firstOffset, t.appended
		k.mu.Unlock()
		if from < firstOffset {
			writeJSON(w, http.StatusGone, map[string]any{"firstOffset": firstOffset})
			return
		}
		if from < int64(len(records)) {
			writeRecords(w, records[from:], int64(len(records)), firstOffset)
			return
		}
		select {
		case <-appended:
		case <-timeout.C:
			writeRecords(w, nil, int64(len(records)), firstOffset)
			return
		case <-ctx.Done():
			return
		}
	}
}

func writeRecords(w io.Writer, records [][]byte, endOffset, firstOffset int64) {
	var out bytes.Buffer
	_ = binary.Write(&out, binary.BigEndian, []int64{endOffset, firstOffset})
	for _, r := range records {
		_ = binary.Write(&out, binary.BigEndian, uint32(len(r)))
		out.Write(r)
	}
	_, _ = w.Write(out.Bytes())
}

func (k *Store) newest(w http.ResponseWriter, q *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.topic(q.URL.Query().Get("topic"))
	items := []map[string]any{}
	for key, offset := range t.newest {
		value := t.records[offset][1+len(key):]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": offset})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "endOffset": len(t.records)})
}

func parseNumber(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
