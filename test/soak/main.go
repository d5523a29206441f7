package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
)

// options holds the command-line options of a run.
type options struct {
	binary           string
	dir              string
	seconds          int
	routers, engines int
	clients          int
	// fault holds the beginnings of the names of the faults that are injected, separated by commas.
	fault string
}

// recoveryTime is the time within which requests must be served again after all routers were killed.
const recoveryTime = 6 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := &cli.Command{
		Name:  "soak",
		Usage: "inject faults into routers on this machine and check the guarantees to clients",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: "bin/gooseberrytided", Usage: "path of the router program"},
			&cli.StringFlag{Name: "dir", Usage: "directory for logs; default: a temporary directory"},
			&cli.UintFlag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.UintFlag{Name: "seeds", Value: 1, Usage: "number of seeds"},
			&cli.IntFlag{Name: "seconds", Value: 15, Usage: "time for which faults are started, per seed"},
			&cli.IntFlag{Name: "routers", Value: 3},
			&cli.IntFlag{Name: "engines", Value: 9},
			&cli.IntFlag{Name: "clients", Value: 12},
			&cli.StringFlag{Name: "fault", Usage: "inject only faults whose names begin so; separated by commas"},
		},
		Action:   run,
		Commands: []*cli.Command{restoreCommand()},
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

// optionsOf returns the options of a command line.
func optionsOf(c *cli.Command) options {
	return options{
		binary: c.String("bin"), dir: c.String("dir"), seconds: c.Int("seconds"),
		fault: c.String("fault"), routers: c.Int("routers"), engines: c.Int("engines"), clients: c.Int("clients"),
	}
}

func run(ctx context.Context, c *cli.Command) error {
	o := optionsOf(c)
	if o.dir == "" {
		dir, err := os.MkdirTemp("", "soak")
		if err != nil {
			return err
		}
		o.dir = dir
	}
	failed := 0
	first := uint64(c.Uint("seed"))
	for seed := first; seed < first+uint64(c.Uint("seeds")) && ctx.Err() == nil; seed++ {
		violations, err := runSeed(ctx, o, seed)
		if err != nil {
			return err
		}
		if violations > 0 {
			failed++
		}
	}
	if failed > 0 {
		return errors.Errorf("%d seeds with violations; logs in %s", failed, o.dir)
	}
	return nil
}

// runSeed runs the faults of one seed and returns the number of violations.
func runSeed(ctx context.Context, o options, seed uint64) (int, error) {
	dir := filepath.Join(o.dir, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return 0, err
	}
	d, err := newDeployment(dir, o.binary, seed, o.routers, o.engines)
	if err != nil {
		return 0, err
	}
	defer d.close()
	if err := d.waitReady(ctx); err != nil {
		return 0, err
	}
	log := &requestLog{}
	clientCtx, stopClients := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for n := range o.clients {
		wg.Add(1)
		go d.runClient(clientCtx, n, &wg, log)
	}
	go d.watchVersions(clientCtx)
	go d.watchDraining(clientCtx)
	go d.watchEvacuation(clientCtx)
	go d.watchMemory(clientCtx)
	names := d.inject(ctx, selectFaults(o.fault), time.Duration(o.seconds)*time.Second)
	d.checkRecovery(ctx)
	stopClients()
	wg.Wait()
	time.Sleep(time.Second) // a refused request must not run later either
	d.checkRequests(log.list)
	d.checkEndings(log.list)
	d.checkLeaving(log.list)
	d.checkPauses()
	d.checkPoison(names)
	d.checkLimits(log.list, names)
	d.checkCold()
	r := d.report
	fmt.Printf("seed %d: %d served, %d refused, %d failed, %d MiB at most, %d violations; faults %v\n",
		seed, r.served, r.refused, r.failed, r.peakMemoryMB, len(r.violations), names)
	for _, f := range r.violations {
		fmt.Println("  ", f)
	}
	return len(r.violations), nil
}

// waitReady waits until all routers are ready for clients. Errors: a router is not ready after 20 s.
func (d *deployment) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(20 * time.Second)
	for _, r := range d.routers {
		for !r.isReady() {
			if ctx.Err() != nil || time.Now().After(deadline) {
				return errors.Errorf("%s is not ready", r.name)
			}
			periodic.Sleep(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

func (r *router) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + r.readinessAddress + "/gooseberrytide/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// inject starts faults at random times, also several at once, and waits until all have ended. It returns their names.
// Faults whose picks select the same router run one after another, so that a router, and an engine if the number of
// engines is a multiple of the number of routers, has one fault of its own at a time.
func (d *deployment) inject(ctx context.Context, faults []fault, duration time.Duration) []string {
	var wg sync.WaitGroup
	var names []string
	var targets [64]sync.Mutex
	end := time.Now().Add(duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		f := faults[d.rand.IntN(len(faults))]
		pick := d.rand.IntN(60)
		faultDuration := minFaultDuration + time.Duration(d.rand.Int64N(int64(maxFaultDuration-minFaultDuration)))
		names = append(names, f.name)
		wg.Add(1)
		go func() {
			defer wg.Done()
			lock := &targets[pick%len(d.routers)]
			lock.Lock()
			defer lock.Unlock()
			f.run(ctx, d, pick, faultDuration)
		}()
		periodic.Sleep(ctx, time.Duration(100+d.rand.IntN(900))*time.Millisecond)
	}
	wg.Wait()
	return names
}

// checkRecovery kills and restarts all routers at once. It reports if fewer than three quarters of the requests are
// served recoveryTime later.
func (d *deployment) checkRecovery(ctx context.Context) {
	for _, r := range d.routers {
		r.signal(syscall.SIGKILL)
	}
	for _, r := range d.routers {
		<-r.done
		d.restart(r)
	}
	periodic.Sleep(ctx, recoveryTime)
	if ctx.Err() != nil {
		return
	}
	d.mu.Lock()
	key := fmt.Sprintf("key-%d", len(d.keys)-1)
	d.mu.Unlock()
	served := 0
	const tries = 20
	for i := range tries {
		s := d.send(ctx, http.DefaultTransport, d.router(i), safeRoute, key)
		if s.status == http.StatusOK {
			served++
		}
	}
	if served < tries*3/4 {
		d.report.addViolation("%d of %d requests served %v after all routers were killed", served, tries, recoveryTime)
	}
}
