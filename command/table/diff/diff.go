// Package diff implements the command "table diff".
package diff

import (
	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/parser"
)

// Options holds the command's dependencies and validated flags.
type Options struct {
	*factory.Factory
	File   string
	AsJSON bool
}

// Command holds the flags and arguments.
type Command struct {
	File string `arg:"" help:"CSV file, or - for standard input."`
	JSON bool   `name:"json" help:"Print the changes as JSON."`

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
	return c.run(&Options{Factory: f, File: c.File, AsJSON: c.JSON})
}

// Run prints what a file would change in the current table.
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
	// Before the first revision the CSV is empty, which Parse rejects. The file is then
	// compared with an empty table.
	older, err := parser.Parse([]byte(current.CSV))
	if err != nil && current.Revision > 0 {
		return err
	}
	changes := parser.Diff(older, newer)
	if o.AsJSON {
		return o.PrintJSON(changes)
	}
	return Show(o.Factory, changes)
}

// Show prints changes as a table with the old and the new cell of each.
func Show(f *factory.Factory, changes []parser.Change) error {
	rows := make([][]string, 0, len(changes))
	for _, c := range changes {
		rows = append(rows, []string{c.Kind, c.Column, c.Old, c.New})
	}
	return f.PrintRows([]string{"kind", "column", "old", "new"}, rows)
}
