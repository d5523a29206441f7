package publish

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
)

// inForceWithin is promise P9: an accepted configuration is in force everywhere after this time.
const inForceWithin = 6 * time.Second

// observer records accepted publishes and looks for routers that serve with an older configuration.
type observer struct {
	fleet *fleet
	mu    sync.Mutex
	// accepted are generations with the time at which they must be in force everywhere.
	accepted []missing
	serial   int
	fault    string
}

// publish publishes through a router as its operator endpoint does, and records an accepted generation.
func (o *observer) publish(ctx context.Context, r *testRouter) {
	o.mu.Lock()
	o.serial++
	name := fmt.Sprintf("op-%d", o.serial)
	o.mu.Unlock()
	publisher, syncer := r.publisher(), r.running()
	base, _, err := publisher.Head(ctx)
	if err != nil {
		return
	}
	gen, err := Apply(ctx, publisher, syncer, base, vms(name))
	if err != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.accepted = append(o.accepted, missing{generation: gen, until: time.Now().Add(inForceWithin)})
}

// due returns the highest generation that must be in force everywhere.
func (o *observer) due() ident.Generation {
	o.mu.Lock()
	defer o.mu.Unlock()
	highest := ident.Generation(0)
	for _, a := range o.accepted {
		if time.Now().After(a.until) {
			highest = max(highest, a.generation)
		}
	}
	return highest
}

func (o *observer) report(fault string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fault = fault
}

func (o *observer) reported() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.fault
}

// observe looks at all routers until the context ends.
func (o *observer) observe(ctx context.Context) {
	for periodic.Sleep(ctx, 50*time.Millisecond) {
		due := o.due()
		o.fleet.mu.Lock()
		routers := append([]*testRouter(nil), o.fleet.routers...)
		var syncers []*Syncer
		for _, r := range routers {
			if r.stop != nil {
				syncers = append(syncers, r.syncer)
			}
		}
		o.fleet.mu.Unlock()
		for i, s := range syncers {
			if gen := s.generation(); gen < due && s.Serving() {
				o.report(fmt.Sprintf("running router %d serves with generation %d; %d was accepted", i, gen, due))
			}
		}
	}
}

// Guards against a router that serves with a configuration that was replaced more than 6 s ago, or whose generation
// falls, under partitions, outages, lost answers and restarts, several at once.
func TestInForceUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(rt *rapid.T) {
			ctx, cancel := context.WithCancel(t.Context())
			f := newFleet(5)
			o := &observer{fleet: f}
			var group sync.WaitGroup
			defer func() {
				cancel()
				group.Wait()
				f.stopAll()
			}()
			if _, err := NewPublisher(f.store, always).Publish(ctx, 0, vms("first")); err != nil {
				rt.Fatal(err)
			}
			f.startAll(ctx)
			group.Go(func() { o.observe(ctx) })
			periodic.Sleep(ctx, settled)
			for range rapid.IntRange(1, 25).Draw(rt, "steps") {
				disturb(ctx, rt, o, &group)
				pauseMS := rapid.SampledFrom([]int{0, 100, 600, 2500, 5000}).Draw(rt, "pause")
				periodic.Sleep(ctx, time.Duration(pauseMS)*time.Millisecond)
			}
			periodic.Sleep(ctx, inForceWithin+time.Second)
			if fault := o.reported(); fault != "" {
				rt.Fatal(fault)
			}
			f.stopAll()
			for _, r := range f.routers {
				if r.fell {
					rt.Fatalf("%s: generation fell", r.id)
				}
			}
		})
	})
}

func disturb(ctx context.Context, rt *rapid.T, o *observer, group *sync.WaitGroup) {
	f := o.fleet
	draw := func(label string) *testRouter { return f.routers[rapid.IntRange(0, len(f.routers)-1).Draw(rt, label)] }
	r := draw("router")
	actions := []string{"publish", "publish", "isolate", "join", "cut", "heal", "cut store", "heal store", "outage", "end outage", "restart", "lose"}
	switch rapid.SampledFrom(actions).Draw(rt, "action") {
	case "publish":
		group.Go(func() { o.publish(ctx, r) })
	case "isolate":
		f.isolate(r, true)
	case "join":
		f.isolate(r, false)
	case "cut":
		f.setCut(r, draw("other"), true)
	case "heal":
		f.setCut(r, draw("other"), false)
	case "cut store":
		f.cutStore(r, true)
	case "heal store":
		f.cutStore(r, false)
	case "outage":
		f.store.SetOutage(true)
	case "end outage":
		f.store.SetOutage(false)
	case "restart":
		r.shutdown()
		r.start(ctx)
	case "lose":
		f.loseOne(rapid.SampledFrom([]kv.FaultKind{kv.FaultLostApplied, kv.FaultLostLate, kv.FaultLostDropped}).Draw(rt, "fate"))
	}
}

// loseOne loses the answer of the next write of the head.
func (f *fleet) loseOne(kind kv.FaultKind) {
	var once sync.Once
	f.store.Inject(func(op kv.Op, key string) kv.Fault {
		fault := kv.Fault{}
		if op == kv.OpCompareAndSwap && key == HeadKey {
			once.Do(func() { fault = kv.Fault{Kind: kind, Late: 3 * time.Second} })
		}
		return fault
	})
}
