// Package history implements the command "table history".
package history

import (
	"strconv"
	"time"

	"github.com/plantainrail/plantainrail/command/factory"
)

// Options holds the command's dependencies and validated flags.
type Options struct {
	*factory.Factory
	AsJSON bool
}

// Command holds the flags and arguments.
type Command struct {
	JSON bool `name:"json" help:"Print the revisions as JSON."`

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
	return c.run(&Options{Factory: f, AsJSON: c.JSON})
}

// Run prints the stored revisions.
func Run(o *Options) error {
	history, err := o.Caller().History(o.Context)
	if err != nil {
		return err
	}
	if o.AsJSON {
		return o.PrintJSON(history)
	}
	var rows [][]string
	for _, h := range history {
		rows = append(rows, []string{strconv.FormatInt(h.Revision, 10), h.Time.Format(time.RFC3339), h.Editor})
	}
	return o.PrintRows([]string{"revision", "time", "editor"}, rows)
}
