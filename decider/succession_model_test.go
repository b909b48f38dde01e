package decider

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
)

var (
	successionSeed  = flag.Uint64("succession.seed", 1, "first seed of TestNoLeaseIsRenewedAfterItsEnd")
	successionSeeds = flag.Uint64("succession.seeds", 100, "number of seeds of TestNoLeaseIsRenewedAfterItsEnd")
)

// successionEntry is an entry in the model: its present process and that process's term.
type successionEntry struct {
	name, address, nonce string
	startedAt            time.Time
	// downUntil and frozenUntil are when its process starts and goes on, and cutUntil is when it reaches the
	// store again.
	downUntil, frozenUntil, cutUntil time.Time
	// earlierVersion is a process that neither knows nor writes the bound.
	earlierVersion bool
	// claim is the newest one that it has read, earlier the one before, and claimed is set if it is its own
	// and the store is not fenced yet.
	claim, earlier claim
	claimed        bool
	tenure         tenure
	// term is nil if it is no owner.
	term *successionTerm
}

type successionTerm struct {
	epoch                           int64
	confirmedAt, heartbeatAt, bound time.Time
}

// successionModel is a store, its entries and what they have renewed.
type successionModel struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	entries []*successionEntry
	// claim, heartbeat and fence are what the store holds.
	claim     claim
	heartbeat plantainrail.KeyedRecord
	fence     int64
	// bounds are those of the terms, by epoch.
	bounds    map[int64]time.Time
	processes int
	// takeovers counts them, and short those without the whole grace.
	takeovers, short int
}

func (m *successionModel) chance(oneIn int) bool { return m.random.IntN(oneIn) == 0 }

func (m *successionModel) upTo(limit time.Duration) time.Time {
	return m.now.Add(time.Duration(m.random.Int64N(int64(limit))))
}

// start starts a new process of an entry.
func (m *successionModel) start(e *successionEntry) {
	m.processes++
	*e = successionEntry{
		name: e.name, address: e.address, nonce: fmt.Sprint(m.processes), startedAt: m.now, downUntil: m.now, earlierVersion: m.chance(8),
	}
}

// disturb injects faults.
func (m *successionModel) disturb() {
	for _, e := range m.entries {
		switch {
		case m.chance(400):
			e.downUntil, e.term, e.claimed = m.upTo(3*time.Second), nil, false
		case m.chance(400):
			e.frozenUntil = m.upTo(6 * time.Second)
		case m.chance(300):
			e.cutUntil = m.upTo(6 * time.Second)
		}
	}
	if m.chance(800) {
		for _, e := range m.entries {
			e.downUntil, e.term, e.claimed = m.upTo(300*time.Millisecond), nil, false
		}
	}
}

// read makes an entry read the claims and heartbeats.
func (m *successionModel) read(e *successionEntry) {
	if m.claim.Epoch > e.claim.Epoch {
		e.earlier, e.claim = e.claim, m.claim
	}
	e.tenure = e.tenure.withHeartbeat(m.heartbeat.Value, m.now)
	if e.term != nil && e.claim.Epoch != e.term.epoch {
		e.term = nil
	}
}

// claimOwnership stores a claim of an entry. Any entry may claim, whether the owner is silent or not.
func (m *successionModel) claimOwnership(e *successionEntry) {
	m.read(e)
	m.claim = claim{Name: e.name, Address: e.address, Nonce: e.nonce, Epoch: m.claim.Epoch + 1 + int64(m.random.IntN(3))}
	e.earlier, e.claim, e.claimed = e.claim, m.claim, true
}

// takeOver fences the earlier owners, if no newer claim has, and begins a term.
func (m *successionModel) takeOver(e *successionEntry) {
	e.claimed = false
	if m.fence > e.claim.Epoch || m.claim.Epoch != e.claim.Epoch {
		return
	}
	m.fence = e.claim.Epoch
	e.tenure = e.tenure.withHeartbeat(m.heartbeat.Value, m.now)
	bound := m.now.Add(renewalWindow)
	if !e.earlierVersion {
		bound = succession{
			name: e.name, address: e.address, nonce: e.nonce, startedAt: e.startedAt, claim: e.earlier, tenure: e.tenure,
		}.renewalsEnd(m.now)
	}
	m.takeovers++
	if bound.Before(m.now.Add(renewalWindow)) {
		m.short++
	}
	e.term = &successionTerm{epoch: m.fence, confirmedAt: m.now, bound: bound}
	m.bounds[m.fence] = bound
}

