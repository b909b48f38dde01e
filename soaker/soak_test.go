package soaker_test

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/soaker"
)

var (
	soakSeed    = flag.Uint64("soak.seed", 1, "first seed of TestSoak")
	soakSeeds   = flag.Uint64("soak.seeds", 1, "number of seeds of TestSoak")
	soakEntries = flag.Int("soak.entries", 3, "number of entries in TestSoak")
	soakAgents  = flag.Int("soak.agents", 9, "number of agents in TestSoak")
	soakBursts  = flag.Int("soak.bursts", 3, "number of bursts of faults in TestSoak")
	soakKinds   = flag.String("soak.kinds", "", "kinds of faults in TestSoak, joined by commas: names of faultKinds; empty for all")
	soakKeep    = flag.Bool("soak.keep", false, "keep the logs of all seeds of TestSoak")
	soakProgram = flag.String("soak.program", "", "path of the program of TestSoak; empty for one that is built from the present code")
)

// maxPrinted is the number of findings of a seed that TestSoak prints. All are in the record.
const maxPrinted = 10

// Guards against tasks that could run and do not (LOST) or run twice (TWICE) in the real processes, while
// connections break and processes end, freeze, move and start again.
func TestSoak(t *testing.T) {
	t.Parallel()
	program := *soakProgram
	if program == "" {
		program = filepath.Join(t.TempDir(), "plantainrail")
		output, err := exec.Command("go", "build", "-o", program, "../cmd/plantainrail").CombinedOutput()
		assert.NilError(t, err, "%s", output)
	}
	var kinds []string
	if *soakKinds != "" {
		kinds = strings.Split(*soakKinds, ",")
	}
	for seed := *soakSeed; seed < *soakSeed+*soakSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			// The folder is kept if a rule is broken.
			folder, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
			assert.NilError(t, err)
			began := time.Now()
			report, err := soaker.Run(t.Context(), soaker.Options{
				Program: program, Folder: folder, Seed: seed, Entries: *soakEntries, Agents: *soakAgents, Bursts: *soakBursts, Kinds: kinds,
			})
			assert.NilError(t, err)
			t.Logf("seed %d: %d jobs, %d faults, longest wait %.1f s, longest calm wait %.1f s, %d findings, took %.0f s",
				seed, report.Accepted, report.Faults, report.LongestWait.Seconds(), report.LongestCalmWait.Seconds(), len(report.Findings), time.Since(began).Seconds())
			for i, finding := range report.Findings {
				if i == maxPrinted {
					t.Errorf("seed %d: %d more findings, in the record", seed, len(report.Findings)-i)
					break
				}
				t.Error(finding)
			}
			if t.Failed() || *soakKeep {
				t.Log("logs are in ", folder)
				return
			}
			assert.NilError(t, os.RemoveAll(folder))
		})
	}
}
