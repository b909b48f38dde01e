package agent

import (
	"context"
	"sync"
	"time"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/linker"
)

const (
	// maxBufferBytes is the size of the response buffer, from which the entry can
	// resume after the loss of its session.
	maxBufferBytes = 64 << 10
	// reattachTimeout is how long after its end a response may take to be delivered. It
	// leaves the entry time to reattach if the session was lost.
	reattachTimeout = 30 * time.Second
	// maxCacheBytes bounds the total size of the responses that are cached for repeated
	// Idempotency-Keys.
	maxCacheBytes = 32 << 20
)

// exchange is a request and its response. One goroutine produces the response. The
// attached stream carries it to the entry that sent the request. Another
// stream can be attached when the session is lost.
type exchange struct {
	// lifetime is the agent's context, which is cancelled when Agent.Run returns.
	lifetime context.Context
	// request is the frame in which the entry sent the request.
	request linker.Open
	// arrivedAt is when the request reached the agent.
	arrivedAt time.Time

	// flushToken is a semaphore of size one, which the writer to the attached stream
	// holds.
	flushToken chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// changed is closed and replaced by notify.
	changed chan struct{}
	// stream is the attached stream; nil while there is none.
	stream *linker.Stream
	// admitted is set once the request may run.
	admitted bool
	// head is the status and header of the response; nil until they have arrived.
	head   *linker.Head
	buffer []byte
	// bufferStart is the offset in the response of the buffer's first byte. sent is
	// the offset up to which the response was written to the attached stream.
	bufferStart int64
	sent        int64
	// headSent and endSent are set when the head and the end of the response were
	// written to the attached stream. The entry may not have received them yet.
	headSent bool
	endSent  bool
	// ended is set when nothing more is added to the response, which may not have been
	// sent yet; see endSent and done. failure is the reason if the response is incomplete
	// or the request was rejected while it was queued.
	ended   bool
	failure *plantainrail.Error
	// done is set when the entry has received the whole response, or when the agent has
	// given up waiting for that.
	done bool
}

func newExchange(lifetime context.Context, request linker.Open, st *linker.Stream) *exchange {
	return &exchange{lifetime: lifetime, request: request, arrivedAt: time.Now(), stream: st, changed: make(chan struct{}), flushToken: make(chan struct{}, 1)}
}

// notify wakes all waiters. The caller holds the lock.
func (e *exchange) notify() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// waitFor waits until ready returns true or the context ends. It calls ready with
// the lock held.
func (e *exchange) waitFor(ctx context.Context, ready func() bool) error {
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

// update applies a change with the lock held and wakes all waiters.
func (e *exchange) update(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
	e.notify()
}

// isDone reports whether the response was delivered or abandoned.
func (e *exchange) isDone() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.done
}

// hasHead reports whether the head of the target's response has arrived.
func (e *exchange) hasHead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.head != nil
}

// finish marks the end of the response and writes what is pending. A nil err means that
// the response is complete; otherwise err is why it is not.
func (e *exchange) finish(err *plantainrail.Error) {
	e.update(func() {
		e.ended = true
		e.failure = err
	})
	e.flush(e.lifetime)
}

// append adds bytes to the response and writes what is pending. While the buffer is full
// and none of it can be discarded, append waits until the entry has received more. It
// returns the context's error if the context ends first.
func (e *exchange) append(ctx context.Context, p []byte) error {
	for len(p) > 0 {
		err := e.waitFor(ctx, func() bool { return len(e.buffer) < maxBufferBytes || e.discardable() > 0 })
		if err != nil {
			return err
		}
		e.mu.Lock()
		e.discard(len(p))
		n := min(len(p), maxBufferBytes-len(e.buffer))
		e.buffer = append(e.buffer, p[:n]...)
		e.mu.Unlock()
		p = p[n:]
		e.flush(ctx)
	}
	return nil
}

// discardable returns the number of buffered bytes that the entry has certainly
// received: at most one flow-control window of the sent bytes is still in transit.
// The caller holds the lock.
func (e *exchange) discardable() int64 {
	return e.sent - linker.StreamWindow - e.bufferStart
}

// discard drops bytes that the entry has received until n more fit into the buffer or none
// of them is left. It moves the rest to a new array, since writeFrame may be reading the old
// one without the lock. The caller holds the lock.
func (e *exchange) discard(n int) {
	excess := int64(len(e.buffer) + n - maxBufferBytes)
	count := min(excess, e.discardable())
	if count <= 0 {
		return
	}
	e.buffer = append(e.buffer[:0:0], e.buffer[count:]...)
	e.bufferStart += count
}

