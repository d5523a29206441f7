package scheduler

import "time"

// requestHeap is a binary heap of queued requests by arrival. Each request knows its position.
type requestHeap []*request

func (h *requestHeap) push(r *request) {
	*h = append(*h, r)
	r.queuePos = len(*h) - 1
	h.up(r.queuePos)
}

func (h *requestHeap) remove(r *request) {
	q := *h
	i, last := r.queuePos, len(q)-1
	q.swap(i, last)
	q[last] = nil
	*h = q[:last]
	r.queuePos = notInHeap
	if i < last {
		h.down(i)
		h.up(i)
	}
}

func (h requestHeap) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].queuePos = i
	h[j].queuePos = j
}

func (h requestHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h[i].earlier(h[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h requestHeap) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h) {
			return
		}
		if right := child + 1; right < len(h) && h[right].earlier(h[child]) {
			child = right
		}
		if !h[child].earlier(h[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}

// fairEntry keeps a team's order next to its pointer, so that comparisons stay within the heap's memory.
type fairEntry struct {
	counter float64
	arrival time.Duration
	serial  uint64
	team    *team
}

func (e *fairEntry) less(o *fairEntry) bool {
	if e.counter != o.counter {
		return e.counter < o.counter
	}
	if e.arrival != o.arrival {
		return e.arrival < o.arrival
	}
	return e.serial < o.serial
}

// fairHeap is a binary heap of backlogged teams by counter; ties go to the earlier arrival.
type fairHeap []fairEntry

func entryOf(t *team) fairEntry {
	r := t.head()
	return fairEntry{counter: t.counter, arrival: r.arrival, serial: r.serial, team: t}
}

func (h *fairHeap) push(t *team) {
	t.heapPos = len(*h)
	*h = append(*h, entryOf(t))
	h.up(t.heapPos)
}

func (h *fairHeap) remove(t *team) {
	q := *h
	i, last := t.heapPos, len(q)-1
	q.swap(i, last)
	q[last] = fairEntry{}
	*h = q[:last]
	t.heapPos = notInHeap
	if i < last {
		h.down(i)
		h.up(i)
	}
}

// fix restores the order after a change of the team's counter or head.
func (h fairHeap) fix(t *team) {
	i := t.heapPos
	h[i] = entryOf(t)
	h.down(i)
	h.up(i)
}

func (h fairHeap) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].team.heapPos = i
	h[j].team.heapPos = j
}

func (h fairHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h[i].less(&h[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h fairHeap) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h) {
			return
		}
		if right := child + 1; right < len(h) && h[right].less(&h[child]) {
			child = right
		}
		if !h[child].less(&h[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}
