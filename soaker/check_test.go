package soaker_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/soaker"
	"github.com/plantainrail/plantainrail/standin/runner"
)

// at returns an instant by its seconds since the start of a check.
func at(seconds float64) time.Time { return time.Unix(1e9, int64(seconds*1e9)) }

// batchJob has two tasks, and serviceJob a long-running one.
var (
	batchJob   = soaker.Job{ID: "a", Steps: 1, Count: 2, Accepted: at(0)}
	serviceJob = soaker.Job{ID: "s", Steps: 1, Count: 1, LongRunning: true, Accepted: at(0)}
)

func run(task string, start, end float64, outcome string) runner.Span {
	return runner.Span{Task: task, Start: at(start), End: at(end), Outcome: outcome}
}

func TestWaitsThatBreakTheRule(t *testing.T) {
	stretch := func(from, to float64) []soaker.Stretch { return []soaker.Stretch{{From: at(from), To: at(to)}} }
	finished := []runner.Span{run("a.0.0.0", 1, 2, "done"), run("a.0.0.1", 1, 3, "done")}
	active := runner.Span{Task: "s.0.0.0", Start: at(1)}
	for name, c := range map[string]struct {
		record soaker.Record
		now    float64
		broken int
	}{
		"no run":                             {soaker.Record{Jobs: []soaker.Job{batchJob}}, 3, 1},
		"a shorter wait":                     {soaker.Record{Jobs: []soaker.Job{batchJob}}, 2.9, 0},
		"finished":                           {soaker.Record{Jobs: []soaker.Job{batchJob}, Runs: finished}, 60, 0},
		"one of two tasks":                   {soaker.Record{Jobs: []soaker.Job{batchJob}, Runs: finished[:1]}, 5, 1},
		"between runs":                       {soaker.Record{Jobs: []soaker.Job{batchJob}, Runs: []runner.Span{run("a.0.0.0", 1, 2, "gone"), run("a.0.0.0", 5, 6, "done"), finished[1]}}, 60, 0},
		"between runs, long ago":             {soaker.Record{Jobs: []soaker.Job{batchJob}, Runs: []runner.Span{run("a.0.0.0", 1, 2, "done"), run("a.0.0.1", 5.1, 6, "done")}}, 60, 1},
		"after a fault":                      {soaker.Record{Jobs: []soaker.Job{batchJob}, Faults: stretch(1, 2)}, 8.9, 0},
		"after a fault and the calm time":    {soaker.Record{Jobs: []soaker.Job{batchJob}, Faults: stretch(1, 2)}, 9, 1},
		"before a fault":                     {soaker.Record{Jobs: []soaker.Job{batchJob}, Faults: stretch(3, 9)}, 9, 1},
		"half full":                          {soaker.Record{Jobs: []soaker.Job{batchJob}, Full: stretch(1, 7)}, 9.9, 0},
		"no longer half full":                {soaker.Record{Jobs: []soaker.Job{batchJob}, Full: stretch(1, 7)}, 10, 1},
		"service at work":                    {soaker.Record{Jobs: []soaker.Job{serviceJob}, Runs: []runner.Span{active}}, 60, 0},
		"service after its last run":         {soaker.Record{Jobs: []soaker.Job{serviceJob}, Runs: []runner.Span{run("s.0.0.0", 1, 2, "gone")}}, 10.9, 0},
		"service that is not started again":  {soaker.Record{Jobs: []soaker.Job{serviceJob}, Runs: []runner.Span{run("s.0.0.0", 1, 2, "gone")}}, 11, 1},
		"service while the workers are full": {soaker.Record{Jobs: []soaker.Job{serviceJob}, Full: stretch(0, 9)}, 4, 1},
		"service after a fault":              {soaker.Record{Jobs: []soaker.Job{serviceJob}, Faults: stretch(1, 2)}, 8.9, 0},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, len(c.record.Broken(at(c.now))), c.broken, "%+v", c.record.Waits(at(c.now)))
		})
	}
}

func TestStartsAfterACancellation(t *testing.T) {
	for name, c := range map[string]struct {
		job   string
		start float64
		late  int
	}{
		"before the acknowledgement": {"a", 1, 0},
		"within the bound":           {"a", 12.9, 0},
		"after the bound":            {"a", 13.1, 1},
		"of another job":             {"b", 20, 0},
	} {
		t.Run(name, func(t *testing.T) {
			late := soaker.LateStarts(map[string]time.Time{"a": at(10)}, []runner.Span{run(c.job+".0.0.0", c.start, 30, "done")})
			assert.Equal(t, len(late), c.late, "%v", late)
		})
	}
}
