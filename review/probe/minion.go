package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the minions, as in sites/bancs-fleuve.toml.
const (
	holdMax           = 6 * time.Second
	stopDuration      = 300 * time.Millisecond
	gangTimeout       = 3 * time.Second
	checkpointTime    = time.Second
	restoreTime       = 600 * time.Millisecond
	heartbeatInterval = 1500 * time.Millisecond
	workInterval      = 20 * time.Millisecond
)

// world holds the minions of a fleet, whose gangs work together.
type world struct {
	mu      sync.Mutex
	fleet   *fleet
	minions []*minion
	// ends counts the ends by how. checkpointBytes is the length of a checkpoint.
	history         []*task
	checkpointBytes int
	// refusals counts the starts that were refused, by reason.
	refusals map[string]int
}

// minion is a stand-in for a minion with checkpoints and gangs. Its tasks have the spec "work MS", "last" or
// "gang N MS": then N tasks of the step work together. The tasks of a step with the spec "vary MS" take up to nine
// tenths longer, as their numbers end.
type minion struct {
	world       *world
	id, address string
	zone        string
	labels      []string
	capacity    int
	agent       string
	state       string
	down        bool
	life        int
	born        time.Time
	sequence    int
	fence       int64
	lease       time.Time
	running     map[string]*task
	stale       map[string]int64
	ends        []*task
	lastEnd     int64
	changed     chan struct{}
}

// task is one run of a task on a minion.
type task struct {
	minion             *minion
	name, spec         string
	run                int64
	began, ended       time.Time
	how                string
	number             int64
	saved              string
	given              string
	done, length       time.Duration
	gang               int
	lasts              bool
	stopAt, checkpoint time.Time
	// seen is set once the members of a gang were together, noted once the agent has taken note of the end, and lapsed
	// if the lease of the minion lapsed between the two.
	seen, noted, lapsed bool
}

// group is what the members of a gang have in common.
func (t *task) group() string {
	return t.name[:strings.LastIndex(t.name, ".")] + "/" + strconv.FormatInt(t.run, 10)
}

func newWorld(f *fleet) *world {
	const defaultCheckpoint = 16
	w := &world{fleet: f, checkpointBytes: defaultCheckpoint, refusals: map[string]int{}}
	go func() {
		for f.ctx.Err() == nil {
			time.Sleep(workInterval)
			w.work()
		}
	}()
	return w
}

// start starts an agent with a minion of the given capacity in thousandths of a core.
func (w *world) start(capacity int) (*minion, error) {
	w.mu.Lock()
	n := len(w.minions)
	m := &minion{
		world: w, id: fmt.Sprint("i-", n+1), zone: fmt.Sprint("z-", n%2+1), labels: []string{"a", fmt.Sprint("r1-", n%3)}, capacity: capacity,
		state: "ready",
	}
	m.begin()
	w.minions = append(w.minions, m)
	w.mu.Unlock()
	err := w.fleet.startAgent(m, func(address, agent string) {
		m.address, m.agent = address, agent
		go m.beat()
	})
	return m, err
}

// begin begins a life. The caller holds the lock.
func (m *minion) begin() {
	m.life++
	m.born, m.sequence, m.fence, m.lease, m.lastEnd, m.down = time.Now(), 0, 0, time.Time{}, 0, false
	m.running, m.stale, m.ends, m.changed = map[string]*task{}, map[string]int64{}, nil, make(chan struct{})
}

// crash ends all runs, and the minion is away for a time.
func (m *minion) crash(away time.Duration) {
	m.world.mu.Lock()
	if m.down {
		m.world.mu.Unlock()
		return
	}
	m.world.fleet.noteLater("%s crashes", m.id)
	for _, t := range m.running {
		t.ended, t.how = time.Now(), "gone"
	}
	m.running, m.down = map[string]*task{}, true
	close(m.changed)
	m.changed = make(chan struct{})
	m.world.mu.Unlock()
	time.AfterFunc(away, func() {
		m.world.mu.Lock()
		defer m.world.mu.Unlock()
		m.begin()
		m.world.fleet.noteLater("%s starts again", m.id)
	})
}

// noteLater writes a line to the record without waiting for it.
func (f *fleet) noteLater(format string, values ...any) { go f.note(format, values...) }

