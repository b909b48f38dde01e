// Command plantainrail schedules latency-critical and batch work on the same VMs.
// Package root implements its command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/command/root"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(root.Run(factory.New(ctx), os.Args[1:]))
}
