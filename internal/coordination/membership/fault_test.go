package membership_test

import (
	"math"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/membership"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// settled returns a fleet of 8 that has converged.
func settled(t *testing.T, seed uint64) *sim {
	t.Helper()
	s := newSim(t, 8, seed)
	s.until(10*time.Second, "convergence", func() bool { return s.allSee(8) })
	s.run(3 * time.Second)
	return s
}

// until runs until a condition holds and fails the test otherwise.
func (s *sim) until(limit time.Duration, what string, ok func() bool) time.Duration {
	s.t.Helper()
	took, done := s.runUntil(limit, ok)
	if !done {
		for _, nd := range s.nodes {
			s.t.Logf("%s sees %d live, stale %v", nd.id, len(nd.d.View().Live()), nd.d.View().Stale)
		}
		s.t.Fatalf("timed out waiting for: %s", what)
	}
	return took
}

func (s *sim) state(of, by int) membership.State {
	m, _ := s.nodes[by].d.View().Member(routerID(of))
	return m.State
}

// Guards against routers that stay apart after a partition heals, with the stale views of both sides, and against a
// minority that counts itself as a majority.
func TestPartitionAndRejoin(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		s := settled(t, seed)
		s.measured = 2
		side := func(id ident.RouterID) bool { return id < routerID(3) }
		s.cut = func(a, b ident.RouterID) bool { return side(a) != side(b) }
		s.run(time.Minute)
		for i, nd := range s.nodes {
			want, majority := 3, false
			if !side(nd.id) {
				want, majority = 5, true
			}
			v := nd.d.View()
			if len(v.Live()) != want || v.Majority(s.now, 4*time.Second) != majority {
				t.Fatalf("node %d: %d live, heard %d of %d", i, len(v.Live()), v.HeardSince(s.now, 4*time.Second), v.Listed())
			}
		}
		s.cut = func(a, b ident.RouterID) bool { return false }
		s.until(10*time.Second, "rejoin", func() bool { return s.allSee(8) })
		for i, nd := range s.nodes {
			if got := nd.d.SelfIncarnation(); got != ident.Incarnation(1_790_000_000_000+uint64(i)) {
				t.Fatalf("node %d changed its incarnation to %d, which orphans its requests", i, got)
			}
		}
	}
}

// Guards against a rejoin that depends on the VM list.
func TestRejoinWithoutList(t *testing.T) {
	s := settled(t, 4)
	for _, nd := range s.nodes {
		nd.d.SetCandidates(s.now, []membership.Candidate{{ID: nd.id}})
	}
	s.cut = func(a, b ident.RouterID) bool { return (a == routerID(0)) != (b == routerID(0)) }
	s.run(time.Minute)
	if s.nodes[0].d.View().Majority(s.now, 4*time.Second) {
		t.Fatal("a router cut off with a list of itself takes itself for a majority")
	}
	s.cut = func(a, b ident.RouterID) bool { return false }
	s.until(10*time.Second, "rejoin", func() bool { return s.allSee(8) })
}

// Guards against a restarted router that is taken for its earlier process, also when its clock went back.
func TestEmptyRestart(t *testing.T) {
	for title, inc := range map[string]ident.Incarnation{"clock ahead": 1_800_000_000_000, "clock back": 5} {
		s := settled(t, 2)
		nd := s.nodes[2]
		before := nd.d.SelfIncarnation()
		nd.down = true
		s.run(300 * time.Millisecond)
		nd.down = false
		s.start(nd, inc)
		nd.d.SetCandidates(s.now, candidates(8))
		if !nd.d.View().Stale {
			t.Fatal("an empty view counts as current")
		}
		s.until(6*time.Second, title, func() bool {
			for _, other := range s.nodes {
				m, ok := other.d.View().Member(nd.id)
				if !ok || m.Incarnation <= before || m.State != membership.Alive || m.Incarnation != nd.d.SelfIncarnation() {
					return false
				}
			}
			return s.allSee(8) && !nd.d.View().Stale
		})
	}
}

// Guards against a router that restarts empty while the VM list is not available.
func TestEmptyRestartWithoutList(t *testing.T) {
	s := settled(t, 3)
	nd := s.nodes[5]
	s.start(nd, 1_800_000_000_000)
	s.until(6*time.Second, "others find it", func() bool { return s.allSee(8) && !nd.d.View().Stale })
}

