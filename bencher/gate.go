package bencher

import (
	"context"
	"net"
	"sync"

	"github.com/plantainrail/plantainrail/assembler"
)

// gates is TCP on loopback whose open connections can be silenced: something
// between the two ends has lost track of them, while new ones work.
type gates struct {
	assembler.Loopback
	mu   sync.Mutex
	open map[*gate]bool
}

func newGates() *gates { return &gates{open: map[*gate]bool{}} }

// Dial implements assembler.Network. Connections of agents can be silenced.
func (g *gates) Dial(from string) func(context.Context, string, string) (net.Conn, error) {
	dial := g.Loopback.Dial(from)
	if from == "caller" || from == "operator" {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		opened := &gate{Conn: c, gates: g, from: from, to: address}
		g.mu.Lock()
		g.open[opened] = true
		g.mu.Unlock()
		return opened, nil
	}
}

// silence silences the open connections that the filter matches.
func (g *gates) silence(match func(from, to string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.open {
		if match(c.from, c.to) {
			c.silence()
		}
	}
}

// gate is a connection that can be silenced.
type gate struct {
	net.Conn
	gates    *gates
	from, to string
	mu       sync.Mutex
	silent   bool
}

func (c *gate) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

func (c *gate) silenced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// Read drops what arrives on a silenced connection.
func (c *gate) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silenced() {
			return n, err
		}
	}
}

// Write drops what is sent on a silenced connection.
func (c *gate) Write(p []byte) (int, error) {
	if c.silenced() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *gate) Close() error {
	c.gates.mu.Lock()
	delete(c.gates.open, c)
	c.gates.mu.Unlock()
	return c.Conn.Close()
}
