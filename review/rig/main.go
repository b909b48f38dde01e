// Command rig runs the scripted cases of the review. It starts the project's own programs
// as separate processes on loopback addresses, with stand-ins for the store, the workers and
// the clients in its own process, and checks one rule of the users' pages.
//
// It exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
	"sort"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// Values of the variable TROUBLE: all disruptions, the default, or none. With troubleRestart a case
// restarts processes as with all, but does nothing else to them.
const (
	troubleAll     = "1"
	troubleNone    = "0"
	troubleRestart = "restart"
)

// maxDuration bounds a case, so that it ends within the 120 seconds that it may take.
const maxDuration = 110 * time.Second

// caseFunc runs a case, with or without its disruption. It returns the ways in which the
// rule was broken, or an error if the case could not run.
type caseFunc func(f *fleet, trouble string) (broken []string, err error)

var cases = map[string]caseFunc{
	"delayed-heartbeat": delayedHeartbeat,
	"new-replica":       newReplica,
	"large-job":         largeJob,
	"full-store":        fullStore,
	"silent-jobs":       silentJobs,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD; cases:", names)
		os.Exit(exitFailed)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run runs a case and writes its record to the file at the path.
func run(c caseFunc, recordPath string) int {
	file, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = file.Close() }()
	f, err := newFleet(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer f.close()
	type result struct {
		broken []string
		err    error
	}
	results := make(chan result, 1)
	trouble := troubleAll
	if set := os.Getenv("TROUBLE"); set != "" {
		trouble = set
	}
	f.note("case starts, trouble: %s", trouble)
	go func() {
		broken, err := c(f, trouble)
		results <- result{broken, err}
	}()
	select {
	case r := <-results:
		if r.err != nil {
			f.note("the case could not run: %v", r.err)
			return exitFailed
		}
		for _, text := range r.broken {
			f.note("BROKEN: %s", text)
		}
		f.note("broken %d times", len(r.broken))
		if len(r.broken) > 0 {
			return exitBroken
		}
		return exitHeld
	case <-time.After(maxDuration):
		f.note("the case took too long")
		return exitFailed
	}
}
