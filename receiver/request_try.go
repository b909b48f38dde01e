package receiver

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/limiter"
	"github.com/plantainrail/plantainrail/linker"
)

const (
	// deadlineGrace is how long after the deadline the entry waits for the agent's
	// report, which may show that the request never started.
	deadlineGrace = 150 * time.Millisecond
	// reconnectTimeout bounds the wait for an agent to reconnect.
	reconnectTimeout = 30 * time.Second
	// reconnectPollInterval is how often the entry checks whether an agent has
	// reconnected.
	reconnectPollInterval = 20 * time.Millisecond
)

// requestTry is one try to have a call served by a target.
type requestTry struct {
	receiver *Receiver
	call     *call
	// id is the call's ID followed by the number of the try, or for a replay the ID
	// of the earlier try.
	id     string
	target plantainrail.TargetView
	// agentProcessID identifies the agent's process that handles the try. The first call
	// of currentPeer sets it; for a replay it comes from the claim on the key.
	agentProcessID string
	sentAt         time.Time
	// result is what finish reports to the router.
	result plantainrail.TryResult

	// isReplay is set if the response belongs to an earlier request with the same
	// idempotency key.
	isReplay bool

	stream *linker.Stream
	// bodyEnded is set once the end of the body was sent.
	bodyEnded atomic.Bool
	// cancel ends the context of the try; nil for a replay.
	cancel context.CancelFunc
	// receivedBytes counts the body bytes of the response that have arrived.
	receivedBytes int64
	// head is the status and header of the response, and hasHead is set once it has
	// arrived. If the try fails before that, err is set instead.
	hasHead bool
	head    *linker.Head
	err     *plantainrail.Error
}

// sendAndAwaitHead sends the call to the agent and waits for the response header, which it
// stores in t.head, or for a failure, which it stores in t.err.
func (t *requestTry) sendAndAwaitHead(ctx context.Context) {
	var err error
	if t.stream, err = t.openStream(); err != nil {
		t.err = plantainrail.NewError(plantainrail.CodeSessionLost, "agent %s", t.target.Agent)
		return
	}
	if !t.call.bodyComplete {
		// The target may act on the part that it has got.
		limiter.Commit(ctx)
		go t.sendBody(ctx, t.stream)
	}
	t.awaitHead(ctx)
}

// openStream opens the stream while it holds the receiver's lock, so that no
// request is sent on the session after the reply to an agent's go-away frame.
func (t *requestTry) openStream() (*linker.Stream, error) {
	frame := t.call.openFrame(t.id, t.target.Info.Name, t.receiver.UnlimitedQueues)
	t.receiver.mu.Lock()
	defer t.receiver.mu.Unlock()
	p, err := t.currentPeer()
	if err != nil || p.draining {
		return nil, linker.ErrClosed
	}
	return p.session.OpenStream(frame)
}

// session returns the agent's session and sets t.agentProcessID as currentPeer does.
func (t *requestTry) session() (*linker.Session, error) {
	t.receiver.mu.Lock()
	defer t.receiver.mu.Unlock()
	p, err := t.currentPeer()
	if err != nil {
		return nil, err
	}
	return p.session, nil
}

// currentPeer returns the agent's peer and stores in t.agentProcessID which process
// of the agent it belongs to. It returns linker.ErrClosed if the agent is not
// connected or was restarted since t.agentProcessID was set. The caller holds the
// receiver's lock.
func (t *requestTry) currentPeer() (*peer, error) {
	p := t.receiver.peers[t.target.Agent]
	if p == nil || (t.agentProcessID != "" && p.hello.ProcessID != t.agentProcessID) {
		return nil, linker.ErrClosed
	}
	t.agentProcessID = p.hello.ProcessID
	return p, nil
}

// sendBody streams the rest of the body as the agent grants credit, which it
// does only after it has admitted the request. It returns at the first failure to
// send; awaitHead then handles the failure of the stream.
func (t *requestTry) sendBody(ctx context.Context, st *linker.Stream) {
	buffer := make([]byte, linker.MaxChunkBytes)
	for {
		if st.AwaitCredit(ctx) != nil {
			return
		}
		t.call.markBodyRestReadStarted()
		n, err := t.call.bodyRest.Read(buffer)
		if n > 0 {
			if _, writeErr := st.Write(ctx, buffer[:n]); writeErr != nil {
				return
			}
		}
		if err == io.EOF {
			t.bodyEnded.Store(true)
			_ = st.Send(linker.Frame{End: true})
			return
		}
		if err != nil {
			_ = st.Send(linker.Frame{Abort: bodyBrokenOff()})
			return
		}
	}
}

