// Package check is the command "settings check".
package check

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/loader"
)

// Options are what the command needs to run.
type Options struct {
	*factory.Factory
	File string
}

// Command holds the flags.
type Command struct {
	File string `arg:"" help:"The settings file."`

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

// Run checks a settings file and lists every key that is not allowed.
func Run(o *Options) error {
	s, err := loader.Load(o.File)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(o.Out, "ok: %s %s in zone %s\n", s.Role, s.Name, s.Zone)
	return errors.Wrap(err, "write")
}
