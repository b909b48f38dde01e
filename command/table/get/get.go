// Package get implements the command "table get".
package get

import (
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail/command/factory"
)

// Options holds the command's dependencies and validated flags.
type Options struct {
	*factory.Factory
	AsJSON bool
}

// Command holds the flags and arguments.
type Command struct {
	JSON bool `name:"json" help:"Print the reply as JSON."`

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

// Run prints the current table as CSV.
func Run(o *Options) error {
	table, err := o.Caller().Table(o.Context)
	if err != nil {
		return err
	}
	if o.AsJSON {
		return o.PrintJSON(table)
	}
	fmt.Fprintf(o.Err, "revision %d\n", table.Revision)
	_, err = io.WriteString(o.Out, table.CSV)
	return errors.Wrap(err, "write")
}
