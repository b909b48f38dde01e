// Package bench implements the command "bench".
package bench

import (
	"slices"

	"github.com/plantainrail/plantainrail/bencher"
	"github.com/plantainrail/plantainrail/command/factory"
)

// Options holds the command's dependencies and validated flags.
type Options struct {
	*factory.Factory
	List     bool
	Slopes   bool
	Scenario bencher.Scenario
	Seed     uint64
}

// Command holds the flags and arguments.
type Command struct {
	Scenario string `help:"Scenario to run; see --list."`
	Seed     uint64 `default:"1" help:"Random seed of the load and the targets."`
	List     bool   `help:"List the scenarios."`
	Slopes   bool   `help:"Measure the cost of each session, task, record, table change and request."`
	JSON     bool   `name:"json" help:"Print the result as JSON, the only output format."`

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
	o := &Options{Factory: f, List: c.List, Slopes: c.Slopes, Seed: c.Seed}
	if c.List || c.Slopes {
		return c.run(o)
	}
	scenarios := bencher.Scenarios()
	i := slices.IndexFunc(scenarios, func(s bencher.Scenario) bool { return s.Name == c.Scenario })
	if i < 0 {
		return factory.Usagef("unknown scenario %q; see --list", c.Scenario)
	}
	o.Scenario = scenarios[i]
	return c.run(o)
}

// Run runs a scenario, lists the scenarios, or measures the cost of each session,
// task, record, table change and request.
func Run(o *Options) error {
	if o.List {
		var rows [][]string
		for _, s := range bencher.Scenarios() {
			rows = append(rows, []string{s.Name, s.Summary})
		}
		return o.PrintRows([]string{"scenario", "what happens"}, rows)
	}
	if o.Slopes {
		slopes, err := bencher.Slopes(o.Context)
		if err != nil {
			return err
		}
		return o.PrintJSON(slopes)
	}
	result, err := bencher.Run(o.Context, o.Scenario, o.Seed)
	if err != nil {
		return err
	}
	return o.PrintJSONLine(result)
}
