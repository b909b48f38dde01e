// Package codes implements the command "codes".
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

// Options holds the command's dependencies and validated flags.
type Options struct {
	*factory.Factory
	AsJSON   bool
	Markdown bool
}

// Command holds the flags and arguments.
type Command struct {
	JSON     bool `name:"json" help:"Print the codes as JSON."`
	Markdown bool `help:"Print the page docs/CODES.md."`

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
	return c.run(&Options{Factory: f, AsJSON: c.JSON, Markdown: c.Markdown})
}

// Run prints the result codes.
func Run(o *Options) error {
	table := plantainrail.CodeTable()
	switch {
	case o.AsJSON:
		return o.PrintJSON(table)
	case o.Markdown:
		_, err := io.WriteString(o.Out, Markdown(table))
		return errors.Wrap(err, "write")
	}
	var rows [][]string
	for _, c := range table {
		rows = append(rows, []string{strconv.Itoa(int(c.Code)), c.Name, strconv.Itoa(c.Status), string(c.Outcome), c.Message, c.Action})
	}
	return o.PrintRows([]string{"code", "name", "http", "outcome", "message", "what to do"}, rows)
}

// Markdown renders the codes as the page docs/CODES.md.
func Markdown(table []plantainrail.CodeInfo) string {
	var b strings.Builder
	b.WriteString("# Result codes\n\nEvery rejection and failure carries a code in the header `X-Result-Code`. The header\n`X-Outcome` says whether the work has run. This page is written by `plantainrail codes --markdown`.\n\n")
	b.WriteString("| code | name | HTTP | outcome | message | what to do |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, c := range table {
		fmt.Fprintf(&b, "| %d | %s | %d | %s | %s | %s |\n", c.Code, c.Name, c.Status, c.Outcome, c.Message, c.Action)
	}
	return b.String()
}
