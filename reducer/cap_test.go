package reducer

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
)

const capTable = `kind,class,noise,power,quiet_hours,quiet_noise,quiet_power,quiet_tasks
rebuild,batch,2,1,08:00-09:00,4,,
notices,batch,0,5,08:00-09:00,,6,
silent,batch,0,0,,,,
`

// assignInZone submits a job of the kind with one task and assigns the task to a
// worker in zone z.
func (h *history) assignInZone(id, kind string) Verdict {
	h.add(plantainrail.Record{Job: &plantainrail.JobRecord{ID: id, Kind: kind, Team: "rota", Tasks: 1}})
	return h.add(plantainrail.Record{Task: &plantainrail.TaskRecord{
		AttemptRef: plantainrail.AttemptRef{Task: id + "/0", Attempt: 1}, Event: plantainrail.TaskAssign,
		Worker: "a", Incarnation: "1", Zone: "z",
	}})
}

func TestAssignmentsStayWithinZoneCaps(t *testing.T) {
	cases := []struct {
		name   string
		before []string
		kind   string
		want   plantainrail.Code
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
			h := newHistory()
			h.add(plantainrail.Record{Table: &plantainrail.TableRecord{Revision: 1, CSV: []byte(capTable)}})
			for i, kind := range c.before {
				h.assignInZone(string(rune('a'+i)), kind)
			}
			assert.Equal(t, code(h.assignInZone("last", c.kind)), c.want)
		})
	}
}

func TestFinishedTaskFreesItsShareOfTheCap(t *testing.T) {
	h := newHistory()
	h.add(plantainrail.Record{Table: &plantainrail.TableRecord{Revision: 1, CSV: []byte(capTable)}})
	h.assignInZone("a", "rebuild")
	h.assignInZone("b", "rebuild")
	h.event("a/0", 1, plantainrail.TaskFinish, "", "")
	assert.Equal(t, code(h.assignInZone("c", "rebuild")), plantainrail.Code(0))
	record, err := h.state.Snapshot()
	assert.NilError(t, err)
	restored, err := restore(record)
	assert.NilError(t, err)
	assert.DeepEqual(t, restored.Running["z"], map[string]int{"rebuild": 2})
	assert.Equal(t, len(restored.AssignedTasks), 2)
	assert.Equal(t, len(restored.OpenJobs), 2)
}

func TestNoAssignmentInZoneTakenOut(t *testing.T) {
	h := newHistory()
	h.add(plantainrail.Record{Zone: &plantainrail.ZoneRecord{Zone: "z", Out: true}})
	assert.Equal(t, code(h.assignInZone("a", "rebuild")), plantainrail.CodeStartForbidden)
}

func code(v Verdict) plantainrail.Code {
	if v.Err == nil {
		return 0
	}
	return v.Err.Code
}

func TestAssignmentsStayWithinVMCapacity(t *testing.T) {
	h := newHistory()
	size := plantainrail.Resources{Processors: 2000, Memory: 1000}
	place := func(id string, processors int) plantainrail.Code {
		need := plantainrail.Resources{Processors: processors, Memory: 1}
		h.add(plantainrail.Record{Job: &plantainrail.JobRecord{ID: id, Kind: "rebuild", Team: "rota", Tasks: 1, Resources: need}})
		return code(h.add(plantainrail.Record{Task: &plantainrail.TaskRecord{
			AttemptRef: plantainrail.AttemptRef{Task: id + "/0", Attempt: 1}, Event: plantainrail.TaskAssign,
			Worker: "a", Incarnation: "1", Capacity: size,
		}}))
	}
	assert.Equal(t, place("a", 1500), plantainrail.Code(0))
	assert.Equal(t, place("b", 600), plantainrail.CodeOverCapacity)
	assert.Equal(t, place("c", 500), plantainrail.Code(0))
	h.event("a/0", 1, plantainrail.TaskFinish, "", "")
	assert.Equal(t, place("d", 1500), plantainrail.Code(0))
	assert.Equal(t, place("e", 1), plantainrail.CodeOverCapacity)
	assert.Equal(t, h.state.Reserved[IncarnationKey{"a", "1"}], plantainrail.Resources{Processors: 2000, Memory: 2})
}
