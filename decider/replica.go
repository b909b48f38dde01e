package decider

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/clocker"
	"github.com/plantainrail/plantainrail/planner"
)

// replicasTopic holds the replicas of the availability zones. One entry of each zone
// follows the jobs and their progress; the others ask it (see query.go), so that the
// store's load grows with the number of zones and not with that of the entries.
const replicasTopic = "replicas"

const (
	// replicaPingInterval is the time between two pings of the zone's replica.
	replicaPingInterval = 500 * time.Millisecond
	// replicaTimeout is how long pings of the replica may fail before another entry of
	// the zone takes its place.
	replicaTimeout = time.Second
	// promotionDelay is how long an entry waits before it replaces a replica that has
	// far fewer processors than itself.
	promotionDelay = 3 * time.Second
	// promotionFactor is how many times as many processors that entry must have.
	promotionFactor = 2
	// claimDelayPerCore and maxClaimDelay determine the delay of a claim: an entry with
	// one core waits for claimDelayPerCore, and a smaller one for longer, so that a
	// large entry claims first. claimJitter keeps equal entries apart.
	claimDelayPerCore = 40 * time.Millisecond
	maxClaimDelay     = 500 * time.Millisecond
	claimJitter       = 60 * time.Millisecond
	// lagTime is how long an entry may have read less than its replica. The store answers both their
	// long polls at the same time.
	lagTime = 300 * time.Millisecond
)

// replicaClaim is the record that makes an entry the replica of its zone. Its key is the
// zone, and the newest record of a zone counts.
type replicaClaim struct {
	Name    string `cbor:"0,keyasint"`
	Address string `cbor:"1,keyasint"`
	// Nonce identifies the entry's process.
	Nonce string `cbor:"2,keyasint"`
	// Cores is the entry's share of processors.
	Cores float64 `cbor:"3,keyasint,omitempty"`
	// Resigned is set when the entry stops. It answers until another entry claims.
	Resigned bool `cbor:"4,keyasint,omitempty"`
}

// parseReplica decodes a claim. The processors must be a finite amount: claims are compared,
// and one without a number does not equal itself.
func parseReplica(r plantainrail.KeyedRecord) (replicaClaim, error) {
	var c replicaClaim
	if err := cbor.Unmarshal(r.Value, &c); err != nil {
		return c, errors.Wrap(err, "decode claim of a replica")
	}
	if math.IsNaN(c.Cores) || math.IsInf(c.Cores, 0) || c.Cores < 0 {
		return c, errors.Errorf("claim of a replica with %g processors", c.Cores)
	}
	return c, nil
}

// farLarger reports whether an entry with the given processors should be the replica rather
// than another one. An unknown number of processors is 0.
func farLarger(cores, other float64) bool { return cores > 0 && cores >= promotionFactor*other }

// claimDelay returns how long an entry with the given processors waits, beside the jitter,
// before it claims the place of an earlier replica.
func claimDelay(cores float64, earlier replicaClaim) time.Duration {
	delay := maxClaimDelay
	if cores > 0 {
		delay = min(time.Duration(float64(claimDelayPerCore)/cores), maxClaimDelay)
	}
	if earlier.Resigned && farLarger(earlier.Cores, cores) {
		// Another large entry may learn of the resignation only when its next ping is due.
		// The earlier replica answers meanwhile.
		delay += replicaPingInterval + claimJitter
	}
	return delay
}

// isReplica reports whether the newest claim of the entry's zone is this process's own.
// The caller holds the lock.
func (d *Decider) isReplica() bool { return d.replicas[d.Zone].Nonce == d.nonce }

// follows reports whether the entry reads the jobs and their progress: it is the replica
// of its zone or owns the jobs. The caller holds the lock.
func (d *Decider) follows() bool { return d.isReplica() || d.owner != nil }

// dropUnfollowed drops the catalog if the entry does not follow the jobs any more. It must
// be called whenever that may have changed. The caller holds the lock.
func (d *Decider) dropUnfollowed() {
	if d.follows() || d.jobs.next == unread && d.progress.next == unread {
		return
	}
	d.catalog, d.ownerSeenAt = planner.NewCatalog(), time.Time{}
	d.jobs.reset()
	d.progress.reset()
}

// waitToFollow returns nil if the entry follows the jobs, and otherwise a channel that is
// closed when that may have changed.
func (d *Decider) waitToFollow() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.follows() {
		return nil
	}
	return d.stateChanged
}

// applyReplicas applies records of the replicas topic. The caller holds the lock.
func (d *Decider) applyReplicas(b plantainrail.KeyedBatch) {
	d.replicasRead = true
	for _, r := range b.Records {
		c, err := parseReplica(r)
		if err != nil {
			d.Logger.Error("replica unreadable", zap.String("zone", r.Key), zap.Int64("offset", int64(r.Offset)), zap.Error(err))
			continue
		}
		d.replicas[r.Key] = c
		d.Logger.Info("replica known", zap.String("zone", r.Key), zap.String("entry", c.Name), zap.Bool("resigned", c.Resigned), zap.Int64("offset", int64(r.Offset)))
	}
	d.dropUnfollowed()
	d.endLongPolls()
	d.broadcastChange()
}

// replicaWatch is what an entry knows about the replica of its zone from its pings.
type replicaWatch struct {
	claim replicaClaim
	// since is when the claim was first seen, and silentSince when the pings began to
	// fail; zero if the last one succeeded.
	since, silentSince time.Time
}

