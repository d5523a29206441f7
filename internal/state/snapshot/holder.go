package snapshot

import "sync/atomic"

// Holder holds the current snapshot. The zero value is empty. All methods are safe for concurrent use, and Load
// takes no lock.
type Holder struct {
	current atomic.Pointer[Snapshot]
}

// Load returns the current snapshot, or nil before the first Advance.
func (h *Holder) Load() *Snapshot { return h.current.Load() }

// Advance replaces the current snapshot if the given one has a higher generation, and reports whether it did.
func (h *Holder) Advance(s *Snapshot) bool {
	for {
		current := h.current.Load()
		if current != nil && s.generation <= current.generation {
			return false
		}
		if h.current.CompareAndSwap(current, s) {
			return true
		}
	}
}
