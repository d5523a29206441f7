package publish

import (
	"encoding/json"
	"slices"
	"sort"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/state/snapshot"
)

const (
	// maxHistoryEntries covers half an hour at 3,900 changes a day, ten times the usual duration of a partition.
	maxHistoryEntries = 128
	// maxEntryObjects bounds the memory of the history. A larger difference is not kept, because pulling the whole
	// configuration costs about the same.
	maxEntryObjects = 4096
	// maxPageBytes bounds the objects of a page, which keeps it well below the 4 MB limit of a message between routers.
	maxPageBytes = 1 << 20
)

// historyEntry lists the objects that differ between two successive snapshots of this router.
type historyEntry struct {
	from, to ident.Generation
	changed  []object.ID
}

// history holds the most recent differences between snapshots. Each entry starts at the generation where the previous
// one ends.
type history struct {
	entries []historyEntry
}

// add appends an entry. An entry with too many objects empties the history.
func (h *history) add(e historyEntry) {
	if len(e.changed) > maxEntryObjects {
		h.entries = nil
		return
	}
	h.entries = append(h.entries, e)
	if len(h.entries) > maxHistoryEntries {
		h.entries = slices.Clone(h.entries[len(h.entries)-maxHistoryEntries:])
	}
}

// since returns the objects that changed after the generation, in canonical order, and whether the history goes back
// that far.
func (h *history) since(gen ident.Generation) ([]object.ID, bool) {
	first := slices.IndexFunc(h.entries, func(e historyEntry) bool { return e.from == gen })
	if first < 0 {
		return nil, false
	}
	var ids []object.ID
	for _, e := range h.entries[first:] {
		ids = append(ids, e.changed...)
	}
	slices.SortFunc(ids, object.CompareIDs)
	return slices.Compact(ids), true
}

// HandlePull returns a page of this router's configuration to another router. It returns an error when the cursor is
// malformed or an object cannot be encoded.
func (s *Syncer) HandlePull(req PullRequest) (PullResponse, error) {
	s.mu.Lock()
	current := s.opts.Holder.Load()
	ready := s.ready
	var ids []object.ID
	delta := false
	if current != nil && !req.Probe && current.Generation() > req.Have {
		ids, delta = s.history.since(req.Have)
	}
	s.mu.Unlock()
	if current == nil {
		return PullResponse{Ready: ready}, nil
	}
	response := PullResponse{Ready: ready, Generation: current.Generation(), Digest: current.Digest(), Full: !delta}
	stale := req.At != 0 && req.At != response.Generation
	if req.Probe || stale || response.Generation <= req.Have {
		response.Full = false
		return response, nil
	}
	if !delta {
		ids = current.Set().IDs()
	}
	return fillPage(response, current, ids, req.After)
}

// fillPage adds the objects after the cursor until the page is full.
func fillPage(response PullResponse, current *snapshot.Snapshot, ids []object.ID, after string) (PullResponse, error) {
	start, err := indexAfter(ids, after)
	if err != nil {
		return PullResponse{}, err
	}
	size := 0
	for i := start; i < len(ids); i++ {
		data, removed, err := encodeObject(current.Set(), ids[i])
		if err != nil {
			return PullResponse{}, err
		}
		if removed {
			response.Removed = append(response.Removed, ids[i].String())
			size += len(ids[i].Name)
			continue
		}
		if size > 0 && size+len(data) > maxPageBytes {
			response.Next = ids[i-1].String()
			return response, nil
		}
		response.Objects = append(response.Objects, data)
		size += len(data)
	}
	return response, nil
}

// encodeObject returns the encoded object, or removed if the set does not have it.
func encodeObject(set *object.Set, id object.ID) (data json.RawMessage, removed bool, err error) {
	if _, ok := set.Get(id); !ok {
		return nil, true, nil
	}
	data, err = object.EncodeObject(set, id)
	return data, false, err
}

// indexAfter returns the index of the first object after the cursor.
func indexAfter(ids []object.ID, after string) (int, error) {
	if after == "" {
		return 0, nil
	}
	cursor, err := object.ParseID(after)
	if err != nil {
		return 0, errors.Wrap(err, "publish: cursor")
	}
	return sort.Search(len(ids), func(i int) bool { return object.CompareIDs(ids[i], cursor) > 0 }), nil
}
