package decider

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/coder/websocket"
	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/linker"
	"github.com/plantainrail/plantainrail/relayer"
)

const (
	// SessionPath is the path at which agents open sessions.
	SessionPath = "/-/work"
	// OwnerHeader is the response header in which an entry that is not the owner
	// gives the owner's address.
	OwnerHeader = "Plantainrail-Owner"
	// EpochHeader is the response header in which the owner gives its epoch when it accepts a session.
	EpochHeader = "Plantainrail-Epoch"
)

// agentSession is the owner's end of a session with an agent.
type agentSession struct {
	owner   *owner
	session *linker.Session
	// connectedAt is when the agent connected.
	connectedAt time.Time
	// incarnation is that of the agent's worker; zero before the first report.
	incarnation plantainrail.WorkerIncarnation
	// capacity is the worker's capacity in the newest report.
	capacity plantainrail.Resources
	// ackedThrough is the number up to which run ends were acknowledged to the agent
	// as stored.
	ackedThrough int64
	// heard is the sequence of the newest renewal request, which arrived at heardAt at the latest.
	// Before the first one it is 0, and heardAt is when the agent was connecting.
	heard   uint64
	heardAt time.Time
	// acceptsParts is set if the agent understands linker.WorkOrders.Listed.
	acceptsParts bool
}

// peerHandler serves agents' sessions and the store calls that other entries
// relay.
func (d *Decider) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+SessionPath, d.serveSession)
	mux.Handle("POST "+relayer.Path, d.Relay)
	mux.HandleFunc("POST "+queryPath, d.serveQuery)
	mux.HandleFunc("POST "+explainPath, d.serveExplain)
	mux.HandleFunc("POST "+forwardPath, d.serveWrite)
	return mux
}

// serveSession serves an agent's session until it ends. If this entry does not
// own the jobs or is still taking them over, it responds with an error and the
// address in the newest claim.
func (d *Decider) serveSession(w http.ResponseWriter, req *http.Request) {
	d.mu.Lock()
	o, address := d.owner, d.claim.Address
	d.mu.Unlock()
	if o == nil || !o.active() {
		w.Header().Set(OwnerHeader, address)
		http.Error(w, "this entry does not own the jobs", http.StatusMisdirectedRequest)
		return
	}
	connectedAt := d.Now()
	w.Header().Set(EpochHeader, strconv.FormatInt(o.epoch, 10))
	connection, err := websocket.Accept(w, req, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		d.Logger.Warn("agent's session refused", zap.Error(err))
		return
	}
	session := linker.New(connection)
	session.KeepAlive()
	session.ShareParts(d.partSlots, o.requestRound)
	a := &agentSession{owner: o, session: session, connectedAt: connectedAt, heardAt: connectedAt}
	d.Logger.Info("agent connected", zap.Int64("epoch", o.epoch), zap.String("from", req.RemoteAddr))
	o.addSession(a)
	err = session.Run(context.WithoutCancel(req.Context()), a)
	o.removeSession(a, err)
	d.Logger.Info("agent disconnected", zap.Int64("epoch", o.epoch), zap.String("from", req.RemoteAddr), zap.Bool("reported", !a.incarnation.IsZero()), zap.Bool("silent", session.Silent()))
}

// Owns reports whether the entry owns the jobs and has finished taking them
// over.
func (d *Decider) Owns() bool {
	d.mu.Lock()
	o := d.owner
	d.mu.Unlock()
	return o != nil && o.active()
}

// Follows reports whether the entry reads the jobs and their progress: it is the replica
// of its zone or owns the jobs.
func (d *Decider) Follows() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.follows()
}

// active reports whether the takeover is complete and the ownership has not ended.
func (o *owner) active() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.planner != nil && !o.ended
}

// addSession adds a session that was accepted. The ownership may have ended since it was checked, as on an entry that
// was suspended; the session is closed then.
func (o *owner) addSession(a *agentSession) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended {
		a.session.Close()
		return
	}
	o.sessions[a] = true
}

// removeSession removes a session that has ended with the error, and its agent, unless the agent never
// reported or has a newer session.
func (o *owner) removeSession(a *agentSession, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.sessions, a)
	if o.agents[a.incarnation] != a {
		return
	}
	delete(o.agents, a.incarnation)
	o.planner.Disconnect(a.incarnation)
	o.decider.Logger.Info("agent lost", zap.String("node", a.incarnation.Node), zap.String("worker", a.incarnation.ID), zap.Bool("silent", a.session.Silent()), zap.Error(err))
}

