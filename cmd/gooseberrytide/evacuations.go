package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
	"gooseberrytide.example/gooseberrytide/internal/transport/adminhttp"
)

func evacuationsCommand() *cli.Command {
	return &cli.Command{
		Name:   "evacuations",
		Usage:  "list the evacuated failure domains (--router is the metrics address)",
		Flags:  []cli.Flag{jsonFlag()},
		Action: listAction("evacuations", (*adminhttp.Client).Evacuations, renderEvacuations),
	}
}

// renderEvacuations prints the evacuated failure domains as a table.
func renderEvacuations(w io.Writer, list []admin.Evacuation) {
	if len(list) == 0 {
		fmt.Fprintln(w, "no failure domain is evacuated")
		return
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "DOMAIN\tSERVERS\tSINCE")
	for _, e := range list {
		fmt.Fprintf(table, "%s\t%d\t%s ago\n", e.Domain, e.Servers, seconds(e.AgeMS))
	}
	_ = table.Flush()
}
