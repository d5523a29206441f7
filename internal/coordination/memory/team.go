package memory

import "math/bits"

// classCount is the number of size classes. A class holds sizes within a factor of two.
const classCount = 40

// team is what one team holds.
type team struct {
	name         string
	holders      int
	used, ending int64
	// classes holds the holders that may be ended by size, those that came into the class first at the front. idle holds those
	// that do no work, the longest idle one first.
	classes [classCount]holderList
	idle    holderList
}

// holderList is a doubly linked list of holders.
type holderList struct{ first, last *Holder }

// remaining returns what the team holds once the holders that are being ended have released their memory.
func (t *team) remaining() int64 { return t.used - t.ending }

// largestHolder returns a holder of the largest size class that may be ended, the longest one in it, or the longest idle one
// if there is none. It returns nil if there is none either, and does not return the holder that asks.
func (t *team) largestHolder(asking *Holder) *Holder {
	for class := classCount - 1; class >= 0; class-- {
		if h := t.classes[class].firstExcept(asking); h != nil {
			return h
		}
	}
	return t.idle.firstExcept(asking)
}

// firstExcept returns the first holder of a list that is not the excluded one, or nil.
func (l *holderList) firstExcept(excluded *Holder) *Holder {
	h := l.first
	if h != nil && h == excluded {
		h = h.next
	}
	return h
}

// list adds a holder that may be ended to its list. The account must be locked.
func (h *Holder) list() {
	if !h.mayEnd || h.ended || h.in != nil {
		return
	}
	h.in = &h.team.idle
	if !h.idle {
		h.in = &h.team.classes[min(bits.Len64(uint64(max(h.bytes, 0))), classCount-1)]
	}
	h.previous, h.next = h.in.last, nil
	if h.in.last == nil {
		h.in.first = h
	} else {
		h.in.last.next = h
	}
	h.in.last = h
}

// unlist removes a holder from its list. The account must be locked.
func (h *Holder) unlist() {
	if h.in == nil {
		return
	}
	if h.previous == nil {
		h.in.first = h.next
	} else {
		h.previous.next = h.next
	}
	if h.next == nil {
		h.in.last = h.previous
	} else {
		h.next.previous = h.previous
	}
	h.previous, h.next, h.in = nil, nil, nil
}
