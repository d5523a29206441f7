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

// results collects the figures by name. It is safe for concurrent use.
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

// print writes a table, and the figures as one JSON object in the last line.
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

// suite is one run of the command.
type suite struct {
	bin string
	out *results
}

// step is a part of the run. Steps run in turn, so that they do not disturb each other's processor times.
type step struct {
	name string
	run  func(context.Context) error
}

func main() {
	bin := flag.String("bin", "bin", "directory of the programs")
	only := flag.String("only", "", "run only this step")
	serve := flag.Int("serve-engines", 0, "run this number of engine stand-ins instead of measuring")
	first := flag.Int("first-engine", 0, "number of the first engine stand-in")
	models := flag.Int("engine-models", 1, "number of models that the engine stand-ins take turns in")
	flag.Parse()
	if *serve > 0 {
		fail(serveEngines(*first, *serve, *models))
		return
	}
	s := &suite{bin: *bin, out: &results{values: make(map[string]float64)}}
	err := s.run(context.Background(), *only)
	fail(multierr.Append(err, s.out.print()))
}

// fail ends the program when there is an error.
func fail(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

// run runs all steps. A failed step does not keep the others from running.
func (s *suite) run(ctx context.Context, only string) error {
	steps := []step{
		{"benchmarks", s.benchmarks},
		{"small-fleets", func(ctx context.Context) error { return s.fleets(ctx, 2, 4, 8, 16) }},
		{"fleet-32", func(ctx context.Context) error { return s.fleets(ctx, 32) }},
		{"fleet-64", func(ctx context.Context) error { return s.fleets(ctx, 64) }},
		{"requests", s.requests},
		{"objects", s.objects},
		{"target", s.target},
	}
	var err error
	for _, step := range steps {
		if only != "" && only != step.name {
			continue
		}
		began := time.Now()
		if failed := step.run(ctx); failed != nil {
			err = multierr.Append(err, fmt.Errorf("%s: %w", step.name, failed))
		}
		fmt.Printf("step %-14s %5.1f s\n", step.name, time.Since(began).Seconds())
	}
	return err
}

// concurrently runs functions at the same time and joins their errors.
func concurrently(functions ...func() error) error {
	errs := make([]error, len(functions))
	var group sync.WaitGroup
	for n, f := range functions {
		group.Go(func() { errs[n] = f() })
	}
	group.Wait()
	return multierr.Combine(errs...)
}