// Guards against a paused process that acts on its old view, or takes the packets in its socket buffers for news, or
// declares the others dead because it did not listen.
func TestPausedProcess(t *testing.T) {
	s := settled(t, 6)
	nd := s.nodes[1]
	nd.paused = true
	s.until(4*time.Second, "detection of the pause", func() bool { return s.state(1, 0) == membership.Dead })
	s.run(30 * time.Second)
	s.cut = func(a, b ident.RouterID) bool { return a == nd.id || b == nd.id }
	s.resume(nd)
	heard := nd.d.View().HeardSince(s.now, 4*time.Second)
	s.run(tick)
	if v := nd.d.View(); !v.Stale || heard > 1 {
		t.Fatalf("after the pause: stale %v, heard %d", v.Stale, heard)
	}
	s.run(time.Second)
	if !nd.d.View().Stale {
		t.Fatal("current again without hearing anybody")
	}
	s.cut = func(a, b ident.RouterID) bool { return false }
	s.until(10*time.Second, "recovery", func() bool { return s.allSee(8) && !nd.d.View().Stale })
}

// Guards against a process that blames others for its own pause.
func TestPauseBlamesNobody(t *testing.T) {
	s := settled(t, 8)
	nd := s.nodes[1]
	nd.paused = true
	s.run(5 * time.Second)
	s.resume(nd)
	for range 40 {
		s.run(tick / 2)
		for i := range s.nodes {
			if i != 1 && s.state(i, 0) != membership.Alive {
				t.Fatalf("node %d is %v", i, s.state(i, 0))
			}
		}
	}
}

// Guards against a VM list that is empty, short or wrong: it must not remove members that answer, nor add ones that do
// not.
func TestWrongList(t *testing.T) {
	fresh := membership.New(membership.Options{Seed: 1}, membership.Member{ID: routerID(0), Incarnation: 1})
	fresh.SetCandidates(0, candidates(8))
	fresh.SetCandidates(0, nil)
	if l := fresh.View().Listed(); l != 8 {
		t.Fatalf("an empty list makes a majority of %d", l)
	}
	lists := map[string][]membership.Candidate{
		"empty": nil, "short": {{ID: routerID(1)}}, "wrong": {{ID: "ghost-1"}, {ID: "ghost-2"}, {ID: ""}},
	}
	for title, list := range lists {
		s := settled(t, 9)
		for _, nd := range s.nodes {
			nd.d.SetCandidates(s.now, list)
		}
		s.run(15 * time.Second)
		if !s.allSee(8) {
			t.Fatalf("%s list changed the view", title)
		}
		if _, ok := s.nodes[0].d.View().Member("ghost-1"); ok {
			t.Fatal("a listed VM that never answered is a member")
		}
	}
}

// Guards against routers declared dead while packets get lost: at 5 % loss, no death and few suspicions.
func TestLossCausesNoDeath(t *testing.T) {
	s := settled(t, 12)
	s.loss = 0.05
	s.measured = 0
	const minutes = 10
	suspicions := 0
	was := map[[2]int]bool{}
	for range minutes * 60 * 10 {
		s.run(tick)
		for by := range s.nodes {
			for of := range s.nodes {
				state := s.state(of, by)
				if state == membership.Dead {
					t.Fatalf("node %d declared node %d dead at %v", by, of, s.now)
				}
				if state == membership.Suspect && !was[[2]int{by, of}] {
					suspicions++
				}
				was[[2]int{by, of}] = state == membership.Suspect
			}
		}
	}
	t.Logf("%d suspicions seen in %d minutes of 8 routers", suspicions, minutes)
}

// Guards against a graceful stop that others notice only by silence, and against a member that leaves being kept by old
// news.
func TestLeave(t *testing.T) {
	s := settled(t, 13)
	nd := s.nodes[4]
	s.send(nd, nd.d.Leave(s.now))
	s.run(10 * time.Millisecond)
	if s.state(4, 0) != membership.Left || s.state(4, 7) != membership.Left {
		t.Fatalf("state after leaving: %v", s.state(4, 0))
	}
	s.run(time.Second) // it hears that it left, and must not refute that
	nd.down = true
	if !s.allSee(7) {
		t.Fatal("a member that left is live")
	}
	s.run(30 * time.Second)
	if !s.allSee(7) {
		t.Fatal("the member came back")
	}
	if l := s.nodes[0].d.View().Listed(); l != 8 {
		t.Fatalf("listed %d", l)
	}
	old := membership.New(membership.Options{Seed: 1}, membership.Member{ID: "a", Incarnation: 3})
	old.Leave(0)
	p := membership.Packet{Kind: membership.Ping, From: membership.Member{ID: "b", Incarnation: 1, State: membership.Alive}}
	p.Updates = []membership.Update{{Member: membership.Member{ID: "a", Incarnation: 9, State: membership.Alive}}}
	if old.Receive(0, "b", p); old.SelfIncarnation() != 3 {
		t.Error("a process that leaves contradicts its successor")
	}
}

