// Package explain is the command "request explain".
package explain

import (
	"fmt"
	"strconv"
	"time"

	"github.com/plantainrail/plantainrail/command/factory"
)

// Options are what the command needs to run.
type Options struct {
	*factory.Factory
	ID     string
	AsJSON bool
}

// Command holds the flags.
type Command struct {
	ID   string `arg:"" name:"id" help:"The X-Request-Id of the answer."`
	JSON bool   `name:"json" help:"Write the account as JSON."`

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
	return c.run(&Options{Factory: f, ID: c.ID, AsJSON: c.JSON})
}

// Run tells what became of a request, step by step.
func Run(o *Options) error {
	account, err := o.Caller().Request(o.Context, o.ID)
	if err != nil {
		return err
	}
	if o.AsJSON {
		return o.JSON(account)
	}
	fmt.Fprintf(o.Err, "%s %s, kind %s, deadline %s, table revision %d\n", account.Method, account.Path, account.Kind, account.Deadline.Format(time.RFC3339Nano), account.Revision)
	var rows [][]string
	for _, e := range account.Events {
		code := ""
		if e.Code != 0 {
			code = strconv.Itoa(int(e.Code))
		}
		rows = append(rows, []string{e.At.Format(time.RFC3339Nano), e.Event, e.Target, code, e.Detail})
	}
	return o.Table([]string{"time", "event", "target", "code", "detail"}, rows)
}
