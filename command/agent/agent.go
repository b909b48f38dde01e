// Package agent implements the command "agent", which runs package agent at the root
// of the module; the import is named process here.
package agent

import (
	"net"
	"net/http"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
	process "github.com/plantainrail/plantainrail/agent"
	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/forwarder"
	"github.com/plantainrail/plantainrail/launcher"
	"github.com/plantainrail/plantainrail/loader"
	"github.com/plantainrail/plantainrail/securer"
)

// Options holds the command's dependencies and validated flags.
type Options struct {
	*factory.Factory
	Settings loader.Settings
}

// Command holds the flags and arguments.
type Command struct {
	Settings string `required:"" help:"The settings file."`

	run func(*Options) error
}

// New returns the command. A nil run means Run; tests may pass another function.
func New(run func(*Options) error) Command {
	if run == nil {
		run = Run
	}
	return Command{run: run}
}

// Run loads the settings, checks them and runs the command.
func (c *Command) Run(f *factory.Factory) error {
	settings, err := loader.Load(c.Settings)
	if err != nil {
		return err
	}
	if settings.Role != loader.RoleAgent {
		return factory.Usagef("%s contains the settings of an %s, not of an agent", c.Settings, settings.Role)
	}
	return c.run(&Options{Factory: f, Settings: settings})
}

// Run runs the agent of a VM until the program is interrupted.
func Run(o *Options) error {
	s := o.Settings
	clientTLS, err := securer.ClientConfig(securer.Files(s.TLS))
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	scheme := "ws"
	if clientTLS != nil {
		scheme = "wss"
	}
	var runtime plantainrail.Runtime
	if s.Runtime != "" {
		runtime = launcher.New(s.Runtime, &http.Client{})
	}
	logger := o.Logger(s.LogLevel)
	agent := process.New(process.Options{
		Name: s.Name, Zone: s.Zone, Rack: s.Rack, Capacity: s.Capacity, Entries: s.Entries, MaxSessions: s.MaxSessions,
		Listener: listener, Limiter: o.Limiter(s.Limits, nil, false, process.MaxAnnouncementBytes, logger),
		Dialer: &http.Client{Transport: &http.Transport{TLSClientConfig: clientTLS}}, Scheme: scheme,
		Target: forwarder.New(nil), Runtime: runtime, Log: logger,
	})
	return o.Serve(agent, process.DrainTimeout, logger)
}
