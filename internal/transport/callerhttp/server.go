package callerhttp

import (
	"context"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/execute"
	"gooseberrytide.example/gooseberrytide/internal/protocol/caller"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

const (
	// readTimeout bounds the reading of a request's header, and then of its body.
	readTimeout = 30 * time.Second
	// idleTimeout closes connections without requests.
	idleTimeout = 120 * time.Second
	// writeTimeout bounds one write to a caller. A caller who stops reading frees the engine after it.
	writeTimeout = 30 * time.Second
	// refuseRetryAfter is told to callers who come after the drain, or when bodies fill the memory.
	refuseRetryAfter = time.Second
)

// Executor runs requests. *execute.Executor implements it.
type Executor interface {
	NewRequest() ident.RequestRef
	Call(ctx context.Context, r execute.CallRequest) execute.CallResult
	Complete(ctx context.Context, r execute.CompletionRequest, emit func(execute.Chunk) error) execute.CompletionResult
}

var _ Executor = (*execute.Executor)(nil)

// Addresses answers queries for entry addresses.
type Addresses interface {
	Addresses(ctx context.Context, q caller.AddressQuery) (caller.AddressAnswer, error)
}

// Options configure a server. Executor, Addresses and Team are required.
type Options struct {
	Executor  Executor
	Addresses Addresses
	// Team returns the team of an API key.
	Team func(key string) (ident.TeamID, bool)
	// Ready returns why the router does not serve new requests, or nil. Default: always ready.
	Ready func() error
	// Prefixes hashes prompts. Default: no hashes.
	Prefixes caller.PrefixHashes
	// MaxBufferedBytes bounds the bodies of all requests that are being answered. Default 256 MB.
	MaxBufferedBytes int64
	// Operators serves the paths below /v1/admin/. Default: none.
	Operators http.Handler
	// Logger gets faults of connections. It never gets API keys or bodies. Default: none.
	Logger *zap.Logger
}

// Server serves callers. It is safe for concurrent use.
type Server struct {
	opts    Options
	log     *zap.Logger
	gate    *gate
	buffers *buffers
	metrics *metrics
	http    *http.Server
}

// New returns a server.
func New(opts Options) *Server {
	if opts.Ready == nil {
		opts.Ready = func() error { return nil }
	}
	if opts.Logger == nil {
		opts.Logger = zap.NewNop()
	}
	s := &Server{
		opts:    opts,
		log:     opts.Logger.Named("callerhttp"),
		gate:    newGate(),
		buffers: newBuffers(opts.MaxBufferedBytes),
		metrics: sharedMetrics(),
	}
	s.http = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    caller.MaxHeaderBytes,
		ErrorLog:          zap.NewStdLog(s.log),
	}
	return s
}

// Handler returns the handler of all routes.
func (s *Server) Handler() http.Handler { return s.http.Handler }

// Serve accepts connections until Shutdown.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

// InFlight returns the number of requests that are being answered.
func (s *Server) InFlight() int { return s.gate.count() }

// StartDrain makes the server not ready. It goes on serving, and asks callers to close their connections.
func (s *Server) StartDrain() { s.gate.drain() }

// Drain starts a drain, serves on for the grace time, in which callers' cached addresses run out, then refuses new
// requests and waits until the running ones have ended. It returns the context's error when requests still run at its
// end.
func (s *Server) Drain(ctx context.Context, grace time.Duration) error {
	s.StartDrain()
	t := time.NewTimer(grace)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	s.gate.close()
	return s.gate.wait(ctx)
}

// Shutdown closes the listener and idle connections and waits for running requests.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }
