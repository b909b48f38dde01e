package relayer_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/relayer"
)

// fakeStore returns a batch, or an error if there is none. It executes no appends.
type fakeStore struct {
	plantainrail.Store
	batch plantainrail.KeyedBatch
}

func (s *fakeStore) Read(context.Context, string, plantainrail.Offset, time.Duration) (plantainrail.KeyedBatch, error) {
	if len(s.batch.Records) == 0 {
		return s.batch, plantainrail.ErrRejected
	}
	return s.batch, nil
}

// An entry that was cut off from the store read no further through others once it came to a
// record of another writer whose key is no text.
func TestKeyThatIsNoTextIsRelayed(t *testing.T) {
	batch := plantainrail.KeyedBatch{Next: 9, Malformed: 1, Records: []plantainrail.KeyedRecord{{Key: "\xff\xfe", Value: []byte("v"), Offset: 7}}}
	peer := httptest.NewServer(relayer.New(&fakeStore{batch: batch}, nil, zap.NewNop()))
	defer peer.Close()
	r := relayer.New(&fakeStore{}, peer.Client(), zap.NewNop())
	r.SetPeers([]string{strings.TrimPrefix(peer.URL, "http://")})
	got, err := r.Read(t.Context(), "jobs", 7, 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, batch)
}

// refusingStore refuses every append with its error.
type refusingStore struct {
	plantainrail.Store
	err error
}

func (s refusingStore) Append(context.Context, plantainrail.AppendCall) (plantainrail.Offset, error) {
	return 0, s.err
}

// Guards against an append that is repeated for ever, since its refusal reaches an entry that
// is cut off from the store as an unknown outcome.
func TestRefusalForGoodIsRelayed(t *testing.T) {
	peer := httptest.NewServer(relayer.New(refusingStore{err: plantainrail.ErrUnacceptable}, nil, zap.NewNop()))
	defer peer.Close()
	r := relayer.New(refusingStore{err: plantainrail.ErrRejected}, peer.Client(), zap.NewNop())
	r.SetPeers([]string{strings.TrimPrefix(peer.URL, "http://")})
	// The first append turns away from the store.
	_, err := r.Append(t.Context(), plantainrail.AppendCall{})
	assert.ErrorIs(t, err, plantainrail.ErrRejected)
	_, err = r.Append(t.Context(), plantainrail.AppendCall{})
	assert.ErrorIs(t, err, plantainrail.ErrUnacceptable)
}

// fullStore refuses appends for want of room.
type fullStore struct {
	fakeStore
	appends int
}

func (s *fullStore) Append(context.Context, plantainrail.AppendCall) (plantainrail.Offset, error) {
	s.appends++
	return 0, plantainrail.ErrFull
}

// Guards against entries that turn away from a store that answers, and against an owner that does
// not learn through another entry that the store is full.
func TestFullStoreIsNotUnavailable(t *testing.T) {
	far, near := &fullStore{}, &fullStore{}
	peer := httptest.NewServer(relayer.New(far, nil, zap.NewNop()))
	defer peer.Close()
	r := relayer.New(near, peer.Client(), zap.NewNop())
	r.SetPeers([]string{strings.TrimPrefix(peer.URL, "http://")})
	for n := range 3 {
		_, err := r.Append(t.Context(), plantainrail.AppendCall{})
		assert.ErrorIs(t, err, plantainrail.ErrFull)
		assert.Equal(t, near.appends, n+1)
	}
	// The failed read makes the next calls go through the other entry.
	_, _ = r.Read(t.Context(), "jobs", 0, 0)
	_, err := r.Append(t.Context(), plantainrail.AppendCall{})
	assert.ErrorIs(t, err, plantainrail.ErrFull)
	assert.Equal(t, near.appends, 3)
	assert.Equal(t, far.appends, 1)
}

// silentStore leaves the first reads of its topics, and the appends while appendsFail is set, without an
// answer. It holds the other reads until their wait has passed.
type silentStore struct {
	plantainrail.Store
	mu          sync.Mutex
	reads       map[string]int
	appendsFail bool
}

const callMargin = time.Second

// fail returns the error of a call that had no answer for the time, or nil if the context ends first.
func (s *silentStore) fail(ctx context.Context, after time.Duration) error {
	sentAt := time.Now()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(after):
		return &plantainrail.UnansweredError{SentAt: sentAt, Waited: after, Err: context.DeadlineExceeded}
	}
}

func (s *silentStore) Read(ctx context.Context, topic string, from plantainrail.Offset, wait time.Duration) (plantainrail.KeyedBatch, error) {
	s.mu.Lock()
	s.reads[topic]++
	silent := topic == "silent" && s.reads[topic] == 1
	s.mu.Unlock()
	if silent {
		return plantainrail.KeyedBatch{}, s.fail(ctx, wait+callMargin)
	}
	select {
	case <-ctx.Done():
		return plantainrail.KeyedBatch{}, ctx.Err()
	case <-time.After(wait):
		return plantainrail.KeyedBatch{Next: from}, nil
	}
}

