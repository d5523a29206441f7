package faults

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/multierr"

	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
	"gooseberrytide.example/gooseberrytide/test/fleet"
	"gooseberrytide.example/gooseberrytide/test/load"
	"gooseberrytide.example/gooseberrytide/test/standin/engine"
	"gooseberrytide.example/gooseberrytide/test/standin/kvstore"
	"gooseberrytide.example/gooseberrytide/test/standin/service"
)

// scenario injects its faults while the load runs.
type scenario struct {
	name string
	// routers is the size of the fleet. Default 4.
	routers int
	// planned says that routers only stop as planned. Then callers must not find a port closed.
	planned bool
	inject  func(ctx context.Context, w *world, rng *rand.Rand) error
}

// defaultRouters stand in 3 failure domains, so that one of these has two.
const defaultRouters = 4

var scenarios = []scenario{
	{name: "kill-dispatcher", inject: killDispatcher},
	{name: "kill-ingress", inject: killIngress},
	{name: "pause-dispatcher", inject: pauseDispatcher},
	{name: "pause-claim-holder", inject: pauseClaimHolder},
	{name: "partition-router", inject: partitionRouter},
	{name: "partition-domain", routers: 8, inject: partitionDomain},
	{name: "store-down", inject: storeFault(kvstore.Faults{Outage: true})},
	{name: "store-hang", inject: storeFault(kvstore.Faults{Hang: true})},
	{name: "store-slow", inject: storeSlow},
	{name: "store-lost-applied", inject: storeFault(kvstore.Faults{Lost: kvstore.LostApplied})},
	{name: "store-lost-late", inject: storeFault(kvstore.Faults{Lost: kvstore.LostLate, LateMS: 700})},
	{name: "store-lost-dropped", inject: storeFault(kvstore.Faults{Lost: kvstore.LostDropped})},
	{name: "store-ambiguous", inject: storeFault(kvstore.Faults{Ambiguous: true, Lost: kvstore.LostLate, LateMS: 700})},
	{name: "store-down-empty-router", inject: storeDownEmptyRouter},
	{name: "engine-killed", inject: engineKilled},
	{name: "engine-frozen", inject: engineFault(engine.Faults{Freeze: true})},
	{name: "engine-drops", inject: engineFault(engine.Faults{Drop: -1, DropAfterTokens: 7})},
	{name: "service-drops", inject: serviceDrops},
	{name: "rolling-restart", planned: true, inject: rollingRestart},
	{name: "restart-store-lost", planned: true, inject: restartStoreLost},
	{name: "publish-partition", inject: publishPartition},
	{name: "racing-publishes", inject: racingPublishes},
	{name: "two-faults", routers: 5, inject: twoFaults},
}

// single are the faults that two-faults combines. None of them ends the process of a backend server, whose log would
// be lost.
var single = []func(ctx context.Context, w *world, rng *rand.Rand) error{
	killDispatcher,
	pauseDispatcher,
	pauseClaimHolder,
	partitionRouter,
	storeFault(kvstore.Faults{Outage: true}),
	storeFault(kvstore.Faults{Lost: kvstore.LostApplied}),
	storeFault(kvstore.Faults{Lost: kvstore.LostLate, LateMS: 700}),
	engineFault(engine.Faults{Drop: -1, DropAfterTokens: 7}),
	engineFault(engine.Faults{Freeze: true}),
	serviceDrops,
	restartOne,
}

// pools name the shards of the pools.
var pools = []string{"model/" + modelName, "service/" + serviceName}

// jitter waits for up to half a second.
func jitter(ctx context.Context, rng *rand.Rand) {
	periodic.Sleep(ctx, time.Duration(rng.IntN(500))*time.Millisecond)
}

// pickRouter returns a router that is not yet a victim.
func pickRouter(w *world, rng *rand.Rand) *fleet.Router {
	list := w.current()
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, r := range list {
		if w.take(r) {
			return r
		}
	}
	return list[0]
}

// pickDispatcher returns the dispatcher of one of the pools, or another router when that is a victim already.
func pickDispatcher(ctx context.Context, w *world, rng *rand.Rand) (*fleet.Router, error) {
	r, err := w.dispatcher(ctx, pools[rng.IntN(len(pools))])
	if err != nil || w.take(r) {
		return r, err
	}
	return pickRouter(w, rng), nil
}

