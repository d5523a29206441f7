package memory

// Holder is what holds memory: a connection or a request. It is safe for concurrent use.
type Holder struct {
	account *Account
	end     func() bool

	// The account's lock guards the remaining fields.
	team  *team
	bytes int64
	// mayEnd is set while the holder may be ended, idle while it does no work either. ended is set once it has been chosen to
	// be ended.
	mayEnd, idle, ended, closed bool
	// in is the list that the holder is in, or nil.
	in             *holderList
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

// SetMayEnd sets whether the holder may be ended although it does work. It returns false if the holder has been chosen to be
// ended.
func (h *Holder) SetMayEnd(mayEnd bool) bool { return h.setState(mayEnd, false) }

// SetIdle records that the holder does no work. Ordinary requests of its team may then take its place.
func (h *Holder) SetIdle() bool { return h.setState(true, true) }

func (h *Holder) setState(mayEnd, idle bool) bool {
	if h == nil {
		return true
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.unlist()
	h.mayEnd, h.idle = mayEnd && h.end != nil && !h.closed, idle
	h.list()
	return !h.ended
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
	h.ended = true
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
	h.list()
}
