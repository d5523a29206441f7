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

// routes returns a handler for all routes.
func (s *Server) routes() http.Handler {
	services := s.admit(s.newHandler(s.callEndpoint(), decodeServiceCall, s.encodeCall))
	mux := http.NewServeMux()
	mux.Handle("POST /v1/completions", s.admit(s.completionHandler(caller.KindCompletion)))
	mux.Handle("POST /v1/chat/completions", s.admit(s.completionHandler(caller.KindChat)))
	mux.Handle("GET /v1/addresses", s.newHandler(s.addressEndpoint(), decodeAddressQuery, encodeJSON))
	mux.HandleFunc("GET /healthz", s.handleHealth)
	mux.HandleFunc("GET /readyz", s.handleReady)
	if s.opts.Admin != nil {
		mux.Handle("/v1/admin/", s.opts.Admin)
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.encodeError(r.Context(), caller.ErrNoRoute(), w)
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Clears the write deadline of the previous request on the connection, which would abort this response.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		// The mux would redirect a path that is not clean. A service call with such a path is rejected instead.
		if strings.HasPrefix(r.URL.EscapedPath(), caller.ServicePrefix) {
			services.ServeHTTP(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *Server) newHandler(
	endpoint endpoint.Endpoint, decode kithttp.DecodeRequestFunc, encode kithttp.EncodeResponseFunc,
) http.Handler {
	return kithttp.NewServer(endpoint, decode, encode, kithttp.ServerErrorEncoder(s.encodeError))
}

func (s *Server) completionHandler(kind caller.Kind) http.Handler {
	return s.newHandler(s.completionEndpoint(), s.decodeCompletion(kind), s.encodeCompletion)
}

func (s *Server) decodeCompletion(kind caller.Kind) kithttp.DecodeRequestFunc {
	return func(_ context.Context, r *http.Request) (any, error) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, caller.ErrIncomplete()
		}
		return caller.ParseCompletion(kind, body, s.opts.PrefixHashes)
	}
}

func decodeServiceCall(_ context.Context, r *http.Request) (any, error) {
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

func decodeAddressQuery(_ context.Context, r *http.Request) (any, error) {
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

// handleHealth reports that the process is running.
func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

// handleReady reports whether the router accepts new requests.
func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if s.requests.isDraining() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	if err := s.opts.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}
