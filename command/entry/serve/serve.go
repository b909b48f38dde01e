// Package serve implements the command "entry serve". It is the default subcommand of
// "entry".
package serve

import (
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail/appender"
	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/loader"
	"github.com/plantainrail/plantainrail/receiver"
	"github.com/plantainrail/plantainrail/router"
	"github.com/plantainrail/plantainrail/securer"
)

// drainTimeout bounds the drain of a planned stop, in which the entry waits for the
// responses to all requests.
const drainTimeout = 5 * time.Minute

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
	if settings.Role != loader.RoleEntry {
		return factory.Usagef("%s contains the settings of an %s, not of an entry", c.Settings, settings.Role)
	}
	return c.run(&Options{Factory: f, Settings: settings})
}

// Run runs an entry until the program is interrupted.
func Run(o *Options) error {
	s := o.Settings
	// loader.TLS has the same fields as securer.Files.
	files := securer.Files(s.TLS)
	serverTLS, err := securer.ServerConfig(files)
	if err != nil {
		return err
	}
	clientTLS, err := securer.ClientConfig(files)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	address := s.Address
	if address == "" {
		address = s.Listen
	}
	logger := o.Logger(s.LogLevel)
	clientLimiter := o.Limiter(s.Limits, serverTLS, true, 0, logger)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: clientTLS}}
	entry := receiver.New(receiver.Options{
		Name: s.Name, Zone: s.Zone, Address: address, Listener: listener, Limiter: clientLimiter, OperatorToken: s.OperatorToken,
		VerifyAgents: s.TLS.Authority != "", Log: appender.New(s.LogService, client),
		Router: router.New(s.Zone, uint64(time.Now().UnixNano())), Logger: logger,
	})
	return o.Serve(entry, drainTimeout, logger)
}
