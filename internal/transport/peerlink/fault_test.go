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

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"gooseberrytide.example/gooseberrytide/internal/protocol/peer"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/transport/peerlink"
)

// callEcho calls the echo method of a peer.
func callEcho(r *router, to ident.RouterID) error {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return r.Call(ctx, to, peer.MethodEcho, peer.EchoParams{Text: "x"}, &peer.EchoResult{})
}

// requireRefused returns the RefusedError of a call, and fails the test if the error has another type.
func requireRefused(t *testing.T, err error) peerlink.RefusedError {
	t.Helper()
	var refused *peerlink.RefusedError
	if !errors.As(err, &refused) {
		t.Fatalf("not refused: %v", err)
	}
	return *refused
}

// Guards against links to routers with another key, with an unknown name, or at the address of another router. Each
// connection must be refused with the right reason and logged, and no message may be delivered.
func TestRefusals(t *testing.T) {
	core, logs := observer.New(zap.WarnLevel)
	f := newFleet(t)
	b := f.start("b", 2, func(o *peerlink.Options) {
		o.Logger = zap.New(core)
		o.AllowPeer = func(id ident.RouterID) bool { return id != "unknown" }
	})
	wrongKey := f.start("wrong-key", 1, func(o *peerlink.Options) { o.Key = []byte("another key of 26 bytes...") })
	if got := requireRefused(t, callEcho(wrongKey, "b")); got.Reason != peerlink.ReasonWrongKey || got.ByPeer {
		t.Errorf("wrong key: %+v", got)
	}
	if got := requireRefused(t, callEcho(b, "wrong-key")); got.Reason != peerlink.ReasonWrongKey {
		t.Errorf("wrong key: %+v", got)
	}
	unknown := f.start("unknown", 1, nil)
	if got := requireRefused(t, callEcho(unknown, "b")); got.Reason != peerlink.ReasonUnknownPeer || !got.ByPeer {
		t.Errorf("unknown peer: %+v", got)
	}
	f.setAddress("c", b.Addr().String())
	if got := requireRefused(t, callEcho(f.start("a", 1, nil), "c")); got.Reason != peerlink.ReasonWrongName {
		t.Errorf("wrong name: %+v", got)
	}
	// Before further refusals: of equal lines in a second only the first five are written.
	for _, reason := range []string{"wrong key", "unknown peer", "wrong name"} {
		// The accepting router logs a refusal after it has sent its reply.
		eventually(t, "a log line for "+reason, func() bool {
			return logs.Filter(func(e observer.LoggedEntry) bool { return e.ContextMap()["reason"] == reason }).Len() > 0
		})
	}
	wrongKey.Send("b", cancelMessage("x", 1, 1))
	unknown.Send("b", cancelMessage("x", 1, 1))
	eventually(t, "drops", func() bool { return wrongKey.Stats().Dropped == 1 && unknown.Stats().Dropped == 1 })
	if b.messageCount() != 0 || b.Stats().Refused < 3 || len(b.recordedLinkEvents()) != 0 {
		t.Errorf("messages %d, refused %d, links %v", b.messageCount(), b.Stats().Refused, b.recordedLinkEvents())
	}
	if _, err := peerlink.New(peerlink.Options{Self: "x", Listen: "127.0.0.1:0", Key: []byte("short")}); err == nil {
		t.Error("a short key was accepted")
	}
}

// proxy forwards connections to a router, records the bytes that the dialing end sends, and lets a test inject bytes.
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
		go func() { _, _ = io.Copy(writerFunc(p.write), in); _ = out.Close() }()
	}
}

type writerFunc func([]byte) (int, error)

func (w writerFunc) Write(b []byte) (int, error) { return w(b) }

func (p *proxy) write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent.Write(b)
	return p.target.Write(b)
}

// startProxied starts routers a and b. Connections from a to b go through the proxy. The logs are those of b.
func startProxied(t *testing.T) (*router, *router, *proxy, *observer.ObservedLogs) {
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
	f.setAddress("b", listener.Addr().String())
	return a, b, p, logs
}

