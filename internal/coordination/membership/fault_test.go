package membership_test

import (
	"math"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/membership"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// newConvergedSim returns a simulation of 8 routers that have converged.
func newConvergedSim(t *testing.T, seed uint64) *sim {
	t.Helper()
	s := newSim(t, 8, seed)
	s.waitUntil(10*time.Second, "convergence", func() bool { return s.allSee(8) })
	s.run(3 * time.Second)
	return s
}

// waitUntil runs until a condition holds, and fails the test if that does not happen within the limit.
func (s *sim) waitUntil(limit time.Duration, what string, ok func() bool) time.Duration {
	s.t.Helper()
	took, done := s.runUntil(limit, ok)
	if !done {
		for _, nd := range s.nodes {
			s.t.Logf("%s sees %d live, stale %v", nd.id, len(nd.detector.View().Live()), nd.detector.View().Stale)
		}
		s.t.Fatalf("timed out waiting for: %s", what)
	}
	return took
}

func (s *sim) stateSeenBy(of, by int) membership.State {
	m, _ := s.nodes[by].detector.View().Member(routerID(of))
	return m.State
}

// Guards against routers that do not find each other after a partition heals because both sides have declared the other
// dead, and against a minority that takes itself for a majority.
func TestPartitionAndRejoin(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		s := newConvergedSim(t, seed)
		s.measured = 2
		side := func(id ident.RouterID) bool { return id < routerID(3) }
		s.partitioned = func(a, b ident.RouterID) bool { return side(a) != side(b) }
		s.run(time.Minute)
		for i, nd := range s.nodes {
			want, majority := 3, false
			if !side(nd.id) {
				want, majority = 5, true
			}
			v := nd.detector.View()
			if len(v.Live()) != want || v.HasMajority(s.now, 4*time.Second) != majority {
				t.Fatalf("node %d: %d live, %d of %d answered", i, len(v.Live()), v.AnsweredWithin(s.now, 4*time.Second),
					v.VoterCount())
			}
		}
		s.partitioned = func(a, b ident.RouterID) bool { return false }
		s.waitUntil(10*time.Second, "rejoin", func() bool { return s.allSee(8) })
		for i, nd := range s.nodes {
			if got := nd.detector.SelfIncarnation(); got != ident.Incarnation(1_790_000_000_000+uint64(i)) {
				t.Fatalf("node %d changed its incarnation to %d, which orphans its requests", i, got)
			}
		}
	}
}

// Guards against routers that find each other after a partition only with the VM list.
func TestRejoinWithoutList(t *testing.T) {
	s := newConvergedSim(t, 4)
	for _, nd := range s.nodes {
		nd.detector.SetCandidates(s.now, []membership.Candidate{{ID: nd.id}})
	}
	s.partitioned = func(a, b ident.RouterID) bool { return (a == routerID(0)) != (b == routerID(0)) }
	s.run(time.Minute)
	if s.nodes[0].detector.View().HasMajority(s.now, 4*time.Second) {
		t.Fatal("a partitioned router that is alone in its VM list takes itself for a majority")
	}
	s.partitioned = func(a, b ident.RouterID) bool { return false }
	s.waitUntil(10*time.Second, "rejoin", func() bool { return s.allSee(8) })
}

// Guards against a restarted router that is mistaken for its earlier process, also when its clock went back.
func TestRestartWithoutState(t *testing.T) {
	for title, inc := range map[string]ident.Incarnation{"clock ahead": 1_800_000_000_000, "clock back": 5} {
		s := newConvergedSim(t, 2)
		nd := s.nodes[2]
		before := nd.detector.SelfIncarnation()
		nd.down = true
		s.run(300 * time.Millisecond)
		nd.down = false
		s.startNode(nd, inc)
		nd.detector.SetCandidates(s.now, candidates(8))
		if !nd.detector.View().Stale {
			t.Fatal("the view of a restarted router is not stale")
		}
		s.waitUntil(6*time.Second, title, func() bool {
			for _, other := range s.nodes {
				m, ok := other.detector.View().Member(nd.id)
				if !ok || m.Incarnation <= before || m.State != membership.Alive || m.Incarnation != nd.detector.SelfIncarnation() {
					return false
				}
			}
			return s.allSee(8) && !nd.detector.View().Stale
		})
	}
}

// Guards against a router that is not found after a restart without state while the VM list is not available.
func TestRestartWithoutStateOrList(t *testing.T) {
	s := newConvergedSim(t, 3)
	nd := s.nodes[5]
	s.startNode(nd, 1_800_000_000_000)
	s.waitUntil(6*time.Second, "others find the router", func() bool { return s.allSee(8) && !nd.detector.View().Stale })
}

