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
	"github.com/plantainrail/plantainrail/clocker"
)

const (
	// HeartbeatInterval is the interval between heartbeats.
	HeartbeatInterval = time.Second
	// SessionTimeout is how long a session may receive nothing before it is ended.
	SessionTimeout = 3 * time.Second
	// aliveTimeout takes the place of SessionTimeout once the peer has told that it keeps the session
	// alive: it has then sent something every aliveInterval at the latest. That is above the interval
	// at which agents ask for renewals of their leases, which usually are enough.
	aliveTimeout  = 1800 * time.Millisecond
	aliveInterval = 1100 * time.Millisecond
	// readGrace is the time in which what has arrived is read, after a pause of this process.
	readGrace = 50 * time.Millisecond
	// writeTimeout bounds one write to the connection.
	writeTimeout = SessionTimeout
	// maxMessageBytes bounds one received message.
	maxMessageBytes = 8 << 20
	// maxBatchFrames bounds the number of frames in one message.
	maxBatchFrames = 64
	// maxBatchBytes bounds a message of several frames, in bytes. A link of 10 Mbit/s carries it in 0.4 s, well
	// within the silence timeout.
	maxBatchBytes = 512 << 10
	// maxQueuedFrames bounds the frames that wait to be written, and those of SendInOrder that wait. If a slow
	// peer lets more accumulate, the session is ended.
	maxQueuedFrames = 1 << 16
)

var sessionChart = charter.MustLoad("session")

// Session states, named as in the session chart.
const (
	StateGreeting charter.State = "greeting"
	StateOpen     charter.State = "open"
	StateDraining charter.State = "draining"
	StateClosed   charter.State = "closed"
)

// ErrClosed is returned by the methods of Session and by Stream.Send after the session
// has ended. The methods of Stream that wait return ErrStreamLost instead.
var ErrClosed = errors.New("session closed")

// Handler handles the frames that arrive on a session.
type Handler interface {
	// Frame handles a frame of the session itself. It is called in order from one
	// goroutine and must not block.
	Frame(s *Session, f Frame)
	// Opened handles a stream that the peer opened with the frame. It runs in its
	// own goroutine.
	Opened(st *Stream, f Frame)
}

// Session is one connection between an entry and an agent.
type Session struct {
	connection *websocket.Conn
	// cancel ends the context of Run; nil before Run.
	cancel context.CancelFunc
	// done is closed when the session ends.
	done chan struct{}
	// lastReceived is when the last message arrived, in nanoseconds since started.
	lastReceived atomic.Int64
	started      time.Time
	// keepsAlive is set by KeepAlive, peerKeepsAlive once the peer has sent Frame.Alive, and silent if
	// the session has ended because nothing arrived.
	keepsAlive             bool
	peerKeepsAlive, silent atomic.Bool

	mu    sync.Mutex
	state charter.State
	// queue holds the frames that wait to be written.
	queue []Frame
	// parts holds the frames of SendInOrder that wait, and part the one that is to be written next; nil if there is
	// none. sendingParts is set from the first one that waits until the peer has handled the last one.
	parts        []Frame
	part         *Frame
	sendingParts bool
	// unsent counts the frames that are queued or being written.
	unsent int
	// wake has a buffer of one and receives a value when a frame is queued.
	wake chan struct{}
	// partWritten has a buffer of one and receives a value when part was written. partSlots and partsSent are those of
	// ShareParts.
	partWritten, partSlots chan struct{}
	partsSent              func()
	// streams holds the open streams by ID.
	streams map[uint64]*Stream
	// lastStreamID is the ID of the stream that this side opened last.
	lastStreamID  uint64
	sentBytes     int64
	receivedBytes int64
}

// New returns a session on an established connection. Run starts it.
func New(connection *websocket.Conn) *Session {
	connection.SetReadLimit(maxMessageBytes)
	state, _ := sessionChart.Next(sessionChart.Initial, "connect")
	return &Session{
		connection: connection, done: make(chan struct{}), started: time.Now(),
		state: state, wake: make(chan struct{}, 1), partWritten: make(chan struct{}, 1), streams: map[uint64]*Stream{},
	}
}

