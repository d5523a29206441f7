package main

import (
	"context"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/transport/adminhttp"
)

// fetchedConfig is a configuration that a router returned.
type fetchedConfig struct {
	generation ident.Generation
	set        *object.Set
	// fromSnapshot says that the router did not reach the store, which may have a newer configuration.
	fromSnapshot bool
}

func fetchConfig(ctx context.Context, client *adminhttp.Client) (fetchedConfig, error) {
	config, err := client.Config(ctx)
	if err != nil {
		return fetchedConfig{}, err
	}
	set := object.NewSet()
	if findings := object.Decode("router", object.EncodeFile(config.Objects), set); len(findings) > 0 {
		return fetchedConfig{}, errors.Wrap(findings, "router's configuration")
	}
	return fetchedConfig{generation: config.Generation, set: set, fromSnapshot: config.FromSnapshot}, nil
}

// readFiles decodes files into one set. The error reports the findings of all files.
func readFiles(names []string) (*object.Set, error) {
	if len(names) == 0 {
		return nil, errors.New("no files")
	}
	set := object.NewSet()
	var findings object.Findings
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, errors.Wrap(err, "read configuration")
		}
		findings = append(findings, object.Decode(name, data, set)...)
	}
	if len(findings) > 0 {
		return set, findingsError(findings)
	}
	return set, nil
}

func findingsError(findings object.Findings) error {
	noun := "findings"
	if len(findings) == 1 {
		noun = "finding"
	}
	return newExitError(exitFindings, "%d %s\n%s", len(findings), noun, findings.Error())
}

// overlay returns the base with the objects of files added or replaced. With prune, it returns only the objects of
// files.
func overlay(base, files *object.Set, prune bool) *object.Set {
	if prune {
		return files
	}
	set := base.Clone()
	for _, id := range files.IDs() {
		set.Copy(id, files)
	}
	return set
}

func pruneFlag() cli.Flag {
	return &cli.BoolFlag{Name: "prune", Usage: "remove objects that are not in the files"}
}

func validateCommand() *cli.Command {
	return &cli.Command{
		Name:      "validate",
		Usage:     "check files that contain a whole configuration, without a router",
		ArgsUsage: "FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			set, err := readFiles(c.Args().Slice())
			if err != nil {
				return err
			}
			if findings := object.Check(set); len(findings) > 0 {
				return findingsError(findings)
			}
			printf(c, "%d objects, no findings\n", set.Len())
			return nil
		},
	}
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show what apply would change",
		ArgsUsage: "FILE...",
		Flags:     []cli.Flag{pruneFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			files, err := readFiles(c.Args().Slice())
			if err != nil {
				return err
			}
			client, err := newClient(c)
			if err != nil {
				return err
			}
			current, err := fetchConfig(ctx, client)
			if err != nil {
				return err
			}
			printDiff(c, current, overlay(current.set, files, c.Bool("prune")))
			return nil
		},
	}
}

func printDiff(c *cli.Command, current fetchedConfig, target *object.Set) {
	differences := object.Diff(current.set, target)
	for _, d := range differences {
		switch d.Change {
		case object.Added:
			printf(c, "+ %s\n", d.ID)
		case object.Removed:
			printf(c, "- %s\n", d.ID)
		default:
			printf(c, "~ %s %v\n", d.ID, d.Fields)
		}
	}
	printf(c, "%d objects differ from generation %d\n", len(differences), current.generation)
}

func getCommand() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "print the configuration, one kind, or one object, as a file for apply",
		ArgsUsage: "[KIND[/NAME]]",
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := newClient(c)
			if err != nil {
				return err
			}
			current, err := fetchConfig(ctx, client)
			if err != nil {
				return err
			}
			selected, err := selectObjects(current.set, c.Args().First())
			if err != nil {
				return err
			}
			data, err := object.Encode(selected)
			if err != nil {
				return err
			}
			printf(c, "%s", data)
			return nil
		},
	}
}

func selectObjects(set *object.Set, wanted string) (*object.Set, error) {
	if wanted == "" {
		return set, nil
	}
	selected := object.NewSet()
	for _, id := range set.IDs() {
		if string(id.Kind) == wanted || id.String() == wanted {
			selected.Copy(id, set)
		}
	}
	if selected.Len() == 0 {
		return nil, errors.Errorf("no object matches %q", wanted)
	}
	return selected, nil
}

func newApplyRequest(base ident.Generation, set *object.Set) (admin.ApplyRequest, error) {
	list, err := object.EncodeList(set)
	return admin.ApplyRequest{Base: base, Objects: list}, err
}
