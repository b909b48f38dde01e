package limiter

import "time"

// Phase is what a connection waits for.
type Phase int

// Phases of a connection, in the order in which a request passes them.
const (
	// Idle is a connection without a request.
	Idle Phase = iota
	// Header is one whose request's header is incomplete.
	Header
	// Body is one whose request is being read by its handler.
	Body
	// Serving is one whose whole request was read. It is dropped only while it does not take its response.
	Serving
	// Draining is one whose response is written and that is not ready for the next request yet.
	Draining
	// Detached is one that a handler has taken over. It is never dropped.
	Detached
)

// Cause is the limit because of which a request is refused or a connection closed.
type Cause string

// Causes. They are values of a metric label and do not change.
const (
	None             Cause = ""
	HeaderTooLarge   Cause = "header too large"
	BodyTooLarge     Cause = "body too large"
	HeaderTooSlow    Cause = "header too slow"
	BodyTooSlow      Cause = "body too slow"
	ResponseTooSlow  Cause = "response too slow"
	IdleTooLong      Cause = "idle too long"
	OverMemory       Cause = "over memory"
	OverConnections  Cause = "over connections"
	DroppedForOthers Cause = "dropped for others"
)

// Client is a connection in the books of a Ledger. Only the ledger changes it.
type Client struct {
	phase Phase
	// since is when the phase began, and progressAt when progress was last made in it.
	since, progressAt time.Time
	// received counts the bytes of the phase, and marked those at progressAt.
	received, marked int64
	// items counts those of the header, and unread those that were read after it: the server may still hold them unread
	// when the next request begins.
	items, unread int64
	// framing is how many bytes of a body that is passed on were not part of it: what chunks are made of.
	framing int64
	// reserved is the cost of the request in bytes.
	reserved int64
	// cause is set once the connection is refused.
	cause     Cause
	refusedAt time.Time
	// previous and next are the client's neighbours in a queue of the ledger; nil if it is in none.
	previous, next *Client
}

// queue is a list of clients, the one without progress for the longest time first. The clients hold the
// links, so that moving one allocates nothing.
type queue struct{ end Client }

func newQueue() *queue {
	q := &queue{}
	q.end.previous, q.end.next = &q.end, &q.end
	return q
}

// append puts a client at the end, from whichever queue it was in.
func (q *queue) append(c *Client) {
	c.unlink()
	c.previous, c.next = q.end.previous, &q.end
	c.previous.next, c.next.previous = c, c
}

// unlink takes the client out of its queue, if it is in one.
func (c *Client) unlink() {
	if c.next == nil {
		return
	}
	c.previous.next, c.next.previous = c.next, c.previous
	c.previous, c.next = nil, nil
}

// all passes over the clients of the queue in order. They must not be moved meanwhile.
func (q *queue) all(yield func(*Client) bool) {
	for c := q.end.next; c != &q.end; c = c.next {
		if !yield(c) {
			return
		}
	}
}

// Ledger decides which connections and requests a process takes and which it drops. It does no I/O, reads
// no clock and is not safe for concurrent use.
type Ledger struct {
	budget Budget
	rules  Rules
	// idle, sending and receiving hold the clients that may be dropped, the one without progress for the longest
	// time first: those in the phase Idle, those in the phase Serving to which a response is being written, and all
	// others but those that are served.
	idle, sending, receiving *queue
	connections              int
	// reserved is the sum of the clients' costs. held is the memory in use by the process, and finished
	// the cost of the large requests that have ended since it was measured.
	reserved, held, finished int64
	// streams is set if the bytes of bodies are passed on as they arrive.
	streams bool
	// allowance is how many bytes of long bodies may still be read before the next refill.
	allowance int64
}

// NewLedger returns a ledger without clients.
func NewLedger(b Budget, r Rules) *Ledger {
	l := &Ledger{budget: b, rules: r, idle: newQueue(), sending: newQueue(), receiving: newQueue()}
	l.Refill(time.Minute)
	return l
}

// StreamBodies makes the ledger count no bytes of bodies, which are passed on as they arrive. A client enters the phase Body
// with each read then.
func (l *Ledger) StreamBodies() { l.streams = true }

// Refill adds what a time allows to be read of long bodies, up to two of the longest, so that a single one
// need not wait.
func (l *Ledger) Refill(d time.Duration) {
	l.allowance = min(l.allowance+int64(float64(l.budget.BodyRate)*d.Seconds()), 2*l.rules.BodyBytes)
}

// Long reports whether a client has sent more of a body than ordinary ones have. Of one that is passed on only the framing
// counts: its bytes are paced by the target, and very small chunks cost much more than their bytes.
func (l *Ledger) Long(c *Client) bool {
	sent := c.received
	if l.streams {
		sent = c.framing
	}
	return c.phase == Body && sent > pacedBytes && l.budget.BodyRate > 0
}

