// Package wait is the command "job wait".
package wait

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/command/job/list"
)

// Options are what the command needs to run.
type Options struct {
	*factory.Factory
	ID       string
	Deadline time.Time
}

// Command holds the flags.
type Command struct {
	ID      string        `arg:"" name:"id" help:"The job."`
	Timeout time.Duration `default:"10m" help:"How long to wait."`

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
	return c.run(&Options{Factory: f, ID: c.ID, Deadline: time.Now().Add(c.Timeout)})
}

// pollEvery is the pace at which the job is looked at.
const pollEvery = 250 * time.Millisecond

// Run waits until every task of the job has ended.
func Run(o *Options) error {
	ctx, cancel := context.WithDeadline(o.Context, o.Deadline)
	defer cancel()
	for {
		job, err := o.Caller().Job(ctx, o.ID)
		if err == nil && job.Done {
			_, err := fmt.Fprintln(o.Out, list.States(job))
			return errors.Wrap(err, "write")
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "job %s has not ended; see plantainrail job show %s", o.ID, o.ID)
		case <-time.After(pollEvery):
		}
	}
}
