package decider

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/clocker"
)

// Keys of the members topic.
const (
	// claimKey is the key of the ownership claims and resignations; entryPrefix
	// starts the keys of the entries' addresses, and the entry's name follows.
	claimKey    = "claim"
	entryPrefix = "e/"
)

// claim is the record of the members topic that makes an entry the owner of all
// jobs or, if Resigned is set, that ends the ownership.
type claim struct {
	Name    string `cbor:"0,keyasint"`
	Address string `cbor:"1,keyasint"`
	// Nonce identifies the entry's process.
	Nonce string `cbor:"2,keyasint"`
	// Resigned is set when the owner has given up its ownership.
	Resigned bool `cbor:"3,keyasint,omitempty"`
	// Ended is the epoch of the ownership that a resignation ends; 0 from an earlier version.
	Ended int64 `cbor:"4,keyasint,omitempty"`
	// Epoch is the record's offset plus one; the record does not contain it.
	Epoch int64 `cbor:"-"`
	// obscured is set if a record that cannot be read may hide a newer claim.
	obscured bool
}

// MemberRecord is a decoded record of the members topic.
type MemberRecord struct {
	// Owner is set on an ownership claim, but not on a resignation.
	Owner bool
	// Address is where agents reach the entry; empty after a resignation.
	Address string
	// Epoch is that of the claim or resignation; 0 for an entry's address.
	Epoch int64
}

// ParseMember decodes a record of the members topic. The result is empty for a record with
// an unknown key. It returns an error if an address or an ownership claim cannot be decoded.
func ParseMember(r plantainrail.KeyedRecord) (MemberRecord, error) {
	if strings.HasPrefix(r.Key, entryPrefix) {
		address, err := parseAddress(r.Value)
		return MemberRecord{Address: address}, err
	}
	if r.Key != claimKey {
		return MemberRecord{}, nil
	}
	c, err := parseClaim(r)
	if err != nil || c.Resigned {
		return MemberRecord{Epoch: c.Epoch}, err
	}
	return MemberRecord{Owner: true, Address: c.Address, Epoch: c.Epoch}, nil
}

// parseAddress returns the address of an entry, which is an IP address and a port.
func parseAddress(raw []byte) (string, error) {
	address, err := netip.ParseAddrPort(string(raw))
	if err != nil || address.Port() == 0 {
		return "", errors.Errorf("%.100q is no address of an entry", raw)
	}
	return address.String(), nil
}

// parseClaim decodes an ownership claim or a resignation, which holds no address. The epoch
// is also set if it returns an error.
func parseClaim(r plantainrail.KeyedRecord) (claim, error) {
	c := claim{Epoch: int64(r.Offset) + 1}
	err := cbor.Unmarshal(r.Value, &c)
	if err == nil && !c.Resigned {
		c.Address, err = parseAddress([]byte(c.Address))
	}
	return c, errors.Wrap(err, "decode ownership claim")
}

