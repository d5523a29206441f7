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

func evacuationsCommand() *cli.Command {
	return &cli.Command{
		Name:  "evacuations",
		Usage: "list the evacuated failure domains (--router is the metrics address)",
		Flags: []cli.Flag{jsonFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := newClient(c)
			if err != nil {
				return err
			}
			list, err := client.Evacuations(ctx)
			if err != nil {
				return errors.Wrap(err, "evacuations")
			}
			if c.Bool("json") {
				return json.NewEncoder(c.Root().Writer).Encode(list)
			}
			renderEvacuations(c.Root().Writer, list)
			return nil
		},
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
