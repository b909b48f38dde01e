// Package diff is the command "table diff".
package diff

import (
	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/parser"
)

// Options are what the command needs to run.
type Options struct {
	*factory.Factory
	File   string
	AsJSON bool
}

// Command holds the flags.
type Command struct {
	File string `arg:"" help:"CSV file, or - for standard input."`
	JSON bool   `name:"json" help:"Write the changes as JSON."`

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
	return c.run(&Options{Factory: f, File: c.File, AsJSON: c.JSON})
}

// Run shows what a file would change in the table in force.
func Run(o *Options) error {
	raw, err := o.ReadFile(o.File)
	if err != nil {
		return err
	}
	newer, err := parser.Parse(raw)
	if err != nil {
		return err
	}
	current, err := o.Caller().Table(o.Context)
	if err != nil {
		return err
	}
	older, err := parser.Parse([]byte(current.CSV))
	if err != nil && current.Revision > 0 {
		return err
	}
	changes := parser.Diff(older, newer)
	if o.AsJSON {
		return o.JSON(changes)
	}
	return Show(o.Factory, changes)
}

// Show writes changes as a table.
func Show(f *factory.Factory, changes []parser.Change) error {
	rows := make([][]string, 0, len(changes))
	for _, c := range changes {
		rows = append(rows, []string{c.Kind, c.Column, c.Old, c.New})
	}
	return f.Table([]string{"kind", "column", "old", "new"}, rows)
}
