package memory

import "math/bits"

// classCount is the number of size classes. A class holds sizes within a factor of two.
const classCount = 40

// team is what one team holds.
type team struct {
	name         string
	holders      int
	used, ending int64
	// classes holds the holders that may be ended by size, those that came into the class first at the front.
	classes [classCount]holderList
}

// holderList is a doubly linked list of holders.
type holderList struct{ first, last *Holder }

// remaining returns what the team holds once the holders that are being ended have released their memory.
func (t *team) remaining() int64 { return t.used - t.ending }

// largestHolder returns a holder of the largest size class that may be ended, the longest one in it, or nil if there is
// none. It does not return the holder that asks.
func (t *team) largestHolder(asking *Holder) *Holder {
	for class := classCount - 1; class >= 0; class-- {
		h := t.classes[class].first
		if h == asking && h != nil {
			h = h.next
		}
		if h != nil {
			return h
		}
	}
	return nil
}

// list adds a holder that may be ended to the list of its size. The account must be locked.
func (h *Holder) list() {
	if !h.mayEnd || h.listed {
		return
	}
	h.class = min(bits.Len64(uint64(max(h.bytes, 0))), classCount-1)
	h.listed = true
	l := &h.team.classes[h.class]
	h.previous, h.next = l.last, nil
	if l.last == nil {
		l.first = h
	} else {
		l.last.next = h
	}
	l.last = h
}

// unlist removes a holder from the list of its size. The account must be locked.
func (h *Holder) unlist() {
	if !h.listed {
		return
	}
	l := &h.team.classes[h.class]
	if h.previous == nil {
		l.first = h.next
	} else {
		h.previous.next = h.next
	}
	if h.next == nil {
		l.last = h.previous
	} else {
		h.next.previous = h.previous
	}
	h.previous, h.next, h.listed = nil, nil, false
}
