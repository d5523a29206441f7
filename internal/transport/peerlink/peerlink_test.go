package peerlink_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/protocol/peer"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/transport/peerlink"
)

const deadline = 20 * time.Second

// fleet is a set of networks that know each other's addresses.
type fleet struct {
	t     *testing.T
	mu    sync.Mutex
	addrs map[ident.RouterID]string
}

// router is one network and what it received.
type router struct {
	*peerlink.Network
	mu    sync.Mutex
	got   []peer.Envelope
	from  []peer.Endpoint
	links []linkEvent
}

type linkEvent struct {
	id  ident.RouterID
	inc ident.Incarnation
	up  bool
}

func newFleet(t *testing.T) *fleet { return &fleet{t: t, addrs: map[ident.RouterID]string{}} }

func (f *fleet) resolve(id ident.RouterID) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	addr, ok := f.addrs[id]
	return addr, ok
}

func (f *fleet) set(id ident.RouterID, addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addrs[id] = addr
}

// start runs a router. The change may adjust its options.
func (f *fleet) start(id ident.RouterID, inc ident.Incarnation, change func(*peerlink.Options)) *router {
	f.t.Helper()
	r := &router{}
	opts := peerlink.Options{
		Self: id, Incarnation: inc, Listen: "127.0.0.1:0", Key: []byte("0123456789abcdef"), Resolve: f.resolve,
		OnMessage: func(from peer.Endpoint, e peer.Envelope) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.got = append(r.got, e)
			r.from = append(r.from, from)
		},
		OnLink: func(id ident.RouterID, inc ident.Incarnation, up bool) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.links = append(r.links, linkEvent{id, inc, up})
		},
	}
	if change != nil {
		change(&opts)
	}
	n, err := peerlink.New(opts)
	if err != nil {
		f.t.Fatal(err)
	}
	r.Network = n
	f.set(id, n.Addr().String())
	f.t.Cleanup(func() { _ = n.Close() })
	return r
}

func (r *router) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.got)
}

func (r *router) events() []linkEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]linkEvent(nil), r.links...)
}

// eventually waits for a condition.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	end := time.Now().Add(deadline)
	for !ok() {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func cancelOf(router ident.RouterID, inc ident.Incarnation, seq uint64) peer.Envelope {
	ref := ident.AttemptRef{Request: ident.RequestRef{Router: router, Incarnation: inc, Seq: seq}, Attempt: 1}
	return peer.Envelope{Cancel: &message.Cancel{Shard: ident.ShardID{Pool: "model/m"}, Ref: ref}}
}

// Guards against lost, reordered or misattributed messages between healthy routers, in both directions of one link.
func TestSendBothWays(t *testing.T) {
	f := newFleet(t)
	a, b := f.start("a", 11, nil), f.start("b", 22, nil)
	const n = 2000
	for i := range uint64(n) {
		a.Send("b", cancelOf("a", 11, i))
	}
	eventually(t, "messages at b", func() bool { return b.count() == n })
	for i := range uint64(n) {
		b.Send("a", cancelOf("x", 5, i))
	}
	eventually(t, "messages at a", func() bool { return a.count() == n })
	for i, e := range b.got {
		if e.Cancel.Ref.Request != (ident.RequestRef{Router: "a", Incarnation: 11, Seq: uint64(i)}) {
			t.Fatalf("message %d is %+v", i, e.Cancel)
		}
		if b.from[i] != (peer.Endpoint{Router: "a", Incarnation: 11}) {
			t.Fatalf("message %d came from %+v", i, b.from[i])
		}
	}
	for i, e := range a.got {
		if e.Cancel.Ref.Request != (ident.RequestRef{Router: "x", Incarnation: 5, Seq: uint64(i)}) {
			t.Fatalf("message %d is %+v", i, e.Cancel)
		}
	}
	if ev := a.events(); len(ev) != 1 || ev[0] != (linkEvent{"b", 22, true}) {
		t.Fatalf("link events %v", ev)
	}
	out, in := a.Stats().Classes[peer.ClassCancel], b.Stats().Classes[peer.ClassCancel]
	if out.MessagesOut != n || in.MessagesIn != n || out.BytesOut != in.BytesIn {
		t.Fatalf("statistics differ: sent %+v, received %+v", out, in)
	}
}

// Guards against handshakes above what the traffic test of the failure detector assumes for each end.
func TestHandshakeSize(t *testing.T) {
	f := newFleet(t)
	a, _ := f.start("router-001", 1_790_000_000_000, nil), f.start("router-002", 1_790_000_000_001, nil)
	if err := echo(a, "router-002"); err != nil {
		t.Fatal(err)
	}
	s := a.Stats().Classes[peer.ClassLink]
	t.Logf("handshake: the dialing end sends %d B, the other %d B", s.BytesOut, s.BytesIn)
	if s.BytesOut > 150 || s.BytesIn > 150 {
		t.Error("above 150 B")
	}
}

// Guards against calls that fail between healthy routers.
func TestCall(t *testing.T) {
	f := newFleet(t)
	a, b := f.start("a", 1, nil), f.start("b", 2, nil)
	for _, c := range []struct {
		from *router
		to   ident.RouterID
	}{{a, "b"}, {b, "a"}, {a, "b"}} {
		ctx, cancel := context.WithTimeout(context.Background(), deadline)
		var got peer.EchoResult
		err := c.from.Call(ctx, c.to, peer.MethodEcho, peer.EchoParams{Text: "hello"}, &got)
		cancel()
		if err != nil || got.Text != "hello" || got.Router != string(c.to) {
			t.Fatalf("%v %+v", err, got)
		}
	}
}
