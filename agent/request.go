package agent

import (
	"context"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/admitter"
	"github.com/plantainrail/plantainrail/charter"
	"github.com/plantainrail/plantainrail/linker"
)

const (
	// maxOverrun is how long after its deadline a request that is not idempotent may still
	// wait for the head of its response. The response is kept, so that the caller can ask
	// for it.
	maxOverrun = 60 * time.Second
	// requestTimeout bounds a request, also an event stream. The caller of an event
	// stream can resume with the ID of the last event.
	requestTimeout = 6 * time.Hour
	// replayTimeout is how long a request with a repeated Idempotency-Key waits for
	// the first request to arrive before the first request is voided.
	replayTimeout = time.Second
	// replayPollInterval is the polling interval of that wait.
	replayPollInterval = 50 * time.Millisecond
)

// Opened implements linker.Handler. It handles a stream that the entry has opened; f is
// the first frame of the stream.
func (h *handler) Opened(st *linker.Stream, f linker.Frame) {
	switch {
	case f.Open != nil:
		h.agent.serve(h.entrySession, st, f)
	case f.Resolve != nil:
		h.agent.resolve(st, *f.Resolve)
	}
}

// serve admits a request, forwards it to its target and delivers the response.
func (a *Agent) serve(l *entrySession, st *linker.Stream, f linker.Frame) {
	e := newExchange(a.lifetime, *f.Open, st)
	decision := a.offer(l, e, !f.End)
	if decision.Err != nil {
		sendAbort(st, decision.Err)
		return
	}
	if !a.awaitSlot(e, st) {
		return
	}
	a.forward(e, st, f.End)
	a.mu.Lock()
	if e.request.Keep {
		a.responses.add(e)
	}
	a.mu.Unlock()
	e.awaitDelivery(a.lifetime)
	a.mu.Lock()
	delete(a.exchanges, e.request.ID)
	a.mu.Unlock()
	st.Forget()
}

// offer admits, queues or rejects a request, and registers its exchange unless it is
// rejected. A request is unfinished if its body has not arrived as a whole.
func (a *Agent) offer(l *entrySession, e *exchange, unfinished bool) admitter.Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if !a.hasRecentAck(l, now) {
		err := plantainrail.NewError(plantainrail.CodeSessionLost, "the agent has not heard from the entry lately")
		return admitter.Decision{State: admitter.RequestRefused, Err: err}
	}
	o := e.request
	decision := a.admitter.Offer(now, &admitter.Request{
		ID: o.ID, Kind: o.Kind, Target: o.Target, Weight: o.Weight, MaxRunning: o.MaxRunning,
		MaxQueued: o.MaxQueued, Feed: o.Feed, Deadline: o.Deadline, Unfinished: unfinished,
	})
	if decision.Err == nil {
		a.exchanges[o.ID] = e
		e.admitted = decision.State == admitter.RequestRunning
	}
	return decision
}

// awaitSlot waits while the request is queued and returns true once it may run. If the
// request was rejected, its deadline has passed or its stream is closed, awaitSlot makes
// sure that the request never starts, aborts the stream and returns false.
func (a *Agent) awaitSlot(e *exchange, st *linker.Stream) bool {
	ctx, cancel := context.WithDeadline(a.lifetime, e.request.Deadline)
	defer cancel()
	waiting := func() bool { return !e.admitted && e.failure == nil && !st.IsClosed() }
	if waiting() {
		go func() {
			<-st.Closed(ctx)
			// Wake waitFor, which then sees that the stream is closed.
			e.update(func() {})
		}()
		_ = e.waitFor(ctx, func() bool { return !waiting() })
	}
	e.mu.Lock()
	admitted, failure := e.admitted, e.failure
	e.mu.Unlock()
	if admitted {
		return true
	}
	// The request may have got a slot after admitted was read; then it can no longer be
	// voided.
	if failure == nil && a.voidRequest(e.request.ID) == admitter.RequestRunning {
		return true
	}
	a.mu.Lock()
	delete(a.exchanges, e.request.ID)
	a.mu.Unlock()
	if failure == nil {
		failure = plantainrail.NewError(plantainrail.CodeDeadlinePassed, "while queued at the agent")
	}
	sendAbort(st, failure)
	return false
}

