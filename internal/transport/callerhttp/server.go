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
	// readTimeout is the maximum time to read a request's header, and again to read its body.
	readTimeout = 30 * time.Second
	// idleTimeout is the time after which a connection without requests is closed.
	idleTimeout = 120 * time.Second
	// writeTimeout is the maximum duration of one write to a caller. It frees the engine when a caller stops reading.
	writeTimeout = 30 * time.Second
	// refuseRetryAfter is the Retry-After of requests refused after a drain, before the router is ready, or because
	// the memory for bodies is full.
	refuseRetryAfter = time.Second
)

// Executor runs requests. *execute.Executor implements it.
type Executor interface {
	NewRequest() ident.RequestRef
	Call(ctx context.Context, r execute.CallRequest) execute.CallResult
	Complete(ctx context.Context, r execute.CompletionRequest, emit func(execute.Chunk) error) execute.CompletionResult
}

var _ Executor = (*execute.Executor)(nil)

// AddressResolver serves queries for entry addresses.
type AddressResolver interface {
	Addresses(ctx context.Context, q caller.AddressQuery) (caller.AddressAnswer, error)
}

// Options configure a server. Executor, Addresses and Team are required.
type Options struct {
	Executor  Executor
	Addresses AddressResolver
	// Team returns the team of an API key, and false if no team has the key.
	Team func(key string) (ident.TeamID, bool)
	// Ready returns an error that says why the router does not accept new requests, or nil. Default: always ready.
	Ready func() error
	// PrefixHashes hashes the prefixes of prompts. Default: no hashes.
	PrefixHashes caller.PrefixHashes
	// MaxBufferedBytes is the maximum total size of the bodies of all requests in flight. Default 256 MiB.
	MaxBufferedBytes int64
	// Admin serves the paths below /v1/admin/. Default: none.
	Admin http.Handler
	// Logger receives connection errors, but never API keys or bodies. Default: no log.
	Logger *zap.Logger
}

// Server is the HTTP server for callers. It is safe for concurrent use.
type Server struct {
	opts      Options
	log       *zap.Logger
	requests  *requestTracker
	bodyQuota *bodyQuota
	metrics   *metrics
	http      *http.Server
}

// New returns a server that does not listen yet.
func New(opts Options) *Server {
	if opts.Ready == nil {
		opts.Ready = func() error { return nil }
	}
	if opts.Logger == nil {
		opts.Logger = zap.NewNop()
	}
	s := &Server{
		opts:      opts,
		log:       opts.Logger.Named("callerhttp"),
		requests:  newRequestTracker(),
		bodyQuota: newBodyQuota(opts.MaxBufferedBytes),
		metrics:   sharedMetrics(),
	}
	s.http = &http.Server{
		Handler:           markIncomplete(s.routes()),
		ConnContext:       withConn,
		ReadHeaderTimeout: readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    caller.MaxHeaderBytes,
		ErrorLog:          zap.NewStdLog(s.log),
	}
	return s
}

// Handler returns the handler for all routes.
func (s *Server) Handler() http.Handler { return s.http.Handler }

// Serve accepts connections until Shutdown is called.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(&callerListener{l}) }

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int { return s.requests.count() }

// StartDrain makes the readiness check fail. The server still accepts requests, but tells callers to close their
// connections.
func (s *Server) StartDrain() { s.requests.startDrain() }

// Drain starts a drain and accepts requests for a grace period, in which the addresses cached by callers expire. Then
// it refuses new requests and waits until all running requests have ended. It returns the context's error if requests
// are still running when the context ends.
func (s *Server) Drain(ctx context.Context, grace time.Duration) error {
	s.StartDrain()
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	s.requests.close()
	return s.requests.wait(ctx)
}

// Shutdown closes the listener and idle connections and waits for running requests to end.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }
