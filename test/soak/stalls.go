package main

import (
	"context"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
)

const (
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 3300 * time.Millisecond
	minStall         = 500 * time.Millisecond
	maxStall         = 2500 * time.Millisecond
)

// stallDuration maps the duration of a fault to that of a stall, between minStall and maxStall.
func stallDuration(d time.Duration) time.Duration {
	return minStall + (d-minFaultDuration)*(maxStall-minStall)/(maxFaultDuration-minFaultDuration)
}

// stall holds data of an engine's connections back for a while and then delivers it, as if the process of the engine were
// suspended.
func stall(hold func(*proxy) (release func())) func(context.Context, *deployment, int, time.Duration) {
	return func(ctx context.Context, d *deployment, pick int, duration time.Duration) {
		e := d.engine(pick)
		d.recordCut(e)
		release := hold(e.proxy)
		periodic.Sleep(ctx, stallDuration(duration))
		release()
		d.recordCut(e)
	}
}
