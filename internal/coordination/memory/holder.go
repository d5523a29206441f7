package memory

// Holder is what holds memory: a connection or a request. It is safe for concurrent use.
type Holder struct {
	account *Account
	end     func() bool

	// The account's lock guards the remaining fields.
	team  *team
	bytes int64
	// mayEnd is set while the holder may be ended, ended once it has been chosen for that.
	mayEnd, ended, closed bool
	// class is the size class whose list the holder is in, while listed is set.
	class          int
	listed         bool
	previous, next *Holder
}

// Grow takes more memory. It returns false if that is refused, or if the holder has been ended.
func (h *Holder) Grow(bytes int64) bool {
	if h == nil {
		return true
	}
	a := h.account
	a.mu.Lock()
	var victims []*Holder
	ok := !h.ended && !h.closed
	if ok {
		if victims, ok = a.makeRoom(h, bytes); ok {
			a.resize(h, bytes)
		}
	}
	a.mu.Unlock()
	for _, victim := range victims {
		if !victim.end() {
			victim.unmarkEnded()
		}
	}
	return ok
}

// Shrink releases a part of the memory.
func (h *Holder) Shrink(bytes int64) {
	if h == nil || bytes == 0 {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if !h.closed {
		h.account.resize(h, -bytes)
	}
}

// SetMayEnd sets whether the holder may be ended. It returns false if the holder has been chosen to be ended.
func (h *Holder) SetMayEnd(mayEnd bool) bool {
	if h == nil {
		return true
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.ended {
		return false
	}
	h.unlist()
	h.mayEnd = mayEnd && h.end != nil
	h.list()
	return true
}

// Move makes another team the one that holds the memory.
func (h *Holder) Move(name string) {
	if h == nil {
		return
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.closed || h.team.name == name {
		return
	}
	h.unlist()
	bytes, from := h.bytes, h.team
	a.add(h, -bytes)
	a.leave(from)
	h.team = a.join(name)
	a.add(h, bytes)
	h.list()
}

// Close releases the memory. Further calls do nothing.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.closed {
		return
	}
	h.unlist()
	h.mayEnd = false
	a.add(h, -h.bytes)
	h.closed = true
	a.leave(h.team)
}

// markEnded records that the holder is being ended. The account must be locked.
func (h *Holder) markEnded() {
	h.unlist()
	h.ended, h.mayEnd = true, false
	h.account.ending += h.bytes
	h.team.ending += h.bytes
}

// unmarkEnded records that the holder could not be ended.
func (h *Holder) unmarkEnded() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.closed {
		return
	}
	h.ended = false
	h.account.ending -= h.bytes
	h.team.ending -= h.bytes
}
