package bencher

import (
	"context"
	"fmt"
	"time"
)

// Scenarios returns all scenarios. Their names are arguments of the command bench.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "noisy-wave", Summary: "every second another target is slowed twentyfold for 0.8 s", Rate: 300, Duration: 10 * time.Second, ServiceTime: 6 * time.Millisecond, DeadlineMS: 2000, Slots: 8, Disturb: noisyWave},
		{Name: "slow-target", Summary: "one of six targets is slowed twentyfold", Rate: 300, Duration: 8 * time.Second, ServiceTime: 6 * time.Millisecond, DeadlineMS: 2000, Slots: 8, Disturb: slowTarget},
		{Name: "silent-connections", Summary: "every 3 s all open connections from two agents to the entries are silenced", Rate: 200, Duration: 10 * time.Second, ServiceTime: 6 * time.Millisecond, DeadlineMS: 8000, Slots: 8, Disturb: silentConnections},
		{Name: "drain", Summary: "entries and agents are replaced one by one with planned stops", Rate: 200, Duration: 12 * time.Second, ServiceTime: 20 * time.Millisecond, DeadlineMS: 5000, Slots: 8, Planned: true, Disturb: drain},
		{Name: "overload", Summary: "requests at twice the capacity of the targets", Rate: 1200, Duration: 8 * time.Second, ServiceTime: 40 * time.Millisecond, DeadlineMS: 500, Slots: 4},
		{Name: "flapping", Summary: "targets repeatedly leave and return as a new incarnation", Rate: 300, Duration: 8 * time.Second, ServiceTime: 6 * time.Millisecond, DeadlineMS: 2000, Slots: 8, Planned: true, Disturb: flapping},
		{Name: "colocation", Summary: "waves of batch work on the VMs of the targets, with usage unlike the declared resources", Rate: 300, Duration: 20 * time.Second, ServiceTime: 6 * time.Millisecond, DeadlineMS: 2000, Slots: 8, Batch: true, Disturb: colocatedBatch},
		{Name: "black-hole-worker", Summary: "one of six workers fails every task that it starts", Rate: 300, Duration: 20 * time.Second, ServiceTime: 6 * time.Millisecond, DeadlineMS: 2000, Slots: 8, Batch: true, Disturb: withColocatedBatch(blackHoleWorker)},
		{Name: "impossible-jobs", Summary: "jobs that fit on no VM are submitted with each wave of batch work", Rate: 300, Duration: 20 * time.Second, ServiceTime: 6 * time.Millisecond, DeadlineMS: 2000, Slots: 8, Batch: true, Disturb: withColocatedBatch(impossibleJobs)},
		{Name: "urgent-starts", Summary: "urgent jobs are submitted while the VMs are full of batch work", Rate: 300, Duration: 20 * time.Second, ServiceTime: 6 * time.Millisecond, DeadlineMS: 2000, Slots: 8, Batch: true, Disturb: withColocatedBatch(urgentStarts)},
		{Name: "owner-loss", Summary: "one of two entries is killed while batch work runs", Rate: 300, Duration: 20 * time.Second, ServiceTime: 6 * time.Millisecond, DeadlineMS: 2000, Slots: 8, Batch: true, Disturb: withColocatedBatch(ownerLoss)},
		{Name: "zone-leaves-and-returns", Summary: "one zone is taken out for a third of the time", Rate: 300, Duration: 20 * time.Second, ServiceTime: 6 * time.Millisecond, DeadlineMS: 2000, Slots: 8, Planned: true, Batch: true, Disturb: withColocatedBatch(zoneLeavesAndReturns)},
	}
}

// targetSlowdown is the factor on the service time of a slowed target.
const targetSlowdown = 20

// sleep waits for the duration and returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// slowTarget slows the first target.
func slowTarget(_ context.Context, t *scenarioRun) {
	t.cluster.VMs[0].Target.SetSlowdown(targetSlowdown)
}

// noisyWave slows another target each second, for 0.8 s.
func noisyWave(ctx context.Context, t *scenarioRun) {
	for i := 0; sleep(ctx, 200*time.Millisecond); i++ {
		target := t.cluster.VMs[i%len(t.cluster.VMs)].Target
		target.SetSlowdown(targetSlowdown)
		sleep(ctx, 800*time.Millisecond)
		target.SetSlowdown(1)
	}
}

// silentConnections silences, every 3 s, the open connections from the next two agents
// to the entries.
func silentConnections(ctx context.Context, t *scenarioRun) {
	for i := 0; sleep(ctx, 3*time.Second); i += 2 {
		vms := t.cluster.VMs
		silencedVMs := map[string]bool{vms[i%len(vms)].Name: true, vms[(i+1)%len(vms)].Name: true}
		entries := map[string]bool{}
		for _, e := range t.cluster.Entries {
			entries[e.Address] = true
		}
		t.network.silence(func(from, to string) bool { return silencedVMs[from] && entries[to] })
	}
}

// drain alternately replaces an entry and restarts an agent, with planned stops. It
// restarts only agents with odd indexes, because the even steps replace entries.
func drain(ctx context.Context, t *scenarioRun) {
	for i := 0; sleep(ctx, 500*time.Millisecond); i++ {
		if i%2 == 0 {
			t.replaceEntry(ctx, fmt.Sprintf("entry-new-%d", i))
			continue
		}
		v := t.cluster.VMs[i%len(t.cluster.VMs)]
		_ = v.Agent().Drain(context.WithoutCancel(ctx))
		t.cluster.KillAgent(v)
		_ = t.cluster.StartNewAgent(v)
	}
}

// flapping makes three targets in turn leave and return as a new incarnation.
func flapping(ctx context.Context, t *scenarioRun) {
	for i := 0; sleep(ctx, 150*time.Millisecond); i++ {
		target := t.cluster.VMs[i%3].Target
		_ = target.Leave(ctx)
		sleep(ctx, 150*time.Millisecond)
		target.SetIncarnation(fmt.Sprintf("flap-%d", i))
	}
}
