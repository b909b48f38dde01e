// Package trace is the command "log trace".
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

// Options are what the command needs to run.
type Options struct {
	*factory.Factory
	Job    string
	Files  []string
	AsJSON bool
}

// Command holds the flags.
type Command struct {
	Job   string   `arg:"" help:"The job's ID."`
	Files []string `arg:"" optional:"" help:"Logs of entries and agents; - or none is standard input."`
	JSON  bool     `name:"json" help:"Write the story as JSON."`

	run func(*Options) error
}

// New returns the command. A run function replaces what it does.
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

// Run checks the flags and runs the command.
func (c *Command) Run(f *factory.Factory) error {
	files := c.Files
	if len(files) == 0 {
		files = []string{"-"}
	}
	return c.run(&Options{Factory: f, Job: c.Job, Files: files, AsJSON: c.JSON})
}

// Run tells the story of one job from the logs of several processes.
func Run(o *Options) error {
	t := tracer.New(o.Job)
	for _, file := range o.Files {
		if err := read(o, t, file); err != nil {
			return err
		}
	}
	story := t.Story()
	if o.AsJSON {
		return o.JSON(story)
	}
	if len(story.Lines) == 0 {
		return errors.Errorf("no line tells of job %s; give the logs of all entries and agents", o.Job)
	}
	return write(o, story)
}

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

// write writes a row a line: the time since the line before, the process, the
// event and what it says. Lines about the job's surroundings are indented.
func write(o *Options, story tracer.Story) error {
	var rows [][]string
	before := story.Lines[0].At
	for _, l := range story.Lines {
		event := l.Event
		if l.Around {
			event = "  " + event
		}
		if l.Alike > 0 {
			event += fmt.Sprintf(" (and %d more)", l.Alike)
		}
		rows = append(rows, []string{
			l.At.Format("15:04:05.000"), fmt.Sprintf("+%.3fs", l.At.Sub(before).Seconds()), l.Source, event, says(l.Fields),
		})
		before = l.At
	}
	if err := o.Table([]string{"at", "after", "process", "event", "says"}, rows); err != nil {
		return err
	}
	if story.Dropped > 0 {
		fmt.Fprintf(o.Err, "%d lines about the surroundings were left out; give shorter logs\n", story.Dropped)
	}
	return nil
}

// says writes what a line says, by name.
func says(fields map[string]any) string {
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
