// Package chart implements the command "chart".
package chart

import (
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail/charter"
	"github.com/plantainrail/plantainrail/command/factory"
)

// Options holds the command's dependencies and validated flags.
type Options struct {
	*factory.Factory
	Name string
}

// Command holds the flags and arguments.
type Command struct {
	Name string `arg:"" optional:"" help:"Name of the chart; lists all names if omitted."`

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
	return c.run(&Options{Factory: f, Name: c.Name})
}

// Run prints a state chart as a Mermaid diagram, or the names of all charts.
func Run(o *Options) error {
	if o.Name == "" {
		_, err := fmt.Fprintln(o.Out, strings.Join(charter.Names(), "\n"))
		return errors.Wrap(err, "write")
	}
	chart, err := charter.Load(o.Name)
	if err != nil {
		return err
	}
	_, err = io.WriteString(o.Out, chart.Mermaid())
	return errors.Wrap(err, "write")
}
