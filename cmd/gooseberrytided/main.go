// Command gooseberrytided is the router daemon. It prints its addresses as one line of JSON once it listens, and shuts
// down gracefully on SIGTERM or SIGINT.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"gooseberrytide.example/gooseberrytide/internal/daemon"
	"gooseberrytide.example/gooseberrytide/internal/daemon/gateway"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

func main() {
	command := &cli.Command{
		Name:  "gooseberrytided",
		Usage: "run a gooseberrytide router",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings file (JSON)"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: run,
		Commands: []*cli.Command{{
			Name:   "gateway",
			Usage:  "run a router on the users' platform, with the settings file that the platform provides",
			Action: func(ctx context.Context, _ *cli.Command) error { return gateway.Main(ctx) },
		}},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "gooseberrytided:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, command *cli.Command) error {
	if command.String("settings") == "" {
		return errors.New("--settings: is required")
	}
	settings, err := daemon.ReadSettings(command.String("settings"))
	if err != nil || command.Bool("check") {
		return err
	}
	log, err := newLogger(settings.LogLevel)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return serve(ctx, settings, log.With(zap.String("router", settings.ID)))
}

// serve runs the router. If an earlier process of the router had a higher incarnation, it starts the router again with
// the needed one.
func serve(ctx context.Context, settings *daemon.Settings, log *zap.Logger) error {
	incarnation := ident.Incarnation(time.Now().UnixMicro())
	for {
		d, err := daemon.New(settings, log, incarnation)
		if err != nil {
			return err
		}
		if err := printAddresses(d); err != nil {
			return err
		}
		err = d.Run(ctx)
		var conflict *daemon.IncarnationError
		if !errors.As(err, &conflict) {
			return err
		}
		log.Warn("starting again with a higher incarnation")
		incarnation = conflict.Needed
	}
}

// printAddresses prints the addresses for other routers and for callers as one line of JSON.
func printAddresses(d *daemon.Daemon) error {
	line := struct {
		Peer   string `json:"peer"`
		Caller string `json:"caller"`
	}{d.PeerAddr(), d.CallerAddr()}
	return errors.Wrap(json.NewEncoder(os.Stdout).Encode(line), "print addresses")
}

func newLogger(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log_level")
	}
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(parsed)
	config.Sampling = nil
	config.OutputPaths = []string{"stderr"}
	return config.Build()
}
