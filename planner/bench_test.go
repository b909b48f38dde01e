package planner_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

// BenchmarkTick measures one tick at the planned size: 660 VMs, about 12,000
// running tasks and about 2,000 tasks that find no free processors.
func BenchmarkTick(b *testing.B) {
	const vms, running, waiting, width = 660, 12_000, 2_000, 10
	now := start
	p := planner.New(planner.NewBook(), timeouts, now)
	for i := range vms {
		vm := newVM(fmt.Sprint("vm-", i), 20_000)
		vm.Capacity.Memory = 1 << 20
		p.UpdateWorker(vm, now)
	}
	for i := range (running + waiting) / width {
		record, err := planner.NewJobRecord(plantainrail.Workflow{
			ID: fmt.Sprint("job-", i), Queue: queue, Steps: []plantainrail.Step{{Count: width, CPU: vms * 20_000 / running}},
		})
		assert.NilError(b, err)
		assert.NilError(b, p.ApplyJob(record, now))
	}
	placed := len(p.Tick(now).Assignments)
	assert.Assert(b, placed >= running*9/10, "placed %d", placed)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		p.Tick(now)
	}
}
