package scheduler

import "time"

// Dimensions of the timer wheel. A request that is due later than one revolution is checked once per revolution.
const (
	wheelTick  = 100 * time.Millisecond
	wheelSlots = 1024
	notInWheel = -1
)

// timerLink is a request's position in the wheel: the slot and its neighbours in the slot's list.
type timerLink struct {
	slot       int
	prev, next *request
}

// wheel is a timer wheel of requests by due time. Insertion and removal take constant time.
type wheel struct {
	slots [wheelSlots]*request
	// lastTick is the last tick that was processed.
	lastTick int64
	started  bool
}

// schedule sets the timer of r to r.due.
func (w *wheel) schedule(r *request, now time.Duration) {
	w.remove(r)
	w.start(now)
	tick := max(int64((r.due+wheelTick-1)/wheelTick), w.lastTick+1)
	slot := int(tick % wheelSlots)
	head := w.slots[slot]
	r.timer = timerLink{slot: slot, next: head}
	if head != nil {
		head.timer.prev = r
	}
	w.slots[slot] = r
}

func (w *wheel) start(now time.Duration) {
	if !w.started {
		w.started = true
		w.lastTick = int64(now / wheelTick)
	}
}

func (w *wheel) remove(r *request) {
	l := r.timer
	if l.slot == notInWheel {
		return
	}
	if l.prev == nil {
		w.slots[l.slot] = l.next
	} else {
		l.prev.timer.next = l.next
	}
	if l.next != nil {
		l.next.timer.prev = l.prev
	}
	r.timer = timerLink{slot: notInWheel}
}

// advance calls onDue for each request that is due by now. onDue may remove or reschedule only the request it is given.
func (w *wheel) advance(now time.Duration, onDue func(*request)) {
	w.start(now)
	target := int64(now / wheelTick)
	first := max(w.lastTick+1, target-wheelSlots+1)
	w.lastTick = max(w.lastTick, target)
	for tick := first; tick <= target; tick++ {
		w.processSlot(int(tick%wheelSlots), now, onDue)
	}
}

func (w *wheel) processSlot(slot int, now time.Duration, onDue func(*request)) {
	for r := w.slots[slot]; r != nil; {
		next := r.timer.next
		if r.due <= now {
			onDue(r)
		} else {
			w.schedule(r, now)
		}
		r = next
	}
}
