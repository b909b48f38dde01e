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

// network is an in-memory Network whose links can fail, stall, drop data and be
// slowed down.
type network struct {
	mu sync.Mutex
	// listeners holds the listeners by address.
	listeners   map[string]*listener
	connections map[*connection]bool
	// faults holds the faults by the name of a component or of a link.
	faults map[string]fault
	// delay is added to all data in each direction.
	delay time.Duration
	// rate bounds the data of each connection to a component whose name begins with ratedPrefix, in each direction, in
	// bytes a second; 0 means no bound.
	rate        int
	ratedPrefix string
	// listenerCount numbers the ports of the listeners.
	listenerCount int
}

// fault is the state of a link. The faults are ordered: if several apply to a link,
// the largest one counts.
type fault int

const (
	healthy fault = iota
	// down closes the open connections and refuses new ones.
	down
	// stalled drops all further data on the connections that are open when the
	// fault is injected; new ones work.
	stalled
	// requestsStalled and repliesStalled are stalled for what the connections' listeners receive, and for
	// what they send.
	requestsStalled
	repliesStalled
	// repliesHeld keeps the data that listeners send back until the fault ends.
	repliesHeld
	// blackholed drops all data on open and new connections.
	blackholed
)

func newNetwork() *network {
	return &network{listeners: map[string]*listener{}, connections: map[*connection]bool{}, faults: map[string]fault{}}
}

// listener is an in-memory listener of a component.
type listener struct {
	network   *network
	name      string
	address   address
	accept    chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// address is a network address: a host and a port.
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
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// relisten opens a new listener at the address of an old one, for a restarted
// component. It may be called while the old one is still open.
func (n *network) relisten(old *listener) *listener {
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
	n.listenerCount++
	l := &listener{
		network: n, name: name, accept: make(chan net.Conn), closed: make(chan struct{}),
		address: address(fmt.Sprintf("127.0.0.1:%d", 10_000+n.listenerCount)),
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
			return nil, errors.Errorf("connection refused: no listener at %s", to)
		}
		if n.faultBetween(from, l.name) == down {
			return nil, errors.Errorf("connection refused: link from %s to %s is down", from, l.name)
		}
		c := n.connect(from, l)
		select {
		case l.accept <- c.server:
			return c.client, nil
		case <-l.closed:
		case <-ctx.Done():
		}
		c.close()
		return nil, errors.Errorf("%s did not accept the connection", l.name)
	}
}

// faultBetween returns the largest fault of two components and their link. A component
// that is blackholed still reaches the worker on its own VM.
func (n *network) faultBetween(a, b string) fault {
	n.mu.Lock()
	defer n.mu.Unlock()
	component, link := max(n.faults[a], n.faults[b]), max(n.faults[linkName(a, b)], n.faults[linkName(b, a)])
	if sameVM := a+workerSuffix == b || b+workerSuffix == a; sameVM && component == blackholed {
		component = healthy
	}
	return max(component, link)
}

// workerSuffix ends the name of the worker on the VM of the component that the rest of
// the name names.
const workerSuffix = "-worker"

// linkName returns the name of the link between two components for setFault.
func linkName(a, b string) string { return a + " " + b }

// setFault injects a fault on every link of a component, or on the link between
// two components when the name is from linkName. The fault lasts until the next call
// with the same name; healthy ends it. A stalled connection stays stalled.
func (n *network) setFault(name string, f fault) {
	n.mu.Lock()
	n.faults[name] = f
	var affected []*connection
	for c := range n.connections {
		if c.involves(name) {
			affected = append(affected, c)
		}
	}
	if f == stalled || f == requestsStalled || f == repliesStalled {
		// The fault must not apply to new connections.
		n.faults[name] = healthy
	}
	n.mu.Unlock()
	for _, c := range affected {
		switch f {
		case down:
			c.close()
		case stalled, requestsStalled, repliesStalled:
			c.stall(f != repliesStalled, f != requestsStalled)
		}
	}
}

// setDelay sets the delay of all data in each direction.
func (n *network) setDelay(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = d
}

// setRate sets the bound of each connection to the components whose names begin with the prefix, in each direction, in
// bytes a second; 0 means no bound. The store must not be among them, since it holds a lock while it writes.
func (n *network) setRate(prefix string, bytesPerSecond int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ratedPrefix, n.rate = prefix, bytesPerSecond
}

// connection consists of two pipes, one at the client and one at the server. A relay
// in each direction copies data between the pipes and applies the faults and the
// delay.
type connection struct {
	network  *network
	from, to string
	// client and server are the ends that the components use; the other ends of the
	// two pipes are clientRelay and serverRelay.
	client, server net.Conn
	clientRelay    net.Conn
	serverRelay    net.Conn
	// mu guards requestsStalled and repliesStalled.
	mu                              sync.Mutex
	requestsStalled, repliesStalled bool
	closeOnce                       sync.Once
}

// connect opens a connection of the component named from to a listener. The caller
// passes its server end to the listener.
func (n *network) connect(from string, l *listener) *connection {
	c := &connection{network: n, from: from, to: l.name}
	client, clientRelay := net.Pipe()
	server, serverRelay := net.Pipe()
	// The server needs a host and a port of the client, but never connects to them; 9 is
	// the discard port.
	c.client, c.server = addressedConn{client, l.address}, addressedConn{server, address("127.0.0.1:9")}
	c.clientRelay, c.serverRelay = clientRelay, serverRelay
	n.mu.Lock()
	n.connections[c] = true
	n.mu.Unlock()
	go c.relay(clientRelay, serverRelay, false)
	go c.relay(serverRelay, clientRelay, true)
	return c
}

// addressedConn is one end of a pipe with a remote address on loopback, since servers
// and clients expect a host and a port.
type addressedConn struct {
	net.Conn
	remote address
}

func (c addressedConn) RemoteAddr() net.Addr { return c.remote }

// involves reports whether the connection is on the link, or on a link of the
// component, with this name.
func (c *connection) involves(name string) bool {
	if strings.Contains(name, " ") {
		return name == linkName(c.from, c.to) || name == linkName(c.to, c.from)
	}
	return c.from == name || c.to == name
}

// relay copies data in one direction until either end closes, and then closes the
// whole connection.
func (c *connection) relay(source, destination net.Conn, replies bool) {
	defer c.close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := source.Read(buffer)
		if err != nil {
			return
		}
		c.network.mu.Lock()
		delay := c.network.delay
		if rate := c.network.rate; rate > 0 && strings.HasPrefix(c.to, c.network.ratedPrefix) {
			delay += time.Duration(n) * time.Second / time.Duration(rate)
		}
		c.network.mu.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		for replies && c.network.faultBetween(c.from, c.to) == repliesHeld {
			time.Sleep(10 * time.Millisecond)
		}
		if c.dropsData(replies) {
			continue
		}
		if _, err := destination.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// dropsData reports whether the connection is stalled in the direction or its link is blackholed.
func (c *connection) dropsData(replies bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return replies && c.repliesStalled || !replies && c.requestsStalled || c.network.faultBetween(c.from, c.to) == blackholed
}

// stall drops all further data in the directions.
func (c *connection) stall(requests, replies bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestsStalled, c.repliesStalled = c.requestsStalled || requests, c.repliesStalled || replies
}

// close closes both ends and ends the relays.
func (c *connection) close() {
	c.closeOnce.Do(func() {
		c.network.mu.Lock()
		delete(c.network.connections, c)
		c.network.mu.Unlock()
		for _, end := range []io.Closer{c.client, c.server, c.clientRelay, c.serverRelay} {
			_ = end.Close()
		}
	})
}
