// Package recorder simulates the platform's log service, which entries call through
// package appender: an append-only log in memory with offsets and limited retention.
// It can inject outages, delays and lost replies.
package recorder

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/appender"
)

// Faults selects the failures that a Recorder simulates.
type Faults struct {
	// Down rejects every append and read with status 503.
	Down bool `json:"down"`
	// LoseReplies stores appended records but responds to the calls with an error.
	LoseReplies bool `json:"lose_replies"`
	// DelayMS is the delay of every append and read, in milliseconds.
	DelayMS int `json:"delay_ms"`
}

// Recorder is a log in memory. It is an http.Handler.
type Recorder struct {
	mux *http.ServeMux

	mu      sync.Mutex
	records []plantainrail.Record
	// oldest is the offset of the first element of records.
	oldest plantainrail.Offset
	// maxRecords is the number of newest records that are retained; 0 means all.
	maxRecords int
	// appended is closed and replaced by each append.
	appended chan struct{}
	faults   Faults
	// appends counts the append calls that stored their records.
	appends int
}

// New returns an empty log that retains at most the given number of newest
// records; 0 retains all.
func New(maxRecords int) *Recorder {
	r := &Recorder{mux: http.NewServeMux(), maxRecords: maxRecords, appended: make(chan struct{})}
	r.mux.HandleFunc("POST /append", r.append)
	r.mux.HandleFunc("GET /read", r.read)
	r.mux.HandleFunc("PUT /faults", r.putFaults)
	r.mux.HandleFunc("GET /records", r.list)
	return r
}

// ServeHTTP implements http.Handler.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/append" || req.URL.Path == "/read" {
		f := r.Faults()
		time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
		if f.Down {
			http.Error(w, "the log service is down", http.StatusServiceUnavailable)
			return
		}
	}
	r.mux.ServeHTTP(w, req)
}

// SetFaults replaces the simulated failures.
func (r *Recorder) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Faults returns the failures that are simulated at present.
func (r *Recorder) Faults() Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

// Records returns a copy of the retained records.
func (r *Recorder) Records() []plantainrail.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]plantainrail.Record(nil), r.records...)
}

// Appends returns the number of append calls that stored their records.
func (r *Recorder) Appends() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.appends
}

// Trim drops all but the given number of newest records, as retention does.
func (r *Recorder) Trim(keep int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trim(keep)
}

// trim is Trim for callers that hold the lock.
func (r *Recorder) trim(keep int) {
	if drop := len(r.records) - keep; drop > 0 {
		r.oldest += plantainrail.Offset(drop)
		// A new slice is allocated, which releases the memory of the dropped records.
		r.records = append(r.records[:0:0], r.records[drop:]...)
	}
}

// append stores the records of a call and replies with the offset of the first one.
func (r *Recorder) append(w http.ResponseWriter, req *http.Request) {
	var records []plantainrail.Record
	if err := cbor.NewDecoder(req.Body).Decode(&records); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	first := r.oldest + plantainrail.Offset(len(r.records))
	for i, record := range records {
		record.Offset = first + plantainrail.Offset(i)
		record.Time = time.Now()
		r.records = append(r.records, record)
	}
	r.appends++
	if r.maxRecords > 0 {
		r.trim(r.maxRecords)
	}
	close(r.appended)
	r.appended = make(chan struct{})
	loseReply := r.faults.LoseReplies
	r.mu.Unlock()
	if loseReply {
		http.Error(w, "the reply was lost", http.StatusBadGateway)
		return
	}
	writeCBOR(w, appender.AppendReply{Offset: first})
}

// maxReadRecords bounds the number of records in the reply to a read.
const maxReadRecords = 2000

// read replies with the records from the offset that the query parameter "from" gives. It
// is a long poll: if there are none, it waits up to wait_ms milliseconds for an append and
// then replies without records. A missing or malformed parameter counts as 0.
func (r *Recorder) read(w http.ResponseWriter, req *http.Request) {
	from, _ := strconv.ParseInt(req.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.Atoi(req.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		batch, appended := r.readBatch(plantainrail.Offset(from))
		if len(batch.Records) > 0 {
			writeCBOR(w, batch)
			return
		}
		select {
		case <-appended:
		case <-timeout:
			writeCBOR(w, batch)
			return
		case <-req.Context().Done():
			return
		}
	}
}

// readBatch returns at most maxReadRecords records from the offset on, or from the
// oldest record if that is later, and a channel that is closed by the next append.
func (r *Recorder) readBatch(from plantainrail.Offset) (plantainrail.Batch, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := plantainrail.Batch{Oldest: r.oldest, Next: r.oldest + plantainrail.Offset(len(r.records))}
	start := max(from, r.oldest) - r.oldest
	if int(start) < len(r.records) {
		end := min(int(start)+maxReadRecords, len(r.records))
		b.Records = append(b.Records, r.records[start:end]...)
	}
	return b, r.appended
}

// writeCBOR writes a response. A failed write is ignored, because the client has gone.
func writeCBOR(w http.ResponseWriter, body any) {
	raw, err := cbor.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(raw)
}

// putFaults replaces the simulated failures, for tests in other processes.
func (r *Recorder) putFaults(w http.ResponseWriter, req *http.Request) {
	var f Faults
	if err := json.NewDecoder(req.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// list replies with all retained records as JSON, for tests in other processes.
func (r *Recorder) list(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r.Records())
}
