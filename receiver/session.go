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
	// MaxRenewalViewAge is how old the entry's view of the log may be for it to renew
	// leases. Running tasks survive a log outage of that length, but a worker that
	// is lost together with an entry is replaced only after that time.
	MaxRenewalViewAge = 11 * time.Minute
	// maxStartViewAge is how old the entry's view of the log may be for it to
	// permit starts.
	maxStartViewAge = 1200 * time.Millisecond
	// maxSilence is how long a worker may send nothing and still count as
	// alive.
	maxSilence = 2 * time.Second
)

// peer is a connected agent: the entry's side of the session with it. Except for session,
// its fields are guarded by the receiver's lock. Only the goroutine that handles
// the session's frames writes hello, so that goroutine reads it without the lock.
//
// Errors of session.Send are ignored in this package: they mean that the session
// has ended, and the agent's next session begins with the current state.
type peer struct {
	session *linker.Session
	hello   linker.Hello
	// report is the agent's latest task report; nil before the first. reportedAt
	// is when it arrived.
	report     *linker.TaskReport
	reportedAt time.Time
	// knownEntries lists the addresses of entries that were last sent to the
	// agent.
	knownEntries []string
	// knownRevision is the newest table revision that the agent has reported or
	// was sent.
	knownRevision int64
	// loads holds the agent's targets as last reported.
	loads []admitter.TargetLoad
	// zoneOut is whether the agent's availability zone was out of service when
	// the router was last updated.
	zoneOut bool
	// draining is set once the agent accepts no new work.
	draining bool
}

// serveSession accepts an agent's session and handles it until it ends.
func (r *Receiver) serveSession(w http.ResponseWriter, req *http.Request) {
	if r.VerifyAgents && (req.TLS == nil || len(req.TLS.VerifiedChains) == 0) {
		r.writeError(w, plantainrail.NewError(plantainrail.CodeUnauthorized, "an agent needs a client certificate"))
		return
	}
	connection, err := websocket.Accept(w, req, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		// Accept has already sent an error response.
		return
	}
	h := &agentHandler{receiver: r, peer: &peer{session: linker.New(connection)}}
	err = h.peer.session.Run(req.Context(), h)
	r.removePeer(h.peer)
	r.Logger.Info("session ended", zap.String("agent", h.peer.hello.Agent), zap.NamedError("cause", err))
}

// removePeer removes an agent whose session has ended, and its targets, unless a
// newer session of the agent has replaced p.
func (r *Receiver) removePeer(p *peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.peers[p.hello.Agent] != p {
		return
	}
	delete(r.peers, p.hello.Agent)
	r.router.Update(time.Now(), p.hello.Agent, nil)
}

// agentHandler handles the frames from one agent.
type agentHandler struct {
	receiver *Receiver
	peer     *peer
}

// Opened implements linker.Handler. Agents should open no streams, so it closes the
// stream.
func (h *agentHandler) Opened(st *linker.Stream, _ linker.Frame) { st.Close() }

// Frame implements linker.Handler. It closes a session whose first frame is not a
// Hello with the agent's name.
func (h *agentHandler) Frame(s *linker.Session, f linker.Frame) {
	r := h.receiver
	if f.Hello != nil {
		r.handleHello(h.peer, *f.Hello)
	}
	if h.peer.hello.Agent == "" {
		s.Close()
		return
	}
	if f.Tasks != nil {
		r.mu.Lock()
		h.peer.report = f.Tasks
		h.peer.reportedAt = time.Now()
		r.mu.Unlock()
		r.scheduler.wakeUp()
	}
	if f.Heartbeat != nil {
		r.handleHeartbeat(h.peer, *f.Heartbeat)
	}
	if f.Table != nil {
		if err := r.setTable(f.Table.Revision, f.Table.CSV); err != nil {
			r.Logger.Warn("table revision from an agent could not be parsed", zap.Error(err))
		}
	}
	if f.Refused != nil {
		r.scheduler.handleRefusal(h.peer, *f.Refused)
	}
	if f.GoAway {
		r.replyToGoAway(h.peer)
	}
	if f.Left != nil {
		r.Logger.Info("target leave confirmed by its agent", zap.String("target", f.Left.Target))
		r.confirmLeave(*f.Left)
	}
}

// replyToGoAway marks an agent that is stopping as draining and replies to it.
// Requests are sent with the same lock held and not to a draining agent, so the
// reply follows the last request on the session.
func (r *Receiver) replyToGoAway(p *peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.draining = true
	_ = p.session.Send(linker.Frame{GoAway: true})
}