// waitForReplicas waits until the claims were read. It returns the context's error if that
// ends first.
func (d *Decider) waitForReplicas(ctx context.Context) error {
	for {
		d.mu.Lock()
		read, changed := d.replicasRead, d.stateChanged
		d.mu.Unlock()
		if read {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// maintainReplica pings the zone's replica and claims its place if there is none, it does
// not answer or it is too small, until the context ends. It returns the context's error.
func (d *Decider) maintainReplica(ctx context.Context) error {
	// The first check follows the read at once, so that at a start the claim delays alone
	// determine which entry claims first.
	if err := d.waitForReplicas(ctx); err != nil {
		return err
	}
	var watch replicaWatch
	for ctx.Err() == nil {
		d.mu.Lock()
		claim, ready := d.replicas[d.Zone], !d.stopping
		d.mu.Unlock()
		if claim != watch.claim {
			watch = replicaWatch{claim: claim, since: d.Now()}
		}
		if ready && d.replicaVacant(ctx, &watch) {
			d.claimReplica(ctx, claim)
		}
		_ = clocker.Sleep(ctx, replicaPingInterval)
	}
	return ctx.Err()
}

// replicaVacant reports whether the entry should become the zone's replica. It pings the
// present one.
func (d *Decider) replicaVacant(ctx context.Context, w *replicaWatch) bool {
	c := w.claim
	switch {
	case c.Nonce == d.nonce:
		return c.Resigned
	case c.Name == "" || c.Resigned || c.Name == d.Name:
		// A claim under this entry's name but with another nonce is by its earlier process.
		return true
	}
	now := d.Now()
	if d.pingReplica(ctx, c.Address) {
		w.silentSince = time.Time{}
		return farLarger(d.Cores, c.Cores) && now.Sub(w.since) > promotionDelay
	}
	d.mu.Lock()
	storeReachable := d.Now().Sub(d.operators.asOf) < maxConfigurationAge
	d.mu.Unlock()
	switch {
	case !storeReachable:
		// In an outage of the store no entry can do better than the replica.
		w.silentSince = time.Time{}
	case w.silentSince.IsZero():
		w.silentSince = now
	}
	return !w.silentSince.IsZero() && d.Now().Sub(w.silentSince) >= replicaTimeout
}

// pingReplica asks the replica for the numbers of pending jobs. It reports whether the
// replica has answered and is up to date.
func (d *Decider) pingReplica(ctx context.Context, address string) bool {
	sentAt := d.Now()
	answer, err := d.ask(ctx, address, jobQuery{})
	if err != nil || !answer.Fresh {
		d.Logger.Debug("replica not fresh", zap.String("address", address), zap.Error(err))
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pending, d.pendingReadAt = answer.Pending, d.Now()
	d.backlog = d.backlog.withAnswer(answer, sentAt)
	d.noteReplicaOffsets(answer)
	return true
}

// noteReplicaOffsets compares what the entry has read of the members and of the replicas' claims with what
// its replica has. A view that is behind for lagTime has a silent long poll, which is ended, so that
// the next read follows at once. The caller holds the lock.
func (d *Decider) noteReplicaOffsets(answer jobAnswer) {
	for v, next := range map[*view]plantainrail.Offset{d.members: answer.Members, d.replicaClaims: answer.Replicas} {
		if v.pollWait == 0 || v.next >= next {
			continue
		}
		from := v.next
		time.AfterFunc(lagTime, func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			if v.next == from && v.pollWait > 0 {
				d.Logger.Warn("view behind the replica's", zap.String("topic", v.topic), zap.Int64("offset", int64(from)), zap.Int64("replica", int64(next)))
				v.endPoll()
			}
		})
	}
}

// claimReplica makes this entry the replica of its zone, unless another claim than the
// given one is known after the delay. A failed write is logged; the caller tries again.
func (d *Decider) claimReplica(ctx context.Context, known replicaClaim) {
	if known.Name != d.Name {
		_ = clocker.Sleep(ctx, claimDelay(d.Cores, known)+rand.N(claimJitter))
	}
	// The open long poll may be silent, and then shows neither another entry's claim nor this one.
	if _, _, err := d.advance(ctx, d.replicaClaims, 0); err != nil {
		d.Logger.Warn("claims of replicas not read", zap.Error(err))
		return
	}
	d.mu.Lock()
	superseded := d.replicas[d.Zone] != known || d.stopping
	d.mu.Unlock()
	if superseded {
		return
	}
	err := d.writeReplica(ctx, replicaClaim{Name: d.Name, Address: d.Address, Nonce: d.nonce, Cores: d.Cores})
	d.Logger.Info("replica claimed", zap.String("zone", d.Zone), zap.String("earlier", known.Name), zap.Error(err))
	if _, _, err := d.advance(ctx, d.replicaClaims, 0); err != nil {
		d.Logger.Warn("claims of replicas not read", zap.Error(err))
	}
}

// resignReplica lets another entry of the zone take this one's place.
func (d *Decider) resignReplica(ctx context.Context) {
	c := replicaClaim{Name: d.Name, Address: d.Address, Nonce: d.nonce, Cores: d.Cores, Resigned: true}
	if err := d.writeReplica(ctx, c); err != nil {
		d.Logger.Warn("resignation as replica not stored", zap.Error(err))
	}
}

// writeReplica appends the zone's record.
func (d *Decider) writeReplica(ctx context.Context, c replicaClaim) error {
	raw, err := cbor.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "encode claim of a replica")
	}
	ctx, cancel := context.WithTimeout(ctx, replicaTimeout)
	defer cancel()
	_, err = d.Store.Append(ctx, plantainrail.AppendCall{
		Topic: replicasTopic, Records: []plantainrail.KeyedRecord{{Key: d.Zone, Value: raw}},
	})
	return err
}
