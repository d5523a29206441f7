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

// noDeadline hides the test's deadline from rapid, because the deadline must not be read inside a synctest bubble.
type noDeadline struct{ testing.TB }

// simulation runs a random sequence of events and faults in a fleet.
type simulation struct {
	t      *rapid.T
	f      *fleet
	random *rand.Rand
	// drop, repeat and delay are the percentages of messages that are lost, duplicated and delayed.
	drop, repeat, delay int
	calls               []*trackedRequest
	incarnations        ident.Incarnation
	trace               []string
}

// trackedRequest is a request and its state in the simulation.
type trackedRequest struct {
	*pending
	at       *node
	deadline time.Time
	settled  bool
}

func (r *trackedRequest) waiting() bool { return r.result.Load() == nil }

func (r *trackedRequest) running() bool {
	return !r.waiting() && r.result.Load().err == nil && !r.settled
}

func (sim *simulation) logf(format string, args ...any) {
	sim.trace = append(sim.trace, fmt.Sprintf(format, args...))
}

func (sim *simulation) failf(format string, args ...any) {
	sim.t.Helper()
	for _, line := range sim.trace {
		sim.t.Log(line)
	}
	sim.t.Fatalf(format, args...)
}

// deliveryDelays drops, duplicates and delays messages. The caller holds the fleet's lock.
func (sim *simulation) deliveryDelays(s sentMessage) []time.Duration {
	if sim.random.IntN(100) < sim.drop {
		return nil
	}
	delays := []time.Duration{sim.randomDelay()}
	if sim.random.IntN(100) < sim.repeat {
		delays = append(delays, sim.randomDelay())
	}
	return delays
}

func (sim *simulation) randomDelay() time.Duration {
	if sim.random.IntN(100) < sim.delay {
		return time.Duration(sim.random.IntN(3_000_000)) * time.Microsecond
	}
	return hop
}

func (sim *simulation) randomRouter() *node {
	return sim.f.nodes[rapid.SampledFrom(r1r2r3).Draw(sim.t, "router")]
}

func (sim *simulation) start(id ident.RouterID) {
	sim.incarnations += 10
	sim.f.start(id, sim.incarnations)
}

// step performs one random action.
func (sim *simulation) step() {
	switch rapid.SampledFrom([]string{
		"admit", "admit", "admit", "settle", "settle", "leave", "wait", "view", "view", "link", "restart", "server",
	}).Draw(sim.t, "step") {
	case "admit":
		sim.admit()
	case "settle":
		sim.settle()
	case "leave":
		sim.cancelRequest()
	case "wait":
		ms := rapid.IntRange(1, 4000).Draw(sim.t, "ms")
		sim.logf("wait %d ms", ms)
		time.Sleep(time.Duration(ms) * time.Millisecond)
	case "view":
		sim.changeView()
	case "link":
		router, peer := sim.randomRouter(), rapid.SampledFrom(r1r2r3).Draw(sim.t, "peer")
		sim.logf("%s: link to %s is up", router.id, peer)
		router.Ingress().LinkUp(peer)
	case "server":
		sim.changeServers()
	case "restart":
		if rapid.IntRange(0, 2).Draw(sim.t, "restart") == 0 {
			id := sim.randomRouter().id
			sim.logf("%s restarts", id)
			sim.start(id)
		}
	}
	synctest.Wait()
}

// changeServers adds a backend server, or removes the last one if there are more than two per shard.
func (sim *simulation) changeServers() {
	if len(sim.f.servers) > 2*sim.f.shards && rapid.Bool().Draw(sim.t, "remove") {
		sim.f.servers = slices.Clone(sim.f.servers[:len(sim.f.servers)-1])
		sim.f.generation++
	} else {
		sim.f.addServer(fmt.Sprintf("credits%d", len(sim.f.servers)+1), rapid.IntRange(1, 3).Draw(sim.t, "slots"))
	}
	sim.logf("generation %d has %d backend servers", sim.f.generation, len(sim.f.servers))
}

func (sim *simulation) admit() {
	router := sim.randomRouter()
	limit := rapid.SampledFrom([]time.Duration{time.Second, 15 * time.Second, time.Hour}).Draw(sim.t, "limit")
	r := &trackedRequest{pending: router.admit(limit), at: router, deadline: time.Now().Add(limit)}
	sim.calls = append(sim.calls, r)
	sim.logf("%s: request %v with limit %v", router.id, r.ref, limit)
}

