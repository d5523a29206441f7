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

const testTimeout = 20 * time.Second

// fleet is a set of routers that know each other's addresses.
type fleet struct {
	t         *testing.T
	mu        sync.Mutex
	addresses map[ident.RouterID]string
}

// router is a network that records the messages and link events it receives.
type router struct {
	*peerlink.Network
	mu         sync.Mutex
	messages   []peer.Envelope
	senders    []peer.Endpoint
	linkEvents []linkEvent
}

type linkEvent struct {
	id          ident.RouterID
	incarnation ident.Incarnation
	up          bool
}

func newFleet(t *testing.T) *fleet { return &fleet{t: t, addresses: map[ident.RouterID]string{}} }

func (f *fleet) resolve(id ident.RouterID) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	address, ok := f.addresses[id]
	return address, ok
}

func (f *fleet) setAddress(id ident.RouterID, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addresses[id] = address
}

// start starts a router. modify may change the options; nil changes nothing.
func (f *fleet) start(id ident.RouterID, incarnation ident.Incarnation, modify func(*peerlink.Options)) *router {
	f.t.Helper()
	r := &router{}
	opts := peerlink.Options{
		Self: id, Incarnation: incarnation, Listen: "127.0.0.1:0", Key: []byte("0123456789abcdef"), Resolve: f.resolve,
		OnMessage: func(from peer.Endpoint, e peer.Envelope) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.messages = append(r.messages, e)
			r.senders = append(r.senders, from)
		},
		OnLink: func(id ident.RouterID, incarnation ident.Incarnation, up bool) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.linkEvents = append(r.linkEvents, linkEvent{id, incarnation, up})
		},
	}
	if modify != nil {
		modify(&opts)
	}
	n, err := peerlink.New(opts)
	if err != nil {
		f.t.Fatal(err)
	}
	r.Network = n
	f.setAddress(id, n.Addr().String())
	f.t.Cleanup(func() { _ = n.Close() })
	return r
}

func (r *router) messageCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.messages)
}

func (r *router) recordedLinkEvents() []linkEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]linkEvent(nil), r.linkEvents...)
}

// eventually waits until ok returns true. It fails the test after testTimeout.
func eventually(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	end := time.Now().Add(testTimeout)
	for !ok() {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", condition)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func cancelMessage(router ident.RouterID, incarnation ident.Incarnation, seq uint64) peer.Envelope {
	ref := ident.AttemptRef{Request: ident.RequestRef{Router: router, Incarnation: incarnation, Seq: seq}, Attempt: 1}
	return peer.Envelope{Cancel: &message.Cancel{Shard: ident.ShardID{Pool: "model/m"}, Ref: ref}}
}

// Guards against messages between healthy routers that are lost, reordered or attributed to the wrong sender, in both
// directions of one link.
func TestSendInBothDirections(t *testing.T) {
	f := newFleet(t)
	a, b := f.start("a", 11, nil), f.start("b", 22, nil)
	const n = 2000
	for i := range uint64(n) {
		a.Send("b", cancelMessage("a", 11, i))
	}
	eventually(t, "messages at b", func() bool { return b.messageCount() == n })
	for i := range uint64(n) {
		b.Send("a", cancelMessage("x", 5, i))
	}
	eventually(t, "messages at a", func() bool { return a.messageCount() == n })
	for i, e := range b.messages {
		if e.Cancel.Ref.Request != (ident.RequestRef{Router: "a", Incarnation: 11, Seq: uint64(i)}) {
			t.Fatalf("message %d is %+v", i, e.Cancel)
		}
		if b.senders[i] != (peer.Endpoint{Router: "a", Incarnation: 11}) {
			t.Fatalf("message %d came from %+v", i, b.senders[i])
		}
	}
	for i, e := range a.messages {
		if e.Cancel.Ref.Request != (ident.RequestRef{Router: "x", Incarnation: 5, Seq: uint64(i)}) {
			t.Fatalf("message %d is %+v", i, e.Cancel)
		}
	}
	if events := a.recordedLinkEvents(); len(events) != 1 || events[0] != (linkEvent{"b", 22, true}) {
		t.Fatalf("link events %v", events)
	}
	out, in := a.Stats().Classes[peer.ClassCancel], b.Stats().Classes[peer.ClassCancel]
	if out.MessagesOut != n || in.MessagesIn != n || out.BytesOut != in.BytesIn {
		t.Fatalf("statistics differ: sent %+v, received %+v", out, in)
	}
}

// Guards against handshakes larger than the traffic test of the failure detector assumes for each end.
func TestHandshakeSize(t *testing.T) {
	f := newFleet(t)
	a, _ := f.start("router-001", 1_790_000_000_000, nil), f.start("router-002", 1_790_000_000_001, nil)
	if err := callEcho(a, "router-002"); err != nil {
		t.Fatal(err)
	}
	s := a.Stats().Classes[peer.ClassLink]
	t.Logf("handshake: the dialing end sends %d B, the accepting end %d B", s.BytesOut, s.BytesIn)
	if s.BytesOut > 150 || s.BytesIn > 150 {
		t.Error("one end sends more than 150 B")
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
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		var got peer.EchoResult
		err := c.from.Call(ctx, c.to, peer.MethodEcho, peer.EchoParams{Text: "hello"}, &got)
		cancel()
		if err != nil || got.Text != "hello" || got.Router != string(c.to) {
			t.Fatalf("%v %+v", err, got)
		}
	}
}
