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
	// maxPrefillBacklog is the prefill time that may be queued at an engine when another request is sent there. It
	// covers the age of the peers' reports, so that the engine does not idle, and leaves most of a first event's
	// objective.
	maxPrefillBacklog = 180 * time.Millisecond
	// maxBatchFill is the fraction of an engine's slots that is filled. A full batch slows every stream.
	maxBatchFill = 0.75
	// maxMemoryFill is the fraction of an engine's memory that running requests may fill. The rest caches shared prompt
	// parts and is the reserve against preemption.
	maxMemoryFill = 0.7
	// requestsPerSlot is the number of requests per slot of a plain service. It is above 1 so that some requests wait
	// at the server, which then does not idle for a round trip.
	requestsPerSlot = 1.5
	// defaultSlots is assumed for a server that reports no number of slots.
	defaultSlots = 4
)

// limitsOf returns the limits of a server for a request of a service. slowdown is the server's prefill time per token
// relative to initialPrefillRate; fraction is the fraction of an engine's capacity that may be filled.
func limitsOf(service *routing.Service, server *backends.Server, slowdown, fraction float64) reservation.Limits {
	slots := server.Slots
	if slots == 0 {
		slots = defaultSlots
	}
	if service.Engine == nil {
		return reservation.Limits{Running: int(math.Ceil(requestsPerSlot * float64(slots))), PendingTokens: -1}
	}
	return reservation.Limits{
		Running:       max(int(fraction*maxBatchFill*float64(slots)), 1),
		PendingTokens: max(prefillTokens(time.Duration(fraction*float64(maxPrefillBacklog)), slowdown), 1),
		ContextTokens: int(maxMemoryFill * float64(service.Engine.CacheTokens)),
	}
}

// loadOf returns the load of a request on a server that has cached the given number of its prompt tokens.
func loadOf(req *Request, cachedTokens int) engineload.Load {
	l := engineload.Load{Running: 1}
	if req.Service.Engine != nil {
		l.PendingTokens = max(req.PromptTokens-cachedTokens, 0)
		l.ContextTokens = req.PromptTokens + req.OutputTokens
	}
	return l
}
