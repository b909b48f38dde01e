// Package wait implements the command "job wait".
package wait

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/command/job/list"
)

// Options holds the command's dependencies and validated flags.
type Options struct {
	*factory.Factory
	ID       string
	Deadline time.Time
}

// Command holds the flags and arguments.
type Command struct {
	ID      string        `arg:"" name:"id" help:"ID of the job."`
	Timeout time.Duration `default:"10m" help:"Maximum time to wait."`

	run func(*Options) error
}

// New returns the command. A nil run means Run; tests may pass another function.
func New(run func(*Options) error) Command {
	if run == nil {
		run = Run
	}
	return Command{run: run}
}

// Run runs the command with the parsed flags and arguments.
func (c *Command) Run(f *factory.Factory) error {
	return c.run(&Options{Factory: f, ID: c.ID, Deadline: time.Now().Add(c.Timeout)})
}

// pollInterval is the interval between two reads of the job's state.
const pollInterval = 250 * time.Millisecond

// Run waits until every task of the job has ended, and prints the number of tasks in
// each state. Failed reads are retried until the deadline, also those of an unknown
// job.
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
		case <-time.After(pollInterval):
		}
	}
}
