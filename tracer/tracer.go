// Package tracer collects the lines about one job from the logs of several
// processes, as package reporter writes them, for the command "log trace". It adds
// context lines, which may explain why the job waited. Reading its input is its only
// I/O.
package tracer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// minGap is the minimum time between two successive lines about the job for context
	// lines to be shown between them. If nothing delays a job, the time from one decision
	// about it to the next is about a tenth of minGap.
	minGap = 500 * time.Millisecond
	// maxLineBytes bounds one line of a log.
	maxLineBytes = 1 << 20
	// maxContextLines bounds the context lines that are kept in memory.
	maxContextLines = 200_000
)

// contextEvents lists the events that may explain why a job waits although their
// lines do not name it.
var contextEvents = map[string]bool{
	"ownership claimed": true, "ownership gained": true, "ownership lost": true, "entry started": true, "entry stopping": true,
	"agent started": true, "progress not stored": true, "jobs not stored": true, "store lost": true, "store regained": true,
	"store turned away from": true, "store failure outdated": true, "connections silent": true,
	"configuration taken": true, "VM seen": true, "VM resized": true, "VM gone": true, "agent lost": true,
	"worker lost": true, "worker regained": true, "worker departed": true, "fillers paced": true, "lines dropped": true,
}

// nodeContextEvents lists the context events that concern one VM. They matter only
// if the job ran on that VM. The field "node" of a line is the name of a VM.
var nodeContextEvents = map[string]bool{
	"agent started": true, "VM seen": true, "VM resized": true, "VM gone": true, "agent lost": true, "worker lost": true, "worker regained": true,
	"worker departed": true, "fillers paced": true,
}

// Line is one log line.
type Line struct {
	At time.Time `json:"at"`
	// Source is the process that wrote the line: the name in front of its JSON, or
	// else the name that was passed to Read.
	Source string `json:"source"`
	Event  string `json:"event"`
	// Fields holds the other fields of the line, without its level.
	Fields map[string]any `json:"fields,omitempty"`
	// Context is set on a context line: one that does not name the job. Repeats is the
	// number of context lines of the same event that directly followed it and were
	// omitted.
	Context bool `json:"around,omitempty"`
	Repeats int  `json:"alike,omitempty"`
}

// Trace is the trace of one job: its log lines and context lines in order of time.
type Trace struct {
	Job   string `json:"job"`
	Lines []Line `json:"lines"`
	// Skipped is the number of input lines that could not be parsed as log lines.
	Skipped int `json:"skipped,omitempty"`
	// Dropped is the number of context lines that were dropped because the maximum
	// number of them was already kept.
	Dropped int `json:"dropped,omitempty"`
}

// Tracer collects the log lines about one job and the context lines. It is not safe
// for concurrent use.
type Tracer struct {
	trace        Trace
	contextLines []Line
}

// New returns a Tracer for the job with the given ID.
func New(job string) *Tracer { return &Tracer{trace: Trace{Job: job}} }

// Read adds the lines of a log. The source names the process of lines that have no
// name in front of their JSON. It returns an error if reading fails or a line is
// too long.
func (t *Tracer) Read(log io.Reader, source string) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes(), source)
		switch {
		case !ok:
			t.trace.Skipped++
		case t.mentionsJob(line):
			t.trace.Lines = append(t.trace.Lines, line)
		case !contextEvents[line.Event]:
		case len(t.contextLines) >= maxContextLines:
			t.trace.Dropped++
		default:
			line.Context = true
			t.contextLines = append(t.contextLines, line)
		}
	}
	return errors.Wrapf(scanner.Err(), "read the log of %s", source)
}

// parse parses one line: a JSON object, optionally preceded by a time and the name
// of the process. It returns false if the line is no log line.
func parse(raw []byte, source string) (Line, bool) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(raw[start:], &fields) != nil {
		return Line{}, false
	}
	event, _ := fields["event"].(string)
	timestamp, _ := fields["at"].(string)
	at, err := time.Parse("2006-01-02T15:04:05.000Z0700", timestamp)
	if event == "" || err != nil {
		return Line{}, false
	}
	// The last word in front of the JSON is the name of the process.
	if words := bytes.Fields(raw[:start]); len(words) > 0 {
		source = string(words[len(words)-1])
	}
	// errorVerbose repeats the field error with a stack trace.
	for _, standard := range []string{"event", "at", "level", "errorVerbose"} {
		delete(fields, standard)
	}
	return Line{At: at, Source: source, Event: event, Fields: fields}, true
}

// mentionsJob reports whether a line names the job or one of its tasks. A task's ID is
// that of its job, a dot and more.
func (t *Tracer) mentionsJob(l Line) bool {
	job, _ := l.Fields["job"].(string)
	task, _ := l.Fields["task"].(string)
	jobs, _ := l.Fields["jobs"].([]any)
	return job == t.trace.Job || strings.HasPrefix(task, t.trace.Job+".") || slices.Contains(jobs, any(t.trace.Job))
}

// Trace returns the lines about the job in order of time, with context lines in
// each gap of at least minGap between two of them.
func (t *Tracer) Trace() Trace {
	trace := t.trace
	sortByTime(trace.Lines)
	sortByTime(t.contextLines)
	nodes := map[string]bool{}
	for _, line := range trace.Lines {
		if node, ok := line.Fields["node"].(string); ok {
			nodes[node] = true
		}
	}
	var out []Line
	for i, line := range trace.Lines {
		if i > 0 && line.At.Sub(trace.Lines[i-1].At) >= minGap {
			out = append(out, collapse(t.contextBetween(trace.Lines[i-1].At, line.At), nodes)...)
		}
		out = append(out, line)
	}
	trace.Lines = out
	return trace
}

// contextBetween returns the context lines from one instant up to another, which
// is excluded. The context lines must be sorted.
func (t *Tracer) contextBetween(from, to time.Time) []Line {
	first, _ := slices.BinarySearchFunc(t.contextLines, from, func(l Line, at time.Time) int { return l.At.Compare(at) })
	last, _ := slices.BinarySearchFunc(t.contextLines, to, func(l Line, at time.Time) int { return l.At.Compare(at) })
	return t.contextLines[first:last]
}

// collapse omits the lines of nodeContextEvents about VMs on which the job did not run;
// nodes holds the names of those on which it ran. It keeps the first of successive lines
// of the same event and counts the others in Repeats.
func collapse(lines []Line, nodes map[string]bool) []Line {
	var out []Line
	for _, line := range lines {
		node, hasNode := line.Fields["node"].(string)
		// A line without a node is about the VM of the process that wrote it, which is
		// the line's source.
		if !hasNode {
			node = line.Source
		}
		switch last := len(out) - 1; {
		case nodeContextEvents[line.Event] && !nodes[node]:
		case last >= 0 && out[last].Event == line.Event:
			out[last].Repeats++
		default:
			out = append(out, line)
		}
	}
	return out
}

// sortByTime sorts lines by time. Lines of the same time keep their order.
func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
}
