// Package list is the command "entry list".
package list

import (
	"github.com/plantainrail/plantainrail/command/factory"
)

// Options are what the command needs to run.
type Options struct {
	*factory.Factory
	AsJSON bool
}

// Command holds the flags.
type Command struct {
	JSON bool `name:"json" help:"Write the entries as JSON."`

	run func(*Options) error
}

// New returns the command. A run function replaces what it does.
func New(run func(*Options) error) Command {
	if run == nil {
		run = Run
	}
	return Command{run: run}
}

// Run checks the flags and runs the command.
func (c *Command) Run(f *factory.Factory) error {
	return c.run(&Options{Factory: f, AsJSON: c.JSON})
}

// Run lists the registered entries.
func Run(o *Options) error {
	entries, err := o.Caller().Entries(o.Context)
	if err != nil {
		return err
	}
	if o.AsJSON {
		return o.JSON(entries)
	}
	var rows [][]string
	for _, e := range entries {
		state := "silent"
		if e.Live {
			state = "live"
		}
		rows = append(rows, []string{e.Name, e.Zone, e.Address, state})
	}
	return o.Table([]string{"entry", "zone", "address", "state"}, rows)
}