// Guards against a paused process that acts on its old view, that takes the packets in its socket buffers for recent
// answers, or that declares the others dead because it received nothing.
func TestPausedProcess(t *testing.T) {
	s := newConvergedSim(t, 6)
	nd := s.nodes[1]
	nd.paused = true
	s.waitUntil(4*time.Second, "detection of the pause", func() bool { return s.stateSeenBy(1, 0) == membership.Dead })
	s.run(30 * time.Second)
	s.partitioned = func(a, b ident.RouterID) bool { return a == nd.id || b == nd.id }
	s.resume(nd)
	answered := nd.detector.View().AnsweredWithin(s.now, 4*time.Second)
	s.run(tick)
	if v := nd.detector.View(); !v.Stale || answered > 1 {
		t.Fatalf("after the pause: stale %v, %d answered", v.Stale, answered)
	}
	s.run(time.Second)
	if !nd.detector.View().Stale {
		t.Fatal("the view became current without an answer from another router")
	}
	s.partitioned = func(a, b ident.RouterID) bool { return false }
	s.waitUntil(10*time.Second, "recovery", func() bool { return s.allSee(8) && !nd.detector.View().Stale })
}

// Guards against a process that suspects others because of its own pause.
func TestPausedProcessSuspectsNoOther(t *testing.T) {
	s := newConvergedSim(t, 8)
	nd := s.nodes[1]
	nd.paused = true
	s.run(5 * time.Second)
	s.resume(nd)
	for range 40 {
		s.run(tick / 2)
		for i := range s.nodes {
			if i != 1 && s.stateSeenBy(i, 0) != membership.Alive {
				t.Fatalf("node %d is %v", i, s.stateSeenBy(i, 0))
			}
		}
	}
}

// Guards against VM lists that are empty, too short or wrong: they must not remove members that answer, nor add members
// that do not.
func TestWrongVMList(t *testing.T) {
	fresh := membership.New(membership.Options{Seed: 1}, membership.Member{ID: routerID(0), Incarnation: 1})
	fresh.SetCandidates(0, candidates(8))
	fresh.SetCandidates(0, nil)
	if l := fresh.View().VoterCount(); l != 8 {
		t.Fatalf("%d voters after an empty list", l)
	}
	lists := map[string][]membership.Candidate{
		"empty": nil, "short": {{ID: routerID(1)}}, "wrong": {{ID: "ghost-1"}, {ID: "ghost-2"}, {ID: ""}},
	}
	for title, list := range lists {
		s := newConvergedSim(t, 9)
		for _, nd := range s.nodes {
			nd.detector.SetCandidates(s.now, list)
		}
		s.run(15 * time.Second)
		if !s.allSee(8) {
			t.Fatalf("%s list changed the view", title)
		}
		if _, ok := s.nodes[0].detector.View().Member("ghost-1"); ok {
			t.Fatal("a listed VM that never answered is a member")
		}
	}
}

