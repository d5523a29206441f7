package admission

import (
	"container/heap"
	"time"
)

// event is a function that is due at a point in virtual time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (sim *simulation) at(t time.Time, do func()) {
	sim.seq++
	heap.Push(&sim.events, event{at: t, seq: sim.seq, do: do})
}

func (sim *simulation) after(d time.Duration, do func()) { sim.at(sim.now.Add(d), do) }

func (sim *simulation) every(d time.Duration, do func()) {
	sim.after(d, func() {
		do()
		sim.every(d, do)
	})
}

func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.events) > 0 && !sim.events[0].at.After(end) {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.do()
	}
	sim.now = end
}
