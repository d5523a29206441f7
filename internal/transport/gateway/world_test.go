package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"gooseberrytide.example/gooseberrytide/internal/coordination/admission"
	"gooseberrytide.example/gooseberrytide/internal/coordination/freshness"
	"gooseberrytide.example/gooseberrytide/internal/coordination/retry"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
	"gooseberrytide.example/gooseberrytide/internal/transport/upstream"
	"gooseberrytide.example/gooseberrytide/test/standin/platformengine"
)

const (
	testHost = "shed.example"
	testKey  = "key-of-farm"
)

// world is a gateway in front of stand-in engines.
type world struct {
	t       testing.TB
	gateway *Gateway
	front   *httptest.Server
	proof   *freshness.Proof
	clock   *time.Duration
	logs    *observer.ObservedLogs
	routing *routing.Holder
	control *admission.Controller
	// delay is the wait for the processor, in nanoseconds.
	delay   atomic.Int64
	engines []*platformengine.Engine
}

func testConfig() *routing.Config {
	route := func(name, prefix, service string, kind routing.Kind, resumable bool, attempts int) routing.Route {
		return routing.Route{
			Name: name, Host: testHost, PathPrefix: prefix, Kind: kind, Resumable: resumable, MaxAttempts: attempts,
			Timeout: 3 * time.Second, Objective: 500 * time.Millisecond, MaxPause: 200 * time.Millisecond,
			Targets: []routing.Target{{Service: service, Weight: 1}},
		}
	}
	open := route("open", "/open/", "app", routing.Safe, false, 2)
	open.Anonymous = true
	return &routing.Config{
		Version: 1,
		Routes: []routing.Route{
			route("lookup", "/lookup/", "app", routing.Safe, false, 2),
			route("callout", "/callout/", "app", routing.Unsafe, false, 2),
			route("digest", "/digest/", "pool", routing.Stream, true, 2),
			route("chat", "/chat/", "pool", routing.Stream, false, 2),
			open,
		},
		Services: []routing.Service{{Name: "app"}, {Name: "pool", Engine: &routing.Engine{Slots: 8, CacheTokens: 100_000}}},
		Teams:    []routing.Team{{Name: "farm", Keys: []string{testKey}}},
		Limits:   routing.Limits{MaxBodyBytes: 1 << 20},
	}
}

// newWorld starts n engines, each of which serves both services.
func newWorld(t testing.TB, n int) *world {
	t.Helper()
	core, logs := observer.New(zapcore.InfoLevel)
	clock := time.Hour
	w := &world{t: t, logs: logs, clock: &clock, routing: &routing.Holder{}}
	w.proof = freshness.NewProof(func() time.Duration { return clock })
	w.proof.Confirm(clock)
	w.routing.Store(routing.NewTable(testConfig()))
	w.control = admission.NewController(admission.New(admission.Options{ShareWindow: 4 * time.Second, Seed: 1}), nil)
	var servers []*backends.Server
	for i := range n {
		engine := platformengine.New("i-" + string(rune('a'+i)))
		server := httptest.NewServer(engine)
		t.Cleanup(server.CloseClientConnections)
		t.Cleanup(server.Close)
		w.engines = append(w.engines, engine)
		address := server.Listener.Addr().String()
		for _, service := range []string{"app", "pool"} {
			servers = append(servers, &backends.Server{ID: engine.ID, Service: service, Address: address, Slots: 8})
		}
	}
	w.control.SetServers(backends.NewSet(servers))
	budget := retry.NewWindowBudget(10 * time.Second)
	budget.SetBounds(0.2, 50)
	w.gateway = New(Options{
		Routing: w.routing, Proof: w.proof, KeyLimit: func() time.Duration { return 4 * time.Second },
		Delay: func() time.Duration { return time.Duration(w.delay.Load()) }, Admission: w.control, Pool: upstream.New(upstream.Options{}), Budget: budget,
		Metrics: NewMetrics(prometheus.NewRegistry()), Log: zap.New(core), MaxBodyBytes: 8 << 20,
	})
	w.front = httptest.NewServer(w.gateway)
	t.Cleanup(w.front.CloseClientConnections)
	t.Cleanup(w.front.Close)
	return w
}

// request returns a request of a team's client.
func (w *world) request(method, path, attempt, body string) *http.Request {
	w.t.Helper()
	r, err := http.NewRequest(method, w.front.URL+path, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	r.Host = testHost
	r.Header.Set("Attempt-Id", attempt)
	r.Header.Set("Deadline-Ms", "2500")
	r.Header.Set("Authorization", "Bearer "+testKey)
	return r
}

// stream returns a request for an event stream.
func (w *world) stream(path, attempt string) *http.Request {
	r := w.request(http.MethodPost, path, attempt, "prompt")
	r.Header.Set("Model", "m")
	r.Header.Set("Token-Usage", "100,20")
	r.Header.Set("Prefix-Hash", "a1:60,b2:40")
	return r
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	// err is the error of reading the body.
	err error
}

func (w *world) do(r *http.Request) answer {
	w.t.Helper()
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// runs sums how often an attempt ran.
func (w *world) runs(attempt string) int {
	n := 0
	for _, e := range w.engines {
		n += e.Runs(attempt)
	}
	return n
}

func (w *world) setModes(m platformengine.Mode) {
	for _, e := range w.engines {
		e.SetMode(m)
	}
}
