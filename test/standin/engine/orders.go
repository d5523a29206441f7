package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	protocol "gooseberrytide.example/gooseberrytide/internal/protocol/engine"
)

// cancel serves DELETE /v1/requests/{id}.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	status := http.StatusNotFound
	for run := range e.active[r.PathValue("id")] {
		run.cancel(errCancelled)
		status = http.StatusNoContent
	}
	e.mu.Unlock()
	w.WriteHeader(status)
}

// order serves POST /v1/orders.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o protocol.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(e.accept(o))
}

// accept starts an order and returns the status of the answer. An order that is already in force, or being carried
// out, has no effect.
func (e *Engine) accept(o protocol.Order) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.CheckFencing {
		if o.Fence < e.state.Fence {
			e.totals.staleOrders++
			return http.StatusConflict
		}
		e.state.Fence = o.Fence
	}
	e.orders = append(e.orders, o)
	if e.inForceLocked(o) {
		return http.StatusAccepted
	}
	loading := &o
	e.state.Loading = loading
	time.AfterFunc(e.opts.LoadDuration, func() { e.carryOut(loading) })
	return http.StatusAccepted
}

func (e *Engine) inForceLocked(o protocol.Order) bool {
	if l := e.state.Loading; l != nil {
		return sameTarget(*l, o)
	}
	switch o.Kind {
	case protocol.OrderLoadModel:
		return e.state.Model == o.Model && e.state.Version == o.Version
	case protocol.OrderLoadAdapter:
		return slices.Contains(e.state.Adapters, o.Adapter)
	default:
		return e.state.Role == o.Role
	}
}

func sameTarget(a, b protocol.Order) bool {
	a.Fence, b.Fence = 0, 0
	return a == b
}

// carryOut puts an order into force unless a later one took its place.
func (e *Engine) carryOut(o *protocol.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.Loading != o {
		return
	}
	e.state.Loading = nil
	switch o.Kind {
	case protocol.OrderLoadModel:
		e.state.Model, e.state.Version = o.Model, o.Version
		e.state.Adapters = nil
		e.cache = newPrefixCache(e.opts.CacheEntries)
		e.clearedLocked()
	case protocol.OrderLoadAdapter:
		e.state.Adapters = append(slices.Clone(e.state.Adapters), o.Adapter)
	case protocol.OrderChangeRole:
		e.state.Role = o.Role
	}
}

// clearedLocked tells all readers that the cache is empty.
func (e *Engine) clearedLocked() {
	e.seq++
	late := lateEvent{at: time.Now().Add(e.opts.CacheDelay), event: protocol.CacheUpdate{Seq: e.seq, Cleared: true}}
	for r := range e.readers {
		select {
		case r.cache <- late:
		default:
		}
	}
}

// getState serves GET /v1/state.
func (e *Engine) getState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.State())
}

// State returns what is loaded.
func (e *Engine) State() protocol.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

// Orders returns the accepted orders in their order of arrival.
func (e *Engine) Orders() []protocol.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", protocol.ContentTypeJSON)
	_ = json.NewEncoder(w).Encode(v)
}
