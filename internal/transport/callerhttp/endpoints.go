package callerhttp

import (
	"context"
	"time"

	"github.com/go-kit/kit/endpoint"

	"gooseberrytide.example/gooseberrytide/internal/coordination/execute"
	"gooseberrytide.example/gooseberrytide/internal/protocol/caller"
)

// callEndpoint runs calls of plain services.
func (s *Server) callEndpoint() endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := request.(*caller.ServiceCall)
		state := stateOf(ctx)
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
		s.metrics.ended(result.Outcome, time.Since(state.started))
		return result, nil
	}
}

// run is a completion that starts when its answer is encoded, because chunks go out as they come.
type run struct {
	request *caller.Completion
	start   func(emit func(execute.Chunk) error) execute.CompletionResult
}

// completionEndpoint prepares completions.
func (s *Server) completionEndpoint() endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := request.(*caller.Completion)
		return &run{request: c, start: func(emit func(execute.Chunk) error) execute.CompletionResult {
			return s.complete(ctx, c, emit)
		}}, nil
	}
}

func (s *Server) complete(ctx context.Context, c *caller.Completion, emit func(execute.Chunk) error) execute.CompletionResult {
	state := stateOf(ctx)
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
	s.metrics.ended(result.Outcome, time.Since(state.started))
	return result
}

// addressEndpoint answers queries for entry addresses.
func (s *Server) addressEndpoint() endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		return s.opts.Addresses.Addresses(ctx, *request.(*caller.AddressQuery))
	}
}
