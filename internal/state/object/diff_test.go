package object

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// drawSet returns a random set of VMs and failure domains. It uses few names, so that changes conflict often.
func drawSet(t *rapid.T, label string) *Set {
	set := NewSet()
	for _, name := range []string{"a", "b", "c"} {
		if rapid.Bool().Draw(t, label+" has vm "+name) {
			state := rapid.SampledFrom([]State{StateActive, StateDraining}).Draw(t, label+" state")
			set.Put(ID{KindVM, name}, &VM{Name: name, State: state})
		}
		if rapid.Bool().Draw(t, label+" has domain "+name) {
			region := rapid.SampledFrom([]string{"", "n", "s"}).Draw(t, label+" region")
			set.Put(ID{KindFailureDomain, name}, &FailureDomain{Name: name, Region: region})
		}
	}
	return set
}

// specOf returns the value of an object, or nil if the set does not contain it.
func specOf(set *Set, id ID) any {
	spec, ok := set.Get(id)
	if !ok {
		return nil
	}
	return reflect.ValueOf(spec).Elem().Interface()
}

// Guards against a merge that loses a change of either side or hides a conflict.
func TestMergeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, mine, theirs := drawSet(t, "base"), drawSet(t, "mine"), drawSet(t, "theirs")
		merged, conflicts := Merge(base, mine, theirs)
		inConflict := make(map[ID]bool)
		for _, id := range conflicts {
			inConflict[id] = true
		}
		for _, id := range unionIDs(base, mine, theirs) {
			b, m, th, got := specOf(base, id), specOf(mine, id), specOf(theirs, id), specOf(merged, id)
			want := th
			if m != b && th == b {
				want = m
			}
			if conflict := m != b && th != b && m != th; conflict != inConflict[id] {
				t.Fatalf("%s: conflict reported %v, want %v", id, inConflict[id], conflict)
			}
			if got != want {
				t.Fatalf("%s: merged to %v, want %v", id, got, want)
			}
		}
	})
}

// Guards against differences that do not name the changed field, and against a clone that shares objects.
func TestDiff(t *testing.T) {
	before := decodeAllKinds(t)
	after := before.Clone()
	after.Teams["farm"].Weight = 3
	after.Remove(ID{KindVM, "r1"})
	after.Put(ID{KindFailureDomain, "b"}, &FailureDomain{Name: "b"})
	want := []Difference{
		{ID: ID{KindFailureDomain, "b"}, Change: Added},
		{ID: ID{KindTeam, "farm"}, Change: Changed, Fields: []string{"weight"}},
		{ID: ID{KindVM, "r1"}, Change: Removed},
	}
	if got := Diff(before, after); !reflect.DeepEqual(got, want) {
		t.Errorf("got %v", got)
	}
}
