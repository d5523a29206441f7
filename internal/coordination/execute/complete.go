package execute

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"gooseberrytide.example/gooseberrytide/internal/coordination/dispatch"
	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

const (
	// maxResumes is how often a broken stream is resumed.
	maxResumes = 3
	// defaultOutputTokenCost is the charge of a generated token when the model states none, in cost units.
	defaultOutputTokenCost ident.Cost = 2
)

// errEmit marks a failure to pass a chunk to the caller.
var errEmit = errors.New("execute: caller does not take the answer")

// Complete runs a completion and passes its chunks to emit, in order and without gaps or repeats. It ends early when
// emit returns an error. The chunk with Done set is emitted only when the outcome is Completed.
func (e *Executor) Complete(ctx context.Context, r CompletionRequest, emit func(Chunk) error) CompletionResult {
	if r.Ref == (ident.RequestRef{}) {
		r.Ref = e.admitter.NewRequest()
	}
	model, v := e.model(&r)
	if v != nil {
		return v.completion(r)
	}
	deadline := earliest(r.Deadline, seconds(model.TimeoutSeconds, defaultModelTimeout))
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	c := &completion{executor: e, request: r, emit: emit, in: model.InputTokenCost, out: model.OutputTokenCost}
	if c.out <= 0 {
		c.out = defaultOutputTokenCost
	}
	c.attempts = e.newAttempts(dispatch.Work{
		Ref:      ident.AttemptRef{Request: r.Ref},
		Team:     r.Team,
		Pool:     ident.ModelPool(r.Model),
		Hint:     c.cost(r.PromptTokens, r.OutputTokens),
		Deadline: deadline,
		Prefix:   r.Prefix,
	})
	result := c.run(ctx)
	result.OutputTokens = c.next
	result.Resumes = c.resumes
	return result
}

// model returns the request's model and fills in the version.
func (e *Executor) model(r *CompletionRequest) (*object.Model, *verdict) {
	set, refused := e.configuration()
	if refused != nil {
		return nil, refused
	}
	model, ok := set.Models[r.Model]
	if !ok {
		return nil, &verdict{outcome: NotRun, reason: ReasonUnknownModel}
	}
	if r.Version == "" {
		r.Version = model.DefaultVersion
		return model, nil
	}
	if v, ok := set.Versions[r.Version]; !ok || v.Model != r.Model {
		return nil, &verdict{outcome: NotRun, reason: ReasonUnknownVersion}
	}
	return model, nil
}

// completion is the state of one completion.
type completion struct {
	executor *Executor
	attempts *attempts
	request  CompletionRequest
	emit     func(Chunk) error
	in, out  ident.Cost
	// next is the index of the next token that the caller gets.
	next    int
	emitted strings.Builder
	resumes int
}

func (c *completion) cost(prompt, output int) ident.Cost {
	return ident.Cost(prompt)*c.in + ident.Cost(output)*c.out
}

// run makes attempts until one reaches the end of the stream.
func (c *completion) run(ctx context.Context) CompletionResult {
	for {
		g, err := c.attempts.admit(ctx)
		if err != nil {
			return admissionVerdict(ctx, err, c.outcome()).completion(c.request)
		}
		last, err := c.attempt(ctx, g)
		if err == nil {
			return c.completed(last)
		}
		if errors.Is(err, errEmit) || !c.again(ctx, g, err) {
			return c.ended(ctx, err)
		}
	}
}

// again decides whether the completion goes on at another attempt after a failed one.
func (c *completion) again(ctx context.Context, g *grant, err error) bool {
	c.attempts.exclude(g.server())
	if neverRan(err) {
		return c.attempts.again(ctx)
	}
	c.attempts.sent = true
	if c.resumes >= maxResumes || ctx.Err() != nil {
		return false
	}
	c.resumes++
	return sleep(ctx, c.executor.retry.Backoff(c.resumes+1))
}

// outcome returns what is known after attempts that did not reach the end. A stream that was started and ended early
// has failed.
func (c *completion) outcome() Outcome {
	if c.attempts.sent {
		return Failed
	}
	return NotRun
}

