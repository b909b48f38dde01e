package limiter

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// writeTimeout bounds the time for a refusal that is written to a connection directly. It fits into
	// the empty buffer of the connection.
	writeTimeout = 100 * time.Millisecond
	// lingerTime is how long a connection stays open after such a refusal. A connection that is closed
	// with unread bytes is reset, and the client may lose the response. Nothing more is read, since a
	// client that never stops would take the processor; net/http waits as long.
	lingerTime = 500 * time.Millisecond
	// refusePause is the delay after a connection was refused. It keeps clients that reconnect at once
	// from taking the processor; others wait in the listener's queue meanwhile.
	refusePause = 2 * time.Millisecond
	// minRetryAfter and retrySpread are the bounds of Retry-After in whole seconds. The value is random,
	// so that refused clients do not return together.
	minRetryAfter, retrySpread = 1, 3
)

// conn is a connection within the budget of a pool.
type conn struct {
	net.Conn
	pool   *pool
	client *Client
	// attention is set once the client is refused, its header is as long as it may be or its body is long.
	// Reads check the client first then. Others do not, since that would cost each request.
	attention atomic.Bool
	// interrupted is set once the read of a refused client was ended. The pool's lock guards it.
	interrupted bool
	// committed is set once the request may have taken effect; see Commit.
	committed atomic.Bool
	// answered is set once a refusal was written to the connection directly. Only Read uses it, which
	// the server does not call from two goroutines at once.
	answered bool
}

// errRefused is returned by reads from a refused client. The server sends no response of its own after an
// error of this type.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("client refused")}

// Read implements net.Conn. A client that is refused before its request reached a handler gets the response
// from here.
func (c *conn) Read(b []byte) (int, error) {
	for c.attention.Load() {
		cause, phase, paced := c.check()
		if cause != None {
			return 0, c.refuse(cause, phase)
		}
		if !paced {
			break
		}
		time.Sleep(sweepInterval)
	}
	n, err := c.Conn.Read(b)
	if cause, phase := c.count(b[:n]); cause != None {
		return 0, c.refuse(cause, phase)
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	p := c.pool
	p.mu.Lock()
	p.ledger.BeginWrite(p.time(), c.client)
	p.mu.Unlock()
	n, err := c.Conn.Write(b)
	p.mu.Lock()
	p.ledger.EndWrite(c.client)
	p.mu.Unlock()
	return n, err
}

// check returns, before a read, the cause if the client is refused, and whether the read has to wait.
func (c *conn) check() (cause Cause, phase Phase, paced bool) {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	had := c.client.cause
	p.ledger.HeaderPending(p.time(), c.client)
	cause, phase = c.state(had)
	return cause, phase, p.ledger.Paced(c.client)
}

// serverBuffer is the size in bytes of the buffer from which net/http parses headers. Longer reads are those of bodies.
const serverBuffer = 4 << 10

// countItems counts the items in bytes that were read. A header that ends with bare line feeds counts as longer than it is.
func countItems(b []byte) Items {
	if len(b) > serverBuffer {
		return Items{}
	}
	// The server skips empty lines before a request.
	b = bytes.TrimLeft(b, "\r\n")
	end := len(b)
	if i := bytes.Index(b, []byte("\r\n\r\n")); i >= 0 {
		end = i
	}
	count := func(b []byte) int64 { return int64(bytes.Count(b, []byte("\n")) + bytes.Count(b, []byte(","))) }
	return Items{count(b[:end]), count(b[end:])}
}

// count counts bytes that were read, and returns the cause if the client is refused.
func (c *conn) count(b []byte) (Cause, Phase) {
	items := countItems(b)
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	had := c.client.cause
	p.interrupt(p.ledger.Received(p.time(), c.client, int64(len(b)), items))
	return c.state(had)
}

// state returns the cause if the client is refused, and counts it if it had none before. The caller holds the
// pool's lock.
func (c *conn) state(had Cause) (Cause, Phase) {
	p := c.pool
	if had == None && c.client.cause != None {
		p.limiter.counts.add(c.client.cause)
		c.interrupted = true
	}
	c.attention.Store(c.client.cause != None || p.ledger.HeaderFull(c.client) || p.ledger.Long(c.client))
	if c.client.phase == Draining {
		// The server still reads the rest of a refused body, so that the client gets the response.
		return None, Draining
	}
	return c.client.cause, c.client.phase
}

// refuse responds to a client whose header is incomplete.
func (c *conn) refuse(cause Cause, phase Phase) error {
	if phase != Header || c.answered {
		return errRefused
	}
	c.answered = true
	_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = c.Conn.Write(c.pool.limiter.response(cause))
	_ = c.CloseWrite()
	time.Sleep(lingerTime)
	return errRefused
}

// abort closes the connection at once. Close of an encrypted connection would wait until a notice is sent.
func (c *conn) abort() { abort(c.Conn) }

func abort(c net.Conn) {
	if encrypted, ok := c.(*tls.Conn); ok {
		c = encrypted.NetConn()
	}
	_ = c.Close()
}

// CloseWrite ends the sending direction, if the connection can do so. The server uses it, too.
func (c *conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.pool.mu.Lock()
	c.pool.ledger.Close(c.client)
	delete(c.pool.conns, c.client)
	c.pool.mu.Unlock()
	return c.Conn.Close()
}

// Refusal is the error of a request that is refused. No handler has acted on it.
type Refusal struct {
	Cause Cause
	// headers are those of Limits.
	headers map[string]string
}

// Error implements error.
func (r *Refusal) Error() string { return "not accepted, and nothing was stored: " + string(r.Cause) }

// Status returns the HTTP status of the response.
func (r *Refusal) Status() int {
	switch r.Cause {
	case HeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case HeaderTooSlow, BodyTooSlow:
		return http.StatusRequestTimeout
	}
	return http.StatusServiceUnavailable
}

// retryAfter returns the value of Retry-After, in seconds.
func retryAfter() string { return strconv.Itoa(minRetryAfter + rand.IntN(retrySpread)) }

// Write sends the response, after which the connection is closed.
func (r *Refusal) Write(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	if r.Status() == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter())
	}
	for name, value := range r.headers {
		w.Header().Set(name, value)
	}
	http.Error(w, r.Error(), r.Status())
}

