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
	// warmUp is the duration of the load before the faults, coolDown that after them.
	warmUp   = 1500 * time.Millisecond
	coolDown = 2 * time.Second
	// settleTime is the wait for executions that end after the last answer.
	settleTime = time.Second
)

// Options selects the scenarios and seeds to run, and the durations of the faults.
type Options struct {
	// Bin is the directory of the programs.
	Bin string
	// Scenario is the name of the only scenario to run. If it is empty, the runs take all scenarios in turn.
	Scenario string
	// Seeds is the number of runs; seeds count up from FirstSeed.
	Seeds     int
	FirstSeed uint64
	// Duration is the duration of a fault, Pause that of a router's pause.
	Duration time.Duration
	Pause    time.Duration
	// CheckFresh enables the check that accepted configurations are in force within inForceLimit. The check can fail on
	// a machine that is too busy.
	CheckFresh bool
	// Parallel is the number of concurrent runs.
	Parallel int
}

// ScenarioNames returns the names of all scenarios.
func ScenarioNames() []string {
	var list []string
	for _, s := range scenarios {
		list = append(list, s.name)
	}
	return list
}

// Run runs scenarios and reports each result as soon as it is ready. Errors: an unknown scenario.
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
			results <- runScenario(ctx, opts, selected[n%len(selected)], opts.FirstSeed+uint64(n))
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
	return nil, errors.Errorf("unknown scenario %q; scenarios: %v", name, ScenarioNames())
}

// runScenario starts a fleet, runs a scenario with a seed, and stops the fleet.
func runScenario(ctx context.Context, opts Options, s scenario, seed uint64) *Result {
	result := &Result{}
	routers := s.routers
	if routers == 0 {
		routers = defaultRouters
	}
	h, err := newHarness(ctx, opts, routers)
	if err == nil {
		var checked *Result
		checked, err = h.run(ctx, s, seed)
		if checked != nil {
			result = checked
		}
		result.Dir = h.dir
	}
	result.Scenario = s.name
	result.Seed = seed
	result.Err = errors.Wrap(err, fmt.Sprintf("%s, seed %d", s.name, seed))
	if h != nil {
		h.stop(result.Failed())
	}
	return result
}

// run sends the load, injects the faults, waits until the fleet has recovered, and checks the outcomes.
func (h *harness) run(ctx context.Context, s scenario, seed uint64) (*Result, error) {
	t := newTraffic(h)
	h.traffic = t
	t.gracefulOnly = s.gracefulOnly
	t.start(ctx, seed)
	t.loops.Go(func() { h.publishLoop(ctx, rand.New(rand.NewPCG(seed, 3))) })
	periodic.Sleep(ctx, warmUp)
	err := s.inject(ctx, h, rand.New(rand.NewPCG(seed, 1)))
	if err == nil {
		periodic.Sleep(ctx, coolDown)
		err = t.probeAll(ctx, rand.New(rand.NewPCG(seed, 2)))
	}
	t.end()
	if err == nil {
		err = h.awaitNewest(ctx)
	}
	if err == nil {
		err = h.awaitIdle(ctx)
	}
	periodic.Sleep(ctx, settleTime)
	r, checkErr := h.check(ctx, t)
	if err == nil {
		err = checkErr
	}
	return r, err
}
