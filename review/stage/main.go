// Command stage runs the cases of the second review that have a script: it starts the project's own
// programs as the deploy file does, beside stand-ins for the store, the minions and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"
)

// scenario returns whether the rule was broken.
type scenario func(f *fleet, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"filler":  filler,
	"leave":   leave,
	"crash":   crashLoop,
	"late":    late,
	"restart": restart,
	"stale":   stale,
	"large":   large,
}

// The exit codes of a script.
const (
	held = iota
	broke
	unable
)

func main() { os.Exit(runScenario()) }

func runScenario() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		var names []string
		for name := range scenarios {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintf(os.Stderr, "usage: stage %v RECORD\n", names)
		return unable
	}
	record, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	f, err := newFleet(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer f.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		f.close()
		os.Exit(unable)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	record.add("scenario %s, trouble %v", os.Args[1], trouble)
	broken, err := scenarios[os.Args[1]](f, trouble)
	switch {
	case err != nil:
		record.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return unable
	case broken:
		record.add("the rule was broken")
		return broke
	}
	record.add("the rule held")
	return held
}
