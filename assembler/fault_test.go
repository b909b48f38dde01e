package assembler_test

import (
	"time"

	"github.com/plantainrail/plantainrail/assembler"
	"github.com/plantainrail/plantainrail/standin/recorder"
)

// faultCase is one fault that a cell injects. Planned faults are stops that an
// operator asked for; they may cut off no request.
type faultCase struct {
	name    string
	planned bool
	inject  func(*world, *assembler.VM)
	// heal undoes the fault, after it has lasted for a while.
	heal func(*world, *assembler.VM)
}

// faultTime is how long a fault that heals lasts.
const faultTime = 5 * time.Second

func onLog(f recorder.Faults) func(*world, *assembler.VM) {
	return func(w *world, _ *assembler.VM) { w.Log.SetFaults(f) }
}

func onLink(f fault) func(*world, *assembler.VM) {
	return func(w *world, v *assembler.VM) { w.net.set(pair(v.Name, "entry-0"), f) }
}

func restartAgent(w *world, v *assembler.VM) {
	if err := w.RestartAgent(v); err != nil {
		w.t.Error(err)
	}
}

var faultCases = []faultCase{
	{"none", true, func(*world, *assembler.VM) {}, nil},
	{"entry dies", false, func(w *world, _ *assembler.VM) { w.Entries[0].Kill() }, nil},
	{"agent dies", false, func(w *world, v *assembler.VM) { w.KillAgent(v) }, nil},
	{"agent restarts", false, func(w *world, v *assembler.VM) { w.KillAgent(v); restartAgent(w, v) }, nil},
	{"session cut", false, onLink(cut), onLink(healthy)},
	{"session silent", false, onLink(silent), nil},
	{"link deaf", false, onLink(deaf), onLink(healthy)},
	{
		"target unreachable", false,
		func(w *world, v *assembler.VM) { w.net.set(pair(v.Name, v.Name+"-target"), cut) },
		func(w *world, v *assembler.VM) { w.net.set(pair(v.Name, v.Name+"-target"), healthy) },
	},
	{"network slow", false, func(w *world, _ *assembler.VM) { w.net.setDelay(30 * time.Millisecond) }, func(w *world, _ *assembler.VM) { w.net.setDelay(0) }},
	{"log down", false, onLog(recorder.Faults{Down: true}), onLog(recorder.Faults{})},
	{"log slow", false, onLog(recorder.Faults{DelayMS: 700}), onLog(recorder.Faults{})},
	{"log loses replies", false, onLog(recorder.Faults{LoseReplies: true}), onLog(recorder.Faults{})},
	{"entry drains", true, func(w *world, _ *assembler.VM) { go func() { _ = w.Entries[0].Stop(w.ctx) }() }, nil},
	{"agent drains", true, func(w *world, v *assembler.VM) {
		go func() {
			_ = v.Agent().Drain(w.ctx)
			w.KillAgent(v)
		}()
	}, nil},
	{"target leaves", true, func(w *world, v *assembler.VM) { _ = v.Target.Leave(w.ctx) }, nil},
	{"target returns anew", true, func(_ *world, v *assembler.VM) { v.Target.SetIncarnation("2") }, nil},
}

// apply injects a fault and heals it later.
func (f faultCase) apply(w *world, v *assembler.VM) {
	f.inject(w, v)
	if f.heal == nil {
		return
	}
	go func() {
		select {
		case <-time.After(faultTime):
			f.heal(w, v)
		case <-w.ctx.Done():
		}
	}()
}