// KeepAlive makes the session send something every aliveInterval, so that the peer notices early when
// it goes silent. It must be called before Run.
func (s *Session) KeepAlive() {
	s.keepsAlive = true
	// Peers of an earlier build pass over the frame.
	_ = s.Send(Frame{Alive: true})
}

// Silent reports whether the session has ended because nothing arrived.
func (s *Session) Silent() bool { return s.silent.Load() }

// Run serves the session until it ends, and returns the error that ended it. It never
// returns nil.
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
	s.markReceived()
	go s.writeLoop(ctx)
	go s.watchSilence(ctx)
	err := s.readLoop(ctx, h)
	s.end("fail")
	return err
}

// Done returns a channel that is closed when the session ends.
func (s *Session) Done() <-chan struct{} { return s.done }

// State returns the session's state.
func (s *Session) State() charter.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// ApplyEvent applies an event of the session chart to the state, and reports whether the
// chart has a transition for it. Without one the state stays as it is.
func (s *Session) ApplyEvent(e charter.Event) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, ok := sessionChart.Next(s.state, e)
	s.state = next
	return ok
}

// SinceLastMessage returns the time since the last message arrived.
func (s *Session) SinceLastMessage() time.Duration {
	return time.Since(s.started) - time.Duration(s.lastReceived.Load())
}

// markReceived records that a message arrives now.
func (s *Session) markReceived() {
	s.lastReceived.Store(int64(time.Since(s.started)))
}

// Send queues a frame and does not block. If the session has ended or its queue is
// full, which ends it, it returns ErrClosed.
func (s *Session) Send(f Frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.enqueue(f)
}

// enqueue queues a frame for Send. The caller holds the lock.
func (s *Session) enqueue(f Frame) error {
	if s.state == StateClosed {
		return ErrClosed
	}
	s.queue = append(s.queue, f)
	s.unsent++
	if len(s.queue) > maxQueuedFrames {
		go s.end("fail")
		return ErrClosed
	}
	s.wakeWriter()
	return nil
}

// wakeWriter tells writeLoop that there is something to write.
func (s *Session) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Close ends the session immediately. Frames that were not written are dropped. To
// avoid that, wait until Flushed returns true and call CloseGracefully.
func (s *Session) Close() { s.end("fail") }

// end applies the event, which must lead to StateClosed, marks all streams as lost and
// closes the connection. It has no effect on a session that has ended. In the session
// chart, "silence" and "fail" lead to StateClosed; "fail" stands for every end other than
// a silence, also for an intended one.
func (s *Session) end(e charter.Event) {
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
		st.markLost()
	}
	if cancel != nil {
		cancel()
	}
	_ = s.connection.CloseNow()
}

// writeLoop writes the queued frames until the session or the context ends. A frame that
// cannot be encoded or written ends the session.
func (s *Session) writeLoop(ctx context.Context) {
	var buffer bytes.Buffer
	alive := clocker.NewTicker(aliveInterval)
	defer alive.Stop()
	for {
		frames, isPart := s.nextBatch()
		if len(frames) == 0 {
			select {
			case <-s.wake:
			case <-alive.C:
				if s.keepsAlive {
					_ = s.Send(Frame{Alive: true})
				}
			case <-ctx.Done():
				return
			}
			continue
		}
		alive.Reset()
		if err := s.writeFrames(ctx, &buffer, frames); err != nil {
			s.end("fail")
			return
		}
		s.mu.Lock()
		s.unsent -= len(frames)
		s.mu.Unlock()
		if isPart {
			s.partWritten <- struct{}{}
		}
	}
}

// writeFrames writes frames in one message, or in several within maxBatchBytes each. A larger frame is a message of
// its own.
func (s *Session) writeFrames(ctx context.Context, buffer *bytes.Buffer, frames []Frame) error {
	buffer.Reset()
	for i := range frames {
		end := buffer.Len()
		if err := Encode(buffer, frames[i:i+1]); err != nil {
			return err
		}
		if end > 0 && buffer.Len() > maxBatchBytes {
			if err := s.writeMessage(ctx, buffer.Next(end)); err != nil {
				return err
			}
		}
	}
	return s.writeMessage(ctx, buffer.Bytes())
}

