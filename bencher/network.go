package bencher

import (
	"context"
	"net"
	"sync"

	"github.com/plantainrail/plantainrail/assembler"
)

// silenceableNetwork is TCP on loopback whose open connections can be silenced. It
// simulates a middlebox that loses the state of open connections, while new
// connections work.
type silenceableNetwork struct {
	assembler.Loopback
	mu sync.Mutex
	// conns holds the open connections.
	conns map[*silenceableConn]bool
}

func newNetwork() *silenceableNetwork { return &silenceableNetwork{conns: map[*silenceableConn]bool{}} }

// Dial implements assembler.Network. Connections of callers and operators cannot be
// silenced.
func (n *silenceableNetwork) Dial(from string) func(context.Context, string, string) (net.Conn, error) {
	dial := n.Loopback.Dial(from)
	if from == "caller" || from == "operator" {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		opened := &silenceableConn{Conn: c, network: n, from: from, to: address}
		n.mu.Lock()
		n.conns[opened] = true
		n.mu.Unlock()
		return opened, nil
	}
}

// silence silences the open connections for which match returns true. from is the name
// of the component that dialed, and to is the address that it dialed.
func (n *silenceableNetwork) silence(match func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if match(c.from, c.to) {
			c.silence()
		}
	}
}

// silenceableConn is a connection that can be silenced: it stays open, but what is
// sent or arrives on it is discarded.
type silenceableConn struct {
	net.Conn
	network  *silenceableNetwork
	from, to string
	mu       sync.Mutex
	silent   bool
}

func (c *silenceableConn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

func (c *silenceableConn) silenced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// Read discards what arrives on a silenced connection.
func (c *silenceableConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silenced() {
			return n, err
		}
	}
}

// Write discards what is sent on a silenced connection.
func (c *silenceableConn) Write(p []byte) (int, error) {
	if c.silenced() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *silenceableConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
