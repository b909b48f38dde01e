// Package relayer gives an entry access to the store while its own connection to the
// store fails: it calls the store directly or, for a while after a direct call has
// failed, through another entry. It also executes the other entries' calls. The direct
// calls are made by package platform; the calls between entries are HTTP requests with
// CBOR bodies.
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
	// Path is the HTTP path at which an entry relays other entries' calls to the
	// store.
	Path = "/-/store"
	// directRetryDelay is how long calls go through other entries before the store
	// is called directly again.
	directRetryDelay = 2 * time.Second
	// maxAnswerAge is how long ago the store may have answered last for a failure to be outdated. A read that
	// fails should have been answered a second ago; an answer since then shows that the store is there.
	maxAnswerAge = time.Second
	// peerAppendTimeout bounds an append through another entry. peerReadMargin is how
	// long a read through another entry may take beyond its wait for records.
	peerAppendTimeout = 1500 * time.Millisecond
	peerReadMargin    = 600 * time.Millisecond
	// maxPeerReadWait bounds the long poll of a read through another entry, so that
	// an entry that has just lost power does not block a reader for long.
	maxPeerReadWait = 500 * time.Millisecond
	// maxBodyBytes bounds a relayed call and its response. The store's own calls are
	// smaller.
	maxBodyBytes = 8 << 20
)

// Relayer implements plantainrail.Store. As an http.Handler it also serves the relayed
// calls of other entries.
type Relayer struct {
	direct plantainrail.Store
	client *http.Client
	logger *zap.Logger

	mu sync.Mutex
	// peers holds the addresses of the other entries.
	peers []string
	// nextPeer modulo the number of peers is the index of the peer to call first.
	nextPeer int
	// directRetryAt is when the store is called directly again. Until then calls go
	// through other entries, if any are known.
	directRetryAt time.Time
	// directFailure is closed and replaced when direct calls begin to fail. That cancels
	// the pending direct reads, which are then retried through another entry.
	directFailure chan struct{}
	// answeredSentAt is the newest time at which a direct call was sent that the store has answered.
	// answeredAt is when it has answered last.
	answeredSentAt, answeredAt time.Time
	// appendFailed is set from a failed direct append until the next one that the store answers.
	appendFailed bool
}

// New returns a Relayer that calls the store with direct and other entries with
// the client.
func New(direct plantainrail.Store, client *http.Client, logger *zap.Logger) *Relayer {
	return &Relayer{direct: direct, client: client, logger: logger, directFailure: make(chan struct{})}
}

// SetPeers sets the addresses (host:port) of the other entries. The slice must not be
// changed afterwards.
func (r *Relayer) SetPeers(addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers = addresses
}

// storeCall is a call to the store, as it is sent to another entry. It is an append
// if Append is set, and a read otherwise.
type storeCall struct {
	Append *plantainrail.AppendCall `cbor:"0,keyasint,omitempty"`
	// Topic, From and Wait are the parameters of a read. A negative From requests the
	// newest record of each key, and Wait is not used then.
	Topic string              `cbor:"1,keyasint,omitempty"`
	From  plantainrail.Offset `cbor:"2,keyasint,omitempty"`
	Wait  time.Duration       `cbor:"3,keyasint,omitempty"`
	// Paged requests only the page of the newest records after the key After. Entries of an earlier build send all.
	Paged bool   `cbor:"4,keyasint,omitempty"`
	After string `cbor:"5,keyasint,omitempty"`
}

// storeResult is the result of a storeCall.
type storeResult struct {
	Offset    plantainrail.Offset     `cbor:"0,keyasint,omitempty"`
	Batch     plantainrail.KeyedBatch `cbor:"1,keyasint"`
	ErrorCode errorCode               `cbor:"2,keyasint,omitempty"`
	// End belongs to errorOffset, ExpectedSequence to errorSequence.
	End              plantainrail.Offset `cbor:"3,keyasint,omitempty"`
	ExpectedSequence int64               `cbor:"4,keyasint,omitempty"`
	// Text is the error message.
	Text string `cbor:"5,keyasint,omitempty"`
	// Full distinguishes plantainrail.ErrFull from other rejections. Earlier builds ignore it.
	Full bool `cbor:"6,keyasint,omitempty"`
	// More means that further pages of the newest records follow.
	More bool `cbor:"7,keyasint,omitempty"`
}