// beat sends heartbeats until the fleet ends.
func (m *minion) beat() {
	client := &http.Client{Timeout: time.Second}
	for life := 0; m.world.fleet.ctx.Err() == nil; {
		m.world.mu.Lock()
		m.sequence++
		body, err := json.Marshal(map[string]any{
			"service": pool, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": m.state, "coldRemainingMs": 0,
			"capacity": map[string]int{"cpu": m.capacity, "memMb": 128_000, "gpu": 0}, "labels": m.labels, "clockMs": m.clock(),
			"sequence": m.sequence, "born": m.born.UnixMilli(),
		})
		silent := m.down
		life = m.life
		m.world.mu.Unlock()
		if err == nil && !silent {
			req, err := http.NewRequestWithContext(m.world.fleet.ctx, http.MethodPost, "http://"+m.agent+"/Instances.Heartbeat/"+m.id, strings.NewReader(string(body)))
			if err == nil {
				req.Header.Set("Content-Type", "application/json")
				if response, err := client.Do(req); err == nil {
					_ = response.Body.Close()
				}
			}
		}
		for until := time.Now().Add(heartbeatInterval); time.Now().Before(until); time.Sleep(workInterval) {
			m.world.mu.Lock()
			reborn := m.life != life && !m.down
			m.world.mu.Unlock()
			if reborn {
				break
			}
		}
	}
}

// clock is the time on the minion's own clock. The caller holds the lock.
func (m *minion) clock() int64 { return time.Since(m.born).Milliseconds() }

// work lets all tasks work for an interval.
func (w *world) work() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	present := map[string]int{}
	for _, m := range w.minions {
		for _, t := range m.running {
			if t.gang > 0 {
				present[t.group()]++
			}
		}
	}
	for _, m := range w.minions {
		m.noteLapse()
		for _, t := range m.running {
			together := t.gang == 0 || present[t.group()] >= t.gang
			switch {
			case !m.lease.IsZero() && now.After(m.lease):
				m.end(t, "lapsed")
			case !t.stopAt.IsZero() && now.After(t.stopAt):
				m.end(t, "stopped")
			case !together && t.seen:
				m.end(t, "broken")
			case !together && now.Sub(t.began) > gangTimeout:
				m.end(t, "alone")
			case together:
				t.seen = true
				t.done += workInterval
				if now.Sub(t.checkpoint) > checkpointTime {
					t.checkpoint = now
					t.save()
				}
				if !t.lasts && t.done >= t.length {
					w.finish(t)
				}
			}
		}
	}
}

// noteLapse notes that the lease has lapsed before the ends that are still listed were taken note of. The caller
// holds the lock.
func (m *minion) noteLapse() {
	if time.Now().Before(m.lease) {
		return
	}
	for _, t := range m.ends {
		t.lapsed = true
	}
}

// finish ends a task, or all members of its gang, as done. The caller holds the lock.
func (w *world) finish(t *task) {
	if t.gang == 0 {
		t.minion.end(t, "done")
		return
	}
	for _, m := range w.minions {
		for _, other := range m.running {
			if other.gang > 0 && other.group() == t.group() {
				m.end(other, "done")
			}
		}
	}
}

// save makes a new checkpoint: the progress, filled up to the length of a checkpoint.
func (t *task) save() {
	progress := strconv.FormatInt(t.done.Milliseconds(), 10)
	t.saved = progress + strings.Repeat("x", max(t.minion.world.checkpointBytes-len(progress), 1))
}

// end ends a run. The caller holds the lock.
func (m *minion) end(t *task, how string) {
	if how == "stopped" && t.saved != "" {
		t.save()
	}
	m.lastEnd++
	t.ended, t.how, t.number = time.Now(), how, m.lastEnd
	delete(m.running, t.name)
	m.stale[t.name] = max(m.stale[t.name], t.run)
	m.ends = append(m.ends, t)
	close(m.changed)
	m.changed = make(chan struct{})
}

