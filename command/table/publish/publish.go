// Package publish implements the command "table publish".
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

// Options holds the command's dependencies and validated flags.
type Options struct {
	*factory.Factory
	File   string
	Base   int64
	ID     string
	AsJSON bool
}

// Command holds the flags and arguments.
type Command struct {
	File string `arg:"" help:"CSV file, or - for standard input."`
	Base int64  `required:"" help:"Revision that the file is based on; 0 for the first table."`
	ID   string `name:"id" help:"ID of the call; repeating it with the same ID takes effect once."`
	JSON bool   `name:"json" help:"Print the reply as JSON."`

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
	if c.Base < 0 {
		return factory.Usagef("--base must be a revision, 0 or more")
	}
	id := c.ID
	if id == "" {
		id = follower.NewID()
	}
	return c.run(&Options{Factory: f, File: c.File, Base: c.Base, ID: id, AsJSON: c.JSON})
}

// Run publishes a table. If another revision was published since the base, it prints
// what changed since then and returns an error. If the outcome is unknown, the error
// gives the ID with which it is safe to repeat the command.
func Run(o *Options) error {
	raw, err := o.ReadFile(o.File)
	if err != nil {
		return err
	}
	if _, err := parser.Parse(raw); err != nil {
		return err
	}
	reply, err := o.Caller().Publish(o.Context, receiver.PublishRequest{ID: o.ID, Base: o.Base, CSV: string(raw), Editor: o.Editor})
	var failure *caller.APIError
	if errors.As(err, &failure) {
		return explain(o, failure)
	}
	if err != nil {
		return errors.Wrapf(err, "the table may have been published; repeat the command with --id %s", o.ID)
	}
	if o.AsJSON {
		return o.PrintJSON(reply)
	}
	_, err = fmt.Fprintf(o.Out, "published revision %d\n", reply.Revision)
	return errors.Wrap(err, "write")
}

// explain returns the error for a failure that the entry reported. On a conflict it
// prints what changed.
func explain(o *Options, failure *caller.APIError) error {
	switch failure.Code {
	case plantainrail.CodeTableConflict:
		showDifference(o)
	case plantainrail.CodePublishUnknown:
		return errors.Wrapf(failure, "repeat the command with --id %s", o.ID)
	}
	return failure
}

// showDifference prints to the error stream what changed since the revision that the
// file is based on. It prints nothing if the revisions cannot be read, and every kind
// as new if the base is no longer stored.
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
	fmt.Fprintf(o.Err, "revision %d by %s differs from revision %d as follows:\n", latest.Revision, latest.Editor, o.Base)
	// diff.Show prints to Out, so it gets a Factory whose Out is the error stream.
	stderrFactory := *o.Factory
	stderrFactory.Out = o.Err
	_ = diff.Show(&stderrFactory, parser.Diff(base, current))
}
