package scheduler

import "time"

// Shape of the timer wheel. A request due later than one turn is looked at once a turn.
const (
	wheelTick  = 100 * time.Millisecond
	wheelSlots = 1024
	notInWheel = -1
)

// timerLink is a request's place in the wheel.
type timerLink struct {
	slot       int
	prev, next *request
}

// wheel finds the requests that are due. Insertion and removal take constant time.
type wheel struct {
	slots [wheelSlots]*request
	// done is the last tick that was processed.
	done    int64
	started bool
}

// set schedules r for r.due.
func (w *wheel) set(r *request, now time.Duration) {
	w.remove(r)
	w.start(now)
	tick := max(int64((r.due+wheelTick-1)/wheelTick), w.done+1)
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
		w.done = int64(now / wheelTick)
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

// advance calls expire for each request due by now. expire may remove or reschedule its request, and no other.
func (w *wheel) advance(now time.Duration, expire func(*request)) {
	w.start(now)
	target := int64(now / wheelTick)
	first := max(w.done+1, target-wheelSlots+1)
	w.done = max(w.done, target)
	for tick := first; tick <= target; tick++ {
		w.visit(int(tick%wheelSlots), now, expire)
	}
}

func (w *wheel) visit(slot int, now time.Duration, expire func(*request)) {
	for r := w.slots[slot]; r != nil; {
		next := r.timer.next
		if r.due <= now {
			expire(r)
		} else {
			w.set(r, now)
		}
		r = next
	}
}
