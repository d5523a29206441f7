package publish

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// restoreSimulation is a simulation whose store comes back from an older copy between or during calls. Its publishers
// know nothing but the store.
type restoreSimulation struct {
	simulation
	copies []kv.StoreCopy
	// written holds the chunks of each generation that was ever written.
	written map[ident.Generation][]string
	// unfinished reports that a publish ended without a definite result, so that its head may lack chunks.
	unfinished bool
}

// collectHeads fails the test when a generation was written with two contents. A head that was written again, because
// its write crossed the restore, does not count.
func (s *restoreSimulation) collectHeads() {
	if s.unfinished {
		return
	}
	heads := s.heads()
	for i, h := range heads {
		writtenAgain := func(later head) bool {
			return later.PublishID == h.PublishID && later.Generation != h.Generation
		}
		if slices.ContainsFunc(heads[i+1:], writtenAgain) {
			continue
		}
		if before, ok := s.written[h.Generation]; ok && !slices.Equal(before, h.Chunks) {
			s.t.Fatalf("generation %d has two contents", h.Generation)
		}
		s.written[h.Generation] = h.Chunks
	}
}

// restore restores the store from an earlier copy, once. Late writes of the simulation take effect before the
// restore: no write that was sent before the restore reaches the restored store.
func (s *restoreSimulation) restore() {
	if len(s.copies) == 0 || s.store.Cluster() != "cluster-0" {
		return
	}
	s.store.ApplyLateWrites()
	s.collectHeads()
	s.store.Restore(rapid.SampledFrom(s.copies).Draw(s.t, "copy"))
}

// injectRestore runs a planned restore before a store call, or else what the simulation has planned.
func (s *restoreSimulation) injectRestore(op kv.Op, key string) kv.Fault {
	if !s.inAction && len(s.plan) > 0 && s.plan[0].action == "restore" {
		fault := s.plan[0].fault
		s.plan = s.plan[1:]
		s.restore()
		return fault
	}
	return s.inject(op, key)
}

func drawRestorePlan(t *rapid.T) []plannedCall {
	plan := drawPlan(t)
	if len(plan) > 0 {
		plan[rapid.IntRange(0, len(plan)-1).Draw(t, "restore at")].action = "restore"
	}
	return plan
}

// publishOnce publishes for an operator.
func (s *restoreSimulation) publishOnce(operator int) {
	s.publishCount++
	variant := rapid.SampledFrom(boundaryVMs).Draw(s.t, "variant")
	set := vmSet(variant, fmt.Sprintf("z-%d", s.publishCount))
	s.plan = drawRestorePlan(s.t)
	gen, err := s.restorable().Publish(context.Background(), s.gen[operator], set)
	s.plan = nil
	var uncertain *UncertainError
	s.unfinished = s.unfinished || errors.As(err, &uncertain)
	if err != nil {
		return
	}
	s.gen[operator] = gen
}

// mustPublishOn publishes the first configuration.
func mustPublishOn(t *rapid.T, p *Publisher, set *object.Set) ident.Generation {
	gen, err := p.Publish(context.Background(), 0, set)
	if err != nil {
		t.Fatal(err)
	}
	return gen
}

func (s *restoreSimulation) restorable() *Publisher { return restorablePublisher(s.store) }

// Guards against a generation with two contents, and against a head without its chunks, when the store comes back from
// an older copy at any time, under all other faults.
func TestPublishUnderFaultsAndRestores(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadlineTB{t}, func(t *rapid.T) {
			s := &restoreSimulation{written: make(map[ident.Generation][]string)}
			s.simulation = simulation{
				t: t, store: kv.NewFake(), gen: make(map[int]ident.Generation), set: make(map[int]*object.Set),
				newPublisher: s.restorable,
			}
			s.gen[0] = mustPublishOn(t, s.restorable(), vmSet("first"))
			s.store.Inject(s.injectRestore)
			for range rapid.IntRange(1, 20).Draw(t, "steps") {
				operator := rapid.IntRange(0, 2).Draw(t, "operator")
				switch rapid.SampledFrom([]string{"publish", "publish", "copy", "restore", "collect"}).Draw(t, "step") {
				case "publish":
					s.readHead(operator)
					s.publishOnce(operator)
				case "copy":
					s.copies = append(s.copies, s.store.Copy())
				case "restore":
					s.restore()
				case "collect":
					s.plan = drawRestorePlan(t)
					_, _ = s.restorable().CollectGarbage(context.Background())
					s.plan = nil
				}
				s.collectHeads()
				if !s.unfinished {
					s.checkChunks()
				}
			}
		})
	})
}
