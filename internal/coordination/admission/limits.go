package admission

import (
	"math"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
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

// limitsOf returns the limits of a server for a request of a service. Factor is the server's time per prompt token against
// startRate; part is the part of an engine's room that may be filled.
func limitsOf(service *routing.Service, server *backends.Server, factor, part float64) reservation.Limits {
	slots := server.Slots
	if slots == 0 {
		slots = unknownSlots
	}
	if service.Engine == nil {
		return reservation.Limits{Running: int(math.Ceil(overcommit * float64(slots))), PendingTokens: -1}
	}
	return reservation.Limits{
		Running:       max(int(part*batchShare*float64(slots)), 1),
		PendingTokens: max(tokensRead(time.Duration(part*float64(maxBacklog)), factor), 1),
		ContextTokens: int(memoryShare * float64(service.Engine.CacheTokens)),
	}
}

// loadOf returns the load of a request on a server that keeps a part of its prompt.
func loadOf(w *Work, cached int) engineload.Load {
	l := engineload.Load{Running: 1}
	if w.Service.Engine != nil {
		l.PendingTokens = max(w.PromptTokens-cached, 0)
		l.ContextTokens = w.PromptTokens + w.OutputTokens
	}
	return l
}
