// Package tracer tells the story of one job from the logs of several processes.
// It is pure but for reading its input.
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
	// gapLeast is the time without a line about a job from which on the lines
	// that tell of its surroundings are shown: a step between two decisions takes
	// a tenth of it.
	gapLeast = 500 * time.Millisecond
	// lineLimit bounds one line of a log, in bytes.
	lineLimit = 1 << 20
	// aroundMost bounds the lines about the surroundings that are kept.
	aroundMost = 200_000
)

// around lists the events that tell of no job and may explain why one waits.
var around = map[string]bool{
	"ownership claimed": true, "ownership gained": true, "ownership lost": true, "entry started": true, "entry stopping": true,
	"agent started": true, "progress not stored": true, "jobs not stored": true, "store lost": true, "store regained": true,
	"store turned away from": true, "configuration taken": true, "VM seen": true, "VM gone": true, "agent lost": true,
	"worker lost": true, "worker regained": true, "worker departed": true, "fillers paced": true, "lines dropped": true,
}

// onNode lists those of them that matter only for a VM on which the job ran.
var onNode = map[string]bool{
	"agent started": true, "VM seen": true, "VM gone": true, "agent lost": true, "worker lost": true, "worker regained": true,
	"worker departed": true, "fillers paced": true,
}

// Line is one line of a log.
type Line struct {
	At time.Time `json:"at"`
	// Source is the process that wrote the line, as far as its input tells.
	Source string `json:"source"`
	Event  string `json:"event"`
	// Fields holds what else the line says.
	Fields map[string]any `json:"fields,omitempty"`
	// Around is set on a line that tells of the job's surroundings, and Alike is
	// the number of such lines of the same event that follow it.
	Around bool `json:"around,omitempty"`
	Alike  int  `json:"alike,omitempty"`
}

// Story is what the logs tell of one job, in order of time.
type Story struct {
	Job   string `json:"job"`
	Lines []Line `json:"lines"`
	// Skipped is the number of input lines that are no log lines.
	Skipped int `json:"skipped,omitempty"`
	// Dropped is the number of lines about surroundings that were not kept.
	Dropped int `json:"dropped,omitempty"`
}

// Tracer collects the lines that matter for one job.
type Tracer struct {
	story  Story
	around []Line
}

// New returns a Tracer for a job's ID.
func New(job string) *Tracer { return &Tracer{story: Story{Job: job}} }

// Read takes in a log. The source names its process where a line does not have a
// name in front of its JSON.
func (t *Tracer) Read(log io.Reader, source string) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), lineLimit)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes(), source)
		switch {
		case !ok:
			t.story.Skipped++
		case t.tells(line):
			t.story.Lines = append(t.story.Lines, line)
		case !around[line.Event]:
		case len(t.around) >= aroundMost:
			t.story.Dropped++
		default:
			line.Around = true
			t.around = append(t.around, line)
		}
	}
	return errors.Wrapf(scanner.Err(), "read the log of %s", source)
}

// parse reads one line: JSON, behind a time and a name if there are any.
func parse(raw []byte, source string) (Line, bool) {
	begin := bytes.IndexByte(raw, '{')
	if begin < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(raw[begin:], &fields) != nil {
		return Line{}, false
	}
	event, _ := fields["event"].(string)
	written, _ := fields["at"].(string)
	at, err := time.Parse("2006-01-02T15:04:05.000Z0700", written)
	if event == "" || err != nil {
		return Line{}, false
	}
	if words := bytes.Fields(raw[:begin]); len(words) > 0 {
		source = string(words[len(words)-1])
	}
	for _, known := range []string{"event", "at", "level", "errorVerbose"} {
		delete(fields, known)
	}
	return Line{At: at, Source: source, Event: event, Fields: fields}, true
}

// tells tells whether a line is about the job.
func (t *Tracer) tells(l Line) bool {
	job, _ := l.Fields["job"].(string)
	task, _ := l.Fields["task"].(string)
	jobs, _ := l.Fields["jobs"].([]any)
	return job == t.story.Job || strings.HasPrefix(task, t.story.Job+".") || slices.Contains(jobs, any(t.story.Job))
}

// Story returns the lines about the job in order, and in each gap between two of
// them those about its surroundings.
func (t *Tracer) Story() Story {
	story := t.story
	sortLines(story.Lines)
	sortLines(t.around)
	nodes := map[string]bool{}
	for _, line := range story.Lines {
		if node, ok := line.Fields["node"].(string); ok {
			nodes[node] = true
		}
	}
	var out []Line
	for i, line := range story.Lines {
		if i > 0 && line.At.Sub(story.Lines[i-1].At) >= gapLeast {
			out = append(out, collapse(t.between(story.Lines[i-1].At, line.At), nodes)...)
		}
		out = append(out, line)
	}
	story.Lines = out
	return story
}

func (t *Tracer) between(from, to time.Time) []Line {
	first, _ := slices.BinarySearchFunc(t.around, from, func(l Line, at time.Time) int { return l.At.Compare(at) })
	last, _ := slices.BinarySearchFunc(t.around, to, func(l Line, at time.Time) int { return l.At.Compare(at) })
	return t.around[first:last]
}

// collapse leaves out what happened on VMs that have nothing to do with the job,
// and counts lines of one event that follow each other.
func collapse(lines []Line, nodes map[string]bool) []Line {
	var out []Line
	for _, line := range lines {
		node, named := line.Fields["node"].(string)
		if !named {
			node = line.Source
		}
		switch last := len(out) - 1; {
		case onNode[line.Event] && !nodes[node]:
		case last >= 0 && out[last].Event == line.Event:
			out[last].Alike++
		default:
			out = append(out, line)
		}
	}
	return out
}

func sortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
}
