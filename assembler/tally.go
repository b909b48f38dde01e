package assembler

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/standin/responder"
	"github.com/plantainrail/plantainrail/standin/worker"
)

// Tallies combines what the stand-ins of a cluster recorded.
type Tallies struct {
	// Runs counts how many times targets ran each request, by request ID.
	Runs map[string]int
	// Paths holds the path of each request ID.
	Paths map[string]string
	// Echoes counts the same runs by the query parameter echo, which the caller
	// chooses. A request and its repetition under a new request ID are thus counted
	// together. Runs without the parameter are not counted.
	Echoes map[string]int
	// LateRequests counts the requests that started later than the grace period after
	// their target left.
	LateRequests int
	// CutOffRequests counts the requests whose connection closed before the response ended.
	CutOffRequests int
	// Spans holds the attempts of tasks that ran on all workers.
	Spans []worker.Span
	// Overcommits counts the task starts that exceeded the capacity of a VM.
	Overcommits int
	// LossTimes holds, by the name of the VM, the times at which the log recorded
	// that the VM was lost.
	LossTimes map[string][]time.Time
}

// NewTallies returns empty Tallies.
func NewTallies() Tallies {
	return Tallies{Runs: map[string]int{}, Paths: map[string]string{}, Echoes: map[string]int{}, LossTimes: map[string][]time.Time{}}
}

// AddTarget adds the tally of a target.
func (t *Tallies) AddTarget(tally responder.Tally) {
	for id, n := range tally.Runs {
		t.Runs[id] += n
	}
	maps.Copy(t.Paths, tally.Paths)
	for echo, n := range tally.Echoes {
		t.Echoes[echo] += n
	}
	t.LateRequests += tally.LateRequests
	t.CutOffRequests += tally.CutOffRequests
}

// AddWorker adds the tally of a worker runtime.
func (t *Tallies) AddWorker(tally worker.Tally) {
	t.Spans = append(t.Spans, tally.Spans...)
	t.Overcommits += tally.Overcommits
}

// AddLog adds the times at which the records report the loss of VMs.
func (t *Tallies) AddLog(records []plantainrail.Record) {
	for _, r := range records {
		if r.Gone != nil {
			t.LossTimes[r.Gone.Worker] = append(t.LossTimes[r.Gone.Worker], r.Time)
		}
	}
}

// RequestsRunTwice returns the number of requests to the path that ran more than once.
func (t Tallies) RequestsRunTwice(path string) int {
	n := 0
	for id, runs := range t.Runs {
		if runs > 1 && t.Paths[id] == path {
			n++
		}
	}
	return n
}

// spansByTask groups the spans by task, sorted by start time.
func (t Tallies) spansByTask() map[string][]worker.Span {
	groups := map[string][]worker.Span{}
	for _, s := range t.Spans {
		groups[s.Task] = append(groups[s.Task], s)
	}
	for _, g := range groups {
		slices.SortFunc(g, func(a, b worker.Span) int { return a.Start.Compare(b.Start) })
	}
	return groups
}

// DuplicateTasks returns the number of tasks that had two runs at the same time or
// started again after they had finished. A finished task may start again if the
// log recorded the loss of its VM between the two starts, because the finish may
// not have been reported.
func (t Tallies) DuplicateTasks() int { return len(t.DuplicateSpans()) }

// DuplicateSpans returns the spans of each task that DuplicateTasks counts.
func (t Tallies) DuplicateSpans() [][]worker.Span {
	var list [][]worker.Span
	for _, spans := range t.spansByTask() {
		if t.hasDuplicateRun(spans) {
			list = append(list, spans)
		}
	}
	return list
}

// hasDuplicateRun reports whether DuplicateTasks counts the task with these spans,
// which are sorted by start time.
func (t Tallies) hasDuplicateRun(spans []worker.Span) bool {
	for i := 1; i < len(spans); i++ {
		before, after := spans[i-1], spans[i]
		if before.End.IsZero() || after.Start.Before(before.End) {
			return true
		}
		if before.Finished && !t.vmLostBetween(before, after) {
			return true
		}
	}
	return false
}

// vmLostBetween reports whether the log recorded the loss of the first span's VM
// between the starts of the two spans.
func (t Tallies) vmLostBetween(before, after worker.Span) bool {
	return slices.ContainsFunc(t.LossTimes[before.VM], func(at time.Time) bool {
		return at.After(before.Start) && at.Before(after.Start)
	})
}

// TasksWithRestartedAttempt returns the number of tasks with an attempt that was
// started more than once. Both starts use the same checkpoint, so the second one repeats the
// work of the first.
func (t Tallies) TasksWithRestartedAttempt() int {
	n := 0
	for _, spans := range t.spansByTask() {
		attempts := map[int64]int{}
		for _, s := range spans {
			attempts[s.Attempt]++
		}
		for _, starts := range attempts {
			if starts > 1 {
				n++
				break
			}
		}
	}
	return n
}

// FinishedTasks returns the number of distinct tasks of the job that finished.
func (t Tallies) FinishedTasks(job string) int {
	finished := map[string]bool{}
	for _, s := range t.Spans {
		if s.Finished && strings.HasPrefix(s.Task, job+"/") {
			finished[s.Task] = true
		}
	}
	return len(finished)
}

// StartsIn returns the number of task starts in a zone between two times.
func (t Tallies) StartsIn(zone string, from, to time.Time) int {
	n := 0
	for _, s := range t.Spans {
		if s.Zone == zone && s.Start.After(from) && s.Start.Before(to) {
			n++
		}
	}
	return n
}

// TaskID returns the ID of the task with this index, from 0, in a job.
func TaskID(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// Evictions returns the number of attempts that ended without finishing, for any reason:
// they were stopped or failed, their lease expired or their VM was lost. The
// count is not limited to the evictions that an entry has ordered.
func (t Tallies) Evictions() int {
	n := 0
	for _, s := range t.Spans {
		if !s.End.IsZero() && !s.Finished {
			n++
		}
	}
	return n
}
