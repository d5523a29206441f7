package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
)

// noDeadline hides the test's deadline from rapid, because it must not be read inside a synctest bubble.
type noDeadline struct{ testing.TB }

// history is a random course of events at a fleet.
type history struct {
	t      *rapid.T
	f      *fleet
	random *rand.Rand
	// drop, repeat and delay are percentages of the messages.
	drop, repeat, delay int
	calls               []*recorded
	incarnations        ident.Incarnation
	trace               []string
}

// recorded is a request with what the test did to it.
type recorded struct {
	*pending
	at       *node
	deadline time.Time
	settled  bool
}

func (r *recorded) waiting() bool { return r.result.Load() == nil }

func (r *recorded) running() bool { return !r.waiting() && r.result.Load().err == nil && !r.settled }

func (h *history) logf(format string, args ...any) {
	h.trace = append(h.trace, fmt.Sprintf(format, args...))
}

func (h *history) failf(format string, args ...any) {
	h.t.Helper()
	for _, line := range h.trace {
		h.t.Log(line)
	}
	h.t.Fatalf(format, args...)
}

// fate loses, repeats and delays messages. The fleet's lock is held.
func (h *history) fate(s sent) []time.Duration {
	if h.random.IntN(100) < h.drop {
		return nil
	}
	delays := []time.Duration{h.delayed()}
	if h.random.IntN(100) < h.repeat {
		delays = append(delays, h.delayed())
	}
	return delays
}

func (h *history) delayed() time.Duration {
	if h.random.IntN(100) < h.delay {
		return time.Duration(h.random.IntN(3_000_000)) * time.Microsecond
	}
	return hop
}

func (h *history) router() *node { return h.f.nodes[rapid.SampledFrom(r1r2r3).Draw(h.t, "router")] }

func (h *history) start(id ident.RouterID) {
	h.incarnations += 10
	h.f.start(id, h.incarnations)
}

// step does one random thing.
func (h *history) step() {
	switch rapid.SampledFrom([]string{"admit", "admit", "admit", "settle", "settle", "leave", "wait", "view", "view", "link", "restart", "server"}).Draw(h.t, "step") {
	case "admit":
		h.admit()
	case "settle":
		h.settle()
	case "leave":
		h.leave()
	case "wait":
		ms := rapid.IntRange(1, 4000).Draw(h.t, "ms")
		h.logf("wait %d ms", ms)
		time.Sleep(time.Duration(ms) * time.Millisecond)
	case "view":
		h.view()
	case "link":
		router, peer := h.router(), rapid.SampledFrom(r1r2r3).Draw(h.t, "peer")
		h.logf("%s: link to %s up", router.id, peer)
		router.Ingress().LinkUp(peer)
	case "server":
		h.server()
	case "restart":
		if rapid.IntRange(0, 2).Draw(h.t, "restart") == 0 {
			id := h.router().id
			h.logf("%s restarts", id)
			h.start(id)
		}
	}
	synctest.Wait()
}

// server adds a backend server, or removes the last of more than one for each shard.
func (h *history) server() {
	if len(h.f.servers) > 2*h.f.shards && rapid.Bool().Draw(h.t, "remove") {
		h.f.servers = slices.Clone(h.f.servers[:len(h.f.servers)-1])
		h.f.generation++
	} else {
		h.f.addServer(fmt.Sprintf("credits%d", len(h.f.servers)+1), rapid.IntRange(1, 3).Draw(h.t, "slots"))
	}
	h.logf("generation %d has %d backend servers", h.f.generation, len(h.f.servers))
}

func (h *history) admit() {
	router := h.router()
	limit := rapid.SampledFrom([]time.Duration{time.Second, 15 * time.Second, time.Hour}).Draw(h.t, "limit")
	r := &recorded{pending: router.admit(limit), at: router, deadline: time.Now().Add(limit)}
	h.calls = append(h.calls, r)
	h.logf("%s: request %v with limit %v", router.id, r.ref, limit)
}

// choose returns a random request that satisfies want, or nil.
func (h *history) choose(want func(r *recorded) bool) *recorded {
	var list []*recorded
	for _, r := range h.calls {
		if want(r) {
			list = append(list, r)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(h.t, "request")]
}

func (h *history) settle() {
	r := h.choose((*recorded).running)
	if r == nil {
		return
	}
	r.settled = true
	result := rapid.SampledFrom([]message.SettleResult{message.SettleOK, message.SettleFailed, message.SettleUnused}).Draw(h.t, "result")
	h.logf("%v settles %v", r.ref, result)
	r.result.Load().attempt.Settle(result, 3)
}

func (h *history) leave() {
	if r := h.choose((*recorded).waiting); r != nil {
		h.logf("caller of %v leaves", r.ref)
		r.cancel()
	}
}

// view gives one router a random view. It always takes itself for alive.
func (h *history) view() {
	router := h.router()
	live := []ident.RouterID{router.id}
	for _, id := range r1r2r3 {
		if id != router.id && rapid.IntRange(0, 3).Draw(h.t, "live") > 0 {
			live = append(live, id)
		}
	}
	owner := rapid.SampledFrom(live).Draw(h.t, "owner")
	h.logf("%s: live %v, owner %s", router.id, live, owner)
	router.Update(h.f.routes(router.id, owner, live))
}

// heal ends all faults and lets the views agree. Link events follow when messages may have been lost, as links report it.
func (h *history) heal() {
	h.f.mu.Lock()
	lossy := h.drop > 0
	h.drop, h.repeat, h.delay = 0, 0, 0
	h.f.mu.Unlock()
	time.Sleep(4 * time.Second)
	owner := rapid.SampledFrom(r1r2r3).Draw(h.t, "last owner")
	h.logf("healed, owner %s", owner)
	h.f.view(owner, r1r2r3, r1r2r3...)
	if lossy {
		h.linksUp()
	}
	time.Sleep(settling)
}

func (h *history) linksUp() {
	for _, id := range r1r2r3 {
		for _, peer := range r1r2r3 {
			h.f.nodes[id].Ingress().LinkUp(peer)
		}
	}
}

// settling is above the time after which a dispatcher releases grants without reports, and above resendPeriod.
const settling = 13 * time.Second

// alive returns the requests of processes that still run.
func (h *history) alive() []*recorded {
	return slices.DeleteFunc(slices.Clone(h.calls), func(r *recorded) bool { return h.f.nodes[r.at.id] != r.at })
}

// checkAccount compares the dispatchers' accounts with what runs.
func (h *history) checkAccount() {
	running := 0
	for _, r := range h.alive() {
		if r.running() {
			running++
		}
	}
	counted := 0
	for _, id := range r1r2r3 {
		for _, s := range h.f.nodes[id].Dispatcher().Stats() {
			counted += s.Running
		}
	}
	if counted != running {
		for _, r := range h.alive() {
			if r.running() {
				a := r.result.Load().attempt.(*attempt)
				h.logf("%v runs on %s, shard %v, counted by %v", r.ref, a.server.Name, a.shard, a.owner)
				h.traceMessages(r)
			}
		}
		h.failf("%d running attempts counted, %d run", counted, running)
	}
}

// traceMessages adds the messages about a request to the trace.
func (h *history) traceMessages(r *recorded) {
	for _, s := range h.f.log {
		if ref, ok := refOf(s.m); ok && ref.Request == r.ref {
			h.logf("%s -> %s %T %+v", s.from, s.to, s.m, s.m)
		}
	}
}

// maxIdle bounds the seconds in which requests wait and nothing runs: above resendPeriod, and below the time for which a
// dispatcher remembers the end of an attempt.
const maxIdle = 12

// finish settles what runs until every request has ended.
func (h *history) finish() {
	for idle := 0; idle <= maxIdle; idle++ {
		synctest.Wait()
		open := 0
		for _, r := range h.alive() {
			switch {
			case r.running():
				r.settled = true
				r.result.Load().attempt.Settle(message.SettleOK, 1)
				idle = 0
			case r.waiting():
				open++
			}
		}
		if open == 0 {
			return
		}
		time.Sleep(time.Second)
	}
	for _, r := range h.alive() {
		if r.waiting() {
			h.traceMessages(r)
		}
	}
	h.failf("requests wait while nothing runs")
}

// checkEnd checks that nothing is left, and that each request was granted at most once and not after its end.
func (h *history) checkEnd() {
	time.Sleep(settling)
	for _, id := range r1r2r3 {
		n := h.f.nodes[id]
		if active := n.Ingress().Active(); active != 0 {
			h.failf("%s has %d active requests", id, active)
		}
		for _, s := range n.Dispatcher().Stats() {
			if s.Queued != 0 || s.Running != 0 {
				h.failf("%s counts %d queued and %d running at the end", id, s.Queued, s.Running)
			}
		}
	}
	for _, r := range h.alive() {
		h.checkGrants(r)
	}
}

func (h *history) checkGrants(r *recorded) {
	granted, settled := 0, 0
	for _, e := range r.at.events.Since(0, 1<<20) {
		if e.Request != r.ref.String() {
			continue
		}
		switch e.Kind {
		case timeline.KindGrant:
			granted++
		case timeline.KindSettle:
			settled++
		}
	}
	err := r.result.Load().err
	want := 0
	if err == nil {
		want = 1
	}
	// A request that was withdrawn at the instant of its grant settles the grant as unused.
	if granted != settled || granted > 1 || granted < want {
		h.failf("request %v: error %v, %d grants accepted, %d settled", r.ref, err, granted, settled)
	}
}

// Guards against requests that never end or end twice, runs that no dispatcher counts, and slots that stay reserved,
// under lost, repeated, late and crossed messages, differing views, changes of the dispatcher and restarts.
func TestRandomFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(t *rapid.T) {
			h := &history{
				t:      t,
				f:      newFleet(t, 2, 1, 1),
				random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
				drop:   rapid.SampledFrom([]int{0, 0, 10, 40}).Draw(t, "drop"),
				repeat: rapid.SampledFrom([]int{0, 20, 60}).Draw(t, "repeat"),
				delay:  rapid.SampledFrom([]int{0, 20, 80}).Draw(t, "delay"),
			}
			defer h.f.stopAll()
			h.f.shards = rapid.IntRange(1, 2).Draw(t, "shards")
			h.f.fate = h.fate
			for _, id := range r1r2r3 {
				h.start(id)
			}
			h.f.view("r1", r1r2r3, r1r2r3...)
			for range rapid.IntRange(5, 60).Draw(t, "steps") {
				h.step()
			}
			h.heal()
			h.checkAccount()
			h.finish()
			h.checkEnd()
		})
	})
}
