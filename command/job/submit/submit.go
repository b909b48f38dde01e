// Package submit implements the command "job submit".
package submit

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/follower"
	"github.com/plantainrail/plantainrail/receiver"
)

// Options holds the command's dependencies and validated flags.
type Options struct {
	*factory.Factory
	Submission receiver.JobSubmission
}

// Command holds the flags and arguments.
type Command struct {
	Kind   string `required:"" help:"Kind of the job; must be a batch kind of the table."`
	Team   string `required:"" help:"Team whose quota the job uses."`
	Tasks  int    `default:"1" help:"Number of tasks."`
	Work   int    `default:"1000" help:"Declared run time of a task in ms."`
	Urgent bool   `help:"Start before other work, and evict batch tasks if capacity is missing."`
	ID     string `name:"id" help:"ID of the submission; repeating it with the same ID submits no second job."`

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
	if c.Tasks < 1 {
		return factory.Usagef("--tasks must be at least 1")
	}
	id := c.ID
	if id == "" {
		id = follower.NewID()
	}
	return c.run(&Options{Factory: f, Submission: receiver.JobSubmission{
		ID: id, Kind: c.Kind, Team: c.Team, Tasks: c.Tasks, Work: c.Work, Urgent: c.Urgent,
	}})
}

// Run submits a job and prints its ID.
func Run(o *Options) error {
	job, err := o.Caller().Submit(o.Context, o.Submission)
	if err != nil {
		return errors.Wrapf(err, "submit the job; it is safe to repeat it with --id %s", o.Submission.ID)
	}
	_, err = fmt.Fprintln(o.Out, job.ID)
	return errors.Wrap(err, "write")
}
