package receiver

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/linker"
)

// maxAttempts bounds the attempts of one call, counting retries and hedged
// requests.
const maxAttempts = 4

// serveCaller handles one request of a caller.
func (r *Receiver) serveCaller(w http.ResponseWriter, req *http.Request) {
	if r.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	c, err := r.newCall(req)
	if c != nil {
		w.Header().Set(headerRequestID, c.id)
		r.requestTraces.add(c)
	}
	if err != nil {
		r.failCall(w, c, err)
		return
	}
	ctx, cancel := context.WithDeadline(req.Context(), c.deadline.Add(deadlineGrace))
	defer cancel()
	winner, replayed, err := r.runAttempts(ctx, c)
	if err != nil {
		r.failCall(w, c, err)
		return
	}
	if replayed {
		w.Header().Set(headerReplayed, "yes")
	}
	defer winner.finish()
	// A response that has started may continue past the deadline, so it is
	// bound to the caller's own context.
	r.streamResponse(req.Context(), w, c, winner)
}

// failCall records the failure of a call that got no response from a target and
// sends the error to the caller.
func (r *Receiver) failCall(w http.ResponseWriter, c *call, err *plantainrail.Error) {
	if c != nil {
		r.requestTraces.addEvent(c.id, RequestEvent{Event: "failed", Code: err.Code, Detail: err.Detail, At: time.Now()})
		r.metrics.failed(c.kind.Name, err)
		r.burn.record(time.Now(), c.kind, false)
		r.Logger.Debug("request failed", zap.String("request", c.id), zap.Int("code", int(err.Code)))
	}
	r.writeError(w, err)
}

// ErrorResponse is the JSON body of an error response.
type ErrorResponse struct {
	Code    plantainrail.Code    `json:"code"`
	Name    string               `json:"name"`
	Message string               `json:"message"`
	Outcome plantainrail.Outcome `json:"outcome"`
	Action  string               `json:"action"`
	// Problems lists the invalid cells of a rejected table.
	Problems any `json:"problems,omitempty"`
}

func (r *Receiver) writeError(w http.ResponseWriter, err *plantainrail.Error) {
	writeErrorResponse(w, err, nil)
}

func writeErrorResponse(w http.ResponseWriter, err *plantainrail.Error, problems any) {
	info := err.Code.Info()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerCode, strconv.Itoa(int(err.Code)))
	w.Header().Set(headerOutcome, string(info.Outcome))
	if info.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(info.Status)
	_ = json.NewEncoder(w).Encode(ErrorResponse{err.Code, info.Name, err.Error(), info.Outcome, info.Action, problems})
}

// runAttempts starts attempts until one returns the header of a response. A
// failed attempt is retried if it was proved not to have run or if the kind is
// idempotent; a slow attempt of an idempotent kind is hedged. Retries and
// hedged requests spend the same budget. The second result reports whether the
// response was replayed from an earlier request with the same key.
func (r *Receiver) runAttempts(ctx context.Context, c *call) (*attempt, bool, *plantainrail.Error) {
	if c.needsClaim() {
		if a, err := r.replay(ctx, c); a != nil || err != nil {
			return a, a != nil, err
		}
	}
	group := &attemptGroup{receiver: r, call: c, results: make(chan *attempt, maxAttempts), excluded: map[string]bool{}}
	defer group.cancelRemaining()
	if a, err := group.startAttempt(ctx); a != nil || err != nil {
		return a, a != nil, err
	}
	hedge := group.hedgeTimer()
	for {
		select {
		case a := <-group.results:
			group.remove(a)
			if a.err == nil {
				return a, false, nil
			}
			if other, err := group.handleFailure(ctx, a); other != nil || err != nil {
				return other, other != nil, err
			}
		case <-hedge:
			hedge = nil
			if group.allowHedge() {
				_, _ = group.startAttempt(ctx)
			}
		}
	}
}

// attemptGroup holds the running attempts of one call.
type attemptGroup struct {
	receiver *Receiver
	call     *call
	results  chan *attempt
	running  []*attempt
	// excluded holds the names of the targets that were tried.
	excluded map[string]bool
	// finalErr is the error for the caller if no attempt succeeds.
	finalErr *plantainrail.Error
}

