package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	maxLease          = 6 * time.Second
	stopTime          = 200 * time.Millisecond
	// lastingSpec is the spec of tasks that run until they are stopped.
	lastingSpec = "last"
	// maxRecorded is the number of runs on a minion above which starts and ends are not recorded.
	maxRecorded = 40
)

type minionOptions struct {
	id, zone, address, agent string
	cpu, memory              int
	labels                   []string
}

// run is a run on a minion.
type run struct {
	task            string
	number          int64
	begunAt         time.Time
	cpu, memory     int
	filler, stopped bool
	timer           *time.Timer
	begin           *begin
}

// begin is a run with its begin and its end, which is zero as long as it works.
type begin struct {
	minion, task string
	number       int64
	at, end      time.Time
}

// minion runs tasks under a lease, as the page PROTOCOL says. The spec of a task is the time that it takes in
// milliseconds, or lastingSpec. A minion that comes up again has its earlier ID.
type minion struct {
	minionOptions
	fleet  *fleet
	client *http.Client

	mu       sync.Mutex
	server   *http.Server
	stopBeat context.CancelFunc
	life     int
	born     time.Time
	epoch    int64
	leaseEnd time.Time
	state    string
	runs     map[string]*run
	// old holds, by task, the highest number of a run that was stopped or has ended.
	old     map[string]int64
	ends    [][]any
	number  int64
	changed chan struct{}
	// begins holds the starts of all lives.
	begins []*begin
	// beatNow makes the minion send a heartbeat at once.
	beatNow chan struct{}
	// conns holds the open connections from the agent.
	conns map[net.Conn]bool
	// lateHold, if not 0, is the time after which the next call to /hold with a deadline is carried out, without an
	// answer. heldUp is closed once such a call has arrived.
	lateHold time.Duration
	heldUp   chan struct{}
	// lateStart is the same for the next call to /run-start.
	lateStart time.Duration
}

func newMinion(f *fleet, o minionOptions) *minion {
	return &minion{
		minionOptions: o, fleet: f, client: &http.Client{Timeout: time.Second}, changed: make(chan struct{}),
		beatNow: make(chan struct{}), conns: map[net.Conn]bool{}, heldUp: make(chan struct{}),
		runs: map[string]*run{}, old: map[string]int64{},
	}
}

// up begins a new life.
func (m *minion) up() error {
	var listener net.Listener
	var err error
	for range 20 {
		if listener, err = net.Listen("tcp", m.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.life++
	m.born, m.epoch, m.leaseEnd, m.state = time.Now(), 0, time.Time{}, "ready"
	m.runs, m.old, m.ends, m.number = map[string]*run{}, map[string]int64{}, nil, 0
	server := &http.Server{Handler: m, ConnState: m.track}
	m.server = server
	ctx, cancel := context.WithCancel(context.Background())
	m.stopBeat = cancel
	go func() { _ = server.Serve(listener) }()
	go m.beat(ctx)
	m.fleet.record.add("minion %s is up, life %d", m.id, m.life)
	return nil
}

// track keeps the open connections.
func (m *minion) track(c net.Conn, state http.ConnState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch state {
	case http.StateNew:
		m.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(m.conns, c)
	}
}

// down ends the life at once: all that runs is gone, and its connections break.
func (m *minion) down() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.server == nil {
		return
	}
	m.life++
	m.stopBeat()
	_ = m.server.Close()
	m.server = nil
	var lost []string
	for task, r := range m.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
		r.begin.end = time.Now()
		lost = append(lost, fmt.Sprintf("%s run %d after %.3f s", task, r.number, time.Since(r.begunAt).Seconds()))
	}
	m.runs = map[string]*run{}
	m.signal()
	slices.Sort(lost)
	m.fleet.record.add("minion %s is down; gone with it: %s", m.id, strings.Join(lost[:min(len(lost), maxRecorded)], ", "))
}

func (m *minion) signal() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// beat sends heartbeats until the context ends.
func (m *minion) beat(ctx context.Context) {
	for sequence := 1; ctx.Err() == nil; sequence++ {
		m.mu.Lock()
		body, _ := json.Marshal(map[string]any{
			"service": "bancs", "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": m.state, "coldRemainingMs": 0,
			"capacity": map[string]int{"cpu": m.cpu, "memMb": m.memory, "gpu": 0}, "labels": m.labels, "clockMs": time.Since(m.born).Milliseconds(),
			"sequence": sequence, "born": m.born.UnixMilli(),
		})
		m.mu.Unlock()
		wait := heartbeatInterval
		if !m.call(ctx, "/Instances.Heartbeat/"+m.id, body) {
			wait = 300 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-m.beatNow:
		case <-time.After(wait):
		}
	}
}