func killDispatcher(ctx context.Context, w *world, rng *rand.Rand) error {
	victim, err := pickDispatcher(ctx, w, rng)
	if err != nil {
		return err
	}
	return killAndReplace(ctx, w, rng, victim)
}

func killIngress(ctx context.Context, w *world, rng *rand.Rand) error {
	return killAndReplace(ctx, w, rng, pickRouter(w, rng))
}

func killAndReplace(ctx context.Context, w *world, rng *rand.Rand, victim *fleet.Router) error {
	jitter(ctx, rng)
	w.kill(victim)
	if rng.IntN(2) == 0 {
		// Otherwise the new process comes before the death of the old one is noticed.
		periodic.Sleep(ctx, w.opts.Duration/2)
	}
	r, err := w.replace(ctx, victim, true)
	if err != nil {
		return err
	}
	return w.awaitServing(ctx, r.ID)
}

func pauseDispatcher(ctx context.Context, w *world, rng *rand.Rand) error {
	victim, err := pickDispatcher(ctx, w, rng)
	if err != nil {
		return err
	}
	jitter(ctx, rng)
	w.pause(ctx, victim, w.opts.Pause)
	return w.awaitServing(ctx, victim.ID)
}

// burst is the number of calls that are sent to a router just before it is paused.
const burst = 24

// pauseClaimHolder pauses a router while it holds open claims, and repeats their calls at another router.
func pauseClaimHolder(ctx context.Context, w *world, rng *rand.Rand) error {
	victim := pickRouter(w, rng)
	c := &load.Caller{Team: teams[0].Name}
	var group sync.WaitGroup
	for range burst {
		own := rand.New(rand.NewPCG(rng.Uint64(), 1))
		group.Go(func() { w.traffic.repeated(ctx, c, own, victim) })
	}
	periodic.Sleep(ctx, time.Duration(10+rng.IntN(60))*time.Millisecond)
	w.pause(ctx, victim, w.opts.Pause)
	group.Wait()
	return w.awaitServing(ctx, victim.ID)
}

func partitionRouter(ctx context.Context, w *world, rng *rand.Rand) error {
	victim := pickRouter(w, rng)
	jitter(ctx, rng)
	return partitionFor(ctx, w, []*fleet.Router{victim}, rng.IntN(3) > 0)
}

func partitionDomain(ctx context.Context, w *world, rng *rand.Rand) error {
	domain := pickRouter(w, rng).Domain
	var side []*fleet.Router
	for _, r := range w.current() {
		if r.Domain == domain {
			side = append(side, r)
		}
	}
	jitter(ctx, rng)
	return partitionFor(ctx, w, side, rng.IntN(2) == 0)
}

func partitionFor(ctx context.Context, w *world, side []*fleet.Router, platform bool) error {
	if err := w.partition(ctx, side, platform); err != nil {
		return err
	}
	periodic.Sleep(ctx, w.opts.Duration)
	return w.heal(ctx)
}

// storeFault has a fault of the store in force for a time.
func storeFault(f kvstore.Faults) func(ctx context.Context, w *world, rng *rand.Rand) error {
	return func(ctx context.Context, w *world, rng *rand.Rand) error {
		jitter(ctx, rng)
		if err := w.store(ctx, f); err != nil {
			return err
		}
		periodic.Sleep(ctx, w.opts.Duration)
		return w.store(ctx, kvstore.Faults{})
	}
}

// storeSlow slows the store down, below and then above the routers' time limit of 2 s.
func storeSlow(ctx context.Context, w *world, rng *rand.Rand) error {
	for _, delay := range []int{500 + rng.IntN(1000), 2500} {
		if err := storeFault(kvstore.Faults{DelayMS: delay})(ctx, w, rng); err != nil {
			return err
		}
	}
	return nil
}

// storeDownEmptyRouter restarts a router, which then knows no configuration, while the store is down.
func storeDownEmptyRouter(ctx context.Context, w *world, rng *rand.Rand) error {
	if err := w.store(ctx, kvstore.Faults{Outage: rng.IntN(2) == 0, Hang: true}); err != nil {
		return err
	}
	err := killAndReplace(ctx, w, rng, pickRouter(w, rng))
	return multierr.Append(err, w.store(ctx, kvstore.Faults{}))
}