// decodeMode accepts keys of records that are no valid UTF-8, which other writers may append.
var decodeMode = mustDecodeMode()

func mustDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		// The options are constant.
		panic(err)
	}
	return mode
}

// errorCode identifies an error of the store in a storeResult. errorUnknown means that
// the call may or may not have taken effect.
type errorCode int

const (
	errorNone errorCode = iota
	// errorRejected to errorSequence, and errorUnacceptable, stand for the store's
	// corresponding errors (see encodeError). After them the call had no effect.
	errorRejected
	errorFenced
	errorExpired
	errorOffset
	errorSequence
	errorUnknown
	// Entries of earlier builds take errorUnacceptable for errorUnknown.
	errorUnacceptable
)

// Append implements plantainrail.Store.
func (r *Relayer) Append(ctx context.Context, a plantainrail.AppendCall) (plantainrail.Offset, error) {
	result, err := r.do(ctx, storeCall{Append: &a}, false)
	return result.Offset, err
}

// Read implements plantainrail.Store.
func (r *Relayer) Read(ctx context.Context, topic string, from plantainrail.Offset, wait time.Duration) (plantainrail.KeyedBatch, error) {
	result, err := r.do(ctx, storeCall{Topic: topic, From: from, Wait: wait}, true)
	return result.Batch, err
}

// Newest implements plantainrail.Store.
func (r *Relayer) Newest(ctx context.Context, topic string) (plantainrail.KeyedBatch, error) {
	result, err := r.do(ctx, storeCall{Topic: topic, From: -1}, true)
	return result.Batch, err
}

// do calls the store directly, or through another entry for directRetryDelay after
// a direct call has failed. A read that fails directly is retried through another
// entry at once, and before that once more directly if its failure is outdated.
// The error of a failed append is returned to the caller, which knows
// whether the append may be applied twice. isRead must be set if and only if c is a read.
func (r *Relayer) do(ctx context.Context, c storeCall, isRead bool) (storeResult, error) {
	directFailure, viaPeer := r.route()
	if viaPeer {
		return r.relay(ctx, c)
	}
	until := time.Now().Add(c.Wait)
	result, outdated, err := r.callDirect(ctx, c, directFailure)
	if outdated && isRead {
		if directFailure, viaPeer = r.route(); !viaPeer {
			again := c
			again.Wait = max(0, time.Until(until))
			result, _, err = r.callDirect(ctx, again, directFailure)
		}
	}
	if !isRead || !isUnavailable(err) || ctx.Err() != nil {
		return result, err
	}
	return r.relay(ctx, c)
}

// relay makes the call through other entries. A list of the newest records is read page by page: it may exceed
// maxBodyBytes, or take longer than one call through another entry may take.
func (r *Relayer) relay(ctx context.Context, c storeCall) (storeResult, error) {
	c.Paged = c.Append == nil && c.From < 0
	result, err := r.tryPeers(ctx, c)
	for err == nil && result.More && len(result.Batch.Records) > 0 {
		var page storeResult
		c.After = result.Batch.Records[len(result.Batch.Records)-1].Key
		page, err = r.tryPeers(ctx, c)
		result.Batch.Records = append(result.Batch.Records, page.Batch.Records...)
		result.Batch.Malformed += page.Batch.Malformed
		result.More = page.More && len(page.Batch.Records) > 0
	}
	if err != nil {
		return storeResult{}, err
	}
	return result, nil
}

// route reports whether calls go through another entry, and returns the channel that is closed when direct
// calls begin to fail.
func (r *Relayer) route() (directFailure <-chan struct{}, viaPeer bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.directFailure, time.Now().Before(r.directRetryAt) && len(r.peers) > 0
}

// callDirect calls the store directly, and notes whether the store has answered or has to be turned away
// from. Outdated is set if the call has failed without showing anything new.
func (r *Relayer) callDirect(ctx context.Context, c storeCall, directFailure <-chan struct{}) (result storeResult, outdated bool, err error) {
	sentAt := time.Now()
	result, err = r.tryDirect(ctx, c, directFailure)
	switch {
	case !isUnavailable(err):
		r.noteAnswer(c, sentAt)
	case ctx.Err() == nil:
		outdated = r.noteFailure(c, err)
	}
	return result, outdated, err
}

