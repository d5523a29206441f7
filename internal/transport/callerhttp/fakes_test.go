package callerhttp

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gooseberrytide.example/gooseberrytide/internal/coordination/execute"
	"gooseberrytide.example/gooseberrytide/internal/protocol/caller"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

const testKey = "secret-key-of-fernleigh"

// fakeExecutor is an Executor and an AddressResolver whose results are set by the test.
type fakeExecutor struct {
	seq      atomic.Uint64
	call     func(ctx context.Context, r execute.CallRequest) execute.CallResult
	complete func(
		ctx context.Context, r execute.CompletionRequest, emit func(execute.Chunk) error,
	) execute.CompletionResult
	// lastQuery is the latest query for addresses.
	lastQuery caller.AddressQuery
}

func (f *fakeExecutor) NewRequest() ident.RequestRef {
	return ident.RequestRef{Router: "r1", Incarnation: 1, Seq: f.seq.Add(1)}
}

func (f *fakeExecutor) Call(ctx context.Context, r execute.CallRequest) execute.CallResult {
	result := f.call(ctx, r)
	result.RequestID = r.Ref.String()
	return result
}

func (f *fakeExecutor) Complete(
	ctx context.Context, r execute.CompletionRequest, emit func(execute.Chunk) error,
) execute.CompletionResult {
	result := f.complete(ctx, r, emit)
	result.RequestID = r.Ref.String()
	return result
}

func (f *fakeExecutor) Addresses(_ context.Context, q caller.AddressQuery) (caller.AddressAnswer, error) {
	f.lastQuery = q
	return caller.AddressAnswer{Addresses: []caller.Address{{Address: "10.0.0.1:80", Domain: q.Domain}},
		LifetimeMS: 10000}, nil
}

func newTestServer(t *testing.T, f *fakeExecutor) (*Server, *httptest.Server) {
	t.Helper()
	s := New(Options{
		Executor:  f,
		Addresses: f,
		Team: func(key string) (ident.TeamID, bool) {
			return "fernleigh", key == testKey
		},
	})
	web := httptest.NewUnstartedServer(nil)
	web.Config = s.http
	web.Start()
	t.Cleanup(web.Close)
	return s, web
}

func request(t *testing.T, web *httptest.Server, method, path, body string) *http.Response {
	t.Helper()
	return requestWithHeader(t, web, method, path, body, http.Header{"Authorization": {"Bearer " + testKey}})
}

func requestWithHeader(t *testing.T, web *httptest.Server, method, path, body string, h http.Header) *http.Response {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, web.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header = h
	response, err := web.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	return response
}
