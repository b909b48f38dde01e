// Package worker implements the command "standin worker", which runs the simulated
// worker runtime of package standin/worker.
package worker

import (
	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/standin/worker"
)

// Options holds the command's dependencies and validated flags.
type Options struct {
	*factory.Factory
	Listen   string
	Name     string
	Zone     string
	Capacity plantainrail.Resources
}

// Command holds the flags and arguments.
type Command struct {
	Listen       string `required:"" help:"IP address and port to listen on."`
	Name         string `required:"" help:"Name of the VM."`
	Zone         string `required:"" help:"Availability zone of the VM."`
	Processors   int    `default:"32000" help:"Capacity in thousandths of a core."`
	MemoryMB     int    `name:"memory-mb" default:"128000" help:"Capacity in mebibytes of memory."`
	Accelerators int    `help:"Number of accelerators."`

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
	if c.Processors < 0 || c.MemoryMB < 0 || c.Accelerators < 0 {
		return factory.Usagef("the capacity of a VM must not be negative")
	}
	capacity := plantainrail.Resources{Processors: c.Processors, Memory: c.MemoryMB, Accelerators: c.Accelerators}
	return c.run(&Options{Factory: f, Listen: c.Listen, Name: c.Name, Zone: c.Zone, Capacity: capacity})
}

// Run runs a worker runtime whose tasks only wait, until the program is interrupted.
func Run(o *Options) error {
	return o.ServeHTTP(o.Listen, worker.New(o.Name, o.Zone, o.Capacity))
}