// voidRequest voids a request unless it runs or has ended, and returns its state.
func (a *Agent) voidRequest(id string) charter.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.admitter.Void(time.Now(), id)
}

// failQueued makes awaitSlot fail with the error for a request that the admitter has
// removed from its queue. The caller holds the lock.
func (a *Agent) failQueued(id string, err *plantainrail.Error) {
	if e, ok := a.exchanges[id]; ok {
		e.update(func() { e.failure = err })
	}
}

// forward sends the request to its target and relays the response. Unless the body is
// complete with the first frame, it lets the entry send the rest.
func (a *Agent) forward(e *exchange, st *linker.Stream, bodyComplete bool) {
	ctx, cancel := a.forwardContext(e, st)
	defer cancel()
	if !bodyComplete {
		st.GrantCredit(linker.StreamWindow)
	}
	o := e.request
	a.mu.Lock()
	address := a.addressOf(o.Target)
	a.mu.Unlock()
	response, sent, err := a.Target.Forward(ctx, plantainrail.TargetRequest{
		Address: address, Method: o.Method, Path: o.Path, Header: o.Header, Length: o.Length,
		Body: &streamReader{ctx, st},
	})
	if err != nil {
		a.forwardFailed(e, sent, err)
		return
	}
	defer response.Body.Close()
	a.recordRequestLatency(e)
	e.update(func() {
		e.head = &linker.Head{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength}
	})
	if err := a.relayResponse(ctx, e, response); err != nil {
		a.finishRequest(e, "fail")
		e.finish(plantainrail.NewError(plantainrail.CodeAnswerCut, "%v", err))
		return
	}
	a.finishRequest(e, "finish")
	e.finish(nil)
}

