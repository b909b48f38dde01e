package tracer_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/tracer"
)

// entryLog and nextOwnerLog are the logs of two entries. The first owned the job 0a1b
// until a later owner fenced it. Its lines are not in order of time, one of them is
// about another job, and one is malformed.
const entryLog = `{"level":"info","at":"2026-01-19T01:31:01.100Z","event":"job offered","job":"0a1b","answer":0}
{"level":"info","at":"2026-01-19T01:31:01.150Z","event":"task placed","task":"0a1b.0.0.0","run":1,"node":"vm-1"}
{"level":"info","at":"2026-01-19T01:31:02.000Z","event":"ownership lost","epoch":3,"reason":"fenced"}
{"level":"info","at":"2026-01-19T01:31:01.160Z","event":"task placed","task":"0a1bc.0.0.0","run":1,"node":"vm-1"}
{"level":"warn","at":"2026-01-19T01:31:01.050Z","event":"jobs not stored","jobs":["ffee","0a1b"],"error":"refused"}
not a line of a log
`

// The lines of nextOwnerLog have a time and the name of the process in front, as
// they do when the logs of several processes are collected in one file.
const nextOwnerLog = `  -0.5 entry-2 {"level":"info","at":"2026-01-19T01:31:03.300Z","event":"ownership gained","epoch":4}
   1.2 entry-2 {"level":"info","at":"2026-01-19T01:31:03.400Z","event":"run ended","task":"0a1b.0.0.0","run":1,"how":"done"}
   9.9 entry-2 {"level":"info","at":"2026-01-19T01:31:09.000Z","event":"ownership lost","epoch":4}
`

func TestTraceIsInTimeOrderWithContextInGaps(t *testing.T) {
	tr := tracer.New("0a1b")
	// The log of a later owner may be read first.
	assert.NilError(t, tr.Read(strings.NewReader(nextOwnerLog), "b.log"))
	assert.NilError(t, tr.Read(strings.NewReader(entryLog), "a.log"))
	trace := tr.Trace()
	var got []string
	for _, l := range trace.Lines {
		got = append(got, l.Source+" "+l.Event)
	}
	assert.DeepEqual(t, got, []string{
		"a.log jobs not stored", "a.log job offered", "a.log task placed", "a.log ownership lost", "entry-2 ownership gained", "entry-2 run ended",
	})
	// Lines 3 and 4 are context lines: they lie in the only long gap.
	assert.Equal(t, trace.Skipped, 1)
	assert.Assert(t, trace.Lines[3].Context && !trace.Lines[2].Context)
	assert.Equal(t, trace.Lines[5].Fields["how"], "done")
}

// Context lines of VMs on which the job did not run are omitted, and successive
// lines of the same event are shown as one with a count.
func TestContextOmitsOtherNodesAndCollapsesRepeats(t *testing.T) {
	const log = `{"at":"2026-01-19T01:31:01.000Z","event":"task placed","task":"0a1b.0.0.0","node":"vm-1"}
{"at":"2026-01-19T01:31:02.000Z","event":"fillers paced","node":"vm-1"}
{"at":"2026-01-19T01:31:02.100Z","event":"fillers paced","node":"vm-2"}
{"at":"2026-01-19T01:31:02.200Z","event":"store lost","topic":"jobs"}
{"at":"2026-01-19T01:31:02.300Z","event":"store lost","topic":"runs"}
{"at":"2026-01-19T01:31:02.400Z","event":"store lost","topic":"op"}
{"at":"2026-01-19T01:31:09.000Z","event":"run ended","task":"0a1b.0.0.0","node":"vm-1"}
`
	tr := tracer.New("0a1b")
	assert.NilError(t, tr.Read(strings.NewReader(log), "all.log"))
	lines := tr.Trace().Lines
	assert.Equal(t, len(lines), 4)
	assert.Equal(t, lines[1].Fields["node"], "vm-1")
	assert.Equal(t, lines[2].Event, "store lost")
	assert.Equal(t, lines[2].Repeats, 2)
}

func TestUnknownJobHasNoLines(t *testing.T) {
	tr := tracer.New("ffff")
	assert.NilError(t, tr.Read(strings.NewReader(entryLog), "a.log"))
	assert.Equal(t, len(tr.Trace().Lines), 0)
}
