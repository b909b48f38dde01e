// Package worker is the command "standin worker".
package worker

import (
	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/standin/worker"
)

// Options are what the command needs to run.
type Options struct {
	*factory.Factory
	Listen   string
	Name     string
	Zone     string
	Capacity plantainrail.Resources
}

// Command holds the flags.
type Command struct {
	Listen       string `required:"" help:"IP number and port."`
	Name         string `required:"" help:"The VM's name."`
	Zone         string `required:"" help:"The availability zone."`
	Processors   int    `default:"32000" help:"Thousandths of a core."`
	MemoryMB     int    `name:"memory-mb" default:"128000" help:"Mebibytes."`
	Accelerators int    `help:"Devices."`

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
	if c.Processors < 0 || c.MemoryMB < 0 || c.Accelerators < 0 {
		return factory.Usagef("a VM's size must not be negative")
	}
	capacity := plantainrail.Resources{Processors: c.Processors, Memory: c.MemoryMB, Accelerators: c.Accelerators}
	return c.run(&Options{Factory: f, Listen: c.Listen, Name: c.Name, Zone: c.Zone, Capacity: capacity})
}

// Run serves a worker runtime that only spends time.
func Run(o *Options) error {
	return o.ServeHTTP(o.Listen, worker.New(o.Name, o.Zone, o.Capacity))
}
