package callerhttp

import (
	"context"
	"errors"
	"expvar"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"gooseberrytide.example/gooseberrytide/internal/coordination/execute"
	"gooseberrytide.example/gooseberrytide/internal/protocol/caller"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

func completedCall(context.Context, execute.CallRequest) execute.CallResult {
	return execute.CallResult{Outcome: execute.Completed, Response: &execute.Response{Status: http.StatusOK}}
}

// Guards against requests above a limit or without a valid API key reaching the executor, and API keys in logs.
func TestRejectedRequestsDoNotRun(t *testing.T) {
	ran := false
	core, logs := observer.New(zapcore.DebugLevel)
	f := &fakeExecutor{call: func(ctx context.Context, r execute.CallRequest) execute.CallResult {
		ran = true
		return completedCall(ctx, r)
	}}
	s := New(Options{Executor: f, Addresses: f, Logger: zap.New(core),
		Team: func(string) (ident.TeamID, bool) { return "", false }})
	noTeams := httptest.NewServer(s.Handler())
	defer noTeams.Close()
	if r := request(t, noTeams, "POST", "/v1/services/s/x", ""); r.StatusCode != 401 ||
		r.Header.Get(caller.HeaderOutcome) != "not-run" {
		t.Errorf("unknown key: %d", r.StatusCode)
	}
	for _, entry := range logs.All() {
		if strings.Contains(entry.Message, testKey) {
			t.Errorf("key in log: %v", entry)
		}
	}
	_, web := newTestServer(t, f)
	authorized := http.Header{"Authorization": {"Bearer " + testKey}}
	huge := authorized.Clone()
	huge.Set("X-Huge", strings.Repeat("a", caller.MaxHeaderBytes+4096))
	for _, c := range []struct {
		name, path, body string
		header           http.Header
		status           int
	}{
		{"body", "/v1/services/s/x", strings.Repeat("a", caller.MaxBodyBytes+1), authorized, 413},
		{"header", "/v1/services/s/x", "", huge, 431},
		{"no key", "/v1/services/s/x", "", http.Header{}, 401},
		{"basic", "/v1/services/s/x", "", http.Header{"Authorization": {"Basic " + testKey}}, 401},
		{"path", "/v1/services/s/a/../b", "", authorized, 400},
		{"json", "/v1/completions", "{", authorized, 400},
		{"route", "/v1/nothing", "", authorized, 404},
	} {
		if r := requestWithHeader(t, web, "POST", c.path, c.body, c.header); r.StatusCode != c.status {
			t.Errorf("%s: status %d, want %d", c.name, r.StatusCode, c.status)
		}
	}
	if ran {
		t.Error("a rejected request ran")
	}
	if r := requestWithHeader(
		t, web, "POST", "/v1/services/s/x", strings.Repeat("a", caller.MaxBodyBytes), authorized,
	); r.StatusCode != 200 {
		t.Errorf("body at the limit: %d", r.StatusCode)
	}
}

// Guards against a drain that aborts running requests, refuses new requests during the grace period, or accepts new
// requests after it.
func TestDrain(t *testing.T) {
	running, finish := make(chan struct{}, 2), make(chan struct{})
	f := &fakeExecutor{call: func(ctx context.Context, r execute.CallRequest) execute.CallResult {
		if r.Path == "/slow" {
			running <- struct{}{}
			<-finish
		}
		return completedCall(ctx, r)
	}}
	s, web := newTestServer(t, f)
	slow := make(chan int, 1)
	go func() { slow <- request(t, web, "POST", "/v1/services/s/slow", "").StatusCode }()
	<-running
	s.StartDrain()
	if r := request(t, web, "GET", "/readyz", ""); r.StatusCode != 503 {
		t.Errorf("readyz while draining: %d", r.StatusCode)
	}
	if r := request(t, web, "POST", "/v1/services/s/x", ""); r.StatusCode != 200 || !r.Close {
		t.Errorf("request in the grace period: %d, close %v", r.StatusCode, r.Close)
	}
	short, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	if err := s.Drain(short, time.Hour); !errors.Is(err, context.DeadlineExceeded) || s.InFlight() != 1 {
		t.Errorf("drain past its deadline: %v, %d in flight", err, s.InFlight())
	}
	r := request(t, web, "POST", "/v1/services/s/x", "")
	if r.StatusCode != 503 || r.Header.Get(caller.HeaderOutcome) != "not-run" || r.Header.Get("Retry-After") != "1" {
		t.Errorf("request after the drain: %d, %v", r.StatusCode, r.Header)
	}
	close(finish)
	if err := s.Drain(t.Context(), 0); err != nil || s.InFlight() != 0 {
		t.Errorf("drain: %v, %d in flight", err, s.InFlight())
	}
	if status := <-slow; status != 200 {
		t.Errorf("running request: %d", status)
	}
}

// Guards against requests being refused during the grace period.
func TestDrainServesDuringTheGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Executor: &fakeExecutor{}})
		done := make(chan error)
		go func() { done <- s.Drain(t.Context(), 10*time.Second) }()
		time.Sleep(10*time.Second - 1)
		if !s.requests.tryStart() {
			t.Error("refused in the grace period")
		}
		s.requests.finish()
		if err := <-done; err != nil || s.requests.tryStart() {
			t.Errorf("after the grace period: %v", err)
		}
	})
}