// Guards against a broken link that does not speed up detection, and against one that condemns a member that answers.
func TestProbeAfterBrokenLink(t *testing.T) {
	s := settled(t, 15)
	s.send(s.nodes[0], s.nodes[0].d.Probe(s.now, routerID(2)))
	s.run(4 * time.Second)
	if !s.allSee(8) {
		t.Fatal("a member that answers was removed")
	}
	s.nodes[3].down = true
	for _, nd := range s.nodes[:3] {
		s.send(nd, nd.d.Probe(s.now, routerID(3)))
	}
	if took := s.until(4*time.Second, "detection", func() bool { return s.allSee(7) }); took > 2300*time.Millisecond {
		t.Errorf("detection took %v", took)
	}
}

// Guards against draining and generation that others learn late or not at all.
func TestSelfChangesSpread(t *testing.T) {
	s := settled(t, 14)
	s.nodes[6].d.SetSelf(true, 9, 77)
	s.until(2*time.Second, "draining, generation and load at all", func() bool {
		for _, nd := range s.nodes {
			m, _ := nd.d.View().Member(routerID(6))
			if !m.Draining || m.Generation != 9 || m.Load != 77 || m.CallerAddr == "" {
				return false
			}
		}
		return true
	})
	s.nodes[6].d.SetSelf(false, 10, 0)
	s.until(2*time.Second, "end of draining at all", func() bool {
		for _, nd := range s.nodes {
			if m, _ := nd.d.View().Member(routerID(6)); m.Draining || m.Generation != 10 {
				return false
			}
		}
		return true
	})
}

// Guards against forged or broken statements: a packet in another's name, a flood of updates, and an incarnation that
// leaves no room for a higher one.
func TestIgnoresBadPackets(t *testing.T) {
	d := membership.New(membership.Options{Seed: 1}, membership.Member{ID: "a", Incarnation: 3})
	alive := membership.Member{ID: "b", Incarnation: 1, State: membership.Alive}
	for title, p := range map[string]membership.Packet{
		"another's name":  {Kind: membership.Ping, From: membership.Member{ID: "c", Incarnation: 1, State: membership.Alive}},
		"too many":        {Kind: membership.Ping, From: alive, Updates: make([]membership.Update, 9)},
		"own death":       {Kind: membership.Ping, From: membership.Member{ID: "b", Incarnation: 1, State: membership.Dead}},
		"top incarnation": {Kind: membership.Ping, From: membership.Member{ID: "b", Incarnation: 1 << 62, State: membership.Alive}},
	} {
		if out := d.Receive(0, "b", p); out != nil || len(d.View().Live()) != 1 {
			t.Errorf("%s: answered %v", title, out)
		}
	}
	p := membership.Packet{Kind: membership.Ping, From: alive}
	p.Updates = []membership.Update{{Member: membership.Member{ID: "a", Incarnation: 1 << 62, State: membership.Dead}}}
	d.Receive(0, "b", p)
	if d.SelfIncarnation() != 3 {
		t.Errorf("incarnation %d", d.SelfIncarnation())
	}
	p.Updates[0].Member = membership.Member{ID: "a", Incarnation: 3, Version: math.MaxUint32, State: membership.Dead}
	out := d.Receive(0, "b", p)
	if from := out[0].Packet.From; from.Incarnation != 4 || from.Version != 0 {
		t.Errorf("the top version was refuted with %+v", from)
	}
}

// Guards against duplicated and late acks that count as fresh signs of life.
func TestLateAcks(t *testing.T) {
	d := membership.New(membership.Options{Seed: 1}, membership.Member{ID: "a", Incarnation: 3})
	d.SetCandidates(0, []membership.Candidate{{ID: "a"}, {ID: "b"}, {ID: "c"}})
	out := d.Tick(0)
	ack := membership.Packet{Kind: membership.Ack, From: membership.Member{ID: "b", Incarnation: 1, State: membership.Alive}}
	for _, o := range out {
		ack.Seq = o.Packet.Seq
		ack.From.ID = o.To
		if o.To == "b" {
			d.Receive(time.Millisecond, o.To, ack)
		}
		d.Receive(20*time.Second, o.To, ack)
	}
	d.Tick(20 * time.Second)
	if n := d.View().HeardSince(20*time.Second, 4*time.Second); n != 1 || len(out) != 2 {
		t.Errorf("heard %d with a late duplicate from b and a late ack from c", n)
	}
}

// Guards against a broken path between two routers that makes either suspect the other while all others reach both.
func TestBrokenPathIsNotAFailure(t *testing.T) {
	s := settled(t, 16)
	s.cut = func(a, b ident.RouterID) bool { return min(a, b) == routerID(0) && max(a, b) == routerID(1) }
	for range 600 {
		s.run(tick / 2)
		if s.state(0, 1) != membership.Alive || s.state(1, 0) != membership.Alive {
			t.Fatalf("suspected at %v", s.now)
		}
	}
}
