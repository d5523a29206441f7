package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	protocol "gooseberrytide.example/gooseberrytide/internal/protocol/engine"
)

// serveCancel serves DELETE /v1/requests/{id}.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	status := http.StatusNotFound
	for run := range e.active[r.PathValue("id")] {
		run.cancel(errCancelled)
		status = http.StatusNoContent
	}
	e.mu.Unlock()
	w.WriteHeader(status)
}

// serveOrder serves POST /v1/orders.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o protocol.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(e.acceptOrder(o))
}

// acceptOrder starts an order and returns the HTTP status of the response. An order that has already been applied or
// is being applied has no effect.
func (e *Engine) acceptOrder(o protocol.Order) int {
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
	if e.orderAppliedLocked(o) {
		return http.StatusAccepted
	}
	loading := &o
	e.state.Loading = loading
	time.AfterFunc(e.opts.LoadDuration, func() { e.applyOrder(loading) })
	return http.StatusAccepted
}

// orderAppliedLocked reports whether an order changes nothing: it equals the order being applied, or, if there is
// none, its target is loaded.
func (e *Engine) orderAppliedLocked(o protocol.Order) bool {
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

// sameTarget reports whether two orders are equal apart from their fencing numbers.
func sameTarget(a, b protocol.Order) bool {
	a.Fence, b.Fence = 0, 0
	return a == b
}

// applyOrder applies an order unless a later one has replaced it.
func (e *Engine) applyOrder(o *protocol.Order) {
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
		e.publishCacheClearLocked()
	case protocol.OrderLoadAdapter:
		e.state.Adapters = append(slices.Clone(e.state.Adapters), o.Adapter)
	case protocol.OrderChangeRole:
		e.state.Role = o.Role
	}
}

// publishCacheClearLocked notifies all subscribers that the cache is empty.
func (e *Engine) publishCacheClearLocked() {
	e.seq++
	delayed := delayedEvent{
		deliverAt: time.Now().Add(e.opts.CacheDelay),
		event:     protocol.CacheUpdate{Seq: e.seq, Cleared: true},
	}
	for s := range e.subscribers {
		select {
		case s.cacheEvents <- delayed:
		default:
		}
	}
}

// serveState serves GET /v1/state.
func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.State())
}

// State returns the loaded model, version and adapters, and the order being applied.
func (e *Engine) State() protocol.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

// Orders returns the accepted orders in order of arrival.
func (e *Engine) Orders() []protocol.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", protocol.ContentTypeJSON)
	_ = json.NewEncoder(w).Encode(v)
}