func engineKilled(ctx context.Context, w *world, rng *rand.Rand) error {
	victim := w.fleet.Engines[rng.IntN(len(w.fleet.Engines))]
	jitter(ctx, rng)
	if err := w.keepExecutions(ctx, victim); err != nil {
		return err
	}
	victim.Kill()
	periodic.Sleep(ctx, w.opts.Duration)
	return nil
}

// engineFault has a fault of one engine in force for a time.
func engineFault(f engine.Faults) func(ctx context.Context, w *world, rng *rand.Rand) error {
	return func(ctx context.Context, w *world, rng *rand.Rand) error {
		victim := w.fleet.Engines[rng.IntN(len(w.fleet.Engines))]
		jitter(ctx, rng)
		if err := w.backendFaults(ctx, victim, f); err != nil {
			return err
		}
		periodic.Sleep(ctx, w.opts.Duration)
		return w.backendFaults(ctx, victim, engine.Faults{})
	}
}

// serviceDrops makes an instance close connections after calls that it ran.
func serviceDrops(ctx context.Context, w *world, rng *rand.Rand) error {
	for range 3 {
		victim := w.fleet.Services[rng.IntN(len(w.fleet.Services))]
		if err := w.backendFaults(ctx, victim, service.Faults{Drop: 1 + rng.IntN(20), Refuse: rng.IntN(5)}); err != nil {
			return err
		}
		periodic.Sleep(ctx, w.opts.Duration/3)
	}
	return nil
}

// rollingRestart replaces all routers one after the other. Nothing may be cut.
func rollingRestart(ctx context.Context, w *world, rng *rand.Rand) error {
	for _, r := range w.current() {
		jitter(ctx, rng)
		if err := w.restart(ctx, r); err != nil {
			return err
		}
	}
	return nil
}

// restartOne replaces a router. Nothing may be cut.
func restartOne(ctx context.Context, w *world, rng *rand.Rand) error {
	r := pickRouter(w, rng)
	jitter(ctx, rng)
	return w.restart(ctx, r)
}

// restartStoreLost replaces two routers while the store loses answers. Nothing may be cut.
func restartStoreLost(ctx context.Context, w *world, rng *rand.Rand) error {
	modes := []kvstore.LostMode{kvstore.LostApplied, kvstore.LostLate, kvstore.LostDropped}
	for range 2 {
		if err := w.store(ctx, kvstore.Faults{Lost: modes[rng.IntN(len(modes))], LateMS: 700}); err != nil {
			return err
		}
		if err := restartOne(ctx, w, rng); err != nil {
			return err
		}
	}
	return w.store(ctx, kvstore.Faults{})
}

// publishPartition publishes at random routers while one router is cut off and another one is restarted.
func publishPartition(ctx context.Context, w *world, rng *rand.Rand) error {
	list := w.current()
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, weight := range []float64{2, 3, 4} {
		if err := w.partition(ctx, list[:1], weight != 3); err != nil {
			return err
		}
		for n := range 4 {
			// A publish at a router that is cut off, or without a majority, is refused.
			_ = w.publish(ctx, list[n%3], teams[n%3].Name, weight+float64(n)/8)
			periodic.Sleep(ctx, w.opts.Duration/8)
		}
		if weight == 3 {
			if err := w.restart(ctx, list[3]); err != nil {
				return err
			}
		}
		if err := w.heal(ctx); err != nil {
			return err
		}
	}
	return w.publishEventually(ctx, 5)
}

// racingPublishes has two operators publish at the same time at two routers.
func racingPublishes(ctx context.Context, w *world, rng *rand.Rand) error {
	for n := range 12 {
		list := w.current()
		rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		var group sync.WaitGroup
		for k := range 2 {
			// The loser gets a conflict.
			group.Go(func() { _ = w.publish(ctx, list[k], teams[k].Name, float64(n+k+2)) })
		}
		group.Wait()
		jitter(ctx, rng)
	}
	return w.publishEventually(ctx, 20)
}

// twoFaults has two different faults at once.
func twoFaults(ctx context.Context, w *world, rng *rand.Rand) error {
	order := rng.Perm(len(single))
	var group sync.WaitGroup
	errs := make([]error, 2)
	for k := range errs {
		own := rand.New(rand.NewPCG(rng.Uint64(), uint64(k)))
		group.Go(func() { errs[k] = single[order[k]](ctx, w, own) })
	}
	group.Wait()
	return multierr.Combine(errs...)
}