// forwardContext returns the context for the work at the target. It ends after
// requestTimeout or with the agent, and earlier in these cases:
//   - The deadline passes before the head of the response has arrived. A request that is
//     not idempotent gets maxOverrun more, so that its result can be reported.
//   - The entry closes st, the stream on which it sent an idempotent request. The loss of
//     the session and the closing of a stream that was attached later do not count.
//   - The request is for an event stream and st ends for any reason.
func (a *Agent) forwardContext(e *exchange, st *linker.Stream) (context.Context, context.CancelFunc) {
	o := e.request
	ctx, cancel := context.WithTimeout(a.lifetime, requestTimeout)
	headDeadline := o.Deadline
	if !o.Idempotent {
		headDeadline = headDeadline.Add(maxOverrun)
	}
	timer := time.AfterFunc(time.Until(headDeadline), func() {
		if !e.hasHead() {
			cancel()
		}
	})
	go func() {
		if o.Feed {
			<-st.Closed(ctx)
			cancel()
		}
		if o.Idempotent && st.AwaitClose(ctx) {
			cancel()
		}
	}()
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// addressOf returns the address of a target, or "" if the target has not announced
// itself recently. The caller holds the lock.
func (a *Agent) addressOf(target string) string {
	for _, l := range a.admitter.Loads(time.Now()) {
		if l.Info.Name == target {
			return l.Info.Address
		}
	}
	return ""
}

// forwardFailed ends a request that got no response from the target. If sent is false, no
// byte has reached the target, so the request was certainly not run.
func (a *Agent) forwardFailed(e *exchange, sent bool, err error) {
	a.Log.Info("failed to forward request", zap.String("request", e.request.ID), zap.Bool("sent", sent), zap.Error(err))
	if sent {
		a.finishRequest(e, "fail")
		e.finish(plantainrail.NewError(plantainrail.CodeTargetFailed, "%v", err))
		return
	}
	a.finishRequest(e, "reject")
	e.finish(plantainrail.NewError(plantainrail.CodeTargetRefused, "%v", err))
}

// relayResponse copies the target's response to the exchange. A short response of known
// length is buffered and not sent yet, so that finish sends it in one frame together
// with its head.
func (a *Agent) relayResponse(ctx context.Context, e *exchange, response *http.Response) error {
	size := linker.MaxChunkBytes
	if response.ContentLength >= 0 && response.ContentLength < int64(size) {
		chunk := make([]byte, response.ContentLength)
		if _, err := io.ReadFull(response.Body, chunk); err != nil {
			return err
		}
		e.update(func() { e.buffer = chunk })
		return nil
	}
	e.flush(ctx)
	chunk := make([]byte, size)
	for {
		n, err := response.Body.Read(chunk)
		if n > 0 {
			if err := e.append(ctx, chunk[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// finishRequest applies an event of the state chart in charter/charts/request.json
// ("finish", "fail" or "reject") to the request, which frees its slot, and starts the
// queued requests that now get a slot.
func (a *Agent) finishRequest(e *exchange, event charter.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	started, expired := a.admitter.Finish(time.Now(), e.request.ID, event)
	for _, r := range started {
		if queued, ok := a.exchanges[r.ID]; ok {
			queued.update(func() { queued.admitted = true })
		}
	}
	for _, r := range expired {
		a.failQueued(r.ID, plantainrail.NewError(plantainrail.CodeDeadlinePassed, "while queued at the agent"))
	}
}

// resolve reports the outcome of a request to an entry whose session was lost: the rest
// of the response, that the request will never start, or that its outcome is uncertain.
// A restarted agent knows nothing of earlier requests.
func (a *Agent) resolve(st *linker.Stream, r linker.Resolve) {
	if r.ProcessID != a.processID {
		sendAbort(st, plantainrail.NewError(plantainrail.CodeUncertain, "the agent was restarted since request %s", r.ID))
		return
	}
	if r.CopyOnly {
		a.replayResponse(st, r)
		return
	}
	a.mu.Lock()
	state := a.admitter.Void(time.Now(), r.ID)
	e := a.findExchange(r.ID)
	if state == admitter.RequestVoided && e != nil {
		a.failQueued(r.ID, plantainrail.NewError(plantainrail.CodeVoided, "resolved by the entry"))
	}
	a.mu.Unlock()
	switch {
	case state == admitter.RequestVoided || state == admitter.RequestRefused:
		sendAbort(st, plantainrail.NewError(plantainrail.CodeVoided, "request %s never started", r.ID))
	case e == nil:
		sendAbort(st, plantainrail.NewError(plantainrail.CodeUncertain, "request %s ran; its answer is no longer kept", r.ID))
	default:
		e.attach(a.lifetime, st, r.Received, r.HasHead)
	}
}

// findExchange returns the exchange of a request that is queued or running, or whose
// response is not delivered yet or is cached. Otherwise it returns nil. The caller holds
// the lock.
func (a *Agent) findExchange(id string) *exchange {
	if e, ok := a.exchanges[id]; ok {
		return e
	}
	return a.responses.byID[id]
}

// replayResponse sends the response of the first request with an Idempotency-Key to
// a request that repeats the key. It voids the first request if that does not arrive
// within replayTimeout.
func (a *Agent) replayResponse(st *linker.Stream, r linker.Resolve) {
	giveUpAt := time.Now().Add(replayTimeout)
	for time.Now().Before(giveUpAt) && !a.hasArrived(r.ID) {
		time.Sleep(replayPollInterval)
	}
	a.mu.Lock()
	state, known := a.admitter.State(r.ID)
	if !known {
		state = a.admitter.Void(time.Now(), r.ID)
	}
	e := a.findExchange(r.ID)
	a.mu.Unlock()
	switch {
	case state == admitter.RequestVoided || state == admitter.RequestRefused:
		sendAbort(st, plantainrail.NewError(plantainrail.CodeVoided, "request %s never started", r.ID))
	case e == nil:
		sendAbort(st, plantainrail.NewError(plantainrail.CodeKeyInUse, "request %s ran; its answer is not kept", r.ID))
	default:
		ctx, cancel := context.WithDeadline(a.lifetime, e.request.Deadline.Add(maxOverrun))
		defer cancel()
		e.copyTo(ctx, st)
		st.Forget()
	}
}

// hasArrived reports whether the request was offered or voided here.
func (a *Agent) hasArrived(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.admitter.State(id)
	return ok
}

// streamReader is an io.Reader of a request's body.
type streamReader struct {
	ctx    context.Context
	stream *linker.Stream
}

// Read implements io.Reader.
func (r *streamReader) Read(p []byte) (int, error) {
	return r.stream.Read(r.ctx, p)
}
