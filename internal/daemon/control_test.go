package daemon

import (
	"fmt"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/membership"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/state/snapshot"
)

// BenchmarkRoutesInput measures the check for changed input, which the control loop makes ten times a second, at 400
// members.
func BenchmarkRoutesInput(b *testing.B) {
	s, err := snapshot.Build(1, object.NewSet())
	if err != nil {
		b.Fatal(err)
	}
	detector := membership.New(membership.Options{}, membership.Member{ID: "r0", Incarnation: 1, Generation: 1})
	for n := 1; n < 400; n++ {
		id := ident.RouterID(fmt.Sprintf("r%d", n))
		member := membership.Member{ID: id, Incarnation: 1, State: membership.Alive, Generation: 1}
		detector.Receive(time.Second, id, membership.Packet{Kind: membership.Ack, From: member})
	}
	view := detector.View()
	if len(view.Live()) != 400 {
		b.Fatalf("%d members", len(view.Live()))
	}
	before := newRoutesInput(s, view)
	for b.Loop() {
		if !newRoutesInput(s, view).equal(before) {
			b.Fatal("input changed")
		}
	}
}
