// Package explain implements the command "request explain".
package explain

import (
	"fmt"
	"strconv"
	"time"

	"github.com/plantainrail/plantainrail/command/factory"
)

// Options holds the command's dependencies and validated flags.
type Options struct {
	*factory.Factory
	ID     string
	AsJSON bool
}

// Command holds the flags and arguments.
type Command struct {
	ID   string `arg:"" name:"id" help:"X-Request-Id header of the response."`
	JSON bool   `name:"json" help:"Print the trace as JSON."`

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
	return c.run(&Options{Factory: f, ID: c.ID, AsJSON: c.JSON})
}

// Run prints the events of a request in order. Only the entry that handled the request
// has its trace, and only while the request is among the entry's latest ones.
func Run(o *Options) error {
	trace, err := o.Caller().Request(o.Context, o.ID)
	if err != nil {
		return err
	}
	if o.AsJSON {
		return o.PrintJSON(trace)
	}
	fmt.Fprintf(o.Err, "%s %s, kind %s, deadline %s, table revision %d\n", trace.Method, trace.Path, trace.Kind, trace.Deadline.Format(time.RFC3339Nano), trace.Revision)
	var rows [][]string
	for _, e := range trace.Events {
		code := ""
		if e.Code != 0 {
			code = strconv.Itoa(int(e.Code))
		}
		rows = append(rows, []string{e.At.Format(time.RFC3339Nano), e.Event, e.Target, code, e.Detail})
	}
	return o.PrintRows([]string{"time", "event", "target", "code", "detail"}, rows)
}
