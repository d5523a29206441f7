package object

import (
	"reflect"
	"strings"
)

// Change is the kind of difference between two sets at one object.
type Change string

// The kinds of differences.
const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

// Difference is an object that two sets do not share.
type Difference struct {
	ID     ID
	Change Change
	// Fields are the JSON names of the changed fields, for Changed only.
	Fields []string
}

// Diff returns the differences from one set to another in canonical order.
func Diff(from, to *Set) []Difference {
	var list []Difference
	for _, id := range union(from, to) {
		before, had := from.Get(id)
		after, has := to.Get(id)
		switch {
		case !had:
			list = append(list, Difference{ID: id, Change: Added})
		case !has:
			list = append(list, Difference{ID: id, Change: Removed})
		case !equalObjects(before, after):
			list = append(list, Difference{ID: id, Change: Changed, Fields: changedFields(before, after)})
		}
	}
	return list
}

// union returns the names in any of the sets, in canonical order.
func union(sets ...*Set) []ID {
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

// Merge applies the changes from base to mine onto theirs. It returns the merged set and the objects that both
// sides changed in different ways; those keep the state of theirs. The merged set needs a new Check, because
// changes of different objects may break references.
func Merge(base, mine, theirs *Set) (*Set, []ID) {
	merged := theirs.Clone()
	var conflicts []ID
	for _, difference := range Diff(base, mine) {
		id := difference.ID
		want, keep := mine.Get(id)
		have, exists := theirs.Get(id)
		origin, existed := base.Get(id)
		if same(want, keep, have, exists) {
			continue
		}
		if !same(origin, existed, have, exists) {
			conflicts = append(conflicts, id)
			continue
		}
		if keep {
			merged.Copy(id, mine)
			continue
		}
		merged.Remove(id)
	}
	return merged, conflicts
}

// same compares two objects that may be absent.
func same(a any, hasA bool, b any, hasB bool) bool {
	if hasA != hasB {
		return false
	}
	return !hasA || equalObjects(a, b)
}
