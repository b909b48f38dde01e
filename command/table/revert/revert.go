// Package revert implements the command "table revert-to".
package revert

import (
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/follower"
	"github.com/plantainrail/plantainrail/receiver"
)

// Options holds the command's dependencies and validated flags.
type Options struct {
	*factory.Factory
	Revision int64
}

// Command holds the flags and arguments.
type Command struct {
	Revision int64 `arg:"" help:"Revision whose content is published again."`

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
		return errors.Errorf("revision %d is not stored; see plantainrail table history", o.Revision)
	}
	// The last revision of the history is the current one.
	base := history[len(history)-1].Revision
	reply, err := o.Caller().Publish(o.Context, receiver.PublishRequest{ID: follower.NewID(), Base: base, CSV: history[i].CSV, Editor: o.Editor})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(o.Out, "published revision %d with the content of revision %d\n", reply.Revision, o.Revision)
	return errors.Wrap(err, "write")
}
