// Package limiter keeps clients that are outside our control from ending or hanging a process. It
// bounds the connections, the bytes in flight and the time of each request, and drops the request that
// has made no progress for the longest time when a budget is used up. Ledger makes the decisions and
// does no I/O; Limiter carries them out on the connections of an http.Server.
package limiter

import (
	"crypto/tls"
	"math"
	"runtime/debug"
	"time"

	"github.com/plantainrail/plantainrail"
)

// Fixed bounds, which hold whatever the operators configure. A value outside is moved to the nearer one.
const (
	// minHeaderBytes leaves room for the few header lines of an ordinary call, and maxHeaderBytes
	// bounds what all connections together can make the process parse.
	minHeaderBytes, maxHeaderBytes = 1 << 10, 64 << 10
	// minBodyBytes is more than an ordinary job takes. The copies of a body of maxBodyBytes take a seventh
	// of what large requests get on the smallest entry.
	minBodyBytes, maxBodyBytes = 8 << 10, 1 << 20
	// minTimeout is more than a busy process takes to read what has arrived. maxHeaderTimeout and
	// maxIdleTimeout are twice the longest times in use.
	minTimeout, maxHeaderTimeout, maxIdleTimeout = time.Second, 30 * time.Second, 2 * time.Minute
)

// Limits that apply unless the operators configure others.
const (
	// defaultHeaderBytes and defaultBodyBytes are the largest that the platform's pages name.
	defaultHeaderBytes, defaultBodyBytes = 16 << 10, 256 << 10
	// defaultHeaderTimeout is that of the builds before the limits.
	defaultHeaderTimeout = 10 * time.Second
	// defaultIdleTimeout is four times the example on the platform's pages; the builds before had none.
	defaultIdleTimeout = time.Minute
)

const (
	// bodyTimeout bounds the time for a whole body: ten times the deadline that clients usually state.
	bodyTimeout = 30 * time.Second
	// stallTimeout bounds the time for progressBytes of a body, or for its rest. It is above all pauses
	// of a connection that recovers from lost packets.
	stallTimeout = 10 * time.Second
	// progressBytes is what counts as progress. Single bytes do not, since they cost a client nothing.
	progressBytes = 4 << 10
	// drainTimeout bounds the time from a response until its connection is ready for the next request, and that of a
	// write of a response.
	drainTimeout = 15 * time.Second
	// minStall is how long a request must have made no progress before it is dropped for another one.
	// Less one sweepInterval, by which the time of an event is uncertain, it is above the pauses of a
	// process that gets 0.192 of a core.
	minStall = 750 * time.Millisecond
)

const (
	// filesReserved is the number of descriptors that the platform reserves for files.
	filesReserved = 200
	// ownSockets is the least number of sockets that is kept for the process's own connections. An owner
	// has sessions with up to 700 agents, so it is a quarter of all sockets if that is more.
	ownSockets = 64
	// connectionBytes is what a connection costs at most, besides what the kernel holds unread and unsent: 20 KiB for stacks
	// and buffers of net/http. tlsBytes is what encryption adds: two buffers of a record each, and the handshake.
	connectionBytes, tlsBytes = 20 << 10, 64 << 10
	// receiveBuffer bounds the unread bytes of a connection. The kernel doubles it for its own records.
	// A body of 262,144 bytes still takes less than 0.3 s on a link of 10 Mbit/s and 10 ms.
	receiveBuffer = 16 << 10
	// sendBuffer bounds the bytes of responses that a client has not taken. The kernel doubles it for its own records.
	// Ordinary responses have less than 1 KiB.
	sendBuffer = 4 << 10
	// streamSendBuffer takes the place of sendBuffer where responses are passed on as they arrive. It allows 3 MB/s with a
	// round trip of 10 ms.
	streamSendBuffer = 32 << 10
	// streamBytes is what a body that is passed on takes: a chunk that is kept for another try, one that is being read and
	// their copies in the queue of a session.
	streamBytes = 64 << 10
	// healthConnections is the number of connections kept for the load balancer, which opens one a second.
	healthConnections = 16
	// healthBytes is the byte budget of the health listener, whose requests have no body.
	healthBytes = 1 << 20
	// largeRequest is the cost in bytes from which a request may not use the share that is kept for
	// ordinary ones: ordinary jobs have less than 16 KiB, of which two copies are counted, and few steps.
	largeRequest = 64 << 10
	// pacedBytes is how much of a body is read without regard to others. Ordinary bodies are shorter.
	pacedBytes = 16 << 10
	// bytesPerCore is how many bytes of longer bodies are read in a second for each core of the process.
	// Chunks of one byte take up to 10 ns for each byte sent, so they cost at most a fifth of its share.
	bytesPerCore = 20 << 20
	// unitBytes is the unit in which bytes of a body are reserved.
	unitBytes = 4 << 10
	// bodyCopies is how many times a body is in memory while its buffer grows.
	bodyCopies = 2
	// itemBytes is what a line of a header, or an element of a list in one, takes besides its text: its entry in the map
	// of fields, which doubles as it grows, and the headers of its strings.
	itemBytes = 128
	// freeItems is the number of items that are part of the price of a connection.
	freeItems = 16
)

