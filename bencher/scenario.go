package bencher

import (
	"context"
	"fmt"
	"time"
)

// Scenarios lists the scenarios by name.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "noisy-wave", Summary: "every second another target is slowed twentyfold for 0.8 s", Rate: 300, Length: 10 * time.Second, Service: 6 * time.Millisecond, DeadlineMS: 2000, Slots: 8, Disturb: noisyWave},
		{Name: "slow-target", Summary: "one of six targets is slowed twentyfold", Rate: 300, Length: 8 * time.Second, Service: 6 * time.Millisecond, DeadlineMS: 2000, Slots: 8, Disturb: slowTarget},
		{Name: "silent-connections", Summary: "every 3 s the open sessions of two agents go silent for good", Rate: 200, Length: 10 * time.Second, Service: 6 * time.Millisecond, DeadlineMS: 8000, Slots: 8, Disturb: silentConnections},
		{Name: "drain", Summary: "entries and agents are replaced one by one as planned", Rate: 200, Length: 12 * time.Second, Service: 20 * time.Millisecond, DeadlineMS: 5000, Slots: 8, Planned: true, Disturb: drain},
		{Name: "overload", Summary: "twice the capacity of the targets", Rate: 1200, Length: 8 * time.Second, Service: 40 * time.Millisecond, DeadlineMS: 500, Slots: 4},
		{Name: "flapping", Summary: "targets leave and return as another incarnation, again and again", Rate: 300, Length: 8 * time.Second, Service: 6 * time.Millisecond, DeadlineMS: 2000, Slots: 8, Planned: true, Disturb: flapping},
		{Name: "colocation", Summary: "batch work in waves beside the targets, far from its declared sizes", Rate: 300, Length: 20 * time.Second, Service: 6 * time.Millisecond, DeadlineMS: 2000, Slots: 8, Batch: true, Disturb: colocation},
		{Name: "black-hole-worker", Summary: "one of six workers fails everything that it starts", Rate: 300, Length: 20 * time.Second, Service: 6 * time.Millisecond, DeadlineMS: 2000, Slots: 8, Batch: true, Disturb: besides(blackHole)},
		{Name: "impossible-jobs", Summary: "jobs that fit on no VM come before the others", Rate: 300, Length: 20 * time.Second, Service: 6 * time.Millisecond, DeadlineMS: 2000, Slots: 8, Batch: true, Disturb: besides(impossible)},
		{Name: "urgent-starts", Summary: "urgent jobs come to VMs that are full of batch work", Rate: 300, Length: 20 * time.Second, Service: 6 * time.Millisecond, DeadlineMS: 2000, Slots: 8, Batch: true, Disturb: besides(urgent)},
		{Name: "owner-loss", Summary: "one of two entries dies among batch work", Rate: 300, Length: 20 * time.Second, Service: 6 * time.Millisecond, DeadlineMS: 2000, Slots: 8, Batch: true, Disturb: besides(ownerLoss)},
		{Name: "zone-leaves-and-returns", Summary: "a zone is out for a third of the time", Rate: 300, Length: 20 * time.Second, Service: 6 * time.Millisecond, DeadlineMS: 2000, Slots: 8, Planned: true, Batch: true, Disturb: besides(zoneLeaves)},
	}
}

const slowFactor = 20

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func slowTarget(_ context.Context, t *trial) {
	t.cluster.VMs[0].Target.SetSlow(slowFactor)
}

func noisyWave(ctx context.Context, t *trial) {
	for i := 0; pause(ctx, 200*time.Millisecond); i++ {
		target := t.cluster.VMs[i%len(t.cluster.VMs)].Target
		target.SetSlow(slowFactor)
		pause(ctx, 800*time.Millisecond)
		target.SetSlow(1)
	}
}

func silentConnections(ctx context.Context, t *trial) {
	for i := 0; pause(ctx, 3*time.Second); i += 2 {
		vms := t.cluster.VMs
		victims := map[string]bool{vms[i%len(vms)].Name: true, vms[(i+1)%len(vms)].Name: true}
		entries := map[string]bool{}
		for _, e := range t.cluster.Entries {
			entries[e.Address] = true
		}
		t.gates.silence(func(from, to string) bool { return victims[from] && entries[to] })
	}
}

func drain(ctx context.Context, t *trial) {
	for i := 0; pause(ctx, 500*time.Millisecond); i++ {
		if i%2 == 0 {
			t.replaceEntry(ctx, fmt.Sprintf("entry-new-%d", i))
			continue
		}
		v := t.cluster.VMs[i%len(t.cluster.VMs)]
		_ = v.Agent().Drain(context.WithoutCancel(ctx))
		t.cluster.KillAgent(v)
		_ = t.cluster.RestartAgent(v)
	}
}

func flapping(ctx context.Context, t *trial) {
	for i := 0; pause(ctx, 150*time.Millisecond); i++ {
		target := t.cluster.VMs[i%3].Target
		_ = target.Leave(ctx)
		pause(ctx, 150*time.Millisecond)
		target.SetIncarnation(fmt.Sprintf("flap-%d", i))
	}
}
