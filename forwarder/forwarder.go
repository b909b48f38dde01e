// Package forwarder is the adapter to targets, the processes that serve requests. It
// forwards requests for package agent over HTTP, each at most once, and reports whether
// a request may have reached the target.
package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
)

const (
	dialTimeout                 = time.Second
	maxIdleConnectionsPerTarget = 64
	// idleTimeout is how long an idle connection to a target is kept.
	idleTimeout = 30 * time.Second
)

// Dial opens a connection to a target.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Forwarder implements plantainrail.Target.
type Forwarder struct {
	transport *http.Transport
}

// New returns a Forwarder that opens connections with dial, or over TCP if dial is
// nil.
func New(dial Dial) *Forwarder {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Forwarder{&http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: maxIdleConnectionsPerTarget, IdleConnTimeout: idleTimeout,
		DisableCompression: true,
	}}
}

// Close closes the idle connections. Requests in progress continue.
func (f *Forwarder) Close() { f.transport.CloseIdleConnections() }

// Forward implements plantainrail.Target. The bool, named sent in the interface, is true
// if the request was given a connection; if not, the request has certainly not reached
// the target. The transport resends a request on a new connection only if the body can be
// rewound. The body here cannot, so the target receives the request at most once.
func (f *Forwarder) Forward(ctx context.Context, r plantainrail.TargetRequest) (*http.Response, bool, error) {
	targetURL, err := url.ParseRequestURI(r.Path)
	if err != nil {
		return nil, false, errors.Wrap(err, "parse request path")
	}
	targetURL.Scheme = "http"
	targetURL.Host = r.Address
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	request := &http.Request{
		Method: r.Method, URL: targetURL, Host: r.Address, Header: r.Header,
		Body: io.NopCloser(r.Body), ContentLength: r.Length,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if request.Header == nil {
		request.Header = http.Header{}
	}
	if r.Length == 0 && !retriedByTransport(request) {
		request.Body = http.NoBody
	}
	response, err := f.transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	return response, sent.Load(), err
}

// retriedByTransport reports whether the transport would resend the request by
// itself if it had no body: net/http does so for these methods and for requests with
// an idempotency key. To prevent that, Forward keeps the body of such a request even
// if it is empty.
func retriedByTransport(r *http.Request) bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return len(r.Header["Idempotency-Key"]) > 0 || len(r.Header["X-Idempotency-Key"]) > 0
}
