// Package show implements the command "job show", and "job explain" for a submitted batch job.
package show

import (
	"strconv"

	"github.com/plantainrail/plantainrail/command/factory"
)

// Options holds the command's dependencies and validated flags.
type Options struct {
	*factory.Factory
	ID     string
	AsJSON bool
}

// Command holds the flags and arguments.
type Command struct {
	ID   string `arg:"" name:"id" help:"ID of the job."`
	JSON bool   `name:"json" help:"Print the job as JSON."`

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
	return c.run(&Options{Factory: f, ID: c.ID, AsJSON: c.JSON})
}

// Run prints a job's tasks: the state and worker of each, and why it waits or last
// changed its state.
func Run(o *Options) error {
	job, err := o.Caller().Job(o.Context, o.ID)
	if err != nil {
		return err
	}
	if o.AsJSON {
		return o.PrintJSON(job)
	}
	var rows [][]string
	for _, t := range job.Detail {
		rows = append(rows, []string{t.ID, t.State, strconv.FormatInt(t.Attempt, 10), t.Worker, strconv.Itoa(t.Evictions), t.Reason})
	}
	return o.PrintRows([]string{"task", "state", "attempt", "worker", "evictions", "reason"}, rows)
}
