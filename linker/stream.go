package linker

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
)

const (
	// StreamWindow is the maximum number of unread body bytes of a stream.
	StreamWindow = 32 << 10
	// MaxChunkBytes is the maximum number of body bytes in one frame.
	MaxChunkBytes = 16 << 10
)

// ErrStreamLost is returned by the methods of a stream that wait, if the session has
// ended or Fail was called, in which case the session may still be open. Its text
// can reach callers in the errors that the agent reports.
var ErrStreamLost = errors.New("session lost")

// Stream is one exchange on a session, opened by Open or Resolve. One goroutine may
// read from it while another one writes to it.
type Stream struct {
	session *Session
	id      uint64

	mu sync.Mutex
	// changed is closed and replaced when any of the fields below changes.
	changed chan struct{}
	head    *Head
	// data holds the body bytes that have arrived and were not read.
	data []byte
	// ended is set when the peer has sent the end of the body.
	ended bool
	abort *plantainrail.Error
	// lost is set when the session has ended or Fail was called.
	lost bool
	// closed is set when the peer reads no more of the stream.
	closed bool
	// credit is the number of body bytes that may be sent.
	credit int
	// uncredited is the number of bytes read for which the peer was not granted new
	// credit yet.
	uncredited int
}

func newStream(s *Session, id uint64) *Stream {
	return &Stream{session: s, id: id, changed: make(chan struct{})}
}

// Session returns the session that carries the stream.
func (st *Stream) Session() *Session { return st.session }

// notify wakes every waiter. The caller holds the lock.
func (st *Stream) notify() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// receive applies a frame of the peer to the stream. Only the first Abort is kept.
func (st *Stream) receive(f Frame) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if f.Head != nil {
		st.head = f.Head
	}
	if len(f.Data) > 0 {
		st.data = append(st.data, f.Data...)
	}
	st.ended = st.ended || f.End
	if f.Abort != nil && st.abort == nil {
		st.abort = &f.Abort.Err
	}
	st.credit += f.Credit
	st.closed = st.closed || f.Close
	st.notify()
}

// markLost makes the methods that wait return ErrStreamLost.
func (st *Stream) markLost() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.lost = true
	st.notify()
}

// wait blocks until ready returns true, the stream is aborted or lost, or the
// context ends. It returns nil only if ready returned true. It takes the lock, calls
// ready with the lock held and returns with the lock held, also after an error.
func (st *Stream) wait(ctx context.Context, ready func() bool) error {
	st.mu.Lock()
	for {
		if ready() {
			return nil
		}
		if st.abort != nil {
			return st.abort
		}
		if st.lost {
			return ErrStreamLost
		}
		changed := st.changed
		st.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			st.mu.Lock()
			return ctx.Err()
		}
		st.mu.Lock()
	}
}

// Head waits for the head of the response: its status and header. Like the other
// methods that wait, it returns a *plantainrail.Error if the peer aborted the stream,
// ErrStreamLost if the session has ended or Fail was called, and the context's error if
// the context ends first.
func (st *Stream) Head(ctx context.Context) (*Head, error) {
	err := st.wait(ctx, func() bool { return st.head != nil })
	defer st.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return st.head, nil
}

// Read waits for body bytes and copies them to p. It returns io.EOF only after the peer
// has sent the end of the body. It grants the peer new credit each time half of
// the window has been read.
func (st *Stream) Read(ctx context.Context, p []byte) (int, error) {
	err := st.wait(ctx, func() bool { return len(st.data) > 0 || st.ended })
	defer st.mu.Unlock()
	if err != nil {
		return 0, err
	}
	if len(st.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, st.data)
	st.data = st.data[n:]
	if len(st.data) == 0 {
		st.data = nil
	}
	st.uncredited += n
	if st.uncredited >= StreamWindow/2 && !st.ended {
		_ = st.session.Send(Frame{Stream: st.id, Credit: st.uncredited})
		st.uncredited = 0
	}
	return n, nil
}

// GrantCredit allows the peer to send n more body bytes. It has no effect if the session
// has ended.
func (st *Stream) GrantCredit(n int) {
	_ = st.session.Send(Frame{Stream: st.id, Credit: n})
}

// Send sends a frame on the stream. It does not consume credit. It returns ErrClosed if
// the session has ended.
func (st *Stream) Send(f Frame) error {
	f.Stream = st.id
	return st.session.Send(f)
}

// Write sends body bytes and waits for credit where needed. It returns
// io.ErrClosedPipe if the peer has closed the stream.
func (st *Stream) Write(ctx context.Context, p []byte) (int, error) {
	written := 0
	for written < len(p) {
		err := st.wait(ctx, func() bool { return st.credit > 0 || st.closed })
		if err != nil || st.closed {
			st.mu.Unlock()
			if err == nil {
				err = io.ErrClosedPipe
			}
			return written, err
		}
		n := min(len(p)-written, st.credit, MaxChunkBytes)
		st.credit -= n
		st.mu.Unlock()
		chunk := append([]byte(nil), p[written:written+n]...)
		if err := st.Send(Frame{Data: chunk}); err != nil {
			return written, ErrStreamLost
		}
		written += n
	}
	return written, nil
}

// ReserveCredit consumes credit for n body bytes and reports whether there was enough.
// If not, it consumes none.
func (st *Stream) ReserveCredit(n int) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.credit < n {
		return false
	}
	st.credit -= n
	return true
}

// Fail makes the stream fail on this side, as if its session were lost. The peer is not
// notified.
func (st *Stream) Fail() {
	st.Forget()
	st.markLost()
}

// AwaitClose waits until the peer closes the stream. It returns true only then, and false
// if the stream was aborted or lost or the context ended first. To wait for any of these
// ends, use Closed.
func (st *Stream) AwaitClose(ctx context.Context) bool {
	err := st.wait(ctx, func() bool { return st.closed })
	st.mu.Unlock()
	return err == nil
}

// AwaitCredit waits until there is credit to send. It returns io.ErrClosedPipe if
// the peer has closed the stream.
func (st *Stream) AwaitCredit(ctx context.Context) error {
	err := st.wait(ctx, func() bool { return st.credit > 0 || st.closed })
	if err == nil && st.closed {
		err = io.ErrClosedPipe
	}
	st.mu.Unlock()
	return err
}

// Closed returns a channel that is closed when the peer closes or aborts the stream, the
// stream is lost or the context ends. The channel does not show which of them happened;
// see AwaitClose.
func (st *Stream) Closed(ctx context.Context) <-chan struct{} {
	c := make(chan struct{})
	go func() {
		defer close(c)
		_ = st.wait(ctx, func() bool { return st.closed })
		st.mu.Unlock()
	}()
	return c
}

// IsClosed reports whether the peer has closed the stream or the stream was lost with
// its session or by Fail. Unlike the channel of Closed, it does not show that the peer
// has aborted the stream.
func (st *Stream) IsClosed() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.closed || st.lost
}

// Close notifies the peer that nothing more is read, and removes the stream from
// the session.
func (st *Stream) Close() {
	_ = st.Send(Frame{Close: true})
	st.Forget()
}

// Forget removes the stream from the session without notifying the peer.
func (st *Stream) Forget() { st.session.forget(st.id) }
