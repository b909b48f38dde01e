package assembler_test

import (
	"testing"
	"time"
)

// missEnd cuts all entries off from the store while the operators delete a key, and expires the
// history, so that no entry reads the deletion.
func (f *fleet) missEnd(key string) {
	setLinks := func(state fault) {
		for _, e := range f.entries {
			f.net.setFault(linkName(e.name, "store"), state)
		}
	}
	setLinks(down)
	time.Sleep(500 * time.Millisecond)
	f.store.Put("keyed.op", key, nil)
	f.store.Expire()
	time.Sleep(time.Second)
	setLinks(healthy)
}

// Guards against a zone that stays evacuated for ever, with accepted jobs that wait although its
// VMs are idle (LOST), because the store forgot the end of the evacuation before it was read.
func TestForgottenEndOfEvacuationIsNoticed(t *testing.T) {
	// limit is the time within which a changed configuration must be in force after the
	// outage of the store, and the run time of the job.
	const limit = 8 * time.Second
	runInFleet(t, smallFleet, func(f *fleet) {
		// All VMs are in zone z.
		f.store.Put("keyed.op", "evacuate/z", []byte("{}"))
		time.Sleep(3 * time.Second)
		f.submit(1, "300", jobSteps)
		f.missEnd("evacuate/z")
		f.waitForState(1, "completed", limit)
	})
}
