package gateway

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/platform"
)

// Main runs a router on the platform until SIGTERM or SIGINT. The platform passes the path of the settings file in the
// environment variable platform.SettingsVariable.
func Main(ctx context.Context) error {
	// Without a handler, SIGHUP ends the process. It may come before the settings have been read.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return errors.Errorf("%s is not set", platform.SettingsVariable)
	}
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	writer := newLogWriter(os.Stdout)
	defer writer.close()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	node, err := New(settings, newLogger(writer))
	if err != nil {
		return err
	}
	node.hangup = hangup
	return node.Run(ctx, path)
}
