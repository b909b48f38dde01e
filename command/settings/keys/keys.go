// Package keys implements the command "settings keys".
package keys

import (
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/loader"
)

// Options holds the command's dependencies and validated flags.
type Options struct {
	*factory.Factory
	Markdown bool
}

// Command holds the flags and arguments.
type Command struct {
	Markdown bool `help:"Print the page docs/SETTINGS.md."`

	run func(*Options) error
}

// New returns the command. A nil run means Run; tests may pass another function.
func New(run func(*Options) error) Command {
	if run == nil {
		run = Run
	}
	return Command{run: run}
}

// Run runs the command with the parsed flags and arguments.
func (c *Command) Run(f *factory.Factory) error {
	return c.run(&Options{Factory: f, Markdown: c.Markdown})
}

// Run prints every settings key with its default, its allowed values and its meaning.
func Run(o *Options) error {
	if o.Markdown {
		_, err := io.WriteString(o.Out, Markdown())
		return errors.Wrap(err, "write")
	}
	return o.PrintRows([]string{"key", "roles", "default", "allowed", "meaning"}, rows())
}

// rows returns a row for each key: its name, roles, default, allowed values and
// meaning.
func rows() [][]string {
	var list [][]string
	for _, k := range loader.Keys() {
		var roles []string
		for _, r := range k.Roles {
			roles = append(roles, string(r))
		}
		defaultValue := fmt.Sprint(k.Default)
		switch {
		case k.Required:
			defaultValue = "required"
		case k.Default == "":
			defaultValue = "nothing"
		}
		list = append(list, []string{k.Name, strings.Join(roles, ", "), defaultValue, k.Allowed, k.Meaning})
	}
	return list
}

// Markdown renders the keys as the page docs/SETTINGS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nA settings file is one JSON object. A key with a dot is a key of a nested object.\n`plantainrail settings check FILE` names each key that is not allowed. This page is\nwritten by `plantainrail settings keys --markdown`.\n\n")
	b.WriteString("| key | roles | default | allowed | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, row := range rows() {
		fmt.Fprintf(&b, "| %s |\n", strings.Join(row, " | "))
	}
	return b.String()
}
