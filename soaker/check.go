package soaker

import (
	"fmt"
	"slices"
	"time"

	"github.com/plantainrail/plantainrail/standin/runner"
)

const (
	// CalmTime is how long after a fault the rule on waiting tasks holds again.
	CalmTime = 4 * time.Second
	// IdleTime is how long a job may then have nothing running while its tasks could.
	IdleTime = 3 * time.Second
	// RestartTime is how long after its last run a long-running task may wait.
	RestartTime = 6 * time.Second
	// AskTime is how long after the last submission all accepted jobs have to be done.
	AskTime = 14 * time.Second
	// CancelTime is how long after the acknowledgement of a job's cancellation its tasks may start.
	CancelTime = 3 * time.Second
)

// LateStarts describes the runs of cancelled jobs that began later than CancelTime after the acknowledgement, which is given
// by the job's ID.
func LateStarts(cancelled map[string]time.Time, runs []runner.Span) []string {
	var out []string
	for _, s := range runs {
		at, ok := cancelled[runner.JobID(s.Task)]
		if late := s.Start.Sub(at); ok && late > CancelTime {
			out = append(out, fmt.Sprintf("run %d of %s began %s after the acknowledgement of its cancellation", s.Run, s.Task, late))
		}
	}
	return out
}

// Job is an accepted job that nobody cancels. Each step depends on the one before.
type Job struct {
	ID string
	// Count is the number of tasks of each step.
	Steps, Count int
	LongRunning  bool
	Accepted     time.Time
}

// task returns the name of task n of the job, counted through all steps.
func (j Job) task(n int) string { return fmt.Sprintf("%s.0.%d.%d", j.ID, n/j.Count, n%j.Count) }

// Stretch is the time between two instants, which may be equal.
type Stretch struct{ From, To time.Time }

// Duration returns the length of the stretch.
func (s Stretch) Duration() time.Duration { return s.To.Sub(s.From) }

// Wait is a stretch in which a job or a long-running task is to run and nothing of it does.
type Wait struct {
	// What is the ID of the job, or the name of the long-running task.
	What        string
	LongRunning bool
	Stretch
	// Calm is the longest part without an excuse.
	Calm Stretch
}

// Record is what the rule on waiting tasks (LOST) is checked against.
type Record struct {
	Jobs []Job
	// Runs holds the runs on all workers.
	Runs []runner.Span
	// Faults holds the disturbed stretches. They excuse waiting for CalmTime more.
	Faults []Stretch
	// Full holds stretches in which at least half of the workers' room was in use. They excuse no
	// long-running tasks.
	Full []Stretch
}

// Broken returns the waits until now that break the rule: their calm part has lasted for IdleTime.
func (r Record) Broken(now time.Time) []Wait {
	return slices.DeleteFunc(r.Waits(now), func(w Wait) bool { return w.Calm.Duration() < IdleTime })
}

// Waits returns all waits until now.
func (r Record) Waits(now time.Time) []Wait {
	byTask := map[string][]runner.Span{}
	for _, s := range r.Runs {
		byTask[s.Task] = append(byTask[s.Task], s)
	}
	var out []Wait
	for _, j := range r.Jobs {
		if !j.LongRunning {
			out = append(out, j.waits(byTask, now)...)
			continue
		}
		for n := range j.Count * j.Steps {
			out = append(out, gaps(Wait{What: j.task(n), LongRunning: true}, j.Accepted, now, byTask[j.task(n)], RestartTime)...)
		}
	}
	for i := range out {
		out[i].Calm = r.calm(out[i])
	}
	return out
}

// waits returns the stretches in which nothing of an unfinished job of batch tasks ran.
func (j Job) waits(byTask map[string][]runner.Span, now time.Time) []Wait {
	var runs []runner.Span
	finished, all := time.Time{}, true
	for n := range j.Count * j.Steps {
		done := time.Time{}
		for _, s := range byTask[j.task(n)] {
			if s.Outcome == "done" && (done.IsZero() || s.End.Before(done)) {
				done = s.End
			}
		}
		all = all && !done.IsZero()
		finished = later(finished, done)
		runs = append(runs, byTask[j.task(n)]...)
	}
	if !all {
		finished = now
	}
	return gaps(Wait{What: j.ID}, j.Accepted, finished, runs, 0)
}

// gaps returns w with each stretch between two instants in which none of the runs was active, nor had
// ended within the allowed time.
func gaps(w Wait, from, to time.Time, runs []runner.Span, allowed time.Duration) []Wait {
	slices.SortFunc(runs, func(a, b runner.Span) int { return a.Start.Compare(b.Start) })
	var out []Wait
	for _, s := range runs {
		if !from.Before(to) {
			return out
		}
		if s.Start.After(from) {
			w.Stretch = Stretch{from, earlier(s.Start, to)}
			out = append(out, w)
		}
		if s.End.IsZero() {
			return out
		}
		from = later(from, s.End.Add(allowed))
	}
	if from.Before(to) {
		w.Stretch = Stretch{from, to}
		out = append(out, w)
	}
	return out
}

// calm returns the longest part of a wait that nothing excuses.
func (r Record) calm(w Wait) Stretch {
	var excuses []Stretch
	for _, f := range r.Faults {
		excuses = append(excuses, Stretch{f.From, f.To.Add(CalmTime)})
	}
	if !w.LongRunning {
		excuses = append(excuses, r.Full...)
	}
	slices.SortFunc(excuses, func(a, b Stretch) int { return a.From.Compare(b.From) })
	longest, from := Stretch{w.From, w.From}, w.From
	part := func(to time.Time) {
		if s := (Stretch{from, earlier(to, w.To)}); s.Duration() > longest.Duration() {
			longest = s
		}
	}
	for _, e := range excuses {
		part(e.From)
		from = later(from, e.To)
	}
	part(w.To)
	return longest
}

// HalfFull reports whether at least half of the workers' room is in use now.
func HalfFull(workers []*runner.Worker) bool {
	room, used := 0, 0
	for _, w := range workers {
		room += w.MaxRuns()
		for _, s := range w.History() {
			if s.End.IsZero() {
				used++
			}
		}
	}
	return 2*used >= room
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
