// Command standin runs stand-ins for the platform's services and for backend servers, for demonstrations and tests.
// Each prints its listen address as a JSON line first.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// commands holds the subcommands. Each file adds its own in an init function.
var commands []*cli.Command

// shutdownTimeout limits the wait for running calls after a signal. It is also the read timeout of request headers.
const shutdownTimeout = 2 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:     "standin",
		Usage:    "run a stand-in for a platform service or a backend server",
		Commands: commands,
	}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// listenFlag returns the address flag of the platform services' subcommands.
func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "IP `ADDRESS` and port; port 0 picks a free one"}
}

// serve listens, prints the address as a JSON line, and serves until the context ends.
func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	return serveOn(ctx, listener, handler)
}

// serveOn prints the listener's address as a JSON line, and serves until the context ends.
func serveOn(ctx context.Context, listener net.Listener, handler http.Handler) error {
	line := map[string]string{"listen": listener.Addr().String()}
	if err := json.NewEncoder(os.Stdout).Encode(line); err != nil {
		return errors.Wrap(err, "print listen address")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: shutdownTimeout}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		limit, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(limit)
		_ = server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	<-stopped
	return nil
}
