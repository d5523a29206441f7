package main

import (
	"context"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
	"gooseberrytide.example/gooseberrytide/internal/transport/adminhttp"
)

// statusPollPeriod is the time between reads of the members' generations.
const statusPollPeriod = 250 * time.Millisecond

// defaultWaitLimit is five times the 6 s within which a configuration is in force on all routers.
const defaultWaitLimit = 30 * time.Second

func waitFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: "wait", Usage: "wait until the change is in force on all live routers, and list them"},
		&cli.DurationFlag{Name: "wait-limit", Value: defaultWaitLimit, Usage: "longest `TIME` to wait"},
	}
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "publish the objects in files",
		ArgsUsage: "FILE...",
		Flags: append(waitFlags(),
			pruneFlag(),
			&cli.BoolFlag{Name: "rebase", Usage: "keep changes to other objects that were published since the base"},
			&cli.StringFlag{
				Name:  "base",
				Usage: "`FILE` from get that the change is based on; default: the current configuration",
			},
		),
		Action: apply,
	}
}

func apply(ctx context.Context, c *cli.Command) error {
	files, err := readFiles(c.Args().Slice())
	if err != nil {
		return err
	}
	ch := change{rebase: c.Bool("rebase")}
	if name := c.String("base"); name != "" {
		if ch.base, err = readFiles([]string{name}); err != nil {
			return errors.WithMessage(err, "base")
		}
	}
	prune := c.Bool("prune")
	ch.edit = func(base *object.Set) (*object.Set, error) { return overlay(base, files, prune), nil }
	return publishAndReport(ctx, c, ch)
}

func publishAndReport(ctx context.Context, c *cli.Command, ch change) error {
	client, err := newClient(c)
	if err != nil {
		return err
	}
	result, err := publishChange(ctx, client, ch)
	if err != nil {
		return err
	}
	switch {
	case result.unchanged:
		printf(c, "no change; generation %d\n", result.Generation)
	case result.Unconfirmed:
		printf(c, "published generation %d; not yet confirmed by enough routers\n", result.Generation)
	default:
		printf(c, "published generation %d\n", result.Generation)
	}
	if !c.Bool("wait") {
		return nil
	}
	return waitForGeneration(ctx, c, client, result.Generation)
}

// waitForGeneration waits until a generation is in force on all live routers, and prints each router that has it. It
// returns an error if the wait limit passes first.
func waitForGeneration(ctx context.Context, c *cli.Command, client *adminhttp.Client, gen ident.Generation) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("wait-limit"))
	defer cancel()
	confirmed := make(map[ident.RouterID]bool)
	unconfirmed := []string{"the router's status"}
	for {
		status, err := client.Status(ctx)
		if err == nil {
			unconfirmed = printConfirmed(c, status, gen, confirmed)
			if len(unconfirmed) == 0 {
				printf(c, "generation %d is in force on %d routers\n", gen, len(confirmed))
				return nil
			}
		}
		if !periodic.Sleep(ctx, statusPollPeriod) {
			return newExitError(exitFailed, "generation %d is not confirmed by %s", gen, strings.Join(unconfirmed, ", "))
		}
	}
}

// printConfirmed prints the routers that newly have the generation in force, and returns the live ones that do not have
// it. A status without members returns the text "any member".
func printConfirmed(
	c *cli.Command, status admin.Status, gen ident.Generation, confirmed map[ident.RouterID]bool,
) []string {
	var unconfirmed []string
	for _, m := range status.Members {
		switch {
		case m.Generation >= gen && !confirmed[m.ID]:
			confirmed[m.ID] = true
			printf(c, "%s has generation %d\n", m.ID, m.Generation)
		case m.Generation < gen && m.State == admin.StateAlive:
			unconfirmed = append(unconfirmed, string(m.ID))
		}
	}
	if len(status.Members) == 0 {
		unconfirmed = append(unconfirmed, "any member")
	}
	sort.Strings(unconfirmed)
	return unconfirmed
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "take a backend server or a VM out of service, or put it back with --undo",
		ArgsUsage: "backend-server/NAME|vm/NAME",
		Flags:     append(waitFlags(), &cli.BoolFlag{Name: "undo", Usage: "put it back into service"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return errors.New("name one object: backend-server/NAME or vm/NAME")
			}
			id, err := object.ParseID(c.Args().First())
			if err != nil {
				return err
			}
			state := object.StateDraining
			if c.Bool("undo") {
				state = object.StateActive
			}
			edit := func(base *object.Set) (*object.Set, error) { return withState(base, id, state) }
			if err := publishAndReport(ctx, c, change{edit: edit, rebase: true}); err != nil {
				return err
			}
			return warnUnknownVM(ctx, c, id)
		},
	}
}

// withState returns a copy of a set in which a backend server or a VM has the given state. A VM object that does not
// exist is added.
func withState(base *object.Set, id object.ID, state object.State) (*object.Set, error) {
	set := base.Clone()
	switch id.Kind {
	case object.KindBackendServer:
		server, ok := set.BackendServers[id.Name]
		if !ok {
			return nil, errors.Errorf("%s does not exist", id)
		}
		server.State = state
	case object.KindVM:
		set.Put(id, &object.VM{Name: id.Name, State: state})
	default:
		return nil, errors.Errorf("%s cannot be drained; only backend servers and VMs can", id)
	}
	return set, nil
}

// warnUnknownVM prints a warning if no router has the name of a VM, because a misspelt name drains nothing. This is not
// an error: the object may be for a router that starts later.
func warnUnknownVM(ctx context.Context, c *cli.Command, id object.ID) error {
	if id.Kind != object.KindVM {
		return nil
	}
	client, err := newClient(c)
	if err != nil {
		return err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return errors.WithMessage(err, "published, but the routers' names could not be checked")
	}
	for _, m := range status.Members {
		if string(m.ID) == id.Name {
			return nil
		}
	}
	printf(c, "warning: no router is named %s\n", id.Name)
	return nil
}
