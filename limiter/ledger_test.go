package limiter_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/limiter"
)

const maxBody = 256 << 10

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

func newLedger(connections int, bytes int64) *limiter.Ledger {
	return limiter.NewLedger(limiter.Budget{Connections: connections, Bytes: bytes, Heap: 2 * bytes}, limiter.NewRules(plantainrail.ClientLimits{
		MaxHeaderBytes: 16384, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
	}, maxBody))
}

// Guards against budgets that do not follow the settings, and against bounds where settings are missing.
func TestBudgetFollowsSettings(t *testing.T) {
	assert.Equal(t, limiter.Limits{}.Budget(), limiter.Budget{Connections: math.MaxInt, Bytes: math.MaxInt64, Heap: math.MaxInt64})
	small := limiter.Limits{MemoryBytes: 184 << 20, Descriptors: 4100}.Budget()
	assert.Assert(t, small.Connections > 1200 && small.Connections < 3900, "%d connections", small.Connections)
	assert.Equal(t, small.Bytes, int64(46<<20))
	assert.Assert(t, small.Heap < 184<<20*7/10)
	assert.Equal(t, limiter.Limits{MemoryBytes: 184 << 20, Descriptors: 300}.Budget().Connections, 36)
	assert.Equal(t, limiter.Limits{Descriptors: 10}.Budget().Connections, 1)
}

// Guards against operators' values that disable a limit or cut off every client.
func TestOperatorsValuesAreKeptWithinBounds(t *testing.T) {
	none := limiter.NewRules(plantainrail.ClientLimits{}, maxBody)
	assert.Equal(t, none, limiter.Rules{HeaderBytes: 16384, BodyBytes: maxBody, HeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute})
	odd := limiter.NewRules(plantainrail.ClientLimits{MaxHeaderBytes: 1 << 40, MaxBodyBytes: 1, HeaderTimeout: -1, IdleTimeout: 1}, maxBody)
	assert.Equal(t, odd, limiter.Rules{HeaderBytes: 64 << 10, BodyBytes: 8 << 10, HeaderTimeout: 10 * time.Second, IdleTimeout: time.Second})
}

// Guards against time limits that cut off lawful clients early, or that one of the phases lacks.
func TestTimeLimits(t *testing.T) {
	for _, row := range []struct {
		name  string
		phase limiter.Phase
		limit time.Duration
	}{
		{"idle", limiter.Idle, 15 * time.Second},
		{"header", limiter.Header, 3 * time.Second},
		{"body without progress", limiter.Body, 10 * time.Second},
		{"response", limiter.Draining, 15 * time.Second},
		{"served", limiter.Serving, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			l := newLedger(1, 1<<20)
			c, _ := l.Connect(start)
			l.Enter(start, c, row.phase)
			assert.Equal(t, len(l.Overdue(at(row.limit))), 0)
			// A client that has not gone a second after its refusal is returned again.
			overdue := len(l.Overdue(at(row.limit+time.Millisecond))) + len(l.Overdue(at(row.limit+time.Second))) + len(l.Overdue(at(row.limit+2*time.Second)))
			assert.Equal(t, overdue, map[bool]int{true: 2, false: 0}[row.limit > 0])
		})
	}
	l := newLedger(1, 1<<20)
	c, _ := l.Connect(start)
	l.Enter(start, c, limiter.Body)
	for s := time.Duration(1); s <= 30; s++ {
		l.Received(at(s*time.Second), c, 4096, limiter.Items{})
		assert.Equal(t, len(l.Overdue(at(s*time.Second))), 0)
	}
	assert.Equal(t, len(l.Overdue(at(31*time.Second))), 1, "a body that never ends")
}

// Guards against a crowd that takes all connections: a stalled request goes first, then an idle
// connection, and one that is served or makes progress never.
func TestStalledClientMakesRoom(t *testing.T) {
	l := newLedger(4, 1<<20)
	served, _ := l.Connect(start)
	l.Enter(start, served, limiter.Serving)
	idle, _ := l.Connect(start)
	moving, _ := l.Connect(start)
	l.Enter(start, moving, limiter.Body)
	stalled, _ := l.Connect(start)
	l.Received(at(time.Second), stalled, 1, limiter.Items{})
	l.Received(at(1900*time.Millisecond), stalled, 1, limiter.Items{})
	l.Received(at(1900*time.Millisecond), moving, 4096, limiter.Items{})
	now := at(2 * time.Second)
	for _, want := range []*limiter.Client{stalled, idle, nil} {
		c, dropped := l.Connect(now)
		assert.Assert(t, dropped == want)
		assert.Equal(t, c != nil, want != nil)
	}
}

// Guards against clients that hold a connection by not reading their response.
func TestResponseThatIsNotTakenMakesRoom(t *testing.T) {
	l := newLedger(1, 1<<20)
	c, _ := l.Connect(start)
	l.Enter(start, c, limiter.Serving)
	l.BeginWrite(start, c)
	l.EndWrite(c)
	_, dropped := l.Connect(at(time.Minute))
	assert.Assert(t, dropped == nil)
	l.BeginWrite(at(time.Minute), c)
	assert.Equal(t, len(l.Overdue(at(time.Minute+15*time.Second))), 0)
	_, dropped = l.Connect(at(time.Minute + time.Second))
	assert.Assert(t, dropped == c)
	c, _ = l.Connect(at(time.Hour))
	l.Enter(at(time.Hour), c, limiter.Serving)
	l.BeginWrite(at(time.Hour), c)
	assert.Equal(t, len(l.Overdue(at(time.Hour+16*time.Second))), 1)
}

