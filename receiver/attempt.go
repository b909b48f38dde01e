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
	// deadlineGrace is how long after the deadline the entry waits for the
	// agent to report on a request that may never have started.
	deadlineGrace = 150 * time.Millisecond
	// reconnectTimeout bounds the wait for an agent to reconnect.
	reconnectTimeout = 30 * time.Second
	// reconnectPollInterval is how often the entry checks whether an agent has
	// reconnected.
	reconnectPollInterval = 20 * time.Millisecond
)

// attempt is one attempt to have a call served by a target.
type attempt struct {
	receiver *Receiver
	call     *call
	id       string
	target   plantainrail.TargetView
	// agentBoot names the agent process that the attempt was sent to.
	agentBoot string
	sentAt    time.Time
	result    plantainrail.Result

	// replay is set if the response belongs to an earlier request with the same
	// idempotency key.
	replay bool

	stream *linker.Stream
	cancel context.CancelFunc
	// receivedBytes counts the body bytes of the response that have arrived;
	// hasHead is set once its header has arrived.
	receivedBytes int64
	hasHead       bool
	head          *linker.Head
	err           *plantainrail.Error
}

// start sends the call to the agent and waits for the response header or a
// failure.
func (a *attempt) start(ctx context.Context) {
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
func (a *attempt) openStream() (*linker.Stream, error) {
	frame := a.call.openFrame(a.id, a.target.Info.Name, a.receiver.UnlimitedQueues)
	a.receiver.mu.Lock()
	defer a.receiver.mu.Unlock()
	p, err := a.peer()
	if err != nil || p.draining {
		return nil, linker.ErrClosed
	}
	return p.session.OpenStream(frame)
}

func (a *attempt) session() (*linker.Session, error) {
	a.receiver.mu.Lock()
	defer a.receiver.mu.Unlock()
	p, err := a.peer()
	if err != nil {
		return nil, err
	}
	return p.session, nil
}

// peer returns the agent's session and records which process of the agent holds
// it. It fails if the agent has been restarted since the first call. The caller
// holds the receiver's lock.
func (a *attempt) peer() (*peer, error) {
	p := a.receiver.peers[a.target.Agent]
	if p == nil || (a.agentBoot != "" && p.hello.Boot != a.agentBoot) {
		return nil, linker.ErrClosed
	}
	a.agentBoot = p.hello.Boot
	return p, nil
}

// sendBody streams the rest of the body as the agent grants credit, which it
// does only after it has admitted the request.
func (a *attempt) sendBody(ctx context.Context, st *linker.Stream) {
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

func (a *attempt) awaitHead(ctx context.Context) {
	for {
		head, err := a.stream.Head(ctx)
		if err == nil {
			a.head = head
			a.hasHead = true
			return
		}
		if !errors.Is(err, linker.ErrSessionLost) {
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
func (a *attempt) streamError(ctx context.Context, err error) *plantainrail.Error {
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
// request, and resumes the response where it was interrupted.
func (a *attempt) reattach(ctx context.Context) *plantainrail.Error {
	if a.call.isRestConsumed() && !a.hasHead && !a.replay {
		// The rest of the body was lost with the session. The target cannot have
		// received the whole request, but it may have acted on a part of it.
		return plantainrail.NewError(plantainrail.CodeUncertain, "the session was lost while the body was sent")
	}
	ctx, cancel := context.WithTimeout(ctx, reconnectTimeout)
	defer cancel()
	for ctx.Err() == nil && !a.agentRestarted() {
		session, err := a.session()
		if err == nil {
			a.stream, err = session.OpenStream(linker.Frame{Resolve: &linker.Resolve{ID: a.id, Received: a.receivedBytes, HasHead: a.hasHead, Boot: a.agentBoot, CopyOnly: a.replay}})
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
func (a *attempt) agentRestarted() bool {
	a.receiver.mu.Lock()
	defer a.receiver.mu.Unlock()
	p := a.receiver.peers[a.target.Agent]
	return p != nil && a.agentBoot != "" && p.hello.Boot != a.agentBoot
}

// read returns the next bytes of the response body, and io.EOF only at the
// explicit end of the response.
func (a *attempt) read(ctx context.Context, p []byte) (int, error) {
	for {
		n, err := a.stream.Read(ctx, p)
		a.receivedBytes += int64(n)
		if err == nil || err == io.EOF || !errors.Is(err, linker.ErrSessionLost) {
			return n, err
		}
		if reattachErr := a.reattach(ctx); reattachErr != nil {
			return n, reattachErr
		}
	}
}

// finish closes the stream and reports the result of the attempt to the router.
func (a *attempt) finish() {
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
