// Package submit is the command "job submit".
package submit

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/follower"
	"github.com/plantainrail/plantainrail/receiver"
)

// Options are what the command needs to run.
type Options struct {
	*factory.Factory
	Submission receiver.JobSubmission
}

// Command holds the flags.
type Command struct {
	Kind   string `required:"" help:"A batch kind of the table."`
	Team   string `required:"" help:"The team whose quota counts."`
	Tasks  int    `default:"1" help:"The number of tasks."`
	Work   int    `default:"1000" help:"The declared run time of a task, in ms."`
	Urgent bool   `help:"Overtake other work, and evict batch tasks if there is no room."`
	ID     string `name:"id" help:"The submission's ID; the same ID again is harmless."`

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

// Run submits a job and writes its ID.
func Run(o *Options) error {
	job, err := o.Caller().Submit(o.Context, o.Submission)
	if err != nil {
		return errors.Wrapf(err, "submission %s; repeating it with --id is harmless", o.Submission.ID)
	}
	_, err = fmt.Fprintln(o.Out, job.ID)
	return errors.Wrap(err, "write")
}
