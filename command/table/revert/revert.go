// Package revert is the command "table revert-to".
package revert

import (
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/follower"
	"github.com/plantainrail/plantainrail/receiver"
)

// Options are what the command needs to run.
type Options struct {
	*factory.Factory
	Revision int64
}

// Command holds the flags.
type Command struct {
	Revision int64 `arg:"" help:"The revision whose content comes back."`

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
	if c.Revision < 1 {
		return factory.Usagef("the revision must be 1 or more")
	}
	return c.run(&Options{Factory: f, Revision: c.Revision})
}

// Run publishes an earlier revision's content as a new revision.
func Run(o *Options) error {
	history, err := o.Caller().History(o.Context)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(history, func(h receiver.TableReply) bool { return h.Revision == o.Revision })
	if i < 0 {
		return errors.Errorf("revision %d is not kept; see plantainrail table history", o.Revision)
	}
	base := history[len(history)-1].Revision
	reply, err := o.Caller().Publish(o.Context, receiver.Publish{ID: follower.NewID(), Base: base, CSV: history[i].CSV, Editor: o.Editor})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(o.Out, "published revision %d with the content of revision %d\n", reply.Revision, o.Revision)
	return errors.Wrap(err, "write")
}
