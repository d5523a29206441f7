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

// boundaryVMs are names of VMs that end a chunk, so that all sets with the same one of them have that chunk in common.
var boundaryVMs = boundaryNames(4)

// boundaryNames returns n names of VMs that end a chunk.
func boundaryNames(n int) []string {
	var names []string
	for i := 0; len(names) < n; i++ {
		name := fmt.Sprintf("a-%d", i)
		if xxhash.Sum64String("vm/"+name)%averageChunkObjects == 0 {
			names = append(names, name)
		}
	}
	return names
}

// simulation is a store with several operators that publish, whose store calls get faults and interleaved actions.
type simulation struct {
	t     *rapid.T
	store *kv.Fake
	// plan holds the faults of the next store calls; an entry may also run an action before the call.
	plan         []plannedCall
	inAction     bool
	newPublisher func() *Publisher
	publishCount int
	publishes    []publishCall
	// gen and set are the generation that each operator read or published last, and the set that it read last.
	gen map[int]ident.Generation
	set map[int]*object.Set
}

// plannedCall is the fault of one store call and the action that runs before it.
type plannedCall struct {
	fault  kv.Fault
	action string
}

// publishCall is a call of Publish with its result.
type publishCall struct {
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

func drawPlan(t *rapid.T) []plannedCall {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) plannedCall {
		return plannedCall{
			fault:  rapid.SampledFrom(faults).Draw(t, "fault"),
			action: rapid.SampledFrom([]string{"", "", "", "", "collect", "publish", "late"}).Draw(t, "action"),
		}
	}), 0, 14).Draw(t, "plan")
}

// inject runs the planned action and returns the planned fault of the next store call. The store calls of such an
// action get no faults.
func (s *simulation) inject(kv.Op, string) kv.Fault {
	if s.inAction || len(s.plan) == 0 {
		return kv.Fault{}
	}
	next := s.plan[0]
	s.plan = s.plan[1:]
	s.inAction = true
	defer func() { s.inAction = false }()
	switch next.action {
	case "collect":
		_, _ = s.publisher().CollectGarbage(context.Background())
	case "late":
		s.store.ApplyLateWrites()
	case "publish":
		s.readHead(9)
		s.publish(9, boundaryVMs[s.publishCount%len(boundaryVMs)])
	}
	return next.fault
}

func (s *simulation) publisher() *Publisher { return s.newPublisher() }

// readHead reads the head for an operator, as a tool does before a change.
func (s *simulation) readHead(operator int) {
	gen, set, err := s.publisher().Head(context.Background())
	if err == nil {
		s.gen[operator] = gen
		s.set[operator] = set
	}
}

func (s *simulation) publish(operator int, variant string) {
	s.publishCount++
	set := vmSet(variant, fmt.Sprintf("z-%d", s.publishCount))
	chunks, _ := splitChunks(set)
	index := len(s.publishes)
	s.publishes = append(s.publishes, publishCall{
		base: s.gen[operator], chunks: chunkHashes(chunks), err: kv.ErrUncertain,
	})
	gen, err := s.publisher().Publish(context.Background(), s.gen[operator], set)
	s.publishes[index].gen = gen
	s.publishes[index].err = err
	if err == nil {
		s.gen[operator] = gen
	}
}

// heads returns all heads that were written, oldest first.
func (s *simulation) heads() []head {
	var heads []head
	for _, entry := range s.store.Versions(HeadKey) {
		h, err := decodeHead(entry.Value)
		if err != nil {
			s.t.Fatalf("head: %v", err)
		}
		heads = append(heads, h)
	}
	return heads
}

// checkChunks fails the test when the head references a missing chunk.
func (s *simulation) checkChunks() {
	entry, ok := s.store.Peek(HeadKey)
	if !ok {
		return
	}
	h, _ := decodeHead(entry.Value)
	for hash := range h.referencedChunks() {
		if _, ok := s.store.Peek(ChunkPrefix + hash); !ok {
			s.t.Fatalf("head of generation %d references the missing chunk %s", h.Generation, hash)
		}
	}
}

// checkHeads fails the test when a head is neither a rewrite nor a direct successor of the one before it.
func (s *simulation) checkHeads(heads []head) {
	var last head
	for _, h := range heads {
		fenced := h.PublishID == last.PublishID && h.Generation == last.Generation
		follows := h.Generation > last.Generation &&
			(last.Generation == 0 || h.Past[len(h.Past)-1].PublishID == last.PublishID)
		if !fenced && !follows {
			s.t.Fatalf("generation %d does not follow %d", h.Generation, last.Generation)
		}
		last = h
	}
}

// checkResults fails the test when the result of a publish does not match the heads that were written.
func (s *simulation) checkResults(heads []head) {
	for i, call := range s.publishes {
		previous := ident.Generation(0)
		written := ident.Generation(0)
		for _, h := range heads {
			if written == 0 && slices.Equal(h.Chunks, call.chunks) {
				written = h.Generation
				if previous != call.base {
					s.t.Fatalf("publish %d with base %d replaced generation %d", i, call.base, previous)
				}
			}
			previous = h.Generation
		}
		var uncertain *UncertainError
		switch {
		case call.err == nil && written != call.gen:
			s.t.Fatalf("publish %d returned generation %d; written was %d", i, call.gen, written)
		case call.err != nil && written != 0 && !errors.As(call.err, &uncertain):
			s.t.Fatalf("publish %d returned %v, but was written as generation %d", i, call.err, written)
		}
	}
}

// noDeadlineTB hides the Deadline method of testing.T from rapid, because it must not be called inside a synctest
// bubble.
type noDeadlineTB struct{ testing.TB }

// Guards against a publish that loses a change, reports success for a head that was not written or failure for one
// that was, or leaves a head without its chunks, under all faults of the store and with concurrent publishers and
// garbage collectors.
func TestPublishUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadlineTB{t}, func(t *rapid.T) {
			s := &simulation{
				t: t, store: kv.NewFake(),
				gen: make(map[int]ident.Generation), set: make(map[int]*object.Set),
			}
			s.newPublisher = func() *Publisher { return NewPublisher(s.store, always) }
			s.store.Inject(s.inject)
			for range rapid.IntRange(1, 20).Draw(t, "steps") {
				operator := rapid.IntRange(0, 2).Draw(t, "operator")
				action := rapid.SampledFrom([]string{"publish", "publish", "publish", "read", "collect", "late"}).Draw(t, "step")
				s.plan = nil
				switch action {
				case "publish":
					if rapid.Bool().Draw(t, "read first") {
						s.readHead(operator)
					}
					variant := rapid.SampledFrom(boundaryVMs).Draw(t, "variant")
					s.plan = drawPlan(t)
					s.publish(operator, variant)
				case "read":
					s.readHead(operator)
				case "collect":
					s.plan = drawPlan(t)
					_, _ = s.publisher().CollectGarbage(context.Background())
				case "late":
					s.store.ApplyLateWrites()
				}
				s.checkChunks()
			}
			s.store.ApplyLateWrites()
			s.checkChunks()
			heads := s.heads()
			s.checkHeads(heads)
			s.checkResults(heads)
		})
	})
}