// startAttempt picks a target and starts an attempt there. For a call that
// needs a claim on its idempotency key it claims the key first; if another
// request holds the key, it returns an attempt that reads that request's
// response.
func (g *attemptGroup) startAttempt(ctx context.Context) (*attempt, *plantainrail.Error) {
	r, c := g.receiver, g.call
	now := time.Now()
	r.mu.Lock()
	target, ok := r.router.Pick(now, c.kind.Name, g.excluded)
	r.mu.Unlock()
	if !ok {
		return nil, plantainrail.NewError(plantainrail.CodeNoTarget, "kind %s", c.kind.Name)
	}
	c.attempts++
	a := &attempt{
		receiver: r, call: c, id: c.id + "." + strconv.Itoa(c.attempts), target: target, sentAt: now,
		result: plantainrail.ResultAbandoned,
	}
	if c.needsClaim() {
		if other, err := r.claim(ctx, c, a); other != nil || err != nil {
			return other, err
		}
	}
	g.excluded[target.Info.Name] = true
	r.mu.Lock()
	r.router.Sent(now, target.Info.Name)
	r.mu.Unlock()
	r.metrics.sent(c.kind.Name)
	r.requestTraces.addEvent(c.id, RequestEvent{Event: "sent", Target: target.Info.Name, Agent: target.Agent, At: now})
	ctx, a.cancel = context.WithCancel(ctx)
	g.running = append(g.running, a)
	go func() {
		a.start(ctx)
		g.results <- a
	}()
	return nil, nil
}

func (g *attemptGroup) remove(a *attempt) {
	for i, b := range g.running {
		if a == b {
			g.running = append(g.running[:i], g.running[i+1:]...)
			return
		}
	}
}

// cancelRemaining cancels the attempts that are still running and cleans up
// after them in the background.
func (g *attemptGroup) cancelRemaining() {
	for _, a := range g.running {
		a.cancel()
	}
	remaining := len(g.running)
	if remaining == 0 {
		return
	}
	go func() {
		for range remaining {
			(<-g.results).finish()
		}
	}()
}

// handleFailure handles a failed attempt. It starts another attempt if that is
// safe and the limits allow it. Otherwise, once no attempt is running, it
// returns the error for the caller; an error with an uncertain outcome replaces
// earlier errors.
func (g *attemptGroup) handleFailure(ctx context.Context, a *attempt) (*attempt, *plantainrail.Error) {
	r, c := g.receiver, g.call
	outcome := a.err.Outcome()
	a.result = resultForError(a.err)
	a.finish()
	r.requestTraces.addEvent(c.id, RequestEvent{Event: "attempt failed", Target: a.target.Info.Name, Code: a.err.Code, Detail: a.err.Detail, At: time.Now()})
	if g.finalErr == nil || outcome == plantainrail.OutcomeUncertain {
		g.finalErr = a.err
	}
	repeatable := outcome == plantainrail.OutcomeNotRun || c.kind.Idempotent
	if repeatable && ctx.Err() == nil && c.attempts < maxAttempts && !c.isRestConsumed() && time.Now().Before(c.deadline) && g.allowRetry(a.err) {
		other, err := g.startAttempt(ctx)
		if err == nil || err.Code != plantainrail.CodeNoTarget {
			return other, err
		}
	}
	if len(g.running) > 0 {
		return nil, nil
	}
	return nil, g.finalErr
}

// allowRetry reports whether a retry is allowed, and takes it from the retry
// budget. A retry after CodeDraining or CodeSessionLost is free: the request
// was rejected because of a planned stop or never sent, so no work was done.
func (g *attemptGroup) allowRetry(err *plantainrail.Error) bool {
	if err.Code == plantainrail.CodeDraining || err.Code == plantainrail.CodeSessionLost {
		return true
	}
	g.receiver.mu.Lock()
	defer g.receiver.mu.Unlock()
	return g.receiver.router.TakeRetry()
}

