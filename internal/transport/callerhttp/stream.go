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

// errTooLarge ends a completion whose response exceeds caller.MaxResponseBytes.
var errTooLarge = errors.New("callerhttp: response too large")

// encodeCompletion runs a completion and writes its response.
func (s *Server) encodeCompletion(ctx context.Context, w http.ResponseWriter, response any) error {
	r := response.(*pendingCompletion)
	encoder := caller.NewCompletionEncoder(r.request, requestID(ctx), time.Now().Unix())
	if r.request.Stream {
		return s.encodeStream(ctx, w, r, encoder)
	}
	return s.encodeNonStreaming(ctx, w, r, encoder)
}

// encodeNonStreaming collects all chunks and writes the response when the completion has ended.
func (s *Server) encodeNonStreaming(
	ctx context.Context, w http.ResponseWriter, r *pendingCompletion, encoder *caller.CompletionEncoder,
) error {
	var text strings.Builder
	result := r.start(func(c execute.Chunk) error {
		if text.Len()+len(c.Text) > caller.MaxResponseBytes {
			return errTooLarge
		}
		s.observeFirstToken(ctx, c)
		text.WriteString(c.Text)
		return nil
	})
	if result.Outcome != execute.Completed {
		s.writeCompletionError(ctx, w, result)
		return nil
	}
	body, err := encoder.EncodeResponse(text.String(), result)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", caller.ContentTypeJSON)
	w.Header().Set(caller.HeaderOutcome, string(result.Outcome))
	s.writeWithLength(w, http.StatusOK, body)
	return nil
}

func (s *Server) writeCompletionError(ctx context.Context, w http.ResponseWriter, r execute.CompletionResult) {
	s.writeError(ctx, w, caller.NewError(r.Outcome, completionReason(r)), r.Outcome, r.RetryAfter)
}

// completionReason returns the reason of a result. A completion that ended with errTooLarge gets ReasonInvalidAnswer.
func completionReason(r execute.CompletionResult) execute.Reason {
	if errors.Is(r.Err, errTooLarge) {
		return execute.ReasonInvalidAnswer
	}
	return r.Reason
}

// encodeStream writes the chunks as server-sent events. If the completion ends before its first chunk, it writes an
// error response instead.
func (s *Server) encodeStream(
	ctx context.Context, w http.ResponseWriter, r *pendingCompletion, encoder *caller.CompletionEncoder,
) error {
	out := &eventWriter{w: w, controller: http.NewResponseController(w)}
	result := r.start(func(c execute.Chunk) error {
		event, err := encoder.EncodeChunk(c)
		if err != nil {
			return err
		}
		if out.bytesWritten+len(event) > caller.MaxResponseBytes {
			return errTooLarge
		}
		s.observeFirstToken(ctx, c)
		return out.write(event)
	})
	if !out.started {
		s.writeCompletionError(ctx, w, result)
		return nil
	}
	result.Reason = completionReason(result)
	last, err := encoder.EncodeEnd(result)
	if err != nil {
		return err
	}
	// The error of a disconnected caller is ignored, because the completion has ended in any case.
	_ = out.write(last)
	w.Header().Set(caller.HeaderOutcome, string(result.Outcome))
	return nil
}

func (s *Server) observeFirstToken(ctx context.Context, c execute.Chunk) {
	if c.Index == 0 {
		s.metrics.firstToken.Observe(float64(time.Since(stateFromContext(ctx).started).Milliseconds()))
	}
}

// eventWriter writes server-sent events and flushes after each one.
type eventWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	// started reports that the response header was written.
	started bool
	// bytesWritten is the total size of the events written.
	bytesWritten int
}

func (e *eventWriter) write(event []byte) error {
	if !e.started {
		e.start()
	}
	_ = e.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := e.w.Write(event); err != nil {
		return err
	}
	e.bytesWritten += len(event)
	return e.controller.Flush()
}

func (e *eventWriter) start() {
	e.started = true
	h := e.w.Header()
	h.Set("Content-Type", caller.ContentTypeEvents)
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", caller.HeaderOutcome)
	e.w.WriteHeader(http.StatusOK)
}
