package object

import (
	"reflect"
	"strings"
)

// Change is the kind of a difference between two sets.
type Change string

// The kinds of differences.
const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

// Difference describes an object that differs between two sets.
type Difference struct {
	ID     ID
	Change Change
	// Fields lists the JSON names of the changed fields. It is set only for Changed.
	Fields []string
}

// Diff returns the differences from one set to another, in canonical order of the objects.
func Diff(from, to *Set) []Difference {
	var list []Difference
	for _, id := range unionIDs(from, to) {
		before, inFrom := from.Get(id)
		after, inTo := to.Get(id)
		switch {
		case !inFrom:
			list = append(list, Difference{ID: id, Change: Added})
		case !inTo:
			list = append(list, Difference{ID: id, Change: Removed})
		case !equalObjects(before, after):
			list = append(list, Difference{ID: id, Change: Changed, Fields: changedFields(before, after)})
		}
	}
	return list
}

// unionIDs returns the IDs of the objects in any of the sets, in canonical order.
func unionIDs(sets ...*Set) []ID {
	all := &Set{}
	for _, set := range sets {
		for _, id := range set.IDs() {
			all.Copy(id, set)
		}
	}
	return all.IDs()
}

func changedFields(before, after any) []string {
	a := reflect.ValueOf(before).Elem()
	b := reflect.ValueOf(after).Elem()
	var fields []string
	for i := range a.NumField() {
		name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("json"), ",")
		if name == "-" || reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			continue
		}
		fields = append(fields, name)
	}
	return fields
}

// Merge performs a three-way merge: it applies the changes from base to mine onto theirs. It returns the merged set and
// the objects in conflict, which both sides changed in different ways; the merged set has their version from theirs.
// The merged set needs a new Check, because changes of different objects may break references.
func Merge(base, mine, theirs *Set) (*Set, []ID) {
	merged := theirs.Clone()
	var conflicts []ID
	for _, difference := range Diff(base, mine) {
		id := difference.ID
		mySpec, inMine := mine.Get(id)
		theirSpec, inTheirs := theirs.Get(id)
		baseSpec, inBase := base.Get(id)
		if equalOrAbsent(mySpec, inMine, theirSpec, inTheirs) {
			continue
		}
		if !equalOrAbsent(baseSpec, inBase, theirSpec, inTheirs) {
			conflicts = append(conflicts, id)
			continue
		}
		if inMine {
			merged.Copy(id, mine)
			continue
		}
		merged.Remove(id)
	}
	return merged, conflicts
}

// equalOrAbsent reports whether two objects are equal or both absent.
func equalOrAbsent(a any, hasA bool, b any, hasB bool) bool {
	if hasA != hasB {
		return false
	}
	return !hasA || equalObjects(a, b)
}
