// Package list implements the command "entry list".
package list

import (
	"github.com/plantainrail/plantainrail/command/factory"
)

// Options holds the command's dependencies and validated flags.
type Options struct {
	*factory.Factory
	AsJSON bool
}

// Command holds the flags and arguments.
type Command struct {
	JSON bool `name:"json" help:"Print the entries as JSON."`

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

// Run prints the registered entries.
func Run(o *Options) error {
	entries, err := o.Caller().Entries(o.Context)
	if err != nil {
		return err
	}
	if o.AsJSON {
		return o.PrintJSON(entries)
	}
	var rows [][]string
	for _, e := range entries {
		state := "silent"
		if e.Live {
			state = "live"
		}
		rows = append(rows, []string{e.Name, e.Zone, e.Address, state})
	}
	return o.PrintRows([]string{"entry", "zone", "address", "state"}, rows)
}
