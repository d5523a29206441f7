package peerlink_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"gooseberrytide.example/gooseberrytide/internal/protocol/peer"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/transport/peerlink"
)

// echo calls the echo method of a peer.
func echo(r *router, to ident.RouterID) error {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	return r.Call(ctx, to, peer.MethodEcho, peer.EchoParams{Text: "x"}, &peer.EchoResult{})
}

// refusal returns the reason of a refused call.
func refusal(t *testing.T, err error) peerlink.RefusedError {
	t.Helper()
	var refused *peerlink.RefusedError
	if !errors.As(err, &refused) {
		t.Fatalf("not refused: %v", err)
	}
	return *refused
}

// Guards against links to routers without the key, outside the fleet, or at another's address. Each is refused with its
// reason at both ends, logged, and carries no message.
func TestRefusals(t *testing.T) {
	core, logs := observer.New(zap.WarnLevel)
	f := newFleet(t)
	b := f.start("b", 2, func(o *peerlink.Options) {
		o.Logger = zap.New(core)
		o.Known = func(id ident.RouterID) bool { return id != "stranger" }
	})
	thief := f.start("thief", 1, func(o *peerlink.Options) { o.Key = []byte("another key of 26 bytes...") })
	if got := refusal(t, echo(thief, "b")); got.Reason != peerlink.ReasonWrongKey || got.ByPeer {
		t.Errorf("wrong key: %+v", got)
	}
	if got := refusal(t, echo(b, "thief")); got.Reason != peerlink.ReasonWrongKey {
		t.Errorf("wrong key: %+v", got)
	}
	stranger := f.start("stranger", 1, nil)
	if got := refusal(t, echo(stranger, "b")); got.Reason != peerlink.ReasonUnknownPeer || !got.ByPeer {
		t.Errorf("unknown peer: %+v", got)
	}
	f.set("c", b.Addr().String())
	if got := refusal(t, echo(f.start("a", 1, nil), "c")); got.Reason != peerlink.ReasonWrongName {
		t.Errorf("wrong name: %+v", got)
	}
	thief.Send("b", cancelOf("x", 1, 1))
	stranger.Send("b", cancelOf("x", 1, 1))
	eventually(t, "drops", func() bool { return thief.Stats().Dropped == 1 && stranger.Stats().Dropped == 1 })
	if b.count() != 0 || b.Stats().Refused < 3 || len(b.events()) != 0 {
		t.Errorf("messages %d, refused %d, links %v", b.count(), b.Stats().Refused, b.events())
	}
	for _, reason := range []string{"wrong key", "unknown peer", "wrong name"} {
		if logs.Filter(func(e observer.LoggedEntry) bool { return e.ContextMap()["reason"] == reason }).Len() == 0 {
			t.Errorf("no log line for %q", reason)
		}
	}
	if _, err := peerlink.New(peerlink.Options{Self: "x", Listen: "127.0.0.1:0", Key: []byte("short")}); err == nil {
		t.Error("a short key was accepted")
	}
}

// proxy passes connections on to a router, records what the dialing end sends, and lets a test add bytes.
type proxy struct {
	listener net.Listener
	mu       sync.Mutex
	sent     bytes.Buffer
	target   net.Conn
}

func (p *proxy) run(address string) {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		p.mu.Lock()
		p.target = out
		p.sent.Reset()
		p.mu.Unlock()
		go func() { _, _ = io.Copy(in, out); _ = in.Close() }()
		go func() { _, _ = io.Copy(writer(p.write), in); _ = out.Close() }()
	}
}

type writer func([]byte) (int, error)

func (w writer) Write(b []byte) (int, error) { return w(b) }

func (p *proxy) write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent.Write(b)
	return p.target.Write(b)
}

// proxied returns routers a and b whose link from a to b runs through a proxy.
func proxied(t *testing.T) (*router, *router, *proxy, *observer.ObservedLogs) {
	core, logs := observer.New(zap.InfoLevel)
	f := newFleet(t)
	b := f.start("b", 2, func(o *peerlink.Options) { o.Logger = zap.New(core) })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	p := &proxy{listener: listener}
	go p.run(b.Addr().String())
	a := f.start("a", 1, nil)
	f.set("b", listener.Addr().String())
	return a, b, p, logs
}

