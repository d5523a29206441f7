package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/admission"
	"gooseberrytide.example/gooseberrytide/internal/coordination/freshness"
	"gooseberrytide.example/gooseberrytide/internal/coordination/retry"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
	"gooseberrytide.example/gooseberrytide/internal/transport/upstream"
)

// Options configure a Gateway. All are required.
type Options struct {
	Routing *routing.Holder
	Proof   *freshness.Proof
	// KeyLimit returns the age of the proof up to which API keys are accepted.
	KeyLimit  func() time.Duration
	Admission *admission.Controller
	Pool      *upstream.Pool
	Budget    *retry.WindowBudget
	Metrics   *Metrics
	Log       *zap.Logger
	// Delay returns how long requests wait for the processor before they are handled.
	Delay func() time.Duration
	// MaxBodyBytes bounds the request bodies held at a time.
	MaxBodyBytes int64
}

// Gateway is the handler of clients' requests.
type Gateway struct {
	opts Options
	// bodies is the number of bytes of request bodies held.
	bodies atomic.Int64
	active atomic.Int64
	taken  atomic.Int64
	// closing ends connections after an answer, since the router stops; moving does so, since others have less load.
	closing atomic.Bool
	moving  atomic.Bool
	// stopping refuses new requests.
	stopping atomic.Bool
}

// New returns a gateway.
func New(opts Options) *Gateway { return &Gateway{opts: opts} }

// Active returns the number of requests in progress.
func (g *Gateway) Active() int { return int(g.active.Load()) }

// Taken returns the number of requests since the start.
func (g *Gateway) Taken() int64 { return g.taken.Load() }

// MoveClients makes answers tell clients to close their connections, or ends that.
func (g *Gateway) MoveClients(move bool) { g.moving.Store(move) }

// Leave makes answers tell clients to close their connections.
func (g *Gateway) Leave() { g.closing.Store(true) }

// Stop refuses new requests.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	g.taken.Add(1)
	if g.closing.Load() || g.moving.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{g: g, w: w, r: r, arrival: time.Now()}
	x.serve()
}

// reserve takes memory for a body. It reports whether there was enough.
func (g *Gateway) reserve(n int64) bool {
	if g.bodies.Add(n) > g.opts.MaxBodyBytes {
		g.bodies.Add(-n)
		return false
	}
	return true
}

// withDeadline returns a context that ends at the request's deadline.
func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadlineCause(ctx, deadline, errDeadline)
}
