package claim

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// The kinds of operations in a history.
const (
	opClaim   = "claimed" // a Begin after which the client may run the call
	opResult  = "result"  // a Begin that returned a recorded result
	opFinish  = "finish"
	opAbandon = "abandon"
)

// operation is one operation on one key. run is the request id of the run that was claimed, ended or recorded.
type operation struct{ key, kind, run string }

// keyState is the model's state of one key: the open run, the recorded run, or neither.
type keyState struct{ open, done string }

// claimModel is the sequential specification of claims: at most one open run at a time, no run after a recorded result,
// and only the recorded result is returned.
var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range history {
			key := o.Input.(operation).key
			byKey[key] = append(byKey[key], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return keyState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, o := state.(keyState), input.(operation)
		switch o.kind {
		case opClaim:
			return s == keyState{}, keyState{open: o.run}
		case opResult:
			return s.done == o.run, s
		case opFinish:
			return s.open == o.run, keyState{done: o.run}
		}
		return s.open == o.run, keyState{}
	},
}

// history records operations of several clients, ordered by a logical clock.
type history struct {
	clock atomic.Int64
	mu    sync.Mutex
	ops   []porcupine.Operation
}

// add records an operation that was called at a logical time. An operation without a response may take effect at any
// later time.
func (h *history) add(o operation, called int64, answered bool) {
	returned := int64(math.MaxInt64)
	if answered {
		returned = h.clock.Add(1)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{Input: o, Call: called, Return: returned})
}

// lockedRand is a seeded random source for concurrent use.
type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

// int64n returns a random number in [0, n).
func (s *lockedRand) int64n(n int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.r.Int64N(n)
}

// runClient makes rounds of calls with a few keys at one router.
func (h *history) runClient(m *Manager, name string, random *lockedRand, rounds int) {
	for round := range rounds {
		c := testCall
		c.Key = fmt.Sprintf("k%d", random.int64n(4))
		c.RequestID = fmt.Sprintf("%s-%d", name, round)
		called := h.clock.Add(1)
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+random.int64n(int64(20*time.Second))))
		held, result, _ := m.Begin(ctx, c)
		cancel()
		switch {
		case result != nil:
			h.add(operation{c.Key, opResult, result.RequestID}, called, true)
		case held != nil:
			h.add(operation{c.Key, opClaim, c.RequestID}, called, true)
			time.Sleep(time.Duration(random.int64n(int64(3 * time.Second))))
			h.end(held, c, random.int64n(4) == 0)
		}
	}
}

// end finishes or abandons a claimed run. Most runs are abandoned, so that keys are claimed again.
func (h *history) end(held *Claim, c Call, finish bool) {
	called := h.clock.Add(1)
	if finish {
		err := held.Finish(context.Background(), Result{Outcome: Completed})
		h.add(operation{c.Key, opFinish, c.RequestID}, called, err == nil)
		return
	}
	err := held.Abandon(context.Background())
	h.add(operation{c.Key, opAbandon, c.RequestID}, called, err == nil)
}

// Guards against two runs of one call, results of other runs, and results that disappear, with lost, late, dropped and
// refused writes and failing reads at four routers.
func TestClaimHistoriesAreLinearizable(t *testing.T) {
	claimed, results := 0, 0
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			random := &lockedRand{r: rand.New(rand.NewPCG(seed, 7))}
			store := newFakeStore()
			store.onWrite = randomFaults(random, 30)
			store.onRead = func(string) fault { return fault(boolInt(random.int64n(100) < 20)) }
			store.delay = func() time.Duration { return time.Duration(random.int64n(int64(200 * time.Millisecond))) }
			store.late = func() time.Duration { return time.Duration(random.int64n(int64(20 * time.Second))) }
			h := &history{}
			var clients sync.WaitGroup
			var managers []*Manager
			for i := range 8 {
				if i%2 == 0 {
					managers = append(managers, newManager(t, store, ident.RouterID(fmt.Sprintf("r%d", i))))
				}
				m := managers[len(managers)-1]
				clients.Go(func() { h.runClient(m, fmt.Sprintf("c%d", i), random, 12) })
			}
			clients.Wait()
			time.Sleep(time.Hour) // long enough for the background work and the late writes to end
			for _, m := range managers {
				if m.Reconciling() != 0 {
					t.Fatalf("seed %d: %d records not reconciled", seed, m.Reconciling())
				}
			}
			for _, o := range h.ops {
				claimed += boolInt(o.Input.(operation).kind == opClaim)
				results += boolInt(o.Input.(operation).kind == opResult)
			}
			if !porcupine.CheckOperations(claimModel, h.ops) {
				t.Fatalf("seed %d: history of %d operations is not linearizable", seed, len(h.ops))
			}
		})
	}
	if claimed < 200 || results < 200 {
		t.Fatalf("only %d claims and %d results were checked", claimed, results)
	}
}

// Guards against a model that accepts invalid histories.
func TestModelRejectsInvalidHistories(t *testing.T) {
	for name, ops := range map[string][]operation{
		"two holders":    {{"k", opClaim, "a"}, {"k", opClaim, "b"}},
		"after result":   {{"k", opClaim, "a"}, {"k", opFinish, "a"}, {"k", opClaim, "b"}},
		"wrong result":   {{"k", opClaim, "a"}, {"k", opFinish, "a"}, {"k", opResult, "b"}},
		"result early":   {{"k", opClaim, "a"}, {"k", opResult, "a"}, {"k", opFinish, "a"}},
		"ended by other": {{"k", opClaim, "a"}, {"k", opAbandon, "b"}},
	} {
		h := &history{}
		for _, o := range ops {
			h.add(o, h.clock.Add(1), true)
		}
		if porcupine.CheckOperations(claimModel, h.ops) {
			t.Errorf("%s: accepted", name)
		}
	}
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