// Guards against large requests that take the share of ordinary ones, and against memory that is never
// given back.
func TestMemoryIsSharedAndReturned(t *testing.T) {
	l := newLedger(10, 4<<20)
	var large []*limiter.Client
	for range 3 {
		c, _ := l.Connect(start)
		l.Enter(start, c, limiter.Body)
		_, ok := l.Reserve(start, c, 1<<20)
		assert.Assert(t, ok)
		large = append(large, c)
	}
	other, _ := l.Connect(start)
	l.Enter(start, other, limiter.Body)
	_, ok := l.Reserve(start, other, 1<<20)
	assert.Assert(t, !ok, "nobody has stalled yet")
	_, ok = l.Reserve(start, other, 32<<10)
	assert.Assert(t, ok, "an ordinary request")
	l.Enter(at(time.Second), large[0], limiter.Serving)
	dropped, ok := l.Reserve(at(time.Second), other, 1<<19)
	assert.Assert(t, ok)
	assert.Equal(t, len(dropped), 1)
	assert.Assert(t, dropped[0] == large[1])
	for _, c := range append(large, other) {
		l.Enter(at(time.Second), c, limiter.Draining)
	}
	l.SetHeld(3 << 20)
	late, _ := l.Connect(at(time.Second))
	_, ok = l.Reserve(at(time.Second), late, 3<<20)
	assert.Assert(t, ok)
	l.SetHeld(8 << 20)
	_, ok = l.Reserve(at(time.Second), late, 1)
	assert.Assert(t, !ok, "the process itself uses the memory")
}

// Guards against headers whose lines cost more than their bytes, also if the server still holds them unread.
func TestItemsOfHeadersArePaid(t *testing.T) {
	l := newLedger(10, 4<<20)
	first, _ := l.Connect(start)
	assert.Equal(t, len(l.Received(start, first, 4096, limiter.Items{Header: 16_000})), 0)
	second, _ := l.Connect(start)
	l.Received(start, second, 4096, limiter.Items{Header: 10})
	_, ok := l.Reserve(start, second, 1<<20)
	assert.Assert(t, ok)
	assert.Equal(t, len(l.Received(at(time.Second), second, 100, limiter.Items{Header: 8_000})), 1, "the first goes")
	l.Enter(at(time.Second), second, limiter.Draining)
	l.Received(at(time.Second), second, 4096, limiter.Items{Rest: 4_000})
	l.Enter(at(time.Second), second, limiter.Idle)
	l.SetHeld(0)
	third, _ := l.Connect(at(time.Second))
	_, ok = l.Reserve(at(time.Second), third, 5<<19)
	assert.Assert(t, ok)
	_, ok = l.Reserve(at(time.Second), third, 1<<19)
	assert.Assert(t, !ok, "lines that the server has not parsed")
	l = newLedger(1, 4<<20)
	l.SetHeld(1 << 40)
	ordinary, _ := l.Connect(start)
	l.Enter(start, ordinary, limiter.Header)
	l.Enter(start, ordinary, limiter.Idle)
	assert.Equal(t, len(l.Overdue(at(9*time.Second))), 0, "a connection without a cost needs no memory")
}

// Guards against long bodies that take the processor from ordinary ones, and against waits of a single one.
func TestLongBodiesArePaced(t *testing.T) {
	l := limiter.NewLedger(limiter.Budget{Connections: 10, Bytes: 1 << 40, Heap: 1 << 40, BodyRate: 1 << 20}, limiter.NewRules(plantainrail.ClientLimits{}, maxBody))
	c, _ := l.Connect(start)
	l.Enter(start, c, limiter.Body)
	for range maxBody >> 12 {
		assert.Assert(t, !l.Paced(c))
		l.Received(start, c, 4096, limiter.Items{})
	}
	l.Received(start, c, 2*maxBody, limiter.Items{})
	assert.Assert(t, l.Paced(c))
	ordinary, _ := l.Connect(start)
	l.Enter(start, ordinary, limiter.Body)
	l.Received(start, ordinary, 8<<10, limiter.Items{})
	assert.Assert(t, !l.Paced(ordinary))
	l.Refill(time.Second)
	assert.Assert(t, !l.Paced(c))
	l.Received(start, c, 2*maxBody, limiter.Items{})
	l.StopPacing()
	assert.Assert(t, !l.Paced(c), "the process stops")
	l = limiter.NewLedger(limiter.Budget{Connections: 10, Bytes: 1 << 40, Heap: 1 << 40, BodyRate: 1 << 20}, limiter.NewRules(plantainrail.ClientLimits{}, maxBody))
	l.StreamBodies()
	upload, _ := l.Connect(start)
	chunks, _ := l.Connect(start)
	for range 1000 {
		for _, c := range []*limiter.Client{upload, chunks} {
			l.Enter(start, c, limiter.Body)
			l.Received(start, c, 4096, limiter.Items{})
		}
		l.PassedOn(upload, 4096-8)
		l.PassedOn(chunks, 4096/6)
		assert.Assert(t, !l.Paced(upload))
	}
	assert.Assert(t, l.Paced(chunks), "chunks of one byte, passed on")
}
