package reducer

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/plantainrail/plantainrail"
)

// init fixes the seed of the random records, so that runs repeat; -rapid.seed overrides
// it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// baseTime is the time of the first record of a testLog.
var baseTime = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// testLog assigns offsets and times to records and applies each one to a state.
type testLog struct {
	state   *State
	records []plantainrail.Record
}

func newTestLog() *testLog { return &testLog{state: New()} }

// add appends a record, with a new ID if it has none, and returns the verdict on it.
func (h *testLog) add(r plantainrail.Record) Verdict {
	r.Offset = plantainrail.Offset(len(h.records))
	r.Time = baseTime.Add(time.Duration(r.Offset) * time.Second)
	if r.ID == "" {
		r.ID = fmt.Sprint(r.Offset)
	}
	h.records = append(h.records, r)
	return h.state.Apply(r)
}

// addJob submits the job "job".
func (h *testLog) addJob(tasks int) Verdict {
	return h.add(plantainrail.Record{Job: &plantainrail.JobRecord{ID: "job", Kind: "rebuild", Team: "rota", Tasks: tasks}})
}

// addTaskEvent records an event of a task's attempt and returns the verdict on it.
func (h *testLog) addTaskEvent(task string, attempt int64, event plantainrail.TaskEvent, worker, checkpoint string) Verdict {
	return h.add(plantainrail.Record{Task: &plantainrail.TaskRecord{
		AttemptRef: plantainrail.AttemptRef{Task: task, Attempt: attempt}, Event: event,
		Worker: worker, Incarnation: "1", Checkpoint: plantainrail.Checkpoint(checkpoint),
	}})
}

// TestTaskEvents checks which events of task job/0 are accepted after others, so that an
// attempt is assigned and ended at most once.
func TestTaskEvents(t *testing.T) {
	const task = "job/0"
	assign, release, finish := plantainrail.TaskAssign, plantainrail.TaskRelease, plantainrail.TaskFinish
	cases := []struct {
		name string
		// events records events and returns the verdict on the last one.
		events   func(*testLog) Verdict
		accepted bool
	}{
		{"first assignment", func(h *testLog) Verdict { return h.addTaskEvent(task, 1, assign, "a", "") }, true},
		{"second assignment of one attempt", func(h *testLog) Verdict {
			h.addTaskEvent(task, 1, assign, "a", "")
			return h.addTaskEvent(task, 1, assign, "b", "")
		}, false},
		{"next attempt while one is assigned", func(h *testLog) Verdict {
			h.addTaskEvent(task, 1, assign, "a", "")
			return h.addTaskEvent(task, 2, assign, "b", "")
		}, false},
		{"release of an older attempt", func(h *testLog) Verdict {
			h.addTaskEvent(task, 1, assign, "a", "")
			h.addTaskEvent(task, 1, release, "", "5")
			h.addTaskEvent(task, 2, assign, "b", "")
			return h.addTaskEvent(task, 1, release, "", "9")
		}, false},
		{"finish of an older attempt", func(h *testLog) Verdict {
			h.addTaskEvent(task, 1, assign, "a", "")
			h.addTaskEvent(task, 1, release, "", "5")
			h.addTaskEvent(task, 2, assign, "b", "")
			return h.addTaskEvent(task, 1, finish, "", "")
		}, false},
		{"second release", func(h *testLog) Verdict {
			h.addTaskEvent(task, 1, assign, "a", "")
			h.addTaskEvent(task, 1, release, "", "5")
			return h.addTaskEvent(task, 1, release, "", "6")
		}, false},
		{"assignment after the finish", func(h *testLog) Verdict {
			h.addTaskEvent(task, 1, assign, "a", "")
			h.addTaskEvent(task, 1, finish, "", "")
			return h.addTaskEvent(task, 2, assign, "b", "")
		}, false},
		{"assignment after the cancel", func(h *testLog) Verdict {
			h.add(plantainrail.Record{Cancel: &plantainrail.CancelRecord{Team: "rota"}})
			return h.addTaskEvent(task, 1, assign, "a", "")
		}, false},
		{"assignment to a lost incarnation", func(h *testLog) Verdict {
			h.add(plantainrail.Record{Gone: &plantainrail.GoneRecord{Worker: "a", Incarnation: "1"}})
			return h.addTaskEvent(task, 1, assign, "a", "")
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newTestLog()
			h.addJob(1)
			assert.Equal(t, c.events(h).Accepted, c.accepted)
		})
	}
}

// TestTaskResumesFromReleasedCheckpoint checks that a second release of an attempt does
// not replace the checkpoint of the first.
func TestTaskResumesFromReleasedCheckpoint(t *testing.T) {
	h := newTestLog()
	h.addJob(1)
	h.addTaskEvent("job/0", 1, plantainrail.TaskAssign, "a", "")
	h.addTaskEvent("job/0", 1, plantainrail.TaskRelease, "", "5")
	h.addTaskEvent("job/0", 1, plantainrail.TaskRelease, "", "9")
	assert.Equal(t, string(h.state.Tasks["job/0"].Checkpoint), "5")
}

