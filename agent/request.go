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
	// overrun is how long work that is not idempotent may go on past its
	// deadline; its answer is kept for the caller to ask for.
	overrun = 60 * time.Second
	// answerTime bounds the whole work of one request, feeds included; a feed's
	// reader resumes with the ID of the last event.
	answerTime = 6 * time.Hour
	// copyPatience is how long a repeated key waits for the first request to
	// arrive before the first request is voided.
	copyPatience = time.Second
	// copyPoll is the pace of that wait.
	copyPoll = 50 * time.Millisecond
)

// Opened implements linker.Handler.
func (h *handler) Opened(st *linker.Stream, f linker.Frame) {
	switch {
	case f.Open != nil:
		h.agent.serve(h.link, st, f)
	case f.Resolve != nil:
		h.agent.resolve(st, *f.Resolve)
	}
}

// serve takes one request through admission, the target and its answer.
func (a *Agent) serve(l *link, st *linker.Stream, f linker.Frame) {
	e := newExchange(a.life, *f.Open, st)
	decision := a.offer(l, e)
	if decision.Err != nil {
		sendAbort(st, decision.Err)
		return
	}
	if !a.awaitSlot(e, st) {
		return
	}
	a.forward(e, st, f.End)
	a.mu.Lock()
	if e.open.Keep {
		a.kept.add(e)
	}
	a.mu.Unlock()
	e.settle(a.life)
	a.mu.Lock()
	delete(a.exchanges, e.open.ID)
	a.mu.Unlock()
	st.Forget()
}

func (a *Agent) offer(l *link, e *exchange) admitter.Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if !a.valid(l, now) {
		err := plantainrail.NewError(plantainrail.CodeSessionLost, "the agent has not heard from the entry lately")
		return admitter.Decision{State: admitter.RequestRefused, Err: err}
	}
	o := e.open
	decision := a.admitter.Offer(now, &admitter.Request{
		ID: o.ID, Kind: o.Kind, Target: o.Target, Weight: o.Weight, Limit: o.Limit,
		Queue: o.Queue, Feed: o.Feed, Deadline: o.Deadline,
	})
	if decision.Err == nil {
		a.exchanges[o.ID] = e
		e.admitted = decision.State == admitter.RequestRunning
	}
	return decision
}

// awaitSlot waits while the request is queued. It returns false when the
// request was refused or voided instead of run.
func (a *Agent) awaitSlot(e *exchange, st *linker.Stream) bool {
	ctx, cancel := context.WithDeadline(a.life, e.open.Deadline)
	defer cancel()
	waiting := func() bool { return !e.admitted && e.abort == nil && !st.Over() }
	if waiting() {
		go func() {
			<-st.Closed(ctx)
			e.update(func() {})
		}()
		_ = e.until(ctx, func() bool { return !waiting() })
	}
	e.mu.Lock()
	admitted, abort := e.admitted, e.abort
	e.mu.Unlock()
	if admitted {
		return true
	}
	if abort == nil && a.void(e.open.ID) == admitter.RequestRunning {
		return true
	}
	a.mu.Lock()
	delete(a.exchanges, e.open.ID)
	a.mu.Unlock()
	if abort == nil {
		abort = plantainrail.NewError(plantainrail.CodeDeadlinePassed, "while queued at the agent")
	}
	sendAbort(st, abort)
	return false
}

func (a *Agent) void(id string) charter.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.admitter.Void(time.Now(), id)
}

// refuse tells a queued exchange that it does not run. The caller holds the
// lock.
func (a *Agent) refuse(id string, err *plantainrail.Error) {
	if e, ok := a.exchanges[id]; ok {
		e.update(func() { e.abort = err })
	}
}

// forward hands the request to its target and produces the answer.
func (a *Agent) forward(e *exchange, st *linker.Stream, whole bool) {
	ctx, cancel := a.workContext(e, st)
	defer cancel()
	if !whole {
		st.Grant(linker.Window)
	}
	o := e.open
	a.mu.Lock()
	address := a.addressOf(o.Target)
	a.mu.Unlock()
	answer, sent, err := a.Target.Forward(ctx, plantainrail.TargetRequest{
		Address: address, Method: o.Method, Path: o.Path, Header: o.Header, Length: o.Length,
		Body: &streamReader{ctx, st},
	})
	if err != nil {
		a.forwardFailed(e, sent, err)
		return
	}
	defer answer.Body.Close()
	a.noteLatency(e)
	e.update(func() {
		e.head = &linker.Head{Status: answer.StatusCode, Header: answer.Header, Length: answer.ContentLength}
	})
	if err := a.produce(ctx, e, answer); err != nil {
		a.ended(e, "fail")
		e.finish(plantainrail.NewError(plantainrail.CodeAnswerCut, "%v", err))
		return
	}
	a.ended(e, "finish")
	e.finish(nil)
}

// workContext bounds the work at the target. Work that may be repeated is
// stopped at its deadline or when nobody waits for it; other work runs on, so
// that its answer can be told. An answer that has begun is not stopped.
func (a *Agent) workContext(e *exchange, st *linker.Stream) (context.Context, context.CancelFunc) {
	o := e.open
	ctx, cancel := context.WithTimeout(a.life, answerTime)
	limit := o.Deadline
	if !o.Idempotent {
		limit = limit.Add(overrun)
	}
	timer := time.AfterFunc(time.Until(limit), func() {
		if !e.begun() {
			cancel()
		}
	})
	go func() {
		if o.Feed {
			<-st.Closed(ctx)
			cancel()
		}
		if o.Idempotent && st.Settle(ctx) {
			cancel()
		}
	}()
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

func (a *Agent) addressOf(target string) string {
	for _, l := range a.admitter.Loads(time.Now()) {
		if l.Info.Name == target {
			return l.Info.Address
		}
	}
	return ""
}

func (a *Agent) forwardFailed(e *exchange, sent bool, err error) {
	a.Log.Info("forward failed", zap.String("request", e.open.ID), zap.Bool("sent", sent), zap.Error(err))
	if sent {
		a.ended(e, "fail")
		e.finish(plantainrail.NewError(plantainrail.CodeTargetFailed, "%v", err))
		return
	}
	a.ended(e, "reject")
	e.finish(plantainrail.NewError(plantainrail.CodeTargetRefused, "%v", err))
}

// produce copies the target's answer. A short answer of known length is sent
// in one frame with its head.
func (a *Agent) produce(ctx context.Context, e *exchange, answer *http.Response) error {
	size := linker.Chunk
	if answer.ContentLength >= 0 && answer.ContentLength < int64(size) {
		piece := make([]byte, answer.ContentLength)
		if _, err := io.ReadFull(answer.Body, piece); err != nil {
			return err
		}
		e.update(func() { e.buffer = piece })
		return nil
	}
	e.flush(ctx)
	piece := make([]byte, size)
	for {
		n, err := answer.Body.Read(piece)
		if n > 0 {
			if err := e.append(ctx, piece[:n]); err != nil {
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

// ended frees the request's slot and starts those that waited for it.
func (a *Agent) ended(e *exchange, event charter.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	run, refused := a.admitter.Finish(time.Now(), e.open.ID, event)
	for _, r := range run {
		if waiting, ok := a.exchanges[r.ID]; ok {
			waiting.update(func() { waiting.admitted = true })
		}
	}
	for _, r := range refused {
		a.refuse(r.ID, plantainrail.NewError(plantainrail.CodeDeadlinePassed, "while queued at the agent"))
	}
}

// resolve answers what became of a request: its answer from where the reader
// left off, or the proof that it never starts.
func (a *Agent) resolve(st *linker.Stream, r linker.Resolve) {
	if r.Boot != a.boot {
		sendAbort(st, plantainrail.NewError(plantainrail.CodeUncertain, "the agent was restarted since request %s", r.ID))
		return
	}
	if r.Copy {
		a.copyAnswer(st, r)
		return
	}
	a.mu.Lock()
	state := a.admitter.Void(time.Now(), r.ID)
	e := a.find(r.ID)
	if state == admitter.RequestVoided && e != nil {
		a.refuse(r.ID, plantainrail.NewError(plantainrail.CodeVoided, "resolved by the entry"))
	}
	a.mu.Unlock()
	switch {
	case state == admitter.RequestVoided || state == admitter.RequestRefused:
		sendAbort(st, plantainrail.NewError(plantainrail.CodeVoided, "request %s never started", r.ID))
	case e == nil:
		sendAbort(st, plantainrail.NewError(plantainrail.CodeUncertain, "request %s ran; its answer is no longer kept", r.ID))
	default:
		e.attach(a.life, st, r.Received, r.HasHead)
	}
}

func (a *Agent) find(id string) *exchange {
	if e, ok := a.exchanges[id]; ok {
		return e
	}
	return a.kept.byID[id]
}

// copyAnswer gives a repeated key the answer of the first request. A first
// request that does not arrive in time is voided.
func (a *Agent) copyAnswer(st *linker.Stream, r linker.Resolve) {
	patience := time.Now().Add(copyPatience)
	for time.Now().Before(patience) && !a.offered(r.ID) {
		time.Sleep(copyPoll)
	}
	a.mu.Lock()
	state, known := a.admitter.State(r.ID)
	if !known {
		state = a.admitter.Void(time.Now(), r.ID)
	}
	e := a.find(r.ID)
	a.mu.Unlock()
	switch {
	case state == admitter.RequestVoided || state == admitter.RequestRefused:
		sendAbort(st, plantainrail.NewError(plantainrail.CodeVoided, "request %s never started", r.ID))
	case e == nil:
		sendAbort(st, plantainrail.NewError(plantainrail.CodeKeyInUse, "request %s ran; its answer is not kept", r.ID))
	default:
		ctx, cancel := context.WithDeadline(a.life, e.open.Deadline.Add(overrun))
		defer cancel()
		e.copyTo(ctx, st)
		st.Forget()
	}
}

func (a *Agent) offered(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.admitter.State(id)
	return ok
}

// streamReader reads a request's body from its stream.
type streamReader struct {
	ctx    context.Context
	stream *linker.Stream
}

// Read implements io.Reader.
func (r *streamReader) Read(p []byte) (int, error) {
	return r.stream.Read(r.ctx, p)
}
