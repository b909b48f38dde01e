package root

import (
	"bytes"
	"context"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/command/codes"
	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/command/settings/keys"
)

// run runs a command line and returns its exit code and outputs. Its standard input
// is a table with an invalid weight.
func run(args ...string) (exit int, out, stderrText string) {
	var stdout, stderr bytes.Buffer
	f := &factory.Factory{In: strings.NewReader("kind,weight\na,0\n"), Out: &stdout, Err: &stderr, Context: context.Background()}
	exit = Run(f, args)
	return exit, stdout.String(), stderr.String()
}

func TestExitCodes(t *testing.T) {
	cases := []struct {
		name     string
		args     []string
		wantExit int
		// wantStderr is a part of the expected output on standard error.
		wantStderr string
	}{
		{"unknown command", []string{"fly"}, factory.ExitUsage, "see plantainrail --help"},
		{"missing flag", []string{"table", "publish", "-"}, factory.ExitUsage, "--base"},
		{"flag out of range", []string{"table", "publish", "-", "--base=-1"}, factory.ExitUsage, "0 or more"},
		{"nothing to cancel", []string{"job", "cancel"}, factory.ExitUsage, "name a job"},
		{"unknown scenario", []string{"bench", "--scenario", "x"}, factory.ExitUsage, "--list"},
		{"bad cell", []string{"table", "check", "-"}, factory.ExitFailure, "row 1, column weight"},
		{"no entry", []string{"--entry", "127.0.0.1:1", "zone", "show"}, factory.ExitFailure, "check --entry"},
		{"explained file is missing", []string{"job", "explain", "missing.json", "--queue", "rota"}, factory.ExitFailure, "no such file"},
		{"explained job is no JSON", []string{"job", "explain", "-", "--queue", "rota"}, factory.ExitFailure, "the body is no job"},
		{"explained job without a queue", []string{"job", "explain", "-"}, factory.ExitFailure, "--queue must name the queue"},
		{"help", []string{"--help"}, factory.ExitOK, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			exit, _, stderr := run(c.args...)
			assert.Equal(t, exit, c.wantExit, stderr)
			assert.Assert(t, strings.Contains(stderr, c.wantStderr), stderr)
		})
	}
}

// The output is not a terminal here, so a table must be printed without a header and
// with one tab between the cells, for scripts.
func TestTablesAreSplitByTabsWhenPiped(t *testing.T) {
	exit, out, _ := run("codes")
	assert.Equal(t, exit, factory.ExitOK)
	assert.Equal(t, strings.Count(out, "\n"), len(plantainrail.CodeTable()))
	assert.Assert(t, strings.HasPrefix(out, "1001\tbad_request\t400\tnot_run\t"), out)
}

// TestPagesAreUpToDate checks that the generated pages in docs are those that the
// commands would write now.
func TestPagesAreUpToDate(t *testing.T) {
	for path, want := range map[string]string{
		"../../docs/CODES.md": codes.Markdown(plantainrail.CodeTable()), "../../docs/SETTINGS.md": keys.Markdown(),
	} {
		raw, err := os.ReadFile(path)
		assert.NilError(t, err)
		assert.Equal(t, string(raw), want)
	}
}
