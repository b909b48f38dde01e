// Package publish is the command "table publish".
package publish

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/caller"
	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/command/table/diff"
	"github.com/plantainrail/plantainrail/follower"
	"github.com/plantainrail/plantainrail/parser"
	"github.com/plantainrail/plantainrail/receiver"
)

// Options are what the command needs to run.
type Options struct {
	*factory.Factory
	File   string
	Base   int64
	ID     string
	AsJSON bool
}

// Command holds the flags.
type Command struct {
	File string `arg:"" help:"CSV file, or - for standard input."`
	Base int64  `required:"" help:"The revision that the file was edited from; 0 for the first table."`
	ID   string `name:"id" help:"Repeat an earlier call under its ID; it takes effect once."`
	JSON bool   `name:"json" help:"Write the reply as JSON."`

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
	if c.Base < 0 {
		return factory.Usagef("--base must be a revision, 0 or more")
	}
	id := c.ID
	if id == "" {
		id = follower.NewID()
	}
	return c.run(&Options{Factory: f, File: c.File, Base: c.Base, ID: id, AsJSON: c.JSON})
}

// Run publishes a table. An editor that lost the race to another one is shown
// what the other one changed.
func Run(o *Options) error {
	raw, err := o.ReadFile(o.File)
	if err != nil {
		return err
	}
	if _, err := parser.Parse(raw); err != nil {
		return err
	}
	reply, err := o.Caller().Publish(o.Context, receiver.Publish{ID: o.ID, Base: o.Base, CSV: string(raw), Editor: o.Editor})
	var failure *caller.FailureError
	if errors.As(err, &failure) {
		return explain(o, failure)
	}
	if err != nil {
		return errors.Wrapf(err, "the publish may have taken effect; repeat it with --id %s", o.ID)
	}
	if o.AsJSON {
		return o.JSON(reply)
	}
	_, err = fmt.Fprintf(o.Out, "published revision %d\n", reply.Revision)
	return errors.Wrap(err, "write")
}

func explain(o *Options, failure *caller.FailureError) error {
	switch failure.Code {
	case plantainrail.CodeTableConflict:
		showDifference(o)
	case plantainrail.CodePublishUnknown:
		return errors.Wrapf(failure, "repeat it with --id %s", o.ID)
	}
	return failure
}

// showDifference shows what changed since the revision that the file was
// edited from.
func showDifference(o *Options) {
	history, err := o.Caller().History(o.Context)
	if err != nil || len(history) == 0 {
		return
	}
	var base plantainrail.Table
	for _, h := range history {
		if h.Revision == o.Base {
			base, _ = parser.Parse([]byte(h.CSV))
		}
	}
	latest := history[len(history)-1]
	current, err := parser.Parse([]byte(latest.CSV))
	if err != nil {
		return
	}
	fmt.Fprintf(o.Err, "revision %d by %s changed since revision %d:\n", latest.Revision, latest.Editor, o.Base)
	errs := *o.Factory
	errs.Out = o.Err
	_ = diff.Show(&errs, parser.Diff(base, current))
}