// chooseRequest returns a random request that satisfies want, or nil if there is none.
func (sim *simulation) chooseRequest(want func(r *trackedRequest) bool) *trackedRequest {
	var list []*trackedRequest
	for _, r := range sim.calls {
		if want(r) {
			list = append(list, r)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(sim.t, "request")]
}

func (sim *simulation) settle() {
	r := sim.chooseRequest((*trackedRequest).running)
	if r == nil {
		return
	}
	r.settled = true
	result := rapid.SampledFrom([]message.SettleResult{
		message.SettleOK, message.SettleFailed, message.SettleUnused,
	}).Draw(sim.t, "result")
	sim.logf("%v settles %v", r.ref, result)
	r.result.Load().attempt.Settle(result, 3)
}

func (sim *simulation) cancelRequest() {
	if r := sim.chooseRequest((*trackedRequest).waiting); r != nil {
		sim.logf("caller of %v cancels", r.ref)
		r.cancel()
	}
}

// changeView gives one router a random view, in which the router itself is always alive.
func (sim *simulation) changeView() {
	router := sim.randomRouter()
	live := []ident.RouterID{router.id}
	for _, id := range r1r2r3 {
		if id != router.id && rapid.IntRange(0, 3).Draw(sim.t, "live") > 0 {
			live = append(live, id)
		}
	}
	owner := rapid.SampledFrom(live).Draw(sim.t, "owner")
	sim.logf("%s: live %v, owner %s", router.id, live, owner)
	router.Update(sim.f.routes(router.id, owner, live))
}

// heal ends all faults and gives all routers the same view. If messages may have been lost, it also reports all links
// as up, as real links do after a loss.
func (sim *simulation) heal() {
	sim.f.mu.Lock()
	lossy := sim.drop > 0
	sim.drop, sim.repeat, sim.delay = 0, 0, 0
	sim.f.mu.Unlock()
	time.Sleep(4 * time.Second)
	owner := rapid.SampledFrom(r1r2r3).Draw(sim.t, "last owner")
	sim.logf("faults ended, owner %s", owner)
	sim.f.setView(owner, r1r2r3, r1r2r3...)
	if lossy {
		sim.linksUp()
	}
	time.Sleep(convergenceTime)
}

func (sim *simulation) linksUp() {
	for _, id := range r1r2r3 {
		for _, peer := range r1r2r3 {
			sim.f.nodes[id].Ingress().LinkUp(peer)
		}
	}
}

// convergenceTime is longer than the time after which a dispatcher releases grants without progress reports, and longer
// than resendPeriod.
const convergenceTime = 13 * time.Second

// liveRequests returns the requests of processes that are still running.
func (sim *simulation) liveRequests() []*trackedRequest {
	return slices.DeleteFunc(slices.Clone(sim.calls), func(r *trackedRequest) bool { return sim.f.nodes[r.at.id] != r.at })
}

// checkRunningCount compares the number of running attempts that the dispatchers count with the number that are
// running.
func (sim *simulation) checkRunningCount() {
	running := 0
	for _, r := range sim.liveRequests() {
		if r.running() {
			running++
		}
	}
	counted := 0
	for _, id := range r1r2r3 {
		for _, s := range sim.f.nodes[id].Dispatcher().Stats() {
			counted += s.Running
		}
	}
	if counted != running {
		for _, r := range sim.liveRequests() {
			if r.running() {
				a := r.result.Load().attempt.(*attempt)
				sim.logf("%v runs on %s, shard %v, counted by %v", r.ref, a.server.Name, a.shard, a.owner)
				sim.traceMessages(r)
			}
		}
		sim.failf("dispatchers count %d running attempts, %d are running", counted, running)
	}
}

// traceMessages adds all messages about a request to the trace.
func (sim *simulation) traceMessages(r *trackedRequest) {
	for _, s := range sim.f.log {
		if ref, ok := refOf(s.m); ok && ref.Request == r.ref {
			sim.logf("%s -> %s %T %+v", s.from, s.to, s.m, s.m)
		}
	}
}

// maxIdleSeconds is the maximum number of seconds during which requests may wait while none is running. It is longer
// than resendPeriod, and shorter than the time for which a dispatcher remembers ended attempts.
const maxIdleSeconds = 12

// finish settles running attempts until every request has ended.
func (sim *simulation) finish() {
	for idle := 0; idle <= maxIdleSeconds; idle++ {
		synctest.Wait()
		open := 0
		for _, r := range sim.liveRequests() {
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
	for _, r := range sim.liveRequests() {
		if r.waiting() {
			sim.traceMessages(r)
		}
	}
	sim.failf("requests are waiting while none is running")
}

// checkEnd checks that no requests are left, and that each request was granted at most once and not after its end.
func (sim *simulation) checkEnd() {
	time.Sleep(convergenceTime)
	for _, id := range r1r2r3 {
		n := sim.f.nodes[id]
		if active := n.Ingress().Active(); active != 0 {
			sim.failf("%s has %d active requests", id, active)
		}
		for _, s := range n.Dispatcher().Stats() {
			if s.Queued != 0 || s.Running != 0 {
				sim.failf("%s counts %d queued and %d running at the end", id, s.Queued, s.Running)
			}
		}
	}
	for _, r := range sim.liveRequests() {
		sim.checkGrants(r)
	}
}

func (sim *simulation) checkGrants(r *trackedRequest) {
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
	// A request that was withdrawn at the instant of its grant has settled the grant as unused.
	if granted != settled || granted > 1 || granted < want {
		sim.failf("request %v: error %v, %d grants accepted, %d settled", r.ref, err, granted, settled)
	}
}

// Guards against requests that never end or end twice, running attempts that no dispatcher counts, and slots that stay
// reserved. The faults are lost, duplicated, delayed and reordered messages, different views, changes of the dispatcher
// and restarts.
func TestRandomFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(t *rapid.T) {
			sim := &simulation{
				t:      t,
				f:      newFleet(t, 2, 1, 1),
				random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
				drop:   rapid.SampledFrom([]int{0, 0, 10, 40}).Draw(t, "drop"),
				repeat: rapid.SampledFrom([]int{0, 20, 60}).Draw(t, "repeat"),
				delay:  rapid.SampledFrom([]int{0, 20, 80}).Draw(t, "delay"),
			}
			defer sim.f.stopAll()
			sim.f.shards = rapid.IntRange(1, 2).Draw(t, "shards")
			sim.f.deliveryDelays = sim.deliveryDelays
			for _, id := range r1r2r3 {
				sim.start(id)
			}
			sim.f.setView("r1", r1r2r3, r1r2r3...)
			for range rapid.IntRange(5, 60).Draw(t, "steps") {
				sim.step()
			}
			sim.heal()
			sim.checkRunningCount()
			sim.finish()
			sim.checkEnd()
		})
	})
}