// attach makes st the stream of the response and continues after the bytes that the
// entry has received. If headReceived is set, the entry has the head as well. attach
// aborts st if the bytes that follow are not in the buffer.
func (e *exchange) attach(ctx context.Context, st *linker.Stream, received int64, headReceived bool) {
	e.mu.Lock()
	if e.stream != nil {
		e.stream.Fail()
	}
	e.stream = nil
	e.mu.Unlock()
	// A writer to the old stream returns soon, since that stream has failed.
	e.flushToken <- struct{}{}
	e.mu.Lock()
	gap := received < e.bufferStart || received > e.bufferStart+int64(len(e.buffer))
	if !gap {
		e.stream, e.sent, e.headSent, e.endSent = st, received, headReceived, false
	}
	e.notify()
	e.mu.Unlock()
	<-e.flushToken
	if gap {
		sendAbort(st, plantainrail.NewError(plantainrail.CodeAnswerCut, "the answer's earlier part is no longer kept"))
		return
	}
	e.flush(ctx)
}

// flush writes the pending part of the response to the attached stream. It returns
// when nothing is pending or the stream has ended.
func (e *exchange) flush(ctx context.Context) {
	select {
	case e.flushToken <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-e.flushToken }()
	for e.flushOnce(ctx) {
		continue
	}
}

// flushOnce writes at most one frame's worth of the response to the attached stream. It
// returns false when nothing is pending, or the stream or the response has ended. The
// caller holds flushToken.
func (e *exchange) flushOnce(ctx context.Context) bool {
	e.mu.Lock()
	st := e.stream
	if st == nil || st.IsClosed() {
		e.stream = nil
		e.mu.Unlock()
		return false
	}
	pending := e.buffer[e.sent-e.bufferStart:]
	pending = pending[:min(len(pending), linker.MaxChunkBytes):min(len(pending), linker.MaxChunkBytes)]
	frame := linker.Frame{}
	if !e.headSent && e.head != nil {
		frame.Head = e.head
	}
	// last means that pending reaches the end of the response.
	last := e.ended && e.sent+int64(len(pending)) == e.bufferStart+int64(len(e.buffer))
	nothingPending := frame.Head == nil && len(pending) == 0 && (!last || e.endSent)
	e.mu.Unlock()
	if nothingPending {
		return false
	}
	return e.writeFrame(ctx, st, frame, pending, last)
}

// writeFrame writes a frame, which may hold the head, and the pending bytes to a stream.
// If last is set, the response ends with these bytes. If the credit does not suffice for
// all bytes at once, the head is sent first, the bytes follow as credit arrives, and the
// end is left to the next call. writeFrame returns false if the stream or the response
// has ended.
func (e *exchange) writeFrame(ctx context.Context, st *linker.Stream, frame linker.Frame, pending []byte, last bool) bool {
	data := append([]byte(nil), pending...)
	if len(data) > 0 && !st.ReserveCredit(len(data)) {
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
		failure := e.failure
		e.mu.Unlock()
		frame.End = failure == nil
		if failure != nil {
			frame.Abort = &linker.Abort{Err: *failure}
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

// awaitDelivery waits until the entry has received the whole response, if necessary on
// another stream, or until reattachTimeout has passed. It then marks the exchange as done
// in either case.
func (e *exchange) awaitDelivery(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reattachTimeout)
	defer cancel()
	for ctx.Err() == nil {
		e.mu.Lock()
		st, changed, endSent := e.stream, e.changed, e.endSent
		e.mu.Unlock()
		if st != nil && endSent && st.AwaitClose(ctx) {
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

// copyTo writes the whole response to a second stream once it has ended, or aborts that
// stream if the response is incomplete or its beginning is no longer buffered.
func (e *exchange) copyTo(ctx context.Context, st *linker.Stream) {
	if err := e.waitFor(ctx, func() bool { return e.ended }); err != nil {
		return
	}
	e.mu.Lock()
	head, body, bufferStart, failure := e.head, e.buffer, e.bufferStart, e.failure
	e.mu.Unlock()
	if failure != nil || bufferStart > 0 {
		sendAbort(st, plantainrail.NewError(plantainrail.CodeKeyInUse, "request %s ran; its answer is not kept", e.request.ID))
		return
	}
	duplicate := newExchange(e.lifetime, e.request, st)
	duplicate.head, duplicate.buffer, duplicate.ended = head, body, true
	duplicate.flush(ctx)
	st.AwaitClose(ctx)
}

// sendAbort ends a stream with an error. The error of Send is ignored: it means that the
// session has ended, which the entry notices too.
func sendAbort(st *linker.Stream, err *plantainrail.Error) {
	_ = st.Send(linker.Frame{Abort: &linker.Abort{Err: *err}})
	st.Forget()
}

// responseCache holds completed exchanges whose responses may be requested again. It
// evicts the oldest ones when their total size exceeds maxCacheBytes. The agent's lock
// guards it.
type responseCache struct {
	byID  map[string]*exchange
	order []string
	bytes int
}

func newResponseCache() *responseCache {
	return &responseCache{byID: map[string]*exchange{}}
}

// add adds an ended exchange and evicts the oldest ones if necessary.
func (c *responseCache) add(e *exchange) {
	c.byID[e.request.ID] = e
	c.order = append(c.order, e.request.ID)
	c.bytes += len(e.buffer)
	for c.bytes > maxCacheBytes {
		oldest := c.byID[c.order[0]]
		c.order = c.order[1:]
		c.bytes -= len(oldest.buffer)
		delete(c.byID, oldest.request.ID)
	}
}
