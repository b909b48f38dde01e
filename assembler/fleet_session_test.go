package assembler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/decider"
	"github.com/plantainrail/plantainrail/linker"
)

// Guards against an agent that is shut out for good (LOST): an entry accepts its session, and does not close it when
// it learns that it does not own the jobs any more, since the agent has not reported yet.
func TestSessionsEndWithTheOwnership(t *testing.T) {
	const limit = 100 * time.Millisecond
	for _, c := range []struct {
		name string
		// end ends the ownership of an entry, and returns once the entry knows it.
		end func(f *fleet, owner int)
	}{
		{"resigned", func(f *fleet, owner int) {
			f.group.Go(func() error { _ = f.entries[owner].decider.Drain(f.ctx); return nil })
		}},
		{"replaced while suspended", func(f *fleet, owner int) { f.entries[owner].store.freeze(2 * time.Second) }},
		{"fenced", func(f *fleet, owner int) {
			for range 2 {
				f.entries[owner].store.silence("members")
				f.cutFromStore(f.entries[owner:owner+1], 2*time.Second)
			}
		}},
	} {
		for _, reports := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, ", reports ", reports), func(t *testing.T) {
				runInFleet(t, smallFleet, func(f *fleet) {
					owner := f.owner()
					var sessions []*linker.Session
					dial := func() {
						session, _, err := decider.Dial(f.ctx, f.client("vm-9"), f.entries[owner].decider.Address)
						if err != nil {
							return
						}
						f.group.Go(func() error { _ = session.Run(f.ctx, make(orderRecorder, 10)); return nil })
						sessions = append(sessions, session)
						if reports {
							assert.NilError(t, session.Send(linker.Frame{Work: &linker.WorkReport{VM: plantainrail.VM{
								Incarnation: plantainrail.WorkerIncarnation{Node: fmt.Sprint("vm-9-", len(sessions)), ID: "w", StartedMS: 1}, Pool: "desk", Zone: "z", Draining: true,
							}}}))
						}
					}
					dial()
					go c.end(f, owner)
					for f.entries[owner].decider.Owns() {
						dial()
						time.Sleep(50 * time.Millisecond)
					}
					time.Sleep(limit)
					assert.Check(t, len(sessions) > 0, "no session was accepted")
					for i, session := range sessions {
						assert.Check(t, session.State() == linker.StateClosed, "session %d of %d is open", i, len(sessions))
						session.Close()
					}
				})
			})
		}
	}
}
