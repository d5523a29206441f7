package daemon

import (
	"context"

	"gooseberrytide.example/gooseberrytide/internal/coordination/execute"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
)

// recordingExecutor adds timeline events for the start and the outcome of each request.
type recordingExecutor struct {
	*execute.Executor
	events *timeline.Ring
}

// Call implements callerhttp.Executor.
func (e recordingExecutor) Call(ctx context.Context, r execute.CallRequest) execute.CallResult {
	e.recordStart(r.Ref, r.Team, r.Method+" "+string(ident.ServicePool(r.Service)))
	result := e.Executor.Call(ctx, r)
	e.recordOutcome(result.RequestID, r.Team, result.Outcome, result.Reason)
	return result
}

// Complete implements callerhttp.Executor.
func (e recordingExecutor) Complete(
	ctx context.Context, r execute.CompletionRequest, emit func(execute.Chunk) error,
) execute.CompletionResult {
	e.recordStart(r.Ref, r.Team, string(ident.ModelPool(r.Model)))
	result := e.Executor.Complete(ctx, r, emit)
	e.recordOutcome(result.RequestID, r.Team, result.Outcome, result.Reason)
	return result
}

func (e recordingExecutor) recordStart(ref ident.RequestRef, team ident.TeamID, detail string) {
	e.events.Add(timeline.Event{
		Kind:    timeline.KindRequest,
		Request: ref.String(),
		Team:    team,
		Detail:  detail,
	})
}

func (e recordingExecutor) recordOutcome(
	request string, team ident.TeamID, outcome execute.Outcome, reason execute.Reason,
) {
	detail := string(outcome)
	if reason != "" {
		detail += ": " + string(reason)
	}
	e.events.Add(timeline.Event{
		Kind:    timeline.KindOutcome,
		Request: request,
		Team:    team,
		Detail:  detail,
	})
}
