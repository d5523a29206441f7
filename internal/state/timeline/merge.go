package timeline

import (
	"cmp"
	"fmt"
	"slices"
)

// gap describes missing events before the oldest one that the ring still holds.
func (r *Ring) gap(missing uint64) Event {
	oldest := r.events[int(r.oldest()%uint64(len(r.events)))]
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
	slices.SortStableFunc(all, compare)
	return all
}

func compare(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Stamp, b.Stamp),
		cmp.Compare(a.Router, b.Router),
		cmp.Compare(a.Seq, b.Seq),
	)
}
