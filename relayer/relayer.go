// Package relayer reaches the store directly, and through another entry while
// the store turns this one away.
package relayer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
)

const (
	// Path is where entries serve each other's calls to the store.
	Path = "/-/store"
	// directAgain is how long calls go through another entry before the store is
	// tried directly again.
	directAgain = 2 * time.Second
	// peerSlack is what another entry's answer to a write may take; readSlack is
	// what one to a read may take beyond the wait.
	peerSlack = 1500 * time.Millisecond
	readSlack = 600 * time.Millisecond
	// readWait bounds the wait of a read, so that another entry that has just
	// lost its power does not hold a reader for long.
	readWait = 500 * time.Millisecond
	// bodyLimit bounds a relayed call and its answer in bytes; the store's own
	// calls are smaller.
	bodyLimit = 8 << 20
)

// Relayer implements plantainrail.Store.
type Relayer struct {
	direct plantainrail.Store
	client *http.Client
	logger *zap.Logger

	mu    sync.Mutex
	peers []string
	turn  int
	// awayUntil is when the store is tried directly again after it failed.
	awayUntil time.Time
	// away is closed when the store has begun to fail; calls that wait for it
	// are given up then.
	away chan struct{}
}

// New returns a Relayer. The client reaches other entries.
func New(direct plantainrail.Store, client *http.Client, logger *zap.Logger) *Relayer {
	return &Relayer{direct: direct, client: client, logger: logger, away: make(chan struct{})}
}

// SetPeers sets the addresses of the other entries.
func (r *Relayer) SetPeers(addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers = addresses
}

// call is a call to the store on its way through another entry. One of the
// operations is set.
type call struct {
	Append *plantainrail.AppendCall `cbor:"0,keyasint,omitempty"`
	// Topic, From and Wait belong to a read; From is below zero for the newest
	// records.
	Topic string              `cbor:"1,keyasint,omitempty"`
	From  plantainrail.Offset `cbor:"2,keyasint,omitempty"`
	Wait  time.Duration       `cbor:"3,keyasint,omitempty"`
}

// outcome is the store's answer.
type outcome struct {
	Offset plantainrail.Offset     `cbor:"0,keyasint,omitempty"`
	Batch  plantainrail.KeyedBatch `cbor:"1,keyasint"`
	Fault  fault                   `cbor:"2,keyasint,omitempty"`
	// End and Want belong to the faults that name them.
	End  plantainrail.Offset `cbor:"3,keyasint,omitempty"`
	Want int64               `cbor:"4,keyasint,omitempty"`
	Text string              `cbor:"5,keyasint,omitempty"`
}

// fault is an error as entries tell it each other.
type fault int

const (
	faultNone fault = iota
	faultNotDone
	faultFenced
	faultExpired
	faultMoved
	faultSequence
	faultUnknown
)

// Append implements plantainrail.Store.
func (r *Relayer) Append(ctx context.Context, a plantainrail.AppendCall) (plantainrail.Offset, error) {
	o, err := r.do(ctx, call{Append: &a}, false)
	return o.Offset, err
}

// Read implements plantainrail.Store.
func (r *Relayer) Read(ctx context.Context, topic string, from plantainrail.Offset, wait time.Duration) (plantainrail.KeyedBatch, error) {
	o, err := r.do(ctx, call{Topic: topic, From: from, Wait: wait}, true)
	return o.Batch, err
}

// Newest implements plantainrail.Store.
func (r *Relayer) Newest(ctx context.Context, topic string) (plantainrail.KeyedBatch, error) {
	o, err := r.do(ctx, call{Topic: topic, From: -1}, true)
	return o.Batch, err
}

// do makes a call directly, or through another entry while the store turns this
// one away. A read that fails directly is tried there at once; a write is left
// to its caller, who knows whether it may be done twice.
func (r *Relayer) do(ctx context.Context, c call, again bool) (outcome, error) {
	r.mu.Lock()
	away, relay := r.away, time.Now().Before(r.awayUntil) && len(r.peers) > 0
	r.mu.Unlock()
	if !relay {
		o, err := r.tryDirect(ctx, c, away)
		if !lost(err) || ctx.Err() != nil {
			return o, err
		}
		r.turnAway(err)
		if !again {
			return o, err
		}
	}
	return r.tryPeers(ctx, c)
}

// tryDirect gives a read up when another call finds the store failing.
func (r *Relayer) tryDirect(ctx context.Context, c call, away <-chan struct{}) (outcome, error) {
	if c.Append == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			select {
			case <-away:
				cancel()
			case <-stop:
			}
		}()
	}
	return perform(ctx, r.direct, c)
}

