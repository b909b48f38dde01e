// Package serve is the command "entry".
package serve

import (
	"crypto/tls"
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

// drainLimit bounds a planned stop.
const drainLimit = 5 * time.Minute

// Options are what the command needs to run.
type Options struct {
	*factory.Factory
	Settings loader.Settings
}

// Command holds the flags.
type Command struct {
	Settings string `required:"" help:"The settings file."`

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
	settings, err := loader.Load(c.Settings)
	if err != nil {
		return err
	}
	if settings.Role != loader.RoleEntry {
		return factory.Usagef("%s holds the settings of an %s, not of an entry", c.Settings, settings.Role)
	}
	return c.run(&Options{Factory: f, Settings: settings})
}

// Run serves as an entry.
func Run(o *Options) error {
	s := o.Settings
	files := securer.Files(s.TLS)
	secure, err := securer.Server(files)
	if err != nil {
		return err
	}
	outward, err := securer.Client(files)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	if secure != nil {
		listener = tls.NewListener(listener, secure)
	}
	address := s.Address
	if address == "" {
		address = s.Listen
	}
	logger := o.Logger(s.LogLevel)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: outward}}
	entry := receiver.New(receiver.Options{
		Name: s.Name, Zone: s.Zone, Address: address, Listener: listener, OperatorToken: s.OperatorToken,
		VerifyAgents: s.TLS.Authority != "", Log: appender.New(s.LogService, client),
		Router: router.New(s.Zone, uint64(time.Now().UnixNano())), Logger: logger,
	})
	return o.Serve(entry, drainLimit, logger)
}
