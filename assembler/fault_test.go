package assembler_test

import (
	"time"

	"github.com/plantainrail/plantainrail/assembler"
	"github.com/plantainrail/plantainrail/standin/recorder"
)

// faultCase is one fault that a test injects. A fault of an entry affects entry-0,
// and a fault of a VM affects the VM that is passed to inject.
type faultCase struct {
	name string
	// planned marks cases that must not fail any request: no fault at all, planned
	// shutdowns, targets that leave or restart, and zones taken out of service.
	planned bool
	inject  func(*cluster, *assembler.VM)
	// heal reverts the fault after faultDuration; nil leaves it in place, because
	// the fault is over at once or lasts until the end of the test.
	heal func(*cluster, *assembler.VM)
}

// faultDuration is the time from the injection of a fault until it is healed.
const faultDuration = 5 * time.Second

// injectLogFault returns a function that sets the simulated failures of the log.
func injectLogFault(f recorder.Faults) func(*cluster, *assembler.VM) {
	return func(tc *cluster, _ *assembler.VM) { tc.Log.SetFaults(f) }
}

// injectLinkFault returns a function that sets the fault of the link between the VM's
// agent and entry-0.
func injectLinkFault(f fault) func(*cluster, *assembler.VM) {
	return func(tc *cluster, v *assembler.VM) { tc.net.setFault(linkName(v.Name, "entry-0"), f) }
}

// startNewAgent starts a new agent on the VM, whose agent must have been killed before.
// A failure fails the test without ending it, since the function may run in another
// goroutine.
func startNewAgent(tc *cluster, v *assembler.VM) {
	if err := tc.StartNewAgent(v); err != nil {
		tc.t.Error(err)
	}
}

var faultCases = []faultCase{
	{"none", true, func(*cluster, *assembler.VM) {}, nil},
	{"entry killed", false, func(tc *cluster, _ *assembler.VM) { tc.Entries[0].Kill() }, nil},
	{"agent killed", false, func(tc *cluster, v *assembler.VM) { tc.KillAgent(v) }, nil},
	{"agent restarts", false, func(tc *cluster, v *assembler.VM) { tc.KillAgent(v); startNewAgent(tc, v) }, nil},
	{"session disconnected", false, injectLinkFault(down), injectLinkFault(healthy)},
	{"session stalled", false, injectLinkFault(stalled), nil},
	{"link blackholed", false, injectLinkFault(blackholed), injectLinkFault(healthy)},
	{
		"target unreachable", false,
		func(tc *cluster, v *assembler.VM) { tc.net.setFault(linkName(v.Name, v.Name+"-target"), down) },
		func(tc *cluster, v *assembler.VM) { tc.net.setFault(linkName(v.Name, v.Name+"-target"), healthy) },
	},
	{"network slow", false, func(tc *cluster, _ *assembler.VM) { tc.net.setDelay(30 * time.Millisecond) }, func(tc *cluster, _ *assembler.VM) { tc.net.setDelay(0) }},
	{"log down", false, injectLogFault(recorder.Faults{Down: true}), injectLogFault(recorder.Faults{})},
	{"log slow", false, injectLogFault(recorder.Faults{DelayMS: 700}), injectLogFault(recorder.Faults{})},
	{"log loses replies", false, injectLogFault(recorder.Faults{LoseReplies: true}), injectLogFault(recorder.Faults{})},
	{"entry drains", true, func(tc *cluster, _ *assembler.VM) { go func() { _ = tc.Entries[0].Stop(tc.ctx) }() }, nil},
	{"agent drains", true, func(tc *cluster, v *assembler.VM) {
		go func() {
			_ = v.Agent().Drain(tc.ctx)
			tc.KillAgent(v)
		}()
	}, nil},
	{"target leaves", true, func(tc *cluster, v *assembler.VM) { _ = v.Target.Leave(tc.ctx) }, nil},
	{"target restarts", true, func(_ *cluster, v *assembler.VM) { v.Target.SetIncarnation("2") }, nil},
}

// apply injects the fault and schedules its healing. It does not wait for the healing.
func (f faultCase) apply(tc *cluster, v *assembler.VM) {
	f.inject(tc, v)
	if f.heal == nil {
		return
	}
	go func() {
		select {
		case <-time.After(faultDuration):
			f.heal(tc, v)
		case <-tc.ctx.Done():
		}
	}()
}