// Limits are the settings of a process that determine its budgets. The zero value sets only the fixed
// bounds and the default time limits.
type Limits struct {
	// MemoryBytes is the memory above which the process is killed; 0 if unknown.
	MemoryBytes int64
	// Descriptors is the number of file descriptors of the process; 0 if unknown.
	Descriptors int
	// Cores is the share of processors that the process gets; 0 if unknown.
	Cores float64
	// MaxBodyBytes is the largest body if the operators configure none; 0 for the default.
	MaxBodyBytes int64
	// Streams is set if handlers pass bodies on as they arrive. Then a body has neither a largest size nor a time for the
	// whole, and only the time of each read is bounded.
	Streams bool
	// TLS encrypts the connections of clients; nil if they are not encrypted.
	TLS *tls.Config
	// RefusalHeaders are added to each response of the limiter.
	RefusalHeaders map[string]string
}

// Budget is what a process has for its clients.
type Budget struct {
	// Connections is the number of connections.
	Connections int
	// Bytes is the sum of the costs of all requests in flight, and Heap that of the bytes in use by the
	// process and these costs. Large requests get three quarters of each.
	Bytes, Heap int64
	// BodyRate is how many bytes of long bodies are read in a second; 0 if it is not bounded.
	BodyRate int64
}

// RuntimeBytes returns the memory limit for the Go runtime, in bytes: 70 %. The rest is for the program's
// code and for unread bytes in the kernel. It is 0 if the memory is unknown.
func (l Limits) RuntimeBytes() int64 { return l.MemoryBytes / 10 * 7 }

// BoundRuntime sets the memory limit of the Go runtime, if the memory is known.
func (l Limits) BoundRuntime() {
	if l.MemoryBytes > 0 {
		debug.SetMemoryLimit(l.RuntimeBytes())
	}
}

// sendBuffer returns how many bytes of responses the kernel holds for a connection.
func (l Limits) sendBuffer() int64 {
	if l.Streams {
		return streamSendBuffer
	}
	return sendBuffer
}

// connectionBytes returns what a connection costs at most.
func (l Limits) connectionBytes() int64 {
	bytes := connectionBytes + 2*receiveBuffer + 2*l.sendBuffer()
	if l.TLS != nil {
		bytes += tlsBytes
	}
	return bytes
}

// Budget derives the budget. What is unknown is not bounded.
func (l Limits) Budget() Budget {
	b := Budget{Connections: math.MaxInt, Bytes: math.MaxInt64, Heap: math.MaxInt64, BodyRate: int64(l.Cores * bytesPerCore)}
	if l.MemoryBytes > 0 {
		// Bodies get a quarter of the memory, and connections two fifths. Work that does not belong to a
		// request needs the rest; above 85 % of the runtime's limit its garbage collector hardly ends.
		b.Bytes = l.MemoryBytes / 4
		b.Heap = l.RuntimeBytes() / 100 * 85
		b.Connections = int(l.MemoryBytes / 5 * 2 / l.connectionBytes())
	}
	if l.Descriptors > 0 {
		sockets := l.Descriptors - filesReserved
		b.Connections = min(b.Connections, sockets-max(ownSockets, sockets/4))
	}
	// A process with unusable settings still serves one client at a time.
	b.Connections = max(b.Connections, 1)
	return b
}

// Rules are the limits in force for a single request and its connection.
type Rules struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// NewRules returns the limits that the operators have configured, within the fixed bounds. A value that
// is not positive counts as missing. bodyBytes is the largest body if none is configured.
func NewRules(o plantainrail.ClientLimits, bodyBytes int64) Rules {
	return Rules{
		HeaderBytes:   within(o.MaxHeaderBytes, defaultHeaderBytes, minHeaderBytes, maxHeaderBytes),
		BodyBytes:     within(o.MaxBodyBytes, bodyBytes, minBodyBytes, maxBodyBytes),
		HeaderTimeout: within(o.HeaderTimeout, defaultHeaderTimeout, minTimeout, maxHeaderTimeout),
		IdleTimeout:   within(o.IdleTimeout, defaultIdleTimeout, minTimeout, maxIdleTimeout),
	}
}

// within returns a configured value within bounds, or the default if the value is not positive.
func within[T int64 | time.Duration](value, byDefault, least, most T) T {
	if value <= 0 {
		return byDefault
	}
	return min(max(value, least), most)
}
