package execute

import (
	"context"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/claim"
	"gooseberrytide.example/gooseberrytide/internal/coordination/dispatch"
	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// fakeAdmitter grants the servers round-robin, except for the excluded ones.
type fakeAdmitter struct {
	router  ident.RouterID
	servers []*object.BackendServer
	// before runs before each decision; if it returns an error, the work is not admitted.
	before func(ctx context.Context, w dispatch.Work) error

	mu       sync.Mutex
	seq      uint64
	works    []dispatch.Work
	attempts []*fakeAttempt
}

func (f *fakeAdmitter) NewRequest() ident.RequestRef {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seq++
	return ident.RequestRef{Router: f.router, Incarnation: 1, Seq: f.seq}
}

func (f *fakeAdmitter) Admit(ctx context.Context, w dispatch.Work) (dispatch.Attempt, error) {
	if f.before != nil {
		if err := f.before(ctx, w); err != nil {
			return nil, err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.works = append(f.works, w)
	for i := range f.servers {
		s := f.servers[(len(f.attempts)+i)%len(f.servers)]
		if !excluded(w, s) {
			a := &fakeAttempt{ref: w.Ref, server: s}
			f.attempts = append(f.attempts, a)
			return a, nil
		}
	}
	return nil, &dispatch.NotAdmittedError{Reason: dispatch.NotAdmittedNoBackend, RetryAfter: 2 * time.Second}
}

func excluded(w dispatch.Work, s *object.BackendServer) bool {
	for _, id := range w.Exclude {
		if string(id) == s.Name {
			return true
		}
	}
	return false
}

// settlements returns the results and costs with which the attempts were settled. It fails the test if an attempt was
// not settled exactly once.
func (f *fakeAdmitter) settlements(t *testing.T) ([]message.SettleResult, []ident.Cost) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	var results []message.SettleResult
	var costs []ident.Cost
	for _, a := range f.attempts {
		if len(a.results) != 1 {
			t.Fatalf("attempt %v was settled %d times", a.ref, len(a.results))
		}
		results = append(results, a.results[0])
		costs = append(costs, a.costs[0])
	}
	return results, costs
}

type fakeAttempt struct {
	ref      ident.AttemptRef
	server   *object.BackendServer
	progress []ident.Cost
	results  []message.SettleResult
	costs    []ident.Cost
}

func (a *fakeAttempt) Ref() ident.AttemptRef          { return a.ref }
func (a *fakeAttempt) Backend() *object.BackendServer { return a.server }
func (a *fakeAttempt) Progress(c ident.Cost)          { a.progress = append(a.progress, c) }
func (a *fakeAttempt) Settle(r message.SettleResult, c ident.Cost) {
	a.results = append(a.results, r)
	a.costs = append(a.costs, c)
}

// fakeBackends passes requests to the test's functions and counts them.
type fakeBackends struct {
	call   func(ctx context.Context, server string, c Call) (*Response, error)
	stream func(ctx context.Context, server string, c Completion) (Stream, error)
	sent   atomic.Int64
}

func (f *fakeBackends) Call(ctx context.Context, s *object.BackendServer, c Call) (*Response, error) {
	f.sent.Add(1)
	return f.call(ctx, s.Name, c)
}

func (f *fakeBackends) Stream(ctx context.Context, s *object.BackendServer, c Completion) (Stream, error) {
	f.sent.Add(1)
	return f.stream(ctx, s.Name, c)
}

func sendError(kind SendErrorKind) error {
	return &SendError{Kind: kind, Backend: "b", Cause: errors.New("injected")}
}

// fakeStream returns the chunks and then fails with err.
type fakeStream struct {
	chunks []Chunk
	err    error
	closed int
}

func (s *fakeStream) Next() (Chunk, error) {
	if len(s.chunks) == 0 {
		return Chunk{}, s.err
	}
	c := s.chunks[0]
	s.chunks = s.chunks[1:]
	return c, nil
}

func (s *fakeStream) Close() error { s.closed++; return nil }

// fakeRetry is a retry budget that allows a fixed number of retries.
type fakeRetry struct {
	left     atomic.Int64
	deposits atomic.Int64
}

func (r *fakeRetry) Deposit(ident.TeamID, ident.PoolID)    { r.deposits.Add(1) }
func (r *fakeRetry) Allow(ident.TeamID, ident.PoolID) bool { return r.left.Add(-1) >= 0 }
func (r *fakeRetry) Backoff(int) time.Duration             { return 10 * time.Millisecond }

// fakeStore is a store whose writes can fail.
type fakeStore struct {
	mu       sync.Mutex
	entries  map[string]kv.Entry
	revision kv.Revision
	// fault returns the error of the n-th write, from 1, and whether the write takes effect.
	fault  func(n int) (applied bool, err error)
	down   bool
	writes int
}

func newFakeStore() *fakeStore { return &fakeStore{entries: map[string]kv.Entry{}} }

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) Get(_ context.Context, key string) (kv.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return kv.Entry{}, kv.ErrUnavailable
	}
	if e, ok := s.entries[key]; ok {
		return e, nil
	}
	return kv.Entry{}, kv.ErrNotFound
}

func (s *fakeStore) CompareAndSwap(
	_ context.Context, key string, expect kv.Revision, value []byte,
) (kv.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.down {
		return 0, kv.ErrUnavailable
	}
	applied, err := true, error(nil)
	if s.fault != nil {
		applied, err = s.fault(s.writes)
	}
	if applied && s.entries[key].Revision != expect {
		applied = false
		err = errors.Join(err, kv.ErrConflict)
	}
	if applied {
		s.revision++
		s.entries[key] = kv.Entry{Key: key, Value: value, Revision: s.revision}
	}
	return s.revision, err
}

func (s *fakeStore) List(context.Context, string, string, int) ([]kv.Entry, error) { return nil, nil }
func (s *fakeStore) Delete(context.Context, string, kv.Revision) error             { return nil }
func (s *fakeStore) Watch(ctx context.Context, _ string, _ kv.Revision) (kv.Entry, error) {
	<-ctx.Done()
	return kv.Entry{}, ctx.Err()
}

// values returns the concatenation of all values.
func (s *fakeStore) values() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := ""
	for e := range maps.Values(s.entries) {
		all += string(e.Value)
	}
	return all
}

// testRouter is an executor with fake dependencies.
type testRouter struct {
	*Executor
	admitter *fakeAdmitter
	backends *fakeBackends
	retry    *fakeRetry
	store    *fakeStore
	claims   *claim.Manager
}

var testObjects = &object.Set{
	Services: map[string]*object.Service{
		"credits": {Name: "credits", TimeoutSeconds: 30, Routes: []object.Route{
			{PathPrefix: "/stock", Method: "GET", Idempotent: true, Cost: 2},
			{PathPrefix: "/", Cost: 7},
		}},
		"alarms": {Name: "alarms", OnStoreOutage: object.OutageRun},
	},
	Models: map[string]*object.Model{
		"m": {Name: "m", DefaultVersion: "v1", InputTokenCost: 1, OutputTokenCost: 10, TimeoutSeconds: 60},
	},
	Versions: map[string]*object.Version{"v1": {Name: "v1", Model: "m"}},
}

// newTestRouter returns a router with the given store and backend servers. Routers that share a store belong to the
// same fleet.
func newTestRouter(
	t *testing.T, router ident.RouterID, store *fakeStore, servers ...*object.BackendServer,
) *testRouter {
	t.Helper()
	if len(servers) == 0 {
		servers = []*object.BackendServer{{Name: "b1"}, {Name: "b2"}}
	}
	r := &testRouter{
		admitter: &fakeAdmitter{router: router, servers: servers},
		backends: &fakeBackends{},
		retry:    &fakeRetry{},
		store:    store,
		claims:   claim.New(claim.Options{Store: store, Self: router, Budget: func() int { return 1000 }}),
	}
	r.retry.left.Store(10)
	r.Executor = New(Options{
		Admitter: r.admitter,
		Backends: r.backends,
		Claims:   r.claims,
		Retry:    r.retry,
		Objects:  func() *object.Set { return testObjects },
	})
	t.Cleanup(func() { r.Wait(); r.claims.Close() })
	return r
}
