// Command demo starts stand-ins and three routers on loopback, publishes a configuration with the operator's tool,
// sends requests of two teams, and prints the streamed answers and each team's share of the tokens. It then stops the
// routers and exits.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/daemon"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/test/fleet"
	"gooseberrytide.example/gooseberrytide/test/load"
)

const (
	demoTimeout         = 2 * time.Minute
	outstandingRequests = 12
	shareDuration       = 5 * time.Second
	drainTimeout        = 60 * time.Second
)

func main() {
	bin := flag.String("bin", "bin", "directory of the binaries")
	flag.Parse()
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	if err := run(ctx, *bin); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func shape() fleet.Shape {
	return fleet.Shape{
		Name: "demo", Routers: 3, Domains: []string{"north", "south"},
		Models: []fleet.ModelShape{{Name: "summary", Engines: 2, Slots: 2,
			Args: []string{"--any-model", "--decode-rate", "100"}}},
		Services: []fleet.ServiceShape{{
			Name: "callout", Instances: 1, Slots: 4,
			Routes: []object.Route{{PathPrefix: "/status", Idempotent: true}, {PathPrefix: "/"}},
		}},
		Teams: []fleet.TeamShape{{Name: "alarms", Weight: 2}, {Name: "routes", Weight: 1}},
	}
}

func run(ctx context.Context, bin string) error {
	dir, err := os.MkdirTemp("", "gooseberrytide-demo-")
	if err != nil {
		return errors.Wrap(err, "create directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	fmt.Println("starting stand-ins and three routers")
	settings := func(s *daemon.Settings) { s.AddressLifetimeSeconds = 1 }
	f, err := fleet.Start(ctx, shape(), fleet.Options{BinDir: bin, Dir: dir, Settings: settings, SkipPublish: true})
	if err != nil {
		return err
	}
	defer f.Stop()
	if err := applyConfiguration(ctx, bin, dir, f); err != nil {
		return err
	}
	if err := f.AwaitServing(ctx); err != nil {
		return err
	}
	if err := showAnswers(ctx, f); err != nil {
		return err
	}
	if err := showShares(ctx, f); err != nil {
		return err
	}
	if err := runTool(ctx, bin, f, "status"); err != nil {
		return err
	}
	fmt.Println("\nstopping the routers gracefully")
	return f.TerminateRouters(drainTimeout)
}

// applyConfiguration validates and publishes the configuration with the operator's tool.
func applyConfiguration(ctx context.Context, bin, dir string, f *fleet.Fleet) error {
	object.ApplyDefaults(f.Set)
	data, err := object.Encode(f.Set)
	if err != nil {
		return err
	}
	file := filepath.Join(dir, "objects.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return errors.Wrap(err, "write objects")
	}
	if err := runTool(ctx, bin, f, "validate", file); err != nil {
		return err
	}
	// The routers refuse a publish until they have discovered each other.
	if err := f.AwaitMembers(ctx); err != nil {
		return err
	}
	return runTool(ctx, bin, f, "apply", "--wait", file)
}

// runTool runs the operator's tool against the first router and prints the command and its output.
func runTool(ctx context.Context, bin string, f *fleet.Fleet, args ...string) error {
	fmt.Printf("\n$ gooseberrytide %s\n", strings.Join(args, " "))
	cmd := exec.CommandContext(ctx, filepath.Join(bin, "gooseberrytide"), args...)
	cmd.Env = append(os.Environ(), "GOOSEBERRYTIDE_ROUTER="+f.Routers[0].CallerAddress,
		"GOOSEBERRYTIDE_TOKEN="+fleet.OperatorToken)
	out, err := cmd.CombinedOutput()
	fmt.Print(string(out))
	return errors.Wrapf(err, "gooseberrytide %s", args[0])
}

func newCaller(f *fleet.Fleet, team string) *load.Caller {
	return &load.Caller{
		Team:   team,
		Domain: "north",
		Entries: func() []string {
			var list []string
			for _, r := range f.Routers {
				list = append(list, r.CallerAddress)
			}
			return list
		},
	}
}

// showAnswers prints a streamed completion of each team, and a call that is sent twice with the same idempotency key.
func showAnswers(ctx context.Context, f *fleet.Fleet) error {
	for _, team := range []string{"alarms", "routes"} {
		c := newCaller(f, team)
		a := c.Complete(ctx, "summary", load.CompletionBody("summary", "Summarise the faults of shed 4 for "+team, 16), nil)
		fmt.Printf("\n%s: request %s, outcome %s\n  streamed answer:%s\n", team, a.RequestID, a.Outcome, a.Text)
		if a.Outcome != "completed" {
			return errors.Errorf("completion of team %s: outcome %s, reason %q", team, a.Outcome, a.Reason)
		}
	}
	c := newCaller(f, "alarms")
	for range 2 {
		a := c.Call(ctx, "callout", "/engineers", "demo-call-out-1", []byte(`{"shed":4}`))
		fmt.Printf("call-out with key demo-call-out-1: outcome %s, answer %s\n", a.Outcome, strings.TrimSpace(a.Text))
		if a.Outcome != "completed" {
			return errors.Errorf("call-out: outcome %s, reason %q", a.Outcome, a.Reason)
		}
	}
	return nil
}

// showShares keeps a backlog for both teams and prints the number and share of tokens that each received.
func showShares(ctx context.Context, f *fleet.Fleet) error {
	fmt.Printf("\nboth teams keep %d completions outstanding for %v; weights are 2 and 1\n",
		outstandingRequests, shareDuration)
	tokens := map[string]int{}
	var mu sync.Mutex
	var group sync.WaitGroup
	loadCtx, stop := context.WithTimeout(ctx, shareDuration)
	defer stop()
	for _, team := range []string{"alarms", "routes"} {
		c := newCaller(f, team)
		for k := range outstandingRequests {
			group.Go(func() {
				for n := 0; loadCtx.Err() == nil; n++ {
					prompt := fmt.Sprintf("%s %d %d", team, k, n)
					c.Complete(loadCtx, "summary", load.CompletionBody("summary", prompt, 24), func(n int) {
						mu.Lock()
						defer mu.Unlock()
						tokens[team] += n
					})
				}
			})
		}
	}
	group.Wait()
	total := tokens["alarms"] + tokens["routes"]
	if total == 0 {
		return errors.New("no tokens were served")
	}
	for _, team := range []string{"alarms", "routes"} {
		fmt.Printf("  %s: %d tokens, %.0f%%\n", team, tokens[team], 100*float64(tokens[team])/float64(total))
	}
	return nil
}
