package receiver

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/follower"
	"github.com/plantainrail/plantainrail/linker"
	"github.com/plantainrail/plantainrail/parser"
	"github.com/plantainrail/plantainrail/reducer"
	"github.com/plantainrail/plantainrail/router"
)

const (
	// operatorLimit bounds the wait for a record of an operator's call.
	operatorLimit = 5 * time.Second
	// bodyLimit bounds the body of an operator's call, in bytes.
	bodyLimit = 2 << 20
	// confirmLimit bounds the wait for an agent's word on a leave.
	confirmLimit = 3 * time.Second
)

func (r *Receiver) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /readyz", r.serveReady)
	mux.HandleFunc("GET /-/session", r.serveSession)
	operator := func(pattern string, call func(http.ResponseWriter, *http.Request) error) {
		mux.HandleFunc(pattern, r.authorized(call))
	}
	operator("GET /-/table", r.getTable)
	operator("POST /-/table", r.publishTable)
	operator("GET /-/table/history", r.getHistory)
	operator("GET /-/targets", r.getTargets)
	operator("POST /-/targets/leave", r.leaveTarget)
	operator("GET /-/entries", r.getEntries)
	operator("GET /-/requests/{id}", r.getRequest)
	operator("GET /-/zones", r.getZones)
	operator("POST /-/zones", r.postZone)
	operator("GET /-/jobs", r.getJobs)
	operator("POST /-/jobs", r.postJob)
	operator("POST /-/jobs/cancel", r.cancelJobs)
	operator("GET /-/jobs/{id}", r.getJob)
	operator("GET /-/burn", r.getBurn)
	operator("GET /debug/vars", func(w http.ResponseWriter, q *http.Request) error {
		expvar.Handler().ServeHTTP(w, q)
		return nil
	})
	mux.HandleFunc("/", r.serveCaller)
	return mux
}

func (r *Receiver) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !r.ready() {
		code := plantainrail.CodeNotReady
		if r.draining.Load() {
			code = plantainrail.CodeDraining
		}
		r.refuse(w, plantainrail.NewError(code, "entry %s", r.Name))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// authorized wraps an operator's call with the check of the token. Without a
// token in the settings calls are taken from loopback alone.
func (r *Receiver) authorized(call func(http.ResponseWriter, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		if err := r.authorize(q); err != nil {
			r.refuse(w, err)
			return
		}
		q.Body = http.MaxBytesReader(w, q.Body, bodyLimit)
		if err := call(w, q); err != nil {
			r.refuseWith(w, err)
		}
	}
}

func (r *Receiver) refuseWith(w http.ResponseWriter, err error) {
	var coded *plantainrail.Error
	var cells parser.CellErrors
	switch {
	case errors.As(err, &cells):
		writeFailure(w, plantainrail.NewError(plantainrail.CodeTableInvalid, "%s", cells[0].Error()), cells)
	case errors.As(err, &coded):
		r.refuse(w, coded)
	default:
		r.refuse(w, plantainrail.NewError(plantainrail.CodeBadRequest, "%v", err))
	}
}

func (r *Receiver) authorize(q *http.Request) *plantainrail.Error {
	if r.OperatorToken == "" {
		host, _, err := net.SplitHostPort(q.RemoteAddr)
		if ip := net.ParseIP(host); err == nil && ip != nil && ip.IsLoopback() {
			return nil
		}
		return plantainrail.NewError(plantainrail.CodeForbidden, "from %s", q.RemoteAddr)
	}
	given := strings.TrimPrefix(q.Header.Get("Authorization"), "Bearer ")
	if subtle.ConstantTimeCompare([]byte(given), []byte(r.OperatorToken)) != 1 {
		return plantainrail.NewError(plantainrail.CodeUnauthorized, "")
	}
	return nil
}

func reply(w http.ResponseWriter, body any) error {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(body)
}

func read[T any](q *http.Request) (T, error) {
	var in T
	decoder := json.NewDecoder(q.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&in)
	return in, errors.Wrap(err, "body")
}

// decide proposes a record of an operator and returns why it was rejected.
func (r *Receiver) decide(ctx context.Context, record plantainrail.Record) error {
	ctx, cancel := context.WithTimeout(ctx, operatorLimit)
	defer cancel()
	verdict, err := r.follower.Propose(ctx, record)
	if err != nil {
		return err
	}
	if !verdict.Accepted {
		return verdict.Err
	}
	return nil
}

// TableReply is the table in force.
type TableReply struct {
	Revision int64     `json:"revision"`
	Editor   string    `json:"editor,omitempty"`
	Time     time.Time `json:"time"`
	CSV      string    `json:"csv"`
}

func (r *Receiver) getTable(w http.ResponseWriter, _ *http.Request) error {
	var latest reducer.Revision
	r.follower.View(func(s *reducer.State) { latest = s.Table })
	r.mu.Lock()
	out := TableReply{Revision: r.table.Revision, CSV: string(r.table.csv)}
	r.mu.Unlock()
	if latest.Revision == out.Revision {
		out.Editor = latest.Editor
		out.Time = latest.Time
	}
	return reply(w, out)
}

func (r *Receiver) getHistory(w http.ResponseWriter, _ *http.Request) error {
	list := []TableReply{}
	r.follower.View(func(s *reducer.State) {
		for _, h := range s.History {
			list = append(list, TableReply{h.Revision, h.Editor, h.Time, string(h.CSV)})
		}
	})
	return reply(w, list)
}

// Publish is an operator's call to publish a table. ID makes a repeated call
// harmless.
type Publish struct {
	ID     string `json:"id"`
	Base   int64  `json:"base"`
	CSV    string `json:"csv"`
	Editor string `json:"editor"`
}

func (r *Receiver) publishTable(w http.ResponseWriter, q *http.Request) error {
	in, err := read[Publish](q)
	if err != nil {
		return err
	}
	if _, err := parser.Parse([]byte(in.CSV)); err != nil {
		return err
	}
	record := plantainrail.TableRecord{Revision: in.Base + 1, Base: in.Base, CSV: []byte(in.CSV), Editor: in.Editor}
	if err := r.decide(q.Context(), plantainrail.Record{ID: in.ID, Type: plantainrail.RecordTable, Table: &record}); err != nil {
		return err
	}
	r.Logger.Info("table published", zap.Int64("revision", record.Revision), zap.String("editor", in.Editor))
	return reply(w, TableReply{Revision: record.Revision, Editor: in.Editor, Time: time.Now(), CSV: in.CSV})
}

// TargetReply describes one target.
type TargetReply struct {
	Name        string   `json:"name"`
	Incarnation string   `json:"incarnation"`
	Agent       string   `json:"agent"`
	Zone        string   `json:"zone"`
	State       string   `json:"state"`
	Kinds       []string `json:"kinds"`
	Running     int      `json:"running"`
	Queued      int      `json:"queued"`
	Sent        int      `json:"sent"`
	LatencyMS   float64  `json:"latency_ms"`
}

func (r *Receiver) getTargets(w http.ResponseWriter, _ *http.Request) error {
	list := []TargetReply{}
	r.mu.Lock()
	if balancer, ok := r.router.(*router.Router); ok {
		for _, t := range balancer.Targets(time.Now()) {
			v := t.View
			list = append(list, TargetReply{
				v.Info.Name, v.Info.Incarnation, v.Agent, v.Zone, string(t.State), v.Info.Kinds,
				v.Running, v.Queued, t.Sent, float64(t.Latency) / float64(time.Millisecond),
			})
		}
	}
	r.mu.Unlock()
	return reply(w, list)
}

// Leave is an operator's call to make a target leave.
type Leave struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
}

