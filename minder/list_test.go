package minder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/linker"
)

// Guards against runs that are stopped since the owner's list of them has arrived in part, and against a list that is
// put together from the parts of two sessions.
func TestListInPartsCountsOnceComplete(t *testing.T) {
	first, second, dropped := refForJob("first"), refForJob("second"), refForJob("dropped")
	list := func(refs ...plantainrail.RunRef) (out []plantainrail.RunOrder) {
		for _, ref := range refs {
			out = append(out, plantainrail.RunOrder{Ref: ref})
		}
		return out
	}
	part, last := linker.WorkOrders{Listed: list(first)}, linker.WorkOrders{Complete: true, Starts: list(second)}
	for _, c := range []struct {
		name     string
		messages []linker.WorkOrders
		// reconnects is the number of messages after which the session is opened again; 0 if it lasts.
		reconnects int
		complete   bool
		stopped    map[plantainrail.RunRef]bool
	}{
		{"nothing", nil, 0, false, map[plantainrail.RunRef]bool{}},
		{"one part", []linker.WorkOrders{part}, 0, false, map[plantainrail.RunRef]bool{}},
		{"all parts", []linker.WorkOrders{part, last}, 0, true, map[plantainrail.RunRef]bool{dropped: true}},
		{"one message", []linker.WorkOrders{{Complete: true, Starts: list(first, second)}}, 0, true, map[plantainrail.RunRef]bool{dropped: true}},
		{"new session after a part", []linker.WorkOrders{part, last}, 1, true, map[plantainrail.RunRef]bool{first: true, dropped: true}},
		{"list from the start in a new session", []linker.WorkOrders{part, part, last}, 1, true, map[plantainrail.RunRef]bool{dropped: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			withWorker(t, func(t *testing.T, m *Minder, w *fakeWorker) {
				m.mu.Lock()
				m.Worker = &startingWorker{fakeWorker: w}
				for _, ref := range []plantainrail.RunRef{first, second, dropped} {
					m.running[ref] = plantainrail.RunStatus{Ref: ref}
				}
				m.mu.Unlock()
				for i, o := range c.messages {
					o.Incarnation = knownVM(m).Incarnation
					if c.reconnects > 0 && i == c.reconnects {
						m.mu.Lock()
						m.resetSession(dialedSession{dialedAt: m.Now()})
						m.mu.Unlock()
					}
					m.applyOrders(nil, o)
					m.mu.Lock()
					m.reconcile()
					m.mu.Unlock()
				}
				m.mu.Lock()
				assert.Equal(t, m.ordersComplete, c.complete)
				assert.DeepEqual(t, m.stopping, c.stopped)
				m.mu.Unlock()
				time.Sleep(10 * time.Second)
			})
		})
	}
}
