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
	// maxResumes is the maximum number of times that the stream of a completion is resumed.
	maxResumes = 3
	// defaultOutputTokenCost is the cost of a generated token if the model configures none, in cost units.
	defaultOutputTokenCost ident.Cost = 2
)

// errEmit reports that a chunk could not be passed to the caller.
var errEmit = errors.New("execute: cannot pass a chunk to the caller")

// Complete runs a completion and passes its chunks to emit in order, without gaps or duplicates. It stops when emit
// returns an error. If emit accepts the chunk with Done set, the outcome is Completed.
func (e *Executor) Complete(ctx context.Context, r CompletionRequest, emit func(Chunk) error) CompletionResult {
	if r.Ref == (ident.RequestRef{}) {
		r.Ref = e.admitter.NewRequest()
	}
	model, f := e.model(&r)
	if f != nil {
		return f.completionResult(r)
	}
	deadline := earlierDeadline(r.Deadline, secondsOr(model.TimeoutSeconds, defaultModelTimeout))
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	c := &completion{
		executor:        e,
		request:         r,
		emit:            emit,
		inputTokenCost:  model.InputTokenCost,
		outputTokenCost: model.OutputTokenCost,
	}
	if c.outputTokenCost <= 0 {
		c.outputTokenCost = defaultOutputTokenCost
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

// model returns the configuration of the request's model, or a failure if the request cannot be accepted. It sets an
// empty version to the model's default version.
func (e *Executor) model(r *CompletionRequest) (*object.Model, *failure) {
	set, notServing := e.configuration()
	if notServing != nil {
		return nil, notServing
	}
	model, ok := set.Models[r.Model]
	if !ok {
		return nil, &failure{outcome: NotRun, reason: ReasonUnknownModel}
	}
	if r.Version == "" {
		r.Version = model.DefaultVersion
		return model, nil
	}
	if v, ok := set.Versions[r.Version]; !ok || v.Model != r.Model {
		return nil, &failure{outcome: NotRun, reason: ReasonUnknownVersion}
	}
	return model, nil
}

// completion is the state of a running completion.
type completion struct {
	executor *Executor
	attempts *attempts
	request  CompletionRequest
	emit     func(Chunk) error
	// inputTokenCost and outputTokenCost are the costs of a prompt token and of a generated token, in cost units.
	inputTokenCost, outputTokenCost ident.Cost
	// next is the index of the next token to pass to the caller.
	next    int
	emitted strings.Builder
	resumes int
}

// cost returns the cost of the given numbers of prompt and output tokens, in cost units.
func (c *completion) cost(prompt, output int) ident.Cost {
	return ident.Cost(prompt)*c.inputTokenCost + ident.Cost(output)*c.outputTokenCost
}

// run makes attempts until one reaches the end of the stream or no further attempt is allowed.
func (c *completion) run(ctx context.Context) CompletionResult {
	for {
		g, err := c.attempts.admit(ctx)
		if err != nil {
			return admissionFailure(ctx, err, c.outcome()).completionResult(c.request)
		}
		start := c.next
		last, err := c.runAttempt(ctx, g)
		if err == nil {
			return c.completedResult(last)
		}
		if errors.Is(err, errEmit) || !c.awaitNextAttempt(ctx, g, start, err) {
			return c.failedResult(ctx, err)
		}
	}
}

// awaitNextAttempt reports whether another attempt may follow a failed one, after waiting for the backoff delay.
// start is where the failed attempt began.
func (c *completion) awaitNextAttempt(ctx context.Context, g *grant, start int, err error) bool {
	c.attempts.exclude(g.server())
	if provablyNotRun(err) {
		return c.attempts.awaitRetry(ctx)
	}
	mayGoOn := c.attempts.recordRun(c.next > start)
	if !mayGoOn || c.resumes >= maxResumes || ctx.Err() != nil {
		return false
	}
	c.resumes++
	return sleep(ctx, c.executor.retry.Backoff(c.resumes+1))
}

// outcome returns the outcome of a completion that did not reach the end of its stream: Failed if the request may have
// run, otherwise NotRun.
func (c *completion) outcome() Outcome {
	if c.attempts.mayHaveRun {
		return Failed
	}
	return NotRun
}

// runAttempt runs one stream on the granted backend server and settles the attempt. It returns the last chunk.
func (c *completion) runAttempt(ctx context.Context, g *grant) (Chunk, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := c.next
	defer func() { g.settle(message.SettleFailed, c.cost(c.request.PromptTokens, c.next-start)) }()
	stream, err := c.executor.backends.Stream(ctx, g.server(), c.engineRequest())
	if err != nil {
		c.settleUnstarted(ctx, g, err)
		return Chunk{}, err
	}
	// The result of the stream is known before Close, so the error of Close is irrelevant.
	defer func() { _ = stream.Close() }()
	last, err := c.forward(ctx, g, stream, start)
	if err == nil {
		g.settle(message.SettleOK, c.cost(last.PromptTokens, c.next-start))
	}
	return last, err
}

// settleUnstarted settles an attempt whose stream did not start.
func (c *completion) settleUnstarted(ctx context.Context, g *grant, err error) {
	result := settleResultOfError(ctx, err)
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

// forward passes the stream's chunks to the caller and returns the last one. After each other chunk it reports the cost
// so far as progress.
func (c *completion) forward(ctx context.Context, g *grant, stream Stream, start int) (Chunk, error) {
	for {
		chunk, err := stream.Next()
		if err != nil {
			return Chunk{}, err
		}
		if err := c.validate(g, chunk); err != nil {
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
		g.attempt.Progress(c.cost(c.request.PromptTokens, c.next-start))
	}
}

// validate returns a *SendError if the chunk repeats or skips tokens, has inconsistent token counts or exceeds
// MaxTokens. Such a chunk is not passed to the caller.
func (c *completion) validate(g *grant, chunk Chunk) error {
	var cause error
	switch {
	case chunk.Index != c.next:
		cause = fmt.Errorf("got token index %d, expected %d", chunk.Index, c.next)
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

// completedResult returns the result of a completion that reached the end of its stream.
func (c *completion) completedResult(last Chunk) CompletionResult {
	return CompletionResult{
		RequestID:    c.request.Ref.String(),
		Outcome:      Completed,
		FinishReason: last.FinishReason,
		PromptTokens: last.PromptTokens,
	}
}

// failedResult returns the result of a completion whose last attempt failed.
func (c *completion) failedResult(ctx context.Context, err error) CompletionResult {
	if !provablyNotRun(err) {
		c.attempts.mayHaveRun = true
	}
	f := sendFailure(ctx, err, c.outcome())
	if errors.Is(err, errEmit) {
		f.reason = ReasonCancelled
	}
	return f.completionResult(c.request)
}

// completionResult converts the failure to the result of a completion.
func (f failure) completionResult(r CompletionRequest) CompletionResult {
	return CompletionResult{
		RequestID:  r.Ref.String(),
		Outcome:    f.outcome,
		Reason:     f.reason,
		RetryAfter: f.retryAfter,
		Err:        f.err,
	}
}
