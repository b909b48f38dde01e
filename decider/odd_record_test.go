package decider

import (
	"context"
	"math"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
)

func encode(t *testing.T, value any) []byte {
	t.Helper()
	raw, err := cbor.Marshal(value)
	assert.NilError(t, err)
	return raw
}

// appendOnlyStore records appends. Its other calls are not made.
type appendOnlyStore struct {
	plantainrail.Store
	appended []plantainrail.KeyedRecord
}

func (s *appendOnlyStore) Append(_ context.Context, call plantainrail.AppendCall) (plantainrail.Offset, error) {
	s.appended = append(s.appended, call.Records...)
	return 0, nil
}

// unreachable returns a client whose calls fail.
func unreachable() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		return nil, errors.New("unreachable")
	}}}
}

// A claim of another writer without a number of processors left its zone without a replica
// for ever: it never equalled itself, so it always seemed to be a new one.
func TestZoneGetsAReplicaAfterAnOddClaim(t *testing.T) {
	for name, cores := range map[string]float64{"no number": math.NaN(), "infinite": math.Inf(1), "negative": -1, "plausible": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &appendOnlyStore{}
				d := New(Options{Name: "a", Zone: "z", Store: store, Cores: 1, Now: time.Now, Logger: zap.NewNop(), PeerClient: unreachable()})
				value := encode(t, replicaClaim{Name: "odd", Address: "10.0.0.1:1", Nonce: "n", Cores: cores})
				d.applyReplicas(plantainrail.KeyedBatch{Records: []plantainrail.KeyedRecord{{Key: "z", Value: value}}})
				ctx, stop := context.WithCancel(t.Context())
				go func() { _ = d.maintainReplica(ctx) }()
				for range 100 {
					d.mu.Lock()
					d.configurationReadAt = time.Now()
					d.mu.Unlock()
					time.Sleep(100 * time.Millisecond)
				}
				stop()
				synctest.Wait()
				assert.Assert(t, len(store.appended) > 0, "no entry has claimed the place of the replica")
			})
		})
	}
}
