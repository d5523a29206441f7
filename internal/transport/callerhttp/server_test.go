package callerhttp

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/execute"
	"gooseberrytide.example/gooseberrytide/internal/protocol/caller"
)

func readAll(t *testing.T, r io.Reader) string {
	t.Helper()
	data, err := io.ReadAll(r)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func completeWithTokens(
	n int,
) func(context.Context, execute.CompletionRequest, func(execute.Chunk) error) execute.CompletionResult {
	return func(_ context.Context, _ execute.CompletionRequest, emit func(execute.Chunk) error) execute.CompletionResult {
		for i := range n {
			c := execute.Chunk{Index: i, Tokens: 1, Text: "t", Done: i == n-1, FinishReason: "stop"}
			if err := emit(c); err != nil {
				return execute.CompletionResult{Outcome: execute.Failed, Reason: execute.ReasonCancelled, Err: err}
			}
		}
		return execute.CompletionResult{Outcome: execute.Completed, FinishReason: "stop", OutputTokens: n}
	}
}

// Guards against a stream without an outcome in the last event or in the trailer.
func TestStreamEndsWithItsOutcome(t *testing.T) {
	_, web := newTestServer(t, &fakeExecutor{complete: completeWithTokens(3)})
	r := request(t, web, "POST", "/v1/completions", `{"model":"m","prompt":"p","stream":true}`)
	body := readAll(t, r.Body)
	events := strings.Split(strings.TrimSpace(body), "\n\n")
	last := events[len(events)-1]
	if len(events) != 5 || !strings.HasPrefix(last, "event: outcome\n") ||
		!strings.Contains(last, `"outcome":"completed"`) {
		t.Fatalf("events: %q", events)
	}
	if got := r.Trailer.Get(caller.HeaderOutcome); got != "completed" {
		t.Fatalf("trailer outcome %q", got)
	}
	if r.Header.Get(caller.HeaderRequestID) != "r1-1-1" {
		t.Fatalf("request id %q", r.Header.Get(caller.HeaderRequestID))
	}
}

// Guards against chunks that are buffered until later chunks arrive.
func TestStreamIsFlushedPerChunk(t *testing.T) {
	next := make(chan struct{})
	f := &fakeExecutor{complete: func(
		_ context.Context, _ execute.CompletionRequest, emit func(execute.Chunk) error,
	) execute.CompletionResult {
		_ = emit(execute.Chunk{Index: 0, Tokens: 1, Text: "first"})
		<-next
		return execute.CompletionResult{Outcome: execute.Failed, Reason: execute.ReasonBroken}
	}}
	_, web := newTestServer(t, f)
	r := request(t, web, "POST", "/v1/chat/completions",
		`{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true}`)
	first := make([]byte, 1024)
	n, err := r.Body.Read(first)
	if err != nil || !strings.Contains(string(first[:n]), "first") {
		t.Fatalf("first read %q, %v", first[:n], err)
	}
	close(next)
	if rest := readAll(t, r.Body); !strings.Contains(rest, `"outcome":"failed"`) || strings.Contains(rest, "DONE") {
		t.Fatalf("end of a failed stream: %q", rest)
	}
}

// Guards against responses that lose the service's status, headers, body or trailer, or that forward hop-by-hop
// headers.
func TestServiceResponsePassesThrough(t *testing.T) {
	var got execute.CallRequest
	f := &fakeExecutor{call: func(_ context.Context, r execute.CallRequest) execute.CallResult {
		got = r
		return execute.CallResult{Outcome: execute.Failed, Key: "k1", Response: &execute.Response{
			Status: http.StatusTeapot,
			Header: http.Header{"X-Stock": {"7"}, "Connection": {"X-Hop"}, "X-Hop": {"1"},
				"Gooseberrytide-Outcome": {"completed"}},
			Trailer: http.Header{"X-Sum": {"9"}},
			Body:    []byte("short and stout"),
		}}
	}}
	_, web := newTestServer(t, f)
	r := request(t, web, "PUT", "/v1/services/stock/cups/7?size=l", "body")
	body := readAll(t, r.Body)
	if r.StatusCode != http.StatusTeapot || body != "short and stout" || r.Header.Get("X-Stock") != "7" ||
		r.Trailer.Get("X-Sum") != "9" {
		t.Fatalf("status %d, body %q, header %v, trailer %v", r.StatusCode, body, r.Header, r.Trailer)
	}
	if r.Header.Get("X-Hop") != "" || r.Header.Get("Content-Type") != "" ||
		r.Header.Get(caller.HeaderOutcome) != "failed" || r.Header.Get(caller.HeaderIdempotencyKey) != "k1" {
		t.Fatalf("header %v", r.Header)
	}
	if got.Service != "stock" || got.Path != "/cups/7?size=l" || got.Method != "PUT" || got.Team != "fernleigh" ||
		string(got.Body) != "body" {
		t.Fatalf("request %+v", got)
	}
	if strings.Contains(strings.Join(got.Header.Values("Authorization"), ""), testKey) {
		t.Fatal("the service got the API key")
	}
}

// Guards against wrong status codes and a missing Retry-After header.
func TestStatusByOutcome(t *testing.T) {
	for _, c := range []struct {
		outcome execute.Outcome
		reason  execute.Reason
		status  int
	}{
		{execute.NotRun, execute.ReasonQueueFull, 429},
		{execute.NotRun, execute.ReasonDeadline, 504},
		{execute.NotRun, execute.ReasonNoBackend, 503},
		{execute.NotRun, execute.ReasonKeyConflict, 409},
		{execute.Failed, execute.ReasonBroken, 502},
		{execute.Unknown, execute.ReasonBroken, 500},
	} {
		f := &fakeExecutor{call: func(context.Context, execute.CallRequest) execute.CallResult {
			return execute.CallResult{Outcome: c.outcome, Reason: c.reason, RetryAfter: 1500 * time.Millisecond}
		}}
		_, web := newTestServer(t, f)
		r := request(t, web, "POST", "/v1/services/s/x", "")
		var body caller.ErrorBody
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			t.Fatal(err)
		}
		if r.StatusCode != c.status || body.Outcome != c.outcome || r.Header.Get(caller.HeaderOutcome) != string(c.outcome) {
			t.Errorf("%s/%s: status %d, body %+v", c.outcome, c.reason, r.StatusCode, body)
		}
		if r.Header.Get("Retry-After") != "2" || body.RetryAfterMS != 1500 ||
			body.RequestID != r.Header.Get(caller.HeaderRequestID) {
			t.Errorf("%s/%s: Retry-After %q, body %+v", c.outcome, c.reason, r.Header.Get("Retry-After"), body)
		}
	}
}

// Guards against an invalid or interim status from a service that makes net/http panic or send an interim response.
func TestInvalidStatusIsAFailure(t *testing.T) {
	for _, status := range []int{0, 103, 1000} {
		f := &fakeExecutor{call: func(context.Context, execute.CallRequest) execute.CallResult {
			return execute.CallResult{Outcome: execute.Failed, Reason: execute.ReasonServiceError,
				Response: &execute.Response{Status: status}}
		}}
		_, web := newTestServer(t, f)
		if r := request(t, web, "POST", "/v1/services/s/x", ""); r.StatusCode != 502 ||
			r.Header.Get(caller.HeaderOutcome) != "failed" {
			t.Errorf("status %d became %d", status, r.StatusCode)
		}
	}
}
