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

	mu          sync.Mutex
	running     int
	peakRunning int
	// waiters holds a channel for each waiting request, in order of arrival. It is closed when a slot is granted.
	waiters []chan struct{}
	// accruedAt is the time up to which the busy times are counted.
	accruedAt    time.Time
	busyTime     time.Duration
	slotBusyTime time.Duration

	// active holds the current executions by request ID.
	active     map[string]map[*run]struct{}
	executions []*Execution
	// executionsByID holds the number of executions by request ID.
	executionsByID map[string]int
	totals         totals

	cache       *prefixCache
	seq         uint64
	subscribers map[*subscriber]struct{}

	state  protocol.State
	orders []protocol.Order
	faults Faults
	// thaw is closed when a freeze ends; nil when the engine is not frozen.
	thaw chan struct{}
}

// totals holds counts since the start.
type totals struct {
	refused, dropped, cancelled int
	completed, disconnected     int
	prefillTokens, cachedTokens int64
	decodedTokens, staleOrders  int64
}

// New returns an engine. Handler or Serve make it available over HTTP.
func New(opts Options) *Engine {
	opts = opts.withDefaults()
	e := &Engine{
		opts:           opts,
		mux:            http.NewServeMux(),
		accruedAt:      time.Now(),
		active:         map[string]map[*run]struct{}{},
		executionsByID: map[string]int{},
		cache:          newPrefixCache(opts.CacheEntries),
		subscribers:    map[*subscriber]struct{}{},
		state:          protocol.State{Model: opts.Model, Version: opts.Version},
	}
	e.server = &http.Server{Handler: e.mux}
	e.registerHandlers()
	return e
}

func (e *Engine) registerHandlers() {
	e.mux.HandleFunc("POST "+protocol.PathCompletions, e.waitWhileFrozen(e.serveCompletion))
	e.mux.HandleFunc("DELETE "+protocol.PathRequests+"{id}", e.waitWhileFrozen(e.serveCancel))
	e.mux.HandleFunc("GET "+protocol.PathEvents, e.waitWhileFrozen(e.serveEvents))
	e.mux.HandleFunc("POST "+protocol.PathOrders, e.waitWhileFrozen(e.serveOrder))
	e.mux.HandleFunc("GET "+protocol.PathState, e.waitWhileFrozen(e.serveState))
	e.mux.HandleFunc("GET /admin/stats", e.serveStats)
	e.mux.HandleFunc("GET /admin/executions", e.serveExecutions)
	e.mux.HandleFunc("POST /admin/faults", e.serveFaults)
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

// Close stops Serve and closes all connections.
func (e *Engine) Close() error { return e.server.Close() }

// waitWhileFrozen returns a handler that waits until the engine is not frozen before it calls next.
func (e *Engine) waitWhileFrozen(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.waitThaw(r.Context()) == nil {
			next(w, r)
		}
	}
}

// waitThaw waits until the engine is not frozen. It returns the context's error if the context ends first.
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
