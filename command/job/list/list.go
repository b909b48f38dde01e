// Package list implements the command "job list".
package list

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/receiver"
)

// Options holds the command's dependencies and validated flags.
type Options struct {
	*factory.Factory
	AsJSON bool
}

// Command holds the flags and arguments.
type Command struct {
	JSON bool `name:"json" help:"Print the jobs as JSON."`

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

// Run prints the jobs, the oldest first.
func Run(o *Options) error {
	jobs, err := o.Caller().Jobs(o.Context)
	if err != nil {
		return err
	}
	if o.AsJSON {
		return o.PrintJSON(jobs)
	}
	var rows [][]string
	for _, j := range jobs {
		rows = append(rows, []string{j.ID, j.Kind, j.Team, strconv.Itoa(j.Tasks), States(j)})
	}
	return o.PrintRows([]string{"job", "kind", "team", "tasks", "states"}, rows)
}

// States formats the number of a job's tasks in each state.
func States(j receiver.JobReply) string {
	var parts []string
	for _, state := range slices.Sorted(maps.Keys(j.States)) {
		parts = append(parts, fmt.Sprintf("%s=%d", state, j.States[state]))
	}
	return strings.Join(parts, " ")
}
