package backend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/execute"
	"gooseberrytide.example/gooseberrytide/internal/coordination/scheduler"
	protocol "gooseberrytide.example/gooseberrytide/internal/protocol/engine"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/test/standin/engine"
)

const testSeed = 7

func startEngine(t *testing.T, opts engine.Options) (*engine.Engine, *object.BackendServer) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	opts.Seed = testSeed
	e := engine.New(opts)
	go func() { _ = e.Serve(l) }()
	t.Cleanup(func() { _ = e.Close() })
	return e, &object.BackendServer{Name: "engine", Address: l.Addr().String(), Kind: object.BackendModelEngine}
}

func waitFor(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out after %s waiting for: %s", testTimeout, condition)
}

func completion(prompt string, maxTokens int) execute.Completion {
	return execute.Completion{RequestID: "r-1", Model: "stand-in", Prompt: prompt, MaxTokens: maxTokens}
}

// readAll appends the rest of a stream to text. It returns the last chunk, or an error.
func readAll(s execute.Stream, text *strings.Builder) (execute.Chunk, error) {
	for {
		c, err := s.Next()
		if err != nil {
			return c, err
		}
		text.WriteString(c.Text)
		if c.Done {
			return c, nil
		}
	}
}

// A stream that breaks and is resumed at the next token must yield the same text as an uninterrupted stream, without
// repeated or missing tokens.
func TestResumedStreamIsComplete(t *testing.T) {
	e, server := startEngine(t, engine.Options{DecodeRate: 5000})
	e.SetFaults(engine.Faults{Drop: 1, DropAfterTokens: 12})
	client := newTestClient(t, Options{})
	request := completion("a prompt", 40)
	s, err := client.Stream(testContext(t), server, request)
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	_, err = readAll(s, &text)
	requireSendError(t, err, execute.SendBroken)
	_ = s.Close()
	if want := engine.Text(testSeed, request.Prompt, 0, 12); text.String() != want {
		t.Fatalf("before the drop: %q, want %q", text.String(), want)
	}
	request.ResumeAt, request.Emitted = 12, text.String()
	s, err = client.Stream(testContext(t), server, request)
	if err != nil {
		t.Fatal(err)
	}
	last, err := readAll(s, &text)
	if err != nil {
		t.Fatal(err)
	}
	_ = s.Close()
	if want := engine.Text(testSeed, request.Prompt, 0, 40); text.String() != want {
		t.Fatalf("%q, want %q", text.String(), want)
	}
	if last.FinishReason != protocol.FinishLength || last.PromptTokens != 2 {
		t.Fatalf("last chunk %+v", last)
	}
}

// Closing a running stream must free the engine's slot. Otherwise the slot stays occupied until the completion ends.
func TestCloseCancelsAtTheEngine(t *testing.T) {
	e, server := startEngine(t, engine.Options{DecodeRate: 100})
	s, err := newTestClient(t, Options{}).Stream(testContext(t), server, completion("p", 100000))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Next(); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "slot free", func() bool { return e.Stats().Running == 0 })
}

// Closing a running stream must send a cancellation, because an engine may not detect a closed connection. Closing a
// failed stream must not send one, because it could cancel the attempt that resumes the stream.
func TestCancellationIsSentForRunningStreams(t *testing.T) {
	for _, running := range []bool{true, false} {
		var cancelled atomic.Int32
		s := newRawServer(t, func(_ int, r *http.Request) (string, bool) {
			if r.Method == http.MethodDelete && r.URL.Path == protocol.PathRequests+"r-1" {
				cancelled.Add(1)
				return "HTTP/1.1 204 No Content\r\n\r\n", true
			}
			return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", running
		})
		stream, err := newTestClient(t, Options{}).Stream(testContext(t), s.backendServer(), completion("p", 1))
		if err != nil {
			t.Fatal(err)
		}
		if !running {
			_, err = stream.Next()
			requireSendError(t, err, execute.SendBroken)
		}
		_ = stream.Close()
		if (cancelled.Load() == 1) != running {
			t.Fatalf("running %v: %d cancellations", running, cancelled.Load())
		}
	}
}

// Failures to start a stream must be reported with the right kind, because only a refused or unsent request may be
// started again on another engine.
func TestStreamRefusals(t *testing.T) {
	e, server := startEngine(t, engine.Options{})
	client := newTestClient(t, Options{})
	e.SetFaults(engine.Faults{Refuse: 1})
	_, err := client.Stream(testContext(t), server, completion("p", 5))
	if s := requireSendError(t, err, execute.SendRefused); s.Status != http.StatusServiceUnavailable {
		t.Fatalf("status %d", s.Status)
	}
	mismatched := completion("p", 5)
	mismatched.ResumeAt, mismatched.Emitted = 2, "not what was sent"
	_, err = client.Stream(testContext(t), server, mismatched)
	requireSendError(t, err, execute.SendInvalid)
	if n := e.Stats().Executions; n != 0 {
		t.Fatalf("%d executions", n)
	}
}

