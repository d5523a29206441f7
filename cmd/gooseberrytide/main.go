// Command gooseberrytide is the operator's command-line tool. It checks and publishes configurations, and shows the
// state of the fleet through the operator endpoints of any router.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"gooseberrytide.example/gooseberrytide/internal/transport/adminhttp"
)

// Exit codes.
const (
	exitFailed    = 1
	exitFindings  = 2
	exitConflict  = 3
	exitUncertain = 4
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newRoot().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "gooseberrytide:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var exitErr *exitError
	if errors.As(err, &exitErr) {
		return exitErr.code
	}
	return exitFailed
}

// exitError is an error with an exit code of the process.
type exitError struct {
	code int
	text string
}

func (e *exitError) Error() string { return e.text }

func newExitError(code int, format string, args ...any) error {
	return &exitError{code: code, text: fmt.Sprintf(format, args...)}
}

func newRoot() *cli.Command {
	return &cli.Command{
		Name:  "gooseberrytide",
		Usage: "operate a fleet of routers",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "router", Usage: "`ADDRESS` of any router, as in 10.0.0.1:8080",
				Sources: cli.EnvVars("GOOSEBERRYTIDE_ROUTER"),
			},
			&cli.StringFlag{
				Name: "token", Usage: "operator `TOKEN`",
				Sources: cli.EnvVars("GOOSEBERRYTIDE_TOKEN"),
			},
		},
		Commands: []*cli.Command{
			validateCommand(), applyCommand(), diffCommand(), getCommand(),
			drainCommand(), statusCommand(), timelineCommand(), explainCommand(), suspectsCommand(), limitsCommand(),
			evacuationsCommand(), checkCommand(),
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if name := c.Args().First(); name != "" {
				return errors.Errorf("unknown command %q; --help lists the commands", name)
			}
			return cli.ShowRootCommandHelp(c)
		},
		// Errors are printed by main.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

// newClient returns a client for the router that the flags name.
func newClient(c *cli.Command) (*adminhttp.Client, error) {
	router := c.String("router")
	if router == "" {
		return nil, errors.New("no router: set --router or GOOSEBERRYTIDE_ROUTER")
	}
	return adminhttp.NewClient(router, c.String("token")), nil
}

func printf(c *cli.Command, format string, args ...any) {
	fmt.Fprintf(c.Root().Writer, format, args...)
}
