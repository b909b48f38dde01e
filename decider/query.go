package decider

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/clocker"
	"github.com/plantainrail/plantainrail/planner"
	"github.com/plantainrail/plantainrail/ranker"
)

const (
	// queryPath is the path at which an entry that follows the jobs answers others.
	queryPath = "/-/jobs"
	// queryTimeout bounds one query of another entry. It is above unknownJobWait, for
	// which that entry may wait itself.
	queryTimeout = 600 * time.Millisecond
	// queryHedgeDelay is the time without an answer after which the next replica is
	// asked too.
	queryHedgeDelay = 200 * time.Millisecond
	// maxPeerMessageBytes bounds a message between entries and its response. The largest
	// job is below it.
	maxPeerMessageBytes = 1 << 20
	// absenceWait bounds how long a call waits until the absence of its job was read after its arrival: the rest
	// of the long poll that is open then and, if that returns records, one more.
	absenceWait = 2 * jobsPollWait
	// absenceCheckInterval is how often such a call checks the view, whose reads wake nobody if they return nothing.
	absenceCheckInterval = 50 * time.Millisecond
	// absenceTimeout bounds a query of another entry that waits so.
	absenceTimeout = absenceWait + queryTimeout - unknownJobWait
	// acceptanceCheckInterval is how often an entry that does not follow the jobs asks
	// whether a job was stored whose write is unanswered.
	acceptanceCheckInterval = 250 * time.Millisecond
)

// jobQuery asks an entry that follows the jobs for the state of a job or, without an ID,
// for the numbers of pending jobs.
type jobQuery struct {
	ID string `cbor:"0,keyasint,omitempty"`
	// Immediate means that an unknown job is not waited for.
	Immediate bool `cbor:"1,keyasint,omitempty"`
	// Confirm means that an unknown job is waited for until its absence was read, for up to absenceWait.
	// Entries of an earlier build ignore it, and leave out jobAnswer.AbsenceRead.
	Confirm bool `cbor:"2,keyasint,omitempty"`
	// Current means that the jobs are read at once for the same purpose, instead of waiting for the next poll.
	Current bool `cbor:"3,keyasint,omitempty"`
}

// wait returns how long an unknown job is waited for.
func (q jobQuery) wait() time.Duration {
	switch {
	case q.Immediate:
		return 0
	case q.Confirm:
		return absenceWait
	}
	return unknownJobWait
}

// jobAnswer is the answer to a jobQuery.
type jobAnswer struct {
	Result          plantainrail.CallResult `cbor:"0,keyasint,omitempty"`
	State           planner.State           `cbor:"1,keyasint,omitempty"`
	CancelRequested bool                    `cbor:"2,keyasint,omitempty"`
	// Fresh means that the entry has read the store recently.
	Fresh bool `cbor:"3,keyasint,omitempty"`
	// Pending holds the numbers of pending jobs by queue.
	Pending map[string]int `cbor:"4,keyasint,omitempty"`
	// Members and Replicas are the offsets up to which the entry has read the topics of the members
	// and of the replicas' claims, beside Pending. Entries of an earlier build leave them out.
	Members  plantainrail.Offset `cbor:"5,keyasint,omitempty"`
	Replicas plantainrail.Offset `cbor:"6,keyasint,omitempty"`
	// AbsenceRead means that the job, for which the result is CallNotFound, was absent from what was read of
	// the store after the query arrived.
	AbsenceRead bool `cbor:"7,keyasint,omitempty"`
	// Backlog holds the backlogs of the queues without enough capacity, beside Pending. BacklogAgeMS is the age
	// of the figure in milliseconds, or nil if there is none.
	Backlog      map[string]ranker.Backlog `cbor:"8,keyasint,omitempty"`
	BacklogAgeMS *int64                    `cbor:"9,keyasint,omitempty"`
}

// absent reports whether the answer proves that no such job was accepted before the query.
func (a jobAnswer) absent() bool { return a.Result == plantainrail.CallNotFound && a.AbsenceRead }

