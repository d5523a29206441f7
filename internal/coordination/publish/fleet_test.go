package publish

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
	"gooseberrytide.example/gooseberrytide/internal/state/snapshot"
)

// heartbeat is the time between messages of two test routers.
const heartbeat = 500 * time.Millisecond

// fleet is a set of routers in memory with partitions.
type fleet struct {
	store *kv.Fake

	mu      sync.Mutex
	routers []*testRouter
	listed  int
	// cut says that two routers cannot reach each other.
	cut map[[2]ident.RouterID]bool
	// corrupt changes the answers to pulls.
	corrupt func(*PullResponse)
}

// testRouter is a router that may restart. Its fields are guarded by the fleet's mutex.
type testRouter struct {
	id       ident.RouterID
	fleet    *fleet
	holder   *snapshot.Holder
	syncer   *Syncer
	stop     func()
	heard    map[ident.RouterID]time.Time
	gens     map[ident.RouterID]ident.Generation
	storeCut bool
	watcher  bool
	// fell says that a snapshot with a lower generation came into force.
	fell bool
}

func newFleet(size int) *fleet {
	f := &fleet{store: kv.NewFake(), listed: size, cut: make(map[[2]ident.RouterID]bool)}
	for i := range size {
		r := &testRouter{id: ident.RouterID(fmt.Sprintf("r%d", i)), fleet: f, watcher: i < 3}
		f.routers = append(f.routers, r)
	}
	return f
}

// start runs a router with an empty memory until it is stopped.
func (r *testRouter) start(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var last ident.Generation
	f := r.fleet
	f.mu.Lock()
	r.heard = make(map[ident.RouterID]time.Time)
	r.gens = make(map[ident.RouterID]ident.Generation)
	r.holder = &snapshot.Holder{}
	r.syncer = NewSyncer(SyncOptions{
		Store: gate{r.fleet.store, r}, Holder: r.holder, Peers: r,
		Watch: func() bool { return r.watcher },
		OnSnapshot: func(s *snapshot.Snapshot) {
			r.fell = r.fell || s.Generation() <= last
			last = s.Generation()
		},
	})
	var group sync.WaitGroup
	syncer := r.syncer
	group.Go(func() { _ = syncer.Run(ctx) })
	group.Go(func() { r.beat(ctx) })
	r.stop = func() {
		cancel()
		group.Wait()
	}
	f.mu.Unlock()
}