// perform makes a call to a store.
func perform(ctx context.Context, store plantainrail.Store, c call) (o outcome, err error) {
	switch {
	case c.Append != nil:
		o.Offset, err = store.Append(ctx, *c.Append)
	case c.From < 0:
		o.Batch, err = store.Newest(ctx, c.Topic)
	default:
		o.Batch, err = store.Read(ctx, c.Topic, c.From, c.Wait)
	}
	return o, err
}

// lost tells whether an error means that the store does not serve this entry.
func lost(err error) bool {
	f, _, _ := tell(err)
	return f == faultNotDone || f == faultUnknown
}

// turnAway sends calls through other entries for a while.
func (r *Relayer) turnAway(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.awayUntil) {
		return
	}
	r.awayUntil = time.Now().Add(directAgain)
	close(r.away)
	r.away = make(chan struct{})
	r.logger.Warn("store turned away from", zap.Int("peers", len(r.peers)), zap.Error(err))
}

// tryPeers asks the other entries in turn until one is served.
func (r *Relayer) tryPeers(ctx context.Context, c call) (outcome, error) {
	r.mu.Lock()
	peers, first := r.peers, r.turn
	r.mu.Unlock()
	err := errors.Wrap(plantainrail.ErrNotDone, "no other entry is known")
	for i := range peers {
		var o outcome
		o, err = r.ask(ctx, peers[(first+i)%len(peers)], c)
		if !lost(err) || c.Append != nil && !errors.Is(err, plantainrail.ErrNotDone) {
			return o, err
		}
		r.mu.Lock()
		r.turn++
		r.mu.Unlock()
	}
	return outcome{}, err
}

// ask makes a call through one entry.
func (r *Relayer) ask(ctx context.Context, address string, c call) (outcome, error) {
	limit := peerSlack
	if c.Append == nil {
		c.Wait = min(c.Wait, readWait)
		limit = c.Wait + readSlack
	}
	raw, err := cbor.Marshal(c)
	if err != nil {
		return outcome{}, errors.Wrap(err, "encode a call")
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, bytes.NewReader(raw))
	if err != nil {
		return outcome{}, errors.Wrap(err, "build a call")
	}
	q.GetBody = nil
	answer, err := r.client.Do(q)
	if err != nil {
		return outcome{}, errors.Wrap(err, "call another entry")
	}
	defer func() { _ = answer.Body.Close() }()
	raw, err = io.ReadAll(io.LimitReader(answer.Body, bodyLimit))
	if err != nil || answer.StatusCode != http.StatusOK {
		return outcome{}, errors.Errorf("entry %s answered %d: %v", address, answer.StatusCode, err)
	}
	var o outcome
	if err := cbor.Unmarshal(raw, &o); err != nil {
		return outcome{}, errors.Wrap(err, "decode an answer")
	}
	return o, o.err()
}

// ServeHTTP serves another entry's call with the store alone.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, q.Body, bodyLimit))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var c call
	if err := cbor.Unmarshal(raw, &c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o, err := perform(q.Context(), r.direct, c)
	o.Fault, o.End, o.Want = tell(err)
	if err != nil {
		o.Text = err.Error()
	}
	raw, err = cbor.Marshal(o)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(raw)
}

// tell translates an error of the store.
func tell(err error) (f fault, end plantainrail.Offset, want int64) {
	var moved *plantainrail.MovedError
	var sequence *plantainrail.SequenceError
	switch {
	case err == nil:
		return faultNone, 0, 0
	case errors.Is(err, plantainrail.ErrNotDone):
		return faultNotDone, 0, 0
	case errors.Is(err, plantainrail.ErrFenced):
		return faultFenced, 0, 0
	case errors.Is(err, plantainrail.ErrExpired):
		return faultExpired, 0, 0
	case errors.As(err, &moved):
		return faultMoved, moved.End, 0
	case errors.As(err, &sequence):
		return faultSequence, 0, sequence.Want
	}
	return faultUnknown, 0, 0
}

// err translates an answer's fault back.
func (o outcome) err() error {
	switch o.Fault {
	case faultNone:
		return nil
	case faultNotDone:
		return errors.Wrap(plantainrail.ErrNotDone, o.Text)
	case faultFenced:
		return plantainrail.ErrFenced
	case faultExpired:
		return plantainrail.ErrExpired
	case faultMoved:
		return &plantainrail.MovedError{End: o.End}
	case faultSequence:
		return &plantainrail.SequenceError{Want: o.Want}
	}
	return errors.New(o.Text)
}
