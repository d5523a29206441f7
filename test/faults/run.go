package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
)

const (
	// warmUp is the time of load before the faults, and calm that after them.
	warmUp = 1500 * time.Millisecond
	calm   = 2 * time.Second
	// settleTime is the wait for executions that follow the last answer.
	settleTime = time.Second
)

// Options say what is run.
type Options struct {
	// Bin is the directory of the programs.
	Bin string
	// Scenario names the only scenario. Empty means all in turn.
	Scenario string
	// Seeds is the number of runs; seeds count up from FirstSeed.
	Seeds     int
	FirstSeed uint64
	// Duration is the length of a fault, Pause that of a router's pause.
	Duration time.Duration
	Pause    time.Duration
	// CheckFresh checks the time within which a configuration is in force. A machine that is too busy may break it.
	CheckFresh bool
	// Parallel is the number of runs at the same time.
	Parallel int
}

// Names returns the names of all scenarios.
func Names() []string {
	var list []string
	for _, s := range scenarios {
		list = append(list, s.name)
	}
	return list
}

// Run runs scenarios and reports each result as it is ready. Errors: an unknown scenario.
func Run(ctx context.Context, opts Options, report func(*Result)) error {
	selected, err := selectScenarios(opts.Scenario)
	if err != nil {
		return err
	}
	results := make(chan *Result)
	slots := make(chan struct{}, max(opts.Parallel, 1))
	var group sync.WaitGroup
	for n := range opts.Seeds {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			results <- runOne(ctx, opts, selected[n%len(selected)], opts.FirstSeed+uint64(n))
		})
	}
	go func() {
		group.Wait()
		close(results)
	}()
	for r := range results {
		report(r)
	}
	return nil
}

func selectScenarios(name string) ([]scenario, error) {
	if name == "" {
		return scenarios, nil
	}
	for _, s := range scenarios {
		if s.name == name {
			return []scenario{s}, nil
		}
	}
	return nil, errors.Errorf("no scenario %q; there are %v", name, Names())
}

// runOne runs a scenario with a seed.
func runOne(ctx context.Context, opts Options, s scenario, seed uint64) *Result {
	result := &Result{}
	routers := s.routers
	if routers == 0 {
		routers = defaultRouters
	}
	w, err := newWorld(ctx, opts, routers)
	if err == nil {
		var checked *Result
		checked, err = w.run(ctx, s, seed)
		if checked != nil {
			result = checked
		}
		result.Dir = w.dir
	}
	result.Scenario = s.name
	result.Seed = seed
	result.Err = errors.Wrap(err, fmt.Sprintf("%s, seed %d", s.name, seed))
	if w != nil {
		w.stop(result.Failed())
	}
	return result
}

// run drives the load, injects the faults and checks.
func (w *world) run(ctx context.Context, s scenario, seed uint64) (*Result, error) {
	t := newTraffic(w)
	w.traffic = t
	t.planned = s.planned
	t.start(ctx, seed)
	t.loop.Go(func() { w.publishLoop(ctx, rand.New(rand.NewPCG(seed, 3))) })
	periodic.Sleep(ctx, warmUp)
	err := s.inject(ctx, w, rand.New(rand.NewPCG(seed, 1)))
	if err == nil {
		periodic.Sleep(ctx, calm)
		err = t.probeAll(ctx, rand.New(rand.NewPCG(seed, 2)))
	}
	t.end()
	if err == nil {
		err = w.awaitNewest(ctx)
	}
	if err == nil {
		err = w.awaitIdle(ctx)
	}
	periodic.Sleep(ctx, settleTime)
	r, checkErr := w.check(ctx, t)
	if err == nil {
		err = checkErr
	}
	return r, err
}
