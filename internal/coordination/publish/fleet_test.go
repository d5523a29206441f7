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

// heartbeatInterval is the time between two heartbeats of a test router.
const heartbeatInterval = 500 * time.Millisecond

// fleet is a set of in-memory routers whose links can be partitioned.
type fleet struct {
	store *kv.Fake

	mu      sync.Mutex
	routers []*testRouter
	listed  int
	// partitioned holds the pairs of routers that cannot reach each other.
	partitioned map[[2]ident.RouterID]bool
	// corrupt, if set, modifies the responses to pulls.
	corrupt func(*PullResponse)
}

// testRouter is a router that may restart. Its fields are guarded by the fleet's mutex.
type testRouter struct {
	id                  ident.RouterID
	fleet               *fleet
	holder              *snapshot.Holder
	syncer              *Syncer
	stop                func()
	lastHeard           map[ident.RouterID]time.Time
	reportedGenerations map[ident.RouterID]ident.Generation
	storeUnreachable    bool
	watcher             bool
	// generationFell reports that a snapshot came into force whose generation was not above the one before.
	generationFell bool
}

func newFleet(size int) *fleet {
	f := &fleet{store: kv.NewFake(), listed: size, partitioned: make(map[[2]ident.RouterID]bool)}
	for i := range size {
		r := &testRouter{id: ident.RouterID(fmt.Sprintf("r%d", i)), fleet: f, watcher: i < 3}
		f.routers = append(f.routers, r)
	}
	return f
}

