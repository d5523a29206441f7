package callerhttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/execute"
	"gooseberrytide.example/gooseberrytide/internal/protocol/caller"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// requestState is what the server knows about a request before the request is parsed.
type requestState struct {
	ref     ident.RequestRef
	team    ident.TeamID
	started time.Time
}

type requestStateKey struct{}

func withState(ctx context.Context, s *requestState) context.Context {
	return context.WithValue(ctx, requestStateKey{}, s)
}

func stateFromContext(ctx context.Context) *requestState {
	s, _ := ctx.Value(requestStateKey{}).(*requestState)
	if s == nil {
		return &requestState{}
	}
	return s
}

// admit wraps a handler of callers' requests. It assigns the request id, counts the request, authenticates its team and
// reads the body. Requests that it does not admit are not passed to the handler.
func (s *Server) admit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		state := &requestState{ref: s.opts.Executor.NewRequest(), started: time.Now()}
		w.Header().Set(caller.HeaderRequestID, state.ref.String())
		r = r.WithContext(withState(r.Context(), state))
		if !s.requests.tryStart() {
			w.Header().Set("Connection", "close")
			s.refuse(w, r, execute.ReasonNotServing)
			return
		}
		s.metrics.inFlight.Add(1)
		defer s.metrics.inFlight.Add(-1)
		defer s.requests.finish()
		if s.requests.isDraining() {
			w.Header().Set("Connection", "close")
		}
		if err := s.authenticate(r, state); err != nil {
			s.refuseUnauthenticated(w, r, err)
			return
		}
		release, ok := s.bodyQuota.reserve(state.team, maxBodySize(r))
		if !ok {
			s.refuse(w, r, execute.ReasonMemory)
			return
		}
		defer release()
		if err := bufferBody(w, r); err != nil {
			s.encodeError(r.Context(), err, w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// authenticate looks up the team of the API key and removes the key from the request.
func (s *Server) authenticate(r *http.Request, state *requestState) error {
	key, ok := parseBearerKey(r.Header.Get("Authorization"))
	r.Header.Del("Authorization")
	if !ok {
		return caller.ErrUnauthenticated()
	}
	state.team, ok = s.opts.Team(key)
	if !ok {
		return errUnknownKey
	}
	return nil
}

// errUnknownKey means that no team in the current configuration has the API key.
var errUnknownKey = errors.New("callerhttp: unknown API key")

// refuseUnauthenticated writes the response to a request without a known API key. A router that is not ready may not
// have the configuration with the key yet, so it reports that it is not serving instead of an invalid key.
func (s *Server) refuseUnauthenticated(w http.ResponseWriter, r *http.Request, err error) {
	if errors.Is(err, errUnknownKey) {
		if s.opts.Ready() != nil {
			s.refuse(w, r, execute.ReasonNotServing)
			return
		}
		err = caller.ErrUnauthenticated()
	}
	s.encodeError(r.Context(), err, w)
}

func parseBearerKey(header string) (string, bool) {
	scheme, key, ok := strings.Cut(header, " ")
	key = strings.TrimSpace(key)
	return key, ok && strings.EqualFold(scheme, "Bearer") && key != ""
}

// maxBodySize returns the maximum size of a request's body in bytes.
func maxBodySize(r *http.Request) int64 {
	if r.ContentLength < 0 || r.ContentLength > caller.MaxBodyBytes {
		return caller.MaxBodyBytes
	}
	return r.ContentLength
}

// bufferBody reads the whole body into memory and replaces the request's body by the copy, so that net/http detects a
// caller that disconnects while the request runs.
func bufferBody(w http.ResponseWriter, r *http.Request) error {
	controller := http.NewResponseController(w)
	// Errors are ignored because a writer without deadlines, as in tests, has no slow callers.
	_ = controller.SetReadDeadline(time.Now().Add(readTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, caller.MaxBodyBytes))
	_ = controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return caller.ErrTooLarge("body", caller.MaxBodyBytes)
	}
	if err != nil {
		return caller.ErrIncomplete()
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}
