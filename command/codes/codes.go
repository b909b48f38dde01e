// Package codes is the command "codes".
package codes

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/command/factory"
)

// Options are what the command needs to run.
type Options struct {
	*factory.Factory
	AsJSON   bool
	Markdown bool
}

// Command holds the flags.
type Command struct {
	JSON     bool `name:"json" help:"Write the codes as JSON."`
	Markdown bool `help:"Write the page docs/CODES.md."`

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
	return c.run(&Options{Factory: f, AsJSON: c.JSON, Markdown: c.Markdown})
}

// Run lists the result codes.
func Run(o *Options) error {
	table := plantainrail.CodeTable()
	switch {
	case o.AsJSON:
		return o.JSON(table)
	case o.Markdown:
		_, err := io.WriteString(o.Out, Markdown(table))
		return errors.Wrap(err, "write")
	}
	var rows [][]string
	for _, c := range table {
		rows = append(rows, []string{strconv.Itoa(int(c.Code)), c.Name, strconv.Itoa(c.Status), string(c.Outcome), c.Message, c.Action})
	}
	return o.Table([]string{"code", "name", "http", "outcome", "message", "what to do"}, rows)
}

// Markdown renders the codes as the page docs/CODES.md.
func Markdown(table []plantainrail.CodeInfo) string {
	var b strings.Builder
	b.WriteString("# Result codes\n\nEvery refusal and failure carries a code in the header `X-Result-Code`, and what it\nsays about the work in `X-Outcome`. This page is written by `plantainrail codes --markdown`.\n\n")
	b.WriteString("| code | name | HTTP | outcome | message | what to do |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, c := range table {
		fmt.Fprintf(&b, "| %d | %s | %d | %s | %s | %s |\n", c.Code, c.Name, c.Status, c.Outcome, c.Message, c.Action)
	}
	return b.String()
}
