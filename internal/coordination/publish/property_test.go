package publish

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// variants are names of VMs that end a chunk, so that a set with one of them has a chunk that recurs in later sets.
var variants = boundaryNames(4)

func boundaryNames(n int) []string {
	var names []string
	for i := 0; len(names) < n; i++ {
		name := fmt.Sprintf("a-%d", i)
		if xxhash.Sum64String("vm/"+name)%chunkObjects == 0 {
			names = append(names, name)
		}
	}
	return names
}

// world is a store with publishers whose calls meet faults and each other.
type world struct {
	t     *rapid.T
	store *kv.Fake
	// plan holds what happens to the next calls; an entry may run a nested action before the call.
	plan   []planned
	nested bool
	serial int
	tries  []try
	// gen and set are what an operator has read or published last.
	gen map[int]ident.Generation
	set map[int]*object.Set
}

type planned struct {
	fault  kv.Fault
	action string
}

// try is a call of Publish with its result.
type try struct {
	base   ident.Generation
	chunks []string
	gen    ident.Generation
	err    error
}

var faults = []kv.Fault{
	{}, {}, {}, {},
	{Kind: kv.FaultOutage},
	{Kind: kv.FaultThrottled},
	{Kind: kv.FaultLostApplied},
	{Kind: kv.FaultLostLate},
	{Kind: kv.FaultLostDropped},
	{Stale: 1},
	{Stale: 2},
}

func drawPlan(t *rapid.T) []planned {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) planned {
		return planned{
			fault:  rapid.SampledFrom(faults).Draw(t, "fault"),
			action: rapid.SampledFrom([]string{"", "", "", "", "collect", "publish", "late"}).Draw(t, "action"),
		}
	}), 0, 14).Draw(t, "plan")
}

// inject gives each call its planned fault. Actions nested in a call have no faults.
func (w *world) inject(kv.Op, string) kv.Fault {
	if w.nested || len(w.plan) == 0 {
		return kv.Fault{}
	}
	next := w.plan[0]
	w.plan = w.plan[1:]
	w.nested = true
	defer func() { w.nested = false }()
	switch next.action {
	case "collect":
		_, _ = w.publisher().Collect(context.Background())
	case "late":
		w.store.ApplyLateWrites()
	case "publish":
		w.read(9)
		w.publish(9, variants[w.serial%len(variants)])
	}
	return next.fault
}

func (w *world) publisher() *Publisher { return NewPublisher(w.store, always) }

// read gives an operator the head, as a tool does before a change.
func (w *world) read(operator int) {
	gen, set, err := w.publisher().Head(context.Background())
	if err == nil {
		w.gen[operator] = gen
		w.set[operator] = set
	}
}

func (w *world) publish(operator int, variant string) {
	w.serial++
	set := vms(variant, fmt.Sprintf("z-%d", w.serial))
	chunks, _ := split(set)
	index := len(w.tries)
	w.tries = append(w.tries, try{base: w.gen[operator], chunks: hashes(chunks), err: kv.ErrUncertain})
	gen, err := w.publisher().Publish(context.Background(), w.gen[operator], set)
	w.tries[index].gen = gen
	w.tries[index].err = err
	if err == nil {
		w.gen[operator] = gen
	}
}

func (w *world) heads() []head {
	var heads []head
	for _, entry := range w.store.Versions(HeadKey) {
		h, err := decodeHead(entry.Value)
		if err != nil {
			w.t.Fatalf("head: %v", err)
		}
		heads = append(heads, h)
	}
	return heads
}

// checkChunks fails when the head names a chunk that is missing.
func (w *world) checkChunks() {
	entry, ok := w.store.Peek(HeadKey)
	if !ok {
		return
	}
	h, _ := decodeHead(entry.Value)
	for hash := range h.named() {
		if _, ok := w.store.Peek(ChunkPrefix + hash); !ok {
			w.t.Fatalf("generation %d names the missing chunk %s", h.Generation, hash)
		}
	}
}

// checkHeads fails when a head does not follow from the one before it.
func (w *world) checkHeads(heads []head) {
	var last head
	for _, h := range heads {
		fenced := h.PublishID == last.PublishID && h.Generation == last.Generation
		follows := h.Generation > last.Generation &&
			(last.Generation == 0 || h.Past[len(h.Past)-1].PublishID == last.PublishID)
		if !fenced && !follows {
			w.t.Fatalf("generation %d does not follow %d", h.Generation, last.Generation)
		}
		last = h
	}
}

// checkResults fails when a result does not match the heads that were written.
func (w *world) checkResults(heads []head) {
	for i, tried := range w.tries {
		previous := ident.Generation(0)
		written := ident.Generation(0)
		for _, h := range heads {
			if written == 0 && slices.Equal(h.Chunks, tried.chunks) {
				written = h.Generation
				if previous != tried.base {
					w.t.Fatalf("try %d on base %d replaced generation %d", i, tried.base, previous)
				}
			}
			previous = h.Generation
		}
		var uncertain *UncertainError
		switch {
		case tried.err == nil && written != tried.gen:
			w.t.Fatalf("try %d reported generation %d; written %d", i, tried.gen, written)
		case tried.err != nil && written != 0 && !errors.As(tried.err, &uncertain):
			w.t.Fatalf("try %d reported %v; written as generation %d", i, tried.err, written)
		}
	}
}

// bubble hides the test's deadline from rapid, because it must not be read inside a synctest bubble.
type bubble struct{ testing.TB }

// Guards against a publish that loses a change, reports success for a head that was not written or failure for one
// that was, or leaves a head without its chunks, under all faults of the store and racing publishers and collectors.
func TestPublishUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(t *rapid.T) {
			w := &world{
				t: t, store: kv.NewFake(),
				gen: make(map[int]ident.Generation), set: make(map[int]*object.Set),
			}
			w.store.Inject(w.inject)
			for range rapid.IntRange(1, 20).Draw(t, "steps") {
				operator := rapid.IntRange(0, 2).Draw(t, "operator")
				action := rapid.SampledFrom([]string{"publish", "publish", "publish", "read", "collect", "late"}).Draw(t, "step")
				w.plan = nil
				switch action {
				case "publish":
					if rapid.Bool().Draw(t, "read first") {
						w.read(operator)
					}
					variant := rapid.SampledFrom(variants).Draw(t, "variant")
					w.plan = drawPlan(t)
					w.publish(operator, variant)
				case "read":
					w.read(operator)
				case "collect":
					w.plan = drawPlan(t)
					_, _ = w.publisher().Collect(context.Background())
				case "late":
					w.store.ApplyLateWrites()
				}
				w.checkChunks()
			}
			w.store.ApplyLateWrites()
			w.checkChunks()
			heads := w.heads()
			w.checkHeads(heads)
			w.checkResults(heads)
		})
	})
}
