package decider

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
)

// Guards against runs that are taken for lost while an earlier owner may still renew their lease (TWICE), and
// against tasks of lost workers that wait for owners which have ended (LOST).
func TestRenewalsEnd(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	after := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	// own is a claim of an earlier process of the entry "a".
	own := claim{Name: "a", Address: "10.0.0.1:80", Nonce: "1", Epoch: 7}
	with := func(c claim, change func(*claim)) claim { change(&c); return c }
	resigned := claim{Name: "b", Nonce: "3", Resigned: true, Ended: 7, Epoch: 9}
	settled := tenure{7, after(-20_000)}
	for _, c := range []struct {
		name   string
		claim  claim
		tenure tenure
		// end is in milliseconds from now.
		end int
	}{
		{"no owner known", claim{}, tenure{}, 3000},
		{"no owner known, a heartbeat is", claim{}, settled, 3000},
		{"own earlier process", own, settled, -100},
		{"own earlier process at another port", with(own, func(c *claim) { c.Address = "10.0.0.1:81" }), settled, -100},
		{"entry of the same name on another host", with(own, func(c *claim) { c.Address = "10.0.0.2:80" }), settled, 3000},
		{"address unreadable", with(own, func(c *claim) { c.Address = "" }), settled, 3000},
		{"own earlier process, owners before it may renew", own, tenure{7, after(1200)}, 1200},
		{"own earlier process without a heartbeat", own, tenure{}, 3000},
		{"own earlier process, heartbeat of the owner before it", own, tenure{5, after(-20_000)}, 3000},
		{"own earlier process, heartbeat of an owner after it", own, tenure{8, after(-20_000)}, 3000},
		{"a record may hide a newer claim", with(own, func(c *claim) { c.obscured = true }), settled, 3000},
		{"earlier term of this process", with(own, func(c *claim) { c.Nonce = "2" }), settled, 0},
		{"another entry, frozen or cut off", with(own, func(c *claim) { c.Name = "b" }), settled, 3000},
		{"another entry has resigned", resigned, settled, 0},
		{"another entry has resigned, owners before it may renew", resigned, tenure{7, after(700)}, 700},
		{"another entry has resigned without a heartbeat", resigned, tenure{5, after(-20_000)}, 3000},
		{"resignation of an earlier version", with(resigned, func(c *claim) { c.Ended = 0 }), tenure{}, 3000},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := succession{name: "a", address: "10.0.0.1:80", nonce: "2", startedAt: after(-100), claim: c.claim, tenure: c.tenure}
			assert.Equal(t, s.renewalsEnd(now).Sub(now), time.Duration(c.end)*time.Millisecond)
		})
	}
}

// Guards against tasks of lost workers that wait for longer than a silent owner may renew leases (LOST), and
// against a new owner that counts from a record after which that one may have renewed more (TWICE).
func TestRenewalsEndAfterASilentOwner(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	after := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	silent, settled := claim{Name: "b", Address: "10.0.0.2:80", Nonce: "1", Epoch: 7}, tenure{7, after(-20_000)}
	for _, c := range []struct {
		name        string
		claim       claim
		tenure      tenure
		newestAt    time.Time
		newestAfter time.Time
		// end is in milliseconds from now.
		end int
	}{
		{"its newest record was read", silent, settled, after(-1300), after(-1900), 1700},
		{"that may be older than the limit", silent, settled, after(-1300), after(-2400), 3000},
		{"nothing read before that record", silent, settled, after(-1300), time.Time{}, 3000},
		{"an owner before it may renew for longer", silent, tenure{7, after(2000)}, after(-1300), after(-1900), 2000},
		{"an earlier version, or no heartbeat", silent, tenure{}, after(-1300), after(-1900), 3000},
		{"heartbeat of the owner before it", silent, tenure{5, after(-20_000)}, after(-1300), after(-1900), 3000},
		{"a record may hide a newer claim", claim{Name: "b", Epoch: 7, obscured: true}, settled, after(-1300), after(-1900), 3000},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := succession{name: "a", address: "10.0.0.1:80", nonce: "2", claim: c.claim, tenure: c.tenure, newestAt: c.newestAt, newestAfter: c.newestAfter}
			assert.Equal(t, s.renewalsEnd(now).Sub(now), time.Duration(c.end)*time.Millisecond)
		})
	}
}

