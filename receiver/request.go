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

// attemptLimit bounds the attempts of one call, retries and hedges together.
const attemptLimit = 4

// serveCaller takes one request of a caller from arrival to its answer.
func (r *Receiver) serveCaller(w http.ResponseWriter, q *http.Request) {
	if r.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	c, err := r.newCall(q)
	if c != nil {
		w.Header().Set(headerRequestID, c.id)
		r.requests.begin(c)
	}
	if err != nil {
		r.fail(w, c, err)
		return
	}
	ctx, cancel := context.WithDeadline(q.Context(), c.deadline.Add(verdictGrace))
	defer cancel()
	answered, replayed, err := r.run(ctx, c)
	if err != nil {
		r.fail(w, c, err)
		return
	}
	if replayed {
		w.Header().Set(headerReplayed, "yes")
	}
	defer answered.finish()
	// An answer that has begun may go on past the deadline.
	r.answer(q.Context(), w, c, answered)
}

// fail answers a call that has no answer from a target.
func (r *Receiver) fail(w http.ResponseWriter, c *call, err *plantainrail.Error) {
	if c != nil {
		r.requests.note(c.id, Event{Event: "failed", Code: err.Code, Detail: err.Detail, At: time.Now()})
		r.metrics.failed(c.kind.Name, err)
		r.burn.note(time.Now(), c.kind, false)
		r.Logger.Debug("request failed", zap.String("request", c.id), zap.Int("code", int(err.Code)))
	}
	r.refuse(w, err)
}

// Failure is the JSON body of a failed call.
type Failure struct {
	Code    plantainrail.Code    `json:"code"`
	Name    string               `json:"name"`
	Message string               `json:"message"`
	Outcome plantainrail.Outcome `json:"outcome"`
	Action  string               `json:"action"`
	// Problems lists the cells of a table that are not allowed.
	Problems any `json:"problems,omitempty"`
}

func (r *Receiver) refuse(w http.ResponseWriter, err *plantainrail.Error) {
	writeFailure(w, err, nil)
}

func writeFailure(w http.ResponseWriter, err *plantainrail.Error, problems any) {
	info := err.Code.Info()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerCode, strconv.Itoa(int(err.Code)))
	w.Header().Set(headerOutcome, string(info.Outcome))
	if info.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(info.Status)
	_ = json.NewEncoder(w).Encode(Failure{err.Code, info.Name, err.Error(), info.Outcome, info.Action, problems})
}

// run makes attempts until one brings the head of an answer. An attempt is
// repeated when the one before was proved not run, or when the kind is
// idempotent; a slow idempotent one is hedged. Both draw on the retry budget.
func (r *Receiver) run(ctx context.Context, c *call) (*attempt, bool, *plantainrail.Error) {
	if c.needsClaim() {
		if a, err := r.replay(ctx, c); a != nil || err != nil {
			return a, a != nil, err
		}
	}
	m := &race{receiver: r, call: c, results: make(chan *attempt, attemptLimit), exclude: map[string]bool{}}
	defer m.abandon()
	if a, err := m.launch(ctx); a != nil || err != nil {
		return a, a != nil, err
	}
	hedge := m.hedgeTimer()
	for {
		select {
		case a := <-m.results:
			m.leave(a)
			if a.err == nil {
				return a, false, nil
			}
			if again, err := m.next(ctx, a); again != nil || err != nil {
				return again, again != nil, err
			}
		case <-hedge:
			hedge = nil
			if m.mayHedge() {
				_, _ = m.launch(ctx)
			}
		}
	}
}

// race is the attempts of one call that are under way.
type race struct {
	receiver *Receiver
	call     *call
	results  chan *attempt
	running  []*attempt
	exclude  map[string]bool
	worst    *plantainrail.Error
}

// launch picks a target and starts an attempt there. For a call with a key it
// claims the key first; when another request holds the key, that one's answer
// is returned.
func (m *race) launch(ctx context.Context) (*attempt, *plantainrail.Error) {
	r, c := m.receiver, m.call
	now := time.Now()
	r.mu.Lock()
	target, ok := r.router.Pick(now, c.kind.Name, m.exclude)
	r.mu.Unlock()
	if !ok {
		return nil, plantainrail.NewError(plantainrail.CodeNoTarget, "kind %s", c.kind.Name)
	}
	c.handed++
	a := &attempt{
		receiver: r, call: c, id: c.id + "." + strconv.Itoa(c.handed), target: target, sent: now,
		result: plantainrail.ResultAbandoned,
	}
	if c.needsClaim() {
		if other, err := r.claim(ctx, c, a); other != nil || err != nil {
			return other, err
		}
	}
	m.exclude[target.Info.Name] = true
	r.mu.Lock()
	r.router.Sent(now, target.Info.Name)
	r.mu.Unlock()
	r.metrics.sent(c.kind.Name)
	r.requests.note(c.id, Event{Event: "sent", Target: target.Info.Name, Agent: target.Agent, At: now})
	ctx, a.cancel = context.WithCancel(ctx)
	m.running = append(m.running, a)
	go func() {
		a.start(ctx)
		m.results <- a
	}()
	return nil, nil
}

func (m *race) leave(a *attempt) {
	for i, b := range m.running {
		if a == b {
			m.running = append(m.running[:i], m.running[i+1:]...)
			return
		}
	}
}