// bodyBrokenOff returns what tells an agent that the body ends before its end.
func bodyBrokenOff() *linker.Abort {
	return &linker.Abort{Err: *plantainrail.NewError(plantainrail.CodeBadRequest, "the body broke off")}
}

// awaitHead waits for the response header and stores it in t.head, or stores the
// failure in t.err. If the session is lost meanwhile, it asks the agent for the
// response again on a new session.
func (t *requestTry) awaitHead(ctx context.Context) {
	for {
		head, err := t.stream.Head(ctx)
		if err == nil {
			t.head = head
			t.hasHead = true
			return
		}
		if !errors.Is(err, linker.ErrStreamLost) {
			t.err = t.streamError(ctx, err)
			t.closeStream()
			return
		}
		if reattachErr := t.reattach(ctx); reattachErr != nil {
			t.err = reattachErr
			return
		}
	}
}

// streamError converts the error of a stream to an error with a result code.
func (t *requestTry) streamError(ctx context.Context, err error) *plantainrail.Error {
	var coded *plantainrail.Error
	switch {
	case errors.As(err, &coded):
		return coded
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return plantainrail.NewError(plantainrail.CodeLateAnswer, "at target %s", t.target.Info.Name)
	default:
		return plantainrail.NewError(plantainrail.CodeUncertain, "at target %s: %v", t.target.Info.Name, err)
	}
}

// reattach waits until the agent has reconnected, asks it for the state of the
// request on a new stream, and resumes the response where it was interrupted. It
// returns an error if the agent's process was restarted or does not reconnect
// within reconnectTimeout, or if a part of the body may have been lost.
func (t *requestTry) reattach(ctx context.Context) *plantainrail.Error {
	if t.call.hasBodyRestReadStarted() && !t.hasHead && !t.isReplay {
		// A part of the body may have been lost with the session, and it cannot be
		// read from the caller again. The target may have acted on what it received.
		return plantainrail.NewError(plantainrail.CodeUncertain, "the session was lost while the body was sent")
	}
	ctx, cancel := context.WithTimeout(ctx, reconnectTimeout)
	defer cancel()
	for ctx.Err() == nil && !t.agentRestarted() {
		session, err := t.session()
		if err == nil {
			t.stream, err = session.OpenStream(linker.Frame{Resolve: &linker.Resolve{ID: t.id, Received: t.receivedBytes, HasHead: t.hasHead, ProcessID: t.agentProcessID, CopyOnly: t.isReplay}})
			if err == nil {
				return nil
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconnectPollInterval):
		}
	}
	return plantainrail.NewError(plantainrail.CodeUncertain, "agent %s did not come back in time", t.target.Agent)
}

// agentRestarted reports whether another process of the agent is connected now.
func (t *requestTry) agentRestarted() bool {
	t.receiver.mu.Lock()
	defer t.receiver.mu.Unlock()
	p := t.receiver.peers[t.target.Agent]
	return p != nil && t.agentProcessID != "" && p.hello.ProcessID != t.agentProcessID
}

// read reads the next bytes of the response body into p. If the session is lost,
// it resumes the response on a new one. It returns io.EOF only at the explicit end
// of the response.
func (t *requestTry) read(ctx context.Context, p []byte) (int, error) {
	for {
		n, err := t.stream.Read(ctx, p)
		t.receivedBytes += int64(n)
		if err == nil || err == io.EOF || !errors.Is(err, linker.ErrStreamLost) {
			return n, err
		}
		if reattachErr := t.reattach(ctx); reattachErr != nil {
			return n, reattachErr
		}
	}
}

// closeStream closes the stream. A body that is incomplete ends with it, so that a target does not wait for the rest.
func (t *requestTry) closeStream() {
	if !t.isReplay && !t.call.bodyComplete && !t.bodyEnded.Load() {
		_ = t.stream.Send(linker.Frame{Abort: bodyBrokenOff(), Close: true})
	}
	t.stream.Close()
}

// finish closes the stream and reports the result of the try to the router. For a
// replay the name of the target is empty, so the router ignores the result.
func (t *requestTry) finish() {
	if t.cancel != nil {
		t.cancel()
	}
	if t.stream != nil {
		t.closeStream()
	}
	now := time.Now()
	t.receiver.mu.Lock()
	defer t.receiver.mu.Unlock()
	t.receiver.router.Done(now, t.target.Info.Name, now.Sub(t.sentAt), t.result)
}