// newNonce returns a random string that identifies this process of the entry.
func newNonce() string {
	var raw [8]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// register writes the entry's address to the members topic. It retries failed
// writes. It returns nil once the store has accepted the write, or the context's
// error.
func (d *Decider) register(ctx context.Context) error {
	record := plantainrail.KeyedRecord{Key: entryPrefix + d.Name, Value: []byte(d.Address)}
	for ctx.Err() == nil {
		_, err := d.Store.Append(ctx, plantainrail.AppendCall{Topic: MembersTopic, Records: []plantainrail.KeyedRecord{record}})
		if err == nil {
			return nil
		}
		_ = clocker.Sleep(ctx, retryDelay)
	}
	return ctx.Err()
}

// applyMembers applies records of the members topic. It starts an ownership if the
// newest claim is this process's own, and ends it after any other claim or a
// resignation. The caller holds the lock.
func (d *Decider) applyMembers(ctx context.Context, b plantainrail.KeyedBatch) {
	for _, r := range b.Records {
		if name, ok := strings.CutPrefix(r.Key, entryPrefix); ok {
			address, err := parseAddress(r.Value)
			if err != nil {
				d.Logger.Error("entry unreadable", zap.String("entry", name), zap.Int64("offset", int64(r.Offset)), zap.Error(err))
				continue
			}
			d.setEntryAddress(name, address)
		}
		if r.Key != claimKey {
			continue
		}
		c, err := parseClaim(r)
		if err != nil {
			d.Logger.Error("claim unreadable", zap.Int64("offset", int64(r.Offset)), zap.Error(err))
			d.claim.obscured = true
			continue
		}
		if c.Epoch <= d.claim.Epoch {
			continue
		}
		d.earlierClaim, d.claim, d.ownerSeenAt = d.claim, c, d.Now()
		d.Logger.Info("owner known", zap.String("owner", c.Name), zap.Int64("epoch", c.Epoch), zap.Bool("resigned", c.Resigned))
	}
	ownClaim := d.claim.Nonce == d.nonce && !d.claim.Resigned
	if d.owner != nil && (!ownClaim || d.owner.epoch != d.claim.Epoch) {
		d.owner.stop("another claim")
	}
	if ownClaim && d.owner == nil && d.claim.Epoch > 0 && !d.stopping {
		d.owner = newOwner(d, d.claim.Epoch)
		d.owner.earlier = d.earlierClaim
		go d.owner.run(ctx)
	}
	d.endLongPolls()
	d.broadcastChange()
}

// setEntryAddress records another entry's address and updates the peers that this
// entry can relay through. It ignores a record with this entry's own name or its
// own address. The caller holds the lock.
func (d *Decider) setEntryAddress(name, address string) {
	if name == d.Name || address == d.Address {
		return
	}
	d.entries[name] = address
	var peers []string
	for _, known := range d.entries {
		peers = append(peers, known)
	}
	slices.Sort(peers)
	d.SetPeers(peers)
}

const (
	// campaignInterval is the time between two checks whether the entry should claim
	// ownership.
	campaignInterval = 100 * time.Millisecond
	// claimTimeout bounds the append of a claim, which no second try hedges. A store that is ninety times
	// slower than usual answers within it, and a claim that is stored later is read.
	claimTimeout = 500 * time.Millisecond
)

// campaign claims ownership of the jobs whenever shouldClaim reports so, until
// the context ends. It returns the context's error, or an error if the claim
// cannot be encoded.
func (d *Decider) campaign(ctx context.Context) error {
	for ctx.Err() == nil {
		_ = clocker.Sleep(ctx, campaignInterval)
		at, claimable := d.shouldClaim()
		if !claimable {
			continue
		}
		raw, err := cbor.Marshal(claim{Name: d.Name, Address: d.Address, Nonce: d.nonce})
		if err != nil {
			return errors.Wrap(err, "encode ownership claim")
		}
		claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
		_, err = d.Store.Append(claimCtx, plantainrail.AppendCall{
			Topic: MembersTopic, At: &at, Records: []plantainrail.KeyedRecord{{Key: claimKey, Value: raw}},
		})
		cancel()
		d.Logger.Info("ownership claimed", zap.Int64("offset", int64(at)), zap.Error(err))
		// The topic tells whether this claim or another entry's was stored. The open long poll
		// may be on a connection that has gone silent.
		if _, _, err := d.advance(ctx, d.members, 0); err != nil {
			d.Logger.Warn("claims not read", zap.Error(err))
		}
		if movedTopic(err) || errors.Is(err, context.DeadlineExceeded) {
			// What was stored meanwhile need not be a claim, and the next append has another connection.
			continue
		}
		_ = clocker.Sleep(ctx, ownerTimeout/2)
	}
	return ctx.Err()
}

// movedTopic reports whether an append was refused since the topic has grown. Whoever appends on the
// condition of its end has to read it again at once: the open long poll may be silent.
func movedTopic(err error) bool {
	var moved *plantainrail.OffsetMismatchError
	return errors.As(err, &moved)
}

// shouldClaim reports whether the entry should claim ownership. It should if
// nobody owns the jobs, the owner was an earlier process of this entry, or the
// owner has timed out. It should not while it owns the jobs, does not follow them or
// drains, before it has read the topics, or while reads of progress fail. shouldClaim also returns
// the offset at which the members topic must still end for the claim to be
// stored, so that of several entries only one succeeds.
func (d *Decider) shouldClaim() (plantainrail.Offset, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.owner != nil || d.stopping || !d.follows() || d.members.next == unread || d.progress.next == unread || d.jobs.next == unread || d.ownerSeenAt.IsZero() {
		return 0, false
	}
	// The owner was an earlier process of this entry and has ended, since this
	// process replaced it.
	previousProcess := d.claim.Name == d.Name && d.claim.Nonce != d.nonce
	return d.members.next, d.claim.Epoch == 0 || d.claim.Resigned || previousProcess || d.ownerTimedOut()
}

// ownerTimedOut reports whether the owner has written nothing for ownerTimeout. Only what the
// entry has read counts: while its own reads stand still, they show nothing about the owner.
// The caller holds the lock.
func (d *Decider) ownerTimedOut() bool {
	silence := d.progress.asOf.Sub(d.ownerSeenAt)
	return silence >= ownerTimeout && d.Now().Sub(d.progress.asOf) < ownerTimeout
}
