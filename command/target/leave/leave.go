// Package leave is the command "target leave".
package leave

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/receiver"
)

// Options are what the command needs to run.
type Options struct {
	*factory.Factory
	Target      string
	Incarnation string
}

// Command holds the flags.
type Command struct {
	Target      string `arg:"" help:"The target that leaves."`
	Incarnation string `help:"The incarnation that leaves; the present one by default."`

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
	return c.run(&Options{Factory: f, Target: c.Target, Incarnation: c.Incarnation})
}

// Run makes a target leave: it gets no new work, and what it runs goes on.
func Run(o *Options) error {
	reply, err := o.Caller().Leave(o.Context, receiver.Leave{Target: o.Target, Incarnation: o.Incarnation})
	if err != nil {
		return err
	}
	if !reply.Confirmed {
		return errors.Errorf("target %s: the leave is recorded, but its agent has not confirmed it; repeat the command", o.Target)
	}
	if !reply.Recorded {
		fmt.Fprintln(o.Err, "the log could not be reached; repeat the command when it answers, so that the agent's restart keeps the leave")
	}
	_, err = fmt.Fprintf(o.Out, "target %s takes no new work\n", reply.Target)
	return errors.Wrap(err, "write")
}