// Guards against replayed, altered, forged and oversized records: each ends the link without a delivery, and the next
// message travels over a new one.
func TestBadRecords(t *testing.T) {
	for title, bad := range map[string]func(record []byte) ([]byte, error){
		"replayed":  func(r []byte) ([]byte, error) { return r, peerlink.ErrRecord },
		"altered":   func(r []byte) ([]byte, error) { r[len(r)-9] ^= 1; return r, peerlink.ErrRecord },
		"forged":    func([]byte) ([]byte, error) { return append([]byte{1}, make([]byte, 9)...), peerlink.ErrRecord },
		"oversized": func([]byte) ([]byte, error) { return []byte{0x81, 0x80, 0x04}, peerlink.ErrTooLarge }, // 65,537 bytes
	} {
		t.Run(title, func(t *testing.T) {
			a, b, p, logs := proxied(t)
			a.Send("b", cancelOf("a", 1, 1))
			eventually(t, "first message", func() bool { return b.count() == 1 })
			p.mu.Lock()
			before := p.sent.Len()
			p.mu.Unlock()
			a.Send("b", cancelOf("a", 1, 2))
			eventually(t, "second message", func() bool { return b.count() == 2 })
			p.mu.Lock()
			record := bytes.Clone(p.sent.Bytes()[before:])
			written, reason := bad(record)
			_, err := p.target.Write(written)
			p.mu.Unlock()
			if err != nil {
				t.Fatal(err)
			}
			eventually(t, "end of the link", func() bool { return b.Stats().Links == 0 })
			ended := func() int { return logs.FilterMessage("peerlink: link ended").Len() }
			eventually(t, "log line", func() bool { return ended() == 1 })
			if got := logs.FilterMessage("peerlink: link ended").All()[0].ContextMap()["error"]; got != reason.Error() {
				t.Errorf("logged %v", got)
			}
			eventually(t, "a notices", func() bool { return a.Stats().Links == 0 })
			if b.count() != 2 {
				t.Fatalf("%d messages delivered", b.count())
			}
			a.Send("b", cancelOf("a", 1, 3))
			eventually(t, "message on the new link", func() bool { return b.count() == 3 })
		})
	}
}

