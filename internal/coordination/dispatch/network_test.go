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

// hop is the time that a message between two routers takes in the fake network.
const hop = time.Millisecond

// sentMessage is a message that a router passed to the network.
type sentMessage struct {
	from, to ident.RouterID
	m        message.Message
}

// testingT is the part of *testing.T and *rapid.T that the fleet uses.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// fleet connects routers by a fake network. No two messages with the default delay are delivered at the same instant,
// so that they arrive in the order in which they were sent.
type fleet struct {
	t testingT
	// deliveryDelays returns the delay of each delivered copy of a message; an empty result means that the message is
	// lost. If it is nil, each message is delivered once after a hop.
	deliveryDelays func(s sentMessage) []time.Duration

	mu      sync.Mutex
	nodes   map[ident.RouterID]*node
	servers []*object.BackendServer
	// generation counts the changes of the servers. Routers get the new servers with their next view.
	generation ident.Generation
	// shards is the number of shards of the pool, at most the number of routers in a view.
	shards int
	// lastDelivery is the time of the latest delivery with the default delay.
	lastDelivery time.Time
	log          []sentMessage
	calls        []*pending
}

// node is a process of a router.
type node struct {
	*Router
	fleet       *fleet
	id          ident.RouterID
	incarnation ident.Incarnation
	events      *timeline.Ring
	stop        context.CancelFunc
	// serving, if set, runs when the ingress checks whether it accepts new requests, after it has read its routes.
	serving func()
}

func newFleet(t testingT, slots ...int) *fleet {
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

// start starts a process of a router. It disconnects an earlier process of the router from the network.
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

// kill disconnects a router from the network and stops its timers.
func (f *fleet) kill(id ident.RouterID) {
	f.mu.Lock()
	n := f.nodes[id]
	delete(f.nodes, id)
	f.mu.Unlock()
	if n != nil {
		n.stop()
	}
}

// stopAll ends all calls and timers, so that the synctest bubble can end.
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
	s := sentMessage{from: n.id, to: to, m: m}
	f.log = append(f.log, s)
	delays := []time.Duration{hop}
	if f.deliveryDelays != nil {
		delays = f.deliveryDelays(s)
	}
	for _, delay := range delays {
		f.deliver(s, delay)
	}
}

func (f *fleet) deliver(s sentMessage, delay time.Duration) {
	due := time.Now().Add(delay)
	if delay == hop && !due.After(f.lastDelivery) {
		due = f.lastDelivery.Add(1)
	}
	if delay == hop {
		f.lastDelivery = due
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

// count returns the number of messages passed to the network that satisfy want.
func (f *fleet) count(want func(s sentMessage) bool) int {
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

// refOf returns the reference of the attempt that a message is about, if there is one.
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

func isUnused(s sentMessage) bool {
	settle, ok := s.m.(*message.Settle)
	return ok && settle.Result == message.SettleUnused
}

func isGrant(s sentMessage) bool {
	_, ok := s.m.(*message.Grant)
	return ok
}

// setView gives the routers in to a view in which owner owns the first shard and the routers in live are alive.
func (f *fleet) setView(owner ident.RouterID, live []ident.RouterID, to ...ident.RouterID) {
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
	r.Pools[testShard.Pool] = pool
	for n := range f.shards {
		dispatcher := owner
		if n > 0 {
			dispatcher = live[(slices.Index(live, owner)+n)%len(live)]
		}
		pool.Owners = append(pool.Owners, Owner{Router: dispatcher, Incarnation: r.Live[dispatcher]})
		shard := Shard{ID: ident.ShardID{Pool: testShard.Pool, Index: uint16(n)}, Siblings: f.shards}
		for at, server := range f.servers {
			if at%f.shards == n {
				shard.Servers = append(shard.Servers, server)
				r.Servers[ident.BackendID(server.Name)] = server
			}
		}
		if dispatcher == self {
			r.OwnedShards = append(r.OwnedShards, shard)
		}
	}
	return r
}

// stats returns the statistics of the shard at the router. It fails the test if the router does not own the shard.
func (n *node) stats() scheduler.Stats {
	stats, ok := n.Dispatcher().Stats()[testShard]
	if !ok {
		n.fleet.t.Fatalf("%s does not own the shard", n.id)
	}
	return stats
}

// expectCounts fails the test unless the router's scheduler has the given numbers of queued and running requests.
func (n *node) expectCounts(what string, queued, running int) {
	n.fleet.t.Helper()
	synctest.Wait()
	if s := n.stats(); s.Queued != queued || s.Running != running {
		n.fleet.t.Fatalf("%s: %s counts %d queued and %d running, want %d and %d",
			what, n.id, s.Queued, s.Running, queued, running)
	}
}

// pending is a call of Admit that may still be waiting.
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
		Pool:     testShard.Pool,
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

// requireGranted fails the test unless the request was granted, and returns the attempt.
func (p *pending) requireGranted(t testingT) Attempt {
	t.Helper()
	synctest.Wait()
	r := p.result.Load()
	if r == nil || r.err != nil {
		t.Fatalf("request %v is not granted: %+v", p.ref, r)
		return nil
	}
	return r.attempt
}

// requireNotAdmitted fails the test unless the request was not admitted for the given reason.
func (p *pending) requireNotAdmitted(t testingT, reason NotAdmittedReason) {
	t.Helper()
	synctest.Wait()
	r := p.result.Load()
	if r == nil {
		t.Fatalf("request %v is still waiting, want %s", p.ref, reason)
		return
	}
	var refused *NotAdmittedError
	if !errors.As(r.err, &refused) || refused.Reason != reason {
		t.Fatalf("request %v: error %v, want %s", p.ref, r.err, reason)
	}
}

// requireWaiting fails the test unless the request is still waiting.
func (p *pending) requireWaiting(t testingT) {
	t.Helper()
	synctest.Wait()
	if r := p.result.Load(); r != nil {
		t.Fatalf("request %v is not waiting: %+v", p.ref, r)
	}
}