// attempt runs one stream and settles its grant.
func (c *completion) attempt(ctx context.Context, g *grant) (Chunk, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	begun := c.next
	defer func() { g.settle(message.SettleFailed, c.cost(c.request.PromptTokens, c.next-begun)) }()
	stream, err := c.executor.backends.Stream(ctx, g.server(), c.engineRequest())
	if err != nil {
		c.settleUnstarted(ctx, g, err)
		return Chunk{}, err
	}
	// By the time of Close the end of the stream is known, so its error tells nothing.
	defer func() { _ = stream.Close() }()
	last, err := c.forward(ctx, g, stream, begun)
	if err == nil {
		g.settle(message.SettleOK, c.cost(last.PromptTokens, c.next-begun))
	}
	return last, err
}

// settleUnstarted ends an attempt whose stream did not start.
func (c *completion) settleUnstarted(ctx context.Context, g *grant, err error) {
	result := settleResult(ctx, err)
	if result == message.SettleFailed {
		g.settle(result, c.cost(c.request.PromptTokens, 0))
		return
	}
	g.settle(result, 0)
}

func (c *completion) engineRequest() Completion {
	return Completion{
		RequestID: c.request.Ref.String(),
		Model:     c.request.Model,
		Version:   c.request.Version,
		Prompt:    c.request.Prompt,
		MaxTokens: c.request.MaxTokens,
		ResumeAt:  c.next,
		Emitted:   c.emitted.String(),
	}
}

// forward passes the stream's chunks on until its last one.
func (c *completion) forward(ctx context.Context, g *grant, stream Stream, begun int) (Chunk, error) {
	for {
		chunk, err := stream.Next()
		if err != nil {
			return Chunk{}, err
		}
		if err := c.check(g, chunk); err != nil {
			return Chunk{}, err
		}
		if err := ctx.Err(); err != nil {
			return Chunk{}, err
		}
		if err := c.emit(chunk); err != nil {
			return Chunk{}, fmt.Errorf("%w: %w", errEmit, err)
		}
		c.next += chunk.Tokens
		c.emitted.WriteString(chunk.Text)
		if chunk.Done {
			return chunk, nil
		}
		g.attempt.Progress(c.cost(c.request.PromptTokens, c.next-begun))
	}
}

// check refuses a chunk that repeats or skips tokens, so that it never reaches the caller.
func (c *completion) check(g *grant, chunk Chunk) error {
	var cause error
	switch {
	case chunk.Index != c.next:
		cause = fmt.Errorf("token %d where %d is next", chunk.Index, c.next)
	case chunk.Tokens < 0 || chunk.PromptTokens < 0:
		cause = errors.New("negative token count")
	case chunk.Tokens == 0 && chunk.Text != "":
		cause = errors.New("text without tokens")
	case c.request.MaxTokens > 0 && c.next+chunk.Tokens > c.request.MaxTokens:
		cause = fmt.Errorf("more than %d tokens", c.request.MaxTokens)
	default:
		return nil
	}
	return &SendError{Kind: SendInvalid, Backend: g.server().Name, Cause: cause}
}

func (c *completion) completed(last Chunk) CompletionResult {
	return CompletionResult{
		RequestID:    c.request.Ref.String(),
		Outcome:      Completed,
		FinishReason: last.FinishReason,
		PromptTokens: last.PromptTokens,
	}
}

// ended returns the result of a completion whose last attempt failed.
func (c *completion) ended(ctx context.Context, err error) CompletionResult {
	if !neverRan(err) {
		c.attempts.sent = true
	}
	v := sendVerdict(ctx, err, c.outcome())
	if errors.Is(err, errEmit) {
		v.reason = ReasonCancelled
	}
	return v.completion(c.request)
}

// completion returns the verdict as a completion's result.
func (v verdict) completion(r CompletionRequest) CompletionResult {
	return CompletionResult{
		RequestID:  r.Ref.String(),
		Outcome:    v.outcome,
		Reason:     v.reason,
		RetryAfter: v.retryAfter,
		Err:        v.err,
	}
}