// call makes a call to the agent, and reports whether it was acknowledged.
func (m *minion) call(ctx context.Context, path string, body []byte) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.agent+path, bytes.NewReader(body))
	if err != nil {
		return false
	}
	response, err := m.client.Do(req)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// order is the body of a call to the minion.
type order struct {
	Task     string `json:"task"`
	Run      int64  `json:"runId"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadlineMs"`
	Epoch    int64  `json:"fencingToken"`
	LastSeen int64  `json:"lastSeen"`
	Wait     int64  `json:"waitMs"`
}

// ServeHTTP implements http.Handler.
func (m *minion) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var o order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := req.Header.Get("X-Expected-Instance"); expected != "" && expected != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lateHold > 0 && req.URL.Path == "/hold" && o.Deadline > 0 {
		m.holdUp(req.Context(), o)
		panic(http.ErrAbortHandler)
	}
	if m.lateStart > 0 && req.URL.Path == "/run-start" {
		m.holdUpStart(req.Context(), o)
		panic(http.ErrAbortHandler)
	}
	if o.Epoch < m.epoch {
		m.refuse(w, "fence")
		return
	}
	m.epoch = o.Epoch
	m.extendLease(o.Deadline)
	switch req.URL.Path {
	case "/run-start":
		if reason := m.start(o); reason != "" {
			m.fleet.record.add("minion %s refuses %s run %d: %s", m.id, o.Task, o.Run, reason)
			m.refuse(w, reason)
			return
		}
		m.answer(w, map[string]any{})
	case "/run-stop":
		m.stop(o)
		m.answer(w, map[string]any{})
	case "/hold":
		m.hold(req.Context(), w, o)
	case "/pace":
		m.answer(w, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (m *minion) answer(w http.ResponseWriter, body map[string]any) {
	body["clockMs"], body["born"] = time.Since(m.born).Milliseconds(), m.born.UnixMilli()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (m *minion) refuse(w http.ResponseWriter, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(w).Encode(map[string]any{"reason": reason, "clockMs": time.Since(m.born).Milliseconds(), "born": m.born.UnixMilli()})
}

// extendLease sets the end of the lease, which is never shortened.
func (m *minion) extendLease(deadline int64) {
	if deadline == 0 {
		return
	}
	end := m.born.Add(time.Duration(deadline) * time.Millisecond)
	if latest := time.Now().Add(maxLease); end.After(latest) {
		end = latest
	}
	if !end.After(m.leaseEnd) {
		return
	}
	m.leaseEnd = end
	life := m.life
	time.AfterFunc(time.Until(end), func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.life != life || time.Now().Before(m.leaseEnd) {
			return
		}
		for _, r := range m.runs {
			m.end(r, "lapsed")
		}
	})
}

// start starts a run, and returns the reason for a refusal.
func (m *minion) start(o order) string {
	if r := m.runs[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	if o.Run <= m.old[o.Task] {
		return "old"
	}
	if time.Since(m.born).Milliseconds() >= o.Deadline || !time.Now().Before(m.leaseEnd) {
		return "late"
	}
	r := &run{task: o.Task, number: o.Run, begunAt: time.Now()}
	m.fleet.size(r)
	cpu, memory := r.cpu, r.memory
	for _, other := range m.runs {
		cpu, memory = cpu+other.cpu, memory+other.memory
	}
	if cpu > m.cpu || memory > m.memory {
		return "room"
	}
	m.runs[o.Task] = r
	r.begin = &begin{minion: m.id, task: o.Task, number: o.Run, at: r.begunAt}
	m.begins = append(m.begins, r.begin)
	if len(m.runs) <= maxRecorded {
		m.fleet.record.add("minion %s begins %s run %d", m.id, o.Task, o.Run)
	}
	if ms, err := strconv.Atoi(strings.TrimSpace(o.Spec)); err == nil {
		r.timer = time.AfterFunc(time.Duration(ms)*time.Millisecond, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.runs[o.Task] == r {
				m.end(r, "done")
			}
		})
	}
	return ""
}

// end lists the end of a run.
func (m *minion) end(r *run, how string) {
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(m.runs, r.task)
	r.begin.end = time.Now()
	m.old[r.task] = max(m.old[r.task], r.number)
	m.number++
	m.ends = append(m.ends, []any{m.number, r.task, r.number, how, ""})
	if len(m.runs) <= maxRecorded {
		m.fleet.record.add("minion %s lists the end of %s run %d: %s", m.id, r.task, r.number, how)
	}
	m.signal()
}

func (m *minion) stop(o order) {
	m.old[o.Task] = max(m.old[o.Task], o.Run)
	r := m.runs[o.Task]
	if r == nil || r.number > o.Run || r.stopped {
		return
	}
	r.stopped = true
	m.fleet.record.add("minion %s is told to stop %s run %d", m.id, o.Task, o.Run)
	time.AfterFunc(stopTime, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.runs[o.Task] == r {
			m.end(r, "stopped")
		}
	})
}

// holdUp leaves a call to /hold without an answer, and carries it out later. The caller holds the lock, which is released
// during the wait.
func (m *minion) holdUp(ctx context.Context, o order) {
	m.fleet.record.add("minion %s holds up a call to /hold: deadlineMs %d, its clock %d, carried out after %s", m.id, o.Deadline, time.Since(m.born).Milliseconds(), m.lateHold)
	time.AfterFunc(m.lateHold, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.server == nil || o.Epoch < m.epoch {
			m.fleet.record.add("minion %s drops the late call", m.id)
			return
		}
		m.epoch = o.Epoch
		before := m.leaseEnd
		m.extendLease(o.Deadline)
		m.fleet.record.add("minion %s carries out the late call, its clock %d: the lease ends %.3f s later than before", m.id, time.Since(m.born).Milliseconds(), m.leaseEnd.Sub(before).Seconds())
	})
	m.lateHold = 0
	close(m.heldUp)
	m.mu.Unlock()
	<-ctx.Done()
	m.mu.Lock()
}