// A stream on a pooled connection must reach the engine only once, even if the connection is lost.
func TestStreamOnReusedConnectionRunsOnce(t *testing.T) {
	body := `data: {"id":"r-1","choices":[{"text":"a","token_index":0,"tokens":1,"finish_reason":"stop"}],` +
		`"usage":{"prompt_tokens":1,"completion_tokens":1}}` + "\n\ndata: [DONE]\n\n"
	header := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	response := header + encodeChunk(body) + "0\r\n\r\n"
	s := newRawServer(t, func(n int, _ *http.Request) (string, bool) {
		if n == 1 {
			return response, true
		}
		return "", false
	})
	client := newTestClient(t, Options{})
	first, err := client.Stream(testContext(t), s.backendServer(), completion("p", 1))
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	if _, err := readAll(first, &text); err != nil {
		t.Fatal(err)
	}
	_ = first.Close()
	_, err = client.Stream(testContext(t), s.backendServer(), completion("p", 1))
	requireSendError(t, err, execute.SendBroken)
	if executions, connections := s.counts(); executions != 2 || connections != 1 {
		t.Fatalf("%d executions on %d connections, want 2 on 1", executions, connections)
	}
}

func encodeChunk(s string) string {
	const digits = "0123456789abcdef"
	size := ""
	for n := len(s); n > 0; n /= 16 {
		size = string(digits[n%16]) + size
	}
	return size + "\r\n" + s + "\r\n"
}

// After lost cache events the subscription must get a new snapshot of the whole cache. Load reports must be delivered.
func TestSubscribeResyncsAfterGap(t *testing.T) {
	e, server := startEngine(t, engine.Options{DecodeRate: 5000, LoadInterval: 5 * time.Millisecond, CacheGapEvery: 2})
	client := newTestClient(t, Options{ResyncInterval: time.Millisecond})
	ctx, cancel := context.WithCancel(testContext(t))
	var mu sync.Mutex
	cached, cleared, loads := map[uint64]bool{}, 0, 0
	done := make(chan error)
	go func() {
		done <- client.Subscribe(ctx, server,
			func(r scheduler.LoadReport) {
				mu.Lock()
				defer mu.Unlock()
				loads++
				if r.Backend != "engine" || r.Slots != 8 {
					t.Errorf("load report %+v", r)
				}
			},
			func(ev scheduler.CacheEvent) {
				mu.Lock()
				defer mu.Unlock()
				if ev.Cleared {
					cleared++
					clear(cached)
				}
				for _, h := range ev.Added {
					cached[h] = true
				}
			})
	}()
	locked := func(f func() bool) func() bool {
		return func() bool { mu.Lock(); defer mu.Unlock(); return f() }
	}
	waitFor(t, "load report", locked(func() bool { return loads > 0 }))
	prompts := []string{strings.Repeat("a", 300), strings.Repeat("b", 300), strings.Repeat("c", 300)}
	for _, p := range prompts {
		s, err := client.Stream(testContext(t), server, completion(p, 1))
		if err != nil {
			t.Fatal(err)
		}
		var text strings.Builder
		if _, err := readAll(s, &text); err != nil {
			t.Fatal(err)
		}
		_ = s.Close()
	}
	waitFor(t, "cache events for all prefixes", locked(func() bool {
		for _, p := range prompts {
			if !cached[protocol.PrefixHashes(p)[0]] {
				return false
			}
		}
		return cleared > 1
	}))
	if e.Stats().Completed != len(prompts) {
		t.Fatal("completions missing")
	}
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Fatalf("Subscribe returned %v", err)
	}
}

// Cache events with a sequence number already seen must be ignored, and a gap must be detected even directly after the
// first event.
func TestCacheEventSequence(t *testing.T) {
	events := 0
	s := &subscription{client: New(Options{}), server: &object.BackendServer{},
		onCache: func(scheduler.CacheEvent) { events++ }}
	for _, step := range []struct {
		seq  uint64
		want int
		lost bool
	}{{0, 1, false}, {0, 1, false}, {2, 2, true}, {1, 2, true}} {
		s.deliver(protocol.Report{Cache: &protocol.CacheUpdate{Seq: step.seq}})
		if events != step.want || s.lost != step.lost {
			t.Fatalf("after sequence number %d: %d events, lost %v", step.seq, events, s.lost)
		}
	}
}