// WriteRefusal sends the response if the error is a *Refusal, and reports whether it is.
func WriteRefusal(w http.ResponseWriter, err error) bool {
	var refusal *Refusal
	if !errors.As(err, &refusal) {
		return false
	}
	refusal.Write(w)
	return true
}

// refusal returns the error for a cause.
func (l *Limiter) refusal(cause Cause) *Refusal { return &Refusal{cause, l.limits.RefusalHeaders} }

// response returns the response for a connection whose request has not reached a handler.
func (l *Limiter) response(cause Cause) []byte {
	r := l.refusal(cause)
	text := r.Error() + "\n"
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n", r.Status(), http.StatusText(r.Status()))
	if r.Status() == http.StatusServiceUnavailable {
		fmt.Fprintf(&out, "Retry-After: %s\r\n", retryAfter())
	}
	for name, value := range r.headers {
		fmt.Fprintf(&out, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n%s", len(text), text)
	return out.Bytes()
}

// connKey is the key of the connection in a request's context.
type connKey struct{}

// connOf returns the connection of a request, or nil if it is not limited.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// Reserve reserves memory in bytes for a request until its response is written. It returns a *Refusal if
// there is none, and nil for a request that is not limited.
func Reserve(ctx context.Context, bytes int64) error {
	c := connOf(ctx)
	if c == nil {
		return nil
	}
	if cause := c.pool.reserve(c, bytes); cause != None {
		return c.pool.limiter.refusal(cause)
	}
	return nil
}

// Commit tells that a request may take effect from now on although its body is not read to the end. If the client is
// refused later, it gets no response, since any would promise that nothing was stored.
func Commit(ctx context.Context) {
	if c := connOf(ctx); c != nil {
		c.committed.Store(true)
	}
}

// MaxBodyBytes returns the largest body of a request in bytes: the one in force, or the default if the
// request is not limited.
func MaxBodyBytes(ctx context.Context, byDefault int64) int64 {
	c := connOf(ctx)
	if c == nil {
		return byDefault
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.pool.ledger.Rules().BodyBytes
}

// handler returns a handler that tells the pool how far its requests are.
func (p *pool) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		c := connOf(req.Context())
		if c == nil {
			next.ServeHTTP(w, req)
			return
		}
		defer p.enter(c, Draining)
		if encrypted, ok := c.Conn.(*tls.Conn); ok {
			// The server does not look for it behind the limiter.
			state := encrypted.ConnectionState()
			req.TLS = &state
		}
		switch {
		case req.ContentLength == 0:
			p.enter(c, Serving)
		case p.limiter.limits.Streams:
			p.enter(c, Serving)
			if cause := p.reserve(c, streamBytes); cause != None {
				p.limiter.refusal(cause).Write(w)
				return
			}
			c.committed.Store(false)
			req.Body = &stream{req.Body, c, req}
		default:
			p.enter(c, Body)
			if req.ContentLength > MaxBodyBytes(req.Context(), 0) {
				p.limiter.counts.add(BodyTooLarge)
				p.limiter.refusal(BodyTooLarge).Write(w)
				return
			}
			req.Body = &body{req.Body, c, req}
		}
		next.ServeHTTP(w, req)
	})
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	conn    *conn
	request *http.Request
}

// Read implements io.Reader. It returns a *Refusal once the client is refused, also in the place of io.EOF,
// so that no handler acts on a request that was dropped.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	pool := b.conn.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if cause := b.conn.client.cause; cause != None {
		return 0, pool.limiter.refusal(cause)
	}
	if err == io.EOF {
		// No handler uses trailers, whose fields take much more memory than their text.
		b.request.Trailer = nil
		pool.ledger.Enter(pool.time(), b.conn.client, Serving)
	}
	return n, err
}

// stream is the body of a request that is passed on as it arrives. Its client may be dropped only while it is waited for.
type stream struct {
	io.ReadCloser
	conn    *conn
	request *http.Request
}

// Read implements io.Reader. It returns a *Refusal once the client is refused.
func (s *stream) Read(p []byte) (int, error) {
	pool := s.conn.pool
	pool.exchange(s.conn, Serving, Body)
	n, err := s.ReadCloser.Read(p)
	if err == io.EOF {
		s.request.Trailer = nil
	}
	pool.passedOn(s.conn, n)
	if cause := pool.exchange(s.conn, Body, Serving); cause != None {
		if s.conn.committed.Load() {
			s.conn.abort()
		}
		return 0, pool.limiter.refusal(cause)
	}
	return n, err
}
