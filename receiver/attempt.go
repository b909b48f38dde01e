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
	// verdictGrace is how long after the deadline the entry waits for the
	// agent's word on a request that may never have started.
	verdictGrace = 150 * time.Millisecond
	// returnLimit is how long an agent's return is waited for.
	returnLimit = 30 * time.Second
	// returnPoll is the pace at which an agent's return is looked for.
	returnPoll = 20 * time.Millisecond
)

// attempt is one hand-over of a call to a target.
type attempt struct {
	receiver *Receiver
	call     *call
	id       string
	target   plantainrail.TargetView
	boot     string
	sent     time.Time
	result   plantainrail.Result

	// copying is set when the answer belongs to an earlier request.
	copying bool

	stream *linker.Stream
	cancel context.CancelFunc
	// received counts the answer's body bytes; hasHead is set with its head.
	received int64
	hasHead  bool
	head     *linker.Head
	err      *plantainrail.Error
}

// start hands the call over and waits for the answer's head or a failure.
func (a *attempt) start(ctx context.Context) {
	var err error
	if a.stream, err = a.handOver(); err != nil {
		a.err = plantainrail.NewError(plantainrail.CodeSessionLost, "agent %s", a.target.Agent)
		return
	}
	if !a.call.whole {
		go a.sendBody(ctx, a.stream)
	}
	a.awaitHead(ctx)
}

// handOver opens the stream under the receiver's lock, so that nothing follows
// the answer to an agent's go-away.
func (a *attempt) handOver() (*linker.Stream, error) {
	frame := a.call.open(a.id, a.target.Info.Name, a.receiver.Unlimited)
	a.receiver.mu.Lock()
	defer a.receiver.mu.Unlock()
	p, err := a.peer()
	if err != nil || p.stopping {
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

// peer finds the agent's session and notes which process of the agent has it. It
// fails when another process has come since. The caller holds the receiver's
// lock.
func (a *attempt) peer() (*peer, error) {
	p := a.receiver.peers[a.target.Agent]
	if p == nil || (a.boot != "" && p.hello.Boot != a.boot) {
		return nil, linker.ErrClosed
	}
	a.boot = p.hello.Boot
	return p, nil
}

// sendBody streams the rest of the body as the agent grants credit, which it
// does only after the request was admitted.
func (a *attempt) sendBody(ctx context.Context, st *linker.Stream) {
	buffer := make([]byte, linker.Chunk)
	for {
		if st.AwaitCredit(ctx) != nil {
			return
		}
		a.call.consume()
		n, err := a.call.rest.Read(buffer)
		if n > 0 {
			if _, werr := st.Write(ctx, buffer[:n]); werr != nil {
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
		if !errors.Is(err, linker.ErrLost) {
			a.err = a.explain(ctx, err)
			a.stream.Close()
			return
		}
		if rerr := a.reattach(ctx); rerr != nil {
			a.err = rerr
			return
		}
	}
}

// explain turns a stream's failure into a result code.
func (a *attempt) explain(ctx context.Context, err error) *plantainrail.Error {
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

// reattach asks the agent, once it is back, what became of the request, and
// goes on reading the answer where it broke off.
func (a *attempt) reattach(ctx context.Context) *plantainrail.Error {
	if a.call.consumed() && !a.hasHead && !a.copying {
		// The rest of the body went with the lost session; the target cannot
		// have had a whole request, but it may have acted on a part.
		return plantainrail.NewError(plantainrail.CodeUncertain, "the session was lost while the body was sent")
	}
	ctx, cancel := context.WithTimeout(ctx, returnLimit)
	defer cancel()
	for ctx.Err() == nil && !a.restarted() {
		session, err := a.session()
		if err == nil {
			a.stream, err = session.OpenStream(linker.Frame{Resolve: &linker.Resolve{ID: a.id, Received: a.received, HasHead: a.hasHead, Boot: a.boot, Copy: a.copying}})
			if err == nil {
				return nil
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(returnPoll):
		}
	}
	return plantainrail.NewError(plantainrail.CodeUncertain, "agent %s did not come back in time", a.target.Agent)
}

// restarted tells whether another process of the agent has come instead.
func (a *attempt) restarted() bool {
	a.receiver.mu.Lock()
	defer a.receiver.mu.Unlock()
	p := a.receiver.peers[a.target.Agent]
	return p != nil && a.boot != "" && p.hello.Boot != a.boot
}

// read returns the answer's next bytes, and io.EOF only at its explicit end.
func (a *attempt) read(ctx context.Context, p []byte) (int, error) {
	for {
		n, err := a.stream.Read(ctx, p)
		a.received += int64(n)
		if err == nil || err == io.EOF || !errors.Is(err, linker.ErrLost) {
			return n, err
		}
		if rerr := a.reattach(ctx); rerr != nil {
			return n, rerr
		}
	}
}

// finish closes the stream and tells the router how the attempt went.
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
	a.receiver.router.Done(now, a.target.Info.Name, now.Sub(a.sent), a.result)
}
