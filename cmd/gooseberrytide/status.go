package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/transport/adminhttp"
)

// Limits on the rows of each section, so that the status of a fleet of any size fits on one screen.
const (
	maxProblems = 12
	maxMembers  = 10
	maxShards   = 10
)

func jsonFlag() cli.Flag { return &cli.BoolFlag{Name: "json", Usage: "print JSON"} }

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the fleet on one screen, problems first",
		Flags: []cli.Flag{jsonFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := newClient(c)
			if err != nil {
				return err
			}
			status, err := client.Status(ctx)
			if err != nil {
				return err
			}
			status.Problems = append(status.Problems, storeProblems(ctx, client, status.Self)...)
			if c.Bool("json") {
				return json.NewEncoder(c.Root().Writer).Encode(status)
			}
			renderStatus(c.Root().Writer, status)
			return nil
		},
	}
}

// storeCheckTimeout bounds the check of the key-value service, so that the command ends if the service hangs.
const storeCheckTimeout = 5 * time.Second

// storeProblems returns a problem if the router does not reach the key-value service. The router's own status does not
// contain it, because the router works without the service.
func storeProblems(ctx context.Context, client *adminhttp.Client, self ident.RouterID) []string {
	ctx, cancel := context.WithTimeout(ctx, storeCheckTimeout)
	defer cancel()
	config, err := client.Config(ctx)
	if err == nil && !config.FromSnapshot {
		return nil
	}
	return []string{fmt.Sprintf("router %s does not reach the key-value service", self)}
}

// renderStatus prints the problems, a summary, and tables of the members and shards with faulty rows first.
func renderStatus(w io.Writer, s admin.Status) {
	renderProblems(w, problems(s))
	alive := 0
	for _, m := range s.Members {
		if m.State == admin.StateAlive {
			alive++
		}
	}
	fmt.Fprintf(w, "\nrouter %s  generation %d  serving %s  routers %d/%d alive  shards %d\n",
		s.Self, s.Generation, yesNo(s.Serving), alive, len(s.Members), len(s.Shards))
	if len(s.Drained) > 0 {
		fmt.Fprintf(w, "drained: %s\n", joinLimited(s.Drained, maxProblems))
	}
	renderMembers(w, s)
	renderShards(w, s)
}

// problems returns the problems that the router reports and those that follow from the rest of its status, without
// duplicates.
func problems(s admin.Status) []string {
	var list []string
	if s.Generation == 0 {
		list = append(list, fmt.Sprintf("router %s has no configuration; if none was published, use apply", s.Self))
	}
	if !s.Serving {
		list = append(list, fmt.Sprintf("router %s refuses new callers", s.Self))
	}
	list = append(list, s.Problems...)
	for _, m := range s.Members {
		if fault := memberFault(m, s.Generation); fault != "" {
			list = append(list, fmt.Sprintf("router %s %s", m.ID, fault))
		}
	}
	for _, shard := range s.Shards {
		for _, fault := range shardFaults(shard, s.Owners) {
			list = append(list, fmt.Sprintf("shard %s %s", shard.Shard, fault))
		}
	}
	return withoutDuplicates(list)
}

func withoutDuplicates(list []string) []string {
	seen := make(map[string]bool, len(list))
	var kept []string
	for _, text := range list {
		if !seen[text] {
			seen[text] = true
			kept = append(kept, text)
		}
	}
	return kept
}

func memberFault(m admin.Member, gen ident.Generation) string {
	switch {
	case m.State != admin.StateAlive:
		return "is " + m.State
	case m.Generation < gen:
		return fmt.Sprintf("has generation %d, not %d", m.Generation, gen)
	}
	return ""
}

// shardFaults returns descriptions of all faults of a shard.
func shardFaults(shard admin.ShardStatus, owners map[string]ident.RouterID) []string {
	var faults []string
	if owners[shard.Shard] == "" {
		faults = append(faults, "has no dispatcher")
	}
	if shard.Bound > 0 && shard.Gap > shard.Bound {
		faults = append(faults, fmt.Sprintf("has a service gap of %.0f, above the bound of %.0f", shard.Gap, shard.Bound))
	}
	if shard.Queued > 0 && shard.Limit == 0 {
		faults = append(faults, fmt.Sprintf("has %d waiting requests and no backend server to run them", shard.Queued))
	}
	return faults
}

func renderProblems(w io.Writer, list []string) {
	if len(list) == 0 {
		fmt.Fprintln(w, "no problems")
		return
	}
	fmt.Fprintf(w, "PROBLEMS (%d)\n", len(list))
	for i, text := range list {
		if i == maxProblems {
			fmt.Fprintf(w, "  and %d more\n", len(list)-i)
			return
		}
		fmt.Fprintf(w, "  ! %s\n", text)
	}
}

func renderMembers(w io.Writer, s admin.Status) {
	members := append([]admin.Member(nil), s.Members...)
	sort.SliceStable(members, func(i, j int) bool {
		a, b := memberFault(members[i], s.Generation) != "", memberFault(members[j], s.Generation) != ""
		if a != b {
			return a
		}
		return members[i].ID < members[j].ID
	})
	owned := make(map[ident.RouterID]int)
	for _, owner := range s.Owners {
		owned[owner]++
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nROUTER\tSTATE\tGENERATION\tDOMAIN\tADDRESS\tSHARDS")
	for _, m := range members[:min(len(members), maxMembers)] {
		state := m.State
		if m.Draining {
			state += ", draining"
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%d\n", m.ID, state, m.Generation, m.Domain, m.Address, owned[m.ID])
	}
	_ = table.Flush()
	renderOmitted(w, len(members)-maxMembers)
}

func renderShards(w io.Writer, s admin.Status) {
	shards := append([]admin.ShardStatus(nil), s.Shards...)
	sort.SliceStable(shards, func(i, j int) bool {
		a, b := len(shardFaults(shards[i], s.Owners)) > 0, len(shardFaults(shards[j], s.Owners)) > 0
		if a != b {
			return a
		}
		if shards[i].Queued != shards[j].Queued {
			return shards[i].Queued > shards[j].Queued
		}
		return shards[i].Shard < shards[j].Shard
	})
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nSHARD\tDISPATCHER\tQUEUED\tRUNNING\tLIMIT\tGAP\tBOUND")
	for _, shard := range shards[:min(len(shards), maxShards)] {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%.0f\t%.0f\n",
			shard.Shard, s.Owners[shard.Shard], shard.Queued, shard.Running, shard.Limit, shard.Gap, shard.Bound)
	}
	_ = table.Flush()
	renderOmitted(w, len(shards)-maxShards)
}

func renderOmitted(w io.Writer, omitted int) {
	if omitted > 0 {
		fmt.Fprintf(w, "and %d more\n", omitted)
	}
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

func joinLimited(list []string, limit int) string {
	if len(list) <= limit {
		return strings.Join(list, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(list[:limit], ", "), len(list)-limit)
}
