// Package dev implements the command "dev", which runs a cluster of one entry, three
// VMs and stand-ins for the platform in one process, puts load on it, and counts what
// goes wrong.
package dev

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail/command/factory"
)

// Options holds the command's dependencies and validated flags.
type Options struct {
	*factory.Factory
	// Deadline ends the run; zero means that it runs until it is interrupted.
	Deadline time.Time
	AsJSON   bool
	LogLevel string
	Seed     uint64
}

// Command holds the flags and arguments.
type Command struct {
	For      time.Duration `help:"How long to run; until Ctrl-C by default."`
	JSON     bool          `name:"json" help:"Print the final summary as JSON on one line."`
	LogLevel string        `default:"error" help:"Lowest level of the logs written to stderr: debug, info, warn or error."`
	Seed     uint64        `default:"1" help:"Random seed of the load."`

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
	if c.For < 0 {
		return factory.Usagef("--for must not be negative")
	}
	o := &Options{Factory: f, AsJSON: c.JSON, LogLevel: c.LogLevel, Seed: c.Seed}
	if c.For > 0 {
		o.Deadline = time.Now().Add(c.For)
	}
	return c.run(o)
}

// summaryInterval is the interval between two lines of the live summary.
const summaryInterval = time.Second

// Run runs the cluster under load and prints a summary of what the callers and the
// stand-ins observed.
func Run(o *Options) error {
	ctx := o.Context
	if !o.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, o.Deadline)
		defer cancel()
	}
	s, err := newDemoCluster(o)
	if err != nil {
		return err
	}
	defer s.close()
	if err := s.publishTable(ctx); err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- s.runLoad(ctx) }()
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-ended:
			return report(o, s.summary(), err)
		case <-ticker.C:
			fmt.Fprintln(o.Err, s.summary())
		}
	}
}

// report prints the final summary, unless the load could not be run.
func report(o *Options, final Summary, err error) error {
	if err != nil {
		return errors.Wrap(err, "load")
	}
	if o.AsJSON {
		return o.PrintJSONLine(final)
	}
	_, err = fmt.Fprintln(o.Out, final)
	return errors.Wrap(err, "write")
}
