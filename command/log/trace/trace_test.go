package trace_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/command/log/trace"
)

const log = `{"level":"info","at":"2026-01-19T01:31:01.100Z","event":"job offered","job":"0a1b","queue":"rota","answer":0}
{"level":"info","at":"2026-01-19T01:31:01.150Z","event":"task placed","task":"0a1b.0.0.0","run":1,"node":"vm-1"}
`

func TestTrace(t *testing.T) {
	file := filepath.Join(t.TempDir(), "entry.log")
	assert.NilError(t, os.WriteFile(file, []byte(log), 0o600))
	for _, c := range []struct {
		name, stdin string
		options     trace.Options
		// wantOutput lists parts of the expected output.
		wantOutput []string
		// wantErr is a part of the expected error; empty means none.
		wantErr string
	}{
		{
			"from a file", "",
			trace.Options{Job: "0a1b", Files: []string{file}},
			[]string{
				"01:31:01.100\t+0.000s\t" + file + "\tjob offered\tanswer=0 job=0a1b queue=rota",
				"01:31:01.150\t+0.050s\t" + file + "\ttask placed\tnode=vm-1 run=1 task=0a1b.0.0.0",
			},
			"",
		},
		{"from standard input, as JSON", log, trace.Options{Job: "0a1b", Files: []string{"-"}, AsJSON: true}, []string{`"job": "0a1b"`, `"event": "task placed"`}, ""},
		{"an unknown job", log, trace.Options{Job: "ffff", Files: []string{"-"}}, nil, "no log line mentions job ffff"},
		{"a missing file", "", trace.Options{Job: "0a1b", Files: []string{file + "x"}}, nil, "open a log"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			c.options.Factory = &factory.Factory{In: strings.NewReader(c.stdin), Out: &out, Err: &out, Context: context.Background()}
			err := trace.Run(&c.options)
			if c.wantErr != "" {
				assert.ErrorContains(t, err, c.wantErr)
				return
			}
			assert.NilError(t, err)
			for _, want := range c.wantOutput {
				assert.Assert(t, strings.Contains(out.String(), want), "%s is missing in\n%s", want, out.String())
			}
		})
	}
}