// Guards against replayed, altered, forged and oversized records. Each must end the link without delivering a message,
// and the next message must be sent over a new link.
func TestInvalidRecords(t *testing.T) {
	for name, tamper := range map[string]func(record []byte) ([]byte, error){
		"replayed":  func(r []byte) ([]byte, error) { return r, peerlink.ErrRecord },
		"altered":   func(r []byte) ([]byte, error) { r[len(r)-9] ^= 1; return r, peerlink.ErrRecord },
		"forged":    func([]byte) ([]byte, error) { return append([]byte{1}, make([]byte, 9)...), peerlink.ErrRecord },
		"oversized": func([]byte) ([]byte, error) { return []byte{0x81, 0x80, 0x04}, peerlink.ErrTooLarge }, // 65,537 bytes
	} {
		t.Run(name, func(t *testing.T) {
			a, b, p, logs := startProxied(t)
			a.Send("b", cancelMessage("a", 1, 1))
			eventually(t, "first message", func() bool { return b.messageCount() == 1 })
			p.mu.Lock()
			before := p.sent.Len()
			p.mu.Unlock()
			a.Send("b", cancelMessage("a", 1, 2))
			eventually(t, "second message", func() bool { return b.messageCount() == 2 })
			p.mu.Lock()
			record := bytes.Clone(p.sent.Bytes()[before:])
			written, reason := tamper(record)
			_, err := p.target.Write(written)
			p.mu.Unlock()
			if err != nil {
				t.Fatal(err)
			}
			eventually(t, "end of the link", func() bool { return b.Stats().Links == 0 })
			linkEnds := func() int { return logs.FilterMessage("peerlink: link ended").Len() }
			eventually(t, "log line", func() bool { return linkEnds() == 1 })
			if got := logs.FilterMessage("peerlink: link ended").All()[0].ContextMap()["error"]; got != reason.Error() {
				t.Errorf("logged %v", got)
			}
			eventually(t, "end of the link at a", func() bool { return a.Stats().Links == 0 })
			if b.messageCount() != 2 {
				t.Fatalf("%d messages delivered", b.messageCount())
			}
			a.Send("b", cancelMessage("a", 1, 3))
			eventually(t, "message on the new link", func() bool { return b.messageCount() == 3 })
		})
	}
}

// Guards against a connection that ends within a record and is taken for one that was closed in order. In particular, a read
// after the length finds nothing.
func TestEndWithinARecordIsLogged(t *testing.T) {
	for part, bytesSent := range map[string]int{"length": 1, "length and payload": 6} {
		t.Run(part, func(t *testing.T) {
			g := NewWithT(t)
			a, b, p, logs := startProxied(t)
			a.Send("b", cancelMessage("a", 1, 1))
			eventually(t, "message", func() bool { return b.messageCount() == 1 })
			p.mu.Lock()
			_, err := p.target.Write(bytes.Repeat([]byte{9}, bytesSent))
			_ = p.target.Close()
			p.mu.Unlock()
			g.Expect(err).NotTo(HaveOccurred())
			eventually(t, "end of the link", func() bool { return b.Stats().Links == 0 })
			ends := func() []observer.LoggedEntry { return logs.FilterMessage("peerlink: link ended").All() }
			g.Eventually(ends, time.Second).Should(HaveLen(1))
			g.Expect(ends()[0].ContextMap()["error"]).To(Equal(io.ErrUnexpectedEOF.Error()))
			g.Expect(b.messageCount()).To(Equal(1))
		})
	}
}

// Guards against a replay of all bytes of an earlier connection.
func TestReplayedConnection(t *testing.T) {
	a, b, p, _ := startProxied(t)
	a.Send("b", cancelMessage("a", 1, 1))
	eventually(t, "message", func() bool { return b.messageCount() == 1 })
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
	if b.messageCount() != 1 {
		t.Fatalf("%d messages delivered", b.messageCount())
	}
}

