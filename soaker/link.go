package soaker

import (
	"io"
	"net"
	"sync"
	"time"
)

// Link passes TCP connections on to a server, and can break them.
type Link struct {
	listener net.Listener

	// mu guards the fields below.
	mu     sync.Mutex
	target string
	// rewrite, if set, changes what the server sends.
	rewrite func([]byte) []byte
	open    map[*connection]bool
	// cutUntil is when data and new connections pass again. Until delayUntil, data is held for delay.
	cutUntil, delayUntil time.Time
	delay                time.Duration
}

// connection is a connection that a link passes on.
type connection struct {
	// ends are the connections to the client and to the server.
	ends [2]net.Conn
	// silent tells for each end whether what it sends is discarded. The link's lock guards it.
	silent [2]bool
}

// The indexes of connection.ends.
const (
	clientEnd = iota
	serverEnd
)

// NewLink starts a link that listens at an address and passes connections on to a target.
func NewLink(address, target string) (*Link, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	k := &Link{listener: l, target: target, open: map[*connection]bool{}}
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(client)
		}
	}()
	return k, nil
}

// Address returns the address at which clients reach the server.
func (k *Link) Address() string { return k.listener.Addr().String() }

// Close ends the link and its connections.
func (k *Link) Close() {
	_ = k.listener.Close()
	k.Disconnect()
}

// SetTarget sets the server of later connections.
func (k *Link) SetTarget(target string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.target = target
}

// Reset resets the open connections, and returns their number.
func (k *Link) Reset() int { return k.endAll(reset) }

// Disconnect closes the open connections in order, and returns their number.
func (k *Link) Disconnect() int { return k.endAll(func(c net.Conn) { _ = c.Close() }) }

// endAll ends both ends of all open connections, and returns their number.
func (k *Link) endAll(end func(net.Conn)) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.open {
		end(c.ends[clientEnd])
		end(c.ends[serverEnd])
	}
	return len(k.open)
}

// reset closes a connection so that the other end gets a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Silence makes the open connections silent for good: what clients or servers send, or both, is
// discarded and nobody is told. New connections work. It returns the number of connections.
func (k *Link) Silence(clients, servers bool) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.open {
		c.silent[clientEnd] = c.silent[clientEnd] || clients
		c.silent[serverEnd] = c.silent[serverEnd] || servers
	}
	return len(k.open)
}

// Cut holds up all data and new connections for the given time.
func (k *Link) Cut(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cutUntil = later(k.cutUntil, time.Now().Add(d))
}

// Delay makes all data arrive later by the given time, for as long as d.
func (k *Link) Delay(delay, d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.delay, k.delayUntil = delay, time.Now().Add(d)
}

// hold waits until data may pass, and reports whether it is to be discarded.
func (k *Link) hold(c *connection, end int) bool {
	for arrived := time.Now(); ; {
		k.mu.Lock()
		wait, silent := time.Until(k.cutUntil), c.silent[end]
		if arrived.Before(k.delayUntil) {
			wait = max(wait, time.Until(arrived.Add(k.delay)))
		}
		k.mu.Unlock()
		if wait <= 0 {
			return silent
		}
		time.Sleep(wait)
	}
}

func (k *Link) serve(client net.Conn) {
	c := &connection{}
	k.hold(c, clientEnd)
	k.mu.Lock()
	target, rewrite := k.target, k.rewrite
	k.mu.Unlock()
	server, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		reset(client)
		return
	}
	c.ends = [2]net.Conn{client, server}
	k.mu.Lock()
	k.open[c] = true
	k.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { k.forward(c, clientEnd, nil) })
	group.Go(func() { k.forward(c, serverEnd, rewrite) })
	group.Wait()
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.open, c)
}

// forward passes on what an end sends, until it is closed.
func (k *Link) forward(c *connection, end int, rewrite func([]byte) []byte) {
	from, to := c.ends[end], c.ends[1-end]
	defer func() { _ = from.Close() }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if k.hold(c, end) {
			// The other end does not learn of the end of a silent connection either.
			_, _ = io.Copy(io.Discard, from)
			return
		}
		data := buffer[:n]
		if rewrite != nil {
			data = rewrite(data)
		}
		if _, writeErr := to.Write(data); err != nil || writeErr != nil {
			_ = to.Close()
			return
		}
	}
}
