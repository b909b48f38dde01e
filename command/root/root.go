// Package root implements the program's command line, in which most commands are a
// noun followed by a verb. Each command is a package under command.
package root

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"

	"github.com/alecthomas/kong"

	"github.com/plantainrail/plantainrail/caller"
	"github.com/plantainrail/plantainrail/command/agent"
	"github.com/plantainrail/plantainrail/command/bench"
	"github.com/plantainrail/plantainrail/command/chart"
	"github.com/plantainrail/plantainrail/command/codes"
	"github.com/plantainrail/plantainrail/command/dev"
	"github.com/plantainrail/plantainrail/command/entry/list"
	"github.com/plantainrail/plantainrail/command/entry/serve"
	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/command/job/cancel"
	jobexplain "github.com/plantainrail/plantainrail/command/job/explain"
	joblist "github.com/plantainrail/plantainrail/command/job/list"
	jobshow "github.com/plantainrail/plantainrail/command/job/show"
	"github.com/plantainrail/plantainrail/command/job/submit"
	"github.com/plantainrail/plantainrail/command/job/wait"
	"github.com/plantainrail/plantainrail/command/log/trace"
	nodeagent "github.com/plantainrail/plantainrail/command/node/agent"
	nodeentry "github.com/plantainrail/plantainrail/command/node/entry"
	"github.com/plantainrail/plantainrail/command/report/burn"
	"github.com/plantainrail/plantainrail/command/request/explain"
	settingscheck "github.com/plantainrail/plantainrail/command/settings/check"
	"github.com/plantainrail/plantainrail/command/settings/keys"
	"github.com/plantainrail/plantainrail/command/standin/recorder"
	"github.com/plantainrail/plantainrail/command/standin/responder"
	"github.com/plantainrail/plantainrail/command/standin/worker"
	tablecheck "github.com/plantainrail/plantainrail/command/table/check"
	"github.com/plantainrail/plantainrail/command/table/diff"
	"github.com/plantainrail/plantainrail/command/table/get"
	"github.com/plantainrail/plantainrail/command/table/history"
	"github.com/plantainrail/plantainrail/command/table/publish"
	"github.com/plantainrail/plantainrail/command/table/revert"
	"github.com/plantainrail/plantainrail/command/target/leave"
	targetlist "github.com/plantainrail/plantainrail/command/target/list"
	"github.com/plantainrail/plantainrail/command/zone/set"
	zoneshow "github.com/plantainrail/plantainrail/command/zone/show"
)

// CLI defines the global flags and all commands.
type CLI struct {
	Entry  string `env:"PLANTAINRAIL_ENTRY" default:"127.0.0.1:7400" help:"Address or base URL of an entry." group:"Operators"`
	Token  string `env:"PLANTAINRAIL_TOKEN" help:"Token for operators' calls." group:"Operators"`
	Editor string `env:"PLANTAINRAIL_EDITOR" help:"Name recorded with a change; the login name by default." group:"Operators"`

	// EntryCommands is the command "entry". The name Entry is taken by the flag.
	EntryCommands struct {
		Serve serve.Command `cmd:"" default:"withargs" help:"Run an entry that routes requests and places batch tasks."`
		List  list.Command  `cmd:"" help:"List the registered entries."`
	} `cmd:"" name:"entry" help:"Run and list entries, which receive requests, serve operators and place tasks."`
	Agent agent.Command `cmd:"" help:"Run the agent of a VM, which manages its targets and tasks."`
	Node  struct {
		Entry nodeentry.Command `cmd:"" help:"Run an entry that schedules workflows on the platform's workers."`
		Agent nodeagent.Command `cmd:"" help:"Run the agent of a VM and its worker."`
	} `cmd:"" help:"Run a process on the platform, configured by its settings file."`
	Standin struct {
		Log    recorder.Command  `cmd:"" help:"Run an in-memory log service."`
		Target responder.Command `cmd:"" help:"Run a target that announces itself to its agent."`
		Worker worker.Command    `cmd:"" help:"Run a worker runtime whose tasks only wait."`
	} `cmd:"" help:"Run simple stand-ins for the platform's services."`
	Dev   dev.Command   `cmd:"" help:"Run a small cluster under load in one process."`
	Bench bench.Command `cmd:"" help:"Compare the scheduler with a naive baseline."`
	Table struct {
		Get     get.Command        `cmd:"" help:"Print the current table as CSV."`
		Check   tablecheck.Command `cmd:"" help:"Check a table without publishing it."`
		Diff    diff.Command       `cmd:"" help:"Show what a file would change."`
		Publish publish.Command    `cmd:"" help:"Publish a table."`
		History history.Command    `cmd:"" help:"List the stored revisions."`
		Revert  revert.Command     `cmd:"" name:"revert-to" help:"Publish the content of an earlier revision again."`
	} `cmd:"" help:"Manage the table of kinds of work."`
	Target struct {
		List  targetlist.Command `cmd:"" help:"List the targets."`
		Leave leave.Command      `cmd:"" help:"Stop sending new work to a target."`
	} `cmd:"" help:"Manage targets, the service instances that answer requests."`
	Request struct {
		Explain explain.Command `cmd:"" help:"Show what happened to a request."`
	} `cmd:"" help:"Inspect callers' requests."`
	Report struct {
		Burn burn.Command `cmd:"" help:"Show each kind's error budget burn rate across all entries."`
	} `cmd:"" help:"Reports that combine all entries."`
	Zone struct {
		Out  set.Command      `cmd:"" help:"Take an availability zone out of service."`
		In   set.Command      `cmd:"" help:"Return an availability zone to service."`
		Show zoneshow.Command `cmd:"" help:"List the availability zones."`
	} `cmd:"" help:"Manage availability zones."`
	Job struct {
		Submit  submit.Command     `cmd:"" help:"Submit a job of batch tasks."`
		List    joblist.Command    `cmd:"" help:"List the jobs."`
		Show    jobshow.Command    `cmd:"" help:"Show a job's tasks."`
		Explain jobexplain.Command `cmd:"" help:"Show where a job of steps would be placed, or why each task of a batch job is where it is."`
		Cancel  cancel.Command     `cmd:"" help:"Cancel jobs."`
		Wait    wait.Command       `cmd:"" help:"Wait until a job has ended."`
	} `cmd:"" help:"Manage batch jobs."`
	Log struct {
		Trace trace.Command `cmd:"" help:"Trace one job through the logs of several processes."`
	} `cmd:"" help:"Inspect logs of the processes on the platform."`
	Settings struct {
		Check settingscheck.Command `cmd:"" help:"Check a settings file."`
		Keys  keys.Command          `cmd:"" help:"List the settings keys."`
	} `cmd:"" help:"Inspect settings of entries and agents."`
	Codes codes.Command `cmd:"" help:"List the result codes."`
	Chart chart.Command `cmd:"" help:"Print a state chart as a diagram."`
}

