package agent

import (
	"context"
	"sync"
	"time"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/linker"
)

const (
	// answerLimit is the number of answer bytes kept for a reader that lost its
	// session.
	answerLimit = 64 << 10
	// keepTime is how long an answer waits for a reader that lost its session.
	keepTime = 30 * time.Second
	// keptLimit bounds the answers kept for repeated Idempotency-Keys, in bytes.
	keptLimit = 32 << 20
)

// exchange is one admitted request and its answer. The answer is produced by
// one goroutine and read through the attached stream, which can be replaced
// when a session is lost.
type exchange struct {
	life context.Context
	open linker.Open
	// offered is when the request came to the agent.
	offered time.Time

	// flushing holds one token, which the writer to the attached stream takes.
	flushing chan struct{}

	mu       sync.Mutex
	changed  chan struct{}
	stream   *linker.Stream
	admitted bool
	head     *linker.Head
	buffer   []byte
	// base is the position in the answer of the buffer's first byte; sent is
	// the position up to which the attached stream was written.
	base     int64
	sent     int64
	headSent bool
	endSent  bool
	ended    bool
	abort    *plantainrail.Error
	done     bool
}

func newExchange(life context.Context, open linker.Open, st *linker.Stream) *exchange {
	return &exchange{life: life, open: open, offered: time.Now(), stream: st, changed: make(chan struct{}), flushing: make(chan struct{}, 1)}
}

// notify wakes every waiter. The caller holds the lock.
func (e *exchange) notify() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// until waits for ready, which runs with the lock held, or for the context.
func (e *exchange) until(ctx context.Context, ready func() bool) error {
	for {
		e.mu.Lock()
		ok, changed := ready(), e.changed
		e.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (e *exchange) update(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
	e.notify()
}

// delivered tells whether the answer reached its reader or was given up.
func (e *exchange) delivered() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.done
}

// begun tells whether the target's answer has begun.
func (e *exchange) begun() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.head != nil
}

// finish ends the answer; err is nil for a whole one.
func (e *exchange) finish(err *plantainrail.Error) {
	e.update(func() {
		e.ended = true
		e.abort = err
	})
	e.flush(e.life)
}

// append adds answer bytes. While no reader is attached and the buffer is full
// it waits for one.
func (e *exchange) append(ctx context.Context, p []byte) error {
	for len(p) > 0 {
		err := e.until(ctx, func() bool { return len(e.buffer) < answerLimit || e.surplus() > 0 })
		if err != nil {
			return err
		}
		e.mu.Lock()
		e.trim(len(p))
		n := min(len(p), answerLimit-len(e.buffer))
		e.buffer = append(e.buffer, p[:n]...)
		e.mu.Unlock()
		p = p[n:]
		e.flush(ctx)
	}
	return nil
}

// surplus is the number of buffered bytes that the reader has surely had: of
// what was sent, at most a window is still on its way. The caller holds the
// lock.
func (e *exchange) surplus() int64 {
	return e.sent - linker.Window - e.base
}

// trim makes room for n bytes by dropping bytes that the reader has had.
func (e *exchange) trim(n int) {
	over := int64(len(e.buffer) + n - answerLimit)
	drop := min(over, e.surplus())
	if drop <= 0 {
		return
	}
	e.buffer = append(e.buffer[:0:0], e.buffer[drop:]...)
	e.base += drop
}

// attach makes st the answer's reader from the position on.
func (e *exchange) attach(ctx context.Context, st *linker.Stream, received int64, hasHead bool) {
	e.mu.Lock()
	if e.stream != nil {
		e.stream.Drop()
	}
	e.stream = nil
	e.mu.Unlock()
	e.flushing <- struct{}{}
	e.mu.Lock()
	gap := received < e.base || received > e.base+int64(len(e.buffer))
	if !gap {
		e.stream, e.sent, e.headSent, e.endSent = st, received, hasHead, false
	}
	e.notify()
	e.mu.Unlock()
	<-e.flushing
	if gap {
		sendAbort(st, plantainrail.NewError(plantainrail.CodeAnswerCut, "the answer's earlier part is no longer kept"))
		return
	}
	e.flush(ctx)
}

