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

// waitPoll is the time between looks at the members' generations.
const waitPoll = 250 * time.Millisecond

// defaultWait is five times the 6 s within which a configuration is in force everywhere.
const defaultWait = 30 * time.Second

func waitFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: "wait", Usage: "wait until all live routers have the change in force, and name them"},
		&cli.DurationFlag{Name: "wait-limit", Value: defaultWait, Usage: "longest `TIME` to wait"},
	}
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "publish the objects of files",
		ArgsUsage: "FILE...",
		Flags: append(waitFlags(),
			pruneFlag(),
			&cli.BoolFlag{Name: "rebase", Usage: "keep changes of other objects that were published since the base"},
			&cli.StringFlag{Name: "base", Usage: "`FILE` from get that the change was made on; default: the current configuration"},
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
	client, err := client(c)
	if err != nil {
		return err
	}
	result, err := publishChange(ctx, client, ch)
	if err != nil {
		return err
	}
	switch {
	case result.same:
		printf(c, "no change; generation %d\n", result.Generation)
	case result.Unconfirmed:
		printf(c, "published generation %d; too few routers are known to have it in force\n", result.Generation)
	default:
		printf(c, "published generation %d\n", result.Generation)
	}
	if !c.Bool("wait") {
		return nil
	}
	return wait(ctx, c, client, result.Generation)
}

// wait prints each router once it has the generation in force, until all live ones have it.
func wait(ctx context.Context, c *cli.Command, client *adminhttp.Client, gen ident.Generation) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("wait-limit"))
	defer cancel()
	confirmed := make(map[ident.RouterID]bool)
	waiting := []string{"the router's status"}
	for {
		status, err := client.Status(ctx)
		if err == nil {
			waiting = pending(c, status, gen, confirmed)
			if len(waiting) == 0 {
				printf(c, "generation %d is in force on %d routers\n", gen, len(confirmed))
				return nil
			}
		}
		if !periodic.Sleep(ctx, waitPoll) {
			return fail(exitFailed, "generation %d is not confirmed by %s", gen, strings.Join(waiting, ", "))
		}
	}
}

// pending prints newly confirmed routers and returns the live ones that are not confirmed.
func pending(c *cli.Command, status admin.Status, gen ident.Generation, confirmed map[ident.RouterID]bool) []string {
	var waiting []string
	for _, m := range status.Members {
		switch {
		case m.Generation >= gen && !confirmed[m.ID]:
			confirmed[m.ID] = true
			printf(c, "%s has generation %d\n", m.ID, m.Generation)
		case m.Generation < gen && m.State == admin.StateAlive:
			waiting = append(waiting, string(m.ID))
		}
	}
	if len(status.Members) == 0 {
		waiting = append(waiting, "any member")
	}
	sort.Strings(waiting)
	return waiting
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "take a backend server or a VM out of service, or back with --undo",
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

// withState returns a copy of a set in which an object has a state. A VM without object gets one.
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

// warnUnknownVM says that a VM's name is no router's, because a misspelt name drains nothing. It is no error: the object
// may be for a router that starts later.
func warnUnknownVM(ctx context.Context, c *cli.Command, id object.ID) error {
	if id.Kind != object.KindVM {
		return nil
	}
	client, err := client(c)
	if err != nil {
		return err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return errors.WithMessage(err, "published, but the routers' names are not known")
	}
	for _, m := range status.Members {
		if string(m.ID) == id.Name {
			return nil
		}
	}
	printf(c, "warning: no router is named %s\n", id.Name)
	return nil
}
