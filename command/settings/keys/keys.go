// Package keys is the command "settings keys".
package keys

import (
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/loader"
)

// Options are what the command needs to run.
type Options struct {
	*factory.Factory
	Markdown bool
}

// Command holds the flags.
type Command struct {
	Markdown bool `help:"Write the page docs/SETTINGS.md."`

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
	return c.run(&Options{Factory: f, Markdown: c.Markdown})
}

// Run lists every settings key with its default and what is allowed.
func Run(o *Options) error {
	if o.Markdown {
		_, err := io.WriteString(o.Out, Markdown())
		return errors.Wrap(err, "write")
	}
	return o.Table([]string{"key", "roles", "default", "allowed", "meaning"}, rows())
}

func rows() [][]string {
	var list [][]string
	for _, k := range loader.Keys() {
		var roles []string
		for _, r := range k.Roles {
			roles = append(roles, string(r))
		}
		standard := fmt.Sprint(k.Default)
		switch {
		case k.Required:
			standard = "required"
		case k.Default == "":
			standard = "nothing"
		}
		list = append(list, []string{k.Name, strings.Join(roles, ", "), standard, k.Allowed, k.Meaning})
	}
	return list
}

// Markdown renders the keys as the page docs/SETTINGS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nA settings file is one JSON object. A key with a dot is a key of an inner object.\n`plantainrail settings check FILE` names each key that is not allowed. This page is\nwritten by `plantainrail settings keys --markdown`.\n\n")
	b.WriteString("| key | roles | default | allowed | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, row := range rows() {
		fmt.Fprintf(&b, "| %s |\n", strings.Join(row, " | "))
	}
	return b.String()
}
