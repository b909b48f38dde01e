// Package responder implements the command "standin target", which runs the simulated
// target of package standin/responder.
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

// leaveGrace is the time during which new requests may still begin at a target after it
// was told to leave through the path /-/leave or /-/left.
const leaveGrace = 3 * time.Second

// Options holds the command's dependencies and validated flags.
type Options struct {
	*factory.Factory
	Info plantainrail.TargetInfo
	// Agent is the base URL of the agent to which the target announces itself.
	Agent string
	// Service is the time that a request takes.
	Service time.Duration
}

// Command holds the flags and arguments.
type Command struct {
	Listen      string        `required:"" help:"IP address and port to listen on."`
	Name        string        `required:"" help:"Name of the target."`
	Agent       string        `required:"" help:"Base URL of the agent on the same VM."`
	Kinds       []string      `required:"" help:"Kinds of requests that the target serves."`
	Slots       int           `default:"8" help:"Maximum number of concurrent requests."`
	Connections int           `default:"64" help:"Maximum number of open connections."`
	Service     time.Duration `default:"5ms" help:"Time that a request takes."`

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
	if c.Slots < 1 || c.Connections < c.Slots {
		return factory.Usagef("--slots must be at least 1 and --connections at least --slots")
	}
	// The time of the start serves as the incarnation, which differs after a restart.
	return c.run(&Options{Factory: f, Agent: c.Agent, Service: c.Service, Info: plantainrail.TargetInfo{
		Name: c.Name, Incarnation: strconv.FormatInt(time.Now().UnixNano(), 36), Address: c.Listen,
		Kinds: c.Kinds, Slots: c.Slots, Connections: c.Connections,
	}})
}

// Run runs a target that announces itself to its agent, until the program is
// interrupted.
func Run(o *Options) error {
	target := responder.New(responder.Options{
		Info: o.Info, AgentURL: o.Agent, Client: &http.Client{}, LeaveGrace: leaveGrace,
		ServiceTime: func(*http.Request) time.Duration { return o.Service },
	})
	group, ctx := errgroup.WithContext(o.Context)
	group.Go(func() error { return target.Run(ctx) })
	group.Go(func() error { return o.ServeHTTP(o.Info.Address, target) })
	return group.Wait()
}
