package decider

import (
	"context"
	"net/http"

	"github.com/coder/websocket"
	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/linker"
	"github.com/plantainrail/plantainrail/relayer"
)

const (
	// SessionPath is where agents open sessions.
	SessionPath = "/-/work"
	// OwnerHeader names the owner's address in the answer of another entry.
	OwnerHeader = "Plantainrail-Owner"
)

// agentSession is the owner's end of a session with an agent.
type agentSession struct {
	o       *owner
	session *linker.Session
	life    plantainrail.Life
	// noted is the number of ends that the agent was told to be stored.
	noted int64
}

// peerHandler serves agents.
func (d *Decider) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+SessionPath, d.serveSession)
	mux.Handle("POST "+relayer.Path, d.Relay)
	return mux
}

func (d *Decider) serveSession(w http.ResponseWriter, q *http.Request) {
	d.mu.Lock()
	o, address := d.owner, d.claim.Address
	d.mu.Unlock()
	if !d.Owns() {
		w.Header().Set(OwnerHeader, address)
		http.Error(w, "this entry does not own the jobs", http.StatusMisdirectedRequest)
		return
	}
	connection, err := websocket.Accept(w, q, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		d.Logger.Warn("agent's session refused", zap.Error(err))
		return
	}
	session := linker.New(connection)
	a := &agentSession{o: o, session: session}
	err = session.Run(context.WithoutCancel(q.Context()), a)
	o.leave(a, err)
}

// Owns tells whether the entry owns the jobs and decides.
func (d *Decider) Owns() bool {
	d.mu.Lock()
	o := d.owner
	d.mu.Unlock()
	return o != nil && o.deciding()
}

func (o *owner) deciding() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.planner != nil && !o.ended
}

// leave takes an agent off whose session has ended.
func (o *owner) leave(a *agentSession, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.agents[a.life] != a {
		return
	}
	delete(o.agents, a.life)
	o.planner.Disconnect(a.life)
	o.d.Logger.Info("agent lost", zap.String("node", a.life.Node), zap.String("worker", a.life.ID), zap.Error(err))
}

// Frame implements linker.Handler.
func (a *agentSession) Frame(_ *linker.Session, f linker.Frame) {
	if f.Work != nil {
		a.o.report(a, *f.Work)
	}
}

// Opened implements linker.Handler; agents open no streams.
func (a *agentSession) Opened(st *linker.Stream, _ linker.Frame) { st.Close() }

// report takes in what an agent tells.
func (o *owner) report(a *agentSession, r linker.WorkReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended {
		return
	}
	now := o.d.Now()
	if r.Gone {
		o.planner.Gone(r.VM.Life)
		o.d.Logger.Info("VM gone", zap.String("node", r.VM.Life.Node), zap.String("worker", r.VM.Life.ID))
		_ = a.session.Send(linker.Frame{Orders: &linker.WorkOrders{Epoch: o.epoch, Life: r.VM.Life, Departed: true}})
		o.poke()
		return
	}
	if a.life != r.VM.Life || !o.planner.Knows(a.life) {
		o.planner.Succeed(r.VM.Life, r.Ends, now)
		o.greet(a, r.VM)
	}
	renewed := r.Sequence > 0 && now.Sub(o.confirmed) < authority
	o.planner.Report(r.VM, now)
	if renewed {
		o.planner.Renew(a.life, now)
	}
	o.planner.Status(a.life, r.Running)
	if r.Figures != nil {
		tails := make(map[plantainrail.RunRef]int, len(r.Figures.Tails))
		for _, t := range r.Figures.Tails {
			tails[t.Ref] = t.Tail
		}
		o.planner.Measured(a.life, tails, r.Figures.Used, now)
		// Figures alone give nothing to decide.
		return
	}
	o.planner.Ended(a.life, r.Ends, now)
	for _, end := range r.Ends {
		o.d.Logger.Info("run ended", zap.Stringer("task", end.Ref.Task), zap.Int64("run", end.Ref.Run),
			zap.String("how", string(end.How)), zap.String("node", a.life.Node), zap.Int64("number", end.Number))
	}
	for _, refusal := range r.Refused {
		o.planner.Refused(a.life, refusal.Ref, refusal.Reason, now)
		o.d.Logger.Info("run refused", zap.Stringer("task", refusal.Ref.Task), zap.Int64("run", refusal.Ref.Run),
			zap.String("reason", string(refusal.Reason)), zap.String("node", a.life.Node))
	}
	if renewed {
		_ = a.session.Send(linker.Frame{Orders: &linker.WorkOrders{Epoch: o.epoch, Life: a.life, Renewed: r.Sequence}})
	}
	if r.Sequence == 0 || len(r.Ends) > 0 {
		o.poke()
	}
}

// greet takes a worker's new life on a session and tells the agent all that the
// worker should hold.
func (o *owner) greet(a *agentSession, vm plantainrail.VM) {
	if o.agents[a.life] == a {
		delete(o.agents, a.life)
		o.planner.Disconnect(a.life)
	}
	if earlier := o.agents[vm.Life]; earlier != nil {
		earlier.session.Close()
	}
	a.life, a.noted = vm.Life, 0
	o.agents[vm.Life] = a
	o.planner.Report(vm, o.d.Now())
	o.d.Logger.Info("VM seen", zap.String("node", vm.Life.Node), zap.String("worker", vm.Life.ID), zap.Int64("born", vm.Life.Born),
		zap.String("service", vm.Service), zap.Strings("labels", vm.Labels), zap.Bool("draining", vm.Draining))
	starts, stops := o.planner.Wanted(vm.Life)
	_ = a.session.Send(linker.Frame{Orders: &linker.WorkOrders{
		Epoch: o.epoch, Life: vm.Life, Whole: true, Starts: starts, Stops: stops,
	}})
	o.poke()
}
