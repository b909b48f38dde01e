// Package leave implements the command "target leave".
package leave

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/receiver"
)

// Options holds the command's dependencies and validated flags.
type Options struct {
	*factory.Factory
	Target      string
	Incarnation string
}

// Command holds the flags and arguments.
type Command struct {
	Target      string `arg:"" help:"Name of the target."`
	Incarnation string `help:"Incarnation of the target; the current one by default."`

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
	return c.run(&Options{Factory: f, Target: c.Target, Incarnation: c.Incarnation})
}

// Run makes a target leave: the target gets no new work and finishes what it is
// running. Run returns an error if the target's agent has not confirmed that in time.
func Run(o *Options) error {
	reply, err := o.Caller().Leave(o.Context, receiver.LeaveRequest{Target: o.Target, Incarnation: o.Incarnation})
	if err != nil {
		return err
	}
	if !reply.Confirmed {
		return errors.Errorf("target %s: the command is recorded, but the agent has not confirmed it; repeat the command", o.Target)
	}
	if !reply.Recorded {
		fmt.Fprintln(o.Err, "the log service could not be reached, so a restart of the agent would undo the command; repeat it when the log service is available")
	}
	_, err = fmt.Fprintf(o.Out, "target %s receives no new work\n", reply.Target)
	return errors.Wrap(err, "write")
}
