package receiver

import (
	"net/http"
	"slices"
	"time"

	"github.com/coder/websocket"
	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/admitter"
	"github.com/plantainrail/plantainrail/leaser"
	"github.com/plantainrail/plantainrail/linker"
	"github.com/plantainrail/plantainrail/reducer"
)

const (
	// StandingLimit is how long an entry renews leases without having read the
	// log. Work survives a log outage of that length, and a worker that is lost
	// together with an entry is replaced after it.
	StandingLimit = 11 * time.Minute
	// permitAge is how old the entry's view of the log may be for starts.
	permitAge = 1200 * time.Millisecond
	// heardLimit is how recently a worker was heard to count as alive.
	heardLimit = 2 * time.Second
)

// peer is the entry's end of the session with one agent.
type peer struct {
	session *linker.Session
	hello   linker.Hello
	report  *linker.TaskReport
	// reported is when the report arrived.
	reported time.Time
	// entries is the list of entries that the agent was last told.
	entries []string
	// revision is the newest table that the agent is known or sent to have.
	revision int64
	loads    []admitter.TargetLoad
	zoneOut  bool
	// stopping is set when the agent takes no new work any more.
	stopping bool
}

// serveSession accepts a session from an agent.
func (r *Receiver) serveSession(w http.ResponseWriter, q *http.Request) {
	if r.VerifyAgents && (q.TLS == nil || len(q.TLS.VerifiedChains) == 0) {
		r.refuse(w, plantainrail.NewError(plantainrail.CodeUnauthorized, "an agent needs a client certificate"))
		return
	}
	connection, err := websocket.Accept(w, q, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	h := &agentHandler{receiver: r, peer: &peer{session: linker.New(connection)}}
	err = h.peer.session.Run(q.Context(), h)
	r.dropPeer(h.peer)
	r.Logger.Info("session ended", zap.String("agent", h.peer.hello.Agent), zap.NamedError("cause", err))
}

func (r *Receiver) dropPeer(p *peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.peers[p.hello.Agent] != p {
		return
	}
	delete(r.peers, p.hello.Agent)
	r.router.Update(time.Now(), p.hello.Agent, nil)
}

// agentHandler takes what arrives from one agent.
type agentHandler struct {
	receiver *Receiver
	peer     *peer
}

// Opened implements linker.Handler; agents open no streams.
func (h *agentHandler) Opened(st *linker.Stream, _ linker.Frame) { st.Close() }

// Frame implements linker.Handler.
func (h *agentHandler) Frame(s *linker.Session, f linker.Frame) {
	r := h.receiver
	if f.Hello != nil {
		r.greet(h.peer, *f.Hello)
	}
	if h.peer.hello.Agent == "" {
		s.Close()
		return
	}
	if f.Tasks != nil {
		r.mu.Lock()
		h.peer.report = f.Tasks
		h.peer.reported = time.Now()
		r.mu.Unlock()
		r.sched.wakeUp()
	}
	if f.Heartbeat != nil {
		r.heartbeat(h.peer, *f.Heartbeat)
	}
	if f.Table != nil {
		if err := r.setTable(f.Table.Revision, f.Table.CSV); err != nil {
			r.Logger.Warn("agent's table not read", zap.Error(err))
		}
	}
	if f.Refused != nil {
		r.sched.refused(h.peer, *f.Refused)
	}
	if f.GoAway {
		r.answerGoAway(h.peer)
	}
	if f.Left != nil {
		r.Logger.Info("target confirmed its leave", zap.String("target", f.Left.Target))
		r.confirmLeave(*f.Left)
	}
}

// answerGoAway answers an agent that stops. The answer follows the last request
// that was handed over on the session.
func (r *Receiver) answerGoAway(p *peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.stopping = true
	_ = p.session.Send(linker.Frame{GoAway: true})
}

func (r *Receiver) greet(p *peer, hello linker.Hello) {
	p.session.Step("greet")
	entries := r.entryAddresses()
	leaves := r.recordedLeaves()
	r.mu.Lock()
	defer r.mu.Unlock()
	p.hello = hello
	p.revision = hello.Revision
	if old := r.peers[hello.Agent]; old != nil {
		old.session.Close()
	}
	r.peers[hello.Agent] = p
	p.entries = entries
	_ = p.session.Send(linker.Frame{Welcome: &linker.Welcome{Entry: r.Name, Entries: p.entries}})
	r.exchangeTables(p)
	for _, order := range leaves {
		_ = p.session.Send(linker.Frame{Leave: &order})
	}
	r.Logger.Info("session opened", zap.String("agent", hello.Agent), zap.String("zone", hello.Zone))
}

// exchangeTables brings the side that is behind up to date. The caller holds
// the lock.
func (r *Receiver) exchangeTables(p *peer) {
	if p.revision < r.table.Revision {
		r.sendTable(p)
	}
	if p.revision > r.table.Revision {
		_ = p.session.Send(linker.Frame{WantTable: true})
	}
}

func (r *Receiver) sendTable(p *peer) {
	if p.revision >= r.table.Revision {
		return
	}
	p.revision = r.table.Revision
	_ = p.session.Send(linker.Frame{Table: &linker.TableUpdate{Revision: r.table.Revision, CSV: r.table.csv}})
}

// recordedLeaves lists the targets that an operator asked to leave. Like every
// look at the log's state it must not be made while the receiver's lock is held.
func (r *Receiver) recordedLeaves() []linker.LeaveOrder {
	var leaves []linker.LeaveOrder
	r.follower.View(func(s *reducer.State) {
		for target, incarnation := range s.Leaving {
			leaves = append(leaves, linker.LeaveOrder{Target: target, Incarnation: incarnation})
		}
	})
	return leaves
}

func (r *Receiver) entryAddresses() []string {
	var addresses []string
	r.follower.View(func(s *reducer.State) {
		for _, e := range s.Entries {
			addresses = append(addresses, e.Address)
		}
	})
	slices.Sort(addresses)
	return addresses
}

func (r *Receiver) heartbeat(p *peer, beat linker.Heartbeat) {
	ack := r.judge(p)
	ack.Sequence = beat.Sequence
	entries := r.entryAddresses()
	zoneOut := r.zoneOut(p.hello.Zone)
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Equal(entries, p.entries) {
		ack.Entries = entries
		p.entries = entries
	}
	_ = p.session.Send(linker.Frame{Ack: &ack})
	if beat.Revision > 0 {
		p.revision = beat.Revision
		r.exchangeTables(p)
	}
	if !beat.Changed && zoneOut == p.zoneOut {
		return
	}
	if beat.Changed {
		p.loads = beat.Loads
	}
	p.zoneOut = zoneOut
	r.router.Update(now, p.hello.Agent, p.views())
}

func (p *peer) views() []plantainrail.TargetView {
	list := make([]plantainrail.TargetView, 0, len(p.loads))
	for _, l := range p.loads {
		list = append(list, plantainrail.TargetView{
			Info: l.Info, Agent: p.hello.Agent, Zone: p.hello.Zone,
			Running: l.Running, Queued: l.Queued, Leaving: l.Leaving, ZoneOut: p.zoneOut,
		})
	}
	return list
}

func (r *Receiver) zoneOut(zone string) bool {
	out := false
	r.follower.View(func(s *reducer.State) { out = s.Zones[zone].Out })
	return out
}

// judge decides whether the entry may renew the agent's lease and permit starts.
func (r *Receiver) judge(p *peer) linker.Ack {
	age, known := r.follower.Age(time.Now())
	var ack linker.Ack
	r.follower.View(func(s *reducer.State) {
		registered := s.Entries[r.Name].Incarnation == r.incarnation
		suspicion := s.Suspects[p.hello.Agent]
		suspected := suspicion != nil && suspicion.Incarnation == p.hello.Incarnation
		ack.Fenced = s.Lost[p.hello.Agent][p.hello.Incarnation]
		sound := known && registered && !suspected && !ack.Fenced
		ack.Renewed = sound && age < StandingLimit
		ack.Permit = sound && age < permitAge && !s.Zones[p.hello.Zone].Out
	})
	return ack
}

// leaseMargin is added to a lease's length when its end is waited for.
const leaseMargin = 500 * time.Millisecond

// leaseWait is how long after the last renewal an agent's lease has surely
// ended.
const leaseWait = leaser.LeaseLength + leaseMargin
