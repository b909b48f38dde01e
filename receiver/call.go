package receiver

import (
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/follower"
	"github.com/plantainrail/plantainrail/limiter"
	"github.com/plantainrail/plantainrail/linker"
)

// Request and response headers of the callers' API.
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
	// maxKeyLength is the maximum length of an Idempotency-Key, in bytes.
	maxKeyLength = 255
	// maxTimeout bounds the time from a request's arrival to its deadline.
	maxTimeout = 24 * time.Hour
)

// unforwardedHeaders are removed from the header of a request or response that the
// entry forwards: they apply to one connection, or tell the entry the kind and the
// deadline of a request.
var unforwardedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", headerKind, headerDeadline, headerTimeout,
}

// call is one request of a caller.
type call struct {
	id   string
	kind plantainrail.Kind
	// key is the Idempotency-Key; empty if the caller sent none.
	key      string
	arrival  time.Time
	deadline time.Time
	method   string
	path     string
	header   http.Header
	// contentLength is the length of the body in bytes; -1 means unknown.
	contentLength int64
	// bodyPrefix is the part of the body that is sent with the request's
	// header. bodyComplete is set if it is the whole body.
	bodyPrefix   []byte
	bodyComplete bool
	// bodyRest reads the part of the body after bodyPrefix, once only.
	bodyRest io.Reader
	// tries counts the tries so far.
	tries int
	// revision is the table revision that was active when the call arrived.
	revision int64
	// claimHolder is the ID of the request that the call's next claim on its
	// key replaces: a try of this call that holds the key, or an earlier request
	// that was proved not to have run. If it is empty, the claim replaces none.
	claimHolder string
	// bodyRestReadStarted is set before the first read of the body after bodyPrefix.
	bodyRestReadStarted atomic.Bool
}

// markBodyRestReadStarted records that a read of bodyRest begins.
func (c *call) markBodyRestReadStarted() { c.bodyRestReadStarted.Store(true) }

// hasBodyRestReadStarted reports whether a read of bodyRest has begun. After that the
// call cannot be tried again, since bodyRest can be read only once.
func (c *call) hasBodyRestReadStarted() bool { return c.bodyRestReadStarted.Load() }

// newCall parses a caller's request and reads the first part of its body. The kind
// is the one that headerKind names, or else the one of the path. If newCall fails
// while a table is active, it returns the call along with the error, so that the
// failure can be recorded under the call's ID.
func (r *Receiver) newCall(w http.ResponseWriter, req *http.Request) (*call, *plantainrail.Error) {
	table := r.Table()
	if table.Revision == 0 {
		return nil, plantainrail.NewError(plantainrail.CodeNotReady, "no table is in force")
	}
	c := &call{
		id: follower.NewID(), arrival: time.Now(), method: req.Method, path: req.URL.RequestURI(),
		contentLength: req.ContentLength, bodyRest: req.Body, revision: table.Revision, key: req.Header.Get(headerKey),
	}
	kind, ok := table.KindForPath(req.URL.Path)
	if name := req.Header.Get(headerKind); name != "" {
		kind, ok = table.Kind(name)
	}
	if !ok || kind.Class != plantainrail.ClassLatencyCritical {
		return c, plantainrail.NewError(plantainrail.CodeUnknownKind, "kind %q, path %q", excerpt(req.Header.Get(headerKind)), excerpt(req.URL.Path))
	}
	c.kind = kind
	if len(c.key) > maxKeyLength {
		return c, plantainrail.NewError(plantainrail.CodeBadRequest, "%s is longer than %d bytes", headerKey, maxKeyLength)
	}
	if err := c.setDeadline(req.Header); err != nil {
		return c, err
	}
	c.header = forwardedHeader(req.Header, c.id)
	return c, c.awaitBodyPrefix(w)
}

// awaitBodyPrefix reads the first part of the body, which has to arrive by the call's deadline. The rest, which a target waits
// for, has to arrive by the time at which the call is given up; readBodyLonger ends that.
func (c *call) awaitBodyPrefix(w http.ResponseWriter) *plantainrail.Error {
	if c.contentLength == 0 {
		return c.readBodyPrefix()
	}
	// A connection without deadlines is bounded by its client alone.
	connection := http.NewResponseController(w)
	_ = connection.SetReadDeadline(c.deadline)
	err := c.readBodyPrefix()
	switch {
	case err != nil:
		// Before it responds, the server reads the rest of the body, no longer than this.
	case c.bodyComplete:
		readBodyLonger(w)
	default:
		_ = connection.SetReadDeadline(c.deadline.Add(deadlineGrace))
	}
	return err
}

// readBodyLonger lets reads of the body go on after the call's deadline.
func readBodyLonger(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
}

// setDeadline sets the deadline from the request's headers, or else to the default
// of the kind. headerTimeout takes precedence over headerDeadline. A later deadline is
// replaced by the latest that maxTimeout allows. It returns an error if a header is
// malformed, if the timeout in headerTimeout is longer than maxTimeout, or if the
// deadline has passed.
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
		// The negated comparison also rejects NaN.
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

// forwardedHeader returns a copy of the request header for the target. It omits
// unforwardedHeaders and the headers that the Connection header lists, and sets the
// call's ID.
func forwardedHeader(from http.Header, id string) http.Header {
	h := from.Clone()
	for _, token := range strings.Split(from.Get("Connection"), ",") {
		h.Del(strings.TrimSpace(token))
	}
	for _, name := range unforwardedHeaders {
		h.Del(name)
	}
	h.Set(headerRequestID, id)
	return h
}

// readBodyPrefix reads the part of the body that is sent with the request's
// header. The call keeps that part, so that each try can send it.
func (c *call) readBodyPrefix() *plantainrail.Error {
	if c.contentLength == 0 || c.bodyRest == http.NoBody {
		c.bodyComplete = true
		return nil
	}
	size := int64(linker.MaxChunkBytes)
	if c.contentLength > 0 {
		size = min(size, c.contentLength)
	}
	buffer := make([]byte, size)
	n, err := io.ReadFull(c.bodyRest, buffer)
	c.bodyPrefix = buffer[:n]
	switch {
	case err == io.EOF || err == io.ErrUnexpectedEOF:
		if c.contentLength > int64(n) {
			return plantainrail.NewError(plantainrail.CodeBadRequest, "the body is shorter than its Content-Length")
		}
		c.bodyComplete = true
	case errors.As(err, new(*limiter.Refusal)):
		return plantainrail.NewError(plantainrail.CodeClientLimited, "%v", err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return plantainrail.NewError(plantainrail.CodeDeadlinePassed, "before the body had arrived")
	case err != nil:
		return plantainrail.NewError(plantainrail.CodeBadRequest, "the body could not be read: %v", err)
	default:
		c.bodyComplete = c.contentLength == int64(n)
	}
	return nil
}

// openFrame returns the frame that sends the call to an agent, as the try with the
// given ID at a target. If unlimited is set, the target's queue has practically no
// bound.
func (c *call) openFrame(id, target string, unlimited bool) linker.Frame {
	k := c.kind
	maxQueued := k.MaxQueued
	if unlimited {
		maxQueued = 1 << 20
	}
	return linker.Frame{
		Open: &linker.Open{
			ID: id, Kind: k.Name, Target: target, Method: c.method, Path: c.path, Header: c.header,
			Length: c.contentLength, Deadline: c.deadline, Weight: k.Weight, MaxRunning: k.MaxRunning, MaxQueued: maxQueued,
			Feed: k.Feed, Idempotent: k.Idempotent, Keep: c.key != "",
		},
		Data: c.bodyPrefix, End: c.bodyComplete,
	}
}