// LeaveReply tells how far a leave has come.
type LeaveReply struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
	// Confirmed is set when the target's agent refuses new work from now on.
	Confirmed bool `json:"confirmed"`
	// Recorded is set when the log has it, so that the agent's restart keeps it.
	Recorded bool `json:"recorded"`
}

// leaveTarget orders the leave at the agent at once, and records it.
func (r *Receiver) leaveTarget(w http.ResponseWriter, q *http.Request) error {
	in, err := read[Leave](q)
	if err != nil {
		return err
	}
	incarnation, confirmed := r.orderLeave(in)
	if in.Incarnation == "" {
		in.Incarnation = incarnation
	}
	if in.Incarnation == "" {
		return plantainrail.NewError(plantainrail.CodeNotFound, "target %s", in.Target)
	}
	record := plantainrail.LeaveRecord{Target: in.Target, Incarnation: in.Incarnation}
	recorded := r.decide(q.Context(), plantainrail.Record{Type: plantainrail.RecordLeave, Leave: &record})
	out := LeaveReply{Target: in.Target, Incarnation: in.Incarnation, Recorded: recorded == nil}
	select {
	case <-confirmed:
		out.Confirmed = true
	case <-time.After(confirmLimit):
	case <-q.Context().Done():
	}
	if !out.Confirmed && !out.Recorded {
		return recorded
	}
	return reply(w, out)
}

// orderLeave tells the agents about the leave, and returns the incarnation that
// the target has and a channel that is closed when its agent confirms.
func (r *Receiver) orderLeave(in Leave) (string, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	incarnation := in.Incarnation
	if balancer, ok := r.router.(*router.Router); ok {
		for _, t := range balancer.Targets(time.Now()) {
			if t.View.Info.Name == in.Target && incarnation == "" {
				incarnation = t.View.Info.Incarnation
			}
		}
	}
	order := linker.LeaveOrder{Target: in.Target, Incarnation: incarnation}
	confirmed := make(chan struct{})
	r.leaves[order] = append(r.leaves[order], confirmed)
	for _, p := range r.peers {
		_ = p.session.Send(linker.Frame{Leave: &order})
	}
	return incarnation, confirmed
}

