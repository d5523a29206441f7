package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
	"gooseberrytide.example/gooseberrytide/internal/transport/adminhttp"
)

func limitsCommand() *cli.Command {
	return &cli.Command{
		Name:   "limits",
		Usage:  "list the limits that backend servers name, and the warm-ups of cold servers (--router is the metrics address)",
		Flags:  []cli.Flag{jsonFlag()},
		Action: listAction("limits", (*adminhttp.Client).Limits, renderLimits),
	}
}

// renderLimits prints the limits and warm-ups as a table. Only the owner of a server knows the use.
func renderLimits(w io.Writer, limits []admin.Limit) {
	if len(limits) == 0 {
		fmt.Fprintln(w, "no server names a limit or is cold")
		return
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVER\tSERVICE\tLIMIT/S\tIN FORCE/S\tUSED/S\tSINCE\tCONFIRMED\tOWNER\tWARM-UP")
	for _, l := range limits {
		used := "-"
		if l.Used != nil {
			used = fmt.Sprintf("%.1f", *l.Used)
		}
		named, warmup := fmt.Sprintf("%g", l.PerSecond), "-"
		if l.Unnamed {
			named = "-"
		}
		if l.Warmup != nil {
			warmup = fmt.Sprintf("%s left (%s)", seconds(l.Warmup.LeftMS), l.Warmup.Source)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%g\t%s\t%s ago\t%s ago\t%s\t%s\n", l.Server, l.Service, named, l.InForce, used,
			seconds(l.AgeMS), seconds(l.ConfirmedMS), l.Owner, warmup)
	}
	_ = table.Flush()
}