// start runs a router without any state until it is stopped.
func (r *testRouter) start(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var last ident.Generation
	f := r.fleet
	f.mu.Lock()
	r.lastHeard = make(map[ident.RouterID]time.Time)
	r.reportedGenerations = make(map[ident.RouterID]ident.Generation)
	r.holder = &snapshot.Holder{}
	r.syncer = NewSyncer(SyncOptions{
		Store: routerStore{r.fleet.store, r}, Holder: r.holder, Peers: r,
		Watch:   func() bool { return r.watcher },
		Cluster: f.store.Cluster,
		OnSnapshot: func(s *snapshot.Snapshot) {
			r.generationFell = r.generationFell || s.Generation() <= last
			last = s.Generation()
		},
	})
	var group sync.WaitGroup
	syncer := r.syncer
	group.Go(func() { _ = syncer.Run(ctx) })
	group.Go(func() { r.sendHeartbeats(ctx) })
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

// sendHeartbeats sends heartbeats to all reachable routers until the context ends.
func (r *testRouter) sendHeartbeats(ctx context.Context) {
	for periodic.Sleep(ctx, heartbeatInterval) {
		f := r.fleet
		f.mu.Lock()
		gen := r.syncer.AnnouncedGeneration()
		var peers []*testRouter
		for _, other := range f.routers {
			if f.reachable(r, other) {
				peers = append(peers, other)
			}
		}
		f.mu.Unlock()
		for _, other := range peers {
			other.receive(r.id, gen)
		}
	}
}

func (r *testRouter) receive(from ident.RouterID, gen ident.Generation) {
	r.currentSyncer().RecordPeerGeneration(from, gen)
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	r.lastHeard[from] = time.Now()
	r.reportedGenerations[from] = gen
}

// reachable reports whether two different running routers can communicate. The caller holds mu.
func (f *fleet) reachable(a, b *testRouter) bool {
	return a != b && a.stop != nil && b.stop != nil && !f.partitioned[[2]ident.RouterID{a.id, b.id}]
}

func (f *fleet) setPartitioned(a, b *testRouter, partitioned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned[[2]ident.RouterID{a.id, b.id}] = partitioned
	f.partitioned[[2]ident.RouterID{b.id, a.id}] = partitioned
}

// isolate partitions a router from all others, or reconnects it.
func (f *fleet) isolate(r *testRouter, isolated bool) {
	for _, other := range f.routers {
		f.setPartitioned(r, other, isolated)
	}
}

func (f *fleet) setStoreUnreachable(r *testRouter, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r.storeUnreachable = unreachable
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
	for id, at := range r.lastHeard {
		if time.Since(at) <= FreshnessWindow {
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
	return r.countHeard(window, 1)
}

// countHeard returns the number of routers, including this one, whose last heartbeat came within the window and carried
// at least the generation.
func (r *testRouter) countHeard(window time.Duration, gen ident.Generation) int {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	count := 1
	for id, at := range r.lastHeard {
		if time.Since(at) <= window && r.reportedGenerations[id] >= gen {
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
	for _, reported := range r.reportedGenerations {
		if reported >= gen {
			count++
		}
	}
	return count
}

var errUnreachable = errors.New("link is down")

// Pull implements Peers.
func (r *testRouter) Pull(ctx context.Context, from ident.RouterID, req PullRequest) (PullResponse, error) {
	r.fleet.mu.Lock()
	var syncer *Syncer
	for _, other := range r.fleet.routers {
		if other.id == from && r.fleet.reachable(r, other) {
			syncer = other.syncer
		}
	}
	corrupt := r.fleet.corrupt
	r.fleet.mu.Unlock()
	if syncer == nil {
		return PullResponse{}, errUnreachable
	}
	response, err := syncer.HandlePull(req)
	if corrupt != nil && err == nil {
		corrupt(&response)
	}
	return response, err
}

// routerStore is the store as one router reaches it; it is unavailable while the router's storeUnreachable is set.
type routerStore struct {
	kv.Store
	router *testRouter
}

func (s routerStore) down() bool {
	s.router.fleet.mu.Lock()
	defer s.router.fleet.mu.Unlock()
	return s.router.storeUnreachable
}

// Get implements kv.Store.
func (s routerStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	if s.down() {
		return kv.Entry{}, kv.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

// Watch implements kv.Store.
func (s routerStore) Watch(ctx context.Context, key string, after kv.Revision) (kv.Entry, error) {
	if s.down() {
		return kv.Entry{}, kv.ErrUnavailable
	}
	entry, err := s.Store.Watch(ctx, key, after)
	if err == nil && s.down() {
		return kv.Entry{}, kv.ErrUnavailable
	}
	return entry, err
}

// CompareAndSwap implements kv.Store.
func (s routerStore) CompareAndSwap(
	ctx context.Context, key string, expect kv.Revision, value []byte,
) (kv.Revision, error) {
	if s.down() {
		return 0, kv.ErrUnavailable
	}
	return s.Store.CompareAndSwap(ctx, key, expect, value)
}

// publisher returns a publisher as the router's operator endpoint uses it.
func (r *testRouter) publisher() *Publisher {
	quorum := func() bool { return majority(r.countHeard(FreshnessWindow, 0), r.Listed()) }
	p := NewPublisher(routerStore{r.fleet.store, r}, quorum)
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	p.UseSnapshot(r.holder)
	p.DetectRestores(r.fleet.store.Cluster, r.syncer)
	return p
}

// currentSyncer returns the syncer since the router's last start.
func (r *testRouter) currentSyncer() *Syncer {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	return r.syncer
}

// withFleet runs a test in a synctest bubble with a fleet of routers, and stops them at its end.
func withFleet(t *testing.T, size int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(size)
		defer f.stopAll()
		test(t, f)
	})
}

// expectState fails the test when the router's generation in force or its serving state is not the expected one.
func (f *fleet) expectState(t *testing.T, r *testRouter, gen ident.Generation, serving bool) {
	t.Helper()
	if got := r.syncer.generation(); got != gen {
		t.Fatalf("%s has generation %d, want %d", r.id, got, gen)
	}
	if got := r.syncer.Serving(); got != serving {
		t.Fatalf("%s serves: %v, want %v", r.id, got, serving)
	}
}