// write makes an owner write, with or without a heartbeat.
func (m *successionModel) write(e *successionEntry) {
	term := e.term
	if m.fence > term.epoch {
		e.term = nil
		return
	}
	term.confirmedAt = m.now
	o := owner{epoch: term.epoch, renewalsEnd: term.bound, heartbeatAt: term.heartbeatAt}
	switch {
	case !m.chance(3) && (m.chance(5) || !o.heartbeatDue(m.now)):
		// The owner has other things to write, and no room for a heartbeat beside them at times.
	case e.earlierVersion:
		m.heartbeat.Value, term.heartbeatAt = []byte{1}, m.now
	default:
		// The record may have been encoded a while before it is stored.
		sent := m.now.Add(-time.Duration(m.random.IntN(200)) * time.Millisecond)
		record, err := newHeartbeat(term.epoch, term.bound, sent)
		assert.NilError(m.t, err)
		m.heartbeat, term.heartbeatAt = record, m.now
	}
}

// renew makes an owner renew a lease, and checks that no newer owner takes the lease for one that has not
// been renewed since.
func (m *successionModel) renew(e *successionEntry) {
	if m.now.Sub(e.term.confirmedAt) >= renewalWindow {
		return
	}
	for epoch, bound := range m.bounds {
		if epoch > e.term.epoch && m.now.After(bound) {
			m.t.Fatalf("owner %d renews a lease at %s, and owner %d has taken %s for the last renewal", e.term.epoch, m.now, epoch, bound)
		}
	}
}

// resign ends a term, and stores that unless a newer claim is stored.
func (m *successionModel) resign(e *successionEntry) {
	ended := e.term.epoch
	e.term = nil
	if m.claim.Epoch == ended {
		m.claim = claim{Name: e.name, Nonce: e.nonce, Resigned: true, Ended: ended, Epoch: ended + 1}
		if e.earlierVersion {
			m.claim.Ended = 0
		}
	}
}

// step lets each entry that is not frozen do something.
func (m *successionModel) step() {
	m.now = m.upTo(150 * time.Millisecond)
	m.disturb()
	for _, e := range m.entries {
		if e.downUntil.After(e.startedAt) && !e.downUntil.After(m.now) {
			m.start(e)
		}
		if e.downUntil.After(m.now) || e.frozenUntil.After(m.now) {
			continue
		}
		if reachable := !e.cutUntil.After(m.now); reachable {
			previous := m.claim.Name == e.name && m.claim.Nonce != e.nonce
			switch {
			case e.claimed:
				m.takeOver(e)
			case e.term == nil && (m.claim.Epoch == 0 || m.claim.Resigned || previous || m.chance(200)):
				m.claimOwnership(e)
			case e.term != nil && m.chance(300):
				m.resign(e)
			case e.term != nil:
				m.write(e)
			case m.chance(3):
				m.read(e)
			}
		}
		if e.term != nil {
			m.renew(e)
		}
	}
}

// Guards against a new owner that takes a lease for one which ends before an earlier owner has renewed it for
// the last time (TWICE), with entries that end, freeze, resign, are cut off from the store or are of an
// earlier version, in series that overlap.
func TestNoLeaseIsRenewedAfterItsEnd(t *testing.T) {
	takeovers, short := 0, 0
	for seed := *successionSeed; seed < *successionSeed+*successionSeeds; seed++ {
		m := &successionModel{t: t, random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1_700_000_000, 0), bounds: map[int64]time.Time{}}
		for i := range 3 {
			e := &successionEntry{name: fmt.Sprint("entry-", i), address: fmt.Sprintf("10.0.0.%d:80", i)}
			m.start(e)
			m.entries = append(m.entries, e)
		}
		for range 3000 {
			m.step()
		}
		takeovers, short = takeovers+m.takeovers, short+m.short
	}
	t.Logf("%d takeovers, %d without the whole grace", takeovers, short)
	assert.Check(t, short > 0, "no takeover had a shorter grace, so nothing was tested")
}
