package assembler_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// network is a Network in memory whose links can be cut, silenced and slowed.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	links     map[*connection]bool
	faults    map[string]fault
	delay     time.Duration
	next      int
}

type fault int

const (
	healthy fault = iota
	// cut closes the connections of a part and refuses new ones.
	cut
	// silent lets the open connections of a part carry nothing more; new ones work.
	silent
	// deaf lets neither open nor new connections carry anything.
	deaf
)

func newNetwork() *network {
	return &network{listeners: map[string]*listener{}, links: map[*connection]bool{}, faults: map[string]fault{}}
}

type listener struct {
	network *network
	name    string
	address address
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

type address string

func (address) Network() string  { return "tcp" }
func (a address) String() string { return string(a) }

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// reopen lets the next process of a part listen at the same address.
func (n *network) reopen(old *listener) *listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{network: n, name: old.name, address: old.address, accept: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[string(l.address)] = l
	return l
}

func (l *listener) Addr() net.Addr { return l.address }

// Listen implements assembler.Network.
func (n *network) Listen(name string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.next++
	l := &listener{
		network: n, name: name, accept: make(chan net.Conn), closed: make(chan struct{}),
		address: address(fmt.Sprintf("127.0.0.1:%d", 10_000+n.next)),
	}
	n.listeners[string(l.address)] = l
	return l, nil
}

// Dial implements assembler.Network.
func (n *network) Dial(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, to string) (net.Conn, error) {
		n.mu.Lock()
		l := n.listeners[to]
		n.mu.Unlock()
		if l == nil {
			return nil, errors.Errorf("nobody listens at %s", to)
		}
		if n.fault(from, l.name) == cut {
			return nil, errors.Errorf("%s is cut off from %s", from, l.name)
		}
		c := n.connect(from, l)
		select {
		case l.accept <- c.far:
			return c.near, nil
		case <-l.closed:
		case <-ctx.Done():
		}
		c.close()
		return nil, errors.Errorf("%s refused the connection", l.name)
	}
}

func (n *network) fault(a, b string) fault {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(n.faults[a], n.faults[b], n.faults[pair(a, b)], n.faults[pair(b, a)])
}

func pair(a, b string) string { return a + " " + b }

// set puts a fault on every link of a part, or on the links between two parts
// when name is a pair.
func (n *network) set(name string, f fault) {
	n.mu.Lock()
	n.faults[name] = f
	var hit []*connection
	for c := range n.links {
		if c.touches(name) {
			hit = append(hit, c)
		}
	}
	if f == silent {
		n.faults[name] = healthy
	}
	n.mu.Unlock()
	for _, c := range hit {
		switch f {
		case cut:
			c.close()
		case silent:
			c.hush()
		}
	}
}

func (n *network) setDelay(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = d
}

// connection is a pair of pipes with a relay between them.
type connection struct {
	network   *network
	from, to  string
	near, far net.Conn
	innerNear net.Conn
	innerFar  net.Conn
	mu        sync.Mutex
	hushed    bool
	once      sync.Once
}

func (n *network) connect(from string, l *listener) *connection {
	c := &connection{network: n, from: from, to: l.name}
	near, innerNear := net.Pipe()
	far, innerFar := net.Pipe()
	c.near, c.far = named{near, l.address}, named{far, address("127.0.0.1:9")}
	c.innerNear, c.innerFar = innerNear, innerFar
	n.mu.Lock()
	n.links[c] = true
	n.mu.Unlock()
	go c.relay(innerNear, innerFar)
	go c.relay(innerFar, innerNear)
	return c
}

// named is a pipe's end with a loopback address.
type named struct {
	net.Conn
	remote address
}

func (c named) RemoteAddr() net.Addr { return c.remote }

func (c *connection) touches(name string) bool {
	if strings.Contains(name, " ") {
		return name == pair(c.from, c.to) || name == pair(c.to, c.from)
	}
	return c.from == name || c.to == name
}

func (c *connection) relay(from, to net.Conn) {
	defer c.close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		c.network.mu.Lock()
		delay := c.network.delay
		c.network.mu.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		if c.swallows() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (c *connection) swallows() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hushed || c.network.fault(c.from, c.to) == deaf
}

func (c *connection) hush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hushed = true
}

func (c *connection) close() {
	c.once.Do(func() {
		c.network.mu.Lock()
		delete(c.network.links, c)
		c.network.mu.Unlock()
		for _, end := range []io.Closer{c.near, c.far, c.innerNear, c.innerFar} {
			_ = end.Close()
		}
	})
}
