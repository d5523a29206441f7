package dispatch

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing/synctest"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/coordination/scheduler"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
)

// hop is the time that a message takes between two routers of the fake network.
const hop = time.Millisecond

// sent is a message that a router gave to the network.
type sent struct {
	from, to ident.RouterID
	m        message.Message
}

// reporter is a *testing.T or a *rapid.T.
type reporter interface {
	Helper()
	Fatalf(format string, args ...any)
}

// fleet joins routers by a fake network. Each delivery has an instant of its own, so that messages arrive in order
// unless fate says otherwise.
type fleet struct {
	t reporter
	// fate returns the delays of a message's copies; none means that it is lost. Nil means one copy after a hop.
	fate func(s sent) []time.Duration

	mu      sync.Mutex
	nodes   map[ident.RouterID]*node
	servers []*object.BackendServer
	// generation counts the changes of the servers. Routers get them with their next view.
	generation ident.Generation
	// shards is the number of shards of the pool, at most the number of routers in a view.
	shards int
	last   time.Time
	log    []sent
	calls  []*pending
}

// node is one process of a router.
type node struct {
	*Router
	fleet       *fleet
	id          ident.RouterID
	incarnation ident.Incarnation
	events      *timeline.Ring
	stop        context.CancelFunc
	// serving runs when the ingress asks whether it may take a request, after it has read its routes.
	serving func()
}

func newFleet(t reporter, slots ...int) *fleet {
	f := &fleet{t: t, nodes: make(map[ident.RouterID]*node), shards: 1}
	for n, s := range slots {
		f.addServer(fmt.Sprintf("credits%d", n+1), s)
	}
	return f
}

func (f *fleet) addServer(name string, slots int) {
	server := &object.BackendServer{Name: name, Kind: object.BackendService, Service: "credits", Slots: slots}
	f.servers = append(f.servers, server)
	f.generation++
}

// start starts a process of a router. A former process is cut off.
func (f *fleet) start(id ident.RouterID, incarnation ident.Incarnation) *node {
	f.kill(id)
	n := &node{fleet: f, id: id, incarnation: incarnation, events: timeline.New(4096, id)}
	n.Router = NewRouter(RouterOptions{
		Self:        id,
		Incarnation: incarnation,
		Remote:      n,
		Events:      n.events,
		Serving: func() bool {
			if n.serving != nil {
				n.serving()
			}
			return true
		},
	})
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	f.mu.Lock()
	f.nodes[id] = n
	f.mu.Unlock()
	go n.Run(ctx)
	return n
}

// kill cuts a router off the network and stops its timers.
func (f *fleet) kill(id ident.RouterID) {
	f.mu.Lock()
	n := f.nodes[id]
	delete(f.nodes, id)
	f.mu.Unlock()
	if n != nil {
		n.stop()
	}
}

// stopAll ends all calls and timers, so that the test's bubble can end.
func (f *fleet) stopAll() {
	for _, p := range f.calls {
		p.cancel()
	}
	for _, id := range []ident.RouterID{"r1", "r2", "r3", "r4"} {
		f.kill(id)
	}
	synctest.Wait()
}

// Send implements Sender for the other routers.
func (n *node) Send(to ident.RouterID, m message.Message) { n.fleet.send(n, to, m) }

func (f *fleet) send(n *node, to ident.RouterID, m message.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.nodes[n.id] != n {
		return
	}
	s := sent{from: n.id, to: to, m: m}
	f.log = append(f.log, s)
	delays := []time.Duration{hop}
	if f.fate != nil {
		delays = f.fate(s)
	}
	for _, delay := range delays {
		f.deliver(s, delay)
	}
}

func (f *fleet) deliver(s sent, delay time.Duration) {
	due := time.Now().Add(delay)
	if delay == hop && !due.After(f.last) {
		due = f.last.Add(1)
	}
	if delay == hop {
		f.last = due
	}
	time.AfterFunc(time.Until(due), func() {
		f.mu.Lock()
		n := f.nodes[s.to]
		f.mu.Unlock()
		if n != nil {
			n.Handle(s.from, s.m)
		}
	})
}

// count returns the number of messages given to the network that satisfy want.
func (f *fleet) count(want func(s sent) bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.log {
		if want(s) {
			n++
		}
	}
	return n
}

// refOf returns the attempt that a message is about.
func refOf(m message.Message) (ref ident.AttemptRef, ok bool) {
	switch m := m.(type) {
	case *message.Enqueue:
		return m.Ref, true
	case *message.Running:
		return m.Ref, true
	case *message.Cancel:
		return m.Ref, true
	case *message.Grant:
		return m.Ref, true
	case *message.Reject:
		return m.Ref, true
	case *message.Redirect:
		return m.Ref, true
	case *message.Progress:
		return m.Ref, true
	case *message.Settle:
		return m.Ref, true
	}
	return ref, false
}

func isUnused(s sent) bool {
	settle, ok := s.m.(*message.Settle)
	return ok && settle.Result == message.SettleUnused
}

func isGrant(s sent) bool {
	_, ok := s.m.(*message.Grant)
	return ok
}

// view gives the named routers a view in which owner dispatches and the live routers are alive.
func (f *fleet) view(owner ident.RouterID, live []ident.RouterID, to ...ident.RouterID) {
	for _, id := range to {
		f.nodes[id].Update(f.routes(id, owner, live))
	}
}

func (f *fleet) routes(self, owner ident.RouterID, live []ident.RouterID) *Routes {
	r := &Routes{
		Generation: f.generation,
		Pools:      make(map[ident.PoolID]*Pool),
		Servers:    make(map[ident.BackendID]*object.BackendServer),
		Live:       make(map[ident.RouterID]ident.Incarnation),
	}
	for _, id := range live {
		if n := f.nodes[id]; n != nil {
			r.Live[id] = n.incarnation
		}
	}
	pool := &Pool{}
	r.Pools[shardOfTest.Pool] = pool
	for n := range f.shards {
		dispatcher := owner
		if n > 0 {
			dispatcher = live[(slices.Index(live, owner)+n)%len(live)]
		}
		pool.Owners = append(pool.Owners, Owner{Router: dispatcher, Incarnation: r.Live[dispatcher]})
		shard := Shard{ID: ident.ShardID{Pool: shardOfTest.Pool, Index: uint16(n)}, Siblings: f.shards}
		for at, server := range f.servers {
			if at%f.shards == n {
				shard.Servers = append(shard.Servers, server)
				r.Servers[ident.BackendID(server.Name)] = server
			}
		}
		if dispatcher == self {
			r.Own = append(r.Own, shard)
		}
	}
	return r
}

// stats returns the statistics of the shard at a router that dispatches for it.
func (n *node) stats() scheduler.Stats {
	stats, ok := n.Dispatcher().Stats()[shardOfTest]
	if !ok {
		n.fleet.t.Fatalf("%s does not dispatch", n.id)
	}
	return stats
}

func (n *node) expect(what string, queued, running int) {
	n.fleet.t.Helper()
	synctest.Wait()
	if s := n.stats(); s.Queued != queued || s.Running != running {
		n.fleet.t.Fatalf("%s: %s counts %d queued and %d running, want %d and %d",
			what, n.id, s.Queued, s.Running, queued, running)
	}
}

// pending is a call of Admit that may still wait.
type pending struct {
	ref    ident.RequestRef
	cancel context.CancelFunc
	result atomic.Pointer[admitted]
}

// admitted is the result of a call of Admit.
type admitted struct {
	attempt Attempt
	err     error
}

// admit calls Admit in the background.
func (n *node) admit(deadline time.Duration) *pending {
	ctx, cancel := context.WithCancel(context.Background())
	p := &pending{ref: n.Ingress().NewRequest(), cancel: cancel}
	n.fleet.calls = append(n.fleet.calls, p)
	w := Work{
		Ref:      ident.AttemptRef{Request: p.ref, Attempt: 1},
		Team:     "alarms",
		Pool:     shardOfTest.Pool,
		Hint:     10,
		Deadline: time.Now().Add(deadline),
	}
	go func() {
		attempt, err := n.Ingress().Admit(ctx, w)
		p.result.Store(&admitted{attempt, err})
	}()
	synctest.Wait()
	return p
}

// granted fails the test unless the request was granted.
func (p *pending) granted(t reporter) Attempt {
	t.Helper()
	synctest.Wait()
	r := p.result.Load()
	if r == nil || r.err != nil {
		t.Fatalf("request %v is not granted: %+v", p.ref, r)
		return nil
	}
	return r.attempt
}

// refused fails the test unless the request ended with the reason.
func (p *pending) refused(t reporter, reason NotAdmittedReason) {
	t.Helper()
	synctest.Wait()
	r := p.result.Load()
	if r == nil {
		t.Fatalf("request %v still waits, want %s", p.ref, reason)
		return
	}
	var refused *NotAdmittedError
	if !errors.As(r.err, &refused) || refused.Reason != reason {
		t.Fatalf("request %v: error %v, want %s", p.ref, r.err, reason)
	}
}

func (p *pending) waits(t reporter) {
	t.Helper()
	synctest.Wait()
	if r := p.result.Load(); r != nil {
		t.Fatalf("request %v does not wait: %+v", p.ref, r)
	}
}
