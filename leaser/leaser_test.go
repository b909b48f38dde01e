package leaser

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
)

var baseTime = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// start returns an order for an attempt that needs half of the processors of the VM in
// TestStartOrders.
func start(task string, attempt int64) plantainrail.TaskStart {
	return plantainrail.TaskStart{
		AttemptRef: plantainrail.AttemptRef{Task: task, Attempt: attempt}, Incarnation: "1",
		Resources: plantainrail.Resources{Processors: 1000, Memory: 100},
	}
}

func TestStartOrders(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(*Leaser)
		// at is the time of the order, after the only heartbeat was sent.
		at    time.Duration
		order plantainrail.TaskStart
		want  Verdict
	}{
		{"within the permit", func(*Leaser) {}, 0, start("t", 1), Start},
		{"after the permit", func(*Leaser) {}, StartPermitDuration, start("t", 1), Ignore},
		{"after a long pause", func(*Leaser) {}, time.Hour, start("t", 1), Ignore},
		{"repeated", func(l *Leaser) { l.DecideStart(baseTime, start("t", 1)) }, 0, start("t", 1), Ignore},
		{"repeated after the attempt ended", func(l *Leaser) { l.DecideStart(baseTime, start("t", 1)); l.Release(start("t", 1).AttemptRef) }, 0, start("t", 1), Refuse},
		{"stop order came before the start order", func(l *Leaser) { l.Release(start("t", 1).AttemptRef) }, 0, start("t", 1), Refuse},
		{"older than an attempt that started here", func(l *Leaser) { l.DecideStart(baseTime, start("t", 2)) }, 0, start("t", 1), Refuse},
		{"exceeds the capacity", func(l *Leaser) { l.DecideStart(baseTime, start("a", 1)); l.DecideStart(baseTime, start("b", 1)) }, 0, start("t", 1), Refuse},
		{"while draining", func(l *Leaser) { l.Drain() }, 0, start("t", 1), Refuse},
		{"for another incarnation", func(l *Leaser) { l.Reset("2") }, 0, start("t", 1), Ignore},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := New(plantainrail.Resources{Processors: 2000, Memory: 1000}, "1")
			l.RecordHeartbeat(baseTime, true, true)
			c.prepare(l)
			got, _ := l.DecideStart(baseTime.Add(c.at), c.order)
			assert.Equal(t, got, c.want)
		})
	}
}

// TestLeaseCountsFromHeartbeatSendTime checks that the response to an older heartbeat does
// not shorten the lease, and that lease and permit are renewed independently.
func TestLeaseCountsFromHeartbeatSendTime(t *testing.T) {
	l := New(plantainrail.Resources{}, "1")
	l.RecordHeartbeat(baseTime.Add(2*time.Second), true, false)
	l.RecordHeartbeat(baseTime, true, true)
	assert.Equal(t, l.LeaseUntil(), baseTime.Add(2*time.Second+LeaseDuration))
	assert.Equal(t, l.PermitUntil(), baseTime.Add(StartPermitDuration))
}
