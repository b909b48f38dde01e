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

// maxTries bounds the tries of one call. Retries and hedged requests count as
// tries.
const maxTries = 4

// serveCaller handles one request of a caller: it tries targets until one
// responds, and copies the response to the caller.
func (r *Receiver) serveCaller(w http.ResponseWriter, req *http.Request) {
	if r.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	c, err := r.newCall(w, req)
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
	winner, replayed, err := r.runTries(ctx, c)
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
	readBodyLonger(w)
	r.streamResponse(req.Context(), w, c, winner)
}

// failCall records the failure of a call that got no response from a target and
// sends the error to the caller. If c is nil, it records nothing.
func (r *Receiver) failCall(w http.ResponseWriter, c *call, err *plantainrail.Error) {
	if c != nil {
		r.requestTraces.addEvent(c.id, RequestEvent{Event: "failed", Code: err.Code, Detail: err.Detail, At: time.Now()})
		r.metrics.countFailed(c.kind.Name, err)
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

// writeError sends an error response to a caller or an operator.
func (r *Receiver) writeError(w http.ResponseWriter, err *plantainrail.Error) {
	writeErrorResponse(w, err, nil)
}

// writeErrorResponse sends an error response. The problems are those of a rejected
// table, or nil.
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

// runTries tries targets until one returns the header of a response, and returns
// that try. A failed try is repeated if the request was proved not to have run or
// if the kind is idempotent; a slow try of an idempotent kind is hedged. Retries
// and hedged requests spend the same budget. The second result reports whether
// the response was replayed from an earlier request with the same key. When the
// context ends, the running tries fail, so that runTries returns as well.
func (r *Receiver) runTries(ctx context.Context, c *call) (*requestTry, bool, *plantainrail.Error) {
	if c.needsClaim() {
		if t, err := r.replay(ctx, c); t != nil || err != nil {
			return t, t != nil, err
		}
	}
	group := &tryGroup{receiver: r, call: c, results: make(chan *requestTry, maxTries), triedTargets: map[string]bool{}}
	defer group.cancelRemaining()
	if t, err := group.startTry(ctx); t != nil || err != nil {
		return t, t != nil, err
	}
	hedge := group.hedgeTimer()
	for {
		select {
		case t := <-group.results:
			group.remove(t)
			if t.err == nil {
				return t, false, nil
			}
			if earlierTry, err := group.handleFailure(ctx, t); earlierTry != nil || err != nil {
				return earlierTry, earlierTry != nil, err
			}
		case <-hedge:
			hedge = nil
			if group.takeHedge() {
				// The results are not needed: a call of an idempotent kind claims no key,
				// and if no other target is free, the first try goes on alone.
				_, _ = group.startTry(ctx)
			}
		}
	}
}

// tryGroup holds the tries of one call. Only the goroutine of runTries uses its
// fields, except for results.
type tryGroup struct {
	receiver *Receiver
	call     *call
	// results receives each try when it has a response header or has failed. It
	// is buffered for all tries of the call, so that sending never blocks.
	results chan *requestTry
	// running holds the tries that have not been received from results yet.
	running []*requestTry
	// triedTargets is the set of the names of the targets that were tried.
	triedTargets map[string]bool
	// finalErr is the error for the caller if no try succeeds.
	finalErr *plantainrail.Error
}

// startTry picks a target and starts a try there. It returns nil and no error if
// the try has started; its result follows in g.results. For a call that needs a
// claim on its idempotency key it claims the key first; if another request holds
// the key, it starts nothing and returns a try that reads that request's response.
func (g *tryGroup) startTry(ctx context.Context) (*requestTry, *plantainrail.Error) {
	r, c := g.receiver, g.call
	now := time.Now()
	r.mu.Lock()
	target, ok := r.router.Pick(now, c.kind.Name, g.triedTargets)
	r.mu.Unlock()
	if !ok {
		return nil, plantainrail.NewError(plantainrail.CodeNoTarget, "kind %s", c.kind.Name)
	}
	c.tries++
	t := &requestTry{
		receiver: r, call: c, id: c.id + "." + strconv.Itoa(c.tries), target: target, sentAt: now,
		result: plantainrail.ResultAbandoned,
	}
	if c.needsClaim() {
		if earlierTry, err := r.claim(ctx, c, t); earlierTry != nil || err != nil {
			return earlierTry, err
		}
	}
	g.triedTargets[target.Info.Name] = true
	r.mu.Lock()
	r.router.Sent(now, target.Info.Name)
	r.mu.Unlock()
	r.metrics.countSent(c.kind.Name)
	r.requestTraces.addEvent(c.id, RequestEvent{Event: "sent", Target: target.Info.Name, Agent: target.Agent, At: now})
	ctx, t.cancel = context.WithCancel(ctx)
	g.running = append(g.running, t)
	go func() {
		t.sendAndAwaitHead(ctx)
		g.results <- t
	}()
	return nil, nil
}

// remove removes a try from the running ones.
func (g *tryGroup) remove(t *requestTry) {
	for i, other := range g.running {
		if t == other {
			g.running = append(g.running[:i], g.running[i+1:]...)
			return
		}
	}
}

// cancelRemaining cancels the tries that are still running, and finishes them in
// the background.
func (g *tryGroup) cancelRemaining() {
	for _, t := range g.running {
		t.cancel()
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

// handleFailure handles a failed try. It starts another try if that is safe and
// the limits allow it, and returns what startTry returns. Otherwise it returns the
// error for the caller, or nil and no error while another try is running. An error with
// an uncertain outcome replaces earlier errors, because one of the tries may have run.
func (g *tryGroup) handleFailure(ctx context.Context, t *requestTry) (*requestTry, *plantainrail.Error) {
	r, c := g.receiver, g.call
	outcome := t.err.Outcome()
	t.result = resultForError(t.err)
	t.finish()
	r.requestTraces.addEvent(c.id, RequestEvent{Event: "attempt failed", Target: t.target.Info.Name, Code: t.err.Code, Detail: t.err.Detail, At: time.Now()})
	if g.finalErr == nil || outcome == plantainrail.OutcomeUncertain {
		g.finalErr = t.err
	}
	repeatable := outcome == plantainrail.OutcomeNotRun || c.kind.Idempotent
	if repeatable && ctx.Err() == nil && c.tries < maxTries && !c.hasBodyRestReadStarted() && time.Now().Before(c.deadline) && g.takeRetry(t.err) {
		earlierTry, err := g.startTry(ctx)
		// If there is no other target, g.finalErr tells the caller more.
		if err == nil || err.Code != plantainrail.CodeNoTarget {
			return earlierTry, err
		}
	}
	if len(g.running) > 0 {
		return nil, nil
	}
	return nil, g.finalErr
}

// takeRetry takes a retry from the retry budget, and returns false if the budget
// is used up. A retry after CodeDraining or CodeSessionLost is free: the request
// was rejected because of a planned stop or never sent, so no work was done.
func (g *tryGroup) takeRetry(err *plantainrail.Error) bool {
	if err.Code == plantainrail.CodeDraining || err.Code == plantainrail.CodeSessionLost {
		return true
	}
	g.receiver.mu.Lock()
	defer g.receiver.mu.Unlock()
	return g.receiver.router.TakeRetry()
}

// resultForError returns the result that a failed try reports to the router. The
// router counts a failure against the target, but not a rejection.
func resultForError(err *plantainrail.Error) plantainrail.TryResult {
	switch err.Code {
	case plantainrail.CodeTargetFailed, plantainrail.CodeTargetRefused, plantainrail.CodeUncertain, plantainrail.CodeLateAnswer, plantainrail.CodeAnswerCut:
		return plantainrail.ResultFailed
	}
	return plantainrail.ResultRefused
}

// hedgeTimer returns a channel that fires when the call is slow enough to be
// hedged, or nil if the call cannot be hedged.
func (g *tryGroup) hedgeTimer() <-chan time.Time {
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

// takeHedge reports whether a hedged request may be sent, and charges it to the retry
// budget if so. It may not if the budget or the tries of the call are used up, or if
// the slow try is not the only one that is running.
func (g *tryGroup) takeHedge() bool {
	if len(g.running) != 1 || g.call.tries >= maxTries {
		return false
	}
	g.receiver.mu.Lock()
	defer g.receiver.mu.Unlock()
	return g.receiver.router.TakeRetry()
}

// streamResponse copies a response to the caller. If the response is cut short,
// it aborts the caller's connection, so that the caller does not take it for a
// complete one. While the entry drains, it ends a feed after the next event, which
// a blank line terminates.
func (r *Receiver) streamResponse(ctx context.Context, w http.ResponseWriter, c *call, t *requestTry) {
	copyHeader(w.Header(), t.head)
	w.Header().Set(headerRequestID, c.id)
	w.WriteHeader(t.head.Status)
	controller := http.NewResponseController(w)
	buffer := make([]byte, linker.MaxChunkBytes)
	for {
		n, err := t.read(ctx, buffer)
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
			r.recordCompleted(c, t)
			return
		}
		if err != nil && ctx.Err() != nil {
			// The panic makes the HTTP server close the connection without a log line.
			r.requestTraces.addEvent(c.id, RequestEvent{Event: "caller left", At: time.Now()})
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			r.abortResponse(c, t, err)
		}
		if c.kind.Feed && r.draining.Load() && bytes.HasSuffix(buffer[:n], []byte("\n\n")) {
			r.requestTraces.addEvent(c.id, RequestEvent{Event: "feed ended for drain", At: time.Now()})
			return
		}
	}
}

// copyHeader copies the header of a target's response, without the fields that
// apply to one connection only. It sets Content-Length if the length is known, that
// is, not negative.
func copyHeader(h http.Header, head *linker.Head) {
	for name, values := range head.Header {
		if !slices.Contains(unforwardedHeaders, name) {
			h[name] = values
		}
	}
	if head.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(head.Length, 10))
	}
}

// recordCompleted records a response that was sent completely. For the error
// budget it is good unless its status is 5xx or it took longer than the kind's SLO.
func (r *Receiver) recordCompleted(c *call, t *requestTry) {
	now := time.Now()
	elapsed := now.Sub(c.arrival)
	t.result = plantainrail.ResultAnswered
	good := t.head.Status < http.StatusInternalServerError && (c.kind.SLOMS == 0 || elapsed <= time.Duration(c.kind.SLOMS)*time.Millisecond)
	r.metrics.countAnswered(c.kind.Name, elapsed)
	r.burn.record(now, c.kind, good)
	r.requestTraces.addEvent(c.id, RequestEvent{Event: "answered", Target: t.target.Info.Name, Agent: t.target.Agent, At: now})
}

// abortResponse records a response that broke off and panics with
// http.ErrAbortHandler, which closes the caller's connection.
func (r *Receiver) abortResponse(c *call, t *requestTry, err error) {
	t.result = plantainrail.ResultFailed
	detail := err.Error()
	code := plantainrail.CodeAnswerCut
	var coded *plantainrail.Error
	if errors.As(err, &coded) {
		code = coded.Code
	}
	r.requestTraces.addEvent(c.id, RequestEvent{Event: "cut", Target: t.target.Info.Name, Code: code, Detail: detail, At: time.Now()})
	r.metrics.countFailed(c.kind.Name, plantainrail.NewError(code, "%s", detail))
	r.burn.record(time.Now(), c.kind, false)
	panic(http.ErrAbortHandler)
}
