package engine

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	protocol "gooseberrytide.example/gooseberrytide/internal/protocol/engine"
)

const (
	maxRequestBytes = 8 << 20
	maxTokensLimit  = 1 << 20
)

var (
	errCancelled = errors.New("cancelled")
	errDropped   = errors.New("stream dropped by an injected fault")
)

// run is one execution of a request. Token indexes count from the start of the completion.
type run struct {
	id           string
	req          protocol.CompletionRequest
	w            http.ResponseWriter
	flush        func()
	ctx          context.Context
	cancel       context.CancelCauseFunc
	entry        *Execution
	cachedTokens int
	nextToken    int
	endToken     int
}

// serveCompletion serves POST /v1/completions.
func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var req protocol.CompletionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if status, reason := e.validate(req); status != 0 {
		e.refuse(w, status, reason)
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	run := &run{
		id: r.Header.Get(protocol.HeaderRequestID), req: req, w: w, ctx: ctx, cancel: cancel, nextToken: req.ResumeAt,
	}
	run.endToken = CompletionLength(e.opts.Seed, req.Prompt, req.MaxTokens, e.opts.NaturalStop)
	run.flush = flusher(w)
	e.startExecution(run)
	err := e.execute(run)
	e.finishExecution(run, err)
	if errors.Is(err, errDropped) {
		panic(http.ErrAbortHandler)
	}
}

// validate returns the HTTP status and the reason for refusing a request, or 0 if the request can run.
func (e *Engine) validate(req protocol.CompletionRequest) (int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if consumeFault(&e.faults.Refuse) {
		return http.StatusServiceUnavailable, "refused by an injected fault"
	}
	if e.state.Loading != nil && e.state.Loading.Kind == protocol.OrderLoadModel {
		return http.StatusServiceUnavailable, "loading"
	}
	if !e.opts.AnyModel && (req.Model != e.state.Model || (req.Version != "" && req.Version != e.state.Version)) {
		return http.StatusServiceUnavailable, "model or version not loaded"
	}
	if req.MaxTokens < 1 || req.MaxTokens > maxTokensLimit || req.ResumeAt < 0 || req.ResumeAt > req.MaxTokens ||
		!req.Stream {
		return http.StatusBadRequest, "max_tokens or resume_at is out of range, or stream is not set"
	}
	if req.Emitted != Text(e.opts.Seed, req.Prompt, 0, req.ResumeAt) {
		return http.StatusUnprocessableEntity, "emitted text does not match the tokens before resume_at"
	}
	return 0, ""
}

func (e *Engine) refuse(w http.ResponseWriter, status int, reason string) {
	e.mu.Lock()
	e.totals.refused++
	e.mu.Unlock()
	if status == http.StatusServiceUnavailable {
		w.Header().Set(protocol.HeaderNotRun, protocol.NotRunTrue)
	}
	http.Error(w, reason, status)
}

// execute waits for a slot, then streams the completion.
func (e *Engine) execute(r *run) error {
	r.w.Header().Set("Content-Type", protocol.ContentTypeEventStream)
	r.w.WriteHeader(http.StatusOK)
	r.flush()
	if err := e.acquire(r.ctx, r.keepAlive); err != nil {
		return r.endCancelled(err)
	}
	defer e.release()
	p := &pacer{next: time.Now()}
	if err := e.prefill(r, p); err != nil {
		return r.endCancelled(err)
	}
	for r.nextToken < r.endToken {
		if err := e.decode(r, p); err != nil {
			return r.endCancelled(err)
		}
	}
	if r.nextToken == r.endToken && r.req.ResumeAt == r.endToken {
		return r.sendFinalEvent(finishReason(r))
	}
	return nil
}

// prefill simulates the prefill of the tokens that are not cached, and adds the prompt to the cache.
func (e *Engine) prefill(r *run, p *pacer) error {
	hashes := protocol.PrefixHashes(r.req.Prompt)
	total := PromptTokens(r.req.Prompt) + r.req.ResumeAt
	e.mu.Lock()
	r.cachedTokens = e.cache.cachedBytes(hashes) / bytesPerToken
	e.totals.cachedTokens += int64(r.cachedTokens)
	e.totals.prefillTokens += int64(total - r.cachedTokens)
	e.mu.Unlock()
	if err := p.wait(r.ctx, tokenDuration(float64(total-r.cachedTokens), e.opts.PrefillRate)); err != nil {
		return err
	}
	e.mu.Lock()
	added, removed := e.cache.add(hashes)
	e.publishCacheChangeLocked(added, removed)
	e.mu.Unlock()
	return nil
}

// decode generates and sends the tokens of one event.
func (e *Engine) decode(r *run, p *pacer) error {
	n := min(e.opts.TokensPerEvent, r.endToken-r.nextToken)
	if err := p.wait(r.ctx, tokenDuration(float64(n), e.opts.DecodeRate)); err != nil {
		return err
	}
	if err := e.waitThaw(r.ctx); err != nil {
		return err
	}
	if e.shouldDrop(r.nextToken-r.req.ResumeAt, n) {
		return errDropped
	}
	from := r.nextToken
	r.nextToken += n
	e.mu.Lock()
	e.totals.decodedTokens += int64(n)
	r.entry.Tokens += n
	e.mu.Unlock()
	choice := protocol.Choice{Text: Text(e.opts.Seed, r.req.Prompt, from, r.nextToken), TokenIndex: from, Tokens: n}
	if r.nextToken == r.endToken {
		return r.send(choice, finishReason(r))
	}
	return r.send(choice, "")
}

func finishReason(r *run) string {
	if r.endToken < r.req.MaxTokens {
		return protocol.FinishStop
	}
	return protocol.FinishLength
}

func (r *run) keepAlive() error {
	err := protocol.WriteKeepAlive(r.w)
	r.flush()
	return err
}

// sendFinalEvent ends the stream with an event without tokens.
func (r *run) sendFinalEvent(reason string) error {
	return r.send(protocol.Choice{TokenIndex: r.nextToken}, reason)
}

// send writes an event. With a finish reason, it also writes the usage and ends the stream.
func (r *run) send(c protocol.Choice, reason string) error {
	c.FinishReason = reason
	ev := protocol.StreamEvent{ID: r.id, Choices: []protocol.Choice{c}}
	if reason != "" {
		ev.Usage = &protocol.Usage{
			PromptTokens:     PromptTokens(r.req.Prompt),
			CompletionTokens: r.nextToken,
			CachedTokens:     r.cachedTokens,
		}
	}
	if err := protocol.WriteEvent(r.w, ev); err != nil {
		return err
	}
	if reason != "" {
		if err := protocol.WriteDone(r.w); err != nil {
			return err
		}
	}
	r.flush()
	return nil
}

// endCancelled ends the stream with the finish reason "cancelled" if the request was cancelled. It returns the error
// to record: errCancelled, or err for a stream that ended otherwise.
func (r *run) endCancelled(err error) error {
	if errors.Is(context.Cause(r.ctx), errCancelled) {
		_ = r.sendFinalEvent(protocol.FinishCancelled)
		return errCancelled
	}
	return err
}

func flusher(w http.ResponseWriter) func() {
	c := http.NewResponseController(w)
	return func() { _ = c.Flush() }
}
