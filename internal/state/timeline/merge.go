package timeline

import (
	"cmp"
	"fmt"
	"slices"
)

// gapEvent returns an event that reports the number of missing events before the oldest one in the ring. The caller
// holds the lock.
func (r *Ring) gapEvent(missing uint64) Event {
	oldest := r.events[int(r.oldestSeq()%uint64(len(r.events)))]
	return Event{
		Seq:    oldest.Seq - 1,
		Stamp:  oldest.Stamp - 1,
		Router: r.self,
		Kind:   KindGap,
		Detail: fmt.Sprintf("%d events overwritten", missing),
	}
}

// Merge returns the events of several routers in causal order. Events with equal stamps are ordered by router and
// sequence number, so that the result does not depend on the order of the arguments.
func Merge(lists ...[]Event) []Event {
	var all []Event
	for _, list := range lists {
		all = append(all, list...)
	}
	slices.SortStableFunc(all, compareEvents)
	return all
}

func compareEvents(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Stamp, b.Stamp),
		cmp.Compare(a.Router, b.Router),
		cmp.Compare(a.Seq, b.Seq),
	)
}
