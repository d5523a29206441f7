package discovery

import (
	"maps"
	"slices"
	"time"
)

// evacuationGrace is how long a failure domain stays evacuated after the store came back from an older copy that lacks the
// key. Operators write what the copy lacks again within that time.
const evacuationGrace = 5 * time.Second

// evacuations holds the evacuated failure domains.
type evacuations struct {
	// domains maps each domain to the time until which it stays evacuated without its key. The time is zero while the key
	// exists.
	domains map[string]time.Time
	// graceEnd is set while the entries of an older copy are applied.
	graceEnd time.Time
	changed  bool
}

func newEvacuations() *evacuations { return &evacuations{domains: make(map[string]time.Time)} }

// add records that the key of a domain exists.
func (e *evacuations) add(domain string) {
	if _, known := e.domains[domain]; !known {
		e.changed = true
	}
	e.domains[domain] = time.Time{}
}

// remove records that the key of a domain was deleted, or that an older copy of the store lacks it.
func (e *evacuations) remove(domain string) {
	if _, known := e.domains[domain]; !known {
		return
	}
	if !e.graceEnd.IsZero() {
		e.domains[domain] = e.graceEnd
		return
	}
	delete(e.domains, domain)
	e.changed = true
}

// beginRestore makes domains whose keys an older copy of the store lacks stay evacuated for evacuationGrace, also those
// that an earlier copy lacked.
func (e *evacuations) beginRestore(now time.Time) {
	e.graceEnd = now.Add(evacuationGrace)
	for domain, until := range e.domains {
		if !until.IsZero() {
			e.domains[domain] = e.graceEnd
		}
	}
}

func (e *evacuations) endRestore() { e.graceEnd = time.Time{} }

// expire ends the evacuations whose grace period is over.
func (e *evacuations) expire(now time.Time) {
	for domain, until := range e.domains {
		if !until.IsZero() && !now.Before(until) {
			delete(e.domains, domain)
			e.changed = true
		}
	}
}

// takeChanged returns the evacuated domains, sorted, and whether they have changed since the last call.
func (e *evacuations) takeChanged() (domains []string, changed bool) {
	changed, e.changed = e.changed, false
	return slices.Sorted(maps.Keys(e.domains)), changed
}