// flush writes what the attached stream has not had. It returns when there is
// nothing left to write or the stream is over.
func (e *exchange) flush(ctx context.Context) {
	select {
	case e.flushing <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-e.flushing }()
	for e.flushOnce(ctx) {
		continue
	}
}

func (e *exchange) flushOnce(ctx context.Context) bool {
	e.mu.Lock()
	st := e.stream
	if st == nil || st.Over() {
		e.stream = nil
		e.mu.Unlock()
		return false
	}
	pending := e.buffer[e.sent-e.base:]
	pending = pending[:min(len(pending), linker.Chunk):min(len(pending), linker.Chunk)]
	frame := linker.Frame{}
	if !e.headSent && e.head != nil {
		frame.Head = e.head
	}
	last := e.ended && e.sent+int64(len(pending)) == e.base+int64(len(e.buffer))
	nothing := frame.Head == nil && len(pending) == 0 && (!last || e.endSent)
	e.mu.Unlock()
	if nothing {
		return false
	}
	return e.writeFrame(ctx, st, frame, pending, last)
}

func (e *exchange) writeFrame(ctx context.Context, st *linker.Stream, frame linker.Frame, pending []byte, last bool) bool {
	data := append([]byte(nil), pending...)
	if len(data) > 0 && !st.Reserve(len(data)) {
		if frame.Head != nil && st.Send(frame) != nil {
			return false
		}
		n, err := st.Write(ctx, data)
		e.update(func() {
			e.headSent = e.headSent || frame.Head != nil
			if e.stream == st {
				e.sent += int64(n)
			}
		})
		return err == nil
	}
	frame.Data = data
	if last {
		e.mu.Lock()
		abort := e.abort
		e.mu.Unlock()
		frame.End = abort == nil
		if abort != nil {
			frame.Abort = &linker.Abort{Err: *abort}
		}
	}
	if st.Send(frame) != nil {
		return false
	}
	e.update(func() {
		if e.stream != st {
			return
		}
		e.headSent = e.headSent || frame.Head != nil
		e.sent += int64(len(data))
		e.endSent = last
	})
	return !last
}

// settle waits until the reader has the whole answer, or until nobody came for
// it in time.
func (e *exchange) settle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, keepTime)
	defer cancel()
	for ctx.Err() == nil {
		e.mu.Lock()
		st, changed, sent := e.stream, e.changed, e.endSent
		e.mu.Unlock()
		if st != nil && sent && st.Settle(ctx) {
			break
		}
		e.mu.Lock()
		if e.stream == st {
			e.stream = nil
		}
		e.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	e.update(func() { e.done = true })
}

// copyTo writes the whole answer to a second reader once it is complete.
func (e *exchange) copyTo(ctx context.Context, st *linker.Stream) {
	if err := e.until(ctx, func() bool { return e.ended }); err != nil {
		return
	}
	e.mu.Lock()
	head, body, base, abort := e.head, e.buffer, e.base, e.abort
	e.mu.Unlock()
	if abort != nil || base > 0 {
		sendAbort(st, plantainrail.NewError(plantainrail.CodeKeyInUse, "request %s ran; its answer is not kept", e.open.ID))
		return
	}
	copied := newExchange(e.life, e.open, st)
	copied.head, copied.buffer, copied.ended = head, body, true
	copied.flush(ctx)
	st.Settle(ctx)
}

func sendAbort(st *linker.Stream, err *plantainrail.Error) {
	_ = st.Send(linker.Frame{Abort: &linker.Abort{Err: *err}})
	st.Forget()
}

// keeper holds ended exchanges whose answers may be asked for again, within a
// bound on their bytes.
type keeper struct {
	byID  map[string]*exchange
	order []string
	bytes int
}

func newKeeper() *keeper {
	return &keeper{byID: map[string]*exchange{}}
}

func (k *keeper) add(e *exchange) {
	k.byID[e.open.ID] = e
	k.order = append(k.order, e.open.ID)
	k.bytes += len(e.buffer)
	for k.bytes > keptLimit {
		old := k.byID[k.order[0]]
		k.order = k.order[1:]
		k.bytes -= len(old.buffer)
		delete(k.byID, old.open.ID)
	}
}
