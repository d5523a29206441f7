package callerhttp

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/execute"
	"gooseberrytide.example/gooseberrytide/internal/protocol/caller"
)

// maxStatus is the largest HTTP status code.
const maxStatus = 999

// encodeError writes the response to a request that was rejected before it reached the executor.
func (s *Server) encodeError(ctx context.Context, err error, w http.ResponseWriter) {
	var callerErr *caller.Error
	if !errors.As(err, &callerErr) {
		s.log.Error("callerhttp: request rejected because of an internal error", zap.Error(err))
		callerErr = &caller.Error{
			Type:    caller.TypeNotRun,
			Message: "internal error",
			Status:  http.StatusInternalServerError,
		}
	}
	s.metrics.invalid.Add(1)
	s.writeError(ctx, w, callerErr, execute.NotRun, 0)
}

// refuse writes the response to a request that the server does not accept. The request has not run.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, reason execute.Reason) {
	s.metrics.recordOutcome(execute.NotRun, 0)
	s.writeError(r.Context(), w, caller.NewError(execute.NotRun, reason), execute.NotRun, refuseRetryAfter)
}

// writeError writes an error response with a JSON body. A retryAfter of 0 sends no Retry-After header.
func (s *Server) writeError(
	ctx context.Context, w http.ResponseWriter, e *caller.Error, outcome execute.Outcome, retryAfter time.Duration,
) {
	body, err := json.Marshal(caller.ErrorBody{
		Error:        e,
		Outcome:      outcome,
		RequestID:    requestID(ctx),
		RetryAfterMS: retryAfter.Milliseconds(),
	})
	if err != nil {
		s.log.Error("callerhttp: encoding of an error response failed", zap.Error(err))
		return
	}
	h := w.Header()
	h.Set("Content-Type", caller.ContentTypeJSON)
	h.Set(caller.HeaderOutcome, string(outcome))
	if retryAfter > 0 {
		h.Set(caller.HeaderRetryAfter, caller.RetryAfterSeconds(retryAfter))
	}
	s.writeWithLength(w, e.Status, body)
}

func requestID(ctx context.Context) string {
	state := stateFromContext(ctx)
	if state.started.IsZero() {
		return ""
	}
	return state.ref.String()
}

// writeWithLength writes a response with a Content-Length header.
func (s *Server) writeWithLength(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	s.writeResponse(w, status, body)
}

// writeResponse writes a response whose headers are complete. A failed write is logged only for debugging, because a
// caller that has disconnected is no fault of the server.
func (s *Server) writeResponse(w http.ResponseWriter, status int, body []byte) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		s.log.Debug("callerhttp: response not delivered", zap.Error(err))
	}
}

// encodeCall writes the response of a service, or an error if there is none.
func (s *Server) encodeCall(ctx context.Context, w http.ResponseWriter, response any) error {
	r := response.(execute.CallResult)
	if r.Response == nil || !isFinalStatus(r.Response.Status) {
		s.setCallHeaders(w.Header(), r)
		s.writeError(ctx, w, caller.NewError(r.Outcome, r.Reason), r.Outcome, r.RetryAfter)
		return nil
	}
	h := w.Header()
	for name, values := range caller.ResponseHeader(r.Response.Header) {
		h[name] = values
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // keeps net/http from adding a type that the service did not set
	}
	s.setCallHeaders(h, r)
	h.Set(caller.HeaderOutcome, string(r.Outcome))
	trailer := caller.ResponseHeader(r.Response.Trailer)
	for name, values := range trailer {
		h[http.TrailerPrefix+name] = values
	}
	if r.Response.Status == http.StatusNoContent || r.Response.Status == http.StatusNotModified {
		w.WriteHeader(r.Response.Status)
		return nil
	}
	if len(trailer) > 0 {
		s.writeResponse(w, r.Response.Status, r.Response.Body)
		return nil
	}
	s.writeWithLength(w, r.Response.Status, r.Response.Body)
	return nil
}

// setCallHeaders sets the headers that depend on the result of a call: the idempotency key, and whether the response
// was replayed or its body omitted.
func (s *Server) setCallHeaders(h http.Header, r execute.CallResult) {
	if r.Key != "" {
		h.Set(caller.HeaderIdempotencyKey, r.Key)
	}
	if r.Replayed {
		h.Set(caller.HeaderReplayed, "true")
	}
	if r.BodyOmitted {
		h.Set(caller.HeaderBodyOmitted, "true")
	}
}

// isFinalStatus reports whether a status is valid in a final response. Lower ones are interim statuses or invalid, and
// larger ones are invalid.
func isFinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }
