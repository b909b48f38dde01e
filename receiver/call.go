package receiver

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/follower"
	"github.com/plantainrail/plantainrail/linker"
)

// Headers that callers use and that answers carry.
const (
	headerKind      = "X-Kind"
	headerDeadline  = "X-Deadline"
	headerTimeout   = "X-Request-Timeout"
	headerRequestID = "X-Request-Id"
	headerKey       = "Idempotency-Key"
	headerCode      = "X-Result-Code"
	headerOutcome   = "X-Outcome"
	headerReplayed  = "X-Replayed"
)

const (
	maxKeyLength = 255
	// maxTimeout bounds a caller's deadline from its arrival.
	maxTimeout = 24 * time.Hour
)

// hopHeaders concern one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", headerKind, headerDeadline, headerTimeout,
}

// call is one request of a caller.
type call struct {
	id       string
	kind     plantainrail.Kind
	key      string
	arrival  time.Time
	deadline time.Time
	method   string
	path     string
	header   http.Header
	length   int64
	// first is the body's first part; whole tells that it is all of it.
	first []byte
	whole bool
	rest  io.Reader
	// handed counts the attempts so far.
	handed int
	// revision is the table's revision that the call is served under.
	revision int64
	// claimed is the attempt that holds the call's key, or an earlier request
	// that was proved not run and that the next claim replaces.
	claimed string
	// drawn is set once body bytes beyond first were read.
	drawn atomic.Bool
}

func (c *call) consume() { c.drawn.Store(true) }

// consumed tells whether the call can no longer be handed over anew.
func (c *call) consumed() bool { return c.drawn.Load() }

// newCall reads a caller's request up to the body's first part.
func (r *Receiver) newCall(q *http.Request) (*call, *plantainrail.Error) {
	table := r.Table()
	if table.Revision == 0 {
		return nil, plantainrail.NewError(plantainrail.CodeNotReady, "no table is in force")
	}
	c := &call{
		id: follower.NewID(), arrival: time.Now(), method: q.Method, path: q.URL.RequestURI(),
		length: q.ContentLength, rest: q.Body, revision: table.Revision, key: q.Header.Get(headerKey),
	}
	kind, ok := table.KindForPath(q.URL.Path)
	if name := q.Header.Get(headerKind); name != "" {
		kind, ok = table.Kind(name)
	}
	if !ok || kind.Class != plantainrail.ClassLatencyCritical {
		return c, plantainrail.NewError(plantainrail.CodeUnknownKind, "kind %q, path %q", q.Header.Get(headerKind), q.URL.Path)
	}
	c.kind = kind
	if len(c.key) > maxKeyLength {
		return c, plantainrail.NewError(plantainrail.CodeBadRequest, "%s is longer than %d bytes", headerKey, maxKeyLength)
	}
	if err := c.setDeadline(q.Header); err != nil {
		return c, err
	}
	c.header = passedOn(q.Header, c.id)
	return c, c.readFirst()
}

func (c *call) setDeadline(h http.Header) *plantainrail.Error {
	c.deadline = c.kind.Deadline(c.arrival)
	if text := h.Get(headerDeadline); text != "" {
		at, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return plantainrail.NewError(plantainrail.CodeBadRequest, "%s is no RFC 3339 instant", headerDeadline)
		}
		c.deadline = at
	}
	if text := h.Get(headerTimeout); text != "" {
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil || !(seconds >= 0) || seconds > maxTimeout.Seconds() {
			return plantainrail.NewError(plantainrail.CodeBadRequest, "%s is no number of seconds up to a day", headerTimeout)
		}
		c.deadline = c.arrival.Add(time.Duration(seconds * float64(time.Second)))
	}
	if latest := c.arrival.Add(maxTimeout); c.deadline.After(latest) {
		c.deadline = latest
	}
	if !c.deadline.After(c.arrival) {
		return plantainrail.NewError(plantainrail.CodeDeadlinePassed, "on arrival")
	}
	return nil
}

// passedOn copies the headers that the target gets.
func passedOn(from http.Header, id string) http.Header {
	h := from.Clone()
	for _, token := range strings.Split(from.Get("Connection"), ",") {
		h.Del(strings.TrimSpace(token))
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	h.Set(headerRequestID, id)
	return h
}

// readFirst reads the part of the body that travels with the request's head. It
// is kept for a second attempt.
func (c *call) readFirst() *plantainrail.Error {
	if c.length == 0 || c.rest == http.NoBody {
		c.whole = true
		return nil
	}
	size := int64(linker.Chunk)
	if c.length > 0 {
		size = min(size, c.length)
	}
	buffer := make([]byte, size)
	n, err := io.ReadFull(c.rest, buffer)
	c.first = buffer[:n]
	switch {
	case err == io.EOF || err == io.ErrUnexpectedEOF:
		if c.length > int64(n) {
			return plantainrail.NewError(plantainrail.CodeBadRequest, "the body is shorter than its Content-Length")
		}
		c.whole = true
	case err != nil:
		return plantainrail.NewError(plantainrail.CodeBadRequest, "the body could not be read: %v", err)
	default:
		c.whole = c.length == int64(n)
	}
	return nil
}

// open builds the frame that hands the call to an agent.
func (c *call) open(id, target string, unlimited bool) linker.Frame {
	k := c.kind
	queue := k.Queue
	if unlimited {
		queue = 1 << 20
	}
	return linker.Frame{
		Open: &linker.Open{
			ID: id, Kind: k.Name, Target: target, Method: c.method, Path: c.path, Header: c.header,
			Length: c.length, Deadline: c.deadline, Weight: k.Weight, Limit: k.Limit, Queue: queue,
			Feed: k.Feed, Idempotent: k.Idempotent, Keep: c.key != "",
		},
		Data: c.first, End: c.whole,
	}
}