func (r *Receiver) confirmLeave(order linker.LeaveOrder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.leaves[order] {
		close(c)
	}
	delete(r.leaves, order)
}

// EntryReply describes one entry.
type EntryReply struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	Live        bool   `json:"live"`
}

func (r *Receiver) getEntries(w http.ResponseWriter, _ *http.Request) error {
	list := []EntryReply{}
	r.sched.mu.Lock()
	live := slices.Clone(r.sched.live)
	r.sched.mu.Unlock()
	r.follower.View(func(s *reducer.State) {
		for _, e := range s.Entries {
			list = append(list, EntryReply{e.Name, e.Zone, e.Address, e.Incarnation, slices.Contains(live, e.Name)})
		}
	})
	slices.SortFunc(list, func(a, b EntryReply) int { return strings.Compare(a.Name, b.Name) })
	return reply(w, list)
}

func (r *Receiver) getRequest(w http.ResponseWriter, q *http.Request) error {
	a, ok := r.requests.find(q.PathValue("id"))
	if !ok {
		return plantainrail.NewError(plantainrail.CodeNotFound, "request %s is not remembered by entry %s", q.PathValue("id"), r.Name)
	}
	return reply(w, a)
}

// ZoneReply describes one availability zone.
type ZoneReply struct {
	Zone  string `json:"zone"`
	Out   bool   `json:"out"`
	Epoch int64  `json:"epoch"`
	// Agents and Tasks count what is there.
	Agents int `json:"agents"`
	Tasks  int `json:"tasks"`
}

func (r *Receiver) zones() map[string]*ZoneReply {
	zones := map[string]*ZoneReply{}
	find := func(name string) *ZoneReply {
		if zones[name] == nil {
			zones[name] = &ZoneReply{Zone: name}
		}
		return zones[name]
	}
	agentZones := map[string]string{}
	r.mu.Lock()
	for name, p := range r.peers {
		find(p.hello.Zone).Agents++
		agentZones[name] = p.hello.Zone
	}
	r.mu.Unlock()
	r.follower.View(func(s *reducer.State) {
		for name, z := range s.Zones {
			find(name).Out = z.Out
			find(name).Epoch = z.Epoch
		}
		for _, t := range s.Tasks {
			if zone, ok := agentZones[t.Worker]; ok {
				find(zone).Tasks++
			}
		}
	})
	return zones
}

func (r *Receiver) getZones(w http.ResponseWriter, _ *http.Request) error {
	list := []ZoneReply{}
	for _, z := range r.zones() {
		list = append(list, *z)
	}
	slices.SortFunc(list, func(a, b ZoneReply) int { return strings.Compare(a.Zone, b.Zone) })
	return reply(w, list)
}

// ZoneChange is an operator's call to take a zone out or bring it back. Epoch
// is the epoch that the operator saw; without one the current epoch is taken.
type ZoneChange struct {
	Zone     string `json:"zone"`
	Out      bool   `json:"out"`
	Epoch    *int64 `json:"epoch,omitempty"`
	Operator string `json:"operator"`
}

func (r *Receiver) postZone(w http.ResponseWriter, q *http.Request) error {
	in, err := read[ZoneChange](q)
	if err != nil {
		return err
	}
	if in.Zone == "" {
		return plantainrail.NewError(plantainrail.CodeBadRequest, "zone is empty")
	}
	var base int64
	r.follower.View(func(s *reducer.State) { base = s.Zones[in.Zone].Epoch })
	if in.Epoch != nil {
		base = *in.Epoch
	}
	record := plantainrail.ZoneRecord{Zone: in.Zone, Out: in.Out, Base: base, Operator: in.Operator}
	if err := r.decide(q.Context(), plantainrail.Record{Type: plantainrail.RecordZone, Zone: &record}); err != nil {
		return err
	}
	r.Logger.Info("zone changed", zap.String("zone", in.Zone), zap.Bool("out", in.Out), zap.String("operator", in.Operator))
	z, ok := r.zones()[in.Zone]
	if !ok {
		z = &ZoneReply{Zone: in.Zone, Out: in.Out, Epoch: base + 1}
	}
	return reply(w, z)
}

// JobSubmission is a call to submit a job. ID makes a repeated call harmless.
type JobSubmission struct {
	ID   string `json:"id"`
	Kind string `json:"kind"`
	Team string `json:"team"`
	// Tasks is the number of tasks; Work is the declared run time of each in ms.
	Tasks  int  `json:"tasks"`
	Work   int  `json:"work"`
	Urgent bool `json:"urgent"`
}

const (
	maxTasks = 10_000
	maxWork  = 7 * 24 * 60 * 60 * 1000
)

func (r *Receiver) postJob(w http.ResponseWriter, q *http.Request) error {
	in, err := read[JobSubmission](q)
	if err != nil {
		return err
	}
	record, err := r.jobRecord(in)
	if err != nil {
		return err
	}
	if err := r.decide(q.Context(), plantainrail.Record{Type: plantainrail.RecordJob, Job: &record}); err != nil {
		return err
	}
	r.sched.wakeUp()
	return r.replyJob(w, record.ID)
}

func (r *Receiver) jobRecord(in JobSubmission) (plantainrail.JobRecord, error) {
	kind, ok := r.Table().Kind(in.Kind)
	switch {
	case !ok:
		return plantainrail.JobRecord{}, plantainrail.NewError(plantainrail.CodeUnknownKind, "kind %q", in.Kind)
	case in.Tasks < 1 || in.Tasks > maxTasks:
		return plantainrail.JobRecord{}, plantainrail.NewError(plantainrail.CodeJobInvalid, "tasks must be from 1 to %d", maxTasks)
	case in.Work < 0 || in.Work > maxWork:
		return plantainrail.JobRecord{}, plantainrail.NewError(plantainrail.CodeJobInvalid, "work must be from 0 to %d ms", maxWork)
	case strings.Contains(in.ID, "/"):
		return plantainrail.JobRecord{}, plantainrail.NewError(plantainrail.CodeJobInvalid, "an ID holds no slash")
	}
	if in.ID == "" {
		in.ID = follower.NewID()
	}
	record := plantainrail.JobRecord{
		ID: in.ID, Kind: in.Kind, Team: in.Team, Tasks: in.Tasks, Work: in.Work, Urgent: in.Urgent, Resources: kind.Resources,
	}
	if quota, ok := kind.Quota(in.Team); ok {
		record.Quota = &quota
	}
	return record, nil
}

// TaskReply describes one task.
type TaskReply struct {
	ID        string `json:"id"`
	State     string `json:"state"`
	Attempt   int64  `json:"attempt"`
	Worker    string `json:"worker,omitempty"`
	Evictions int    `json:"evictions"`
	Failures  int    `json:"failures"`
	Reason    string `json:"reason,omitempty"`
}

// JobReply describes one job.
type JobReply struct {
	plantainrail.JobRecord
	Done   bool           `json:"done"`
	States map[string]int `json:"states"`
	Detail []TaskReply    `json:"detail,omitempty"`
}

func (r *Receiver) getJob(w http.ResponseWriter, q *http.Request) error {
	return r.replyJob(w, q.PathValue("id"))
}

func (r *Receiver) replyJob(w http.ResponseWriter, id string) error {
	var out JobReply
	found := false
	r.follower.View(func(s *reducer.State) {
		j, ok := s.Jobs[id]
		if !ok {
			return
		}
		found = true
		out = r.describe(j)
		for _, t := range j.Tasks {
			reason := t.Reason
			if why := r.sched.reason(t.ID); why != "" && t.State == reducer.TaskWaiting {
				reason = why
			}
			out.Detail = append(out.Detail, TaskReply{t.ID, string(t.State), t.Attempt, t.Worker, t.Evictions, t.Failures, reason})
		}
	})
	if !found {
		return plantainrail.NewError(plantainrail.CodeNotFound, "job %s", id)
	}
	return reply(w, out)
}

func (r *Receiver) describe(j *reducer.Job) JobReply {
	out := JobReply{JobRecord: j.JobRecord, Done: j.Done(), States: map[string]int{}}
	for _, t := range j.Tasks {
		out.States[string(t.State)]++
	}
	return out
}

func (r *Receiver) getJobs(w http.ResponseWriter, _ *http.Request) error {
	list := []JobReply{}
	offsets := map[string]plantainrail.Offset{}
	r.follower.View(func(s *reducer.State) {
		for _, j := range s.Jobs {
			list = append(list, r.describe(j))
			offsets[j.ID] = j.Offset
		}
	})
	slices.SortFunc(list, func(a, b JobReply) int { return int(offsets[a.ID] - offsets[b.ID]) })
	return reply(w, list)
}

func (r *Receiver) cancelJobs(w http.ResponseWriter, q *http.Request) error {
	in, err := read[plantainrail.CancelRecord](q)
	if err != nil {
		return err
	}
	if err := r.decide(q.Context(), plantainrail.Record{Type: plantainrail.RecordCancel, Cancel: &in}); err != nil {
		return err
	}
	r.sched.wakeUp()
	return reply(w, in)
}

func (r *Receiver) getBurn(w http.ResponseWriter, _ *http.Request) error {
	return reply(w, r.burn.report(time.Now()))
}
