package decider

import (
	"context"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

const (
	// explainPath is the path at which the owner explains a placement.
	explainPath = "/-/explain"
	// explainTimeout bounds the call of another entry to the owner. The decision takes milliseconds.
	explainTimeout = 2 * time.Second
)

// explainQuery asks for an Explanation.
type explainQuery struct {
	// Workflow is the job. Of its queue only the name counts.
	Workflow plantainrail.Workflow `cbor:"0,keyasint"`
	// Forwarded means that another entry has forwarded the query, which is not forwarded again.
	Forwarded bool `cbor:"1,keyasint,omitempty"`
}

// Explanation tells where a job would be placed now, and the state on which that is based.
type Explanation struct {
	// Owner is the name of the entry that has answered, and Epoch that of its ownership.
	Owner string `cbor:"0,keyasint" json:"owner"`
	Epoch int64  `cbor:"1,keyasint" json:"epoch"`
	// JobsAgeMS and OperatorsAgeMS are the ages of what the owner has read of the jobs and of the operators'
	// records, in milliseconds.
	JobsAgeMS      int64 `cbor:"2,keyasint" json:"jobsAgeMs"`
	OperatorsAgeMS int64 `cbor:"3,keyasint" json:"operatorsAgeMs"`
	// Refusal is set if the job would be refused.
	Refusal   *Refusal            `cbor:"4,keyasint,omitempty" json:"refusal,omitempty"`
	Placement planner.Explanation `cbor:"5,keyasint" json:"placement"`
}

// Refusal is the response with which a job would be refused.
type Refusal struct {
	// Result is the result of the call, and RetryAfterMS when the client may retry, in milliseconds; 0 means that a retry is of no use.
	Result       plantainrail.CallResult `cbor:"0,keyasint" json:"-"`
	Reason       string                  `cbor:"1,keyasint" json:"reason"`
	RetryAfterMS int64                   `cbor:"2,keyasint,omitempty" json:"retryAfterMs,omitempty"`
}

// Explain asks the entry at the address, which is the host and port of its peer listener, where a job would
// be placed. It returns an error with the entry's answer if the job is invalid, no queue has the name, or
// no entry owns the jobs.
func Explain(ctx context.Context, client *http.Client, address string, w plantainrail.Workflow) (Explanation, error) {
	var out Explanation
	caller := &Decider{Options: Options{PeerClient: client}}
	status, raw, err := caller.post(ctx, address+explainPath, explainQuery{Workflow: w})
	if err != nil {
		return out, err
	}
	if status != http.StatusOK {
		return out, errors.Errorf("entry %s answered with status %d: %s", address, status, raw)
	}
	return out, errors.Wrap(cbor.Unmarshal(raw, &out), "decode the explanation")
}

// serveExplain explains a placement, or forwards the query to the owner. It responds with status 400 if the job is
// invalid, with 404 if no queue has the name, and with 503 if no entry owns the jobs.
func (d *Decider) serveExplain(w http.ResponseWriter, req *http.Request) {
	var q explainQuery
	err := receive(w, req, &q)
	if err == nil {
		err = q.Workflow.Validate()
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	d.mu.Lock()
	o, address := d.owner, d.claim.Address
	d.mu.Unlock()
	if o == nil || !o.active() {
		d.forwardExplain(req.Context(), w, q, address)
		return
	}
	rule, found := d.queueNamed(q.Workflow.Queue.Name)
	if !found {
		http.Error(w, "no queue has this name", http.StatusNotFound)
		return
	}
	q.Workflow.Queue = rule
	raw, err := cbor.Marshal(o.explain(q.Workflow))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// A write fails only if the other side has gone.
	_, _ = w.Write(raw)
}

// forwardExplain sends a query to the owner at the address, and its response to the caller.
func (d *Decider) forwardExplain(ctx context.Context, w http.ResponseWriter, q explainQuery, address string) {
	if q.Forwarded || address == "" || address == d.Address {
		http.Error(w, "no entry owns the jobs at present", http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	q.Forwarded = true
	status, raw, err := d.post(ctx, address+explainPath, q)
	if err != nil {
		d.Logger.Warn("query for a placement not forwarded", zap.String("address", address), zap.Error(err))
		http.Error(w, "the owner of the jobs does not answer", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// queueNamed returns the configured queue with the name.
func (d *Decider) queueNamed(name string) (plantainrail.Queue, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, rule := range d.configuration.Queues {
		if rule.Name == name {
			return rule.Queue, true
		}
	}
	return plantainrail.Queue{}, false
}

// explain tells where a job would be placed now.
func (o *owner) explain(w plantainrail.Workflow) Explanation {
	d := o.decider
	refusal := d.refusalOf(w)
	o.mu.Lock()
	defer o.mu.Unlock()
	now := d.Now()
	return Explanation{
		Owner: d.Name, Epoch: o.epoch, Refusal: refusal, Placement: o.planner.Explain(w, now),
		JobsAgeMS: now.Sub(o.jobsAsOf).Milliseconds(), OperatorsAgeMS: now.Sub(o.operatorsAsOf).Milliseconds(),
	}
}

// refusalOf returns how the entry would refuse a job that it does not know (see Submit), or nil.
func (d *Decider) refusalOf(w plantainrail.Workflow) *Refusal {
	d.mu.Lock()
	fresh, room := d.storeReadRecently(), d.storeHasRoom()
	ahead, scarce := d.backlog.queues[w.Queue.Name]
	scarce = scarce && d.backlog.fresh(d.Now())
	d.mu.Unlock()
	unavailable := func(reason string) *Refusal {
		return &Refusal{Result: plantainrail.CallUnavailable, Reason: reason, RetryAfterMS: storeRetryAfter.Milliseconds()}
	}
	switch {
	case !fresh:
		return unavailable("the store was not read lately")
	case !room:
		return unavailable("the store has no room")
	}
	record, err := planner.NewJobRecord(w)
	if err != nil {
		return &Refusal{Result: plantainrail.CallUnavailable, Reason: err.Error()}
	}
	if !d.StoreLimits.FitsRecord(storedSize(w, record)) {
		return &Refusal{Result: plantainrail.CallTooLarge, Reason: "the job is too large for the store"}
	}
	if !scarce {
		return nil
	}
	// Draw 0 tells whether the job may be refused at all; a refusal is a matter of chance.
	if retryAfter, mayRefuse := planner.Refuse(ahead, w, 0); mayRefuse {
		return &Refusal{Result: plantainrail.CallRejected, Reason: "it may be refused: the jobs ahead would make it end without value", RetryAfterMS: retryAfter.Milliseconds()}
	}
	return nil
}

// storedSize is the size in bytes of the largest record that a job may need.
func storedSize(w plantainrail.Workflow, submission plantainrail.KeyedRecord) int {
	return max(submission.Size(), planner.MaxProgressBytes(w))
}
