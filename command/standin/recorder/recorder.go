// Package recorder implements the command "standin log". The simulated log that it
// serves is in package standin/recorder, which has the same name.
package recorder

import (
	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/standin/recorder"
)

// Options holds the command's dependencies and validated flags.
type Options struct {
	*factory.Factory
	Listen    string
	Retention int
}

// Command holds the flags and arguments.
type Command struct {
	Listen    string `required:"" help:"IP address and port to listen on."`
	Retention int    `help:"Number of records to keep; 0 keeps all."`

	run func(*Options) error
}

// New returns the command. A nil run means Run; tests may pass another function.
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

// Run runs an in-memory log service until the program is interrupted.
func Run(o *Options) error {
	return o.ServeHTTP(o.Listen, recorder.New(o.Retention))
}