// tryDirect makes one direct call. It cancels a read once directFailure is closed,
// which means that another direct call has failed.
func (r *Relayer) tryDirect(ctx context.Context, c storeCall, directFailure <-chan struct{}) (storeResult, error) {
	if c.Append == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			select {
			case <-directFailure:
				cancel()
			case <-stop:
			}
		}()
	}
	return perform(ctx, r.direct, c)
}

// perform makes the call on the given store.
func perform(ctx context.Context, store plantainrail.Store, c storeCall) (result storeResult, err error) {
	pager, paged := store.(plantainrail.Pager)
	switch {
	case c.Append != nil:
		result.Offset, err = store.Append(ctx, *c.Append)
	case c.Paged && paged:
		result.Batch, result.More, err = pager.NewestPage(ctx, c.Topic, c.After)
	case c.From < 0:
		result.Batch, err = store.Newest(ctx, c.Topic)
	default:
		result.Batch, err = store.Read(ctx, c.Topic, c.From, c.Wait)
	}
	return result, err
}

// isUnavailable reports whether a call that failed with the error may succeed by another
// route to the store, directly or through another entry. It returns true for ErrRejected, after which the
// call had no effect, and for errors after which the outcome is unknown, such as a
// timeout. It returns false for nil and for the store's other errors, which every entry
// would get.
func isUnavailable(err error) bool {
	if errors.Is(err, plantainrail.ErrFull) {
		return false
	}
	code, _, _ := encodeError(err)
	return code == errorRejected || code == errorUnknown
}

// noteAnswer notes that the store has answered a direct call.
func (r *Relayer) noteAnswer(c storeCall, sentAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answeredAt = time.Now()
	if sentAt.After(r.answeredSentAt) {
		r.answeredSentAt = sentAt
	}
	if c.Append != nil {
		r.appendFailed = false
	}
}

// noteFailure notes that a direct call has failed. It makes do call the store through other entries for
// directRetryDelay and cancels the pending direct reads, unless an earlier failure still has this
// effect or the failure is outdated, which it reports.
func (r *Relayer) noteFailure(c storeCall, err error) (outdated bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	outdated = r.isOutdated(c, err)
	r.appendFailed = r.appendFailed || c.Append != nil
	switch {
	case time.Now().Before(r.directRetryAt):
		return false
	case outdated:
		r.logger.Info("store failure outdated", zap.Int64("newer", r.sinceSent(err).Milliseconds()), zap.Error(err))
		return true
	}
	r.directRetryAt = time.Now().Add(directRetryDelay)
	close(r.directFailure)
	r.directFailure = make(chan struct{})
	// Calls now go through other entries.
	r.logger.Warn("store turned away from", zap.Int("peers", len(r.peers)), zap.Error(err))
	return false
}

// isOutdated reports whether a direct call that got no answer was sent before one that the store has
// answered, while the store still answers. A second append in a row without an answer counts in any case, since a
// path to the store may fail for appends only. The caller holds the lock.
func (r *Relayer) isOutdated(c storeCall, err error) bool {
	return r.sinceSent(err) > 0 && time.Since(r.answeredAt) < maxAnswerAge && (c.Append == nil || !r.appendFailed)
}

// sinceSent returns by how much a call that got no answer was sent before the newest one that the store
// has answered. It is not positive if it was sent later, and zero for other errors. The caller holds
// the lock.
func (r *Relayer) sinceSent(err error) time.Duration {
	var unanswered *plantainrail.UnansweredError
	if !errors.As(err, &unanswered) {
		return 0
	}
	return r.answeredSentAt.Sub(unanswered.SentAt)
}

