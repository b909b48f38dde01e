// Command probe plays the scripted cases of the third review. It starts the project's own programs as separate
// processes on loopback addresses, with stand-ins for the store, the minions and the clients in its own process.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitFailed
)

// cases holds the cases by name. A case reports whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){
	"memory":      playMemory,
	"settings":    playSettings,
	"wake":        playWake,
	"crashes":     playCrashes,
	"cancel":      playCancel,
	"checkpoints": playCheckpoints,
}

func main() { os.Exit(run()) }

func run() int {
	const arguments = 3
	if len(os.Args) != arguments || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: probe CASE FOLDER; TROUBLE=0 leaves out the disruption")
		return exitFailed
	}
	f, err := newFleet(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer f.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		f.close()
		os.Exit(exitFailed)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	f.note("case %s, trouble %t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](f, trouble)
	switch {
	case err != nil:
		f.note("the case could not run: %v", err)
		return exitFailed
	case broken:
		f.note("the rule was broken")
		return exitBroken
	}
	f.note("the rule held")
	return exitHeld
}
