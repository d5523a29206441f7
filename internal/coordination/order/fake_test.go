package order

import (
	"context"
	"sync"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// fault is what happens to a write of the fake store.
type fault int

const (
	lostAfterEffect fault = iota + 1
	lostWithoutEffect
)

// fakeStore is a store whose writes can lose their answers.
type fakeStore struct {
	mu       sync.Mutex
	entries  map[string]kv.Entry
	revision kv.Revision
	down     bool
	// faults hit the next writes of a key.
	faults map[string][]fault
	calls  int
}

func newFakeStore() *fakeStore {
	return &fakeStore{entries: map[string]kv.Entry{}, faults: map[string][]fault{}}
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

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, expect kv.Revision, value []byte) (kv.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return 0, kv.ErrUnavailable
	}
	var f fault
	if list := s.faults[key]; len(list) > 0 {
		f, s.faults[key] = list[0], list[1:]
	}
	if f == lostWithoutEffect {
		return 0, kv.ErrUncertain
	}
	if s.entries[key].Revision != expect {
		return 0, kv.ErrConflict
	}
	s.revision++
	s.entries[key] = kv.Entry{Key: key, Value: value, Revision: s.revision}
	if f == lostAfterEffect {
		return 0, kv.ErrUncertain
	}
	return s.revision, nil
}

func (s *fakeStore) set(down bool) {
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

// fakeEngines are engines that carry out orders at once, or keep loading.
type fakeEngines struct {
	mu      sync.Mutex
	checks  bool
	slow    bool
	fence   map[string]int64
	states  map[string]State
	orders  []Command
	loading int
}

func newFakeEngines(checks bool, names ...string) *fakeEngines {
	f := &fakeEngines{checks: checks, fence: map[string]int64{}, states: map[string]State{}}
	for _, name := range names {
		f.states[name] = State{Target: Target{"m", "v1"}}
	}
	return f
}

func (f *fakeEngines) Order(_ context.Context, server *object.BackendServer, c Command) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.checks && c.Fence < f.fence[server.Name] {
		return ErrStale
	}
	f.fence[server.Name] = c.Fence
	f.orders = append(f.orders, c)
	if f.slow {
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

func (f *fakeEngines) sent() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.orders)
}

// finish ends all loads.
func (f *fakeEngines) finish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loading = 0
	for name, s := range f.states {
		if s.Loading != nil {
			f.states[name] = State{Target: *s.Loading}
		}
	}
}

// pausedEngines stop an owner before its order leaves, as a paused process does.
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