// tryPeers makes the call through the other entries in turn until one of them
// reaches the store. An append is tried through the next entry only after a rejection,
// since after any other failure it may have taken effect. If no entry reaches the
// store, tryPeers returns an error of the tries, see plantainrail.WriteTries, and if no
// entry is known, ErrRejected.
func (r *Relayer) tryPeers(ctx context.Context, c storeCall) (storeResult, error) {
	r.mu.Lock()
	peers, firstPeer := r.peers, r.nextPeer
	r.mu.Unlock()
	var tries plantainrail.WriteTries
	for i := range peers {
		result, err := r.callPeer(ctx, peers[(firstPeer+i)%len(peers)], c)
		if !isUnavailable(err) {
			return result, err
		}
		if tries = tries.With(err); c.Append != nil && tries.MaybeDone() {
			break
		}
		r.mu.Lock()
		r.nextPeer++
		r.mu.Unlock()
	}
	if len(peers) == 0 {
		return storeResult{}, errors.Wrap(plantainrail.ErrRejected, "no other entry is known")
	}
	return storeResult{}, tries.Err()
}

// callPeer makes the call through the entry at the address. The store's errors are
// returned as if the store had been called directly.
func (r *Relayer) callPeer(ctx context.Context, address string, c storeCall) (storeResult, error) {
	timeout := peerAppendTimeout
	if c.Append == nil {
		c.Wait = min(c.Wait, maxPeerReadWait)
		timeout = c.Wait + peerReadMargin
	}
	raw, err := cbor.Marshal(c)
	if err != nil {
		return storeResult{}, errors.Wrap(err, "encode relayed call")
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, bytes.NewReader(raw))
	if err != nil {
		return storeResult{}, errors.Wrap(err, "create relay request")
	}
	// Without GetBody the transport cannot resend the request by itself after a
	// connection failure.
	req.GetBody = nil
	response, err := r.client.Do(req)
	if err != nil {
		return storeResult{}, errors.Wrap(err, "relay call through another entry")
	}
	defer func() { _ = response.Body.Close() }()
	raw, err = io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil || response.StatusCode != http.StatusOK {
		return storeResult{}, errors.Errorf("entry %s returned status %d: %v", address, response.StatusCode, err)
	}
	var result storeResult
	if err := decodeMode.Unmarshal(raw, &result); err != nil {
		return storeResult{}, errors.Wrap(err, "decode result of relayed call")
	}
	return result, result.toError()
}

// ServeHTTP implements http.Handler. It executes another entry's call directly on
// the store and does not relay it further.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var c storeCall
	if err := cbor.Unmarshal(raw, &c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	result, err := perform(req.Context(), r.direct, c)
	result.ErrorCode, result.End, result.ExpectedSequence = encodeError(err)
	if err != nil {
		result.Text, result.Full = err.Error(), errors.Is(err, plantainrail.ErrFull)
	}
	raw, err = cbor.Marshal(result)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(raw)
}

// encodeError converts an error of the store to its code and parameters: the end offset
// of a *plantainrail.OffsetMismatchError and the expected sequence number of a
// *plantainrail.SequenceError.
func encodeError(err error) (code errorCode, end plantainrail.Offset, expected int64) {
	var mismatch *plantainrail.OffsetMismatchError
	var sequence *plantainrail.SequenceError
	switch {
	case err == nil:
		return errorNone, 0, 0
	case errors.Is(err, plantainrail.ErrRejected):
		return errorRejected, 0, 0
	case errors.Is(err, plantainrail.ErrUnacceptable):
		return errorUnacceptable, 0, 0
	case errors.Is(err, plantainrail.ErrFenced):
		return errorFenced, 0, 0
	case errors.Is(err, plantainrail.ErrExpired):
		return errorExpired, 0, 0
	case errors.As(err, &mismatch):
		return errorOffset, mismatch.End, 0
	case errors.As(err, &sequence):
		return errorSequence, 0, sequence.Expected
	}
	return errorUnknown, 0, 0
}

// toError converts the code and parameters of the result back to an error.
func (r storeResult) toError() error {
	switch r.ErrorCode {
	case errorNone:
		return nil
	case errorRejected:
		if r.Full {
			return errors.Wrap(plantainrail.ErrFull, r.Text)
		}
		return errors.Wrap(plantainrail.ErrRejected, r.Text)
	case errorUnacceptable:
		return errors.Wrap(plantainrail.ErrUnacceptable, r.Text)
	case errorFenced:
		return plantainrail.ErrFenced
	case errorExpired:
		return plantainrail.ErrExpired
	case errorOffset:
		return &plantainrail.OffsetMismatchError{End: r.End}
	case errorSequence:
		return &plantainrail.SequenceError{Expected: r.ExpectedSequence}
	}
	return errors.New(r.Text)
}
