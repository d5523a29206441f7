package main

import (
	"context"
	"slices"
	"strings"
	"syscall"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
	"gooseberrytide.example/gooseberrytide/test/standin/platformengine"
)

// fault is a disruption. run injects it and returns once it is over; pick selects the router or the engine, modulo
// their number.
type fault struct {
	name string
	run  func(ctx context.Context, d *deployment, pick int, duration time.Duration)
}

// faults lists all faults but the stalls. Each one restores what it disrupts before it returns.
var faults = []fault{
	{"kill", killRouter},
	{"pause", pauseRouter},
	{"stop", stopRouter},
	{"hangup", func(_ context.Context, d *deployment, pick int, _ time.Duration) {
		d.router(pick).signal(syscall.SIGHUP)
	}},
	{"store-down", func(ctx context.Context, d *deployment, _ int, duration time.Duration) {
		d.store.SetDown(true)
		d.markAllDisrupted()
		periodic.Sleep(ctx, duration)
		d.store.SetDown(false)
		d.markAllRestored()
	}},
	{"store-forgets", func(_ context.Context, d *deployment, _ int, _ time.Duration) { d.store.Compact() }},
	{"store-restored", restoreStore},
	{"store-loses-answers", func(ctx context.Context, d *deployment, _ int, duration time.Duration) {
		d.store.SetLoseWriteResponses(true)
		periodic.Sleep(ctx, duration)
		d.store.SetLoseWriteResponses(false)
	}},
	{"store-refuses-router", storeProxy(proxyRefuse)},
	{"store-silent-for-router", storeProxy(proxyBlackhole)},
	{"store-slow-for-router", storeProxy(proxySlow)},
	{"engine-silent", engineProxy(proxyBlackhole)},
	{"engine-answers-lost", engineProxy(proxyDropAnswers)},
	{"engine-unreachable", engineProxy(proxyRefuse)},
	{"engine-resets", func(_ context.Context, d *deployment, pick int, _ time.Duration) {
		e := d.engine(pick)
		end := d.beginBreak(e)
		e.proxy.closeAll()
		end()
	}},
	{"engine-full", engineMode(platformengine.Full)},
	{"engine-fails", engineMode(platformengine.Fail)},
	{"engine-breaks-off", engineMode(platformengine.Truncate)},
	{"engine-drops", engineMode(platformengine.Reset)},
	{"engine-foreign-answers", engineMode(platformengine.Foreign)},
	{"engine-endless-heads", engineMode(platformengine.EndlessHead)},
	{"engine-endless-bodies", engineMode(platformengine.EndlessBody)},
	{"engine-endless-rests", engineMode(platformengine.EndlessRest)},
	{"engine-announces-leaving", leaveEngine},
	{"engine-pauses", pauseEngine},
	{"engine-leaves", drainEngine},
	{"poison", poison},
	{crashRequestFault, crashOnRequest},
	{limitFault, limitEngines},
	{evacuationFault, evacuateDomain},
	{coldFault, restartCold},
	{"config", func(_ context.Context, d *deployment, _ int, _ time.Duration) { d.writeConfig() }},
	{"remove-key", removeKey},
	{"config-timeout", changeTimeout},
	{"config-routes", moveRoutes},
	{"config-weights", changeWeights},
	{"config-team", addTeam},
	{"config-rate-down", reduceRate},
	{"config-rate-up", raiseRate},
	{"config-idle-timeout", changeIdleTimeout},
	{"config-series", changeInSeries},
}

// selectFaults returns the faults whose names begin with one of the prefixes, which are separated by commas.
func selectFaults(prefixes string) []fault {
	all := slices.Concat(faults, slices.Repeat(stalls, stallWeight))
	return slices.DeleteFunc(all, func(f fault) bool {
		return !slices.ContainsFunc(strings.Split(prefixes, ","), func(p string) bool { return strings.HasPrefix(f.name, p) })
	})
}

func (d *deployment) router(pick int) *router { return d.routers[pick%len(d.routers)] }

func (d *deployment) engine(pick int) *engine { return d.engines[pick%len(d.engines)] }

func (d *deployment) markAllDisrupted() {
	for _, r := range d.routers {
		r.markDisrupted()
	}
}

func (d *deployment) markAllRestored() {
	for _, r := range d.routers {
		r.markRestored()
	}
}

