// Package check is the command "table check".
package check

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/parser"
)

// Options are what the command needs to run.
type Options struct {
	*factory.Factory
	File string
}

// Command holds the flags.
type Command struct {
	File string `arg:"" help:"CSV file, or - for standard input."`

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
	return c.run(&Options{Factory: f, File: c.File})
}

// Run reads a table from a file and reports every cell that is not allowed.
func Run(o *Options) error {
	raw, err := o.ReadFile(o.File)
	if err != nil {
		return err
	}
	table, err := parser.Parse(raw)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(o.Out, "ok: %d kinds\n", len(table.Kinds))
	return errors.Wrap(err, "write")
}