func (s *silentStore) Append(ctx context.Context, _ plantainrail.AppendCall) (plantainrail.Offset, error) {
	if s.appendsFail {
		return 0, s.fail(ctx, 2*callMargin)
	}
	return 1, nil
}

// Guards against an entry that turns away from a store that is well, and ends its open reads, because of a
// call that was sent long before others were answered.
func TestOutdatedFailureIsNoReasonToTurnAway(t *testing.T) {
	const wait = 20 * time.Second
	for _, c := range []struct {
		name string
		// answered holds the times of other reads that are answered.
		answered []time.Duration
		// appends is the number of appends in a row that get no answer; without them it is a read.
		appends  int
		turnAway bool
	}{
		{"read before answers", []time.Duration{time.Second, wait + callMargin/2}, 0, false},
		{"read without any answer since", nil, 0, true},
		{"read, and the store answers no more", []time.Duration{time.Second}, 0, true},
		{"read that should have been answered after the last answer", []time.Duration{wait - callMargin/5}, 0, true},
		{"append before an answer", []time.Duration{3 * callMargin / 2}, 1, false},
		{"two appends in a row", []time.Duration{3 * callMargin / 2, 7 * callMargin / 2}, 2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				core, logs := observer.New(zap.InfoLevel)
				store := &silentStore{reads: map[string]int{}, appendsFail: true}
				r := relayer.New(store, nil, zap.New(core))
				for _, at := range c.answered {
					time.AfterFunc(at, func() { _, _ = r.Read(t.Context(), "other", 3, 0) })
				}
				if c.appends == 0 {
					_, err := r.Read(t.Context(), "silent", 3, wait)
					assert.Equal(t, err == nil, !c.turnAway, "%v", err)
					assert.Equal(t, store.reads["silent"] == 2, !c.turnAway, "the read must be repeated")
				}
				for range c.appends {
					_, err := r.Append(t.Context(), plantainrail.AppendCall{})
					assert.ErrorIs(t, err, context.DeadlineExceeded)
				}
				assert.Equal(t, logs.FilterMessage("store turned away from").Len() == 1, c.turnAway)
			})
		})
	}
}

// pagedStore also lists its records in pages of one record.
type pagedStore struct{ wholeStore }

func (s pagedStore) NewestPage(_ context.Context, _, after string) (plantainrail.KeyedBatch, bool, error) {
	i := 0
	for i < len(s.records) && s.records[i].Key <= after {
		i++
	}
	// The topic grows while the pages are read.
	return plantainrail.KeyedBatch{Next: plantainrail.Offset(10 + i), Records: s.records[i : i+1]}, i+1 < len(s.records), nil
}

// wholeStore lists all records at once, like an entry of the build before pages.
type wholeStore struct {
	plantainrail.Store
	records []plantainrail.KeyedRecord
}

func (s wholeStore) Newest(context.Context, string) (plantainrail.KeyedBatch, error) {
	return plantainrail.KeyedBatch{Next: 10, Records: s.records}, nil
}

// unlistedStore cannot be reached.
type unlistedStore struct{ plantainrail.Store }

func (unlistedStore) Newest(context.Context, string) (plantainrail.KeyedBatch, error) {
	return plantainrail.KeyedBatch{}, plantainrail.ErrRejected
}

// Guards against an entry that is cut off from the store and never begins to follow a topic, since the list of the
// newest records exceeds the limit of a relayed call.
func TestLargeListIsRelayedInPages(t *testing.T) {
	for _, c := range []struct {
		name         string
		bytes, count int
		// whole is set for a peer of the build before.
		whole bool
	}{{"12 MB", 3 << 20, 4, false}, {"one record", 10, 1, false}, {"peer without pages", 10, 4, true}} {
		t.Run(c.name, func(t *testing.T) {
			var records []plantainrail.KeyedRecord
			for i := range c.count {
				records = append(records, plantainrail.KeyedRecord{Key: string(rune('a' + i)), Value: make([]byte, c.bytes), Offset: plantainrail.Offset(i)})
			}
			var far plantainrail.Store = pagedStore{wholeStore{records: records}}
			if c.whole {
				far = wholeStore{records: records}
			}
			peer := httptest.NewServer(relayer.New(far, nil, zap.NewNop()))
			defer peer.Close()
			r := relayer.New(unlistedStore{}, peer.Client(), zap.NewNop())
			r.SetPeers([]string{strings.TrimPrefix(peer.URL, "http://")})
			got, err := r.Newest(t.Context(), "jobs")
			assert.NilError(t, err)
			assert.Equal(t, got.Next, plantainrail.Offset(10), "a read must continue from the first page")
			assert.Equal(t, len(got.Records), len(records))
			for i, record := range got.Records {
				assert.Equal(t, record.Key, records[i].Key)
				assert.Equal(t, len(record.Value), c.bytes)
			}
		})
	}
}
