package kv

// Era counts how often a store came back from an older copy. It is 0 for stores that do not tell.
type Era int64

// Position is a state of the store. Revisions are given out again when the store comes back from an older copy, so that
// they can be compared only within one era.
type Position struct {
	Era      Era
	Revision Revision
}

// IsZero reports whether no state is known.
func (p Position) IsZero() bool { return p == Position{} }

// Includes reports whether the state at p includes every change up to q. States of different eras include nothing of
// each other: either may lack changes of the other.
func (p Position) Includes(q Position) bool { return p.Era == q.Era && p.Revision >= q.Revision }

// Later returns the later of two positions of the same era. Of positions of different eras, it returns the one of the
// later era.
func (p Position) Later(q Position) Position {
	if q.Era > p.Era || q.Includes(p) {
		return q
	}
	return p
}

// At returns the position of another revision of the same era.
func (p Position) At(r Revision) Position { return Position{Era: p.Era, Revision: r} }
