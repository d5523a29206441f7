package engine

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	protocol "gooseberrytide.example/gooseberrytide/internal/protocol/engine"
)

// Engine is a stand-in engine. It is safe for concurrent use.
type Engine struct {
	opts   Options
	mux    *http.ServeMux
	server *http.Server

	mu       sync.Mutex
	running  int
	peak     int
	waiters  []chan struct{}
	changed  time.Time
	busy     time.Duration
	slotBusy time.Duration

	active     map[string]map[*run]struct{}
	executions []*Execution
	counts     map[string]int
	totals     totals

	cache   *prefixCache
	seq     uint64
	readers map[*reader]struct{}

	state  protocol.State
	orders []protocol.Order
	faults Faults
	// thaw is closed when a freeze ends; nil when the engine is not frozen.
	thaw chan struct{}
}

// totals are sums since the start.
type totals struct {
	refused, dropped, cancelled int
	completed, disconnected     int
	prefillTokens, cachedTokens int64
	decodedTokens, staleOrders  int64
}

// New returns an engine that serves through Handler or Serve.
func New(opts Options) *Engine {
	opts = opts.withDefaults()
	e := &Engine{
		opts:    opts,
		mux:     http.NewServeMux(),
		changed: time.Now(),
		active:  map[string]map[*run]struct{}{},
		counts:  map[string]int{},
		cache:   newPrefixCache(opts.CacheEntries),
		readers: map[*reader]struct{}{},
		state:   protocol.State{Model: opts.Model, Version: opts.Version},
	}
	e.server = &http.Server{Handler: e.mux}
	e.routes()
	return e
}

func (e *Engine) routes() {
	e.mux.HandleFunc("POST "+protocol.PathCompletions, e.frozen(e.complete))
	e.mux.HandleFunc("DELETE "+protocol.PathRequests+"{id}", e.frozen(e.cancel))
	e.mux.HandleFunc("GET "+protocol.PathEvents, e.frozen(e.events))
	e.mux.HandleFunc("POST "+protocol.PathOrders, e.frozen(e.order))
	e.mux.HandleFunc("GET "+protocol.PathState, e.frozen(e.getState))
	e.mux.HandleFunc("GET /admin/stats", e.adminStats)
	e.mux.HandleFunc("GET /admin/executions", e.adminExecutions)
	e.mux.HandleFunc("POST /admin/faults", e.adminFaults)
}

// Handler returns the HTTP handler.
func (e *Engine) Handler() http.Handler { return e.mux }

// Serve accepts connections until Close.
func (e *Engine) Serve(l net.Listener) error {
	err := e.server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close ends all connections.
func (e *Engine) Close() error { return e.server.Close() }

// frozen delays a handler while the engine is frozen.
func (e *Engine) frozen(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.waitThaw(r.Context()) == nil {
			next(w, r)
		}
	}
}

// waitThaw returns when the engine is not frozen, or with the context's error.
func (e *Engine) waitThaw(ctx context.Context) error {
	for {
		e.mu.Lock()
		thaw := e.thaw
		e.mu.Unlock()
		if thaw == nil {
			return ctx.Err()
		}
		select {
		case <-thaw:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
