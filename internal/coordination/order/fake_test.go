package order

import (
	"context"
	"fmt"
	"maps"
	"sync"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// writeFault is a fault of a write to the fake store, which returns kv.ErrUncertain.
type writeFault int

const (
	// responseLost writes the value, requestLost does not.
	responseLost writeFault = iota + 1
	requestLost
)

// fakeStore is an in-memory store with write faults and outages.
type fakeStore struct {
	mu       sync.Mutex
	entries  map[string]kv.Entry
	revision kv.Revision
	down     bool
	// faults holds the faults of the next writes, by key.
	faults map[string][]writeFault
	calls  int
	// restores counts how often the store was restored from a copy.
	restores int
}

func newFakeStore() *fakeStore {
	return &fakeStore{entries: map[string]kv.Entry{}, faults: map[string][]writeFault{}}
}

func (s *fakeStore) Get(_ context.Context, key string) (kv.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return kv.Entry{}, kv.ErrUnavailable
	}
	e, ok := s.entries[key]
	if !ok {
		return kv.Entry{}, kv.ErrNotFound
	}
	return e, nil
}

func (s *fakeStore) CompareAndSwap(
	_ context.Context, key string, expect kv.Revision, value []byte,
) (kv.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return 0, kv.ErrUnavailable
	}
	var f writeFault
	if list := s.faults[key]; len(list) > 0 {
		f, s.faults[key] = list[0], list[1:]
	}
	if f == requestLost {
		return 0, kv.ErrUncertain
	}
	if s.entries[key].Revision != expect {
		return 0, kv.ErrConflict
	}
	s.revision++
	s.entries[key] = kv.Entry{Key: key, Value: value, Revision: s.revision}
	if f == responseLost {
		return 0, kv.ErrUncertain
	}
	return s.revision, nil
}

// storeCopy is the data of a fakeStore at some time.
type storeCopy struct {
	entries  map[string]kv.Entry
	revision kv.Revision
}

func (s *fakeStore) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{entries: maps.Clone(s.entries), revision: s.revision}
}

// restore replaces the data by a copy, so that the same revisions are assigned again.
func (s *fakeStore) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries, s.revision = maps.Clone(c.entries), c.revision
	s.restores++
}

// cluster identifies the data.
func (s *fakeStore) cluster() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("cluster-%d", s.restores)
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) List(context.Context, string, string, int) ([]kv.Entry, error) {
	return nil, kv.ErrUnavailable
}

func (s *fakeStore) Delete(context.Context, string, kv.Revision) error { return kv.ErrUnavailable }

func (s *fakeStore) Watch(ctx context.Context, _ string, _ kv.Revision) (kv.Entry, error) {
	<-ctx.Done()
	return kv.Entry{}, ctx.Err()
}

// fakeEngines are engines that carry out orders at once, or keep loading until finishLoads is called.
type fakeEngines struct {
	mu sync.Mutex
	// checksFence says that the engines refuse orders with an old fencing number.
	checksFence bool
	// keepsLoading says that loads last until finishLoads.
	keepsLoading bool
	fence        map[string]int64
	states       map[string]State
	orders       []Command
	loading      int
}

func newFakeEngines(checksFence bool, names ...string) *fakeEngines {
	f := &fakeEngines{checksFence: checksFence, fence: map[string]int64{}, states: map[string]State{}}
	for _, name := range names {
		f.states[name] = State{Target: Target{"m", "v1"}}
	}
	return f
}

func (f *fakeEngines) Order(_ context.Context, server *object.BackendServer, c Command) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.checksFence && c.Fence < f.fence[server.Name] {
		return ErrStale
	}
	f.fence[server.Name] = c.Fence
	f.orders = append(f.orders, c)
	if f.keepsLoading {
		f.states[server.Name] = State{Target: f.states[server.Name].Target, Loading: &c.Target}
		f.loading++
		return nil
	}
	f.states[server.Name] = State{Target: c.Target}
	return nil
}

func (f *fakeEngines) State(_ context.Context, server *object.BackendServer) (State, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.states[server.Name], nil
}

func (f *fakeEngines) version(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.states[name].Version
}

func (f *fakeEngines) sentOrders() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.orders)
}

// finishLoads completes all loads.
func (f *fakeEngines) finishLoads() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loading = 0
	for name, s := range f.states {
		if s.Loading != nil {
			f.states[name] = State{Target: *s.Loading}
		}
	}
}

// pausedEngines block an owner before its order is sent, as a pause of the process would.
type pausedEngines struct {
	Engines
	reached, resume chan struct{}
	once            sync.Once
}

func (p *pausedEngines) Order(ctx context.Context, server *object.BackendServer, c Command) error {
	p.once.Do(func() { close(p.reached) })
	<-p.resume
	return p.Engines.Order(ctx, server, c)
}
