package callerhttp

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"

	"gooseberrytide.example/gooseberrytide/internal/protocol/caller"
)

// routes returns the handler of all routes.
func (s *Server) routes() http.Handler {
	services := s.admit(s.serve(s.callEndpoint(), decodeService, s.encodeCall))
	mux := http.NewServeMux()
	mux.Handle("POST /v1/completions", s.admit(s.completions(caller.KindCompletion)))
	mux.Handle("POST /v1/chat/completions", s.admit(s.completions(caller.KindChat)))
	mux.Handle("GET /v1/addresses", s.serve(s.addressEndpoint(), decodeAddresses, encodeJSON))
	mux.HandleFunc("GET /healthz", s.health)
	mux.HandleFunc("GET /readyz", s.ready)
	if s.opts.Operators != nil {
		mux.Handle("/v1/admin/", s.opts.Operators)
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.encodeError(r.Context(), caller.ErrNoRoute(), w)
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The deadline of a connection's former request would cut off this one's answer.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		// The mux would redirect paths that are not clean; a service call is refused instead.
		if strings.HasPrefix(r.URL.EscapedPath(), caller.ServicePrefix) {
			services.ServeHTTP(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *Server) serve(e endpoint.Endpoint, d kithttp.DecodeRequestFunc, enc kithttp.EncodeResponseFunc) http.Handler {
	return kithttp.NewServer(e, d, enc, kithttp.ServerErrorEncoder(s.encodeError))
}

func (s *Server) completions(kind caller.Kind) http.Handler {
	return s.serve(s.completionEndpoint(), s.decodeCompletion(kind), s.encodeCompletion)
}

func (s *Server) decodeCompletion(kind caller.Kind) kithttp.DecodeRequestFunc {
	return func(_ context.Context, r *http.Request) (any, error) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, caller.ErrIncomplete()
		}
		return caller.ParseCompletion(kind, body, s.opts.Prefixes)
	}
}

func decodeService(_ context.Context, r *http.Request) (any, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, caller.ErrIncomplete()
	}
	target := r.URL.EscapedPath()
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	return caller.ParseService(r.Method, target, r.Header, body)
}

func decodeAddresses(_ context.Context, r *http.Request) (any, error) {
	q, err := caller.ParseAddressQuery(r.URL.Query())
	if err != nil {
		return nil, err
	}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		q.Caller = host
	}
	return q, nil
}

func encodeJSON(_ context.Context, w http.ResponseWriter, response any) error {
	w.Header().Set("Content-Type", caller.ContentTypeJSON)
	return json.NewEncoder(w).Encode(response)
}

// health reports that the process runs.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

// ready reports whether the router takes new requests.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.gate.isDraining() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	if err := s.opts.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}