func resultForError(err *plantainrail.Error) plantainrail.Result {
	switch err.Code {
	case plantainrail.CodeTargetFailed, plantainrail.CodeTargetRefused, plantainrail.CodeUncertain, plantainrail.CodeLateAnswer, plantainrail.CodeAnswerCut:
		return plantainrail.ResultFailed
	}
	return plantainrail.ResultRefused
}

// hedgeTimer returns a channel that fires when the call is slow enough to be
// hedged, or nil if the call cannot be hedged.
func (g *attemptGroup) hedgeTimer() <-chan time.Time {
	c := g.call
	if !c.kind.Idempotent || c.kind.Feed || !c.bodyComplete {
		return nil
	}
	g.receiver.mu.Lock()
	after := g.receiver.router.HedgeAfter(c.kind.Name)
	g.receiver.mu.Unlock()
	if after <= 0 {
		return nil
	}
	return time.After(after)
}

// allowHedge reports whether a hedged request is allowed, and takes it from the
// retry budget.
func (g *attemptGroup) allowHedge() bool {
	if len(g.running) != 1 || g.call.attempts >= maxAttempts {
		return false
	}
	g.receiver.mu.Lock()
	defer g.receiver.mu.Unlock()
	return g.receiver.router.TakeRetry()
}

// streamResponse copies a response to the caller. If the response is cut short,
// it aborts the caller's connection, so that the caller does not take it for a
// complete one.
func (r *Receiver) streamResponse(ctx context.Context, w http.ResponseWriter, c *call, a *attempt) {
	copyHeader(w.Header(), a.head)
	w.Header().Set(headerRequestID, c.id)
	w.WriteHeader(a.head.Status)
	controller := http.NewResponseController(w)
	buffer := make([]byte, linker.MaxChunkBytes)
	for {
		n, err := a.read(ctx, buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				r.requestTraces.addEvent(c.id, RequestEvent{Event: "caller left", At: time.Now()})
				return
			}
			if c.kind.Feed {
				_ = controller.Flush()
			}
		}
		if err == io.EOF {
			r.recordCompleted(c, a)
			return
		}
		if err != nil && ctx.Err() != nil {
			r.requestTraces.addEvent(c.id, RequestEvent{Event: "caller left", At: time.Now()})
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			r.abortResponse(c, a, err)
		}
		if c.kind.Feed && r.draining.Load() && bytes.HasSuffix(buffer[:n], []byte("\n\n")) {
			r.requestTraces.addEvent(c.id, RequestEvent{Event: "feed ended for drain", At: time.Now()})
			return
		}
	}
}

func copyHeader(h http.Header, head *linker.Head) {
	for name, values := range head.Header {
		if !slices.Contains(hopByHopHeaders, name) {
			h[name] = values
		}
	}
	if head.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(head.Length, 10))
	}
}

func (r *Receiver) recordCompleted(c *call, a *attempt) {
	now := time.Now()
	elapsed := now.Sub(c.arrival)
	a.result = plantainrail.ResultAnswered
	good := a.head.Status < http.StatusInternalServerError && (c.kind.SLOMS == 0 || elapsed <= time.Duration(c.kind.SLOMS)*time.Millisecond)
	r.metrics.answered(c.kind.Name, elapsed)
	r.burn.record(now, c.kind, good)
	r.requestTraces.addEvent(c.id, RequestEvent{Event: "answered", Target: a.target.Info.Name, Agent: a.target.Agent, At: now})
}

func (r *Receiver) abortResponse(c *call, a *attempt, err error) {
	a.result = plantainrail.ResultFailed
	detail := err.Error()
	code := plantainrail.CodeAnswerCut
	var coded *plantainrail.Error
	if errors.As(err, &coded) {
		code = coded.Code
	}
	r.requestTraces.addEvent(c.id, RequestEvent{Event: "cut", Target: a.target.Info.Name, Code: code, Detail: detail, At: time.Now()})
	r.metrics.failed(c.kind.Name, plantainrail.NewError(code, "%s", detail))
	r.burn.record(time.Now(), c.kind, false)
	panic(http.ErrAbortHandler)
}
