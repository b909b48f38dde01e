package decider

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/linker"
	"github.com/plantainrail/plantainrail/planner"
)

// hijackHook calls a function before a connection is taken over for a session.
type hijackHook struct {
	http.ResponseWriter
	before func()
}

// Hijack implements http.Hijacker.
func (h hijackHook) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	h.before()
	return http.NewResponseController(h.ResponseWriter).Hijack()
}

// nobody handles no frames.
type nobody struct{}

func (nobody) Frame(*linker.Session, linker.Frame)      {}
func (nobody) Opened(st *linker.Stream, _ linker.Frame) { st.Close() }

// Guards against an agent that is shut out for good (LOST): the ownership ends while its session is being accepted.
func TestSessionIsNotAcceptedAfterTheOwnership(t *testing.T) {
	d := New(Options{Name: "a", Logger: zap.NewNop(), Now: time.Now})
	d.owner = newOwner(d, 7)
	d.owner.planner = planner.New(planner.NewBook(), planner.Timeouts{}, time.Now())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		d.serveSession(hijackHook{w, func() { d.owner.stop("test") }}, req)
	}))
	defer server.Close()
	session, owner, err := Dial(t.Context(), server.Client(), server.Listener.Addr().String())
	assert.NilError(t, err)
	assert.Equal(t, owner.Epoch, int64(7))
	go func() { _ = session.Run(t.Context(), nobody{}) }()
	select {
	case <-session.Done():
		assert.Check(t, !session.Silent())
	case <-time.After(5 * time.Second):
		t.Error("the session is open")
		session.Close()
	}
}
