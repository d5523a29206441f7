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
	errDropped   = errors.New("dropped by a fault")
)

// run is one execution of a request.
type run struct {
	id     string
	req    protocol.CompletionRequest
	w      http.ResponseWriter
	flush  func()
	ctx    context.Context
	cancel context.CancelCauseFunc
	log    *Execution
	cached int
	next   int
	end    int
}

// complete serves POST /v1/completions.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var req protocol.CompletionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if status, reason := e.check(req); status != 0 {
		e.refuse(w, status, reason)
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	run := &run{id: r.Header.Get(protocol.HeaderRequestID), req: req, w: w, ctx: ctx, cancel: cancel, next: req.ResumeAt}
	run.end = Length(e.opts.Seed, req.Prompt, req.MaxTokens, e.opts.NaturalStop)
	run.flush = flusher(w)
	e.begin(run)
	err := e.execute(run)
	e.finish(run, err)
	if errors.Is(err, errDropped) {
		panic(http.ErrAbortHandler)
	}
}

// check returns the status of a request that is not run, or 0.
func (e *Engine) check(req protocol.CompletionRequest) (int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if take(&e.faults.Refuse) {
		return http.StatusServiceUnavailable, "refused by a fault"
	}
	if e.state.Loading != nil && e.state.Loading.Kind == protocol.OrderLoadModel {
		return http.StatusServiceUnavailable, "loading"
	}
	if !e.opts.AnyModel && (req.Model != e.state.Model || (req.Version != "" && req.Version != e.state.Version)) {
		return http.StatusServiceUnavailable, "model or version not loaded"
	}
	if req.MaxTokens < 1 || req.MaxTokens > maxTokensLimit || req.ResumeAt < 0 || req.ResumeAt > req.MaxTokens || !req.Stream {
		return http.StatusBadRequest, "bad request"
	}
	if req.Emitted != Text(e.opts.Seed, req.Prompt, 0, req.ResumeAt) {
		return http.StatusUnprocessableEntity, "emitted text does not match"
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

func (e *Engine) execute(r *run) error {
	r.w.Header().Set("Content-Type", protocol.ContentTypeEventStream)
	r.w.WriteHeader(http.StatusOK)
	r.flush()
	if err := e.acquire(r.ctx, r.keepAlive); err != nil {
		return r.ended(err)
	}
	defer e.release()
	p := &pace{next: time.Now()}
	if err := e.prefill(r, p); err != nil {
		return r.ended(err)
	}
	for r.next < r.end {
		if err := e.decode(r, p); err != nil {
			return r.ended(err)
		}
	}
	if r.next == r.end && r.req.ResumeAt == r.end {
		return r.last(finishReason(r))
	}
	return nil
}

// prefill takes time for the prompt tokens that are not cached, and fills the cache.
func (e *Engine) prefill(r *run, p *pace) error {
	hashes := protocol.PrefixHashes(r.req.Prompt)
	total := PromptTokens(r.req.Prompt) + r.req.ResumeAt
	e.mu.Lock()
	r.cached = e.cache.cachedBytes(hashes) / bytesPerToken
	e.totals.cachedTokens += int64(r.cached)
	e.totals.prefillTokens += int64(total - r.cached)
	e.mu.Unlock()
	if err := p.wait(r.ctx, seconds(float64(total-r.cached), e.opts.PrefillRate)); err != nil {
		return err
	}
	e.mu.Lock()
	added, removed := e.cache.add(hashes)
	e.publishLocked(added, removed)
	e.mu.Unlock()
	return nil
}

// decode generates and sends the tokens of one event.
func (e *Engine) decode(r *run, p *pace) error {
	n := min(e.opts.TokensPerEvent, r.end-r.next)
	if err := p.wait(r.ctx, seconds(float64(n), e.opts.DecodeRate)); err != nil {
		return err
	}
	if err := e.waitThaw(r.ctx); err != nil {
		return err
	}
	if e.drops(r.next-r.req.ResumeAt, n) {
		return errDropped
	}
	from := r.next
	r.next += n
	e.mu.Lock()
	e.totals.decodedTokens += int64(n)
	r.log.Tokens += n
	e.mu.Unlock()
	choice := protocol.Choice{Text: Text(e.opts.Seed, r.req.Prompt, from, r.next), TokenIndex: from, Tokens: n}
	if r.next == r.end {
		return r.send(choice, finishReason(r))
	}
	return r.send(choice, "")
}

func finishReason(r *run) string {
	if r.end < r.req.MaxTokens {
		return protocol.FinishStop
	}
	return protocol.FinishLength
}

func (r *run) keepAlive() error {
	err := protocol.WriteKeepAlive(r.w)
	r.flush()
	return err
}

// last ends the stream without further tokens.
func (r *run) last(reason string) error {
	return r.send(protocol.Choice{TokenIndex: r.next}, reason)
}

// send writes tokens; a reason makes it the last event.
func (r *run) send(c protocol.Choice, reason string) error {
	c.FinishReason = reason
	ev := protocol.StreamEvent{ID: r.id, Choices: []protocol.Choice{c}}
	if reason != "" {
		ev.Usage = &protocol.Usage{
			PromptTokens:     PromptTokens(r.req.Prompt),
			CompletionTokens: r.next,
			CachedTokens:     r.cached,
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

// ended tells the reader of a cancelled stream that it is over.
func (r *run) ended(err error) error {
	if errors.Is(context.Cause(r.ctx), errCancelled) {
		_ = r.last(protocol.FinishCancelled)
		return errCancelled
	}
	return err
}

func flusher(w http.ResponseWriter) func() {
	c := http.NewResponseController(w)
	return func() { _ = c.Flush() }
}