func (r *testRouter) shutdown() {
	f := r.fleet
	f.mu.Lock()
	stop := r.stop
	r.stop = nil
	f.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// beat sends heartbeats to all routers that can be reached.
func (r *testRouter) beat(ctx context.Context) {
	for periodic.Sleep(ctx, heartbeat) {
		f := r.fleet
		f.mu.Lock()
		gen := r.syncer.Announced()
		var to []*testRouter
		for _, other := range f.routers {
			if f.reach(r, other) {
				to = append(to, other)
			}
		}
		f.mu.Unlock()
		for _, other := range to {
			other.receive(r.id, gen)
		}
	}
}

func (r *testRouter) receive(from ident.RouterID, gen ident.Generation) {
	r.running().PeerGeneration(from, gen)
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	r.heard[from] = time.Now()
	r.gens[from] = gen
}

// reach says whether two different running routers can talk. The caller holds the mutex.
func (f *fleet) reach(a, b *testRouter) bool {
	return a != b && a.stop != nil && b.stop != nil && !f.cut[[2]ident.RouterID{a.id, b.id}]
}

func (f *fleet) setCut(a, b *testRouter, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[[2]ident.RouterID{a.id, b.id}] = cut
	f.cut[[2]ident.RouterID{b.id, a.id}] = cut
}

// isolate cuts a router off from all others, or joins it again.
func (f *fleet) isolate(r *testRouter, cut bool) {
	for _, other := range f.routers {
		f.setCut(r, other, cut)
	}
}

func (f *fleet) cutStore(r *testRouter, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r.storeCut = cut
}

func (f *fleet) startAll(ctx context.Context) {
	for _, r := range f.routers {
		r.start(ctx)
	}
}

func (f *fleet) stopAll() {
	for _, r := range f.routers {
		r.shutdown()
	}
}

// Live implements Peers.
func (r *testRouter) Live() []ident.RouterID {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	var live []ident.RouterID
	for id, at := range r.heard {
		if time.Since(at) <= FreshWindow {
			live = append(live, id)
		}
	}
	return live
}

// Listed implements Peers.
func (r *testRouter) Listed() int {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	return r.fleet.listed
}

// HeardSince implements Peers.
func (r *testRouter) HeardSince(window time.Duration) int {
	return r.heardSince(window, 1)
}

// heardSince counts the routers whose last heartbeat in the window carried at least a generation.
func (r *testRouter) heardSince(window time.Duration, gen ident.Generation) int {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	count := 1
	for id, at := range r.heard {
		if time.Since(at) <= window && r.gens[id] >= gen {
			count++
		}
	}
	return count
}

// AtGeneration implements Peers.
func (r *testRouter) AtGeneration(gen ident.Generation) int {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	count := 0
	if r.syncer.generation() >= gen {
		count++
	}
	for _, reported := range r.gens {
		if reported >= gen {
			count++
		}
	}
	return count
}

var errCut = errors.New("link is down")

// Pull implements Peers.
func (r *testRouter) Pull(ctx context.Context, from ident.RouterID, req PullRequest) (PullResponse, error) {
	r.fleet.mu.Lock()
	var syncer *Syncer
	for _, other := range r.fleet.routers {
		if other.id == from && r.fleet.reach(r, other) {
			syncer = other.syncer
		}
	}
	corrupt := r.fleet.corrupt
	r.fleet.mu.Unlock()
	if syncer == nil {
		return PullResponse{}, errCut
	}
	response, err := syncer.HandlePull(req)
	if corrupt != nil && err == nil {
		corrupt(&response)
	}
	return response, err
}

// gate is the store as one router reaches it.
type gate struct {
	kv.Store
	router *testRouter
}

func (g gate) down() bool {
	g.router.fleet.mu.Lock()
	defer g.router.fleet.mu.Unlock()
	return g.router.storeCut
}

// Get implements kv.Store.
func (g gate) Get(ctx context.Context, key string) (kv.Entry, error) {
	if g.down() {
		return kv.Entry{}, kv.ErrUnavailable
	}
	return g.Store.Get(ctx, key)
}

// Watch implements kv.Store.
func (g gate) Watch(ctx context.Context, key string, after kv.Revision) (kv.Entry, error) {
	if g.down() {
		return kv.Entry{}, kv.ErrUnavailable
	}
	entry, err := g.Store.Watch(ctx, key, after)
	if err == nil && g.down() {
		return kv.Entry{}, kv.ErrUnavailable
	}
	return entry, err
}

// CompareAndSwap implements kv.Store.
func (g gate) CompareAndSwap(ctx context.Context, key string, expect kv.Revision, value []byte) (kv.Revision, error) {
	if g.down() {
		return 0, kv.ErrUnavailable
	}
	return g.Store.CompareAndSwap(ctx, key, expect, value)
}

// publisher publishes through a router, as its operator endpoint does.
func (r *testRouter) publisher() *Publisher {
	quorum := func() bool { return majority(r.heardSince(FreshWindow, 0), r.Listed()) }
	p := NewPublisher(gate{r.fleet.store, r}, quorum)
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	p.UseSnapshot(r.holder)
	return p
}

// running returns the syncer of the running process.
func (r *testRouter) running() *Syncer {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	return r.syncer
}

// inFleet runs a test with routers that stop at its end.
func inFleet(t *testing.T, size int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(size)
		defer f.stopAll()
		test(t, f)
	})
}

func (f *fleet) expect(t *testing.T, r *testRouter, gen ident.Generation, serving bool) {
	t.Helper()
	if got := r.syncer.generation(); got != gen {
		t.Fatalf("%s has generation %d, want %d", r.id, got, gen)
	}
	if got := r.syncer.Serving(); got != serving {
		t.Fatalf("%s serves: %v, want %v", r.id, got, serving)
	}
}