// writeMessage writes one message within writeTimeout.
func (s *Session) writeMessage(ctx context.Context, message []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	s.mu.Lock()
	s.sentBytes += int64(len(message))
	s.mu.Unlock()
	return s.connection.Write(ctx, websocket.MessageBinary, message)
}

// Flushed reports whether all queued frames were written or the session has ended.
func (s *Session) Flushed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unsent == 0 || s.state == StateClosed
}

// CloseGracefully ends the session with a closing handshake, so that the peer can read
// everything that was written.
func (s *Session) CloseGracefully() {
	_ = s.connection.Close(websocket.StatusNormalClosure, "")
	// The chart has no event for an intended end; see end.
	s.end("fail")
}

// nextBatch removes the next frames from the queue, at most maxBatchFrames, and returns
// them. If the queue is empty, it returns the next part, if any.
func (s *Session) nextBatch() (frames []Frame, isPart bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 && s.part != nil {
		frames = []Frame{*s.part}
		s.part = nil
		return frames, true
	}
	n := min(len(s.queue), maxBatchFrames)
	frames = s.queue[:n:n]
	s.queue = s.queue[n:]
	return frames, false
}

// readLoop reads messages and dispatches their frames until a read fails or a message
// is invalid, and returns that error.
func (s *Session) readLoop(ctx context.Context, h Handler) error {
	for {
		_, message, err := s.connection.Read(ctx)
		if err != nil {
			return errors.Wrap(err, "read session")
		}
		s.markReceived()
		s.mu.Lock()
		s.receivedBytes += int64(len(message))
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

// dispatch passes a frame of the session to the handler, and a frame of a stream to
// that stream. A frame that opens a stream creates it. Frames of unknown streams are
// ignored, since this side may have removed the stream before they arrived.
func (s *Session) dispatch(h Handler, f Frame) {
	if f.Alive {
		s.peerKeepsAlive.Store(true)
		return
	}
	if f.Stream == 0 {
		h.Frame(s, f)
		return
	}
	if f.Open != nil || f.Resolve != nil {
		st := newStream(s, f.Stream)
		// The peer that opened the stream accepts a full window of body bytes of the
		// response without a Credit frame. The peer itself starts without credit and
		// waits for GrantCredit.
		st.credit = StreamWindow
		s.mu.Lock()
		s.streams[f.Stream] = st
		s.mu.Unlock()
		st.receive(f)
		go h.Opened(st, f)
		return
	}
	s.mu.Lock()
	st := s.streams[f.Stream]
	s.mu.Unlock()
	if st == nil {
		return
	}
	st.receive(f)
	if f.Close {
		s.forget(f.Stream)
	}
}

// watchSilence ends the session when nothing has arrived for the timeout.
func (s *Session) watchSilence(ctx context.Context) {
	for {
		// The peer may tell meanwhile that it keeps the session alive.
		left := min(s.timeout()-s.SinceLastMessage(), aliveTimeout)
		if clocker.Sleep(ctx, max(left, readGrace)) != nil {
			return
		}
		if s.SinceLastMessage() < s.timeout() || clocker.Sleep(ctx, readGrace) != nil || s.SinceLastMessage() < s.timeout() {
			continue
		}
		s.silent.Store(true)
		s.end("silence")
		return
	}
}

// timeout returns how long the session may receive nothing.
func (s *Session) timeout() time.Duration {
	if s.peerKeepsAlive.Load() {
		return aliveTimeout
	}
	return SessionTimeout
}

// OpenStream opens a stream by sending its first frame, in which Open or Resolve is
// set. It returns ErrClosed if the session has ended.
func (s *Session) OpenStream(f Frame) (*Stream, error) {
	s.mu.Lock()
	if s.state == StateClosed {
		s.mu.Unlock()
		return nil, ErrClosed
	}
	s.lastStreamID++
	f.Stream = s.lastStreamID
	st := newStream(s, f.Stream)
	s.streams[f.Stream] = st
	s.mu.Unlock()
	return st, s.Send(f)
}

// forget removes the stream with the ID from the session.
func (s *Session) forget(id uint64) {
	s.mu.Lock()
	delete(s.streams, id)
	s.mu.Unlock()
}

// ByteCounts returns the number of message bytes sent and received.
func (s *Session) ByteCounts() (sent, received int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sentBytes, s.receivedBytes
}