// Guards against a recorded connection that is replayed as a whole.
func TestReplayedConnection(t *testing.T) {
	a, b, p, _ := proxied(t)
	a.Send("b", cancelOf("a", 1, 1))
	eventually(t, "message", func() bool { return b.count() == 1 })
	p.mu.Lock()
	recorded := bytes.Clone(p.sent.Bytes())
	p.mu.Unlock()
	refused := b.Stats().Refused
	conn, err := net.Dial("tcp", b.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write(recorded); err != nil {
		t.Fatal(err)
	}
	eventually(t, "refusal", func() bool { return b.Stats().Refused == refused+1 })
	if b.count() != 1 {
		t.Fatalf("%d messages delivered", b.count())
	}
}

// Guards against a connection that sends garbage or nothing and holds the listener.
func TestGarbageConnection(t *testing.T) {
	f := newFleet(t)
	a, b := f.start("a", 1, nil), f.start("b", 2, nil)
	for range 70 {
		silent, err := net.Dial("tcp", b.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = silent.Close() }()
	}
	garbage, err := net.Dial("tcp", b.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = garbage.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	eventually(t, "a call after the silent connections timed out", func() bool { return echo(a, "b") == nil })
}

// Guards against messages that cross a cut, in either direction, and against a cut that outlives its end.
func TestBlockedPeers(t *testing.T) {
	f := newFleet(t)
	var cut atomic.Bool
	a := f.start("a", 1, nil)
	b := f.start("b", 2, func(o *peerlink.Options) {
		o.Filter = func(to ident.RouterID) bool { return !cut.Load() || to != "a" }
	})
	join := func() {
		before := b.count()
		eventually(t, "a message after the cut", func() bool {
			a.Send("b", cancelOf("a", 1, 1))
			return b.count() > before && echo(a, "b") == nil
		})
	}
	join()
	a.SetBlocked([]ident.RouterID{"b"})
	eventually(t, "link down", func() bool { return a.Stats().Links == 0 && b.Stats().Links == 0 })
	dropped := a.Stats().Dropped
	a.Send("b", cancelOf("a", 1, 1))
	if a.Stats().Dropped != dropped+1 || !errors.Is(echo(a, "b"), peerlink.ErrBlocked) {
		t.Error("not cut from the blocking side")
	}
	if got := refusal(t, echo(b, "a")); got.Reason != peerlink.ReasonBlocked || !got.ByPeer {
		t.Errorf("cut from the other side: %+v", got)
	}
	a.SetBlocked(nil)
	join()
	cut.Store(true)
	received := b.count()
	a.Send("b", cancelOf("a", 1, 1))
	if err := echo(b, "a"); !errors.Is(err, peerlink.ErrBlocked) {
		t.Errorf("filtered call: %v", err)
	}
	if err := echo(a, "b"); err == nil {
		t.Error("a filtered peer was served")
	}
	if b.count() != received {
		t.Error("a filtered message was delivered")
	}
	cut.Store(false)
	join()
}

// Guards against a restarted peer that is taken for its earlier process, and against link events out of order.
func TestPeerRestart(t *testing.T) {
	f := newFleet(t)
	a, b := f.start("a", 1, nil), f.start("b", 2, nil)
	a.Send("b", cancelOf("a", 1, 1))
	eventually(t, "message", func() bool { return b.count() == 1 })
	if err := b.Close(); err != nil {
		t.Fatal(err)
	}
	again := f.start("b", 3, nil)
	eventually(t, "message after the restart", func() bool {
		a.Send("b", cancelOf("a", 1, 2))
		return again.count() > 0
	})
	again.SetIncarnation(9)
	eventually(t, "raised incarnation", func() bool {
		a.Send("b", cancelOf("a", 1, 2))
		ev := a.events()
		return len(ev) >= 5 && ev[len(ev)-1] == linkEvent{"b", 9, true}
	})
	want := []linkEvent{{"b", 2, true}, {"b", 2, false}, {"b", 3, true}, {"b", 3, false}, {"b", 9, true}}
	if !slices.Equal(a.events(), want) {
		t.Fatalf("events %v", a.events())
	}
}

// Guards against senders that wait for an unreachable peer, and against queues that grow without bound.
func TestSendNeverBlocks(t *testing.T) {
	f := newFleet(t)
	a := f.start("a", 1, nil)
	black, err := net.Listen("tcp", "127.0.0.1:0") // accepts into its backlog and never answers
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = black.Close() }()
	f.set("black", black.Addr().String())
	const n, queued = 20_000, 4096
	for range n {
		a.Send("black", cancelOf("a", 1, 1))
	}
	if d := a.Stats().Dropped; d < n-queued {
		t.Errorf("only %d of %d messages dropped while the peer did not answer", d, n)
	}
	for range n {
		a.Send("nowhere", cancelOf("a", 1, 1))
	}
	eventually(t, "all dropped", func() bool { return a.Stats().Dropped == 2*n })
}

// Guards against links that stay open unused, and against messages lost when such a link is needed again.
func TestIdleLinksClose(t *testing.T) {
	f := newFleet(t)
	idle := func(o *peerlink.Options) { o.IdleTimeout = 50 * time.Millisecond }
	a, b := f.start("a", 1, idle), f.start("b", 2, idle)
	for i := range 3 {
		a.Send("b", cancelOf("a", 1, uint64(i)))
		eventually(t, "message", func() bool { return b.count() == i+1 })
		eventually(t, "idle close", func() bool { return a.Stats().Links == 0 && b.Stats().Links == 0 })
	}
	if d := a.Stats().Dropped; d != 0 {
		t.Errorf("%d dropped", d)
	}
}

// Guards against two routers that dial each other at once and keep two links for good.
func TestCrossedDialsLeaveOneLink(t *testing.T) {
	f := newFleet(t)
	var both sync.WaitGroup
	both.Add(2)
	var once [2]sync.Once
	crossing := func(i int) func(*peerlink.Options) {
		return func(o *peerlink.Options) {
			o.IdleTimeout = 300 * time.Millisecond
			o.Resolve = func(id ident.RouterID) (string, bool) {
				once[i].Do(both.Done)
				both.Wait() // neither dials before the other is about to
				return f.resolve(id)
			}
		}
	}
	a, b := f.start("a", 1, crossing(0)), f.start("b", 2, crossing(1))
	a.Send("b", cancelOf("a", 1, 0))
	b.Send("a", cancelOf("b", 2, 0))
	eventually(t, "two links", func() bool { return a.Stats().Links == 2 && b.Stats().Links == 2 })
	eventually(t, "one link", func() bool {
		a.Send("b", cancelOf("a", 1, 1))
		b.Send("a", cancelOf("b", 2, 1))
		return a.Stats().Links == 1 && b.Stats().Links == 1
	})
	if len(a.events()) != 1 || len(b.events()) != 1 {
		t.Errorf("events %v and %v", a.events(), b.events())
	}
}

// Guards against messages sent to an earlier process of a peer that still holds its link, such as a paused one.
func TestNewProcessReplacesLinks(t *testing.T) {
	f := newFleet(t)
	a, old := f.start("a", 1, nil), f.start("b", 2, nil)
	old.Send("a", cancelOf("b", 2, 0))
	eventually(t, "old process", func() bool { return a.count() == 1 })
	current := f.start("b", 3, nil)
	current.Send("a", cancelOf("b", 3, 0))
	eventually(t, "replacement", func() bool { return a.Stats().Links == 1 && len(a.events()) == 3 })
	a.Send("b", cancelOf("a", 1, 0))
	eventually(t, "message at the new process", func() bool { return current.count() == 1 })
	want := []linkEvent{{"b", 2, true}, {"b", 2, false}, {"b", 3, true}}
	if !slices.Equal(a.events(), want) {
		t.Errorf("events %v", a.events())
	}
}

// Guards against a farewell that is lost because the network closes right after it.
func TestCloseSendsQueue(t *testing.T) {
	f := newFleet(t)
	a, b := f.start("a", 1, nil), f.start("b", 2, nil)
	a.Send("b", cancelOf("a", 1, 0))
	eventually(t, "link", func() bool { return b.count() == 1 })
	for i := range 100 {
		a.Send("b", cancelOf("a", 1, uint64(i)))
	}
	if err := a.Close(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "queued messages", func() bool { return b.count() == 101 })
	a.Send("b", cancelOf("a", 1, 0))
	if err := echo(a, "b"); !errors.Is(err, peerlink.ErrClosed) {
		t.Errorf("call on a closed network: %v", err)
	}
}

// Guards against calls whose faults reach the caller untyped, hang, or cost the connection.
func TestCallFaults(t *testing.T) {
	f := newFleet(t)
	a := f.start("a", 1, nil)
	f.start("b", 2, func(o *peerlink.Options) {
		o.Methods = map[string]peerlink.Method{
			"big": func(context.Context, peer.Endpoint, json.RawMessage) (any, error) {
				return strings.Repeat("x", peer.MaxRPCMessageBytes), nil
			},
			"who": func(_ context.Context, from peer.Endpoint, _ json.RawMessage) (any, error) { return from, nil },
			"slow": func(ctx context.Context, _ peer.Endpoint, _ json.RawMessage) (any, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			},
			"fail": func(context.Context, peer.Endpoint, json.RawMessage) (any, error) {
				return nil, &jsonrpc2.Error{Code: 77, Message: "conflict"}
			},
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	for method, code := range map[string]int64{"big": jsonrpc2.CodeInternalError, "fail": 77, "none": jsonrpc2.CodeMethodNotFound} {
		var typed *jsonrpc2.Error
		if err := a.Call(ctx, "b", method, nil, nil); !errors.As(err, &typed) || typed.Code != code {
			t.Errorf("%s: %v", method, err)
		}
	}
	if err := a.Call(ctx, "b", peer.MethodEcho, strings.Repeat("x", peer.MaxRPCMessageBytes), nil); !errors.Is(err, peerlink.ErrTooLarge) {
		t.Errorf("large parameters: %v", err)
	}
	var from peer.Endpoint
	if err := a.Call(ctx, "b", "who", nil, &from); err != nil || from != (peer.Endpoint{Router: "a", Incarnation: 1}) {
		t.Errorf("handler saw %+v, %v", from, err)
	}
	short, stop := context.WithTimeout(ctx, 50*time.Millisecond)
	defer stop()
	if err := a.Call(short, "b", "slow", nil, nil); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("slow method: %v", err)
	}
	if err := echo(a, "b"); err != nil {
		t.Errorf("after a call that timed out: %v", err)
	}
	if err := echo(a, "nobody"); !errors.Is(err, peerlink.ErrUnresolved) {
		t.Errorf("no address: %v", err)
	}
}
