package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
	"gooseberrytide.example/gooseberrytide/internal/transport/adminhttp"
)

func suspectsCommand() *cli.Command {
	return &cli.Command{
		Name:    "suspects",
		Aliases: []string{"parts"},
		Usage:   "list the requests and parts of prompts that crash backend servers (--router is the metrics address)",
		Flags:   []cli.Flag{jsonFlag()},
		Action:  listAction("suspects", (*adminhttp.Client).Suspects, renderSuspects),
		Commands: []*cli.Command{{
			Name:      "lift",
			Usage:     "end the suspicion of a part or a request on all routers",
			ArgsUsage: "ID",
			Action: func(ctx context.Context, c *cli.Command) error {
				id := c.Args().First()
				if id == "" {
					return errors.New("suspects lift: the ID of a part or a request is required")
				}
				client, err := newClient(c)
				if err != nil {
					return err
				}
				if err := client.LiftSuspect(ctx, id); err != nil {
					return errors.Wrap(err, "suspects lift")
				}
				printf(c, "%s lifted\n", id)
				return nil
			},
		}},
	}
}

// renderSuspects prints the parts and requests as a table.
func renderSuspects(w io.Writer, suspects []admin.Suspect) {
	if len(suspects) == 0 {
		fmt.Fprintln(w, "no parts or requests are suspected or blocked")
		return
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ID\tSTATE\tSERVICE\tCRASHES\tFIRST\tTRIED AGAIN IN\tTEAMS\tSERVERS\tPATH")
	for _, s := range suspects {
		retrial, path := "-", "-"
		if s.RetrialInMS > 0 {
			retrial = seconds(s.RetrialInMS)
		}
		if s.Path != "" {
			path = s.Path
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s ago\t%s\t%s\t%s\t%s\n", s.ID, s.State, s.Service, s.Crashes,
			seconds(s.FirstCrashMS), retrial, strings.Join(s.Teams, ","), joinLimited(s.Servers, 5), path)
	}
	_ = table.Flush()
}

func seconds(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(time.Second).String()
}
