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

// requestState is what the server knows of a request before it is parsed.
type requestState struct {
	ref     ident.RequestRef
	team    ident.TeamID
	started time.Time
}

type stateKey struct{}

func withState(ctx context.Context, s *requestState) context.Context {
	return context.WithValue(ctx, stateKey{}, s)
}

func stateOf(ctx context.Context) *requestState {
	s, _ := ctx.Value(stateKey{}).(*requestState)
	if s == nil {
		return &requestState{}
	}
	return s
}

// admit wraps the handlers of callers' requests: it numbers and counts them, finds the team and reads the body.
func (s *Server) admit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		state := &requestState{ref: s.opts.Executor.NewRequest(), started: time.Now()}
		w.Header().Set(caller.HeaderRequestID, state.ref.String())
		r = r.WithContext(withState(r.Context(), state))
		if !s.gate.enter() {
			w.Header().Set("Connection", "close")
			s.refuse(w, r, execute.ReasonNotServing)
			return
		}
		s.metrics.inFlight.Add(1)
		defer s.metrics.inFlight.Add(-1)
		defer s.gate.leave()
		if s.gate.isDraining() {
			w.Header().Set("Connection", "close")
		}
		if err := s.identify(r, state); err != nil {
			s.refuseUnidentified(w, r, err)
			return
		}
		release, ok := s.buffers.reserve(state.team, bodySize(r))
		if !ok {
			s.refuse(w, r, execute.ReasonMemory)
			return
		}
		defer release()
		if err := readBody(w, r); err != nil {
			s.encodeError(r.Context(), err, w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// identify finds the team of the API key and removes the key from the request.
func (s *Server) identify(r *http.Request, state *requestState) error {
	key, ok := bearerKey(r.Header.Get("Authorization"))
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

// errUnknownKey says that the configuration in force has no team with the API key.
var errUnknownKey = errors.New("callerhttp: unknown API key")

// refuseUnidentified answers a request without a known API key. A router that is not ready may lack the configuration
// with the key, so it does not blame the key.
func (s *Server) refuseUnidentified(w http.ResponseWriter, r *http.Request, err error) {
	if errors.Is(err, errUnknownKey) {
		if s.opts.Ready() != nil {
			s.refuse(w, r, execute.ReasonNotServing)
			return
		}
		err = caller.ErrUnauthenticated()
	}
	s.encodeError(r.Context(), err, w)
}

func bearerKey(value string) (string, bool) {
	scheme, key, ok := strings.Cut(value, " ")
	key = strings.TrimSpace(key)
	return key, ok && strings.EqualFold(scheme, "Bearer") && key != ""
}

// bodySize returns the most bytes that a request's body can take.
func bodySize(r *http.Request) int64 {
	if r.ContentLength < 0 || r.ContentLength > caller.MaxBodyBytes {
		return caller.MaxBodyBytes
	}
	return r.ContentLength
}

// readBody replaces the body by a whole copy, so that a caller's disconnect is noticed while the request runs.
func readBody(w http.ResponseWriter, r *http.Request) error {
	control := http.NewResponseController(w)
	// A writer without deadlines, as in tests, has no slow caller to guard against.
	_ = control.SetReadDeadline(time.Now().Add(readTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, caller.MaxBodyBytes))
	_ = control.SetReadDeadline(time.Time{})
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
