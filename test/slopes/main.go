package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"sort"
	"sync"
	"time"

	"go.uber.org/multierr"

	"gooseberrytide.example/gooseberrytide/test/fleet"
)

// results holds the figures by name. Its methods set and get are safe for concurrent use.
type results struct {
	mu     sync.Mutex
	values map[string]float64
}

func (r *results) set(name string, value float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values[name] = fleet.Round(value)
}

func (r *results) get(name string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.values[name]
}

// print writes the figures as a table, followed by a line with one JSON object.
func (r *results) print() error {
	names := make([]string, 0, len(r.values))
	for name := range r.values {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Printf("%-48s %14.4f\n", name, r.values[name])
	}
	return json.NewEncoder(os.Stdout).Encode(r.values)
}

// suite holds the settings and results of one run of the command.
type suite struct {
	binDir  string
	results *results
}

// step is a part of the run. Steps run one after another, so that they do not affect each other's CPU times.
type step struct {
	name string
	run  func(context.Context) error
}

func main() {
	bin := flag.String("bin", "bin", "directory of the binaries")
	only := flag.String("only", "", "run only this step")
	serve := flag.Int("serve-engines", 0, "run this number of engine stand-ins instead of measuring")
	first := flag.Int("first-engine", 0, "index of the first engine stand-in")
	models := flag.Int("engine-models", 1, "number of models over which the engine stand-ins are distributed")
	flag.Parse()
	if *serve > 0 {
		exitOnError(serveEngines(*first, *serve, *models))
		return
	}
	s := &suite{binDir: *bin, results: &results{values: make(map[string]float64)}}
	err := s.runSteps(context.Background(), *only)
	exitOnError(multierr.Append(err, s.results.print()))
}

// exitOnError prints the error and exits with status 1 if err is not nil.
func exitOnError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

// runSteps runs all steps, or the one named by only. It continues after a failed step and returns all errors.
func (s *suite) runSteps(ctx context.Context, only string) error {
	steps := []step{
		{"benchmarks", s.runBenchmarks},
		{"small-fleets", func(ctx context.Context) error { return s.measureIdleFleets(ctx, 2, 4, 8, 16) }},
		{"fleet-32", func(ctx context.Context) error { return s.measureIdleFleets(ctx, 32) }},
		{"fleet-64", func(ctx context.Context) error { return s.measureIdleFleets(ctx, 64) }},
		{"requests", s.measureRequests},
		{"objects", s.measureObjects},
		{"target", s.measureTarget},
	}
	var err error
	for _, step := range steps {
		if only != "" && only != step.name {
			continue
		}
		start := time.Now()
		if stepErr := step.run(ctx); stepErr != nil {
			err = multierr.Append(err, fmt.Errorf("%s: %w", step.name, stepErr))
		}
		fmt.Printf("step %-14s %5.1f s\n", step.name, time.Since(start).Seconds())
	}
	return err
}

// concurrently runs functions concurrently and combines their errors.
func concurrently(functions ...func() error) error {
	errs := make([]error, len(functions))
	var group sync.WaitGroup
	for n, f := range functions {
		group.Go(func() { errs[n] = f() })
	}
	group.Wait()
	return multierr.Combine(errs...)
}
