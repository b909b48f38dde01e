// Package show implements the command "zone show".
package show

import (
	"strconv"

	"github.com/plantainrail/plantainrail/command/factory"
)

// Options holds the command's dependencies and validated flags.
type Options struct {
	*factory.Factory
	AsJSON bool
}

// Command holds the flags and arguments.
type Command struct {
	JSON bool `name:"json" help:"Print the zones as JSON."`

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

// Run prints the availability zones.
func Run(o *Options) error {
	zones, err := o.Caller().Zones(o.Context)
	if err != nil {
		return err
	}
	if o.AsJSON {
		return o.PrintJSON(zones)
	}
	var rows [][]string
	for _, z := range zones {
		state := "in"
		if z.Out {
			state = "out"
		}
		rows = append(rows, []string{z.Zone, state, strconv.FormatInt(z.Epoch, 10), strconv.Itoa(z.Agents), strconv.Itoa(z.Tasks)})
	}
	return o.PrintRows([]string{"zone", "state", "epoch", "agents", "tasks"}, rows)
}