// serveQuery answers the query of another entry. It responds with status 421 if this
// entry does not follow the jobs or has not read them yet.
func (d *Decider) serveQuery(w http.ResponseWriter, req *http.Request) {
	var q jobQuery
	if err := receive(w, req, &q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	d.mu.Lock()
	answers := d.catalogRead()
	d.mu.Unlock()
	if !answers {
		http.Error(w, "this entry does not know the jobs", http.StatusMisdirectedRequest)
		return
	}
	raw, err := cbor.Marshal(d.answer(req.Context(), q))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// A write fails only if the other entry has gone.
	_, _ = w.Write(raw)
}

// answer answers a query from the entry's own catalog.
func (d *Decider) answer(ctx context.Context, q jobQuery) jobAnswer {
	if q.ID == "" {
		d.mu.Lock()
		defer d.mu.Unlock()
		answer := jobAnswer{Fresh: d.catalogFresh(), Pending: d.catalog.Pending(), Members: d.members.next, Replicas: d.replicaClaims.next}
		answer.Backlog, answer.BacklogAgeMS = d.backlog.answer(d.Now())
		return answer
	}
	if q.Current {
		return d.awaitCurrentJob(ctx, q.ID)
	}
	return d.awaitJob(ctx, q, d.Now())
}

// catalogRead reports whether the entry follows the jobs and has read all jobs and their progress
// since it began to. Before that, its catalog lacks some, or takes those that have begun for
// pending. The caller holds the lock.
func (d *Decider) catalogRead() bool {
	return d.follows() && !d.jobs.asOf.IsZero() && !d.progress.asOf.IsZero()
}

// catalogFresh reports whether the catalog holds what was stored until maxJobsAge ago: the jobs, and
// their progress, which the owner does not read but writes. The caller holds the lock.
func (d *Decider) catalogFresh() bool {
	recent := func(v *view) bool { return d.Now().Sub(v.asOf) < maxJobsAge }
	return recent(d.jobs) && (d.owner != nil || !d.ownerSeenAt.IsZero() && recent(d.progress))
}

// awaitJob answers a query for a job, which has arrived at the given time, from the entry's own
// catalog. It waits for an unknown job. If the job stays unknown, the result is
// CallNotFound or, if the jobs were not read recently, CallUnavailable, since the job may
// exist. AbsenceRead is set if the jobs were read after the arrival.
func (d *Decider) awaitJob(ctx context.Context, q jobQuery, arrivedAt time.Time) jobAnswer {
	ctx, cancel := context.WithTimeout(ctx, q.wait())
	defer cancel()
	var check <-chan struct{}
	if q.Confirm {
		ticker := clocker.NewTicker(absenceCheckInterval)
		defer ticker.Stop()
		check = ticker.C
	}
	for {
		expired := ctx.Err() != nil
		d.mu.Lock()
		state, cancelRequested, accepted := d.catalog.State(q.ID)
		changed, fresh, absenceRead := d.stateChanged, d.catalogFresh(), !d.jobs.asOf.Before(arrivedAt)
		d.mu.Unlock()
		switch {
		case accepted:
			return jobAnswer{Result: plantainrail.CallOK, State: state, CancelRequested: cancelRequested, Fresh: fresh}
		case q.Confirm && absenceRead, expired && fresh:
			return jobAnswer{Result: plantainrail.CallNotFound, Fresh: fresh, AbsenceRead: absenceRead}
		case expired:
			return jobAnswer{Result: plantainrail.CallUnavailable}
		}
		select {
		case <-changed:
		case <-check:
		case <-ctx.Done():
		}
	}
}

// confirmAbsence answers a query for a job that findJob has not found, and that has arrived at the given time:
// from the entry's own catalog or, without one, through the first replica. It makes no call to the store,
// since the jobs are read all the time. The result is CallUnavailable if there is no answer.
func (d *Decider) confirmAbsence(ctx context.Context, id string, arrivedAt time.Time) jobAnswer {
	q := jobQuery{ID: id, Confirm: true}
	d.mu.Lock()
	answers, addresses := d.catalogRead(), d.replicaAddresses()
	d.mu.Unlock()
	switch {
	case answers:
		return d.awaitJob(ctx, q, arrivedAt)
	case len(addresses) > 0:
		answer, err := d.ask(ctx, addresses[0], q)
		if err == nil {
			return answer
		}
		d.Logger.Warn("absence not confirmed", zap.String("job", id), zap.String("address", addresses[0]), zap.Error(err))
	}
	return jobAnswer{Result: plantainrail.CallUnavailable}
}

// findJob answers a query: from the entry's own catalog if it follows the jobs and has read
// them, and otherwise, or if what it has read is too old, through a replica. If no replica answers,
// the result is the entry's own answer or, without one, CallUnavailable.
func (d *Decider) findJob(ctx context.Context, q jobQuery) jobAnswer {
	d.mu.Lock()
	answers, addresses := d.catalogRead(), d.replicaAddresses()
	d.mu.Unlock()
	own := jobAnswer{Result: plantainrail.CallUnavailable}
	if answers {
		if own = d.answer(ctx, q); own.Fresh || len(addresses) == 0 {
			return own
		}
	}
	answer, err := d.askReplicas(ctx, addresses, q)
	switch {
	case answers && (err != nil || !answer.Fresh):
		return own
	case err != nil:
		d.Logger.Warn("no replica answers", zap.String("job", q.ID), zap.Int("replicas", len(addresses)), zap.Error(err))
		return own
	}
	return answer
}

// replicaAddresses returns the addresses of the replicas: first that of the entry's own
// zone, then the owner's, then those of the other zones in the order of their names. The
// caller holds the lock.
func (d *Decider) replicaAddresses() []string {
	var out []string
	add := func(address string) {
		if address != "" && address != d.Address && !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	add(d.replicas[d.Zone].Address)
	add(d.claim.Address)
	for _, zone := range slices.Sorted(maps.Keys(d.replicas)) {
		add(d.replicas[zone].Address)
	}
	return out
}

// askReplicas asks the replicas in turn and returns the first fresh answer. It asks the
// next one once a replica has failed or has not answered for queryHedgeDelay. Without a
// fresh answer it returns one that is not, or the last error if there is none.
func (d *Decider) askReplicas(ctx context.Context, addresses []string, q jobQuery) (jobAnswer, error) {
	if len(addresses) == 0 {
		return jobAnswer{}, errors.New("no replica is known")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type outcome struct {
		answer jobAnswer
		err    error
	}
	// The buffer lets queries end after askReplicas has returned.
	outcomes := make(chan outcome, len(addresses))
	asked, pending := 0, 0
	askNext := func() {
		if asked == len(addresses) {
			return
		}
		address := addresses[asked]
		asked, pending = asked+1, pending+1
		go func() {
			answer, err := d.ask(ctx, address, q)
			outcomes <- outcome{answer, err}
		}()
	}
	ticker := clocker.NewTicker(queryHedgeDelay)
	defer ticker.Stop()
	var stale *jobAnswer
	var lastErr error
	askNext()
	for pending > 0 {
		select {
		case <-ticker.C:
			askNext()
		case o := <-outcomes:
			pending--
			if o.err == nil && o.answer.Fresh {
				return o.answer, nil
			}
			if o.err == nil && (stale == nil || o.answer.Result == plantainrail.CallOK) {
				stale = &o.answer
			}
			lastErr = o.err
			askNext()
		}
	}
	if stale != nil {
		return *stale, nil
	}
	return jobAnswer{}, lastErr
}

// ask sends a query to the entry at the address.
func (d *Decider) ask(ctx context.Context, address string, q jobQuery) (jobAnswer, error) {
	timeout := queryTimeout
	if q.Confirm {
		timeout = absenceTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, raw, err := d.post(ctx, address+queryPath, q)
	if err != nil {
		return jobAnswer{}, err
	}
	if status != http.StatusOK {
		return jobAnswer{}, errors.Errorf("entry %s answered a query with status %d", address, status)
	}
	var answer jobAnswer
	err = cbor.Unmarshal(raw, &answer)
	return answer, errors.Wrap(err, "decode the answer to a query")
}

// post sends a message to another entry, whose address and path are given, and returns the
// status and body of the response. After an error the message may have been processed.
func (d *Decider) post(ctx context.Context, addressAndPath string, message any) (int, []byte, error) {
	raw, err := cbor.Marshal(message)
	if err != nil {
		return 0, nil, errors.Wrap(err, "encode message to another entry")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addressAndPath, bytes.NewReader(raw))
	if err != nil {
		return 0, nil, errors.Wrap(err, "create request to another entry")
	}
	// Without GetBody the transport cannot resend the request by itself after a
	// connection failure.
	req.GetBody = nil
	response, err := d.PeerClient.Do(req)
	if err != nil {
		return 0, nil, errors.Wrap(err, "call another entry")
	}
	defer func() { _ = response.Body.Close() }()
	raw, err = io.ReadAll(io.LimitReader(response.Body, maxPeerMessageBytes))
	return response.StatusCode, raw, errors.Wrap(err, "read the response of another entry")
}

// receive decodes the message in the body of another entry's request.
func receive(w http.ResponseWriter, req *http.Request, message any) error {
	raw, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxPeerMessageBytes))
	if err != nil {
		return errors.Wrap(err, "read message of another entry")
	}
	return errors.Wrap(cbor.Unmarshal(raw, message), "decode message of another entry")
}
