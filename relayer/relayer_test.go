package relayer_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
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
