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
func (o recordingExecutor) Call(ctx context.Context, r execute.CallRequest) execute.CallResult {
	o.recordStart(r.Ref, r.Team, r.Method+" "+string(ident.ServicePool(r.Service)))
	result := o.Executor.Call(ctx, r)
	o.recordOutcome(result.RequestID, r.Team, result.Outcome, result.Reason)
	return result
}

// Complete implements callerhttp.Executor.
func (o recordingExecutor) Complete(
	ctx context.Context, r execute.CompletionRequest, emit func(execute.Chunk) error,
) execute.CompletionResult {
	o.recordStart(r.Ref, r.Team, string(ident.ModelPool(r.Model)))
	result := o.Executor.Complete(ctx, r, emit)
	o.recordOutcome(result.RequestID, r.Team, result.Outcome, result.Reason)
	return result
}

func (o recordingExecutor) recordStart(ref ident.RequestRef, team ident.TeamID, detail string) {
	o.events.Add(timeline.Event{
		Kind:    timeline.KindRequest,
		Request: ref.String(),
		Team:    team,
		Detail:  detail,
	})
}

func (o recordingExecutor) recordOutcome(
	request string, team ident.TeamID, outcome execute.Outcome, reason execute.Reason,
) {
	detail := string(outcome)
	if reason != "" {
		detail += ": " + string(reason)
	}
	o.events.Add(timeline.Event{
		Kind:    timeline.KindOutcome,
		Request: request,
		Team:    team,
		Detail:  detail,
	})
}