func suspect(worker string) plantainrail.Record {
	return plantainrail.Record{Suspect: &plantainrail.SuspectRecord{Worker: worker, Incarnation: "1", Entry: "e1"}}
}

func register(name string) plantainrail.Record {
	return plantainrail.Record{Entry: &plantainrail.EntryRecord{Name: name, Incarnation: "1"}}
}

// vote returns an entry's vote on the suspicion of worker w at the offset.
func vote(at plantainrail.Offset, entry string, alive bool) plantainrail.Record {
	return plantainrail.Record{Vote: &plantainrail.VoteRecord{Worker: "w", Suspicion: at, Entry: entry, Alive: alive}}
}

func TestVoteAliveWithdrawsSuspicion(t *testing.T) {
	h := newTestLog()
	h.add(register("e1"))
	h.add(register("e2"))
	at := plantainrail.Offset(len(h.records))
	assert.Assert(t, h.add(suspect("w")).Accepted)
	assert.Assert(t, h.add(vote(at, "e1", false)).Accepted)
	assert.Assert(t, h.add(vote(at, "e2", true)).Accepted)
	gone := plantainrail.Record{Gone: &plantainrail.GoneRecord{Worker: "w", Incarnation: "1", Suspicion: at}}
	assert.Assert(t, !h.add(gone).Accepted)
}

func TestEntryCannotChangeItsVote(t *testing.T) {
	h := newTestLog()
	h.add(register("e1"))
	at := plantainrail.Offset(len(h.records))
	h.add(suspect("w"))
	h.add(vote(at, "e1", false))
	h.add(vote(at, "e1", true))
	assert.Assert(t, h.state.Suspects["w"] != nil)
}

// TestIdempotencyKeyHasOneHolder checks that a claimed key can only be taken over from the
// request that holds it: r3 replaces r1, after which r4 cannot replace r1.
func TestIdempotencyKeyHasOneHolder(t *testing.T) {
	claim := func(request, replaces string) plantainrail.Record {
		return plantainrail.Record{Key: &plantainrail.KeyRecord{Key: "k", Request: request, Replaces: replaces}}
	}
	h := newTestLog()
	assert.Assert(t, h.add(claim("r1", "")).Accepted)
	assert.Assert(t, !h.add(claim("r2", "")).Accepted)
	assert.Assert(t, h.add(claim("r3", "r1")).Accepted)
	assert.Assert(t, !h.add(claim("r4", "r1")).Accepted)
}

func TestJobAboveQuotaIsRejected(t *testing.T) {
	quota := 3
	h := newTestLog()
	submit := func(id string) Verdict {
		return h.add(plantainrail.Record{Job: &plantainrail.JobRecord{ID: id, Kind: "k", Team: "t", Tasks: 2, Quota: &quota}})
	}
	assert.Assert(t, submit("a").Accepted)
	assert.Equal(t, submit("b").Err.Code, plantainrail.CodeQuotaExceeded)
	assert.Assert(t, submit("a").Accepted, "a repeated submission is accepted and has no effect")
}

// TestDuplicateRecordAfterSnapshotIsIgnored appends a record, a snapshot and the record
// again. A reader that starts at the snapshot must ignore the duplicate like one that
// read the whole log.
func TestDuplicateRecordAfterSnapshotIsIgnored(t *testing.T) {
	h := newTestLog()
	h.add(register("a"))
	record, err := h.state.Snapshot()
	assert.NilError(t, err)
	h.add(register("a"))
	h.add(plantainrail.Record{Snapshot: &record})
	h.add(h.records[0])
	fromSnapshot := New()
	fromSnapshot.RecordRetention(record.AsOf)
	for _, r := range h.records[record.AsOf:] {
		fromSnapshot.Apply(r)
	}
	assert.Assert(t, fromSnapshot.Complete())
	assert.DeepEqual(t, fromSnapshot.Entries, h.state.Entries)
}

