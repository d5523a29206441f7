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
	return node.Run(ctx, path)
}
