// Package chart is the command "chart".
package chart

import (
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail/charter"
	"github.com/plantainrail/plantainrail/command/factory"
)

// Options are what the command needs to run.
type Options struct {
	*factory.Factory
	Name string
}

// Command holds the flags.
type Command struct {
	Name string `arg:"" optional:"" help:"The chart; without one the names are listed."`

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
	return c.run(&Options{Factory: f, Name: c.Name})
}

// Run writes a state chart as a Mermaid diagram.
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
