package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/admission"
	"gooseberrytide.example/gooseberrytide/internal/coordination/freshness"
	"gooseberrytide.example/gooseberrytide/internal/coordination/memory"
	"gooseberrytide.example/gooseberrytide/internal/coordination/poison"
	"gooseberrytide.example/gooseberrytide/internal/coordination/retry"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
	"gooseberrytide.example/gooseberrytide/internal/transport/upstream"
	"gooseberrytide.example/gooseberrytide/platform"
)

// Options holds the settings of a Gateway. All fields are required, but Account may be nil.
type Options struct {
	Routing *routing.Holder
	Proof   *freshness.Proof
	// MaxConfigAge returns the age of Proof up to which API keys are accepted.
	MaxConfigAge func() time.Duration
	Admission    *admission.Controller
	Pool         *upstream.Pool
	RetryBudget  *retry.WindowBudget
	// Poison tells which parts of prompts crash servers.
	Poison  *poison.Guard
	Metrics *Metrics
	Log     *zap.Logger
	// SchedulingDelay returns how long requests wait for the processor before they are handled.
	SchedulingDelay func() time.Duration
	// OnServerLeaving is called when a response says for the first time that its server leaves.
	OnServerLeaving func(*backends.Server)
	// OnServerLimit is called when a response changes the limit of requests a second of its server.
	OnServerLimit func(*backends.Server)
	// OutlivedResponse reports whether a server has gone on after a response that ended with its connection, as far as that
	// can be told. It is asked if Poison does not know of a crash.
	OutlivedResponse func(ctx context.Context, server *backends.Server) bool
	// Account is charged for the requests and their bodies.
	Account *memory.Account
}

// Gateway is the HTTP handler of clients' requests.
type Gateway struct {
	opts Options
	// unframed is the logger of responses without a length.
	unframed *zap.Logger
	active   atomic.Int64
	total    atomic.Int64
	// draining and movingClients make each response close its connection: draining because the router is shutting down,
	// movingClients because other routers have less load.
	draining      atomic.Bool
	movingClients atomic.Bool
	// invalidServers limits the log lines about invalid responses.
	invalidServers logInterval
	// invalidPauses limits the log lines about pauses that are not valid.
	invalidPauses logInterval
	// invalidLimits limits the log lines about limits of servers that are not valid.
	invalidLimits logInterval
	// stopping makes the gateway refuse new requests.
	stopping atomic.Bool
}

// New returns a gateway.
func New(opts Options) *Gateway {
	return &Gateway{opts: opts, unframed: opts.Log.Named(UnframedLogger)}
}

// Active returns the number of requests in progress.
func (g *Gateway) Active() int { return int(g.active.Load()) }

// TotalRequests returns the number of requests received since the start.
func (g *Gateway) TotalRequests() int64 { return g.total.Load() }

// SetMoveClients sets whether responses tell clients to close their connections, so that they connect to other routers.
func (g *Gateway) SetMoveClients(move bool) { g.movingClients.Store(move) }

// StartDraining makes all further responses tell clients to close their connections.
func (g *Gateway) StartDraining() { g.draining.Store(true) }

// StopAccepting makes the gateway refuse new requests.
func (g *Gateway) StopAccepting() { g.stopping.Store(true) }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	g.total.Add(1)
	if g.draining.Load() || g.movingClients.Load() {
		w.Header().Set("Connection", "close")
	}
	x := g.newExchange(w, r)
	defer x.recordPanic()
	x.serve()
	x.discardBody()
}

func (g *Gateway) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	now := time.Now()
	return &exchange{g: g, w: w, r: r, arrival: now, received: now, metadata: platform.DecodeRequest(r.Header)}
}

// withDeadline returns a context that ends at the request's deadline with the cause errDeadline.
func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadlineCause(ctx, deadline, errDeadline)
}
