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

// scenario is a named sequence of faults. inject injects them while the load runs, and returns when they are over.
type scenario struct {
	name string
	// routers is the number of routers; 0 means defaultRouters.
	routers int
	// gracefulOnly says that routers are only stopped gracefully. Then no caller's connection may be refused.
	gracefulOnly bool
	inject       func(ctx context.Context, h *harness, rng *rand.Rand) error
}

// defaultRouters is the default number of routers. It is one more than the 3 failure domains, so that one has two
// routers.
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
	{name: "rolling-restart", gracefulOnly: true, inject: rollingRestart},
	{name: "restart-store-lost", gracefulOnly: true, inject: restartStoreLost},
	{name: "publish-partition", inject: publishPartition},
	{name: "racing-publishes", inject: racingPublishes},
	{name: "two-faults", routers: 5, inject: twoFaults},
}

// combinable lists the faults that two-faults combines. None of them ends the process of a backend server, because its
// execution log would be lost.
var combinable = []func(ctx context.Context, h *harness, rng *rand.Rand) error{
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

// pools holds the names of the pools, with which the names of their shards begin.
var pools = []string{"model/" + modelName, "service/" + serviceName}

// jitter waits for a random time of up to half a second.
func jitter(ctx context.Context, rng *rand.Rand) {
	periodic.Sleep(ctx, time.Duration(rng.IntN(500))*time.Millisecond)
}

// pickRouter reserves and returns a random router that is not reserved yet. If all are reserved it returns any of them.
func pickRouter(h *harness, rng *rand.Rand) *fleet.Router {
	list := h.currentRouters()
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, r := range list {
		if h.reserve(r) {
			return r
		}
	}
	return list[0]
}

// pickDispatcher reserves and returns the dispatcher of a random pool, or another router if that is already reserved.
func pickDispatcher(ctx context.Context, h *harness, rng *rand.Rand) (*fleet.Router, error) {
	r, err := h.findDispatcher(ctx, pools[rng.IntN(len(pools))])
	if err != nil || h.reserve(r) {
		return r, err
	}
	return pickRouter(h, rng), nil
}

func killDispatcher(ctx context.Context, h *harness, rng *rand.Rand) error {
	victim, err := pickDispatcher(ctx, h, rng)
	if err != nil {
		return err
	}
	return killAndReplace(ctx, h, rng, victim)
}

func killIngress(ctx context.Context, h *harness, rng *rand.Rand) error {
	return killAndReplace(ctx, h, rng, pickRouter(h, rng))
}

func killAndReplace(ctx context.Context, h *harness, rng *rand.Rand, victim *fleet.Router) error {
	jitter(ctx, rng)
	h.kill(victim)
	if rng.IntN(2) == 0 {
		// Without this wait the new process starts before the other routers notice that the old one has ended.
		periodic.Sleep(ctx, h.opts.Duration/2)
	}
	r, err := h.replace(ctx, victim, true)
	if err != nil {
		return err
	}
	return h.awaitServing(ctx, r.ID)
}

func pauseDispatcher(ctx context.Context, h *harness, rng *rand.Rand) error {
	victim, err := pickDispatcher(ctx, h, rng)
	if err != nil {
		return err
	}
	jitter(ctx, rng)
	h.pause(ctx, victim, h.opts.Pause)
	return h.awaitServing(ctx, victim.ID)
}

// burstCalls is the number of calls that are sent to a router just before it is paused.
const burstCalls = 24

// pauseClaimHolder pauses a router while it holds open claims, and repeats the calls of these claims at other routers.
func pauseClaimHolder(ctx context.Context, h *harness, rng *rand.Rand) error {
	victim := pickRouter(h, rng)
	c := &load.Caller{Team: teams[0].Name}
	var group sync.WaitGroup
	for range burstCalls {
		callRand := rand.New(rand.NewPCG(rng.Uint64(), 1))
		group.Go(func() { h.traffic.sendRepeated(ctx, c, callRand, victim) })
	}
	periodic.Sleep(ctx, time.Duration(10+rng.IntN(60))*time.Millisecond)
	h.pause(ctx, victim, h.opts.Pause)
	group.Wait()
	return h.awaitServing(ctx, victim.ID)
}

func partitionRouter(ctx context.Context, h *harness, rng *rand.Rand) error {
	victim := pickRouter(h, rng)
	jitter(ctx, rng)
	return partitionFor(ctx, h, []*fleet.Router{victim}, rng.IntN(3) > 0)
}

func partitionDomain(ctx context.Context, h *harness, rng *rand.Rand) error {
	domain := pickRouter(h, rng).Domain
	var side []*fleet.Router
	for _, r := range h.currentRouters() {
		if r.Domain == domain {
			side = append(side, r)
		}
	}
	jitter(ctx, rng)
	return partitionFor(ctx, h, side, rng.IntN(2) == 0)
}

func partitionFor(ctx context.Context, h *harness, side []*fleet.Router, blockPlatform bool) error {
	if err := h.partition(ctx, side, blockPlatform); err != nil {
		return err
	}
	periodic.Sleep(ctx, h.opts.Duration)
	return h.heal(ctx)
}

// storeFault returns a function that keeps faults of the store in force for Options.Duration.
func storeFault(f kvstore.Faults) func(ctx context.Context, h *harness, rng *rand.Rand) error {
	return func(ctx context.Context, h *harness, rng *rand.Rand) error {
		jitter(ctx, rng)
		if err := h.setStoreFaults(ctx, f); err != nil {
			return err
		}
		periodic.Sleep(ctx, h.opts.Duration)
		return h.setStoreFaults(ctx, kvstore.Faults{})
	}
}

// storeSlow delays the store's answers, first by less and then by more than the routers' time limit of 2 s.
func storeSlow(ctx context.Context, h *harness, rng *rand.Rand) error {
	for _, delay := range []int{500 + rng.IntN(1000), 2500} {
		if err := storeFault(kvstore.Faults{DelayMS: delay})(ctx, h, rng); err != nil {
			return err
		}
	}
	return nil
}

// storeDownEmptyRouter kills and replaces a router while the store is down or hangs. The new process then has no
// configuration.
func storeDownEmptyRouter(ctx context.Context, h *harness, rng *rand.Rand) error {
	if err := h.setStoreFaults(ctx, kvstore.Faults{Outage: rng.IntN(2) == 0, Hang: true}); err != nil {
		return err
	}
	err := killAndReplace(ctx, h, rng, pickRouter(h, rng))
	return multierr.Append(err, h.setStoreFaults(ctx, kvstore.Faults{}))
}

func engineKilled(ctx context.Context, h *harness, rng *rand.Rand) error {
	victim := h.fleet.Engines[rng.IntN(len(h.fleet.Engines))]
	jitter(ctx, rng)
	if err := h.saveExecutions(ctx, victim); err != nil {
		return err
	}
	victim.Kill()
	periodic.Sleep(ctx, h.opts.Duration)
	return nil
}

// engineFault returns a function that keeps faults of a random engine in force for Options.Duration.
func engineFault(f engine.Faults) func(ctx context.Context, h *harness, rng *rand.Rand) error {
	return func(ctx context.Context, h *harness, rng *rand.Rand) error {
		victim := h.fleet.Engines[rng.IntN(len(h.fleet.Engines))]
		jitter(ctx, rng)
		if err := h.setBackendFaults(ctx, victim, f); err != nil {
			return err
		}
		periodic.Sleep(ctx, h.opts.Duration)
		return h.setBackendFaults(ctx, victim, engine.Faults{})
	}
}

// serviceDrops makes instances of the service refuse calls, and close connections after calls that they ran.
func serviceDrops(ctx context.Context, h *harness, rng *rand.Rand) error {
	for range 3 {
		victim := h.fleet.Services[rng.IntN(len(h.fleet.Services))]
		if err := h.setBackendFaults(ctx, victim, service.Faults{Drop: 1 + rng.IntN(20), Refuse: rng.IntN(5)}); err != nil {
			return err
		}
		periodic.Sleep(ctx, h.opts.Duration/3)
	}
	return nil
}

// rollingRestart shuts down and replaces all routers one after the other. No request may be cut off.
func rollingRestart(ctx context.Context, h *harness, rng *rand.Rand) error {
	for _, r := range h.currentRouters() {
		jitter(ctx, rng)
		if err := h.restart(ctx, r); err != nil {
			return err
		}
	}
	return nil
}

// restartOne shuts down and replaces a random router. No request may be cut off.
func restartOne(ctx context.Context, h *harness, rng *rand.Rand) error {
	r := pickRouter(h, rng)
	jitter(ctx, rng)
	return h.restart(ctx, r)
}

// restartStoreLost shuts down and replaces two routers while the store loses answers. No request may be cut off.
func restartStoreLost(ctx context.Context, h *harness, rng *rand.Rand) error {
	modes := []kvstore.LostMode{kvstore.LostApplied, kvstore.LostLate, kvstore.LostDropped}
	for range 2 {
		if err := h.setStoreFaults(ctx, kvstore.Faults{Lost: modes[rng.IntN(len(modes))], LateMS: 700}); err != nil {
			return err
		}
		if err := restartOne(ctx, h, rng); err != nil {
			return err
		}
	}
	return h.setStoreFaults(ctx, kvstore.Faults{})
}

// publishPartition publishes at three routers, one of which is cut off from the others, and restarts a fourth one.
func publishPartition(ctx context.Context, h *harness, rng *rand.Rand) error {
	list := h.currentRouters()
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, weight := range []float64{2, 3, 4} {
		if err := h.partition(ctx, list[:1], weight != 3); err != nil {
			return err
		}
		for n := range 4 {
			// A publish is refused at a router that is cut off or lacks a majority.
			_ = h.publish(ctx, list[n%3], teams[n%3].Name, weight+float64(n)/8)
			periodic.Sleep(ctx, h.opts.Duration/8)
		}
		if weight == 3 {
			if err := h.restart(ctx, list[3]); err != nil {
				return err
			}
		}
		if err := h.heal(ctx); err != nil {
			return err
		}
	}
	return h.publishEventually(ctx, 5)
}

// racingPublishes has two operators publish at the same time at two routers.
func racingPublishes(ctx context.Context, h *harness, rng *rand.Rand) error {
	for n := range 12 {
		list := h.currentRouters()
		rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		var group sync.WaitGroup
		for k := range 2 {
			// One of the two is refused with a conflict.
			group.Go(func() { _ = h.publish(ctx, list[k], teams[k].Name, float64(n+k+2)) })
		}
		group.Wait()
		jitter(ctx, rng)
	}
	return h.publishEventually(ctx, 20)
}

// twoFaults injects two different faults at the same time.
func twoFaults(ctx context.Context, h *harness, rng *rand.Rand) error {
	order := rng.Perm(len(combinable))
	var group sync.WaitGroup
	errs := make([]error, 2)
	for k := range errs {
		faultRand := rand.New(rand.NewPCG(rng.Uint64(), uint64(k)))
		group.Go(func() { errs[k] = combinable[order[k]](ctx, h, faultRand) })
	}
	group.Wait()
	return multierr.Combine(errs...)
}