// Guards against connections that send invalid data or nothing and keep the listener from accepting others.
func TestInvalidAndSilentConnections(t *testing.T) {
	f := newFleet(t)
	a, b := f.start("a", 1, nil), f.start("b", 2, nil)
	for range 70 {
		silent, err := net.Dial("tcp", b.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = silent.Close() }()
	}
	invalid, err := net.Dial("tcp", b.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = invalid.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	eventually(t, "a call after the silent connections timed out", func() bool { return callEcho(a, "b") == nil })
}

// Guards against messages to or from a blocked peer, and against peers that stay blocked after the block was removed.
func TestBlockedPeers(t *testing.T) {
	f := newFleet(t)
	var filtered atomic.Bool
	a := f.start("a", 1, nil)
	b := f.start("b", 2, func(o *peerlink.Options) {
		o.Filter = func(to ident.RouterID) bool { return !filtered.Load() || to != "a" }
	})
	waitReachable := func() {
		before := b.messageCount()
		eventually(t, "a message between unblocked peers", func() bool {
			a.Send("b", cancelMessage("a", 1, 1))
			return b.messageCount() > before && callEcho(a, "b") == nil
		})
	}
	waitReachable()
	a.SetBlocked([]ident.RouterID{"b"})
	eventually(t, "link down", func() bool { return a.Stats().Links == 0 && b.Stats().Links == 0 })
	dropped := a.Stats().Dropped
	a.Send("b", cancelMessage("a", 1, 1))
	if a.Stats().Dropped != dropped+1 || !errors.Is(callEcho(a, "b"), peerlink.ErrBlocked) {
		t.Error("the blocking router can still reach the peer")
	}
	if got := requireRefused(t, callEcho(b, "a")); got.Reason != peerlink.ReasonBlocked || !got.ByPeer {
		t.Errorf("call to the blocking router: %+v", got)
	}
	a.SetBlocked(nil)
	waitReachable()
	filtered.Store(true)
	received := b.messageCount()
	a.Send("b", cancelMessage("a", 1, 1))
	if err := callEcho(b, "a"); !errors.Is(err, peerlink.ErrBlocked) {
		t.Errorf("filtered call: %v", err)
	}
	if err := callEcho(a, "b"); err == nil {
		t.Error("a filtered peer was served")
	}
	if b.messageCount() != received {
		t.Error("a filtered message was delivered")
	}
	filtered.Store(false)
	waitReachable()
}

// Guards against messages and link events of a restarted peer that are attributed to its earlier process, and against
// link events out of order.
func TestPeerRestart(t *testing.T) {
	f := newFleet(t)
	a, b := f.start("a", 1, nil), f.start("b", 2, nil)
	a.Send("b", cancelMessage("a", 1, 1))
	eventually(t, "message", func() bool { return b.messageCount() == 1 })
	if err := b.Close(); err != nil {
		t.Fatal(err)
	}
	restarted := f.start("b", 3, nil)
	eventually(t, "message after the restart", func() bool {
		a.Send("b", cancelMessage("a", 1, 2))
		return restarted.messageCount() > 0
	})
	restarted.SetIncarnation(9)
	eventually(t, "raised incarnation", func() bool {
		a.Send("b", cancelMessage("a", 1, 2))
		events := a.recordedLinkEvents()
		return len(events) >= 5 && events[len(events)-1] == linkEvent{"b", 9, true}
	})
	want := []linkEvent{{"b", 2, true}, {"b", 2, false}, {"b", 3, true}, {"b", 3, false}, {"b", 9, true}}
	if !slices.Equal(a.recordedLinkEvents(), want) {
		t.Fatalf("events %v", a.recordedLinkEvents())
	}
}

// Guards against a Send that blocks while the peer is unreachable, and against unbounded queues.
func TestSendNeverBlocks(t *testing.T) {
	f := newFleet(t)
	a := f.start("a", 1, nil)
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0") // connections stay in the accept backlog and get no response
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = unresponsive.Close() }()
	f.setAddress("unresponsive", unresponsive.Addr().String())
	const n, queued = 20_000, 4096
	for range n {
		a.Send("unresponsive", cancelMessage("a", 1, 1))
	}
	if d := a.Stats().Dropped; d < n-queued {
		t.Errorf("only %d of %d messages dropped while the peer did not respond", d, n)
	}
	for range n {
		a.Send("nowhere", cancelMessage("a", 1, 1))
	}
	eventually(t, "all dropped", func() bool { return a.Stats().Dropped == 2*n })
}

// Guards against idle links that stay open, and against lost messages when a closed link is needed again.
func TestIdleLinksAreClosed(t *testing.T) {
	f := newFleet(t)
	shortIdle := func(o *peerlink.Options) { o.IdleTimeout = 50 * time.Millisecond }
	a, b := f.start("a", 1, shortIdle), f.start("b", 2, shortIdle)
	for i := range 3 {
		a.Send("b", cancelMessage("a", 1, uint64(i)))
		eventually(t, "message", func() bool { return b.messageCount() == i+1 })
		eventually(t, "close of the idle link", func() bool { return a.Stats().Links == 0 && b.Stats().Links == 0 })
	}
	if d := a.Stats().Dropped; d != 0 {
		t.Errorf("%d dropped", d)
	}
}

