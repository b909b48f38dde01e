package limiter

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"runtime/metrics"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
)

const (
	// sweepInterval is how often time limits are checked. Deadlines of single reads would cost each
	// request several timers.
	sweepInterval = 250 * time.Millisecond
	// logInterval bounds the log lines to one for each limit in this time.
	logInterval = time.Second
)

// Limiter enforces the limits of a process on the listeners that clients reach.
type Limiter struct {
	logger *zap.Logger
	limits Limits
	counts counts
	// mu guards the fields below.
	mu       sync.Mutex
	operator plantainrail.ClientLimits
	pools    []*pool
}

// pool is a budget for a group of listeners.
type pool struct {
	limiter *Limiter
	// mu guards the fields below and the clients in the ledger.
	mu     sync.Mutex
	ledger *Ledger
	conns  map[*Client]*conn
	// clock is the time of the last sweep. Each sweep puts it forward by at most sweepInterval, so that
	// time for which the process itself stood still is not held against its clients.
	clock time.Time
	// cycle is the number of the collection of garbage that was measured last.
	cycle uint64
}

// New returns a limiter that has not limited any listener yet. See Limits.BoundRuntime for the rest of the
// process.
func New(l Limits, logger *zap.Logger) *Limiter {
	if l.MaxBodyBytes == 0 {
		l.MaxBodyBytes = defaultBodyBytes
	}
	return &Limiter{logger: logger, limits: l, counts: counts{logger: logger, byCause: map[Cause]*count{}}}
}

// newPool returns a pool in which the operators' limits are in force.
func (l *Limiter) newPool(b Budget) *pool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := &pool{limiter: l, ledger: NewLedger(b, NewRules(l.operator, l.limits.MaxBodyBytes)), conns: map[*Client]*conn{}, clock: time.Now()}
	l.pools = append(l.pools, p)
	return p
}

// SetReport sets the function that receives the number of clients that were limited since the start, as a
// gauge for each cause. It must be called before the limiter is used, and is called at most once in
// logInterval for each cause.
func (l *Limiter) SetReport(report func(name string, total int64)) { l.counts.report = report }

// SetOperatorLimits puts the operators' limits in force. It may be called at any time, and on a nil Limiter.
func (l *Limiter) SetOperatorLimits(o plantainrail.ClientLimits) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.operator = o
	for _, p := range l.pools {
		p.mu.Lock()
		p.ledger.SetRules(NewRules(o, l.limits.MaxBodyBytes))
		p.mu.Unlock()
	}
}

// LimitClients returns the listener with the limits for clients, and prepares the server that serves it. Its
// handler has to be set before. It may be called once. A nil Limiter and a nil listener change nothing.
func (l *Limiter) LimitClients(server *http.Server, listener net.Listener) net.Listener {
	if l == nil || listener == nil {
		return listener
	}
	budget := l.limits.Budget()
	budget.Connections = max(1, budget.Connections-healthConnections)
	p := l.newPool(budget)
	if l.limits.Streams {
		p.ledger.StreamBodies()
	}
	return l.limit(p, server, listener)
}

// LimitHealthChecks does the same for a listener of the load balancer's readiness checks or of metrics. Each has a budget
// of its own, so that clients do not take an entry out of rotation.
func (l *Limiter) LimitHealthChecks(server *http.Server, listener net.Listener) net.Listener {
	if l == nil || listener == nil {
		return listener
	}
	return l.limit(l.newPool(Budget{Connections: healthConnections, Bytes: healthBytes, Heap: l.limits.Budget().Heap}), server, listener)
}

func (l *Limiter) limit(p *pool, server *http.Server, inner net.Listener) net.Listener {
	server.Handler = p.handler(server.Handler)
	// The ledger has the time limits, and the connections count headers. The server's own bounds are
	// behind them.
	server.ReadHeaderTimeout, server.IdleTimeout, server.MaxHeaderBytes = maxHeaderTimeout, maxIdleTimeout+maxHeaderTimeout, 2*maxHeaderBytes
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	server.ConnState = func(c net.Conn, state http.ConnState) {
		limited, ok := c.(*conn)
		switch {
		case ok && state == http.StateIdle:
			p.enter(limited, Idle)
		case ok && state == http.StateHijacked:
			p.enter(limited, Detached)
		}
	}
	if l.limits.MemoryBytes > 0 {
		l.boundBuffers(inner)
	}
	if l.limits.TLS != nil {
		inner = tls.NewListener(inner, l.limits.TLS)
	}
	out := &listener{Listener: inner, pool: p, closed: make(chan struct{})}
	go p.sweep(out.closed)
	return out
}

// boundBuffers bounds the unread and unsent bytes of all connections that the listener will accept, those in its
// queue included.
func (l *Limiter) boundBuffers(inner net.Listener) {
	tcp, ok := inner.(syscall.Conn)
	if !ok {
		return
	}
	var receiveErr, sendErr error
	raw, err := tcp.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) {
			receiveErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			sendErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, int(l.limits.sendBuffer()))
		})
	}
	if err := cmp.Or(err, receiveErr); err != nil {
		l.logger.Warn("receive buffers not bounded", zap.Error(err))
	}
	if err := cmp.Or(err, sendErr); err != nil {
		l.logger.Warn("send buffers not bounded", zap.Error(err))
	}
}