// abandon ends the attempts that lost the race.
func (m *race) abandon() {
	for _, a := range m.running {
		a.cancel()
	}
	left := len(m.running)
	if left == 0 {
		return
	}
	go func() {
		for range left {
			(<-m.results).finish()
		}
	}()
}

// next decides what follows a failed attempt.
func (m *race) next(ctx context.Context, a *attempt) (*attempt, *plantainrail.Error) {
	r, c := m.receiver, m.call
	outcome := a.err.Outcome()
	a.result = resultOf(a.err)
	a.finish()
	r.requests.note(c.id, Event{Event: "attempt failed", Target: a.target.Info.Name, Code: a.err.Code, Detail: a.err.Detail, At: time.Now()})
	if m.worst == nil || outcome == plantainrail.OutcomeUncertain {
		m.worst = a.err
	}
	safe := outcome == plantainrail.OutcomeNotRun || c.kind.Idempotent
	if safe && ctx.Err() == nil && c.handed < attemptLimit && !c.consumed() && time.Now().Before(c.deadline) && m.affordable(a.err) {
		other, err := m.launch(ctx)
		if err == nil || err.Code != plantainrail.CodeNoTarget {
			return other, err
		}
	}
	if len(m.running) > 0 {
		return nil, nil
	}
	return nil, m.worst
}

// affordable takes a retry from the budget. A refusal because of a planned stop
// costs nothing: the refusing side took no work.
func (m *race) affordable(err *plantainrail.Error) bool {
	if err.Code == plantainrail.CodeDraining || err.Code == plantainrail.CodeSessionLost {
		return true
	}
	m.receiver.mu.Lock()
	defer m.receiver.mu.Unlock()
	return m.receiver.router.Spend()
}

func resultOf(err *plantainrail.Error) plantainrail.Result {
	switch err.Code {
	case plantainrail.CodeTargetFailed, plantainrail.CodeTargetRefused, plantainrail.CodeUncertain, plantainrail.CodeLateAnswer, plantainrail.CodeAnswerCut:
		return plantainrail.ResultFailed
	}
	return plantainrail.ResultRefused
}

func (m *race) hedgeTimer() <-chan time.Time {
	c := m.call
	if !c.kind.Idempotent || c.kind.Feed || !c.whole {
		return nil
	}
	m.receiver.mu.Lock()
	after := m.receiver.router.HedgeAfter(c.kind.Name)
	m.receiver.mu.Unlock()
	if after <= 0 {
		return nil
	}
	return time.After(after)
}

func (m *race) mayHedge() bool {
	if len(m.running) != 1 || m.call.handed >= attemptLimit {
		return false
	}
	m.receiver.mu.Lock()
	defer m.receiver.mu.Unlock()
	return m.receiver.router.Spend()
}

// answer copies an answer to the caller. One that is cut short aborts the
// caller's connection, so that it is never taken for a whole one.
func (r *Receiver) answer(ctx context.Context, w http.ResponseWriter, c *call, a *attempt) {
	copyHeader(w.Header(), a.head)
	w.Header().Set(headerRequestID, c.id)
	w.WriteHeader(a.head.Status)
	controller := http.NewResponseController(w)
	buffer := make([]byte, linker.Chunk)
	for {
		n, err := a.read(ctx, buffer)
		if n > 0 {
			if _, werr := w.Write(buffer[:n]); werr != nil {
				r.requests.note(c.id, Event{Event: "caller left", At: time.Now()})
				return
			}
			if c.kind.Feed {
				_ = controller.Flush()
			}
		}
		if err == io.EOF {
			r.completed(c, a)
			return
		}
		if err != nil && ctx.Err() != nil {
			r.requests.note(c.id, Event{Event: "caller left", At: time.Now()})
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			r.cut(c, a, err)
		}
		if c.kind.Feed && r.draining.Load() && bytes.HasSuffix(buffer[:n], []byte("\n\n")) {
			r.requests.note(c.id, Event{Event: "feed ended for drain", At: time.Now()})
			return
		}
	}
}

func copyHeader(h http.Header, head *linker.Head) {
	for name, values := range head.Header {
		if !slices.Contains(hopHeaders, name) {
			h[name] = values
		}
	}
	if head.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(head.Length, 10))
	}
}

func (r *Receiver) completed(c *call, a *attempt) {
	now := time.Now()
	took := now.Sub(c.arrival)
	a.result = plantainrail.ResultAnswered
	good := a.head.Status < http.StatusInternalServerError && (c.kind.SLOMS == 0 || took <= time.Duration(c.kind.SLOMS)*time.Millisecond)
	r.metrics.answered(c.kind.Name, took)
	r.burn.note(now, c.kind, good)
	r.requests.note(c.id, Event{Event: "answered", Target: a.target.Info.Name, Agent: a.target.Agent, At: now})
}

func (r *Receiver) cut(c *call, a *attempt, err error) {
	a.result = plantainrail.ResultFailed
	detail := err.Error()
	code := plantainrail.CodeAnswerCut
	var coded *plantainrail.Error
	if errors.As(err, &coded) {
		code = coded.Code
	}
	r.requests.note(c.id, Event{Event: "cut", Target: a.target.Info.Name, Code: code, Detail: detail, At: time.Now()})
	r.metrics.failed(c.kind.Name, plantainrail.NewError(code, "%s", detail))
	r.burn.note(time.Now(), c.kind, false)
	panic(http.ErrAbortHandler)
}
