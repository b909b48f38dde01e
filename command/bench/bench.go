// Package bench is the command "bench".
package bench

import (
	"slices"

	"github.com/plantainrail/plantainrail/bencher"
	"github.com/plantainrail/plantainrail/command/factory"
)

// Options are what the command needs to run.
type Options struct {
	*factory.Factory
	List     bool
	Slopes   bool
	Scenario bencher.Scenario
	Seed     uint64
}

// Command holds the flags.
type Command struct {
	Scenario string `help:"The scenario to run; see --list."`
	Seed     uint64 `default:"1" help:"Seed of the load and of the targets."`
	List     bool   `help:"List the scenarios."`
	Slopes   bool   `help:"Measure what each session, task, record, table change and request costs."`
	JSON     bool   `name:"json" help:"Write the result as JSON; it is the only form."`

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
	o := &Options{Factory: f, List: c.List, Slopes: c.Slopes, Seed: c.Seed}
	if c.List || c.Slopes {
		return c.run(o)
	}
	scenarios := bencher.Scenarios()
	i := slices.IndexFunc(scenarios, func(s bencher.Scenario) bool { return s.Name == c.Scenario })
	if i < 0 {
		return factory.Usagef("no scenario %q; --list names them", c.Scenario)
	}
	o.Scenario = scenarios[i]
	return c.run(o)
}

// Run runs a scenario, or lists them, or measures the slopes.
func Run(o *Options) error {
	if o.List {
		var rows [][]string
		for _, s := range bencher.Scenarios() {
			rows = append(rows, []string{s.Name, s.Summary})
		}
		return o.Table([]string{"scenario", "what happens"}, rows)
	}
	if o.Slopes {
		slopes, err := bencher.Slopes(o.Context)
		if err != nil {
			return err
		}
		return o.JSON(slopes)
	}
	result, err := bencher.Run(o.Context, o.Scenario, o.Seed)
	if err != nil {
		return err
	}
	return o.Line(result)
}