// PassedOn counts bytes of a body that were passed on, which are no framing.
func (l *Ledger) PassedOn(c *Client, n int64) {
	if l.Long(c) {
		l.allowance += n
	}
	c.framing -= n
}

// StopPacing lets long bodies be read at once. It is called when a process stops, which would wait for them.
func (l *Ledger) StopPacing() { l.budget.BodyRate = 0 }

// Paced reports whether the next read of a client's body has to wait for a refill.
func (l *Ledger) Paced(c *Client) bool { return l.Long(c) && l.allowance <= 0 }

// Rules returns the limits in force.
func (l *Ledger) Rules() Rules { return l.rules }

// SetRules sets the limits for all clients, also for requests that have begun.
func (l *Ledger) SetRules(r Rules) { l.rules = r }

// SetHeld sets the bytes in use by the process as measured by a new collection of garbage.
func (l *Ledger) SetHeld(bytes int64) { l.held, l.finished = bytes, 0 }

// Connect takes a new connection. If there is no room for it, the client to close in its favour is
// returned as dropped, which the ledger has forgotten already. If there is none, c is nil and the new
// connection is refused.
func (l *Ledger) Connect(now time.Time) (c, dropped *Client) {
	if l.connections >= l.budget.Connections {
		if dropped = l.stalled(now, nil, false); dropped == nil {
			return nil, nil
		}
		l.refuse(now, dropped, DroppedForOthers)
		l.Close(dropped)
	}
	l.connections++
	c = &Client{since: now, progressAt: now}
	l.idle.append(c)
	return c, dropped
}

// stalled returns the client that has made no progress for the longest time, at least minStall, other
// than the exception. Requests go before responses, and these before idle connections. With costly set it returns
// only clients whose requests have a cost and are not refused yet; otherwise also refused ones whose connections linger. It
// returns nil if there is none.
func (l *Ledger) stalled(now time.Time, exception *Client, costly bool) *Client {
	for _, clients := range []*queue{l.sending, l.receiving, l.idle} {
		for c := range clients.all {
			if now.Sub(c.progressAt) < minStall {
				break
			}
			if c != exception && (!costly || c.cause == None && c.reserved > 0) {
				return c
			}
		}
	}
	return nil
}

// Enter moves a client to a phase. From Draining on its request costs nothing more.
func (l *Ledger) Enter(now time.Time, c *Client, p Phase) {
	if c.phase == p || c.phase == Detached || l.isClosed(c) {
		return
	}
	c.phase, c.since, c.progressAt, c.received, c.marked = p, now, now, 0, 0
	switch p {
	case Idle:
		c.framing = 0
		l.release(c)
		l.idle.append(c)
		c.items = c.unread
		switch cost := paidItems(c.items); {
		case cost == 0:
		case l.fits(c, cost):
			l.add(c, cost)
		default:
			l.refuse(now, c, OverMemory)
		}
	case Serving, Detached:
		c.unlink()
	case Draining:
		l.release(c)
		l.sending.append(c)
	case Body:
		c.items = 0
		l.sending.append(c)
	default:
		l.sending.append(c)
	}
}

// Items are the lines of a header and the elements of lists in them, or what may become such. They are paid by number,
// since each takes much more memory than its text.
type Items struct {
	// Header counts those of the present header, and Rest those after it, of which the next header may consist.
	Header, Rest int64
}

// Received counts bytes that were read from a client, and the items in them. It returns the clients to drop in its
// favour. The client is refused if there is no memory for them.
func (l *Ledger) Received(now time.Time, c *Client, n int64, items Items) (dropped []*Client) {
	switch {
	case n == 0 || l.isClosed(c):
		return nil
	case c.phase == Serving || c.phase == Detached:
		// The server reads ahead by single bytes.
		c.unread += items.Header + items.Rest
		return nil
	}
	if c.phase == Idle {
		l.Enter(now, c, Header)
	}
	before := c.cost()
	c.received += n
	c.unread = items.Rest
	if c.phase == Header {
		c.items += items.Header
	} else {
		c.unread += items.Header
	}
	if c.phase == Body && l.streams {
		c.framing += n
	}
	if l.Long(c) {
		l.allowance -= n
	}
	if c.received-c.marked >= progressBytes {
		c.marked, c.progressAt = c.received, now
		l.sending.append(c)
	}
	if grown := c.cost() - before; grown > 0 && c.phase != Draining && !(l.streams && c.phase == Body) {
		var ok bool
		if dropped, ok = l.Reserve(now, c, grown); !ok {
			l.refuse(now, c, OverMemory)
		}
	}
	return dropped
}

// BeginWrite notes that a part of a response is being written to a client, and EndWrite that the client has taken it.
// Until then it may be dropped.
func (l *Ledger) BeginWrite(now time.Time, c *Client) {
	if c.phase == Serving {
		c.progressAt = now
		l.receiving.append(c)
	}
}

