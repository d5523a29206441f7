package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"

	"github.com/urfave/cli/v3"

	"gooseberrytide.example/gooseberrytide/test/standin/engine"
)

func init() {
	commands = append(commands, &cli.Command{
		Name:   "engine",
		Usage:  "run a model engine",
		Flags:  engineFlags(),
		Action: runEngine,
	})
}

func engineFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address to listen on"},
		&cli.IntFlag{Name: "slots", Usage: "requests that run at once"},
		&cli.FloatFlag{Name: "prefill-rate", Usage: "prefill rate of a request in tokens/s"},
		&cli.FloatFlag{Name: "decode-rate", Usage: "decode rate of a request in tokens/s"},
		&cli.IntFlag{Name: "tokens-per-event", Usage: "tokens in one event"},
		&cli.Uint64Flag{Name: "seed", Usage: "seed of the generated tokens"},
		&cli.BoolFlag{Name: "natural-stop", Usage: "let completions end before max_tokens"},
		&cli.IntFlag{Name: "cache-entries", Usage: "capacity of the prefix cache in prefixes"},
		&cli.DurationFlag{Name: "load-interval", Usage: "time between load reports"},
		&cli.DurationFlag{Name: "load-lag", Usage: "age of the load in load reports"},
		&cli.DurationFlag{Name: "cache-delay", Usage: "delay of cache events"},
		&cli.IntFlag{Name: "cache-gap-every", Usage: "drop every n-th cache event; 0 drops none"},
		&cli.StringFlag{Name: "model", Usage: "initially loaded model"},
		&cli.StringFlag{Name: "version", Usage: "initially loaded version"},
		&cli.BoolFlag{Name: "any-model", Usage: "accept requests for every model"},
		&cli.DurationFlag{Name: "load-duration", Usage: "time until an order is applied"},
		&cli.BoolFlag{Name: "check-fencing", Usage: "refuse orders with an old fencing number"},
	}
}

func engineOptions(c *cli.Command) engine.Options {
	return engine.Options{
		Slots:          c.Int("slots"),
		PrefillRate:    c.Float("prefill-rate"),
		DecodeRate:     c.Float("decode-rate"),
		TokensPerEvent: c.Int("tokens-per-event"),
		Seed:           c.Uint64("seed"),
		NaturalStop:    c.Bool("natural-stop"),
		CacheEntries:   c.Int("cache-entries"),
		LoadInterval:   c.Duration("load-interval"),
		LoadLag:        c.Duration("load-lag"),
		CacheDelay:     c.Duration("cache-delay"),
		CacheGapEvery:  c.Int("cache-gap-every"),
		Model:          c.String("model"),
		Version:        c.String("version"),
		AnyModel:       c.Bool("any-model"),
		LoadDuration:   c.Duration("load-duration"),
		CheckFencing:   c.Bool("check-fencing"),
	}
}

func runEngine(ctx context.Context, c *cli.Command) error {
	return serveBackend(ctx, c.String("listen"), engine.New(engineOptions(c)))
}

// backendServer is a stand-in for a backend server.
type backendServer interface {
	Serve(l net.Listener) error
	Close() error
}

// serveBackend listens, prints the address as a JSON line, and serves until the context ends.
func serveBackend(ctx context.Context, address string, s backendServer) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	line, err := json.Marshal(map[string]string{"listen": l.Addr().String()})
	if err != nil {
		return err
	}
	fmt.Fprintln(os.Stdout, string(line))
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	return s.Serve(l)
}
