package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"gooseberrytide.example/gooseberrytide/test/standin/service"
)

func init() {
	commands = append(commands, &cli.Command{
		Name:   "service",
		Usage:  "run a plain service",
		Flags:  serviceFlags(),
		Action: runService,
	})
}

func serviceFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address to listen on"},
		&cli.DurationFlag{Name: "latency", Usage: "duration of a call"},
		&cli.IntFlag{Name: "concurrency", Usage: "calls that run at once"},
		&cli.BoolFlag{Name: "deduplicate", Usage: "run calls with the same Idempotency-Key once"},
		&cli.BoolFlag{Name: "check-fencing", Usage: "refuse calls with an old fencing number"},
	}
}

func runService(ctx context.Context, c *cli.Command) error {
	return serveBackend(ctx, c.String("listen"), service.New(service.Options{
		Latency:      c.Duration("latency"),
		Concurrency:  c.Int("concurrency"),
		Deduplicate:  c.Bool("deduplicate"),
		CheckFencing: c.Bool("check-fencing"),
	}))
}