// EndWrite ends what BeginWrite has begun.
func (l *Ledger) EndWrite(c *Client) {
	if c.phase == Serving {
		c.unlink()
	}
}

// HeaderPending refuses a client that has sent as many bytes as a header may have and whose header is
// still incomplete. It is called before more is read.
func (l *Ledger) HeaderPending(now time.Time, c *Client) {
	if l.HeaderFull(c) {
		l.refuse(now, c, HeaderTooLarge)
	}
}

// HeaderFull reports whether a client has sent as many bytes as a header may have. Its header may be complete.
func (l *Ledger) HeaderFull(c *Client) bool {
	return c.phase == Header && c.received > l.rules.HeaderBytes
}

// cost returns what the bytes and items that were received in the phase take.
func (c *Client) cost() int64 { return paidBytes(c.received)*bodyCopies + paidItems(c.items) }

// paidItems returns what items of a header take beyond the price of a connection.
func paidItems(n int64) int64 { return max(0, n-freeItems) * itemBytes }

// paidBytes returns how many of the bytes of a header or body are reserved: whole units, without the first
// one, which is in the connection's buffer and part of connectionBytes.
func paidBytes(bytes int64) int64 { return max(0, bytes-1) / unitBytes * unitBytes }

// Reserve adds to the cost of a client's request and returns the clients to drop in its favour. It
// returns false, and reserves nothing, if there is still no room. The clients are dropped all the same.
func (l *Ledger) Reserve(now time.Time, c *Client, bytes int64) (dropped []*Client, ok bool) {
	if c.cause != None || l.isClosed(c) {
		return nil, false
	}
	for !l.fits(c, bytes) {
		victim := l.stalled(now, c, true)
		if victim == nil {
			return dropped, false
		}
		l.refuse(now, victim, DroppedForOthers)
		l.release(victim)
		dropped = append(dropped, victim)
	}
	l.add(c, bytes)
	return dropped, true
}

// add adds to the cost of a client's request.
func (l *Ledger) add(c *Client, bytes int64) {
	c.reserved += bytes
	l.reserved += bytes
}

// fits reports whether a request's cost may grow.
func (l *Ledger) fits(c *Client, bytes int64) bool {
	room, heap := l.budget.Bytes-l.reserved, l.budget.Heap-l.held-l.finished-l.reserved
	if c.reserved+bytes > largeRequest {
		room, heap = room-l.budget.Bytes/4, heap-l.budget.Heap/4
	}
	return bytes <= room && bytes <= heap
}

// Affordable reports whether a request of the cost could be taken by a process without load.
func (l *Ledger) Affordable(bytes int64) bool { return bytes <= l.budget.Bytes/4*3 }

// refuse marks a client as refused, once.
func (l *Ledger) refuse(now time.Time, c *Client, cause Cause) {
	if c.cause == None {
		c.cause, c.refusedAt = cause, now
	}
}

// Overdue refuses the clients that have exceeded a time limit and returns them. Those that are still
// there a second after they were refused are returned again, to be closed.
func (l *Ledger) Overdue(now time.Time) (out []*Client) {
	for _, clients := range []*queue{l.idle, l.sending, l.receiving} {
		for c := range clients.all {
			if c.cause != None {
				if now.Sub(c.refusedAt) > minTimeout {
					out = append(out, c)
				}
				continue
			}
			if cause := l.exceeded(now, c); cause != None {
				l.refuse(now, c, cause)
				out = append(out, c)
			} else if c.phase == Idle {
				// The others have been idle for a shorter time.
				break
			}
		}
	}
	return out
}

// exceeded returns the time limit that a client has exceeded.
func (l *Ledger) exceeded(now time.Time, c *Client) Cause {
	inPhase := now.Sub(c.since)
	switch {
	case c.phase == Idle && inPhase > l.rules.IdleTimeout:
		return IdleTooLong
	case c.phase == Header && inPhase > l.rules.HeaderTimeout:
		return HeaderTooSlow
	case c.phase == Body && (inPhase > bodyTimeout || !l.streams && now.Sub(c.progressAt) > stallTimeout):
		return BodyTooSlow
	case c.phase == Draining && inPhase > drainTimeout, c.phase == Serving && now.Sub(c.progressAt) > drainTimeout:
		return ResponseTooSlow
	}
	return None
}

// Close forgets a client whose connection is closed. It may be called more than once.
func (l *Ledger) Close(c *Client) {
	if l.isClosed(c) {
		return
	}
	c.unlink()
	l.release(c)
	c.phase = closed
	l.connections--
}

// closed is the phase of a forgotten client.
const closed Phase = -1

func (l *Ledger) isClosed(c *Client) bool { return c.phase == closed }

// release ends the cost of a client's request.
func (l *Ledger) release(c *Client) {
	l.reserved -= c.reserved
	if c.reserved > largeRequest {
		l.finished += c.reserved
	}
	c.reserved = 0
}
