package decider

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/clocker"
	"github.com/plantainrail/plantainrail/planner"
)

const (
	// forwardPath is the path at which a replica stores the records of other entries.
	forwardPath = "/-/write"
	// forwardTimeout bounds how long the replica may take to store a forwarded record. A
	// store that is slower than usual by a factor of seventy answers within it.
	forwardTimeout = 2 * time.Second
	// maxReplicaSilence is the age of the replica's newest answer above which records are
	// not forwarded to it: two pings and a margin.
	maxReplicaSilence = 1300 * time.Millisecond
	// replicaCheckInterval is how often an entry checks whether the replica still answers
	// while it stores a forwarded record.
	replicaCheckInterval = 250 * time.Millisecond
)

// write stores a record of the jobs topic. The results are those of writer.append. Unless
// the entry follows the jobs, it forwards the record to the replica of its zone, which
// stores the records of many entries with one append: a partition of the store processes
// its appends one at a time. If the replica does not answer, the entry writes the record
// itself. The record may then be stored twice, which is harmless: the first one of a key
// counts.
func (d *Decider) write(ctx context.Context, record plantainrail.KeyedRecord) error {
	address, ok := d.forwardAddress()
	if !ok {
		return d.appendRecord(ctx, record)
	}
	var tries plantainrail.WriteTries
	err := d.forward(ctx, address, record)
	if err == nil || errors.Is(err, plantainrail.ErrRejected) || errors.Is(err, plantainrail.ErrUnacceptable) {
		return err
	}
	tries = tries.With(err)
	d.Logger.Warn("write not forwarded", zap.String("key", record.Key), zap.String("address", address), zap.Error(err))
	if err := d.appendRecord(ctx, record); err != nil {
		return tries.With(err).Err()
	}
	return nil
}

// forwardAddress returns the address of the zone's replica, or false if the entry should
// write to the store itself: it follows the jobs, or the replica has not answered lately.
func (d *Decider) forwardAddress() (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	address := d.replicas[d.Zone].Address
	return address, !d.follows() && address != "" && d.replicaAnswers()
}

// replicaAnswers reports whether the zone's replica has answered a ping within
// maxReplicaSilence. The caller holds the lock.
func (d *Decider) replicaAnswers() bool { return d.Now().Sub(d.pendingReadAt) < maxReplicaSilence }

// forward asks the replica at the address to store a record. After an error other than
// plantainrail.ErrRejected and plantainrail.ErrUnacceptable the record may be stored. forward
// gives up early when the replica stops answering pings.
func (d *Decider) forward(ctx context.Context, address string, record plantainrail.KeyedRecord) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for clocker.Sleep(ctx, replicaCheckInterval) == nil {
			d.mu.Lock()
			answers := d.replicaAnswers()
			d.mu.Unlock()
			if !answers {
				cancel()
			}
		}
	}()
	return d.forwardTo(ctx, address, record)
}

// forwardTo asks any entry to store a record. Its errors are those of forward.
func (d *Decider) forwardTo(ctx context.Context, address string, record plantainrail.KeyedRecord) error {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	// The body of the response holds only the text of an error.
	status, text, err := d.post(ctx, address+forwardPath, record)
	switch {
	case err != nil:
		return err
	case status == http.StatusOK:
		return nil
	case status == http.StatusServiceUnavailable:
		return errors.Wrapf(plantainrail.ErrRejected, "replica: %s", bytes.TrimSpace(text))
	case status == http.StatusRequestEntityTooLarge:
		return errors.Wrapf(plantainrail.ErrUnacceptable, "replica: %s", bytes.TrimSpace(text))
	}
	return errors.Errorf("replica answered with status %d: %s", status, bytes.TrimSpace(text))
}

// serveWrite stores a record of another entry. It responds with status 503 if the record
// is not stored and never will be by this call, with 413 if the store accepts it by no call,
// and with 504 if it is not known whether it is stored.
func (d *Decider) serveWrite(w http.ResponseWriter, req *http.Request) {
	var record plantainrail.KeyedRecord
	if err := receive(w, req, &record); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	d.mu.Lock()
	room := d.storeHasRoom()
	d.mu.Unlock()
	if !room && planner.IsSubmission(record) {
		http.Error(w, "the store has no room", http.StatusServiceUnavailable)
		return
	}
	err := d.appendRecord(req.Context(), record)
	switch {
	case err == nil:
	case errors.Is(err, plantainrail.ErrRejected):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case errors.Is(err, plantainrail.ErrUnacceptable):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	default:
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
	}
}
