package callerhttp

import (
	"context"
	"time"

	"github.com/go-kit/kit/endpoint"

	"gooseberrytide.example/gooseberrytide/internal/coordination/execute"
	"gooseberrytide.example/gooseberrytide/internal/protocol/caller"
)

// callEndpoint returns the endpoint that runs calls to plain services.
func (s *Server) callEndpoint() endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := request.(*caller.ServiceCall)
		state := stateFromContext(ctx)
		result := s.opts.Executor.Call(ctx, execute.CallRequest{
			Ref:     state.ref,
			Team:    state.team,
			Service: c.Service,
			Method:  c.Method,
			Path:    c.Path,
			Header:  c.Header,
			Body:    c.Body,
			Key:     c.Key,
		})
		s.metrics.recordOutcome(result.Outcome, time.Since(state.started))
		return result, nil
	}
}

// pendingCompletion is a completion that starts when its response is encoded, because a stream sends each chunk as soon
// as it is available.
type pendingCompletion struct {
	request *caller.Completion
	start   func(emit func(execute.Chunk) error) execute.CompletionResult
}

// completionEndpoint returns the endpoint that prepares completions. The response encoder starts them.
func (s *Server) completionEndpoint() endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := request.(*caller.Completion)
		return &pendingCompletion{request: c, start: func(emit func(execute.Chunk) error) execute.CompletionResult {
			return s.runCompletion(ctx, c, emit)
		}}, nil
	}
}

func (s *Server) runCompletion(
	ctx context.Context, c *caller.Completion, emit func(execute.Chunk) error,
) execute.CompletionResult {
	state := stateFromContext(ctx)
	hint := c.Hint()
	result := s.opts.Executor.Complete(ctx, execute.CompletionRequest{
		Ref:          state.ref,
		Team:         state.team,
		Model:        c.Model,
		Version:      c.Version,
		Prompt:       c.Prompt,
		MaxTokens:    c.MaxTokens,
		PromptTokens: hint.Prompt,
		OutputTokens: hint.Output,
		Prefix:       c.Prefix,
	}, emit)
	s.metrics.recordOutcome(result.Outcome, time.Since(state.started))
	return result
}

// addressEndpoint returns the endpoint that serves queries for entry addresses.
func (s *Server) addressEndpoint() endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		return s.opts.Addresses.Addresses(ctx, *request.(*caller.AddressQuery))
	}
}
