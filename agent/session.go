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
	// dialLimit bounds one attempt to open a session.
	dialLimit = 3 * time.Second
	// redialFirst and redialMost bound the pause between attempts.
	redialFirst = 100 * time.Millisecond
	redialMost  = 2 * time.Second
	// ackWindow is the number of heartbeats whose send times are kept.
	ackWindow = 16
	// forgetAfter is how long an address that was learned and never answered
	// is dialed.
	forgetAfter = 2 * time.Minute
)

// link is the agent's end of one session.
type link struct {
	address  string
	session  *linker.Session
	sequence uint64
	sentAt   map[uint64]time.Time
	// fresh is when the newest acknowledged heartbeat was sent.
	fresh time.Time
	// drained is set when the entry hands nothing over on the session any more.
	drained bool
	loads   []admitter.TargetLoad
	tasks   *linker.TaskReport
	table   int64
}

// dialAll keeps a session with each known entry, up to the limit.
func (a *Agent) dialAll(ctx context.Context) error {
	dialing := map[string]bool{}
	ended := make(chan string)
	for {
		a.mu.Lock()
		for address := range a.known {
			if !dialing[address] && len(dialing) < a.MaxSessions {
				dialing[address] = true
				go func() {
					a.keepSession(ctx, address)
					select {
					case ended <- address:
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
		case address := <-ended:
			delete(dialing, address)
		case <-changed:
		}
	}
}

// keepSession dials an entry again and again. It gives a learned address up
// after it has not answered for long.
func (a *Agent) keepSession(ctx context.Context, address string) {
	pause := redialFirst
	last := time.Now()
	for ctx.Err() == nil {
		if a.oneSession(ctx, address) {
			pause = redialFirst
			last = time.Now()
		}
		if time.Since(last) > forgetAfter && a.forgetAddress(address) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(pause*2, redialMost)
	}
}

func (a *Agent) forgetAddress(address string) bool {
	for _, fixed := range a.Entries {
		if fixed == address {
			return false
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.known, address)
	return true
}

// oneSession runs one session to its end and tells whether it ever opened.
func (a *Agent) oneSession(ctx context.Context, address string) bool {
	if a.stopping() {
		return false
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialLimit)
	connection, _, err := websocket.Dial(dialCtx, a.Scheme+"://"+address+"/-/session", &websocket.DialOptions{
		HTTPClient: a.Dialer, CompressionMode: websocket.CompressionDisabled,
	})
	cancel()
	if err != nil {
		a.Log.Debug("dial failed", zap.String("entry", address), zap.Error(err))
		return false
	}
	l := &link{address: address, session: linker.New(connection), sentAt: map[uint64]time.Time{}}
	a.mu.Lock()
	hello := linker.Hello{
		Agent: a.Name, Zone: a.Zone, Rack: a.Rack, Capacity: a.Capacity,
		Incarnation: a.leaser.Incarnation(), Succeeds: a.succeeds, Revision: a.table.Revision,
		Boot: a.boot,
	}
	a.links[address] = l
	a.mu.Unlock()
	_ = l.session.Send(linker.Frame{Hello: &hello})
	go a.beat(ctx, l)
	err = l.session.Run(ctx, &handler{a, l})
	a.mu.Lock()
	if a.links[address] == l {
		delete(a.links, address)
	}
	a.mu.Unlock()
	a.Log.Info("session ended", zap.String("entry", address), zap.NamedError("cause", err))
	return true
}

// beat sends heartbeats at an even pace, and at once when the load changed
// enough that entries should know.
func (a *Agent) beat(ctx context.Context, l *link) {
	ticker := time.NewTicker(linker.HeartbeatEvery)
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
			// Changes that come together share one heartbeat.
			time.Sleep(5 * time.Millisecond)
		}
	}
}

func (a *Agent) sendHeartbeat(l *link) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	l.sequence++
	l.sentAt[l.sequence] = now
	delete(l.sentAt, l.sequence-ackWindow)
	beat := linker.Heartbeat{Sequence: l.sequence}
	if loads := a.admitter.Loads(now); l.sequence == 1 || !reflect.DeepEqual(loads, l.loads) {
		beat.Changed = true
		beat.Loads = loads
		l.loads = loads
	}
	if l.table != a.table.Revision {
		beat.Revision = a.table.Revision
		l.table = a.table.Revision
	}
	frame := linker.Frame{Heartbeat: &beat}
	if report := a.report(); !reflect.DeepEqual(report, l.tasks) {
		frame.Tasks = report
		l.tasks = report
	}
	_ = l.session.Send(frame)
}

// handler takes what arrives on one link.
type handler struct {
	agent *Agent
	link  *link
}

// Frame implements linker.Handler.
func (h *handler) Frame(s *linker.Session, f linker.Frame) {
	a := h.agent
	switch {
	case f.Welcome != nil:
		s.Step("greet")
		a.Learn(f.Welcome.Entries)
	case f.Ack != nil:
		a.acknowledged(h.link, *f.Ack)
	case f.Table != nil:
		a.setTable(*f.Table)
	case f.Start != nil:
		a.orderStart(s, *f.Start)
	case f.Evict != nil:
		go a.stopTask(a.life, f.Evict.Ref, f.Evict.Reason)
	case f.Forget != nil:
		go a.forgetTasks(a.life, f.Forget)
	case f.Leave != nil:
		if a.leaveTarget(f.Leave.Target, f.Leave.Incarnation) {
			_ = s.Send(linker.Frame{Left: f.Leave})
		}
	case f.WantTable:
		a.sendTable(s)
	case f.GoAway:
		s.Step("drain")
		a.mu.Lock()
		h.link.drained = true
		a.mu.Unlock()
	}
}

func (a *Agent) sendTable(s *linker.Session) {
	a.mu.Lock()
	table := a.table
	a.mu.Unlock()
	if table.Revision > 0 {
		_ = s.Send(linker.Frame{Table: &table})
	}
}

// Learn adds addresses of entries to dial.
func (a *Agent) Learn(entries []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range entries {
		if !a.known[e] {
			a.known[e] = true
			a.notify()
		}
	}
}

func (a *Agent) acknowledged(l *link, ack linker.Ack) {
	a.Learn(ack.Entries)
	a.mu.Lock()
	sent, ok := l.sentAt[ack.Sequence]
	if !ok {
		a.mu.Unlock()
		return
	}
	if sent.After(l.fresh) {
		l.fresh = sent
	}
	a.leaser.Acknowledged(sent, ack.Renewed && !a.fencing, ack.Permit && !a.fencing)
	fence := ack.Fenced && !a.fencing && a.Runtime != nil
	a.fencing = a.fencing || fence
	a.mu.Unlock()
	if fence {
		go a.fence(a.life)
	}
}

// valid tells whether the link's entry answered a recent heartbeat. After a
// pause of this process it is false until the entry answers again, so that
// nothing is taken from a connection's buffer on the word of an old state.
func (a *Agent) valid(l *link, now time.Time) bool {
	return now.Sub(l.fresh) < linker.SilenceLimit
}

func (a *Agent) leaveTarget(name, incarnation string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	refused, ok := a.admitter.Leave(name, incarnation)
	for _, r := range refused {
		a.refuse(r.ID, plantainrail.NewError(plantainrail.CodeDraining, "target %s is leaving", name))
	}
	if ok {
		a.notify()
	}
	return ok
}
