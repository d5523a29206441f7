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
	if service.Engine == nil {
		return float64(l.Running) < overcommit*float64(slotsOf(server))
	}
	r := engineRoom{slots: slotsOf(server), cacheTokens: service.Engine.CacheTokens}
	return r.fits(l, w.PromptTokens+w.OutputTokens, backlog, part)
}

func slotsOf(server *backends.Server) int {
	if server.Slots == 0 {
		return unknownSlots
	}
	return server.Slots
}

// engineRoom is the size of a model engine.
type engineRoom struct {
	slots int
	// cacheTokens is the size of the memory in tokens; 0 when it is not known.
	cacheTokens int
}

// fits reports whether a request that keeps a number of tokens in memory may be sent to an engine with a load.
func (r engineRoom) fits(l engineload.Load, tokens int, backlog time.Duration, part float64) bool {
	if l.Running >= max(int(part*batchShare*float64(r.slots)), 1) {
		return false
	}
	if r.cacheTokens > 0 && l.Running > 0 && float64(l.ContextTokens+tokens) > memoryShare*float64(r.cacheTokens) {
		return false
	}
	return backlog < time.Duration(part*float64(maxBacklog))
}
