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

// options of a run.
type options struct {
	binary           string
	dir              string
	seconds          int
	routers, engines int
	clients          int
}

// recoveryTime is the time in which requests are served again after all routers were killed.
const recoveryTime = 6 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := &cli.Command{
		Name:  "soak",
		Usage: "inject faults into routers on this machine and check the promises",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: "bin/gooseberrytided", Usage: "the router's program"},
			&cli.StringFlag{Name: "dir", Usage: "directory for logs; default: a temporary one"},
			&cli.UintFlag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.UintFlag{Name: "seeds", Value: 1, Usage: "number of seeds"},
			&cli.IntFlag{Name: "seconds", Value: 15, Usage: "length of the faults of a seed"},
			&cli.IntFlag{Name: "routers", Value: 3},
			&cli.IntFlag{Name: "engines", Value: 6},
			&cli.IntFlag{Name: "clients", Value: 12},
		},
		Action: run,
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, c *cli.Command) error {
	o := options{
		binary: c.String("bin"), dir: c.String("dir"), seconds: c.Int("seconds"),
		routers: c.Int("routers"), engines: c.Int("engines"), clients: c.Int("clients"),
	}
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
		findings, err := runSeed(ctx, o, seed)
		if err != nil {
			return err
		}
		if findings > 0 {
			failed++
		}
	}
	if failed > 0 {
		return errors.Errorf("%d seeds broke a promise; logs in %s", failed, o.dir)
	}
	return nil
}

// runSeed plays one seed and returns the number of broken promises.
func runSeed(ctx context.Context, o options, seed uint64) (int, error) {
	dir := filepath.Join(o.dir, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return 0, err
	}
	w, err := newWorld(dir, o.binary, seed, o.routers, o.engines)
	if err != nil {
		return 0, err
	}
	defer w.close()
	if err := w.waitReady(ctx); err != nil {
		return 0, err
	}
	log := &sentLog{}
	clients, stopClients := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for n := range o.clients {
		wg.Add(1)
		go w.client(clients, n, &wg, log)
	}
	go w.watchVersions(clients)
	go w.watchLeaving(clients)
	names := w.inject(ctx, time.Duration(o.seconds)*time.Second)
	w.checkRecovery(ctx)
	stopClients()
	wg.Wait()
	time.Sleep(time.Second) // what was refused must not run later either
	w.checkSent(log.list)
	r := w.report
	fmt.Printf("seed %d: %d served, %d refused, %d failed, %d broken promises; faults %v\n",
		seed, r.served, r.refused, r.failed, len(r.findings), names)
	for _, f := range r.findings {
		fmt.Println("  ", f)
	}
	return len(r.findings), nil
}

// waitReady waits until all routers take clients.
func (w *world) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(20 * time.Second)
	for _, r := range w.routers {
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
	resp, err := client.Get("http://" + r.ready + "/gooseberrytide/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// inject starts faults at random times, also several at once, and waits for their ends. A router or an engine has one
// fault of its own at a time.
func (w *world) inject(ctx context.Context, length time.Duration) []string {
	var wg sync.WaitGroup
	var names []string
	var targets [64]sync.Mutex
	end := time.Now().Add(length)
	for time.Now().Before(end) && ctx.Err() == nil {
		f := faults[w.rand.IntN(len(faults))]
		pick := w.rand.IntN(60)
		lasts := time.Duration(300+w.rand.IntN(3000)) * time.Millisecond
		names = append(names, f.name)
		wg.Add(1)
		go func() {
			defer wg.Done()
			lock := &targets[pick%len(w.routers)]
			lock.Lock()
			defer lock.Unlock()
			f.run(ctx, w, pick, lasts)
		}()
		periodic.Sleep(ctx, time.Duration(100+w.rand.IntN(900))*time.Millisecond)
	}
	wg.Wait()
	return names
}

// checkRecovery kills all routers at once and checks that requests are served again.
func (w *world) checkRecovery(ctx context.Context) {
	for _, r := range w.routers {
		r.signal(syscall.SIGKILL)
	}
	for _, r := range w.routers {
		<-r.done
		w.restart(r)
	}
	periodic.Sleep(ctx, recoveryTime)
	if ctx.Err() != nil {
		return
	}
	w.mu.Lock()
	key := fmt.Sprintf("key-%d", len(w.keys)-1)
	w.mu.Unlock()
	served := 0
	const tries = 20
	for i := range tries {
		s := w.send(ctx, http.DefaultTransport, w.router(i), safeRoute, key)
		if s.status == http.StatusOK {
			served++
		}
	}
	if served < tries*3/4 {
		w.report.broken("%d of %d requests served %v after all routers were killed", served, tries, recoveryTime)
	}
}
