package callerhttp

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/execute"
	"gooseberrytide.example/gooseberrytide/internal/protocol/caller"
)

// errTooLarge ends a completion whose text exceeds the limit of answers.
var errTooLarge = errors.New("callerhttp: answer too large")

// encodeCompletion runs a completion and writes its answer.
func (s *Server) encodeCompletion(ctx context.Context, w http.ResponseWriter, response any) error {
	r := response.(*run)
	form := caller.NewCompletionEncoder(r.request, requestID(ctx), time.Now().Unix())
	if r.request.Stream {
		return s.encodeStream(ctx, w, r, form)
	}
	return s.encodeWhole(ctx, w, r, form)
}

// encodeWhole collects the chunks and answers at the end.
func (s *Server) encodeWhole(ctx context.Context, w http.ResponseWriter, r *run, form *caller.CompletionEncoder) error {
	var text strings.Builder
	result := r.start(func(c execute.Chunk) error {
		if text.Len()+len(c.Text) > caller.MaxResponseBytes {
			return errTooLarge
		}
		s.observeFirst(ctx, c)
		text.WriteString(c.Text)
		return nil
	})
	if result.Outcome != execute.Completed {
		s.writeCompletionError(ctx, w, result)
		return nil
	}
	body, err := form.EncodeResponse(text.String(), result)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", caller.ContentTypeJSON)
	w.Header().Set(caller.HeaderOutcome, string(result.Outcome))
	s.write(w, http.StatusOK, body)
	return nil
}

func (s *Server) writeCompletionError(ctx context.Context, w http.ResponseWriter, r execute.CompletionResult) {
	s.writeError(ctx, w, caller.NewError(r.Outcome, reasonOf(r)), r.Outcome, r.RetryAfter)
}

// reasonOf corrects the reason of a completion that was ended because of its size.
func reasonOf(r execute.CompletionResult) execute.Reason {
	if errors.Is(r.Err, errTooLarge) {
		return execute.ReasonInvalidAnswer
	}
	return r.Reason
}

// encodeStream passes the chunks on as server-sent events. A completion that ends before its first chunk is answered
// with a status and an error body.
func (s *Server) encodeStream(ctx context.Context, w http.ResponseWriter, r *run, form *caller.CompletionEncoder) error {
	out := &eventWriter{w: w, control: http.NewResponseController(w)}
	result := r.start(func(c execute.Chunk) error {
		event, err := form.EncodeChunk(c)
		if err != nil {
			return err
		}
		if out.written+len(event) > caller.MaxResponseBytes {
			return errTooLarge
		}
		s.observeFirst(ctx, c)
		return out.write(event)
	})
	if !out.begun {
		s.writeCompletionError(ctx, w, result)
		return nil
	}
	result.Reason = reasonOf(result)
	last, err := form.EncodeEnd(result)
	if err != nil {
		return err
	}
	// A caller who has left gets no last event; the completion is over in any case.
	_ = out.write(last)
	w.Header().Set(caller.HeaderOutcome, string(result.Outcome))
	return nil
}

func (s *Server) observeFirst(ctx context.Context, c execute.Chunk) {
	if c.Index == 0 {
		s.metrics.firstToken.Observe(float64(time.Since(stateOf(ctx).started).Milliseconds()))
	}
}

// eventWriter writes events and flushes each of them.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	begun   bool
	written int
}

func (e *eventWriter) write(event []byte) error {
	if !e.begun {
		e.begin()
	}
	_ = e.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := e.w.Write(event); err != nil {
		return err
	}
	e.written += len(event)
	return e.control.Flush()
}

func (e *eventWriter) begin() {
	e.begun = true
	h := e.w.Header()
	h.Set("Content-Type", caller.ContentTypeEvents)
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", caller.HeaderOutcome)
	e.w.WriteHeader(http.StatusOK)
}
