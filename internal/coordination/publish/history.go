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
	// maxSteps covers half an hour at 3,900 changes a day, ten times the time that a partition usually lasts.
	maxSteps = 128
	// maxStepObjects bounds the memory of the history. A step with more is not kept, because pulling the whole
	// configuration costs about the same.
	maxStepObjects = 4096
	// maxPageBytes keeps a page well below the 4 MB limit of a message between routers.
	maxPageBytes = 1 << 20
)

// step is the difference between two successive snapshots of this router.
type step struct {
	from, to ident.Generation
	ids      []object.ID
}

// history holds the last steps. Each begins where the one before ends.
type history struct {
	steps []step
}

func (h *history) add(s step) {
	if len(s.ids) > maxStepObjects {
		h.steps = nil
		return
	}
	h.steps = append(h.steps, s)
	if len(h.steps) > maxSteps {
		h.steps = slices.Clone(h.steps[len(h.steps)-maxSteps:])
	}
}

// since returns the objects that changed after a generation, in canonical order, and whether they are known.
func (h *history) since(gen ident.Generation) ([]object.ID, bool) {
	first := slices.IndexFunc(h.steps, func(s step) bool { return s.from == gen })
	if first < 0 {
		return nil, false
	}
	var ids []object.ID
	for _, s := range h.steps[first:] {
		ids = append(ids, s.ids...)
	}
	slices.SortFunc(ids, object.CompareIDs)
	return slices.Compact(ids), true
}

// HandlePull answers another router's request. Errors: a malformed cursor.
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

// fillPage adds objects after the cursor until the page is full.
func fillPage(response PullResponse, current *snapshot.Snapshot, ids []object.ID, after string) (PullResponse, error) {
	start, err := position(ids, after)
	if err != nil {
		return PullResponse{}, err
	}
	size := 0
	for i := start; i < len(ids); i++ {
		data, removed, err := encode(current.Set(), ids[i])
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

func encode(set *object.Set, id object.ID) (data json.RawMessage, removed bool, err error) {
	if _, ok := set.Get(id); !ok {
		return nil, true, nil
	}
	data, err = object.EncodeObject(set, id)
	return data, false, err
}

// position returns the index of the first object after the cursor.
func position(ids []object.ID, after string) (int, error) {
	if after == "" {
		return 0, nil
	}
	cursor, err := object.ParseID(after)
	if err != nil {
		return 0, errors.Wrap(err, "publish: cursor")
	}
	return sort.Search(len(ids), func(i int) bool { return object.CompareIDs(ids[i], cursor) > 0 }), nil
}
