package receiver

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
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
	// agentBoot identifies the agent's process that the try was sent to; empty
	// before it was sent.
	agentBoot string
	sentAt    time.Time
	// result is what finish reports to the router.
	result plantainrail.TryResult

	// isReplay is set if the response belongs to an earlier request with the same
	// idempotency key.
	isReplay bool

	stream *linker.Stream
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

// start sends the call to the agent and waits for the response header, which it
// stores in a.head, or for a failure, which it stores in a.err.
func (a *requestTry) start(ctx context.Context) {
	var err error
	if a.stream, err = a.openStream(); err != nil {
		a.err = plantainrail.NewError(plantainrail.CodeSessionLost, "agent %s", a.target.Agent)
		return
	}
	if !a.call.bodyComplete {
		go a.sendBody(ctx, a.stream)
	}
	a.awaitHead(ctx)
}

// openStream opens the stream while it holds the receiver's lock, so that no
// request is sent on the session after the reply to an agent's go-away frame.
func (a *requestTry) openStream() (*linker.Stream, error) {
	frame := a.call.openFrame(a.id, a.target.Info.Name, a.receiver.UnlimitedQueues)
	a.receiver.mu.Lock()
	defer a.receiver.mu.Unlock()
	p, err := a.currentPeer()
	if err != nil || p.draining {
		return nil, linker.ErrClosed
	}
	return p.session.OpenStream(frame)
}

// session returns the agent's session and sets a.agentBoot as currentPeer does.
func (a *requestTry) session() (*linker.Session, error) {
	a.receiver.mu.Lock()
	defer a.receiver.mu.Unlock()
	p, err := a.currentPeer()
	if err != nil {
		return nil, err
	}
	return p.session, nil
}

// currentPeer returns the agent's peer and stores in a.agentBoot which process of
// the agent it belongs to. It returns linker.ErrClosed if the agent is not
// connected or was restarted since a.agentBoot was set. The caller holds the
// receiver's lock.
func (a *requestTry) currentPeer() (*peer, error) {
	p := a.receiver.peers[a.target.Agent]
	if p == nil || (a.agentBoot != "" && p.hello.Boot != a.agentBoot) {
		return nil, linker.ErrClosed
	}
	a.agentBoot = p.hello.Boot
	return p, nil
}

// sendBody streams the rest of the body as the agent grants credit, which it
// does only after it has admitted the request. It returns at the first failure to
// send, which awaitHead notices as well.
func (a *requestTry) sendBody(ctx context.Context, st *linker.Stream) {
	buffer := make([]byte, linker.MaxChunkBytes)
	for {
		if st.AwaitCredit(ctx) != nil {
			return
		}
		a.call.markRestConsumed()
		n, err := a.call.bodyRest.Read(buffer)
		if n > 0 {
			if _, writeErr := st.Write(ctx, buffer[:n]); writeErr != nil {
				return
			}
		}
		if err == io.EOF {
			_ = st.Send(linker.Frame{End: true})
			return
		}
		if err != nil {
			_ = st.Send(linker.Frame{Abort: &linker.Abort{Err: *plantainrail.NewError(plantainrail.CodeBadRequest, "the body broke off")}})
			return
		}
	}
}

// awaitHead waits for the response header and stores it in a.head, or stores the
// failure in a.err. If the session is lost meanwhile, it asks the agent for the
// response again on a new session.
func (a *requestTry) awaitHead(ctx context.Context) {
	for {
		head, err := a.stream.Head(ctx)
		if err == nil {
			a.head = head
			a.hasHead = true
			return
		}
		if !errors.Is(err, linker.ErrStreamLost) {
			a.err = a.streamError(ctx, err)
			a.stream.Close()
			return
		}
		if reattachErr := a.reattach(ctx); reattachErr != nil {
			a.err = reattachErr
			return
		}
	}
}

// streamError converts the error of a stream to an error with a result code.
func (a *requestTry) streamError(ctx context.Context, err error) *plantainrail.Error {
	var coded *plantainrail.Error
	switch {
	case errors.As(err, &coded):
		return coded
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return plantainrail.NewError(plantainrail.CodeLateAnswer, "at target %s", a.target.Info.Name)
	default:
		return plantainrail.NewError(plantainrail.CodeUncertain, "at target %s: %v", a.target.Info.Name, err)
	}
}

// reattach waits until the agent has reconnected, asks it for the state of the
// request on a new stream, and resumes the response where it was interrupted. It
// returns an error if the agent's process was restarted or does not reconnect
// within reconnectTimeout.
func (a *requestTry) reattach(ctx context.Context) *plantainrail.Error {
	if a.call.isRestConsumed() && !a.hasHead && !a.isReplay {
		// The rest of the body was lost with the session. The target cannot have
		// received the whole request, but it may have acted on a part of it.
		return plantainrail.NewError(plantainrail.CodeUncertain, "the session was lost while the body was sent")
	}
	ctx, cancel := context.WithTimeout(ctx, reconnectTimeout)
	defer cancel()
	for ctx.Err() == nil && !a.agentRestarted() {
		session, err := a.session()
		if err == nil {
			a.stream, err = session.OpenStream(linker.Frame{Resolve: &linker.Resolve{ID: a.id, Received: a.receivedBytes, HasHead: a.hasHead, Boot: a.agentBoot, CopyOnly: a.isReplay}})
			if err == nil {
				return nil
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconnectPollInterval):
		}
	}
	return plantainrail.NewError(plantainrail.CodeUncertain, "agent %s did not come back in time", a.target.Agent)
}

// agentRestarted reports whether another process of the agent is connected now.
func (a *requestTry) agentRestarted() bool {
	a.receiver.mu.Lock()
	defer a.receiver.mu.Unlock()
	p := a.receiver.peers[a.target.Agent]
	return p != nil && a.agentBoot != "" && p.hello.Boot != a.agentBoot
}

// read reads the next bytes of the response body into p. If the session is lost,
// it resumes the response on a new one. It returns io.EOF only at the explicit end
// of the response.
func (a *requestTry) read(ctx context.Context, p []byte) (int, error) {
	for {
		n, err := a.stream.Read(ctx, p)
		a.receivedBytes += int64(n)
		if err == nil || err == io.EOF || !errors.Is(err, linker.ErrStreamLost) {
			return n, err
		}
		if reattachErr := a.reattach(ctx); reattachErr != nil {
			return n, reattachErr
		}
	}
}

// finish closes the stream and reports the result of the try to the router, which
// ignores a replay, since it names no target.
func (a *requestTry) finish() {
	if a.cancel != nil {
		a.cancel()
	}
	if a.stream != nil {
		a.stream.Close()
	}
	now := time.Now()
	a.receiver.mu.Lock()
	defer a.receiver.mu.Unlock()
	a.receiver.router.Done(now, a.target.Info.Name, now.Sub(a.sentAt), a.result)
}
