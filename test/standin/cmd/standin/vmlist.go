package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"gooseberrytide.example/gooseberrytide/test/standin/vmlist"
)

func init() {
	commands = append(commands, &cli.Command{
		Name:  "vmlist",
		Usage: "run the list of entry VMs",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "file", Usage: "JSON `FILE` with the initial list"},
			&cli.DurationFlag{Name: "lag", Usage: "`TIME` until a change becomes visible"},
		},
		Action: runVMList,
	})
}

func runVMList(ctx context.Context, c *cli.Command) error {
	var list vmlist.List
	if file := c.String("file"); file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return errors.Wrap(err, "read list")
		}
		if err := json.Unmarshal(data, &list); err != nil {
			return errors.Wrapf(err, "decode %s", file)
		}
	}
	server := vmlist.New(vmlist.Options{VMs: list.VMs, Lag: c.Duration("lag")})
	return serve(ctx, c.String("listen"), server)
}