// Guards against an owner that renews leases for longer than the next one counts from its newest record (TWICE).
func TestOwnerRenewsFromItsNewestRecord(t *testing.T) {
	lost, full, away := errors.New("no answer"), errors.Wrap(plantainrail.ErrFull, "507"), errors.Wrap(plantainrail.ErrRejected, "503")
	for _, c := range []struct {
		name    string
		answers []error
		// from is when the counting begins, from the append on.
		from time.Duration
	}{
		{"stored at once", []error{nil}, 0},
		{"refused at first", []error{away, away, nil}, 2 * retryDelay},
		{"a try without an answer may have stored it", []error{away, lost, lost, nil}, retryDelay},
		{"no room at first", []error{full, nil, nil}, retryDelay},
		{"no room after a try without an answer", []error{lost, full, nil, nil}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newOwner(New(Options{Logger: zap.NewNop(), Now: time.Now, Store: &answersStore{answers: c.answers}}), 1)
				o.answeredAt = time.Now().Add(-unseenDelay)
				before := time.Now()
				_, err := o.append(t.Context(), []plantainrail.KeyedRecord{{Key: "a", Value: []byte{1}}})
				assert.NilError(t, err)
				assert.Equal(t, o.renewableFrom.Sub(before), c.from)
				assert.Equal(t, o.answeredAt, time.Now())
				seen := o.renewableFrom
				o.confirmUnseen(o.answeredAt.Add(unseenDelay - 1))
				assert.Equal(t, o.renewableFrom, seen)
				o.confirmUnseen(o.answeredAt.Add(unseenDelay))
				assert.Equal(t, o.renewableFrom, o.answeredAt.Add(unseenDelay))
			})
		})
	}
}

// Guards against heartbeats of earlier versions and of other writers that are taken for knowledge (TWICE).
func TestHeartbeatsTellOfEarlierOwners(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	encode := func(v any) []byte {
		raw, err := cbor.Marshal(v)
		assert.NilError(t, err)
		return raw
	}
	written := func(epoch int64, left time.Duration) []byte {
		record, err := newHeartbeat(epoch, now.Add(left), now)
		assert.NilError(t, err)
		assert.Equal(t, record.Key, heartbeatKey)
		return record.Value
	}
	before := tenure{7, now.Add(500 * time.Millisecond)}
	for _, c := range []struct {
		name  string
		value []byte
		want  tenure
	}{
		{"nothing left", written(7, -time.Minute), tenure{7, now}},
		{"rounded up", written(7, 300*time.Millisecond+1), tenure{7, now.Add(301 * time.Millisecond)}},
		{"less was known before", written(7, 2*time.Second), before},
		{"the next owner", written(8, 2*time.Second), tenure{8, now.Add(2 * time.Second)}},
		{"earlier version", []byte{1}, tenure{}},
		{"no value", nil, tenure{}},
		{"no bound", encode(map[int]int{0: 7}), tenure{}},
		{"no epoch", encode(map[int]int{1: 0}), tenure{}},
		{"bound below zero", encode(map[int]int{0: 7, 1: -1}), tenure{}},
		{"bound too large", encode(map[int]int{0: 7, 1: 3001}), tenure{}},
		{"bound of another type", encode(map[int]string{0: "7", 1: "0"}), tenure{}},
		{"fields of later versions", encode(map[int]int{0: 7, 1: 0, 2: 5}), tenure{7, now}},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, before.withHeartbeat(c.value, now), c.want) })
	}
}