// Guards against completions that continue after the caller has disconnected.
func TestDisconnectEndsTheContext(t *testing.T) {
	ended := make(chan error, 1)
	f := &fakeExecutor{complete: func(
		ctx context.Context, _ execute.CompletionRequest, emit func(execute.Chunk) error,
	) execute.CompletionResult {
		_ = emit(execute.Chunk{Tokens: 1, Text: "x"})
		<-ctx.Done()
		ended <- ctx.Err()
		return execute.CompletionResult{Outcome: execute.Failed, Reason: execute.ReasonCancelled}
	}}
	_, web := newTestServer(t, f)
	r := request(t, web, "POST", "/v1/completions", `{"model":"m","prompt":"p","stream":true}`)
	r.Body.Close()
	select {
	case <-ended:
	case <-time.After(time.Minute):
		t.Fatal("the context did not end")
	}
}

// Guards against responses above the size limit, and streams that end without an error message.
func TestTooLargeCompletionFails(t *testing.T) {
	oversized := func(
		_ context.Context, _ execute.CompletionRequest, emit func(execute.Chunk) error,
	) execute.CompletionResult {
		text := strings.Repeat("a", caller.MaxResponseBytes/2)
		for i := range 3 {
			if err := emit(execute.Chunk{Index: i, Tokens: 1, Text: text}); err != nil {
				return execute.CompletionResult{Outcome: execute.Failed, Reason: execute.ReasonCancelled, Err: err}
			}
		}
		return execute.CompletionResult{Outcome: execute.Completed}
	}
	_, web := newTestServer(t, &fakeExecutor{complete: oversized})
	response := request(t, web, "POST", "/v1/completions", `{"model":"m","prompt":"p"}`)
	if body := readAll(t, response.Body); response.StatusCode != 502 || !strings.Contains(body, "too large") {
		t.Errorf("non-streaming response: %d %.200s", response.StatusCode, body)
	}
	stream := request(t, web, "POST", "/v1/completions", `{"model":"m","prompt":"p","stream":true}`)
	body := readAll(t, stream.Body)
	if len(body) > caller.MaxResponseBytes || !strings.Contains(body[len(body)-300:], "too large") ||
		stream.Trailer.Get(caller.HeaderOutcome) != "failed" {
		t.Errorf("stream: %d bytes, end %q", len(body), body[len(body)-300:])
	}
}

// Guards against one team using all of the memory for request bodies.
func TestBodyQuotaPerTeam(t *testing.T) {
	quota := newBodyQuota(400)
	release, ok := quota.reserve("flood", 100)
	if _, exceeded := quota.reserve("flood", 1); !ok || exceeded {
		t.Fatal("a team exceeded its limit")
	}
	for _, team := range []ident.TeamID{"b", "c", "d"} {
		if _, ok := quota.reserve(team, 100); !ok {
			t.Fatal("another team was refused")
		}
	}
	if _, ok := quota.reserve("e", 1); ok {
		t.Fatal("the limit was exceeded")
	}
	release()
	if _, ok := quota.reserve("flood", 100); !ok || len(quota.usedByTeam) != 4 {
		t.Fatal("released bytes could not be reserved again")
	}
}

// Guards against routes without a handler, outcomes missing from the metrics, and replayed responses that are not
// marked as such.
func TestOtherRoutesAndMetrics(t *testing.T) {
	f := &fakeExecutor{call: func(context.Context, execute.CallRequest) execute.CallResult {
		return execute.CallResult{Outcome: execute.Unknown, Reason: execute.ReasonRecordedResult, Replayed: true,
			BodyOmitted: true, Key: "k"}
	}}
	_, web := newTestServer(t, f)
	for path, want := range map[string]string{
		"/healthz": "ok", "/readyz": "ok",
		"/v1/addresses?team=t&model=m&failure_domain=d": `{"addresses":[{"address":"10.0.0.1:80","failure_domain":"d"}],"lifetime_ms":10000}`,
	} {
		if r := requestWithHeader(t, web, "GET", path, "", http.Header{}); r.StatusCode != 200 ||
			strings.TrimSpace(readAll(t, r.Body)) != want {
			t.Errorf("%s: %d", path, r.StatusCode)
		}
	}
	if f.lastQuery.Caller != "127.0.0.1" {
		t.Errorf("the address query has caller %q, want the caller's IP address", f.lastQuery.Caller)
	}
	before := expvar.Get(metricPrefix + "unknown").String()
	r := request(t, web, "POST", "/v1/services/s/x", "")
	if r.StatusCode != 500 || r.Header.Get(caller.HeaderReplayed) != "true" ||
		r.Header.Get(caller.HeaderBodyOmitted) != "true" {
		t.Errorf("replay: %d %v", r.StatusCode, r.Header)
	}
	if expvar.Get(metricPrefix+"unknown").String() == before {
		t.Error("the outcome was not counted")
	}
}
