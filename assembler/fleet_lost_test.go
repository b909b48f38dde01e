package assembler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/standin/runner"
)

const (
	// calmTime is how long after a disruption the rule on waiting tasks holds again, and idleTime
	// how long a job may then have nothing running while its tasks could.
	calmTime = 4 * time.Second
	idleTime = 3 * time.Second
	// restartTime is how long after its last run a long-running task may wait.
	restartTime = 6 * time.Second
)

// acceptedJob is a job that was accepted and that nobody cancels. Each step depends on the one
// before.
type acceptedJob struct {
	number, steps, count int
	lasting              bool
}

// waiting returns what the rule on waiting tasks (LOST) looks at, with the time since when it waits: the
// jobs that are not done and have nothing running, and the long-running tasks that do not run.
func (f *fleet) waiting(jobs []acceptedJob) map[string]time.Time {
	byTask := map[string][]runner.Span{}
	for _, v := range f.vms {
		for _, s := range v.worker.History() {
			byTask[s.Task] = append(byTask[s.Task], s)
		}
	}
	idle := map[string]time.Time{}
	for _, j := range jobs {
		running, done, last := 0, 0, time.Time{}
		for n := range j.steps * j.count {
			task, ended := fmt.Sprintf("%s.0.%d.%d", jobID(j.number), n/j.count, n%j.count), time.Time{}
			active := slices.ContainsFunc(byTask[task], func(s runner.Span) bool { return s.End.IsZero() })
			for _, s := range byTask[task] {
				ended = later(ended, s.End)
			}
			if slices.ContainsFunc(byTask[task], func(s runner.Span) bool { return s.Outcome == "done" }) {
				done++
			}
			if active {
				running++
			} else if j.lasting {
				idle[task] = ended.Add(restartTime)
			}
			last = later(last, ended)
		}
		if !j.lasting && running == 0 && done < j.steps*j.count {
			idle[jobID(j.number)] = last
		}
	}
	return idle
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// checkNothingWaits fails the test if the rule on waiting tasks is broken after the end of a
// disruption: something has waited for idleTime within the given time. The workers must have more than
// twice the room that the jobs need.
func (f *fleet) checkNothingWaits(jobs []acceptedJob, duration time.Duration) {
	f.t.Helper()
	calm, reported := time.Now().Add(calmTime), map[string]bool{}
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for what, since := range f.waiting(jobs) {
			if waited := time.Since(later(since, calm)); waited >= idleTime && !reported[what] {
				reported[what] = true
				f.t.Errorf("%s could run and does not, %s after the disruption", what, time.Since(calm.Add(-calmTime)))
			}
		}
	}
}

// Guards against a fleet that stands still (LOST) after all open connections have gone silent, since each
// failed call used up one of the many idle connections that a burst of starts had left.
func TestSilentConnectionsAreGivenUpTogether(t *testing.T) {
	shape := fleetShape{name: "large workers", entries: 3, zones: 3, vms: 3, maxRuns: 60}
	runInFleet(t, shape, func(f *fleet) {
		f.submit(1, "", []map[string]any{{"count": 3, "cpu": 1000, "longRunning": true}})
		f.submit(2, "1000", []map[string]any{{"count": 60, "cpu": 1000}})
		f.waitForState(2, "completed", 10*time.Second)
		f.silence()
		f.submit(3, "2000", []map[string]any{{"count": 1, "cpu": 1000}})
		f.checkNothingWaits([]acceptedJob{{1, 1, 3, true}, {3, 1, 1, false}}, 20*time.Second)
		for _, v := range f.vms {
			for _, s := range v.worker.History() {
				assert.Check(t, s.Outcome != "lapsed", "run %d of %s has lost its lease", s.Run, s.Task)
			}
		}
		f.checkRuns()
	})
}

// silence makes all open connections of entries and agents silent for good. New ones work.
func (f *fleet) silence() {
	for _, e := range f.entries {
		f.net.setFault(e.name, stalled)
	}
	for _, v := range f.vms {
		f.net.setFault(v.name, stalled)
	}
}
