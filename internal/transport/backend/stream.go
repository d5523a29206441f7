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

// Bounds of what is read after a whole stream so that its connection can be used again. A new connection costs less
// than a longer wait.
const (
	drainBytes   = 4 << 10
	drainTimeout = 50 * time.Millisecond
)

// stream is a running completion.
type stream struct {
	client  *Client
	server  *object.BackendServer
	id      string
	ctx     context.Context
	cancel  context.CancelCauseFunc
	idle    *idleTimer
	body    io.ReadCloser
	decoder *engine.StreamDecoder
	// over says that the stream was whole or broke, so that there is nothing to cancel.
	over bool
	// whole says that the end mark was read.
	whole  bool
	closed bool
}

// Stream implements execute.Backends. The context bounds the whole stream.
func (c *Client) Stream(ctx context.Context, server *object.BackendServer, co execute.Completion) (execute.Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &stream{client: c, server: server, id: co.RequestID, ctx: ctx, cancel: cancel}
	s.idle = newIdleTimer(c.opts.IdleTimeout, func() { cancel(errIdle) })
	if err := s.open(co); err != nil {
		s.idle.stop()
		cancel(nil)
		return nil, err
	}
	return s, nil
}

func (s *stream) open(co execute.Completion) error {
	req, err := completionRequest(s.ctx, s.server, co)
	if err != nil {
		return sendError(s.server, execute.SendNotSent, 0, err)
	}
	s.idle.start()
	resp, sent, err := s.client.roundTrip(s.client.pooled, req)
	s.idle.stop()
	if err != nil {
		return noAnswer(s.ctx, s.server, sent, err)
	}
	if err := checkStreamStatus(s.server, resp); err != nil {
		_ = resp.Body.Close()
		return err
	}
	s.body = resp.Body
	s.decoder = engine.NewStreamDecoder(&idleReader{in: resp.Body, idle: s.idle}, engine.StreamOptions{
		RequestID:      co.RequestID,
		ResumeAt:       co.ResumeAt,
		MaxEventBytes:  s.client.opts.MaxEventBytes,
		MaxStreamBytes: s.client.opts.MaxStreamBytes,
	})
	return nil
}

func completionRequest(ctx context.Context, server *object.BackendServer, co execute.Completion) (*http.Request, error) {
	body, err := json.Marshal(engine.CompletionRequest{
		Model:     co.Model,
		Version:   co.Version,
		Prompt:    co.Prompt,
		MaxTokens: co.MaxTokens,
		Stream:    true,
		ResumeAt:  co.ResumeAt,
		Emitted:   co.Emitted,
	})
	if err != nil {
		return nil, err
	}
	req, err := newRequest(ctx, http.MethodPost, server, engine.PathCompletions, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", engine.ContentTypeJSON)
	req.Header.Set(engine.HeaderRequestID, co.RequestID)
	return req, nil
}

// checkStreamStatus accepts only an event stream.
func checkStreamStatus(server *object.BackendServer, resp *http.Response) error {
	switch {
	case refused(resp):
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
		s.over = true
		return execute.Chunk{}, streamError(s.ctx, s.server, err)
	}
	chunk := execute.Chunk{Index: ev.Index, Tokens: ev.Tokens, Text: ev.Text}
	if ev.FinishReason == "" {
		return chunk, nil
	}
	s.over = true
	chunk.Done = true
	chunk.FinishReason = ev.FinishReason
	chunk.PromptTokens = ev.Usage.PromptTokens
	s.whole = true
	return chunk, nil
}

// Close implements execute.Stream. A stream that still runs is cancelled at the engine. A broken one is not: its
// request id may run again on the same engine, and a late cancellation would hit that attempt.
func (s *stream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	if s.whole {
		s.drain()
	}
	running := !s.over
	s.cancel(context.Canceled)
	err := s.body.Close()
	if running {
		err = s.client.cancelRequest(s.server, s.id)
	}
	return err
}

// drain reads the end of the body so that the connection can be used again.
func (s *stream) drain() {
	limit := newIdleTimer(drainTimeout, func() { s.cancel(errIdle) })
	limit.start()
	_, _ = io.Copy(io.Discard, io.LimitReader(s.body, drainBytes))
	limit.stop()
}

// cancelRequest asks the engine to stop a request.
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

// idleTimer calls a function when it runs out between start and stop.
type idleTimer struct {
	timer   *time.Timer
	timeout time.Duration
}

func newIdleTimer(timeout time.Duration, expired func()) *idleTimer {
	t := &idleTimer{timer: time.AfterFunc(timeout, expired), timeout: timeout}
	t.stop()
	return t
}

func (t *idleTimer) start() { t.timer.Reset(t.timeout) }

func (t *idleTimer) stop() { t.timer.Stop() }

// idleReader restarts the timer with each read that brings bytes.
type idleReader struct {
	in   io.Reader
	idle *idleTimer
}

// Read implements io.Reader.
func (r *idleReader) Read(p []byte) (int, error) {
	n, err := r.in.Read(p)
	if n > 0 {
		r.idle.start()
	}
	return n, err
}