// holdUpStart does the same with a call to /run-start.
func (m *minion) holdUpStart(ctx context.Context, o order) {
	m.fleet.record.add("minion %s holds up the start of %s run %d, carried out after %s", m.id, o.Task, o.Run, m.lateStart)
	time.AfterFunc(m.lateStart, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.server == nil || o.Epoch < m.epoch {
			m.fleet.record.add("minion %s drops the late start", m.id)
			return
		}
		m.epoch = o.Epoch
		m.extendLease(o.Deadline)
		reason := m.start(o)
		m.fleet.record.add("minion %s carries out the late start of %s run %d, reason %q", m.id, o.Task, o.Run, reason)
	})
	m.lateStart = 0
	close(m.heldUp)
	m.mu.Unlock()
	<-ctx.Done()
	m.mu.Lock()
}

// hold answers with the lists, once there is an end or the wait is over.
func (m *minion) hold(ctx context.Context, w http.ResponseWriter, o order) {
	m.ends = slices.DeleteFunc(m.ends, func(end []any) bool { return end[0].(int64) <= o.LastSeen })
	life, timer := m.life, time.NewTimer(time.Duration(o.Wait)*time.Millisecond)
	defer timer.Stop()
	for waiting := true; waiting && len(m.ends) == 0 && m.life == life; {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
		m.mu.Lock()
	}
	if m.life != life {
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range m.runs {
		percent, measured := 50, r.cpu
		if r.timer == nil && time.Since(r.begunAt) > 400*time.Millisecond {
			percent = 100
		}
		running = append(running, []any{r.task, r.number, "", percent, measured})
	}
	ended = append(ended, m.ends[:min(len(m.ends), 500)]...)
	m.answer(w, map[string]any{"running": running, "finished": ended})
}

// tasks returns the tasks that run.
func (m *minion) tasks() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for task := range m.runs {
		out = append(out, task)
	}
	return out
}

// startsOf returns the runs of a job's tasks, or all without an ID.
func (m *minion) startsOf(id string) []begin {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []begin
	for _, b := range m.begins {
		if id == "" || strings.HasPrefix(b.task, id+".") {
			out = append(out, *b)
		}
	}
	return out
}

// drain reports the minion as draining, at once and with each heartbeat.
func (m *minion) drain() {
	m.mu.Lock()
	m.state = "draining"
	m.fleet.record.add("minion %s drains", m.id)
	m.mu.Unlock()
	m.beatNow <- struct{}{}
}

// deregister reports the minion's end, and returns whether it was acknowledged. With reset, the connections between
// the minion and its agent are reset as soon as the call has been sent.
func (m *minion) deregister(reset bool) bool {
	if !reset {
		return m.call(context.Background(), "/Instances.Deregister/"+m.id, []byte("{}"))
	}
	connection, err := net.Dial("tcp", m.agent)
	if err != nil {
		return false
	}
	body := "{}"
	_, _ = fmt.Fprintf(connection, "POST /Instances.Deregister/%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", m.id, m.agent, len(body), body)
	time.Sleep(5 * time.Millisecond)
	if t, ok := connection.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = connection.Close()
	m.client.CloseIdleConnections()
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	m.fleet.record.add("the connections between minion %s and its machine are reset", m.id)
	return false
}

// size sets what a run takes of its minion, as submitted with its job.
func (f *fleet) size(r *run) {
	parts := strings.Split(r.task, ".")
	number, _ := strconv.Atoi(parts[2])
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.jobs[parts[0]].Steps[number]
	r.cpu, r.memory, r.filler = s.CPU, s.Memory, s.FillCount
	if s.FillCount {
		r.cpu = 0
	}
}
