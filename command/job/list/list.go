// Package list is the command "job list".
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

// Options are what the command needs to run.
type Options struct {
	*factory.Factory
	AsJSON bool
}

// Command holds the flags.
type Command struct {
	JSON bool `name:"json" help:"Write the jobs as JSON."`

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
	return c.run(&Options{Factory: f, AsJSON: c.JSON})
}

// Run lists the jobs, the oldest first.
func Run(o *Options) error {
	jobs, err := o.Caller().Jobs(o.Context)
	if err != nil {
		return err
	}
	if o.AsJSON {
		return o.JSON(jobs)
	}
	var rows [][]string
	for _, j := range jobs {
		rows = append(rows, []string{j.ID, j.Kind, j.Team, strconv.Itoa(j.Tasks), States(j)})
	}
	return o.Table([]string{"job", "kind", "team", "tasks", "states"}, rows)
}

// States writes the number of a job's tasks in each state.
func States(j receiver.JobReply) string {
	var parts []string
	for _, state := range slices.Sorted(maps.Keys(j.States)) {
		parts = append(parts, fmt.Sprintf("%s=%d", state, j.States[state]))
	}
	return strings.Join(parts, " ")
}
