package linker

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail/charter"
)

const (
	// HeartbeatEvery is the pace of heartbeats.
	HeartbeatEvery = time.Second
	// SilenceLimit is how long a session may be silent before it is given up.
	SilenceLimit = 3 * time.Second
	// writeLimit bounds one write to the connection.
	writeLimit = SilenceLimit
	// messageLimit bounds one message in bytes.
	messageLimit = 8 << 20
	// batchFrames is the number of frames that one message holds at most.
	batchFrames = 64
	// queueLimit bounds the frames that wait to be written; a peer that lets
	// more pile up is given up.
	queueLimit = 1 << 16
)

var sessionChart = charter.MustLoad("session")

// Session states, as the chart names them.
const (
	StateGreeting charter.State = "greeting"
	StateOpen     charter.State = "open"
	StateDraining charter.State = "draining"
	StateClosed   charter.State = "closed"
)

// ErrClosed is returned by calls on a session that has ended.
var ErrClosed = errors.New("session closed")

// Handler takes what arrives on a session. Frame is called in order from one
// goroutine and must not block; Opened runs in a goroutine of its own.
type Handler interface {
	Frame(s *Session, f Frame)
	Opened(st *Stream, f Frame)
}

// Session is one connection between an entry and an agent.
type Session struct {
	connection *websocket.Conn
	cancel     context.CancelFunc
	done       chan struct{}
	heard      atomic.Int64
	started    time.Time

	mu    sync.Mutex
	state charter.State
	queue []Frame
	// unsent counts the frames that are queued or being written.
	unsent  int
	wake    chan struct{}
	streams map[uint64]*Stream
	next    uint64
	sent    int64
	got     int64
}

// New returns a session on an established connection.
func New(connection *websocket.Conn) *Session {
	connection.SetReadLimit(messageLimit)
	state, _ := sessionChart.Next(sessionChart.Initial, "connect")
	return &Session{
		connection: connection, done: make(chan struct{}), started: time.Now(),
		state: state, wake: make(chan struct{}, 1), streams: map[uint64]*Stream{},
	}
}

// Run serves the session until it ends, and returns why it ended.
func (s *Session) Run(ctx context.Context, h Handler) error {
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	s.cancel = cancel
	closed := s.state == StateClosed
	s.mu.Unlock()
	defer cancel()
	if closed {
		return ErrClosed
	}
	s.markHeard()
	go s.write(ctx)
	go s.watch(ctx)
	err := s.read(ctx, h)
	s.shut("fail")
	return err
}

// Done is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.done }

// State returns the session's state.
func (s *Session) State() charter.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Step moves the session by an event of its chart.
func (s *Session) Step(e charter.Event) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, ok := sessionChart.Next(s.state, e)
	s.state = next
	return ok
}

// Heard returns how long ago the last frame arrived.
func (s *Session) Heard() time.Duration {
	return time.Since(s.started) - time.Duration(s.heard.Load())
}

func (s *Session) markHeard() {
	s.heard.Store(int64(time.Since(s.started)))
}

// Send queues a frame. It does not block.
func (s *Session) Send(f Frame) error {
	s.mu.Lock()
	if s.state == StateClosed {
		s.mu.Unlock()
		return ErrClosed
	}
	s.queue = append(s.queue, f)
	s.unsent++
	full := len(s.queue) > queueLimit
	s.mu.Unlock()
	if full {
		s.shut("fail")
		return ErrClosed
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return nil
}

// Close ends the session at once.
func (s *Session) Close() { s.shut("fail") }

func (s *Session) shut(e charter.Event) {
	s.mu.Lock()
	if s.state == StateClosed {
		s.mu.Unlock()
		return
	}
	s.state, _ = sessionChart.Next(s.state, e)
	streams := s.streams
	s.streams = map[uint64]*Stream{}
	cancel := s.cancel
	s.mu.Unlock()
	close(s.done)
	for _, st := range streams {
		st.fail()
	}
	if cancel != nil {
		cancel()
	}
	_ = s.connection.CloseNow()
}

func (s *Session) write(ctx context.Context) {
	var buffer bytes.Buffer
	for {
		frames := s.take()
		if len(frames) == 0 {
			select {
			case <-s.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		buffer.Reset()
		if err := Encode(&buffer, frames); err != nil {
			s.shut("fail")
			return
		}
		if err := s.writeMessage(ctx, buffer.Bytes()); err != nil {
			s.shut("fail")
			return
		}
		s.mu.Lock()
		s.unsent -= len(frames)
		s.mu.Unlock()
	}
}

func (s *Session) writeMessage(ctx context.Context, message []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeLimit)
	defer cancel()
	s.mu.Lock()
	s.sent += int64(len(message))
	s.mu.Unlock()
	return s.connection.Write(ctx, websocket.MessageBinary, message)
}

// Flushed tells whether every frame was written.
func (s *Session) Flushed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unsent == 0 || s.state == StateClosed
}

// Finish ends the session once the peer has read all that was written.
func (s *Session) Finish() {
	_ = s.connection.Close(websocket.StatusNormalClosure, "")
	s.shut("fail")
}

// take removes the next batch of frames from the queue.
func (s *Session) take() []Frame {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.queue), batchFrames)
	frames := s.queue[:n:n]
	s.queue = s.queue[n:]
	return frames
}

func (s *Session) read(ctx context.Context, h Handler) error {
	for {
		_, message, err := s.connection.Read(ctx)
		if err != nil {
			return errors.Wrap(err, "read session")
		}
		s.markHeard()
		s.mu.Lock()
		s.got += int64(len(message))
		s.mu.Unlock()
		frames, err := Decode(message)
		if err != nil {
			return err
		}
		for _, f := range frames {
			s.dispatch(h, f)
		}
	}
}

func (s *Session) dispatch(h Handler, f Frame) {
	if f.Stream == 0 {
		h.Frame(s, f)
		return
	}
	if f.Open != nil || f.Resolve != nil {
		st := newStream(s, f.Stream)
		st.credit = Window
		s.mu.Lock()
		s.streams[f.Stream] = st
		s.mu.Unlock()
		st.take(f)
		go h.Opened(st, f)
		return
	}
	s.mu.Lock()
	st := s.streams[f.Stream]
	s.mu.Unlock()
	if st == nil {
		return
	}
	st.take(f)
	if f.Close {
		s.forget(f.Stream)
	}
}

// watch gives the session up when nothing arrives for too long.
func (s *Session) watch(ctx context.Context) {
	ticker := time.NewTicker(SilenceLimit / 6)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if s.Heard() > SilenceLimit {
				s.shut("silence")
				return
			}
		}
	}
}

// OpenStream opens a stream with its first frame, which holds Open or Resolve.
func (s *Session) OpenStream(f Frame) (*Stream, error) {
	s.mu.Lock()
	if s.state == StateClosed {
		s.mu.Unlock()
		return nil, ErrClosed
	}
	s.next++
	f.Stream = s.next
	st := newStream(s, f.Stream)
	s.streams[f.Stream] = st
	s.mu.Unlock()
	return st, s.Send(f)
}

func (s *Session) forget(id uint64) {
	s.mu.Lock()
	delete(s.streams, id)
	s.mu.Unlock()
}

// Traffic returns the bytes of messages sent and received.
func (s *Session) Traffic() (sent, received int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent, s.got
}
