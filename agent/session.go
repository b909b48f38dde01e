package agent

import (
	"context"
	"reflect"
	"time"

	"github.com/coder/websocket"
	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/admitter"
	"github.com/plantainrail/plantainrail/linker"
)

const (
	// dialTimeout is the timeout for opening a session.
	dialTimeout = 3 * time.Second
	// minRedialDelay and maxRedialDelay bound the exponential backoff between
	// attempts to open a session.
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 2 * time.Second
	// maxPendingHeartbeats is the number of heartbeats whose send times are kept
	// until they are acknowledged.
	maxPendingHeartbeats = 16
	// entryExpiry is how long a learned address is dialed without success before it
	// is removed.
	entryExpiry = 2 * time.Minute
)

// entrySession is the agent's end of the session with one entry. The agent's lock
// guards it.
type entrySession struct {
	// address is the entry's address.
	address string
	session *linker.Session
	// sequence is the number of the latest heartbeat. heartbeatSentAt holds the send
	// times of the latest heartbeats by number.
	sequence        uint64
	heartbeatSentAt map[uint64]time.Time
	// lastAckedSent is when the newest acknowledged heartbeat was sent.
	lastAckedSent time.Time
	// drained is set when the entry sends no more work on the session.
	drained bool
	// reportedLoads, reportedTasks and reportedRevision are what the heartbeats have
	// reported last on the session. Only changes are sent again.
	reportedLoads    []admitter.TargetLoad
	reportedTasks    *linker.TaskReport
	reportedRevision int64
}

// dialAll maintains a session with each known entry, up to MaxSessions. It returns nil
// when the context ends.
func (a *Agent) dialAll(ctx context.Context) error {
	// active holds the addresses that keepSession runs for; removed receives an address
	// when keepSession gives it up.
	active := map[string]bool{}
	removed := make(chan string)
	for {
		a.mu.Lock()
		for address := range a.knownEntries {
			if !active[address] && len(active) < a.MaxSessions {
				active[address] = true
				go func() {
					a.keepSession(ctx, address)
					select {
					case removed <- address:
					case <-ctx.Done():
					}
				}()
			}
		}
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case address := <-removed:
			delete(active, address)
		case <-changed:
		}
	}
}

// keepSession maintains a session with an entry and reopens it when it ends. It
// removes a learned address that it could not reach for entryExpiry.
func (a *Agent) keepSession(ctx context.Context, address string) {
	delay := minRedialDelay
	lastOpened := time.Now()
	for ctx.Err() == nil {
		if a.runSession(ctx, address) {
			delay = minRedialDelay
			lastOpened = time.Now()
		}
		if time.Since(lastOpened) > entryExpiry && a.forgetEntry(address) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		delay = min(delay*2, maxRedialDelay)
	}
}

