package main

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

const (
	// maxStored is what the platform's store holds in total; beyond it appends get status 507.
	maxStored = 400_000_000
	// newestItems and newestBytes bound a page of the newest records, and readBytes the answer
	// to a read.
	newestItems = 500
	newestBytes = 1_000_000
	readBytes   = 1024 << 10
	// repeatedAppends is the number of a producer's newest appends whose repeats get their first
	// answer again.
	repeatedAppends = 5
)

// logStore is a stand-in for the platform's store that counts what it holds. It lets nothing
// expire, since a case is shorter than keep_s.
type logStore struct {
	mu     sync.Mutex
	topics map[string]*logTopic
	stored int64
	// refused counts the appends with status 507.
	refused int
}

// logTopic is a topic with one partition.
type logTopic struct {
	// records are those from the offset first on. Older ones have expired, but for the newest
	// record of each key.
	records []logRecord
	first   int64
	newest  map[string]logRecord
	// keys are the keys of newest in order; nil if they have to be sorted again.
	keys      []string
	producers map[string]*logProducer
	changed   chan struct{}
}

type logRecord struct {
	offset int64
	// raw is the length of the key in a byte, the key and the value.
	raw []byte
}

// key returns the record's key.
func (r logRecord) key() string { return string(r.raw[1 : 1+int(r.raw[0])]) }

type logProducer struct {
	epoch, sequence int64
	answers         map[int64]map[string]int64
}

func newLogStore() *logStore { return &logStore{topics: map[string]*logTopic{}} }