// New returns the command line with all commands.
func New() *CLI {
	l := &CLI{
		Agent: agent.New(nil), Dev: dev.New(nil), Bench: bench.New(nil), Codes: codes.New(nil), Chart: chart.New(nil),
	}
	l.Node.Entry, l.Node.Agent = nodeentry.New(nil), nodeagent.New(nil)
	l.EntryCommands.Serve, l.EntryCommands.List = serve.New(nil), list.New(nil)
	l.Standin.Log, l.Standin.Target, l.Standin.Worker = recorder.New(nil), responder.New(nil), worker.New(nil)
	l.Table.Get, l.Table.Check, l.Table.Diff = get.New(nil), tablecheck.New(nil), diff.New(nil)
	l.Table.Publish, l.Table.History, l.Table.Revert = publish.New(nil), history.New(nil), revert.New(nil)
	l.Target.List, l.Target.Leave = targetlist.New(nil), leave.New(nil)
	l.Request.Explain, l.Report.Burn = explain.New(nil), burn.New(nil)
	l.Zone.Out, l.Zone.In, l.Zone.Show = set.New(true, nil), set.New(false, nil), zoneshow.New(nil)
	l.Job.Submit, l.Job.List, l.Job.Show = submit.New(nil), joblist.New(nil), jobshow.New(nil)
	l.Job.Explain, l.Job.Cancel, l.Job.Wait = jobexplain.New(nil), cancel.New(nil), wait.New(nil)
	l.Log.Trace = trace.New(nil)
	l.Settings.Check, l.Settings.Keys = settingscheck.New(nil), keys.New(nil)
	return l
}

const description = `A scheduler for latency-critical and batch work on the same VMs.

Examples:
  plantainrail dev --for 15s
  plantainrail table get > table.csv
  plantainrail table publish table.csv --base 3
  plantainrail zone out aarhus-1
  plantainrail job submit --kind rota-rebuild --team rota --tasks 7`

// Run parses the arguments, runs the command and returns the exit code.
func Run(f *factory.Factory, args []string) int {
	cli := New()
	// helpExit is the exit code with which kong wants to end the program after it has
	// printed a help text; -1 means that it has printed none.
	helpExit := -1
	parser, err := kong.New(
		cli, kong.Name("plantainrail"), kong.Description(description), kong.Writers(f.Out, f.Err),
		kong.Exit(func(code int) { helpExit = code }), kong.UsageOnError(), kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	if err != nil {
		fmt.Fprintln(f.Err, err)
		return factory.ExitFailure
	}
	command, err := parser.Parse(args)
	if helpExit >= 0 {
		return helpExit
	}
	if err != nil {
		fmt.Fprintf(f.Err, "plantainrail: %v; see plantainrail --help\n", err)
		return factory.ExitUsage
	}
	f.Entry, f.Token, f.Editor = cli.Entry, cli.Token, editorName(cli.Editor)
	return exitCode(f.Context, f.Err, command.Run(f))
}

// editorName returns the configured editor, or else the login name or user ID.
func editorName(configured string) string {
	if configured != "" {
		return configured
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return fmt.Sprintf("user %d", os.Getuid())
}

// exitCode prints an error, if there is one, and returns the exit code for it. After
// an interruption it prints that instead, since errors are then a consequence. The
// error of an entry is printed like any other.
func exitCode(ctx context.Context, out io.Writer, err error) int {
	var usage factory.UsageError
	var failure *caller.APIError
	switch {
	case err == nil:
		return factory.ExitOK
	case ctx.Err() != nil:
		fmt.Fprintln(out, "plantainrail: interrupted")
		return factory.ExitCancel
	case errors.As(err, &usage):
		fmt.Fprintf(out, "plantainrail: %v; see --help\n", err)
		return factory.ExitUsage
	case errors.As(err, &failure):
		fmt.Fprintf(out, "plantainrail: %v\n", err)
		return factory.ExitFailure
	}
	fmt.Fprintf(out, "plantainrail: %v\n", err)
	return factory.ExitFailure
}
