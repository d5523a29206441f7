package main

import (
	"context"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"gooseberrytide.example/gooseberrytide/internal/transport/adminhttp"
)

// listAction returns the action of a command that prints a list which a router serves: as JSON with --json, otherwise as text.
func listAction[T any](
	name string, fetch func(*adminhttp.Client, context.Context) ([]T, error), render func(io.Writer, []T),
) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		client, err := newClient(c)
		if err != nil {
			return err
		}
		list, err := fetch(client, ctx)
		if err != nil {
			return errors.Wrap(err, name)
		}
		if c.Bool("json") {
			return json.NewEncoder(c.Root().Writer).Encode(list)
		}
		render(c.Root().Writer, list)
		return nil
	}
}
