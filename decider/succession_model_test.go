package decider

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"
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
	// next is the number of records that it has read, all up to asOf; the others are those of a view.
	next                        int
	asOf, newestAt, newestAfter time.Time
	// term is nil if it is no owner.
	term *successionTerm
}

// successionTerm is an ownership. unansweredAt is when a write was sent that was stored and not answered yet; zero
// if there is none.
type successionTerm struct {
	*owner
	unansweredAt time.Time
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
	// records is the number of records of progress, and fullUntil when the store has room again.
	records   int
	fullUntil time.Time
	// bounds are those of the terms, by epoch.
	bounds    map[int64]time.Time
	processes int
	// clock has the time of the model.
	clock *Decider
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
		case m.chance(150):
			e.cutUntil = m.upTo(5 * time.Second)
		}
	}
	if m.chance(50) {
		m.fullUntil = m.upTo(3 * time.Second)
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
	m.readProgress(e)
	if e.term != nil && e.claim.Epoch != e.term.epoch {
		e.term = nil
	}
}

// readProgress makes an entry read the progress, with a call that was sent a while ago.
func (m *successionModel) readProgress(e *successionEntry) {
	if m.records > e.next {
		e.next, e.newestAt, e.newestAfter = m.records, m.now, e.asOf
	}
	e.tenure = e.tenure.withHeartbeat(m.heartbeat.Value, m.now)
	if sent := m.now.Add(-time.Duration(m.random.IntN(200)) * time.Millisecond); sent.After(e.asOf) && !sent.Before(e.startedAt) {
		e.asOf = sent
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
	m.readProgress(e)
	bound := m.now.Add(renewalWindow)
	if !e.earlierVersion {
		bound = succession{
			name: e.name, address: e.address, nonce: e.nonce, startedAt: e.startedAt, claim: e.earlier, tenure: e.tenure,
			newestAt: e.newestAt, newestAfter: e.newestAfter,
		}.renewalsEnd(m.now)
	}
	m.takeovers++
	if bound.Before(m.now.Add(renewalWindow)) {
		m.short++
	}
	o := &owner{decider: m.clock, epoch: m.fence, renewalsEnd: bound}
	o.confirm(m.now, m.now)
	e.term, m.bounds[m.fence] = &successionTerm{owner: o}, bound
}

// write makes an owner write, with or without a heartbeat. An answer may be lost, so that the next try is
// answered as the first one would have been, and a full store takes only appends without records.
func (m *successionModel) write(e *successionEntry) {
	term := e.term
	switch {
	case m.fence > term.epoch:
		e.term = nil
		return
	case !term.unansweredAt.IsZero() && !m.chance(4):
		term.noteUnanswered()
		return
	case !term.unansweredAt.IsZero():
		term.confirm(m.now, term.unansweredAt)
		term.unansweredAt = time.Time{}
		return
	case m.fullUntil.After(m.now):
		term.confirmUnseen(m.now)
		return
	}
	m.records++
	m.writeHeartbeat(e)
	if m.chance(15) {
		term.unansweredAt = m.now
		term.noteUnanswered()
		return
	}
	term.confirm(m.now, m.now)
}

// writeHeartbeat stores a heartbeat if the owner writes one.
func (m *successionModel) writeHeartbeat(e *successionEntry) {
	term := e.term
	switch {
	case !m.chance(3) && (m.chance(5) || !term.heartbeatDue(m.now)):
		// The owner has other things to write, and no room for a heartbeat beside them at times.
	case e.earlierVersion:
		m.heartbeat.Value, term.heartbeatAt = []byte{1}, m.now
	default:
		// The record may have been encoded a while before it is stored.
		sent := m.now.Add(-time.Duration(m.random.IntN(200)) * time.Millisecond)
		record, err := newHeartbeat(term.epoch, term.renewalsEnd, sent)
		assert.NilError(m.t, err)
		m.heartbeat, term.heartbeatAt = record, m.now
	}
}

// renew makes an owner renew a lease, and checks that no newer owner takes the lease for one that has not
// been renewed since.
func (m *successionModel) renew(e *successionEntry) {
	from := e.term.renewableFrom
	if e.earlierVersion {
		from = e.term.confirmedWriteAt
	}
	if m.now.Sub(from) >= renewalWindow {
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
			silent := m.now.Sub(e.newestAt) >= ownerTimeout && m.chance(10)
			switch {
			case e.claimed:
				m.takeOver(e)
			case e.term == nil && (m.claim.Epoch == 0 || m.claim.Resigned || previous || silent || m.chance(200)) && !m.fullUntil.After(m.now):
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
// earlier version, and a store that is full or loses answers, in series that overlap.
func TestNoLeaseIsRenewedAfterItsEnd(t *testing.T) {
	takeovers, short := 0, 0
	for seed := *successionSeed; seed < *successionSeed+*successionSeeds; seed++ {
		m := &successionModel{t: t, random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1_700_000_000, 0), bounds: map[int64]time.Time{}}
		m.clock = New(Options{Logger: zap.NewNop(), Now: func() time.Time { return m.now }})
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