// randomRecord draws a record of any type but leave and snapshot. Names and numbers are
// drawn from small sets, so that records often refer to the same thing.
func randomRecord(t *rapid.T, next plantainrail.Offset) plantainrail.Record {
	name := func(label string) string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, label) }
	small := func(label string) int64 { return rapid.Int64Range(0, 4).Draw(t, label) }
	task := plantainrail.AttemptRef{Task: name("job") + "/0", Attempt: small("attempt")}
	at := plantainrail.Offset(rapid.Int64Range(0, int64(next)).Draw(t, "offset"))
	switch rapid.IntRange(0, 10).Draw(t, "type") {
	case 0:
		base := small("base")
		return plantainrail.Record{Table: &plantainrail.TableRecord{Revision: base + 1, Base: base, CSV: []byte(name("csv"))}}
	case 1:
		return plantainrail.Record{Entry: &plantainrail.EntryRecord{Name: name("entry"), Incarnation: "1", Left: rapid.Bool().Draw(t, "left")}}
	case 2:
		return plantainrail.Record{Key: &plantainrail.KeyRecord{Key: name("key"), Request: fmt.Sprint(next), Replaces: fmt.Sprint(at)}}
	case 3:
		return plantainrail.Record{Zone: &plantainrail.ZoneRecord{Zone: name("zone"), Out: rapid.Bool().Draw(t, "out"), BaseEpoch: small("base")}}
	case 4:
		return suspect(name("worker"))
	case 5:
		return plantainrail.Record{Vote: &plantainrail.VoteRecord{Worker: name("worker"), Suspicion: at, Entry: name("entry"), Alive: rapid.Bool().Draw(t, "alive")}}
	case 6:
		return plantainrail.Record{Gone: &plantainrail.GoneRecord{Worker: name("worker"), Incarnation: "1", Suspicion: at}}
	case 7:
		return plantainrail.Record{Job: &plantainrail.JobRecord{ID: name("job"), Kind: "k", Team: "t", Tasks: 1}}
	case 8:
		return plantainrail.Record{Cancel: &plantainrail.CancelRecord{Job: name("job")}}
	}
	event := rapid.SampledFrom([]plantainrail.TaskEvent{plantainrail.TaskAssign, plantainrail.TaskAssign, plantainrail.TaskRelease, plantainrail.TaskFinish, plantainrail.TaskFail}).Draw(t, "step")
	return plantainrail.Record{Task: &plantainrail.TaskRecord{AttemptRef: task, Event: event, Worker: name("worker"), Incarnation: "1"}}
}

// TestRandomRecordSequences checks on random sequences of records, with duplicates, that
// revisions and attempts never decrease, that an ended task stays ended, and that a
// reader that starts at a snapshot computes the same state as one that read the whole
// log.
func TestRandomRecordSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newTestLog()
		attempts := map[string]int64{}
		ended := map[string]bool{}
		revision := int64(0)
		snapshotAt := -1
		var asOf plantainrail.Offset
		for range rapid.IntRange(1, 80).Draw(t, "records") {
			if len(h.records) > 0 && rapid.IntRange(0, 5).Draw(t, "again") == 0 {
				h.add(rapid.SampledFrom(h.records).Draw(t, "copy"))
			} else {
				h.add(randomRecord(t, plantainrail.Offset(len(h.records))))
			}
			if rapid.IntRange(0, 15).Draw(t, "snapshot") == 0 {
				record, err := h.state.Snapshot()
				assert.NilError(t, err)
				asOf = record.AsOf
				h.add(randomRecord(t, plantainrail.Offset(len(h.records))))
				snapshotAt = len(h.records)
				h.add(plantainrail.Record{Snapshot: &record})
			}
			if h.state.Table.Revision < revision {
				t.Fatalf("table revision went back to %d from %d", h.state.Table.Revision, revision)
			}
			revision = h.state.Table.Revision
			for id, task := range h.state.Tasks {
				if task.Attempt < attempts[id] || (ended[id] && !task.Ended()) {
					t.Fatalf("task %s went back to attempt %d or left its final state; it is now %s", id, task.Attempt, task.State)
				}
				attempts[id] = task.Attempt
				ended[id] = task.Ended()
			}
		}
		if snapshotAt >= 0 {
			fromSnapshot := New()
			fromSnapshot.RecordRetention(asOf)
			for _, r := range h.records[asOf:] {
				fromSnapshot.Apply(r)
			}
			if !fromSnapshot.Complete() {
				t.Fatal("the state is incomplete although a snapshot was read")
			}
			complete, err := h.state.Snapshot()
			assert.NilError(t, err)
			restarted, err := fromSnapshot.Snapshot()
			assert.NilError(t, err)
			if stateDigest(t, complete) != stateDigest(t, restarted) {
				t.Fatal("the state of the reader that started at the snapshot differs from that of the whole log")
			}
		}
	})
}

// stateDigest restores a snapshot and formats the compared parts in a fixed order.
func stateDigest(t *rapid.T, r plantainrail.SnapshotRecord) string {
	s, err := restore(r)
	assert.NilError(t, err)
	text := fmt.Sprint(s.Table, s.Entries, s.Keys, s.Zones, s.LeavingTargets, s.LostIncarnations, len(s.Jobs), s.unfinishedTasks)
	for _, name := range []string{"a", "b", "c"} {
		if p := s.Suspects[name]; p != nil {
			text += fmt.Sprint(p.Offset, p.Waiting)
		}
		if task := s.Tasks[name+"/0"]; task != nil {
			text += fmt.Sprint(task.State, task.Attempt, task.Worker, string(task.Checkpoint), task.Failures)
		}
	}
	return text
}
