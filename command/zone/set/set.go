// Package set implements the commands "zone out" and "zone in".
package set

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/receiver"
)

// Options holds the command's dependencies and validated flags.
type Options struct {
	*factory.Factory
	Zone string
	// Epoch is the epoch that the change is based on; nil means the current one.
	Epoch *int64
	// TakeOut is set if the zone is taken out of service, and unset if it is returned to
	// service.
	TakeOut bool
}

// Command holds the flags and arguments.
type Command struct {
	Zone    string `arg:"" help:"Name of the availability zone."`
	Epoch   *int64 `help:"Epoch printed by zone show; the change is rejected if the zone has changed since."`
	takeOut bool

	run func(*Options) error
}

// New returns the command that takes a zone out of service or returns it to service. A
// nil run means Run; tests may pass another function.
func New(takeOut bool, run func(*Options) error) Command {
	if run == nil {
		run = Run
	}
	return Command{takeOut: takeOut, run: run}
}

// Run runs the command with the parsed flags and arguments.
func (c *Command) Run(f *factory.Factory) error {
	return c.run(&Options{Factory: f, Zone: c.Zone, Epoch: c.Epoch, TakeOut: c.takeOut})
}

// Run takes a zone out of service or returns it to service.
func Run(o *Options) error {
	reply, err := o.Caller().SetZone(o.Context, receiver.ZoneChange{Zone: o.Zone, Out: o.TakeOut, Epoch: o.Epoch, Operator: o.Editor})
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
