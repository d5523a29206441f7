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

// inForceWithin is the bound of promise P9: an accepted configuration is in force everywhere after this time.
const inForceWithin = 6 * time.Second

// observer records accepted publishes and reports routers that serve with an older configuration after inForceWithin.
type observer struct {
	fleet *fleet
	mu    sync.Mutex
	// accepted holds the accepted generations with the times from which they must be in force everywhere.
	accepted     []missingGeneration
	publishCount int
	violation    string
}

// publish publishes through a router as its operator endpoint does, and records the generation if it is accepted.
func (o *observer) publish(ctx context.Context, r *testRouter) {
	o.mu.Lock()
	o.publishCount++
	name := fmt.Sprintf("op-%d", o.publishCount)
	o.mu.Unlock()
	publisher, syncer := r.publisher(), r.currentSyncer()
	base, _, err := publisher.Head(ctx)
	if err != nil {
		return
	}
	gen, err := Apply(ctx, publisher, syncer, base, vmSet(name))
	if err != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.accepted = append(o.accepted, missingGeneration{generation: gen, serveUntil: time.Now().Add(inForceWithin)})
}

// dueGeneration returns the highest generation that must be in force everywhere.
func (o *observer) dueGeneration() ident.Generation {
	o.mu.Lock()
	defer o.mu.Unlock()
	highest := ident.Generation(0)
	for _, a := range o.accepted {
		if time.Now().After(a.serveUntil) {
			highest = max(highest, a.generation)
		}
	}
	return highest
}

func (o *observer) reportViolation(violation string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violation = violation
}

func (o *observer) reportedViolation() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.violation
}

// observe checks all running routers until the context ends.
func (o *observer) observe(ctx context.Context) {
	for periodic.Sleep(ctx, 50*time.Millisecond) {
		due := o.dueGeneration()
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
				o.reportViolation(fmt.Sprintf("running router %d serves with generation %d; %d was accepted", i, gen, due))
			}
		}
	}
}

// Guards against a router that serves with a configuration that was replaced more than 6 s ago, or whose generation
// decreases, under concurrent partitions, outages, lost responses and restarts.
func TestInForceUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadlineTB{t}, func(rt *rapid.T) {
			ctx, cancel := context.WithCancel(t.Context())
			f := newFleet(5)
			o := &observer{fleet: f}
			var group sync.WaitGroup
			defer func() {
				cancel()
				group.Wait()
				f.stopAll()
			}()
			if _, err := NewPublisher(f.store, always).Publish(ctx, 0, vmSet("first")); err != nil {
				rt.Fatal(err)
			}
			f.startAll(ctx)
			group.Go(func() { o.observe(ctx) })
			periodic.Sleep(ctx, convergenceTime)
			for range rapid.IntRange(1, 25).Draw(rt, "steps") {
				runRandomAction(ctx, rt, o, &group)
				pauseMS := rapid.SampledFrom([]int{0, 100, 600, 2500, 5000}).Draw(rt, "pause")
				periodic.Sleep(ctx, time.Duration(pauseMS)*time.Millisecond)
			}
			periodic.Sleep(ctx, inForceWithin+time.Second)
			if violation := o.reportedViolation(); violation != "" {
				rt.Fatal(violation)
			}
			f.stopAll()
			for _, r := range f.routers {
				if r.generationFell {
					rt.Fatalf("%s: generation decreased", r.id)
				}
			}
		})
	})
}

// runRandomAction draws one action and applies it to the fleet: a publish, a fault, a repair or a restart.
func runRandomAction(ctx context.Context, rt *rapid.T, o *observer, group *sync.WaitGroup) {
	f := o.fleet
	draw := func(label string) *testRouter { return f.routers[rapid.IntRange(0, len(f.routers)-1).Draw(rt, label)] }
	r := draw("router")
	actions := []string{
		"publish", "publish", "isolate", "join", "cut", "heal", "cut store", "heal store",
		"outage", "end outage", "restart", "lose",
	}
	switch rapid.SampledFrom(actions).Draw(rt, "action") {
	case "publish":
		group.Go(func() { o.publish(ctx, r) })
	case "isolate":
		f.isolate(r, true)
	case "join":
		f.isolate(r, false)
	case "cut":
		f.setPartitioned(r, draw("other"), true)
	case "heal":
		f.setPartitioned(r, draw("other"), false)
	case "cut store":
		f.setStoreUnreachable(r, true)
	case "heal store":
		f.setStoreUnreachable(r, false)
	case "outage":
		f.store.SetOutage(true)
	case "end outage":
		f.store.SetOutage(false)
	case "restart":
		r.shutdown()
		r.start(ctx)
	case "lose":
		f.loseNextHeadResponse(rapid.SampledFrom([]kv.FaultKind{
			kv.FaultLostApplied, kv.FaultLostLate, kv.FaultLostDropped,
		}).Draw(rt, "fate"))
	}
}

// loseNextHeadResponse loses the response to the next write of the head. kind determines whether and when the write
// takes effect.
func (f *fleet) loseNextHeadResponse(kind kv.FaultKind) {
	var once sync.Once
	f.store.Inject(func(op kv.Op, key string) kv.Fault {
		fault := kv.Fault{}
		if op == kv.OpCompareAndSwap && key == HeadKey {
			once.Do(func() { fault = kv.Fault{Kind: kind, Late: 3 * time.Second} })
		}
		return fault
	})
}
