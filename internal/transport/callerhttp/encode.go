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

// maxStatus is the largest status that HTTP allows.
const maxStatus = 999

// encodeError answers a request that was refused before it reached the executor.
func (s *Server) encodeError(ctx context.Context, err error, w http.ResponseWriter) {
	var refused *caller.Error
	if !errors.As(err, &refused) {
		s.log.Error("callerhttp: request refused by an internal error", zap.Error(err))
		refused = &caller.Error{
			Type:    caller.TypeNotRun,
			Message: "internal error",
			Status:  http.StatusInternalServerError,
		}
	}
	s.metrics.invalid.Add(1)
	s.writeError(ctx, w, refused, execute.NotRun, 0)
}

// refuse answers a request that the server does not take. Nothing has run.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, reason execute.Reason) {
	s.metrics.ended(execute.NotRun, 0)
	s.writeError(r.Context(), w, caller.NewError(execute.NotRun, reason), execute.NotRun, refuseRetryAfter)
}

// writeError writes the JSON body of an error.
func (s *Server) writeError(ctx context.Context, w http.ResponseWriter, e *caller.Error, o execute.Outcome, retry time.Duration) {
	body, err := json.Marshal(caller.ErrorBody{
		Error:        e,
		Outcome:      o,
		RequestID:    requestID(ctx),
		RetryAfterMS: retry.Milliseconds(),
	})
	if err != nil {
		s.log.Error("callerhttp: error not encoded", zap.Error(err))
		return
	}
	h := w.Header()
	h.Set("Content-Type", caller.ContentTypeJSON)
	h.Set(caller.HeaderOutcome, string(o))
	if retry > 0 {
		h.Set(caller.HeaderRetryAfter, caller.RetryAfterSeconds(retry))
	}
	s.write(w, e.Status, body)
}

func requestID(ctx context.Context) string {
	state := stateOf(ctx)
	if state.started.IsZero() {
		return ""
	}
	return state.ref.String()
}

// write sends a whole answer.
func (s *Server) write(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	s.send(w, status, body)
}

// send sends a whole answer whose headers are complete. A caller who left is not an error.
func (s *Server) send(w http.ResponseWriter, status int, body []byte) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		s.log.Debug("callerhttp: answer not delivered", zap.Error(err))
	}
}

// encodeCall writes the answer of a service, or the error that took its place.
func (s *Server) encodeCall(ctx context.Context, w http.ResponseWriter, response any) error {
	r := response.(execute.CallResult)
	if r.Response == nil || !finalStatus(r.Response.Status) {
		s.callHeaders(w.Header(), r)
		s.writeError(ctx, w, caller.NewError(r.Outcome, r.Reason), r.Outcome, r.RetryAfter)
		return nil
	}
	h := w.Header()
	for name, values := range caller.ResponseHeader(r.Response.Header) {
		h[name] = values
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // keeps the server from guessing a type that the service did not state
	}
	s.callHeaders(h, r)
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
		s.send(w, r.Response.Status, r.Response.Body)
		return nil
	}
	s.write(w, r.Response.Status, r.Response.Body)
	return nil
}

// callHeaders sets the headers that every answer of a call has.
func (s *Server) callHeaders(h http.Header, r execute.CallResult) {
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

// finalStatus reports whether a status may end an answer. Others would be taken for interim ones, or are no HTTP status.
func finalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }
