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

// Guards against tasks that could run and do not (LOST), run twice (TWICE) or after their cancellation (UNASKED) in the
// real processes, while connections break and processes end, freeze, move and start again.
func TestSoak(t *testing.T) {
	t.Parallel()
	var kinds []string
	if *soakKinds != "" {
		kinds = strings.Split(*soakKinds, ",")
	}
	soak(t, kinds)
}

// Guards against the same with faults that the series of TestSoak do not hold: an entry wakes and accepts sessions before it
// reads what it has missed, and the store carries out writes late.
func TestSoakOfWakesAndLateWrites(t *testing.T) {
	t.Parallel()
	soak(t, []string{"wake", "late-writes", "pause", "restart"})
}

// soak plays the series of the flags with the kinds of faults; without a kind, all usual ones.
func soak(t *testing.T, kinds []string) {
	t.Helper()
	program := *soakProgram
	if program == "" {
		program = filepath.Join(t.TempDir(), "plantainrail")
		output, err := exec.Command("go", "build", "-o", program, "../cmd/plantainrail").CombinedOutput()
		assert.NilError(t, err, "%s", output)
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
