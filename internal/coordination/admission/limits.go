package admission

import (
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
)

const (
	// maxBacklog is the prompt reading that may wait at an engine when another request is sent there. It covers the age
	// of the peers' reports, so that an engine does not idle, and leaves most of a first event's objective.
	maxBacklog = 180 * time.Millisecond
	// batchShare is the part of an engine's slots that is filled. A full batch slows every stream.
	batchShare = 0.75
	// memoryShare is the part of an engine's memory that running requests may fill. The rest keeps shared prompts, and
	// is the reserve against preemption.
	memoryShare = 0.7
	// overcommit is the number of requests per slot of a plain service: some wait at the server, so that it does not idle
	// for a round trip.
	overcommit = 1.5
	// unknownSlots is assumed for a server that names none.
	unknownSlots = 4
)

// room reports whether a server may get another request. Part is the part of an engine's room that may be filled.
func room(service *routing.Service, server *backends.Server, l engineload.Load, w *Work, backlog time.Duration, part float64) bool {
	slots := server.Slots
	if slots == 0 {
		slots = unknownSlots
	}
	if service.Engine == nil {
		return float64(l.Running) < overcommit*float64(slots)
	}
	if l.Running >= max(int(part*batchShare*float64(slots)), 1) {
		return false
	}
	capacity := service.Engine.CacheTokens
	if capacity > 0 && l.Running > 0 && float64(l.ContextTokens+w.PromptTokens+w.OutputTokens) > memoryShare*float64(capacity) {
		return false
	}
	return backlog < time.Duration(part*float64(maxBacklog))
}
