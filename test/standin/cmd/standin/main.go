// Command standin runs stand-ins of the systems that surround the fleet, for tests and demonstrations.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// commands holds the subcommands; each file adds its own.
var commands []*cli.Command

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{Name: "standin", Usage: "run a stand-in", Commands: commands}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
