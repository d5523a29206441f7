package gateway

import (
	"context"
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
	"gooseberrytide.example/gooseberrytide/internal/coordination/memory"
	"gooseberrytide.example/gooseberrytide/internal/coordination/poison"
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

// harness is a gateway in front of stand-in engines.
type harness struct {
	t         testing.TB
	gateway   *Gateway
	server    *httptest.Server
	proof     *freshness.Proof
	clock     *time.Duration
	logs      *observer.ObservedLogs
	routing   *routing.Holder
	admission *admission.Controller
	registry  *prometheus.Registry
	budget    *retry.WindowBudget
	account   *memory.Account
	// leaving is the ID of the last server that announced that it leaves.
	leaving atomic.Pointer[string]
	// unproven is set if servers may have ended with their last responses.
	unproven atomic.Bool
	// delay is the simulated wait for the processor, in nanoseconds.
	delay   atomic.Int64
	engines []*platformengine.Engine
	servers []*backends.Server
}

func testConfig() *routing.Config {
	route := func(name, prefix, service string, kind routing.Kind, resumable bool, attempts int) routing.Route {
		return routing.Route{
			Name: name, Host: testHost, PathPrefix: prefix, Kind: kind, Resumable: resumable, MaxAttempts: attempts,
			Timeout: 6 * time.Second, Objective: 500 * time.Millisecond, MaxPause: 200 * time.Millisecond,
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

// newHarness starts a gateway and n engines, each of which serves both services.
func newHarness(t testing.TB, n int, options ...func(*admission.Options)) *harness {
	t.Helper()
	var engines []*platformengine.Engine
	var addresses []string
	for i := range n {
		engine := platformengine.New("i-" + string(rune('a'+i)))
		server := httptest.NewServer(engine)
		t.Cleanup(server.CloseClientConnections)
		t.Cleanup(server.Close)
		engines = append(engines, engine)
		addresses = append(addresses, server.Listener.Addr().String())
	}
	h := newGatewayHarness(t, addresses, options...)
	h.engines = engines
	return h
}

// newGatewayHarness starts a gateway in front of engines i-a, i-b and so on at the given addresses.
func newGatewayHarness(t testing.TB, addresses []string, options ...func(*admission.Options)) *harness {
	t.Helper()
	core, logs := observer.New(zapcore.InfoLevel)
	clock := time.Hour
	h := &harness{t: t, logs: logs, clock: &clock, routing: &routing.Holder{}, registry: prometheus.NewRegistry()}
	h.proof = freshness.NewProof(func() time.Duration { return clock })
	h.proof.Confirm(clock)
	h.routing.Store(routing.NewTable(testConfig()))
	opts := admission.Options{ShareWindow: 4 * time.Second, Seed: 1}
	for _, set := range options {
		set(&opts)
	}
	h.admission = admission.NewController(admission.New(opts), nil)
	var servers []*backends.Server
	for i, address := range addresses {
		id := "i-" + string(rune('a'+i))
		for _, service := range []string{"app", "pool"} {
			servers = append(servers, &backends.Server{ID: id, Service: service, Address: address, Slots: 8})
		}
	}
	h.servers = servers
	h.admission.SetServers(backends.NewSet(servers))
	h.budget = retry.NewWindowBudget(10 * time.Second)
	h.budget.SetBounds(0.2, 50)
	h.account = memory.NewAccount(8 << 20)
	pool := upstream.New(upstream.Options{})
	h.gateway = New(Options{
		Poison:  newTestGuard(pool),
		Routing: h.routing, Proof: h.proof, MaxConfigAge: func() time.Duration { return 4 * time.Second },
		SchedulingDelay: func() time.Duration { return time.Duration(h.delay.Load()) },
		Admission:       h.admission, Pool: pool, RetryBudget: h.budget,
		Metrics: NewMetrics(h.registry), Log: zap.New(core), Account: h.account,
		OnServerLeaving: func(s *backends.Server) { h.leaving.Store(&s.ID) },
		OnServerLimit:   func(*backends.Server) {},
		OutlivedResponse: func(context.Context, *backends.Server) bool {
			return !h.unproven.Load()
		},
	})
	h.server = httptest.NewServer(h.gateway)
	t.Cleanup(h.server.CloseClientConnections)
	t.Cleanup(h.server.Close)
	return h
}

// localTrials grants every trial.
type localTrials struct{}

func (localTrials) Acquire(context.Context, poison.Ask) poison.Answer {
	return poison.Granted
}

func (localTrials) Release(poison.Fingerprint, bool) {}

// newTestGuard returns a guard of a router without others.
func newTestGuard(pool *upstream.Pool) *poison.Guard {
	return poison.NewGuard(poison.Options{
		Clock: freshness.BootTime,
		Probe: func(ctx context.Context, server *backends.Server) poison.ServerState {
			if pool.Probe(ctx, server.Key(), server.Address) == upstream.PortRefusing {
				return poison.ServerEnded
			}
			return poison.ServerAlive
		},
		Trials:    localTrials{},
		OnCrash:   func(*backends.Server, int, []poison.Fingerprint) {},
		OnCleared: func([]poison.Fingerprint) {},
	})
}

// request returns a request with the test team's API key.
func (h *harness) request(method, path, attempt, body string) *http.Request {
	h.t.Helper()
	r, err := http.NewRequest(method, h.server.URL+path, strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	r.Host = testHost
	r.Header.Set("Attempt-Id", attempt)
	r.Header.Set("Deadline-Ms", "2500")
	r.Header.Set("Authorization", "Bearer "+testKey)
	return r
}

// stream returns a request for an event stream.
func (h *harness) stream(path, attempt string) *http.Request {
	r := h.request(http.MethodPost, path, attempt, "prompt")
	r.Header.Set("Model", "m")
	r.Header.Set("Token-Usage", "100,20")
	r.Header.Set("Prefix-Hash", "a1:60,b2:40")
	return r
}

// clientResponse is the response that a client received.
type clientResponse struct {
	status int
	header http.Header
	body   string
	// err is the error of the request, or of reading the body.
	err error
}

func (h *harness) do(r *http.Request) clientResponse {
	h.t.Helper()
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return clientResponse{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return clientResponse{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// totalRuns returns how often the engines ran an attempt.
func (h *harness) totalRuns(attempt string) int {
	n := 0
	for _, e := range h.engines {
		n += e.Runs(attempt)
	}
	return n
}

func (h *harness) setModes(m platformengine.Mode) {
	for _, e := range h.engines {
		e.SetMode(m)
	}
}

// counter returns the value of a counter without labels.
func (h *harness) counter(name string) float64 {
	h.t.Helper()
	families, err := h.registry.Gather()
	if err != nil {
		h.t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == name {
			return family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	h.t.Fatalf("no metric %s", name)
	return 0
}
