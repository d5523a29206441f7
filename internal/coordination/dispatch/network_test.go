package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
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

// fleet joins routers by a fake network. Each delivery has an instant of its own, so that messages arrive in order
// unless fate says otherwise.
type fleet struct {
	t *testing.T
	// fate returns the delays of a message's copies; none means that it is lost. Nil means one copy after a hop.
	fate func(s sent) []time.Duration

	mu      sync.Mutex
	nodes   map[ident.RouterID]*node
	servers []*object.BackendServer
	last    time.Time
	log     []sent
	calls   []*pending
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

func newFleet(t *testing.T, slots ...int) *fleet {
	f := &fleet{t: t, nodes: make(map[ident.RouterID]*node)}
	for n, s := range slots {
		f.addServer(fmt.Sprintf("credits%d", n+1), s)
	}
	return f
}

func (f *fleet) addServer(name string, slots int) {
	server := &object.BackendServer{Name: name, Kind: object.BackendService, Service: "credits", Slots: slots}
	f.servers = append(f.servers, server)
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
		Generation: ident.Generation(len(f.servers)),
		Pools:      make(map[ident.PoolID]*Pool),
		Servers:    make(map[ident.BackendID]*object.BackendServer),
		Live:       make(map[ident.RouterID]ident.Incarnation),
	}
	for _, id := range live {
		if n := f.nodes[id]; n != nil {
			r.Live[id] = n.incarnation
		}
	}
	servers := append([]*object.BackendServer(nil), f.servers...)
	for _, s := range servers {
		r.Servers[ident.BackendID(s.Name)] = s
	}
	r.Pools[shardOfTest.Pool] = &Pool{Owners: []Owner{{Router: owner, Incarnation: r.Live[owner]}}}
	if owner == self {
		r.Own = []Shard{{ID: shardOfTest, Siblings: 1, Servers: servers}}
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
	ref     ident.RequestRef
	cancel  context.CancelFunc
	done    bool
	attempt Attempt
	err     error
	ended   time.Time
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
		p.attempt, p.err = n.Ingress().Admit(ctx, w)
		p.ended = time.Now()
		p.done = true
	}()
	synctest.Wait()
	return p
}

// granted fails the test unless the request was granted.
func (p *pending) granted(t *testing.T) Attempt {
	t.Helper()
	synctest.Wait()
	if !p.done || p.err != nil {
		t.Fatalf("request %v is not granted: ended %v, error %v", p.ref, p.done, p.err)
	}
	return p.attempt
}

// refused fails the test unless the request ended with the reason.
func (p *pending) refused(t *testing.T, reason NotAdmittedReason) {
	t.Helper()
	synctest.Wait()
	refused, ok := p.err.(*NotAdmittedError)
	if !p.done || !ok || refused.Reason != reason {
		t.Fatalf("request %v: ended %v, error %v, want %s", p.ref, p.done, p.err, reason)
	}
}

func (p *pending) waits(t *testing.T) {
	t.Helper()
	synctest.Wait()
	if p.done {
		t.Fatalf("request %v does not wait: %v %v", p.ref, p.attempt, p.err)
	}
}
