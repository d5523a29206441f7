package main

import (
	"context"
	"syscall"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
	"gooseberrytide.example/gooseberrytide/test/standin/platformengine"
)

// fault is a disruption that begins and ends.
type fault struct {
	name string
	run  func(ctx context.Context, w *world, pick int, length time.Duration)
}

// faults are all disruptions. Each restores what it harmed.
var faults = []fault{
	{"kill", killRouter},
	{"pause", pauseRouter},
	{"stop", stopRouter},
	{"hangup", func(_ context.Context, w *world, pick int, _ time.Duration) { w.router(pick).signal(syscall.SIGHUP) }},
	{"store-down", func(ctx context.Context, w *world, _ int, length time.Duration) {
		w.store.SetDown(true)
		w.disturbAll()
		periodic.Sleep(ctx, length)
		w.store.SetDown(false)
		w.calmAll()
	}},
	{"store-forgets", func(_ context.Context, w *world, _ int, _ time.Duration) { w.store.Compact() }},
	{"store-loses-answers", func(ctx context.Context, w *world, _ int, length time.Duration) {
		w.store.SetLoseWriteResponses(true)
		periodic.Sleep(ctx, length)
		w.store.SetLoseWriteResponses(false)
	}},
	{"store-refuses-router", storeProxy(proxyRefuse)},
	{"store-silent-for-router", storeProxy(proxySilence)},
	{"store-slow-for-router", storeProxy(proxySlow)},
	{"engine-silent", engineProxy(proxySilence)},
	{"engine-answers-lost", engineProxy(proxyOneWay)},
	{"engine-unreachable", engineProxy(proxyRefuse)},
	{"engine-resets", func(_ context.Context, w *world, pick int, _ time.Duration) { w.engine(pick).proxy.reset() }},
	{"engine-full", engineMode(platformengine.Full)},
	{"engine-fails", engineMode(platformengine.Fail)},
	{"engine-breaks-off", engineMode(platformengine.Truncate)},
	{"engine-drops", engineMode(platformengine.Reset)},
	{"engine-foreign-answers", engineMode(platformengine.Foreign)},
	{"engine-leaves", engineLeaves},
	{"config", func(_ context.Context, w *world, _ int, _ time.Duration) { w.configure() }},
	{"remove-key", removeKey},
}

func (w *world) router(pick int) *router { return w.routers[pick%len(w.routers)] }

func (w *world) engine(pick int) *engine { return w.engines[pick%len(w.engines)] }

func (w *world) disturbAll() {
	for _, r := range w.routers {
		r.disturb()
	}
}

func (w *world) calmAll() {
	for _, r := range w.routers {
		r.calm()
	}
}

func killRouter(ctx context.Context, w *world, pick int, length time.Duration) {
	r := w.router(pick)
	r.signal(syscall.SIGKILL)
	<-r.done
	periodic.Sleep(ctx, length/4)
	w.restart(r)
}

func (w *world) restart(r *router) {
	if err := r.start(w.binary); err != nil {
		w.report.broken("%v", err)
	}
	r.calm()
}

func pauseRouter(ctx context.Context, w *world, pick int, length time.Duration) {
	r := w.router(pick)
	r.signal(syscall.SIGSTOP)
	periodic.Sleep(ctx, length)
	r.signal(syscall.SIGCONT)
	r.calm()
}

// stopRouter stops a router as planned work does, and starts it again.
func stopRouter(_ context.Context, w *world, pick int, _ time.Duration) {
	r := w.router(pick)
	r.signal(syscall.SIGTERM)
	select {
	case <-r.done:
	case <-time.After((graceSeconds + 1) * time.Second):
		if r.inTouch(time.Now()) {
			w.report.broken("%s: still runs after its grace time", r.name)
		}
		r.signal(syscall.SIGKILL)
		<-r.done
	}
	w.restart(r)
}

func storeProxy(mode proxyMode) func(context.Context, *world, int, time.Duration) {
	return func(ctx context.Context, w *world, pick int, length time.Duration) {
		r := w.router(pick)
		r.disturb()
		r.store.set(mode)
		r.store.reset()
		periodic.Sleep(ctx, length)
		r.store.set(proxyPass)
		r.store.reset()
		r.calm()
	}
}

func engineProxy(mode proxyMode) func(context.Context, *world, int, time.Duration) {
	return func(ctx context.Context, w *world, pick int, length time.Duration) {
		p := w.engine(pick).proxy
		p.set(mode)
		periodic.Sleep(ctx, length)
		p.set(proxyPass)
		p.reset()
	}
}

func engineMode(mode platformengine.Mode) func(context.Context, *world, int, time.Duration) {
	return func(ctx context.Context, w *world, pick int, length time.Duration) {
		e := w.engine(pick)
		e.SetMode(mode)
		periodic.Sleep(ctx, length)
		e.SetMode(platformengine.Serve)
	}
}

// engineLeaves drains an engine for a while.
func engineLeaves(ctx context.Context, w *world, pick int, length time.Duration) {
	e := w.engine(pick)
	w.mu.Lock()
	w.announce(e, "draining")
	e.leaving = time.Now()
	w.mu.Unlock()
	periodic.Sleep(ctx, length+drainTime)
	w.mu.Lock()
	e.leaving = time.Time{}
	w.announce(e, "ready")
	w.mu.Unlock()
}

// removeKey takes away a key and adds another one.
func removeKey(_ context.Context, w *world, _ int, _ time.Duration) {
	w.mu.Lock()
	for key, removed := range w.keys {
		if removed.IsZero() && len(w.keys) > 1 {
			w.keys[key] = time.Now()
			break
		}
	}
	w.mu.Unlock()
	w.addKey()
	w.configure()
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, removed := range w.keys {
		if !removed.IsZero() && time.Since(removed) < time.Second {
			w.keys[key] = time.Now() // the bound runs from the store's answer
		}
	}
}
