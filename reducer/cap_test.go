package reducer

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
)

// capTable caps noise and power from 08:00, the time of newTestLog's first record, to
// 09:00. The caps hold for the sums over all kinds: a task of kind rebuild adds 2 noise
// and 1 power, and a task of kind notices adds 5 power.
const capTable = `kind,class,noise,power,quiet_hours,quiet_noise,quiet_power,quiet_tasks
rebuild,batch,2,1,08:00-09:00,4,,
notices,batch,0,5,08:00-09:00,,6,
silent,batch,0,0,,,,
`

// assignInZone submits a job of the kind with one task, assigns the task to a worker in
// zone z and returns the verdict on the assignment.
func (h *testLog) assignInZone(id, kind string) Verdict {
	h.add(plantainrail.Record{Job: &plantainrail.JobRecord{ID: id, Kind: kind, Team: "rota", Tasks: 1}})
	return h.add(plantainrail.Record{Task: &plantainrail.TaskRecord{
		AttemptRef: plantainrail.AttemptRef{Task: id + "/0", Attempt: 1}, Event: plantainrail.TaskAssign,
		Worker: "a", Incarnation: "1", Zone: "z",
	}})
}

// TestAssignmentsStayWithinZoneCaps checks that an assignment in the quiet hours is
// rejected if the zone would exceed its cap on noise (4) or power (6).
func TestAssignmentsStayWithinZoneCaps(t *testing.T) {
	cases := []struct {
		name string
		// before lists the kinds of the tasks that are assigned first.
		before []string
		kind   string
		// want is 0 if the assignment is accepted.
		want plantainrail.Code
	}{
		{"first task of the noisy kind", nil, "rebuild", 0},
		{"noise at the cap", []string{"rebuild"}, "rebuild", 0},
		{"noise would exceed the cap", []string{"rebuild", "rebuild"}, "rebuild", plantainrail.CodeCapReached},
		{"power summed over kinds", []string{"rebuild", "rebuild"}, "notices", plantainrail.CodeCapReached},
		{"power of two tasks of one kind", []string{"notices"}, "notices", plantainrail.CodeCapReached},
		{"kind without noise and power", []string{"rebuild", "rebuild", "notices"}, "silent", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newTestLog()
			h.add(plantainrail.Record{Table: &plantainrail.TableRecord{Revision: 1, CSV: []byte(capTable)}})
			for i, kind := range c.before {
				h.assignInZone(string(rune('a'+i)), kind)
			}
			assert.Equal(t, verdictCode(h.assignInZone("last", c.kind)), c.want)
		})
	}
}

// TestFinishedTaskFreesItsShareOfTheCap checks that a finished task no longer counts
// towards the caps, and that a restored snapshot counts the same running tasks.
func TestFinishedTaskFreesItsShareOfTheCap(t *testing.T) {
	h := newTestLog()
	h.add(plantainrail.Record{Table: &plantainrail.TableRecord{Revision: 1, CSV: []byte(capTable)}})
	h.assignInZone("a", "rebuild")
	h.assignInZone("b", "rebuild")
	h.addTaskEvent("a/0", 1, plantainrail.TaskFinish, "", "")
	assert.Equal(t, verdictCode(h.assignInZone("c", "rebuild")), plantainrail.Code(0))
	record, err := h.state.Snapshot()
	assert.NilError(t, err)
	restored, err := restore(record)
	assert.NilError(t, err)
	assert.DeepEqual(t, restored.AssignedCounts["z"], map[string]int{"rebuild": 2})
	assert.Equal(t, len(restored.AssignedTasks), 2)
	assert.Equal(t, len(restored.OpenJobs), 2)
}

func TestNoAssignmentInZoneTakenOut(t *testing.T) {
	h := newTestLog()
	h.add(plantainrail.Record{Zone: &plantainrail.ZoneRecord{Zone: "z", Out: true}})
	assert.Equal(t, verdictCode(h.assignInZone("a", "rebuild")), plantainrail.CodeStartForbidden)
}

// verdictCode returns the code with which a record was rejected; 0 if it was accepted.
func verdictCode(v Verdict) plantainrail.Code {
	if v.Err == nil {
		return 0
	}
	return v.Err.Code
}

// TestAssignmentsStayWithinVMCapacity checks that the reservations on a VM stay within
// the capacity that the assignments give, and that a finished task frees its share.
func TestAssignmentsStayWithinVMCapacity(t *testing.T) {
	h := newTestLog()
	size := plantainrail.Resources{Processors: 2000, Memory: 1000}
	place := func(id string, processors int) plantainrail.Code {
		need := plantainrail.Resources{Processors: processors, Memory: 1}
		h.add(plantainrail.Record{Job: &plantainrail.JobRecord{ID: id, Kind: "rebuild", Team: "rota", Tasks: 1, Resources: need}})
		return verdictCode(h.add(plantainrail.Record{Task: &plantainrail.TaskRecord{
			AttemptRef: plantainrail.AttemptRef{Task: id + "/0", Attempt: 1}, Event: plantainrail.TaskAssign,
			Worker: "a", Incarnation: "1", Capacity: size,
		}}))
	}
	assert.Equal(t, place("a", 1500), plantainrail.Code(0))
	assert.Equal(t, place("b", 600), plantainrail.CodeOverCapacity)
	assert.Equal(t, place("c", 500), plantainrail.Code(0))
	h.addTaskEvent("a/0", 1, plantainrail.TaskFinish, "", "")
	assert.Equal(t, place("d", 1500), plantainrail.Code(0))
	assert.Equal(t, place("e", 1), plantainrail.CodeOverCapacity)
	assert.Equal(t, h.state.Reserved[IncarnationKey{"a", "1"}], plantainrail.Resources{Processors: 2000, Memory: 2})
}