// handleHello makes p the agent's peer, closes the session of the peer that it
// replaces, and sends the agent what it needs to begin: the entries' addresses, the
// table if it is newer than the agent's, and the recorded leave orders. It asks for the
// agent's table if that is newer.
func (r *Receiver) handleHello(p *peer, hello linker.Hello) {
	// The event "greet" of the session's state chart stands for the agent's Hello.
	p.session.ApplyEvent("greet")
	entries := r.entryAddresses()
	leaves := r.recordedLeaves()
	r.mu.Lock()
	defer r.mu.Unlock()
	p.hello = hello
	p.knownRevision = hello.Revision
	if old := r.peers[hello.Agent]; old != nil {
		old.session.Close()
	}
	r.peers[hello.Agent] = p
	p.knownEntries = entries
	_ = p.session.Send(linker.Frame{Welcome: &linker.Welcome{Entry: r.Name, Entries: p.knownEntries}})
	r.syncTable(p)
	for _, order := range leaves {
		_ = p.session.Send(linker.Frame{Leave: &order})
	}
	r.Logger.Info("session opened", zap.String("agent", hello.Agent), zap.String("zone", hello.Zone))
}

// syncTable sends the agent the active table if the agent's table is older, and
// asks for the agent's table if it is newer. The caller holds the lock.
func (r *Receiver) syncTable(p *peer) {
	if p.knownRevision < r.table.Revision {
		r.sendTable(p)
	}
	if p.knownRevision > r.table.Revision {
		_ = p.session.Send(linker.Frame{WantTable: true})
	}
}

// sendTable sends the agent the active table, unless the agent has that revision
// or a newer one. The caller holds the lock.
func (r *Receiver) sendTable(p *peer) {
	if p.knownRevision >= r.table.Revision {
		return
	}
	p.knownRevision = r.table.Revision
	_ = p.session.Send(linker.Frame{Table: &linker.TableUpdate{Revision: r.table.Revision, CSV: r.table.csv}})
}

// recordedLeaves returns the leave orders that the log holds. It views the log
// state, so it must not be called with the receiver's lock held.
func (r *Receiver) recordedLeaves() []linker.LeaveOrder {
	var leaves []linker.LeaveOrder
	r.follower.View(func(s *reducer.State) {
		for target, incarnation := range s.LeavingTargets {
			leaves = append(leaves, linker.LeaveOrder{Target: target, Incarnation: incarnation})
		}
	})
	return leaves
}

// entryAddresses returns the sorted addresses of all registered entries. It views
// the log state, so it must not be called with the receiver's lock held.
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

// handleHeartbeat acknowledges a heartbeat, with the entries' addresses if they have
// changed. It then compares the table revisions if the agent's has changed, and updates
// the router if the agent's loads or the state of its availability zone have changed.
func (r *Receiver) handleHeartbeat(p *peer, heartbeat linker.Heartbeat) {
	ack := r.decideLease(p)
	ack.Sequence = heartbeat.Sequence
	entries := r.entryAddresses()
	zoneOut := r.isZoneOut(p.hello.Zone)
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Equal(entries, p.knownEntries) {
		ack.Entries = entries
		p.knownEntries = entries
	}
	_ = p.session.Send(linker.Frame{Ack: &ack})
	if heartbeat.Revision > 0 {
		p.knownRevision = heartbeat.Revision
		r.syncTable(p)
	}
	if !heartbeat.Changed && zoneOut == p.zoneOut {
		return
	}
	if heartbeat.Changed {
		p.loads = heartbeat.Loads
	}
	p.zoneOut = zoneOut
	r.router.Update(now, p.hello.Agent, p.targetViews())
}

// targetViews returns the agent's targets in the form that the router takes. The
// caller holds the lock.
func (p *peer) targetViews() []plantainrail.TargetView {
	list := make([]plantainrail.TargetView, 0, len(p.loads))
	for _, l := range p.loads {
		list = append(list, plantainrail.TargetView{
			Info: l.Info, Agent: p.hello.Agent, Zone: p.hello.Zone,
			Running: l.Running, Queued: l.Queued, Leaving: l.Leaving, ZoneOut: p.zoneOut,
		})
	}
	return list
}

// isZoneOut reports whether an availability zone is out of service. It views the
// log state, so it must not be called with the receiver's lock held.
func (r *Receiver) isZoneOut(zone string) bool {
	out := false
	r.follower.View(func(s *reducer.State) { out = s.Zones[zone].Out })
	return out
}

// decideLease returns an acknowledgment that says whether the entry renews the
// agent's lease, permits starts, or has read that the agent's incarnation was
// declared lost. The caller adds the heartbeat's sequence number.
func (r *Receiver) decideLease(p *peer) linker.Ack {
	age, known := r.follower.Age(time.Now())
	var ack linker.Ack
	r.follower.View(func(s *reducer.State) {
		registered := s.Entries[r.Name].Incarnation == r.incarnation
		suspicion := s.Suspects[p.hello.Agent]
		suspected := suspicion != nil && suspicion.Incarnation == p.hello.Incarnation
		ack.Fenced = s.LostIncarnations[p.hello.Agent][p.hello.Incarnation]
		eligible := known && registered && !suspected && !ack.Fenced
		ack.Renewed = eligible && age < MaxRenewalViewAge
		ack.Permit = eligible && age < maxStartViewAge && !s.Zones[p.hello.Zone].Out
	})
	return ack
}

// leaseMargin is added to the duration of a lease when waiting for it to expire.
const leaseMargin = 500 * time.Millisecond

// leaseExpiryWait is the time after the last renewal by which an agent's lease
// has certainly expired.
const leaseExpiryWait = leaser.LeaseDuration + leaseMargin