func (s *logStore) topic(name string) *logTopic {
	t := s.topics[name]
	if t == nil {
		t = &logTopic{newest: map[string]logRecord{}, producers: map[string]*logProducer{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// end returns the offset after the last record.
func (t *logTopic) end() int64 { return t.first + int64(len(t.records)) }

// add appends a record and returns the bytes that it takes.
func (t *logTopic) add(raw []byte) int64 {
	r := logRecord{t.end(), raw}
	t.records = append(t.records, r)
	if _, known := t.newest[r.key()]; !known {
		t.keys = nil
	}
	t.newest[r.key()] = r
	return int64(len(raw))
}

// put adds a record as the operator or an earlier process of the project did.
func (s *logStore) put(topic, key string, value []byte) {
	raw := append([]byte{byte(len(key))}, key...)
	s.stored += s.topic(topic).add(append(raw, value...))
}

// expire drops all records but the newest of each key, as happens after keep_s.
func (s *logStore) expire() {
	for _, t := range s.topics {
		t.first, t.records = t.end(), nil
	}
}

func (s *logStore) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	time.Sleep(answerTime)
	switch req.URL.Path {
	case "/log-append":
		s.append(w, req)
	case "/log-read":
		s.read(req.Context(), w, req)
	case "/log-newest":
		s.listNewest(w, req)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func parameter(req *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(req.URL.Query().Get(name), 10, 64)
	return n
}

func answer(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *logStore) append(w http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(req.Body)
	if err != nil || !withinLimits(raw) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t, query := s.topic(req.URL.Query().Get("topic")), req.URL.Query()
	if query.Has("at") && parameter(req, "at") != t.end() {
		answer(w, http.StatusPreconditionFailed, map[string]int64{"endOffset": t.end()})
		return
	}
	var p *logProducer
	if name := query.Get("producer"); name != "" {
		if p = t.producers[name]; p == nil {
			p = &logProducer{answers: map[int64]map[string]int64{}}
			t.producers[name] = p
		}
		epoch, sequence := parameter(req, "epoch"), parameter(req, "sequence")
		switch first := p.answers[sequence]; {
		case epoch < p.epoch:
			answer(w, http.StatusConflict, map[string]string{"reason": "fenced"})
			return
		case epoch > p.epoch:
			*p = logProducer{epoch: epoch, sequence: sequence - 1, answers: map[int64]map[string]int64{}}
		case first != nil:
			answer(w, http.StatusOK, first)
			return
		case sequence != p.sequence+1:
			answer(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.sequence + 1})
			return
		}
	}
	if len(raw) > 0 && s.stored+int64(len(raw)) > maxStored {
		s.refused++
		w.WriteHeader(http.StatusInsufficientStorage)
		return
	}
	result := map[string]int64{"offset": t.end()}
	for len(raw) > 0 {
		size := binary.BigEndian.Uint32(raw)
		s.stored += t.add(slices.Clone(raw[4 : 4+size]))
		raw = raw[4+size:]
	}
	result["endOffset"] = t.end()
	if p != nil {
		p.sequence++
		p.answers[p.sequence] = result
		delete(p.answers, p.sequence-repeatedAppends)
	}
	close(t.changed)
	t.changed = make(chan struct{})
	answer(w, http.StatusOK, result)
}

func (s *logStore) read(ctx context.Context, w http.ResponseWriter, req *http.Request) {
	from := parameter(req, "from")
	ctx, cancel := context.WithTimeout(ctx, time.Duration(parameter(req, "waitMs"))*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		t := s.topic(req.URL.Query().Get("topic"))
		first, end, changed := t.first, t.end(), t.changed
		var records []logRecord
		if from >= first && from < end {
			records = t.records[from-first:]
		}
		s.mu.Unlock()
		if from < first {
			answer(w, http.StatusGone, map[string]int64{"firstOffset": first})
			return
		}
		if len(records) == 0 && ctx.Err() == nil {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(end))
		out = binary.BigEndian.AppendUint64(out, uint64(first))
		for _, r := range records {
			if len(out) > readBytes {
				break
			}
			out = binary.BigEndian.AppendUint32(out, uint32(len(r.raw)))
			out = append(out, r.raw...)
		}
		_, _ = w.Write(out)
		return
	}
}

func (s *logStore) listNewest(w http.ResponseWriter, req *http.Request) {
	s.mu.Lock()
	t := s.topic(req.URL.Query().Get("topic"))
	if t.keys == nil {
		t.keys = make([]string, 0, len(t.newest))
		for key := range t.newest {
			t.keys = append(t.keys, key)
		}
		slices.Sort(t.keys)
	}
	after := req.URL.Query().Get("dependsOn")
	at, found := slices.BinarySearch(t.keys, after)
	if found {
		at++
	}
	items, size := []map[string]any{}, 0
	for ; at < len(t.keys) && len(items) < newestItems && size < newestBytes; at++ {
		r := t.newest[t.keys[at]]
		value := r.raw[1+int(r.raw[0]):]
		size += len(value)
		items = append(items, map[string]any{"key": t.keys[at], "value": base64.StdEncoding.EncodeToString(value), "offset": r.offset})
	}
	body := map[string]any{"items": items, "hasMore": at < len(t.keys), "endOffset": t.end()}
	s.mu.Unlock()
	answer(w, http.StatusOK, body)
}

const (
	// longSpec is the length of the longest spec that the pages allow.
	longSpec = 4000
	// keyBytes is more than the keys of a job's records take.
	keyBytes = 100
	// freeBytes is what the store still takes when the case starts.
	freeBytes = 25_000
)

// fill writes what the project's own processes leave of completed jobs: at most the given number
// of jobs, and not more than the store then takes up to the given number of bytes. It returns the
// number of the jobs.
func (s *logStore) fill(jobs, specBytes int, limit int64) (int, error) {
	spec := strings.Repeat("s", specBytes)
	for n := range jobs {
		w := plantainrail.Workflow{
			ID: fmt.Sprintf("%016x", n), Spec: spec, Queue: plantainrail.Queue{Name: "q", Pool: pool, MaxAttempts: 2},
			Steps: []plantainrail.Step{{Count: 6, CPU: 500, Memory: 1000, Estimate: 1000}},
		}
		record, err := planner.NewJobRecord(w)
		if err != nil {
			return n, err
		}
		book := planner.NewBook()
		j, err := book.ApplyJob(record)
		if err != nil {
			return n, err
		}
		j.State, j.Started = planner.Completed, true
		progress, err := j.Progress()
		if err != nil {
			return n, err
		}
		if s.stored+int64(len(record.Value)+len(progress)+keyBytes) > limit {
			s.expire()
			return n, nil
		}
		s.put("keyed.jobs", record.Key, record.Value)
		s.put("keyed.runs", w.ID, progress)
	}
	s.expire()
	return jobs, nil
}

// fullStore checks that accepted jobs are run when the records of completed jobs have filled the
// store.
func fullStore(f *fleet, trouble string) ([]string, error) {
	s := newLogStore()
	s.put("keyed.op", "config", []byte(operatorConfig))
	free := int64(freeBytes)
	if trouble == troubleNone {
		free = maxStored / 2
	}
	n, err := s.fill(math.MaxInt, longSpec, maxStored-free)
	if err != nil {
		return nil, err
	}
	f.note("the store holds the records of %d completed jobs, %d bytes", n, s.stored)
	storeAddress, err := f.serve(s)
	if err != nil {
		return nil, err
	}
	entry, err := f.startSmall(storeAddress, 4)
	if err != nil {
		return nil, err
	}
	lasting, err := f.submit(entry, job{Spec: "", Steps: []step{{Count: 4, CPU: 1000, Memory: 100, LongRunning: true}}})
	if err != nil {
		return nil, err
	}
	ids, answers := []string{}, map[int]int{}
	for began := time.Now(); time.Since(began) < 30*time.Second; time.Sleep(jobInterval) {
		id := f.newJobID()
		status, _, err := f.call(http.MethodPost, entry.frontend, "/q/"+id, job{Spec: "500", Steps: []step{{Count: 2, CPU: 500, Memory: 100, Estimate: 500}}})
		answers[status]++
		if err == nil && status == http.StatusOK {
			ids = append(ids, id)
		}
	}
	s.mu.Lock()
	f.note("answers by status: %v; the store holds %d bytes and has refused %d appends", answers, s.stored, s.refused)
	s.mu.Unlock()
	time.Sleep(finishTime)
	broken := f.findStarved([]*process{entry}, ids)
	f.note("%d tasks of the lasting job %s run", f.running(lasting), lasting)
	if f.running(lasting) == 0 {
		broken = append(broken, fmt.Sprintf("lasting job %s has nothing running", lasting))
	}
	f.noteRuns()
	return broken, nil
}