func killRouter(ctx context.Context, d *deployment, pick int, duration time.Duration) {
	r := d.router(pick)
	r.signal(syscall.SIGKILL)
	<-r.done
	periodic.Sleep(ctx, duration/4)
	d.restart(r)
}

func (d *deployment) restart(r *router) {
	if err := r.start(d.binary); err != nil {
		d.report.addViolation("%v", err)
	}
	r.markRestored()
}

func pauseRouter(ctx context.Context, d *deployment, pick int, duration time.Duration) {
	r := d.router(pick)
	r.signal(syscall.SIGSTOP)
	periodic.Sleep(ctx, duration)
	r.signal(syscall.SIGCONT)
	r.markRestored()
}

// stopRouter shuts a router down gracefully and starts it again. It reports an undisturbed router that still runs one
// second after its grace time.
func stopRouter(_ context.Context, d *deployment, pick int, _ time.Duration) {
	r := d.router(pick)
	r.signal(syscall.SIGTERM)
	select {
	case <-r.done:
	case <-time.After((graceSeconds + 1) * time.Second):
		if r.undisturbed(time.Now()) {
			d.report.addViolation("%s: still running after its grace time", r.name)
		}
		r.signal(syscall.SIGKILL)
		<-r.done
	}
	d.restart(r)
}

const (
	// restoreOutage is how long the store is away before it comes back from an older copy.
	restoreOutage = 200 * time.Millisecond
	// rewriteDelay is the time after which the operators and the engines write again what the copy lacks.
	rewriteDelay = 300 * time.Millisecond
)

// restoreStore lets the store come back from a copy that is as old as duration.
func restoreStore(ctx context.Context, d *deployment, _ int, duration time.Duration) {
	older := d.store.Copy()
	periodic.Sleep(ctx, duration)
	d.store.SetDown(true)
	d.markAllDisrupted()
	periodic.Sleep(ctx, restoreOutage)
	d.store.Restore(older)
	d.store.SetDown(false)
	periodic.Sleep(ctx, rewriteDelay)
	d.writeConfig()
	d.mu.Lock()
	for _, e := range d.engines {
		state := "ready"
		if !e.drainingSince.IsZero() {
			state = "draining"
		}
		d.writeEngineEntry(e, state)
	}
	d.writeEvacuationAgain()
	d.mu.Unlock()
	d.markAllRestored()
}

func storeProxy(mode proxyMode) func(context.Context, *deployment, int, time.Duration) {
	return func(ctx context.Context, d *deployment, pick int, duration time.Duration) {
		r := d.router(pick)
		r.markDisrupted()
		r.store.setMode(mode)
		r.store.closeAll()
		periodic.Sleep(ctx, duration)
		r.store.setMode(proxyForward)
		r.store.closeAll()
		r.markRestored()
	}
}

func engineProxy(mode proxyMode) func(context.Context, *deployment, int, time.Duration) {
	return func(ctx context.Context, d *deployment, pick int, duration time.Duration) {
		e := d.engine(pick)
		end := d.beginBreak(e)
		d.recordCut(e)
		e.proxy.setMode(mode)
		periodic.Sleep(ctx, duration)
		e.proxy.setMode(proxyForward)
		e.proxy.closeAll()
		d.recordCut(e)
		end()
	}
}

func engineMode(mode platformengine.Mode) func(context.Context, *deployment, int, time.Duration) {
	return func(ctx context.Context, d *deployment, pick int, duration time.Duration) {
		e := d.engine(pick)
		if mode != platformengine.Full {
			defer d.beginBreak(e)()
		}
		e.SetMode(mode)
		periodic.Sleep(ctx, duration)
		e.SetMode(platformengine.Serve)
	}
}

// drainEngine announces an engine as draining, and as ready again after duration and drainTime.
func drainEngine(ctx context.Context, d *deployment, pick int, duration time.Duration) {
	e := d.engine(pick)
	d.mu.Lock()
	d.writeEngineEntry(e, "draining")
	e.drainingSince = time.Now()
	d.mu.Unlock()
	periodic.Sleep(ctx, duration+drainTime)
	d.mu.Lock()
	e.drainingSince = time.Time{}
	d.writeEngineEntry(e, "ready")
	d.mu.Unlock()
}
