// Package set is the command "zone out" and "zone in".
package set

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/receiver"
)

// Options are what the command needs to run.
type Options struct {
	*factory.Factory
	Zone  string
	Epoch *int64
	// Leave takes the zone out; otherwise it comes back.
	Leave bool
}

// Command holds the flags.
type Command struct {
	Zone  string `arg:"" help:"The availability zone."`
	Epoch *int64 `help:"The epoch that zone show printed; refuses the change if somebody else changed the zone since."`
	out   bool

	run func(*Options) error
}

// New returns the command that takes a zone out or brings it back. A run function replaces what it does.
func New(out bool, run func(*Options) error) Command {
	if run == nil {
		run = Run
	}
	return Command{out: out, run: run}
}

// Run checks the flags and runs the command.
func (c *Command) Run(f *factory.Factory) error {
	return c.run(&Options{Factory: f, Zone: c.Zone, Epoch: c.Epoch, Leave: c.out})
}

// Run takes the zone out, or brings it back.
func Run(o *Options) error {
	reply, err := o.Caller().SetZone(o.Context, receiver.ZoneChange{Zone: o.Zone, Out: o.Leave, Epoch: o.Epoch, Operator: o.Editor})
	if err != nil {
		return err
	}
	state := "in"
	if reply.Out {
		state = "out"
	}
	_, err = fmt.Fprintf(o.Out, "zone %s is %s at epoch %d\n", reply.Zone, state, reply.Epoch)
	return errors.Wrap(err, "write")
}
