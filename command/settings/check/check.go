// Package check implements the command "settings check".
package check

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/loader"
)

// Options holds the command's dependencies and validated flags.
type Options struct {
	*factory.Factory
	File string
}

// Command holds the flags and arguments.
type Command struct {
	File string `arg:"" help:"The settings file."`

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
	return c.run(&Options{Factory: f, File: c.File})
}

// Run validates a settings file. It returns an error that lists every problem.
func Run(o *Options) error {
	s, err := loader.Load(o.File)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(o.Out, "ok: %s %s in zone %s\n", s.Role, s.Name, s.Zone)
	return errors.Wrap(err, "write")
}
