// Package cancel implements the command "job cancel".
package cancel

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/command/factory"
)

// Options holds the command's dependencies and validated flags.
type Options struct {
	*factory.Factory
	Match plantainrail.CancelRecord
}

// Command holds the flags and arguments.
type Command struct {
	ID   string `arg:"" optional:"" name:"id" help:"ID of the job."`
	Team string `help:"Cancel every unfinished job of the team."`
	Kind string `help:"Cancel every unfinished job of the kind."`

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
	match := plantainrail.CancelRecord{Job: c.ID, Team: c.Team, Kind: c.Kind}
	if match == (plantainrail.CancelRecord{}) {
		return factory.Usagef("name a job, --team or --kind")
	}
	return c.run(&Options{Factory: f, Match: match})
}

// Run cancels the unfinished jobs that match all given fields. It returns an error if
// none matches.
func Run(o *Options) error {
	if _, err := o.Caller().Cancel(o.Context, o.Match); err != nil {
		return err
	}
	_, err := fmt.Fprintln(o.Out, "cancelled")
	return errors.Wrap(err, "write")
}
