// Package list implements the command "target list".
package list

import (
	"strconv"
	"strings"

	"github.com/plantainrail/plantainrail/command/factory"
)

// Options holds the command's dependencies and validated flags.
type Options struct {
	*factory.Factory
	AsJSON bool
}

// Command holds the flags and arguments.
type Command struct {
	JSON bool `name:"json" help:"Print the targets as JSON."`

	run func(*Options) error
}

// New returns the command. A nil run means Run; tests may pass another function.
func New(run func(*Options) error) Command {
	if run == nil {
		run = Run
	}
	return Command{run: run}
}

// Run runs the command with the parsed flags and arguments.
func (c *Command) Run(f *factory.Factory) error {
	return c.run(&Options{Factory: f, AsJSON: c.JSON})
}

// Run prints the targets that the entry knows.
func Run(o *Options) error {
	targets, err := o.Caller().Targets(o.Context)
	if err != nil {
		return err
	}
	if o.AsJSON {
		return o.PrintJSON(targets)
	}
	var rows [][]string
	for _, t := range targets {
		rows = append(rows, []string{
			t.Name, t.Zone, t.State, strings.Join(t.Kinds, " "), strconv.Itoa(t.Running), strconv.Itoa(t.Queued),
			strconv.FormatFloat(t.LatencyMS, 'f', 1, 64),
		})
	}
	return o.PrintRows([]string{"target", "zone", "state", "kinds", "running", "queued", "latency ms"}, rows)
}