// call holds the fields of all calls to a minion.
type call struct {
	Task       string `json:"task"`
	Run        int64  `json:"runId"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadlineMs"`
	Fence      int64  `json:"fencingToken"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int64  `json:"lastSeen"`
	Wait       int64  `json:"waitMs"`
}

// ServeHTTP implements http.Handler.
func (m *minion) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var c call
	if err := json.NewDecoder(req.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	switch {
	case m.down:
		panic(http.ErrAbortHandler)
	case req.Header.Get("X-Expected-Instance") != m.id:
		m.answer(w, http.StatusMisdirectedRequest, map[string]any{})
	case c.Fence < m.fence:
		m.refuse(w, "fence")
	default:
		m.fence = c.Fence
		m.serve(w, req, c)
	}
}

func (m *minion) serve(w http.ResponseWriter, req *http.Request, c call) {
	switch req.URL.Path {
	case "/run-start":
		m.extend(c.Deadline)
		if reason := m.startTask(c); reason != "" {
			m.refuse(w, reason)
			return
		}
		m.answer(w, http.StatusOK, map[string]any{})
	case "/run-stop":
		m.stale[c.Task] = max(m.stale[c.Task], c.Run)
		if t := m.running[c.Task]; t != nil && t.run <= c.Run && t.stopAt.IsZero() {
			t.stopAt = time.Now().Add(stopDuration)
		}
		m.answer(w, http.StatusOK, map[string]any{})
	case "/hold":
		m.hold(w, req, c)
	default:
		m.answer(w, http.StatusOK, map[string]any{})
	}
}

// extend extends the lease to a time on the minion's clock.
func (m *minion) extend(deadline int64) {
	until := m.born.Add(time.Duration(deadline) * time.Millisecond)
	if latest := time.Now().Add(holdMax); until.After(latest) {
		until = latest
	}
	if deadline > 0 && until.After(m.lease) {
		m.lease = until
	}
}

// startTask starts a run, or returns why not.
func (m *minion) startTask(c call) string {
	if t := m.running[c.Task]; t != nil && t.run == c.Run {
		return ""
	}
	switch {
	case c.Run <= m.stale[c.Task]:
		return "old"
	case m.clock() >= c.Deadline || !time.Now().Before(m.lease):
		return "late"
	}
	t := &task{minion: m, name: c.Task, spec: c.Spec, run: c.Run, began: time.Now(), saved: c.Checkpoint, given: c.Checkpoint, checkpoint: time.Now()}
	words := strings.Fields(c.Spec)
	if len(words) == 0 {
		words = []string{"work", "0"}
	}
	switch {
	case c.Spec == "last":
		t.lasts = true
	case words[0] == "gang":
		t.gang, _ = strconv.Atoi(words[1])
		fallthrough
	default:
		ms, _ := strconv.Atoi(words[len(words)-1])
		t.length = time.Duration(ms) * time.Millisecond
		if words[0] == "vary" {
			const tenths = 10
			t.length += t.length / tenths * time.Duration(c.Task[len(c.Task)-1]-'0')
		}
	}
	if progress, _, found := strings.Cut(c.Checkpoint, "x"); found {
		ms, _ := strconv.Atoi(progress)
		t.done = time.Duration(ms)*time.Millisecond - restoreTime
	}
	m.stale[c.Task] = c.Run - 1
	m.running[c.Task] = t
	m.world.history = append(m.world.history, t)
	return ""
}

// hold renews the lease and lists the runs and ends.
func (m *minion) hold(w http.ResponseWriter, req *http.Request, c call) {
	const maxListed = 500
	m.noteLapse()
	m.extend(c.Deadline)
	m.ends = slices.DeleteFunc(m.ends, func(t *task) bool {
		t.noted = t.noted || t.number <= c.LastSeen && !t.lapsed
		return t.number <= c.LastSeen
	})
	ctx, cancel := context.WithTimeout(req.Context(), time.Duration(c.Wait)*time.Millisecond)
	defer cancel()
	life := m.life
	for len(m.ends) == 0 && ctx.Err() == nil && m.life == life && !m.down {
		changed := m.changed
		m.world.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		m.world.mu.Lock()
	}
	if m.life != life || m.down {
		panic(http.ErrAbortHandler)
	}
	running, ends := [][]any{}, [][]any{}
	for _, t := range m.running {
		percent := 50
		if t.lasts {
			percent = 100
		}
		running = append(running, []any{t.name, t.run, t.saved, percent, 0})
	}
	for _, t := range m.ends[:min(len(m.ends), maxListed)] {
		ends = append(ends, []any{t.number, t.name, t.run, t.how, t.saved})
	}
	m.answer(w, http.StatusOK, map[string]any{"running": running, "finished": ends})
}

func (m *minion) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["clockMs"], body["born"] = m.clock(), m.born.UnixMilli()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (m *minion) refuse(w http.ResponseWriter, reason string) {
	m.world.refusals[reason]++
	m.answer(w, http.StatusConflict, map[string]any{"reason": reason})
}

// noteHistory records the runs that the minions have seen.
func (w *world) noteHistory() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.history {
		w.fleet.note("run %d of %s on %s began at %.3f s, ended %q after %.3f s", t.run, t.name, t.minion.id, t.began.Sub(w.fleet.began).Seconds(), t.how, t.ended.Sub(t.began).Seconds())
	}
}
