// Package trace implements the command "log trace".
package trace

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/tracer"
)

// Options holds the command's dependencies and validated flags.
type Options struct {
	*factory.Factory
	Job    string
	Files  []string
	AsJSON bool
}

// Command holds the flags and arguments.
type Command struct {
	Job   string   `arg:"" help:"The job's ID."`
	Files []string `arg:"" optional:"" help:"Log files of entries and agents; standard input if - or omitted."`
	JSON  bool     `name:"json" help:"Print the trace as JSON."`

	run func(*Options) error
}

// New returns the command. A nil run means Run; tests may pass another function.
func New(run func(*Options) error) Command {
	if run == nil {
		run = Run
	}
	return Command{run: run}
}

// Help implements kong's help of a command.
func (c *Command) Help() string {
	return `Examples:
  plantainrail log trace 5c0e7a21d94b36f8 entry-*.log agent-*.log
  cat *.log | plantainrail log trace 5c0e7a21d94b36f8 --json`
}

// Run runs the command with the parsed flags and arguments.
func (c *Command) Run(f *factory.Factory) error {
	files := c.Files
	if len(files) == 0 {
		files = []string{"-"}
	}
	return c.run(&Options{Factory: f, Job: c.Job, Files: files, AsJSON: c.JSON})
}

// Run prints the trace of one job from the logs of several processes.
func Run(o *Options) error {
	t := tracer.New(o.Job)
	for _, file := range o.Files {
		if err := read(o, t, file); err != nil {
			return err
		}
	}
	result := t.Trace()
	if o.AsJSON {
		return o.PrintJSON(result)
	}
	if len(result.Lines) == 0 {
		return errors.Errorf("no log line mentions job %s; pass the logs of all entries and agents", o.Job)
	}
	return write(o, result)
}

// read adds the lines of a log file, or of standard input for "-", to the trace.
func read(o *Options, t *tracer.Tracer, file string) error {
	var log io.Reader = o.In
	if file != "-" {
		opened, err := os.Open(file)
		if err != nil {
			return errors.Wrap(err, "open a log")
		}
		defer func() { _ = opened.Close() }()
		log = opened
	}
	return t.Read(log, file)
}

// write prints one row per line: the time, the time since the previous line, the
// process, the event and its fields. Events of context lines are indented.
func write(o *Options, result tracer.Trace) error {
	var rows [][]string
	previous := result.Lines[0].At
	for _, l := range result.Lines {
		event := l.Event
		if l.Context {
			event = "  " + event
		}
		if l.Repeats > 0 {
			event += fmt.Sprintf(" (and %d more)", l.Repeats)
		}
		rows = append(rows, []string{
			l.At.Format("15:04:05.000"), fmt.Sprintf("+%.3fs", l.At.Sub(previous).Seconds()), l.Source, event, formatFields(l.Fields),
		})
		previous = l.At
	}
	if err := o.PrintRows([]string{"at", "after", "process", "event", "says"}, rows); err != nil {
		return err
	}
	if result.Dropped > 0 {
		fmt.Fprintf(o.Err, "%d context lines were omitted; pass logs of a shorter period\n", result.Dropped)
	}
	return nil
}

// formatFields formats the fields of a line in the order of their names.
func formatFields(fields map[string]any) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		value, isText := fields[name].(string)
		if !isText {
			raw, err := json.Marshal(fields[name])
			if err != nil {
				raw = []byte(err.Error())
			}
			value = string(raw)
		}
		parts = append(parts, name+"="+value)
	}
	return strings.Join(parts, " ")
}
