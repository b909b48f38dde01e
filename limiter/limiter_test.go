package limiter_test

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/limiter"
)

// echo reserves a thousand bytes for each byte of a body.
func echo(w http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(req.Body)
	if err == nil {
		err = limiter.Reserve(req.Context(), int64(len(raw))*1000)
	}
	if limiter.WriteRefusal(w, err) {
		return
	}
	_, _ = fmt.Fprint(w, len(raw))
}

// Guards against refusals that do not reach the client, have the wrong status or are given to lawful
// clients, on a real listener.
func TestRefusalsReachClients(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := limiter.New(limiter.Limits{MemoryBytes: 64 << 20, Descriptors: 1000}, zap.NewNop())
	l.SetOperatorLimits(plantainrail.ClientLimits{MaxHeaderBytes: 4096, MaxBodyBytes: 16 << 10, HeaderTimeout: time.Second, IdleTimeout: 20 * time.Second})
	server := &http.Server{Handler: http.HandlerFunc(echo)}
	limited := l.LimitClients(server, inner)
	go func() { _ = server.Serve(limited) }()
	defer func() { _ = server.Close() }()
	post := func(n int) string { return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", n) }
	for _, row := range []struct {
		name, sent string
		status     int
	}{
		{"ordinary", post(10) + strings.Repeat("x", 10), http.StatusOK},
		{"largest", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 4000) + "\r\n\r\n", http.StatusOK},
		{"header too large", "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 9000), http.StatusRequestHeaderFieldsTooLarge},
		{"header too slow", "GET / HTTP/1.1\r\nX: ", http.StatusRequestTimeout},
		{"body too large", post(16<<10 + 1), http.StatusRequestEntityTooLarge},
		{"too large when decoded", post(16<<10) + strings.Repeat("x", 16<<10), http.StatusRequestEntityTooLarge},
	} {
		t.Run(row.name, func(t *testing.T) {
			c, err := net.Dial("tcp", inner.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			_, err = io.WriteString(c, row.sent)
			assert.NilError(t, err)
			assert.NilError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, row.status)
		})
	}
}

// Guards against long bodies that are refused although they are passed on, and against handlers that do not see that a
// connection is encrypted.
func TestBodiesThatArePassedOn(t *testing.T) {
	certified := httptest.NewTLSServer(nil)
	defer certified.Close()
	l := limiter.New(limiter.Limits{
		MemoryBytes: 64 << 20, Streams: true,
		TLS: &tls.Config{Certificates: certified.TLS.Certificates, NextProtos: []string{"http/1.1"}},
	}, zap.NewNop())
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		n, err := io.Copy(io.Discard, req.Body)
		if limiter.WriteRefusal(w, err) {
			return
		}
		_, _ = fmt.Fprint(w, n, req.TLS != nil)
	})}
	limited := l.LimitClients(server, inner)
	go func() { _ = server.Serve(limited) }()
	defer func() { _ = server.Close() }()
	resp, err := certified.Client().Post("https://"+inner.Addr().String(), "", strings.NewReader(strings.Repeat("x", 4<<20)))
	assert.NilError(t, err)
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(raw), fmt.Sprint(4<<20, true))
}
