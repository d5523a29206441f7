package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
)

func limitsCommand() *cli.Command {
	return &cli.Command{
		Name:  "limits",
		Usage: "list the limits of requests a second that backend servers name (--router is the metrics address)",
		Flags: []cli.Flag{jsonFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := newClient(c)
			if err != nil {
				return err
			}
			limits, err := client.Limits(ctx)
			if err != nil {
				return errors.Wrap(err, "limits")
			}
			if c.Bool("json") {
				return json.NewEncoder(c.Root().Writer).Encode(limits)
			}
			renderLimits(c.Root().Writer, limits)
			return nil
		},
	}
}

// renderLimits prints the limits as a table. Only the owner of a server knows the use.
func renderLimits(w io.Writer, limits []admin.Limit) {
	if len(limits) == 0 {
		fmt.Fprintln(w, "no server names a limit")
		return
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVER\tSERVICE\tLIMIT/S\tIN FORCE/S\tUSED/S\tSINCE\tCONFIRMED\tOWNER")
	for _, l := range limits {
		used := "-"
		if l.Used != nil {
			used = fmt.Sprintf("%.1f", *l.Used)
		}
		fmt.Fprintf(table, "%s\t%s\t%g\t%g\t%s\t%s ago\t%s ago\t%s\n", l.Server, l.Service, l.PerSecond, l.InForce, used,
			seconds(l.AgeMS), seconds(l.ConfirmedMS), l.Owner)
	}
	_ = table.Flush()
}
