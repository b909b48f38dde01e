package decider

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/clocker"
)

// Keys of the topic of members.
const (
	// claimKey holds the newest owner, entryPrefix an entry's address.
	claimKey    = "claim"
	entryPrefix = "e/"
)

// claim makes an entry the owner. Its epoch is the record's offset plus one.
type claim struct {
	Name    string `cbor:"0,keyasint"`
	Address string `cbor:"1,keyasint"`
	Nonce   string `cbor:"2,keyasint"`
	// Resigned means that the owner has given the jobs back.
	Resigned bool  `cbor:"3,keyasint,omitempty"`
	Epoch    int64 `cbor:"-"`
}

// Member is what a record of the topic of members tells.
type Member struct {
	// Owner is set on a claim.
	Owner bool
	// Address is where agents reach the entry; empty after a resignation.
	Address string
	Epoch   int64
}

// ParseMember reads a record of the topic of members.
func ParseMember(r plantainrail.KeyedRecord) (Member, error) {
	if strings.HasPrefix(r.Key, entryPrefix) {
		return Member{Address: string(r.Value)}, nil
	}
	c, err := parseClaim(r)
	if err != nil || c.Resigned {
		return Member{Epoch: c.Epoch}, err
	}
	return Member{Owner: true, Address: c.Address, Epoch: c.Epoch}, nil
}

func parseClaim(r plantainrail.KeyedRecord) (claim, error) {
	c := claim{Epoch: int64(r.Offset) + 1}
	err := cbor.Unmarshal(r.Value, &c)
	return c, errors.Wrap(err, "decode a claim")
}

func newNonce() string {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// register writes the entry's address once.
func (d *Decider) register(ctx context.Context) error {
	record := plantainrail.KeyedRecord{Key: entryPrefix + d.Name, Value: []byte(d.Address)}
	for ctx.Err() == nil {
		_, err := d.Store.Append(ctx, plantainrail.AppendCall{Topic: MembersTopic, Records: []plantainrail.KeyedRecord{record}})
		if err == nil {
			return nil
		}
		_ = clocker.Sleep(ctx, retryPause)
	}
	return ctx.Err()
}

func (d *Decider) followMembers(ctx context.Context) error {
	return d.follow(ctx, feed{
		topic: MembersTopic, wait: slowWait, next: func() plantainrail.Offset {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.membersNext
		},
		take: func(b plantainrail.KeyedBatch) { d.takeMembers(ctx, b) },
	})
}

func (d *Decider) takeMembers(ctx context.Context, b plantainrail.KeyedBatch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.membersNext = b.Next
	for _, r := range b.Records {
		if name, ok := strings.CutPrefix(r.Key, entryPrefix); ok {
			d.takeEntry(name, string(r.Value))
		}
		if r.Key != claimKey {
			continue
		}
		c, err := parseClaim(r)
		if err != nil {
			d.Logger.Error("claim unreadable", zap.Int64("offset", int64(r.Offset)), zap.Error(err))
			continue
		}
		if c.Epoch <= d.claim.Epoch {
			continue
		}
		d.claim, d.heardAt = c, d.Now()
		d.Logger.Info("owner known", zap.String("owner", c.Name), zap.Int64("epoch", c.Epoch), zap.Bool("resigned", c.Resigned))
	}
	mine := d.claim.Nonce == d.nonce && !d.claim.Resigned
	if d.owner != nil && (!mine || d.owner.epoch != d.claim.Epoch) {
		d.owner.stop("another claim")
	}
	if mine && d.owner == nil && d.claim.Epoch > 0 && !d.stopping {
		d.owner = newOwner(d, d.claim.Epoch)
		go d.owner.run(ctx)
	}
	d.wake()
}

// takeEntry takes in another entry's address. The caller holds the lock.
func (d *Decider) takeEntry(name, address string) {
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

// campaignEvery is how often an entry looks whether the owner is silent.
const campaignEvery = 100 * time.Millisecond

// campaign claims the jobs while no owner is heard of.
func (d *Decider) campaign(ctx context.Context) error {
	for ctx.Err() == nil {
		_ = clocker.Sleep(ctx, campaignEvery)
		at, vacant := d.vacant()
		if !vacant {
			continue
		}
		raw, err := cbor.Marshal(claim{Name: d.Name, Address: d.Address, Nonce: d.nonce})
		if err != nil {
			return errors.Wrap(err, "encode a claim")
		}
		_, err = d.Store.Append(ctx, plantainrail.AppendCall{
			Topic: MembersTopic, At: &at, Records: []plantainrail.KeyedRecord{{Key: claimKey, Value: raw}},
		})
		d.Logger.Info("ownership claimed", zap.Int64("offset", int64(at)), zap.Error(err))
		_ = clocker.Sleep(ctx, silenceLimit/2)
	}
	return ctx.Err()
}

// vacant tells whether the entry should claim the jobs, and at which offset of
// the members' topic.
func (d *Decider) vacant() (plantainrail.Offset, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.owner != nil || d.stopping || d.membersNext == unread || d.runsNext == unread || d.jobsNext == unread || d.heardAt.IsZero() {
		return 0, false
	}
	now := d.Now()
	silent := now.Sub(d.heardAt) > silenceLimit && now.Sub(d.freshAt) < fastWait+silenceLimit
	// The process of this entry that owned the jobs before has ended.
	mine := d.claim.Name == d.Name && d.claim.Nonce != d.nonce
	return d.membersNext, d.claim.Epoch == 0 || d.claim.Resigned || mine || silent
}
