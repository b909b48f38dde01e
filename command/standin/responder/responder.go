// Package responder is the command "standin target".
package responder

import (
	"net/http"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/standin/responder"
)

// leaveGrace is how long after a leave new requests may begin.
const leaveGrace = 3 * time.Second

// Options are what the command needs to run.
type Options struct {
	*factory.Factory
	Info    plantainrail.TargetInfo
	Agent   string
	Service time.Duration
}

// Command holds the flags.
type Command struct {
	Listen      string        `required:"" help:"IP number and port."`
	Name        string        `required:"" help:"The target's name."`
	Agent       string        `required:"" help:"Base URL of the agent beside it."`
	Kinds       []string      `required:"" help:"The kinds that it answers."`
	Slots       int           `default:"8" help:"Requests that run at once."`
	Connections int           `default:"64" help:"Connections that are open at once."`
	Service     time.Duration `default:"5ms" help:"The time that one request takes."`

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
	if c.Slots < 1 || c.Connections < c.Slots {
		return factory.Usagef("--slots must be at least 1 and --connections at least --slots")
	}
	return c.run(&Options{Factory: f, Agent: c.Agent, Service: c.Service, Info: plantainrail.TargetInfo{
		Name: c.Name, Incarnation: strconv.FormatInt(time.Now().UnixNano(), 36), Address: c.Listen,
		Kinds: c.Kinds, Slots: c.Slots, Connections: c.Connections,
	}})
}

// Run serves a target that announces itself.
func Run(o *Options) error {
	target := responder.New(responder.Options{
		Info: o.Info, Agent: o.Agent, Client: &http.Client{}, Grace: leaveGrace,
		Service: func(*http.Request) time.Duration { return o.Service },
	})
	group, ctx := errgroup.WithContext(o.Context)
	group.Go(func() error { return target.Run(ctx) })
	group.Go(func() error { return o.ServeHTTP(o.Info.Address, target) })
	return group.Wait()
}
