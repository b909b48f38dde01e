// Package recorder is the command "standin log".
package recorder

import (
	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/standin/recorder"
)

// Options are what the command needs to run.
type Options struct {
	*factory.Factory
	Listen    string
	Retention int
}

// Command holds the flags.
type Command struct {
	Listen    string `required:"" help:"IP number and port."`
	Retention int    `help:"The number of records that are kept; 0 keeps all."`

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
	if c.Retention < 0 {
		return factory.Usagef("--retention must be 0 or more")
	}
	return c.run(&Options{Factory: f, Listen: c.Listen, Retention: c.Retention})
}

// Run serves a log in memory.
func Run(o *Options) error {
	return o.ServeHTTP(o.Listen, recorder.New(o.Retention))
}
