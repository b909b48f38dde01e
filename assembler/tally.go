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

// Tallies is what all stand-ins of a cluster saw.
type Tallies struct {
	Runs  map[string]int
	Paths map[string]string
	// Echoes counts the runs by the echo that the caller chose.
	Echoes      map[string]int
	Late        int
	Cut         int
	Spans       []worker.Span
	Overcommits int
	// Lost holds when the log recorded the loss of each VM.
	Lost map[string][]time.Time
}

// NewTallies returns empty Tallies.
func NewTallies() Tallies {
	return Tallies{Runs: map[string]int{}, Paths: map[string]string{}, Echoes: map[string]int{}, Lost: map[string][]time.Time{}}
}

// AddTarget adds what a target saw.
func (t *Tallies) AddTarget(seen responder.Tally) {
	for id, n := range seen.Runs {
		t.Runs[id] += n
	}
	maps.Copy(t.Paths, seen.Paths)
	for echo, n := range seen.Echoes {
		t.Echoes[echo] += n
	}
	t.Late += seen.Late
	t.Cut += seen.Cut
}

// AddWorker adds what a worker runtime saw.
func (t *Tallies) AddWorker(seen worker.Tally) {
	t.Spans = append(t.Spans, seen.Spans...)
	t.Overcommits += seen.Overcommits
}

// AddLog adds the losses of VMs that the log recorded.
func (t *Tallies) AddLog(records []plantainrail.Record) {
	for _, r := range records {
		if r.Gone != nil {
			t.Lost[r.Gone.Worker] = append(t.Lost[r.Gone.Worker], r.Time)
		}
	}
}

// RunTwice counts the requests on the path that ran more than once.
func (t Tallies) RunTwice(path string) int {
	n := 0
	for id, runs := range t.Runs {
		if runs > 1 && t.Paths[id] == path {
			n++
		}
	}
	return n
}

// byTask groups the spans by task, each group in order of start.
func (t Tallies) byTask() map[string][]worker.Span {
	groups := map[string][]worker.Span{}
	for _, s := range t.Spans {
		groups[s.Task] = append(groups[s.Task], s)
	}
	for _, g := range groups {
		slices.SortFunc(g, func(a, b worker.Span) int { return a.Start.Compare(b.Start) })
	}
	return groups
}

// Doubled counts the tasks that ran in two places at once, or started again
// after they had finished. A task whose VM was recorded as lost before it could
// report the finish may start again.
func (t Tallies) Doubled() int { return len(t.DoubledSpans()) }

// DoubledSpans returns the spans of each task that Doubled counts.
func (t Tallies) DoubledSpans() [][]worker.Span {
	var list [][]worker.Span
	for _, spans := range t.byTask() {
		if t.doubled(spans) {
			list = append(list, spans)
		}
	}
	return list
}

func (t Tallies) doubled(spans []worker.Span) bool {
	for i := 1; i < len(spans); i++ {
		before, after := spans[i-1], spans[i]
		if before.End.IsZero() || after.Start.Before(before.End) {
			return true
		}
		if before.Finished && !t.lostBetween(before, after) {
			return true
		}
	}
	return false
}

func (t Tallies) lostBetween(before, after worker.Span) bool {
	return slices.ContainsFunc(t.Lost[before.VM], func(at time.Time) bool {
		return at.After(before.Start) && at.Before(after.Start)
	})
}

// ResumedTwice counts the tasks of which one checkpoint was resumed twice
// although the first of the two made progress that it released.
func (t Tallies) ResumedTwice() int {
	n := 0
	for _, spans := range t.byTask() {
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

// FinishedTasks counts the distinct tasks of the job that finished.
func (t Tallies) FinishedTasks(job string) int {
	done := map[string]bool{}
	for _, s := range t.Spans {
		if s.Finished && strings.HasPrefix(s.Task, job+"/") {
			done[s.Task] = true
		}
	}
	return len(done)
}

// StartsIn counts the starts in a zone within a stretch of time.
func (t Tallies) StartsIn(zone string, from, to time.Time) int {
	n := 0
	for _, s := range t.Spans {
		if s.Zone == zone && s.Start.After(from) && s.Start.Before(to) {
			n++
		}
	}
	return n
}

// TaskID names a task of a job.
func TaskID(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// Evictions counts the attempts that ended without finishing.
func (t Tallies) Evictions() int {
	n := 0
	for _, s := range t.Spans {
		if !s.End.IsZero() && !s.Finished {
			n++
		}
	}
	return n
}
