package decider

import (
	"bytes"
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

// emptyStore has no records to read.
type emptyStore struct{ plantainrail.Store }

func (emptyStore) Newest(context.Context, string) (plantainrail.KeyedBatch, error) {
	return plantainrail.KeyedBatch{}, nil
}

func (emptyStore) Read(context.Context, string, plantainrail.Offset, time.Duration) (plantainrail.KeyedBatch, error) {
	return plantainrail.KeyedBatch{}, nil
}

// appendOnlyStore records appends, and reads nothing.
type appendOnlyStore struct {
	emptyStore
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
					d.operators.asOf = time.Now()
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

// A record of another writer with an unknown key was taken for an ownership claim by the
// agents, which closed their sessions with the owner and called the address in it.
func TestOddMembersAreLeftOut(t *testing.T) {
	valid := claim{Name: "a", Address: "10.0.0.1:7720", Nonce: "n"}
	for name, c := range map[string]struct {
		key   string
		value []byte
		want  MemberRecord
		err   string
	}{
		"entry":                    {"e/a", []byte("10.0.0.1:7720"), MemberRecord{Address: "10.0.0.1:7720"}, ""},
		"port out of range":        {"e/a", []byte("10.0.0.1:99999"), MemberRecord{}, "no address"},
		"no port":                  {"e/a", []byte("10.0.0.1"), MemberRecord{}, "no address"},
		"no address":               {"e/a", nil, MemberRecord{}, "no address"},
		"a path":                   {"e/a", []byte("10.0.0.1:7720/x"), MemberRecord{}, "no address"},
		"claim":                    {"claim", encode(t, valid), MemberRecord{Owner: true, Address: "10.0.0.1:7720", Epoch: 5}, ""},
		"resignation":              {"claim", encode(t, claim{Name: "a", Resigned: true}), MemberRecord{Epoch: 5}, ""},
		"claim under another key":  {"x", encode(t, valid), MemberRecord{}, ""},
		"claim under no key":       {"", encode(t, valid), MemberRecord{}, ""},
		"claim, port out of range": {"claim", encode(t, claim{Name: "a", Address: "10.0.0.1:99999"}), MemberRecord{Epoch: 5}, "no address"},
		"claim, deeply nested":     {"claim", bytes.Repeat([]byte{0x81}, 100_000), MemberRecord{Epoch: 5}, "nested"},
		"claim, name is a number":  {"claim", encode(t, map[int]any{0: 1e300}), MemberRecord{Epoch: 5}, "decode"},
	} {
		t.Run(name, func(t *testing.T) {
			record := plantainrail.KeyedRecord{Key: c.key, Value: c.value, Offset: 4}
			member, err := ParseMember(record)
			if c.err != "" {
				assert.ErrorContains(t, err, c.err)
			} else {
				assert.NilError(t, err)
			}
			assert.Equal(t, member, c.want)
			var peers []string
			d := New(Options{Name: "b", Now: time.Now, Logger: zap.NewNop(), SetPeers: func(addresses []string) { peers = addresses }})
			d.applyMembers(t.Context(), plantainrail.KeyedBatch{Records: []plantainrail.KeyedRecord{record}})
			assert.Equal(t, d.claim.Address, map[bool]string{true: c.want.Address}[c.want.Owner])
			assert.Equal(t, len(peers) == 1, c.want.Address != "" && !c.want.Owner)
		})
	}
}
