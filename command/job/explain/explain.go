// Package explain implements the command "job explain".
package explain

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/command/job/show"
	"github.com/plantainrail/plantainrail/decider"
	"github.com/plantainrail/plantainrail/planner"
	"github.com/plantainrail/plantainrail/platform"
)

const (
	// trialID is the ID of the job while it is explained. No client's job has it: a job's ID has 16 digits.
	trialID = "explained"
	// callTimeout bounds the call to the entry, which may forward it.
	callTimeout = 5 * time.Second
	// maxFileBytes bounds the file, as the largest body of a submission by default.
	maxFileBytes = 256 << 10
)

// Options holds the command's dependencies and validated flags.
type Options struct {
	*factory.Factory
	// Job is the job to explain.
	Job    plantainrail.Workflow
	AsJSON bool
}

// Command holds the flags and arguments.
type Command struct {
	File  string `arg:"" name:"file" help:"JSON body of a submission, or - for standard input; without --queue the ID of a submitted batch job."`
	Queue string `help:"Name of the queue. --entry is then the address of an entry for agents and other entries."`
	JSON  bool   `name:"json" help:"Print JSON."`

	run     func(*Options) error
	showJob func(*show.Options) error
}

// New returns the command. A nil run means Run; tests may pass another function.
func New(run func(*Options) error) Command {
	if run == nil {
		run = Run
	}
	return Command{run: run, showJob: show.Run}
}

// Run reads the job and runs the command. Without a queue it shows a submitted batch job.
func (c *Command) Run(f *factory.Factory) error {
	if c.Queue == "" {
		if _, err := os.Stat(c.File); err == nil || c.File == "-" {
			return errors.New("--queue must name the queue of the job")
		}
		return c.showJob(&show.Options{Factory: f, ID: c.File, AsJSON: c.JSON})
	}
	raw, err := readFile(f, c.File)
	if err != nil {
		return err
	}
	job, err := platform.ParseJob(raw, trialID, plantainrail.Queue{Name: c.Queue})
	if err != nil {
		return errors.Wrap(err, c.File)
	}
	return c.run(&Options{Factory: f, Job: job, AsJSON: c.JSON})
}

// readFile returns the content of a file, or of standard input for "-".
func readFile(f *factory.Factory, name string) ([]byte, error) {
	in := f.In
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "read the job")
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	raw, err := io.ReadAll(io.LimitReader(in, maxFileBytes+1))
	if err == nil && len(raw) > maxFileBytes {
		err = errors.Errorf("%s is longer than %d bytes", name, maxFileBytes)
	}
	return raw, errors.Wrap(err, "read the job")
}

// Run prints where the job would be placed, and why.
func Run(o *Options) error {
	ctx, cancel := context.WithTimeout(o.Context, callTimeout)
	defer cancel()
	address := strings.TrimPrefix(o.Entry, "http://")
	explanation, err := decider.Explain(ctx, &http.Client{}, address, o.Job)
	if err != nil {
		return errors.Wrap(err, "explain the job; check --entry and --queue")
	}
	if o.AsJSON {
		return o.PrintJSON(explanation)
	}
	if err := printSummary(o.Out, explanation); err != nil {
		return err
	}
	return o.PrintRows([]string{"step", "vm", "tasks placed", "score", "against it"}, rows(explanation.Placement))
}

// printSummary prints the state on which the answer is based, the job's place in the order and a refusal.
func printSummary(out io.Writer, e decider.Explanation) error {
	p := e.Placement
	lines := []string{
		fmt.Sprintf("decided by %s in epoch %d, on %d VMs heard of in the last %d ms, jobs as of %d ms and operators' records as of %d ms ago",
			e.Owner, e.Epoch, p.VMs, p.VMsAgeMS, e.JobsAgeMS, e.OperatorsAgeMS),
		fmt.Sprintf("served after %d jobs with %d waiting tasks", p.JobsAhead, p.TasksAhead),
	}
	switch {
	case e.Refusal == nil:
		lines = append(lines, "would be accepted")
	case e.Refusal.RetryAfterMS > 0:
		lines = append(lines, fmt.Sprintf("would be refused: %s; Retry-After %d ms", e.Refusal.Reason, e.Refusal.RetryAfterMS))
	default:
		lines = append(lines, "would be refused for good: "+e.Refusal.Reason)
	}
	if p.StartsInMS > 0 {
		lines = append(lines, fmt.Sprintf("not due for %d ms; the steps are explained as if it were", p.StartsInMS))
	}
	for _, s := range p.Steps {
		lines = append(lines, fmt.Sprintf("step %d: %d of %d tasks would be placed now", s.Step, s.Placed, s.Tasks))
	}
	if p.OtherSteps > 0 {
		lines = append(lines, fmt.Sprintf("%d other steps wait for these, or are not listed", p.OtherSteps))
	}
	_, err := fmt.Fprintln(out, strings.Join(lines, "\n"))
	return errors.Wrap(err, "write")
}

// rows returns a row for each step and VM.
func rows(e planner.Explanation) [][]string {
	var out [][]string
	for _, s := range e.Steps {
		for _, v := range s.VMs {
			against := []string{}
			if v.Fact != "" {
				against = append(against, string(v.Fact))
			}
			for _, judgement := range v.Judgements {
				against = append(against, string(judgement))
			}
			out = append(out, []string{
				strconv.Itoa(s.Step), v.Node, strconv.Itoa(v.Placed), strconv.FormatFloat(v.Score, 'f', 2, 64), strings.Join(against, " "),
			})
		}
	}
	return out
}