// Guards against declaring routers dead because of packet loss. At 5 % loss no router may be declared dead; the number
// of suspicions is only logged.
func TestLossCausesNoDeath(t *testing.T) {
	s := newConvergedSim(t, 12)
	s.loss = 0.05
	s.measured = 0
	const minutes = 10
	suspicions := 0
	was := map[[2]int]bool{}
	for range minutes * 60 * 10 {
		s.run(tick)
		for by := range s.nodes {
			for of := range s.nodes {
				state := s.stateSeenBy(of, by)
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

// Guards against a graceful shutdown that others detect only by missing acks, and against old updates that bring back a
// member that left.
func TestLeave(t *testing.T) {
	s := newConvergedSim(t, 13)
	nd := s.nodes[4]
	s.send(nd, nd.detector.Leave(s.now))
	s.run(10 * time.Millisecond)
	if s.stateSeenBy(4, 0) != membership.Left || s.stateSeenBy(4, 7) != membership.Left {
		t.Fatalf("state after leaving: %v", s.stateSeenBy(4, 0))
	}
	s.run(time.Second) // it receives the update that it left, and must not refute it
	nd.down = true
	if !s.allSee(7) {
		t.Fatal("a member that left is live")
	}
	s.run(30 * time.Second)
	if !s.allSee(7) {
		t.Fatal("the member came back")
	}
	if l := s.nodes[0].detector.View().VoterCount(); l != 8 {
		t.Fatalf("%d voters", l)
	}
	old := membership.New(membership.Options{Seed: 1}, membership.Member{ID: "a", Incarnation: 3})
	old.Leave(0)
	p := membership.Packet{
		Kind: membership.Ping, From: membership.Member{ID: "b", Incarnation: 1, State: membership.Alive},
	}
	p.Updates = []membership.Update{{Member: membership.Member{ID: "a", Incarnation: 9, State: membership.Alive}}}
	if old.Receive(0, "b", p); old.SelfIncarnation() != 3 {
		t.Error("a process that leaves refutes its successor")
	}
}

// Guards against a broken connection that does not speed up detection, and against one that removes a member that
// answers.
func TestProbeAfterBrokenLink(t *testing.T) {
	s := newConvergedSim(t, 15)
	s.send(s.nodes[0], s.nodes[0].detector.Probe(s.now, routerID(2)))
	s.run(4 * time.Second)
	if !s.allSee(8) {
		t.Fatal("a member that answers was removed")
	}
	s.nodes[3].down = true
	for _, nd := range s.nodes[:3] {
		s.send(nd, nd.detector.Probe(s.now, routerID(3)))
	}
	if took := s.waitUntil(4*time.Second, "detection", func() bool { return s.allSee(7) }); took > 2300*time.Millisecond {
		t.Errorf("detection took %v", took)
	}
}

// Guards against changes of draining, generation and load that others learn late or not at all.
func TestSelfChangesSpread(t *testing.T) {
	s := newConvergedSim(t, 14)
	s.nodes[6].detector.SetSelf(true, 9, 77)
	s.waitUntil(2*time.Second, "draining, generation and load at all routers", func() bool {
		for _, nd := range s.nodes {
			m, _ := nd.detector.View().Member(routerID(6))
			if !m.Draining || m.Generation != 9 || m.Load != 77 || m.CallerAddr == "" {
				return false
			}
		}
		return true
	})
	s.nodes[6].detector.SetSelf(false, 10, 0)
	s.waitUntil(2*time.Second, "end of draining at all routers", func() bool {
		for _, nd := range s.nodes {
			if m, _ := nd.detector.View().Member(routerID(6)); m.Draining || m.Generation != 10 {
				return false
			}
		}
		return true
	})
}

// Guards against forged or invalid packets: one in the name of another member, too many updates, a sender that reports
// its own death, and incarnations and versions above which there is no higher one.
func TestIgnoresBadPackets(t *testing.T) {
	d := membership.New(membership.Options{Seed: 1}, membership.Member{ID: "a", Incarnation: 3})
	alive := membership.Member{ID: "b", Incarnation: 1, State: membership.Alive}
	for title, p := range map[string]membership.Packet{
		"another's name": {Kind: membership.Ping, From: membership.Member{ID: "c", Incarnation: 1, State: membership.Alive}},
		"too many":       {Kind: membership.Ping, From: alive, Updates: make([]membership.Update, 9)},
		"own death":      {Kind: membership.Ping, From: membership.Member{ID: "b", Incarnation: 1, State: membership.Dead}},
		"top incarnation": {
			Kind: membership.Ping, From: membership.Member{ID: "b", Incarnation: 1 << 62, State: membership.Alive},
		},
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
		t.Errorf("the highest version was refuted with %+v", from)
	}
}

// Guards against duplicate and late acks that count as recent answers.
func TestLateAcks(t *testing.T) {
	d := membership.New(membership.Options{Seed: 1}, membership.Member{ID: "a", Incarnation: 3})
	d.SetCandidates(0, []membership.Candidate{{ID: "a"}, {ID: "b"}, {ID: "c"}})
	out := d.Tick(0)
	ack := membership.Packet{
		Kind: membership.Ack, From: membership.Member{ID: "b", Incarnation: 1, State: membership.Alive},
	}
	for _, o := range out {
		ack.Seq = o.Packet.Seq
		ack.From.ID = o.To
		if o.To == "b" {
			d.Receive(time.Millisecond, o.To, ack)
		}
		d.Receive(20*time.Second, o.To, ack)
	}
	d.Tick(20 * time.Second)
	if n := d.View().AnsweredWithin(20*time.Second, 4*time.Second); n != 1 || len(out) != 2 {
		t.Errorf("%d answered with a late duplicate from b and a late ack from c", n)
	}
}

// Guards against routers that suspect each other because of a broken network path between them, while all others reach
// both.
func TestBrokenPathIsNotAFailure(t *testing.T) {
	s := newConvergedSim(t, 16)
	s.partitioned = func(a, b ident.RouterID) bool { return min(a, b) == routerID(0) && max(a, b) == routerID(1) }
	for range 600 {
		s.run(tick / 2)
		if s.stateSeenBy(0, 1) != membership.Alive || s.stateSeenBy(1, 0) != membership.Alive {
			t.Fatalf("suspected at %v", s.now)
		}
	}
}
