package snapshot

import "sync/atomic"

// Holder holds the snapshot in force. The zero value is empty. All methods are safe for concurrent use, and Load
// takes no lock.
type Holder struct {
	current atomic.Pointer[Snapshot]
}

// Load returns the snapshot in force, or nil before the first.
func (h *Holder) Load() *Snapshot { return h.current.Load() }

// Advance puts a snapshot in force. It returns false and changes nothing unless the generation is higher.
func (h *Holder) Advance(s *Snapshot) bool {
	for {
		old := h.current.Load()
		if old != nil && s.generation <= old.generation {
			return false
		}
		if h.current.CompareAndSwap(old, s) {
			return true
		}
	}
}
