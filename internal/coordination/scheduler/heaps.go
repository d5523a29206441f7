package scheduler

import "time"

// requestHeap is a binary min-heap of queued requests by arrival. Each request stores its position.
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
		if !h[i].arrivedBefore(h[parent]) {
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
		if right := child + 1; right < len(h) && h[right].arrivedBefore(h[child]) {
			child = right
		}
		if !h[child].arrivedBefore(h[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}

// teamEntry holds a copy of a team's sort key next to its pointer, so that comparisons stay within the heap's memory.
type teamEntry struct {
	counter float64
	arrival time.Duration
	serial  uint64
	team    *team
}

func (e *teamEntry) less(o *teamEntry) bool {
	if e.counter != o.counter {
		return e.counter < o.counter
	}
	if e.arrival != o.arrival {
		return e.arrival < o.arrival
	}
	return e.serial < o.serial
}

// teamHeap is a binary min-heap of teams with eligible work by counter. On equal counters, the team whose first request
// arrived earlier comes first.
type teamHeap []teamEntry

func newTeamEntry(t *team) teamEntry {
	r := t.head()
	return teamEntry{counter: t.counter, arrival: r.arrival, serial: r.serial, team: t}
}

func (h *teamHeap) push(t *team) {
	t.heapPos = len(*h)
	*h = append(*h, newTeamEntry(t))
	h.up(t.heapPos)
}

func (h *teamHeap) remove(t *team) {
	q := *h
	i, last := t.heapPos, len(q)-1
	q.swap(i, last)
	q[last] = teamEntry{}
	*h = q[:last]
	t.heapPos = notInHeap
	if i < last {
		h.down(i)
		h.up(i)
	}
}

// fix restores the heap order after a change of the team's counter or first request.
func (h teamHeap) fix(t *team) {
	i := t.heapPos
	h[i] = newTeamEntry(t)
	h.down(i)
	h.up(i)
}

func (h teamHeap) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].team.heapPos = i
	h[j].team.heapPos = j
}

func (h teamHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h[i].less(&h[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h teamHeap) down(i int) {
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
