package kv

import (
	"fmt"
	"maps"
	"slices"
)

// StoreCopy is a copy of a Fake's state.
type StoreCopy struct {
	revision Revision
	versions map[string][]Entry
}

// Copy returns the current state, for Restore. It is not counted as a call.
func (f *Fake) Copy() StoreCopy {
	f.mu.Lock()
	defer f.mu.Unlock()
	return StoreCopy{revision: f.revision, versions: cloneVersions(f.versions)}
}

// Restore replaces the state by an older copy: the same revisions are assigned again, and Cluster changes.
func (f *Fake) Restore(c StoreCopy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restores++
	f.revision, f.versions = c.revision, cloneVersions(c.versions)
	f.notifyWatches()
}

// Cluster returns the identity of the store's data.
func (f *Fake) Cluster() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fmt.Sprintf("cluster-%d", f.restores)
}

// cloneVersions returns a copy that shares no lists with versions.
func cloneVersions(versions map[string][]Entry) map[string][]Entry {
	cloned := maps.Clone(versions)
	for key, list := range cloned {
		cloned[key] = slices.Clone(list)
	}
	return cloned
}
