// Package forwarder is the adapter to targets: it forwards requests over HTTP
// and tells whether a request may have reached the target.
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
	dialLimit = time.Second
	// idleConnections is the number of idle connections kept to one target.
	idleConnections = 64
	idleLimit       = 30 * time.Second
)

// Dial opens a connection to a target.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Forwarder implements plantainrail.Target.
type Forwarder struct {
	transport *http.Transport
}

// New returns a Forwarder that opens connections with dial; nil means TCP.
func New(dial Dial) *Forwarder {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialLimit}).DialContext
	}
	return &Forwarder{&http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleLimit,
		DisableCompression: true,
	}}
}

// Close drops the idle connections.
func (f *Forwarder) Close() { f.transport.CloseIdleConnections() }

// Forward implements plantainrail.Target. The transport repeats a request on a
// new connection only if the body can be rewound; the body here never can, so
// the target gets the request at most once.
func (f *Forwarder) Forward(ctx context.Context, r plantainrail.TargetRequest) (*http.Response, bool, error) {
	path, err := url.ParseRequestURI(r.Path)
	if err != nil {
		return nil, false, errors.Wrap(err, "path")
	}
	path.Scheme = "http"
	path.Host = r.Address
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	request := &http.Request{
		Method: r.Method, URL: path, Host: r.Address, Header: r.Header,
		Body: io.NopCloser(r.Body), ContentLength: r.Length,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if request.Header == nil {
		request.Header = http.Header{}
	}
	if r.Length == 0 && !repeatable(request) {
		request.Body = http.NoBody
	}
	response, err := f.transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	return response, sent.Load(), err
}

// repeatable tells whether the transport would repeat the request by itself if
// it had no body. Such a request keeps its body, which reads as empty.
func repeatable(r *http.Request) bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return len(r.Header["Idempotency-Key"]) > 0 || len(r.Header["X-Idempotency-Key"]) > 0
}
