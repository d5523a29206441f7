package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/coordination/execute"
	"gooseberrytide.example/gooseberrytide/internal/protocol/engine"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// Limits for reading the rest of the body after a complete stream, so that its connection can be reused. Opening a new
// connection costs less than a longer wait.
const (
	maxDrainBytes = 4 << 10
	maxDrainTime  = 50 * time.Millisecond
)

// stream is a running completion.
type stream struct {
	client    *Client
	server    *object.BackendServer
	requestID string
	ctx       context.Context
	cancel    context.CancelCauseFunc
	idle      *idleTimer
	body      io.ReadCloser
	decoder   *engine.StreamDecoder
	// ended reports that the stream is complete or has failed, so that there is nothing to cancel.
	ended bool
	// complete reports that the last event and the [DONE] marker were read.
	complete bool
	closed   bool
}

// Stream implements execute.Backends. The context bounds the whole stream.
func (c *Client) Stream(
	ctx context.Context, server *object.BackendServer, completion execute.Completion,
) (execute.Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &stream{client: c, server: server, requestID: completion.RequestID, ctx: ctx, cancel: cancel}
	s.idle = newIdleTimer(c.opts.IdleTimeout, func() { cancel(errIdle) })
	if err := s.open(completion); err != nil {
		s.idle.stop()
		cancel(nil)
		return nil, err
	}
	return s, nil
}

func (s *stream) open(completion execute.Completion) error {
	req, err := newStreamRequest(s.ctx, s.server, completion)
	if err != nil {
		return sendError(s.server, execute.SendNotSent, 0, err)
	}
	s.idle.start()
	resp, tracker, err := s.client.roundTrip(s.client.pooled, req)
	s.idle.stop()
	if err != nil {
		return roundTripError(s.ctx, s.server, tracker, err)
	}
	if err := checkStreamResponse(s.server, resp); err != nil {
		_ = resp.Body.Close()
		return err
	}
	s.body = resp.Body
	s.decoder = engine.NewStreamDecoder(&idleReader{src: resp.Body, idle: s.idle}, engine.StreamOptions{
		RequestID:      completion.RequestID,
		ResumeAt:       completion.ResumeAt,
		MaxEventBytes:  s.client.opts.MaxEventBytes,
		MaxStreamBytes: s.client.opts.MaxStreamBytes,
	})
	return nil
}

func newStreamRequest(
	ctx context.Context, server *object.BackendServer, completion execute.Completion,
) (*http.Request, error) {
	body, err := json.Marshal(engine.CompletionRequest{
		Model:     completion.Model,
		Version:   completion.Version,
		Prompt:    completion.Prompt,
		MaxTokens: completion.MaxTokens,
		Stream:    true,
		ResumeAt:  completion.ResumeAt,
		Emitted:   completion.Emitted,
	})
	if err != nil {
		return nil, err
	}
	req, err := newRequest(ctx, http.MethodPost, server, engine.PathCompletions, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", engine.ContentTypeJSON)
	req.Header.Set(engine.HeaderRequestID, completion.RequestID)
	return req, nil
}

// checkStreamResponse returns an error unless the response is an event stream with status 200.
func checkStreamResponse(server *object.BackendServer, resp *http.Response) error {
	switch {
	case isRefusal(resp):
		return sendError(server, execute.SendRefused, resp.StatusCode, errRefused)
	case resp.StatusCode >= http.StatusInternalServerError:
		return sendError(server, execute.SendBroken, resp.StatusCode, errStatus)
	case resp.StatusCode != http.StatusOK:
		return sendError(server, execute.SendInvalid, resp.StatusCode, errStatus)
	case resp.Header.Get("Content-Type") != engine.ContentTypeEventStream:
		return sendError(server, execute.SendInvalid, resp.StatusCode, errors.New("not an event stream"))
	}
	return nil
}

// Next implements execute.Stream.
func (s *stream) Next() (execute.Chunk, error) {
	s.idle.start()
	ev, err := s.decoder.Next()
	s.idle.stop()
	if err != nil {
		s.ended = true
		return execute.Chunk{}, streamError(s.ctx, s.server, err)
	}
	chunk := execute.Chunk{Index: ev.Index, Tokens: ev.Tokens, Text: ev.Text}
	if ev.FinishReason == "" {
		return chunk, nil
	}
	s.ended = true
	chunk.Done = true
	chunk.FinishReason = ev.FinishReason
	chunk.PromptTokens = ev.Usage.PromptTokens
	s.complete = true
	return chunk, nil
}

// Close implements execute.Stream. It cancels a running stream at the engine. A failed stream is not cancelled: the
// same request id may run again on the same engine, and a late cancellation would stop that attempt.
func (s *stream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	if s.complete {
		s.drain()
	}
	running := !s.ended
	s.cancel(context.Canceled)
	err := s.body.Close()
	if running {
		err = s.client.cancelRequest(s.server, s.requestID)
	}
	return err
}

// drain reads the rest of the body so that the connection can be reused.
func (s *stream) drain() {
	timer := newIdleTimer(maxDrainTime, func() { s.cancel(errIdle) })
	timer.start()
	_, _ = io.Copy(io.Discard, io.LimitReader(s.body, maxDrainBytes))
	timer.stop()
}

// cancelRequest asks the engine to cancel a request.
func (c *Client) cancelRequest(server *object.BackendServer, id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.opts.ControlTimeout)
	defer cancel()
	req, err := newRequest(ctx, http.MethodDelete, server, engine.PathRequests+url.PathEscape(id), nil)
	if err != nil {
		return err
	}
	resp, _, err := c.roundTrip(c.pooled, req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// idleTimer calls a function when the timeout expires after start and before stop.
type idleTimer struct {
	timer   *time.Timer
	timeout time.Duration
}

func newIdleTimer(timeout time.Duration, onExpiry func()) *idleTimer {
	t := &idleTimer{timer: time.AfterFunc(timeout, onExpiry), timeout: timeout}
	t.stop()
	return t
}

func (t *idleTimer) start() { t.timer.Reset(t.timeout) }

func (t *idleTimer) stop() { t.timer.Stop() }

// idleReader restarts the timer after each read that returns data.
type idleReader struct {
	src  io.Reader
	idle *idleTimer
}

// Read implements io.Reader.
func (r *idleReader) Read(p []byte) (int, error) {
	n, err := r.src.Read(p)
	if n > 0 {
		r.idle.start()
	}
	return n, err
}