// Frame implements linker.Handler.
func (a *agentSession) Frame(_ *linker.Session, f linker.Frame) {
	if f.Work != nil {
		a.owner.applyReport(a, *f.Work)
	}
}

// Opened implements linker.Handler. It closes the stream, since agents open
// none.
func (a *agentSession) Opened(st *linker.Stream, _ linker.Frame) { st.Close() }

// applyReport applies an agent's report to the planner, and confirms a lease
// renewal or a deregistration. It ignores reports after the ownership has ended.
// Errors of Send are ignored: they mean that the session has ended, and the agent
// reconnects.
func (o *owner) applyReport(a *agentSession, r linker.WorkReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended {
		return
	}
	if o.hasNewerSession(a, r.VM.Incarnation.Node) {
		// What the agent has reported since must not be undone.
		a.session.Close()
		return
	}
	now := o.decider.Now()
	a.acceptsParts = r.AcceptsParts
	if r.Sequence > 0 {
		a.heard, a.heardAt = r.Sequence, now
	}
	if r.Departed {
		o.planner.RemoveWorker(r.VM.Incarnation, now)
		o.decider.Logger.Info("VM gone", zap.String("node", r.VM.Incarnation.Node), zap.String("worker", r.VM.Incarnation.ID))
		_ = a.session.Send(linker.Frame{Orders: &linker.WorkOrders{Epoch: o.epoch, Incarnation: r.VM.Incarnation, DepartureAcked: true}})
		o.requestRound()
		return
	}
	if a.incarnation != r.VM.Incarnation || !o.planner.HasWorker(a.incarnation) {
		o.planner.ApplyPredecessorEnds(r.VM.Incarnation, r.Ended, now)
		o.registerAgent(a, r.VM)
	}
	if r.VM.Capacity != a.capacity {
		o.decider.Logger.Info("VM resized", zap.String("node", a.incarnation.Node), zap.String("worker", a.incarnation.ID),
			zap.Any("before", a.capacity), zap.Any("capacity", r.VM.Capacity))
		a.capacity = r.VM.Capacity
	}
	o.planner.UpdateWorker(r.VM, now)
	if r.Epoch >= o.epoch {
		o.planner.EndGrace(a.incarnation, now)
	}
	renewalGranted := o.applyLease(a, r, now)
	o.planner.RecordCheckpoints(a.incarnation, r.Running, now)
	if r.Measurements != nil {
		o.observe(a, *r.Measurements, now)
		// Such a report contains nothing else that is applied below.
		return
	}
	o.applyEnds(a, r.Ended, now)
	o.applyRefusals(a, r, now)
	if renewalGranted {
		_ = a.session.Send(linker.Frame{Orders: &linker.WorkOrders{Epoch: o.epoch, Incarnation: a.incarnation, Renewed: r.Sequence}})
	}
	// A report that only renews the lease needs no round.
	if r.Sequence == 0 || len(r.Ended) > 0 {
		o.requestRound()
	}
}

// applyRefusals requeues the tasks of refused runs. It passes over what the agent reports before it has
// accepted this owner: the earlier owner may order these runs again, and the agent refuses them once more
// when it has read this owner's list. The caller holds the lock.
func (o *owner) applyRefusals(a *agentSession, r linker.WorkReport, now time.Time) {
	if len(r.Refused) > 0 && r.Epoch != 0 && r.Epoch < o.epoch {
		o.decider.Logger.Info("refusals under an earlier owner passed over", zap.String("node", a.incarnation.Node), zap.Int64("epoch", r.Epoch), zap.Int("runs", len(r.Refused)))
		return
	}
	for _, refusal := range r.Refused {
		o.planner.ApplyRefusal(a.incarnation, refusal.Ref, refusal.Reason, now)
		o.decider.Logger.Info("run refused", zap.Stringer("task", refusal.Ref.Task), zap.Int64("run", refusal.Ref.Run),
			zap.String("reason", string(refusal.Reason)), zap.String("node", a.incarnation.Node))
	}
}

// applyLease applies what a report tells of the worker's lease, and reports whether it is renewed. The
// caller holds the lock.
func (o *owner) applyLease(a *agentSession, r linker.WorkReport, now time.Time) (renewed bool) {
	// Only an owner whose write was confirmed recently may renew leases, since another
	// entry may own the jobs by now.
	renewed = r.Sequence > 0 && now.Sub(o.renewableFrom) < renewalWindow
	if renewed {
		o.planner.Renew(a.incarnation, now)
	}
	// Once this owner has heard a request for a renewal, it knows better than the agent, which may not
	// have its answer yet.
	if r.LeaseLeftMS != nil && a.heard == 0 && r.Epoch >= o.epoch {
		o.planner.LimitLease(a.incarnation, now.Add(time.Duration(*r.LeaseLeftMS)*time.Millisecond))
	}
	return renewed
}

// observe passes the measurements of a worker to the planner. The caller holds the lock.
func (o *owner) observe(a *agentSession, m linker.Measurements, now time.Time) {
	tails := make(map[plantainrail.RunRef]int, len(m.TailLatencies))
	for _, t := range m.TailLatencies {
		tails[t.Ref] = t.Milliseconds
	}
	o.planner.Observe(a.incarnation, tails, m.FillerCPU, now)
	if paces := o.planner.PaceFillers(a.incarnation, now); len(paces) > 0 {
		o.sendOrders(a, &linker.WorkOrders{Epoch: o.epoch, Incarnation: a.incarnation, Paces: paces})
		tasks, percents := make([]string, len(paces)), make([]int, len(paces))
		for i, pace := range paces {
			tasks[i], percents[i] = pace.Ref.Task.String(), pace.Percent
		}
		o.decider.Logger.Info("fillers slowed", zap.String("node", a.incarnation.Node), zap.Strings("tasks", tasks), zap.Ints("percents", percents))
	}
}

// hasNewerSession reports whether the agent of a node has connected again since, and has reported. The
// caller holds the lock.
func (o *owner) hasNewerSession(a *agentSession, node string) bool {
	return o.connectedAt[node].After(a.connectedAt)
}

// applyEnds applies the ends of runs that a worker lists. One that changes nothing is logged as
// dropped as well. The caller holds the lock.
func (o *owner) applyEnds(a *agentSession, ends []plantainrail.RunEnd, now time.Time) {
	fields := func(end plantainrail.RunEnd) []zap.Field {
		return []zap.Field{
			zap.Stringer("task", end.Ref.Task), zap.Int64("run", end.Ref.Run), zap.String("how", string(end.Outcome)),
			zap.String("node", a.incarnation.Node), zap.Int64("number", end.Number),
		}
	}
	for _, end := range o.planner.ApplyEnds(a.incarnation, ends, now) {
		known := o.planner.Book.Job(end.Ref.Task.Job) != nil
		o.decider.Logger.Warn("end dropped", append(fields(end), zap.Bool("known", known))...)
	}
	for _, end := range ends {
		o.decider.Logger.Info("run ended", fields(end)...)
	}
}

// registerAgent registers a worker incarnation that the session did not report
// before, or that the planner has removed since, and closes an earlier session
// that reported the same incarnation. It sends the agent all runs that the worker
// should have and those that it must stop. The caller holds the lock.
func (o *owner) registerAgent(a *agentSession, vm plantainrail.VM) {
	if o.agents[a.incarnation] == a {
		delete(o.agents, a.incarnation)
		o.planner.Disconnect(a.incarnation)
	}
	if earlier := o.agents[vm.Incarnation]; earlier != nil {
		earlier.session.Close()
	}
	a.incarnation, a.capacity, a.ackedThrough = vm.Incarnation, vm.Capacity, 0
	o.agents[vm.Incarnation], o.connectedAt[vm.Incarnation.Node] = a, a.connectedAt
	o.planner.UpdateWorker(vm, o.decider.Now())
	o.decider.Logger.Info("VM seen", zap.String("node", vm.Incarnation.Node), zap.String("worker", vm.Incarnation.ID), zap.Int64("born", vm.Incarnation.StartedMS),
		zap.String("service", vm.Pool), zap.Strings("labels", vm.Labels), zap.Any("capacity", vm.Capacity), zap.Bool("draining", vm.Draining))
	starts, stops := o.planner.DesiredRuns(vm.Incarnation)
	o.sendOrders(a, &linker.WorkOrders{Epoch: o.epoch, Incarnation: vm.Incarnation, Complete: true, Starts: starts, Stops: stops})
	o.requestRound()
}
