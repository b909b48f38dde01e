package linker

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
)

const (
	// Window is the number of unread body bytes that a stream holds at most.
	Window = 32 << 10
	// Chunk is the largest piece of a body in one frame.
	Chunk = 16 << 10
)

// ErrLost is returned by streams whose session has ended.
var ErrLost = errors.New("session lost")

// Stream is one request or one resolution on a session. One goroutine reads
// from it and one writes to it.
type Stream struct {
	session *Session
	id      uint64

	mu      sync.Mutex
	changed chan struct{}
	head    *Head
	data    []byte
	ended   bool
	abort   *plantainrail.Error
	lost    bool
	closed  bool
	credit  int
	unread  int
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

func (st *Stream) take(f Frame) {
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

func (st *Stream) fail() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.lost = true
	st.notify()
}

// wait blocks until ready returns true, the stream ends, or the context does.
// ready runs with the lock held, and wait returns with the lock held.
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
			return ErrLost
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

// Head waits for the answer's head.
func (st *Stream) Head(ctx context.Context) (*Head, error) {
	err := st.wait(ctx, func() bool { return st.head != nil })
	defer st.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return st.head, nil
}

// Read waits for body bytes. It returns io.EOF only after the explicit end.
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
	st.unread += n
	if st.unread >= Window/2 && !st.ended {
		_ = st.session.Send(Frame{Stream: st.id, Credit: st.unread})
		st.unread = 0
	}
	return n, nil
}

// Grant allows the peer to send the given number of body bytes.
func (st *Stream) Grant(n int) {
	_ = st.session.Send(Frame{Stream: st.id, Credit: n})
}

// Send sends a frame of the stream that takes no credit.
func (st *Stream) Send(f Frame) error {
	f.Stream = st.id
	return st.session.Send(f)
}

// Write sends body bytes as credit allows.
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
		n := min(len(p)-written, st.credit, Chunk)
		st.credit -= n
		st.mu.Unlock()
		piece := append([]byte(nil), p[written:written+n]...)
		if err := st.Send(Frame{Data: piece}); err != nil {
			return written, ErrLost
		}
		written += n
	}
	return written, nil
}

// Reserve takes credit for n body bytes if there is as much.
func (st *Stream) Reserve(n int) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.credit < n {
		return false
	}
	st.credit -= n
	return true
}

// Drop makes the stream fail here, as if its session were lost.
func (st *Stream) Drop() {
	st.Forget()
	st.fail()
}

// Settle waits until the peer closes the stream. It returns false when the
// session was lost or the context ended before.
func (st *Stream) Settle(ctx context.Context) bool {
	err := st.wait(ctx, func() bool { return st.closed })
	st.mu.Unlock()
	return err == nil
}

// AwaitCredit waits until the peer grants credit.
func (st *Stream) AwaitCredit(ctx context.Context) error {
	err := st.wait(ctx, func() bool { return st.credit > 0 || st.closed })
	if err == nil && st.closed {
		err = io.ErrClosedPipe
	}
	st.mu.Unlock()
	return err
}

// Closed returns a channel that is closed when the peer closes the stream or
// the session is lost.
func (st *Stream) Closed(ctx context.Context) <-chan struct{} {
	c := make(chan struct{})
	go func() {
		defer close(c)
		_ = st.wait(ctx, func() bool { return st.closed })
		st.mu.Unlock()
	}()
	return c
}

// Over tells whether the peer closed the stream or the session was lost.
func (st *Stream) Over() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.closed || st.lost
}

// Close tells the peer that nothing more is read, and forgets the stream.
func (st *Stream) Close() {
	_ = st.Send(Frame{Close: true})
	st.Forget()
}

// Forget drops the stream without telling the peer.
func (st *Stream) Forget() { st.session.forget(st.id) }