// listener accepts connections within the budget of a pool.
type listener struct {
	net.Listener
	pool      *pool
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept implements net.Listener. It refuses connections for which there is no room and returns the next.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.pool.connect(inner); c != nil {
			return c, nil
		}
		l.pool.limiter.counts.add(OverConnections)
		if _, encrypted := inner.(*tls.Conn); !encrypted {
			// A response to an encrypted connection would have to wait for the handshake.
			_ = inner.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, _ = inner.Write(l.pool.limiter.response(OverConnections))
		}
		abort(inner)
		time.Sleep(refusePause)
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// time returns the time at which an event counts, which is that of the next sweep: no limit is enforced
// early, and no request needs to read a clock. The caller holds the lock.
func (p *pool) time() time.Time { return p.clock.Add(sweepInterval) }

// connect takes a connection, or returns nil if there is no room for it.
func (p *pool) connect(inner net.Conn) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	client, dropped := p.ledger.Connect(p.time())
	if dropped != nil {
		p.limiter.counts.add(DroppedForOthers)
		old := p.conns[dropped]
		delete(p.conns, dropped)
		old.abort()
	}
	if client == nil {
		return nil
	}
	c := &conn{Conn: inner, pool: p, client: client}
	p.conns[client] = c
	return c
}

// enter moves a connection to a phase.
func (p *pool) enter(c *conn, phase Phase) {
	p.mu.Lock()
	defer p.mu.Unlock()
	had := c.client.cause
	p.ledger.Enter(p.time(), c.client, phase)
	if had == None && c.client.cause != None {
		p.limiter.counts.add(c.client.cause)
		c.attention.Store(true)
	}
}

// reserve reserves bytes for a request and returns the cause if it is refused.
func (p *pool) reserve(c *conn, bytes int64) Cause {
	if bytes > largeRequest {
		// For ordinary requests the measurement of the last sweep is new enough.
		p.measure()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	dropped, ok := p.ledger.Reserve(p.time(), c.client, bytes)
	p.interrupt(dropped)
	switch {
	case ok:
		return None
	case c.client.cause != None:
		return c.client.cause
	case !p.ledger.Affordable(bytes):
		p.limiter.counts.add(BodyTooLarge)
		return BodyTooLarge
	}
	p.limiter.counts.add(OverMemory)
	return OverMemory
}

// exchange moves a connection from one phase to another, unless it is in a third one, and returns the cause if the client is
// refused.
func (p *pool) exchange(c *conn, from, to Phase) Cause {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.client.phase == from {
		p.ledger.Enter(p.time(), c.client, to)
	}
	return c.client.cause
}

// passedOn counts bytes of a body that a handler has read.
func (p *pool) passedOn(c *conn, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ledger.PassedOn(c.client, int64(n))
}

// interrupt ends the reads of refused clients, whose handlers or connections then respond. Those without a
// request are closed. The caller holds the lock.
func (p *pool) interrupt(refused []*Client) {
	for _, client := range refused {
		c := p.conns[client]
		if c == nil {
			continue
		}
		if !c.interrupted {
			p.limiter.counts.add(client.cause)
			c.attention.Store(true)
		}
		if c.interrupted || client.phase == Idle || client.phase == Serving || client.phase == Draining {
			c.abort()
		} else {
			_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		}
		c.interrupted = true
	}
}

// sweep enforces the time limits until the listener and all connections are closed.
func (p *pool) sweep(closed chan struct{}) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		<-ticker.C
		if p.isDone(closed) {
			return
		}
		p.measure()
		now := time.Now()
		p.mu.Lock()
		passed := min(now.Sub(last), sweepInterval)
		p.clock, last = p.clock.Add(passed), now
		p.ledger.Refill(passed)
		p.interrupt(p.ledger.Overdue(p.clock))
		p.mu.Unlock()
		p.limiter.counts.flush(now)
	}
}

// isDone reports whether the listener and all connections are closed. From the end of the listener on,
// bodies are not paced.
func (p *pool) isDone(closed chan struct{}) bool {
	select {
	case <-closed:
	default:
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ledger.StopPacing()
	return len(p.conns) == 0
}

// measure tells the ledger what the newest collection of garbage has found in use.
func (p *pool) measure() {
	if p.limiter.limits.MemoryBytes == 0 {
		return
	}
	samples := [2]metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/gc/cycles/total:gc-cycles"}}
	metrics.Read(samples[:])
	p.mu.Lock()
	defer p.mu.Unlock()
	if cycle := samples[1].Value.Uint64(); cycle != p.cycle {
		p.cycle = cycle
		p.ledger.SetHeld(int64(samples[0].Value.Uint64()))
	}
}