// Guards against two routers that dial each other at the same time and keep both links forever.
func TestSimultaneousDialsLeaveOneLink(t *testing.T) {
	f := newFleet(t)
	var bothDialing sync.WaitGroup
	bothDialing.Add(2)
	var once [2]sync.Once
	simultaneous := func(i int) func(*peerlink.Options) {
		return func(o *peerlink.Options) {
			o.IdleTimeout = 300 * time.Millisecond
			o.Resolve = func(id ident.RouterID) (string, bool) {
				once[i].Do(bothDialing.Done)
				bothDialing.Wait() // neither router dials before the other is about to dial
				return f.resolve(id)
			}
		}
	}
	a, b := f.start("a", 1, simultaneous(0)), f.start("b", 2, simultaneous(1))
	a.Send("b", cancelMessage("a", 1, 0))
	b.Send("a", cancelMessage("b", 2, 0))
	eventually(t, "two links", func() bool { return a.Stats().Links == 2 && b.Stats().Links == 2 })
	eventually(t, "one link", func() bool {
		a.Send("b", cancelMessage("a", 1, 1))
		b.Send("a", cancelMessage("b", 2, 1))
		return a.Stats().Links == 1 && b.Stats().Links == 1
	})
	if len(a.recordedLinkEvents()) != 1 || len(b.recordedLinkEvents()) != 1 {
		t.Errorf("events %v and %v", a.recordedLinkEvents(), b.recordedLinkEvents())
	}
}

// Guards against messages being sent to an earlier process of a peer whose link is still open, such as a paused
// process.
func TestNewProcessReplacesLinks(t *testing.T) {
	f := newFleet(t)
	a, old := f.start("a", 1, nil), f.start("b", 2, nil)
	old.Send("a", cancelMessage("b", 2, 0))
	eventually(t, "old process", func() bool { return a.messageCount() == 1 })
	current := f.start("b", 3, nil)
	current.Send("a", cancelMessage("b", 3, 0))
	eventually(t, "replacement", func() bool { return a.Stats().Links == 1 && len(a.recordedLinkEvents()) == 3 })
	a.Send("b", cancelMessage("a", 1, 0))
	eventually(t, "message at the new process", func() bool { return current.messageCount() == 1 })
	want := []linkEvent{{"b", 2, true}, {"b", 2, false}, {"b", 3, true}}
	if !slices.Equal(a.recordedLinkEvents(), want) {
		t.Errorf("events %v", a.recordedLinkEvents())
	}
}

// Guards against losing messages that were queued directly before the network is closed.
func TestCloseSendsQueuedMessages(t *testing.T) {
	f := newFleet(t)
	a, b := f.start("a", 1, nil), f.start("b", 2, nil)
	a.Send("b", cancelMessage("a", 1, 0))
	eventually(t, "link", func() bool { return b.messageCount() == 1 })
	for i := range 100 {
		a.Send("b", cancelMessage("a", 1, uint64(i)))
	}
	if err := a.Close(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "queued messages", func() bool { return b.messageCount() == 101 })
	a.Send("b", cancelMessage("a", 1, 0))
	if err := callEcho(a, "b"); !errors.Is(err, peerlink.ErrClosed) {
		t.Errorf("call on a closed network: %v", err)
	}
}

// Guards against failed calls that return an untyped error, hang, or make the peer unreachable for later calls.
func TestFailedCalls(t *testing.T) {
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
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for method, code := range map[string]int64{
		"big": jsonrpc2.CodeInternalError, "fail": 77, "none": jsonrpc2.CodeMethodNotFound,
	} {
		var typed *jsonrpc2.Error
		if err := a.Call(ctx, "b", method, nil, nil); !errors.As(err, &typed) || typed.Code != code {
			t.Errorf("%s: %v", method, err)
		}
	}
	if err := a.Call(
		ctx, "b", peer.MethodEcho, strings.Repeat("x", peer.MaxRPCMessageBytes), nil,
	); !errors.Is(err, peerlink.ErrTooLarge) {
		t.Errorf("large parameters: %v", err)
	}
	var from peer.Endpoint
	if err := a.Call(ctx, "b", "who", nil, &from); err != nil || from != (peer.Endpoint{Router: "a", Incarnation: 1}) {
		t.Errorf("handler saw %+v, %v", from, err)
	}
	shortCtx, cancelShort := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancelShort()
	if err := a.Call(shortCtx, "b", "slow", nil, nil); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("slow method: %v", err)
	}
	if err := callEcho(a, "b"); err != nil {
		t.Errorf("after a call that timed out: %v", err)
	}
	if err := callEcho(a, "nobody"); !errors.Is(err, peerlink.ErrUnresolved) {
		t.Errorf("no address: %v", err)
	}
}
