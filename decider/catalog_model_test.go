package decider

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

// modelTopic is a log of keyed records of which a list of the newest ones can be taken.
type modelTopic struct{ records []plantainrail.KeyedRecord }

func (m *modelTopic) add(key string, value []byte) {
	m.records = append(m.records, plantainrail.KeyedRecord{Key: key, Value: value, Offset: plantainrail.Offset(len(m.records))})
}

// read is a read of at most n records from the offset on, or a list.
func (m *modelTopic) read(r *rand.Rand, v *view, list bool, from plantainrail.Offset) readResult {
	out := readResult{from: from, resets: v.resets, sentAt: time.Unix(1_700_000_000, 0), complete: list || from == unread}
	end := plantainrail.Offset(len(m.records))
	out.batch.End = end
	if out.complete {
		newest := map[string]plantainrail.KeyedRecord{}
		for _, record := range m.records {
			newest[record.Key] = record
		}
		for _, record := range newest {
			if len(record.Value) > 0 {
				out.batch.Records = append(out.batch.Records, record)
			}
		}
		out.batch.Next = end
		return out
	}
	next := min(end, from+plantainrail.Offset(r.IntN(6)))
	out.batch.Records, out.batch.Next = append(out.batch.Records, m.records[from:next]...), next
	return out
}

// Guards against a job without a reused ID that an entry forgets before its end, or runs again, or although it was
// cancelled before its submission was stored, whatever the entry has read of the two topics, in whatever order, with lists of the newest records, overlapping reads and
// lost places as replica between.
func TestCatalogOfAnyReader(t *testing.T) {
	for seed := range uint64(3000) {
		r := rand.New(rand.NewPCG(seed, 1))
		d := New(Options{Logger: zap.NewNop(), Now: func() time.Time { return time.Unix(1_700_000_000, 0) }})
		makeReplica(d)
		jobs, progress := &modelTopic{}, &modelTopic{}
		const n = 6
		phase := make([]int, n)
		cancelled := make([]bool, n)
		id := func(i int) string { return fmt.Sprintf("%016x", i) }
		submission := func(i int) plantainrail.KeyedRecord {
			record, err := planner.NewJobRecord(plantainrail.Workflow{ID: id(i), Queue: plantainrail.Queue{Name: "q"}, Steps: []plantainrail.Step{{Count: 1, CPU: 1}}})
			assert.NilError(t, err)
			return record
		}
		open := map[*view]readResult{}
		completed := [n]bool{}
		for range 150 {
			switch i := r.IntN(n); r.IntN(5) {
			case 0, 1:
				if phase[i] == 0 && r.IntN(3) == 0 {
					// A cancellation before the submission, or the end of its time.
					record := planner.NewCancelRecord(id(i))
					if cancelled[i] && r.IntN(2) == 0 {
						record.Value = nil
					}
					jobs.add(record.Key, record.Value)
					cancelled[i] = record.Value != nil
					break
				}
				switch {
				case phase[i] == 0:
					jobs.add(submission(i).Key, submission(i).Value)
				case phase[i] == 1:
					if r.IntN(3) == 0 {
						jobs.add(submission(i).Key, submission(i).Value)
					}
					if r.IntN(3) == 0 {
						jobs.add(planner.NewCancelRecord(id(i)).Key, []byte{1})
						cancelled[i] = true
					}
					progress.add(id(i), encode(t, map[int]any{0: "running", 1: true, 3: map[int][][][]any{0: {{{0, 1, 0, 0, ""}}}}}))
				case phase[i] == 2:
					progress.add(id(i), encode(t, map[int]any{0: "completed", 1: true, 4: []int{0}}))
				case phase[i] == 3:
					jobs.add("j/"+id(i), nil)
					if cancelled[i] {
						jobs.add("c/"+id(i), nil)
						cancelled[i] = false
					}
				case phase[i] == 4:
					progress.add(id(i), nil)
				}
				phase[i] = min(phase[i]+1, 5)
			default:
				v, topic := d.jobs, jobs
				if r.IntN(2) == 0 {
					v, topic = d.progress, progress
				}
				if r.IntN(40) == 0 {
					delete(d.replicas, d.Zone)
					d.dropUnfollowed()
					completed = [n]bool{}
					makeReplica(d)
				}
				switch result, isOpen := open[v]; {
				case isOpen && r.IntN(2) == 0:
					// A read that was sent before is answered.
					d.applyRead(t.Context(), v, result)
					delete(open, v)
				case r.IntN(4) == 0:
					open[v] = topic.read(r, v, r.IntN(3) == 0, v.next)
				default:
					d.applyRead(t.Context(), v, topic.read(r, v, r.IntN(6) == 0, v.next))
				}
			}
			for j := range n {
				if state, _, accepted := d.catalog.State(id(j)); accepted {
					// An entry that begins with a list of jobs from before the deletion, and one of progress from
					// after it, is not covered: progressGrace is for that.
					assert.Assert(t, state == planner.Completed || !completed[j], "seed %d job %d is %s again", seed, j, state)
					completed[j] = completed[j] || state == planner.Completed
				}
				// A submission is to be deleted only if its end is stored.
				for _, record := range d.catalog.JobDeletions(time.Unix(1_800_000_000, 0), 99) {
					if planner.JobID(record) == id(j) {
						assert.Assert(t, phase[j] >= 3, "seed %d job %d", seed, j)
					}
				}
			}
		}
		// A takeover.
		for d.jobs.next < plantainrail.Offset(len(jobs.records)) || d.progress.next < plantainrail.Offset(len(progress.records)) {
			d.applyRead(t.Context(), d.jobs, jobs.read(r, d.jobs, false, d.jobs.next))
			d.applyRead(t.Context(), d.progress, progress.read(r, d.progress, false, d.progress.next))
		}
		for j := range n {
			for _, record := range d.catalog.ProgressDeletions(time.Unix(1_800_000_000, 0), 99) {
				if record.Key == id(j) {
					assert.Equal(t, phase[j], 4, "seed %d job %d", seed, j)
				}
			}
		}
		lone := 0
		for j := range n {
			if phase[j] == 0 && cancelled[j] {
				lone++
			}
		}
		assert.Equal(t, d.catalog.LoneCancels(), lone, "seed %d", seed)
		assert.Equal(t, len(d.catalog.CancelDeletions(time.Unix(1_800_000_000, 0), n)), lone, "seed %d", seed)
		book, unreadable := d.catalog.Book()
		assert.Equal(t, len(unreadable), 0, "seed %d: %v", seed, unreadable)
		assert.Equal(t, book.UnknownProgress(), 0, "seed %d", seed)
		for i := range n {
			j := book.Job(id(i))
			want := phase[i] >= 1 && phase[i] <= 3
			assert.Equal(t, j != nil, want, "seed %d job %d phase %d", seed, i, phase[i])
			if !want {
				continue
			}
			state := []planner.State{"", planner.Queued, "running", planner.Completed}[phase[i]]
			assert.Equal(t, j.State, state, "seed %d job %d", seed, i)
			assert.Equal(t, j.CancelRequested, cancelled[i], "seed %d job %d", seed, i)
		}
	}
}
