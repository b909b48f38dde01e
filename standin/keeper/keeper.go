// Package keeper simulates the platform's store for tests of the entries and agents
// that use it (packages platform, decider and minder). It keeps topics of keyed
// records in memory, serves them over HTTP, and can inject faults.
package keeper

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
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
	// Unresponsive neither executes calls nor responds to them; each hangs until its client
	// gives up.
	Unresponsive
	// LosesReplies executes all appends but loses the reply to every second one.
	LosesReplies
)

// Store is a store in memory. It is an http.Handler.
type Store struct {
	mu sync.Mutex
	// topics holds the topics by name.
	topics map[string]*topic
	fault  Fault
	// calls counts all calls.
	calls int
	// lateness draws how late an append is executed; see SetLateness.
	lateness func(topic string) time.Duration
	// lossyAppends counts the appends under the fault LosesReplies.
	lossyAppends int
	// appendTime is how long a topic takes for an append; see SetAppendTime.
	appendTime time.Duration
	// maxRecordBytes and maxCallBytes bound a record and an append; see SetLimits.
	maxRecordBytes, maxCallBytes int
	// maxBytes is the size above which appends are rejected; see SetMaxBytes.
	maxBytes int
}

// topic is an append-only list of records. The store's lock guards it.
type topic struct {
	// records holds all records; the index is the offset. A record consists of the
	// length of its key in one byte, the key and the value.
	records [][]byte
	// firstOffset is the offset of the oldest record that can be read.
	firstOffset int64
	// newest holds the offset of each key's newest record, without deleted keys.
	newest map[string]int64
	// producers holds the fenced producers by name.
	producers map[string]*producer
	// appended is closed and replaced by each append.
	appended chan struct{}
	// busyUntil is when the appends that were admitted so far are done.
	busyUntil time.Time
}

// producer is the state of a fenced producer of a topic.
type producer struct {
	// epoch is the highest epoch that the producer has used; appends with a lower one
	// are rejected. sequence is the number of the newest append, by which a retry is
	// recognized.
	epoch, sequence int64
	// lastOffset is the offset of the first record of the newest append. The reply to
	// a retry of that append holds it.
	lastOffset int64
}

// The platform's own limits of a record, without its length, and of an append.
const (
	defaultMaxRecordBytes = 262_144
	defaultMaxCallBytes   = 2_097_152
)

// New returns an empty store with the platform's limits.
func New() *Store {
	return &Store{topics: map[string]*topic{}, maxRecordBytes: defaultMaxRecordBytes, maxCallBytes: defaultMaxCallBytes}
}

// SetLimits sets the maximum size of a record, without its length, and of all records of an
// append together, in bytes. An append beyond them is rejected with status 413. Records of
// Put are not limited.
func (s *Store) SetLimits(recordBytes, callBytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxRecordBytes, s.maxCallBytes = recordBytes, callBytes
}

// withinLimits reports whether an append with the body keeps within the limits of the store.
// The caller holds the lock.
func (s *Store) withinLimits(raw []byte) bool {
	within := len(raw) <= s.maxCallBytes
	for within && len(raw) > 0 {
		size := int(binary.BigEndian.Uint32(raw))
		within, raw = size <= s.maxRecordBytes, raw[4+size:]
	}
	return within
}

// SetFault sets the failure mode; Healthy ends it.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// SetLateness makes the store ask a function for each append how late it is to be executed. Unless that is 0, the append
// gets no response, and is executed then if its conditions hold. The function must be safe for concurrent use; nil
// ends it.
func (s *Store) SetLateness(lateness func(topic string) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateness = lateness
}

// executeLate executes an append after a delay, and returns once its client has given up.
func (s *Store) executeLate(req *http.Request, delay time.Duration) {
	raw, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	late := req.Clone(context.WithoutCancel(req.Context()))
	late.Body = io.NopCloser(bytes.NewReader(raw))
	time.AfterFunc(delay, func() { s.append(&discardingWriter{header: http.Header{}}, late) })
	<-req.Context().Done()
}

// maxAppendBacklog is the backlog of a topic above which appends are rejected.
const maxAppendBacklog = 2 * time.Second

// SetAppendTime makes each topic process its appends one after the other, each of which
// takes the given time. An append that would wait for longer than maxAppendBacklog is
// rejected with status 503.
func (s *Store) SetAppendTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendTime = d
}

// SetMaxBytes makes the store reject appends with status 507 that would bring the records which
// have not expired, and the newest record of each key, above the size. 0 ends it.
func (s *Store) SetMaxBytes(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxBytes = n
}

// Bytes returns the size that SetMaxBytes bounds.
func (s *Store) Bytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes()
}

// bytes is Bytes for a caller that holds the lock.
func (s *Store) bytes() int {
	sum := 0
	for _, t := range s.topics {
		for _, r := range t.records[t.firstOffset:] {
			sum += len(r)
		}
		for _, offset := range t.newest {
			if offset < t.firstOffset {
				sum += len(t.records[offset])
			}
		}
	}
	return sum
}

// trim expires the records of a topic before an offset.
func (s *Store) trim(w http.ResponseWriter, req *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(req.URL.Query().Get("topic"))
	t.firstOffset = max(t.firstOffset, min(parseNumber(req.URL.Query().Get("before")), int64(len(t.records))))
	w.WriteHeader(http.StatusOK)
}

