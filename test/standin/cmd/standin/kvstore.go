package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"gooseberrytide.example/gooseberrytide/test/standin/kvstore"
)

func init() {
	commands = append(commands, &cli.Command{
		Name:  "kvstore",
		Usage: "run a key-value service (etcd v3 JSON gateway subset)",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.IntFlag{
				Name: "writes", Value: kvstore.DefaultWritesPerSecond, Usage: "maximum `WRITES` per second; negative: no limit",
			},
			&cli.IntFlag{
				Name: "reads", Value: kvstore.DefaultReadsPerSecond, Usage: "maximum `READS` per second; negative: no limit",
			},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			options := kvstore.Options{WritesPerSecond: c.Int("writes"), ReadsPerSecond: c.Int("reads")}
			return serve(ctx, c.String("listen"), kvstore.New(options))
		},
	})
}