// forgetEntry removes a learned address and returns true. It returns false for a
// configured address, which is never removed.
func (a *Agent) forgetEntry(address string) bool {
	for _, configured := range a.Entries {
		if configured == address {
			return false
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.knownEntries, address)
	return true
}

// runSession runs one session until it ends, and reports whether it was opened. A
// draining agent opens no session.
func (a *Agent) runSession(ctx context.Context, address string) bool {
	if a.isDraining() {
		return false
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	connection, _, err := websocket.Dial(dialCtx, a.Scheme+"://"+address+"/-/session", &websocket.DialOptions{
		HTTPClient: a.Dialer, CompressionMode: websocket.CompressionDisabled,
	})
	cancel()
	if err != nil {
		a.Log.Debug("failed to dial entry", zap.String("entry", address), zap.Error(err))
		return false
	}
	l := &entrySession{address: address, session: linker.New(connection), heartbeatSentAt: map[uint64]time.Time{}}
	a.mu.Lock()
	hello := linker.Hello{
		Agent: a.Name, Zone: a.Zone, Rack: a.Rack, Capacity: a.Capacity,
		Incarnation: a.leaser.Incarnation(), Succeeds: a.endedIncarnation, Revision: a.tableUpdate.Revision,
		ProcessID: a.processID,
	}
	a.entrySessions[address] = l
	a.mu.Unlock()
	// If the session has ended already, Run returns at once.
	_ = l.session.Send(linker.Frame{Hello: &hello})
	go a.sendHeartbeats(ctx, l)
	err = l.session.Run(ctx, &handler{a, l})
	a.mu.Lock()
	if a.entrySessions[address] == l {
		delete(a.entrySessions, address)
	}
	a.mu.Unlock()
	a.Log.Info("session ended", zap.String("entry", address), zap.NamedError("cause", err))
	return true
}

// sendHeartbeats sends heartbeats at a fixed interval, and immediately after a change
// that notify signals.
func (a *Agent) sendHeartbeats(ctx context.Context, l *entrySession) {
	ticker := time.NewTicker(linker.HeartbeatInterval)
	defer ticker.Stop()
	for {
		a.mu.Lock()
		changed := a.changed
		a.mu.Unlock()
		a.sendHeartbeat(l)
		select {
		case <-ctx.Done():
			return
		case <-l.session.Done():
			return
		case <-ticker.C:
		case <-changed:
			// Combine simultaneous changes into one heartbeat.
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// sendHeartbeat sends a heartbeat with what has changed since the previous one on the
// session. The first one always reports the loads. The error of Send is ignored: it
// means that the session has ended, which the caller notices.
func (a *Agent) sendHeartbeat(l *entrySession) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	l.sequence++
	l.heartbeatSentAt[l.sequence] = now
	delete(l.heartbeatSentAt, l.sequence-maxPendingHeartbeats)
	heartbeat := linker.Heartbeat{Sequence: l.sequence}
	if loads := a.admitter.Loads(now); l.sequence == 1 || !reflect.DeepEqual(loads, l.reportedLoads) {
		heartbeat.Changed = true
		heartbeat.Loads = loads
		l.reportedLoads = loads
	}
	if l.reportedRevision != a.tableUpdate.Revision {
		heartbeat.Revision = a.tableUpdate.Revision
		l.reportedRevision = a.tableUpdate.Revision
	}
	frame := linker.Frame{Heartbeat: &heartbeat}
	if report := a.taskReport(); !reflect.DeepEqual(report, l.reportedTasks) {
		frame.Tasks = report
		l.reportedTasks = report
	}
	_ = l.session.Send(frame)
}

// handler handles the frames and streams of one session.
type handler struct {
	agent        *Agent
	entrySession *entrySession
}

// Frame implements linker.Handler.
func (h *handler) Frame(s *linker.Session, f linker.Frame) {
	a := h.agent
	switch {
	case f.Welcome != nil:
		s.ApplyEvent("greet")
		a.AddEntries(f.Welcome.Entries)
	case f.Ack != nil:
		a.handleAck(h.entrySession, *f.Ack)
	case f.Table != nil:
		a.setTable(*f.Table)
	case f.Start != nil:
		a.handleStart(s, *f.Start)
	case f.Evict != nil:
		go a.stopTask(a.lifetime, f.Evict.Ref, f.Evict.Reason)
	case f.Forget != nil:
		go a.forgetTasks(a.lifetime, f.Forget)
	case f.Leave != nil:
		if a.drainTarget(f.Leave.Target, f.Leave.Incarnation) {
			_ = s.Send(linker.Frame{Left: f.Leave})
		}
	case f.WantTable:
		a.sendTable(s)
	case f.GoAway:
		// The entry confirms the GoAway of Drain: it sends no more work.
		s.ApplyEvent("drain")
		a.mu.Lock()
		h.entrySession.drained = true
		a.mu.Unlock()
	}
}

// sendTable sends the agent's revision of the table to an entry that asked for it because
// its own is older.
func (a *Agent) sendTable(s *linker.Session) {
	a.mu.Lock()
	table := a.tableUpdate
	a.mu.Unlock()
	if table.Revision > 0 {
		_ = s.Send(linker.Frame{Table: &table})
	}
}

// AddEntries adds addresses of entries to the ones that the agent dials.
func (a *Agent) AddEntries(entries []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range entries {
		if !a.knownEntries[e] {
			a.knownEntries[e] = true
			a.notify()
		}
	}
}

// handleAck applies the acknowledgement of a heartbeat, which may renew the lease and the
// start permit from the time when that heartbeat was sent. If the incarnation was declared
// lost, handleAck starts fencing. If the send time of the heartbeat is no longer kept, only
// the addresses of entries are taken from the acknowledgement.
func (a *Agent) handleAck(l *entrySession, ack linker.Ack) {
	a.AddEntries(ack.Entries)
	a.mu.Lock()
	sentAt, ok := l.heartbeatSentAt[ack.Sequence]
	if !ok {
		a.mu.Unlock()
		return
	}
	if sentAt.After(l.lastAckedSent) {
		l.lastAckedSent = sentAt
	}
	a.leaser.RecordHeartbeat(sentAt, ack.Renewed && !a.fencing, ack.Permit && !a.fencing)
	startFencing := ack.Fenced && !a.fencing && a.Runtime != nil
	a.fencing = a.fencing || startFencing
	a.mu.Unlock()
	if startFencing {
		go a.fence(a.lifetime)
	}
}

// hasRecentAck reports whether the entry has acknowledged a heartbeat that was sent
// within the last linker.SessionTimeout. After a pause of this process it is false until
// the next acknowledgement, so that requests that were buffered in the connection
// during the pause are not admitted on the basis of outdated state. The caller holds
// the lock.
func (a *Agent) hasRecentAck(l *entrySession, now time.Time) bool {
	return now.Sub(l.lastAckedSent) < linker.SessionTimeout
}

// drainTarget marks an incarnation of a target as leaving and rejects its queued
// requests. It returns false if that incarnation has not announced itself here; it then
// becomes leaving with its announcement.
func (a *Agent) drainTarget(name, incarnation string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	rejected, ok := a.admitter.Leave(name, incarnation)
	for _, r := range rejected {
		a.failQueued(r.ID, plantainrail.NewError(plantainrail.CodeDraining, "target %s is leaving", name))
	}
	if ok {
		a.notify()
	}
	return ok
}