// awaitTurn waits until the topic has processed the earlier appends and this one. It
// returns false if the append must be rejected.
func (s *Store) awaitTurn(name string) bool {
	s.mu.Lock()
	t, now := s.topic(name), time.Now()
	if t.busyUntil.Before(now) {
		t.busyUntil = now
	}
	if s.appendTime > 0 && t.busyUntil.Sub(now) > maxAppendBacklog {
		s.mu.Unlock()
		return false
	}
	t.busyUntil = t.busyUntil.Add(s.appendTime)
	wait := t.busyUntil.Sub(now)
	s.mu.Unlock()
	time.Sleep(wait)
	return true
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Expire expires all present records of all topics, as limited retention does. They
// can no longer be read, but the newest record of each key can still be listed.
func (s *Store) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		t.firstOffset = int64(len(t.records))
	}
}

// Put appends a record as an operator does. The key has at most 255 bytes. An empty
// value deletes the key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add(append(append([]byte{byte(len(key))}, key...), value...))
}

// Keys returns the keys of a topic that exist, in order.
func (s *Store) Keys(name string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.topic(name).newest))
}

// topic returns the topic with this name and creates it if necessary. The caller
// holds the lock.
func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int64{}, producers: map[string]*producer{}, appended: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// add appends a record in the format of topic.records. An empty value deletes the key.
func (t *topic) add(record []byte) {
	key := string(record[1 : 1+int(record[0])])
	t.newest[key] = int64(len(t.records))
	// The value is empty.
	if len(record) == 1+len(key) {
		delete(t.newest, key)
	}
	t.records = append(t.records, record)
	close(t.appended)
	t.appended = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	s.mu.Lock()
	s.calls++
	fault, lateness := s.fault, s.lateness
	if fault == LosesReplies && req.URL.Path == "/log-append" {
		if s.lossyAppends++; s.lossyAppends%2 == 0 {
			fault = Healthy
		}
	}
	s.mu.Unlock()
	switch fault {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Unresponsive:
		// The server notices that the client has gone only after the body is read.
		_, _ = io.Copy(io.Discard, req.Body)
		<-req.Context().Done()
		return
	}
	if lateness != nil && req.URL.Path == "/log-append" {
		if delay := lateness(req.URL.Query().Get("topic")); delay > 0 {
			s.executeLate(req, delay)
			return
		}
	}
	// A lost reply: the append is executed, and then the connection is aborted.
	response := w
	if fault == LosesReplies && req.URL.Path == "/log-append" {
		response = &discardingWriter{header: http.Header{}}
	}
	switch req.URL.Path {
	case "/log-append":
		s.append(response, req)
	case "/log-read":
		s.read(req.Context(), w, req)
	case "/log-newest":
		s.listNewest(w, req)
	case "/log-trim":
		s.trim(w, req)
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

// append appends the records in the body, each of which is preceded by its length in
// four bytes. An append beyond the limits is rejected with status 413. If the parameter at is set, the topic must end at that offset; otherwise
// the reply has status 412 and holds the end. If the parameter producer is set,
// acceptAppend decides whether to append. After an append the reply holds the offset
// of the first record and the end of the topic.
func (s *Store) append(w http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(req.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	query := req.URL.Query()
	if !s.awaitTurn(query.Get("topic")) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.withinLimits(raw) {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	t := s.topic(query.Get("topic"))
	endOffset := int64(len(t.records))
	if at := query.Get("at"); at != "" && parseNumber(at) != endOffset {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"endOffset": endOffset})
		return
	}
	if s.maxBytes > 0 && len(raw) > 0 && s.bytes()+len(raw) > s.maxBytes {
		w.WriteHeader(http.StatusInsufficientStorage)
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

// acceptAppend reports whether an append of a fenced producer is to be executed. If so,
// it records the epoch and the sequence number. If not, it writes the reply: the offset
// of the newest append for a retry of it, and an error for an old epoch or a wrong
// sequence number. The first append of an epoch, and an append without records (empty),
// may have any sequence number.
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

// read replies with the records from the offset that the parameter "from" gives. It is a
// long poll: if there are none, it waits up to waitMs milliseconds for an append and
// then replies without records. If the record at that offset has expired, it replies
// with status 410 and the first readable offset.
func (s *Store) read(ctx context.Context, w http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	from := parseNumber(query.Get("from"))
	waited, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(parseNumber(query.Get("waitMs")))*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		// Records are only ever added, so the slice may be read without the lock.
		records, firstOffset, appended := t.records, t.firstOffset, t.appended
		s.mu.Unlock()
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
		case <-waited.Done():
			writeRecords(w, nil, int64(len(records)), firstOffset)
			return
		case <-ctx.Done():
			return
		}
	}
}

// writeRecords writes the end offset and the first readable offset of the topic in
// eight bytes each, and the records, each of which is preceded by its length in four
// bytes. A write error is ignored, since it means that the client has disconnected.
func writeRecords(w io.Writer, records [][]byte, endOffset, firstOffset int64) {
	var out bytes.Buffer
	_ = binary.Write(&out, binary.BigEndian, []int64{endOffset, firstOffset})
	for _, r := range records {
		_ = binary.Write(&out, binary.BigEndian, uint32(len(r)))
		out.Write(r)
	}
	_, _ = w.Write(out.Bytes())
}

// listNewest replies with the newest record of each key, all in one page.
func (s *Store) listNewest(w http.ResponseWriter, req *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(req.URL.Query().Get("topic"))
	items := []map[string]any{}
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		offset := t.newest[key]
		// A record is a one-byte key length, the key and the value.
		value := t.records[offset][1+len(key):]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": offset})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "endOffset": len(t.records)})
}

// parseNumber returns the number, or 0 for a missing or malformed parameter.
func parseNumber(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

// writeJSON writes a response. A write error is ignored, since it means that the client
// has disconnected.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
