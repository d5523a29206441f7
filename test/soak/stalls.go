package main

import (
	"context"
	"slices"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
)

const (
	minFaultDuration, maxFaultDuration = 300 * time.Millisecond, 3300 * time.Millisecond
	minStall, maxStall                 = 500 * time.Millisecond, 2500 * time.Millisecond
	// stallWeight is how many times as often as another fault each stall is drawn. Most stalls do no harm, since
	// another engine takes over.
	stallWeight = 4
)

// stalls are the faults in which an engine sends nothing for a while and then resumes.
var stalls = []fault{
	{"engine-stalls", stall((*proxy).hold)},
	{"engine-connection-stalls", stall((*proxy).holdActive)},
}

// stallDuration maps the duration of a fault to that of a stall, between minStall and maxStall.
func stallDuration(d time.Duration) time.Duration {
	return minStall + (d-minFaultDuration)*(maxStall-minStall)/(maxFaultDuration-minFaultDuration)
}

// stalledEngine returns the engine for a stall. In place of the engines that share its lock in inject, it is the single
// engine, because its requests have no other server.
func (d *deployment) stalledEngine(pick int) *engine {
	single := slices.Index(engineServices, singleService)
	if single < len(d.engines) && pick%len(d.routers) == single%len(d.routers) {
		return d.engines[single]
	}
	return d.engine(pick)
}

// stall holds data of an engine's connections back for a while and then delivers it, as if the process of the engine
// were suspended.
func stall(hold func(*proxy) (release func())) func(context.Context, *deployment, int, time.Duration) {
	return func(ctx context.Context, d *deployment, pick int, duration time.Duration) {
		e := d.stalledEngine(pick)
		d.recordCut(e)
		release := hold(e.proxy)
		periodic.Sleep(ctx, stallDuration(duration))
		release()
		d.recordCut(e)
	}
}
