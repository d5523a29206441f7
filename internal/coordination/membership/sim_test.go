package membership_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/membership"
	"gooseberrytide.example/gooseberrytide/internal/protocol/peer"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

const (
	tick = 100 * time.Millisecond
	// recordOverhead is the length, the MAC and the frame's list header around one packet, in bytes.
	recordOverhead = 11
	// handshakeBytes is what each end sends to open a link.
	handshakeBytes = 150
	// idleTimeout closes links, which then forget the names they carried.
	idleTimeout = time.Minute
)

// node is a router of the simulation.
type node struct {
	id     ident.RouterID
	d      *membership.Detector
	down   bool
	paused bool
	inbox  []event
	sent   int
	bytes  int
}

// event is a packet on its way, or a tick when the packet is nil.
type event struct {
	at     time.Duration
	order  int
	from   ident.RouterID
	to     ident.RouterID
	packet *membership.Packet
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// sim runs detectors over an in-memory network with explicit time.
type sim struct {
	t     *testing.T
	now   time.Duration
	rand  *rand.Rand
	order int
	queue queue
	nodes []*node
	byID  map[ident.RouterID]*node
	// cut reports whether the network drops packets of a pair.
	cut  func(a, b ident.RouterID) bool
	loss float64
	// measured nodes send their packets through the codec.
	measured int
	links    map[[2]ident.RouterID]*link
	conns    map[[2]ident.RouterID]*conn
	// opens counts connections.
	opens int
}

// link is the codec of one direction of a connection. Only measured senders have one.
type link struct {
	enc *peer.Encoder
	dec *peer.Decoder
	// opened is when the connection was opened.
	opened time.Duration
}

// conn is a connection of a pair.
type conn struct{ opened, used time.Duration }

func routerID(i int) ident.RouterID { return ident.RouterID(fmt.Sprintf("router-%03d", i)) }

// newSim returns n routers that all have the full VM list.
func newSim(t *testing.T, n int, seed uint64) *sim {
	s := &sim{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), byID: map[ident.RouterID]*node{}, measured: n,
		cut:   func(a, b ident.RouterID) bool { return false },
		links: map[[2]ident.RouterID]*link{}, conns: map[[2]ident.RouterID]*conn{},
	}
	for i := range n {
		nd := &node{id: routerID(i)}
		s.nodes = append(s.nodes, nd)
		s.byID[nd.id] = nd
		s.start(nd, ident.Incarnation(1_790_000_000_000+uint64(i)))
		nd.d.SetCandidates(0, candidates(n))
		s.push(event{at: time.Duration(s.rand.Int64N(int64(tick))), to: nd.id})
	}
	return s
}

// start gives a node an empty detector.
func (s *sim) start(nd *node, inc ident.Incarnation) {
	nd.d = membership.New(membership.Options{Seed: s.rand.Uint64() | 1}, membership.Member{
		ID: nd.id, Incarnation: inc, Generation: 7, Domain: "fd-1",
		PeerAddr: fmt.Sprintf("10.0.0.%s:7400", nd.id[7:]), CallerAddr: fmt.Sprintf("10.0.0.%s:8080", nd.id[7:]),
	})
}

func candidates(n int) []membership.Candidate {
	var list []membership.Candidate
	for i := range n {
		list = append(list, membership.Candidate{ID: routerID(i)})
	}
	return list
}

func (s *sim) push(e event) {
	s.order++
	e.order = s.order
	heap.Push(&s.queue, e)
}

// run advances time.
func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		s.handle(e)
	}
	s.now = end
}

// runUntil advances time until a condition holds, and returns how long that took.
func (s *sim) runUntil(limit time.Duration, ok func() bool) (time.Duration, bool) {
	start := s.now
	for s.now-start < limit {
		if ok() {
			return s.now - start, true
		}
		s.run(tick / 2)
	}
	return limit, ok()
}

func (s *sim) handle(e event) {
	nd := s.byID[e.to]
	if e.packet == nil {
		s.push(event{at: s.now + tick, to: nd.id})
		if !nd.down && !nd.paused {
			s.send(nd, nd.d.Tick(s.now))
		}
		return
	}
	if nd.down {
		return
	}
	if nd.paused {
		nd.inbox = append(nd.inbox, e)
		return
	}
	s.send(nd, nd.d.Receive(s.now, e.from, *e.packet))
}

// resume wakes a paused node: its socket buffers hold what arrived meanwhile.
func (s *sim) resume(nd *node) {
	nd.paused = false
	inbox := nd.inbox
	nd.inbox = nil
	for _, e := range inbox {
		s.send(nd, nd.d.Receive(s.now, e.from, *e.packet))
	}
}

func (s *sim) send(nd *node, list []membership.Outbound) {
	for _, o := range list {
		to := s.byID[o.To]
		if to == nil {
			continue
		}
		nd.sent++
		packet := s.encode(nd, to, o.Packet)
		if s.cut(nd.id, o.To) || s.rand.Float64() < s.loss {
			continue
		}
		latency := time.Millisecond + time.Duration(s.rand.Int64N(int64(time.Millisecond)))
		s.push(event{at: s.now + latency, from: nd.id, to: o.To, packet: &packet})
	}
}

// encode passes the packet through the codec of the link, opening one if needed, and counts its bytes.
func (s *sim) encode(from, to *node, p membership.Packet) membership.Packet {
	opened := s.connect(from, to)
	if from.id >= routerID(s.measured) {
		return p
	}
	l := s.link(from, to, opened)
	size, err := l.enc.Add(peer.Envelope{Membership: &p})
	if err != nil {
		s.t.Fatalf("%s to %s: %v", from.id, to.id, err)
	}
	data, err := l.enc.Take()
	if err != nil {
		s.t.Fatal(err)
	}
	frame, err := l.dec.Decode(data)
	if err != nil {
		s.t.Fatal(err)
	}
	from.bytes += size + recordOverhead
	return *frame.Envelopes[0].Membership
}

// connect returns when the open connection of a pair was opened, and opens one if there is none.
func (s *sim) connect(a, b *node) time.Duration {
	key := [2]ident.RouterID{min(a.id, b.id), max(a.id, b.id)}
	c := s.conns[key]
	if c == nil || s.now-c.used > idleTimeout {
		c = &conn{opened: s.now}
		s.conns[key] = c
		a.bytes += handshakeBytes
		b.bytes += handshakeBytes
		s.opens++
	}
	c.used = s.now
	return c.opened
}

// link returns the codec of one direction of the pair's open connection.
func (s *sim) link(from, to *node, opened time.Duration) *link {
	key := [2]ident.RouterID{from.id, to.id}
	l := s.links[key]
	if l == nil || l.opened != opened {
		a := peer.Party{Router: from.id, Incarnation: from.d.SelfIncarnation()}
		b := peer.Party{Router: to.id, Incarnation: to.d.SelfIncarnation()}
		l = &link{enc: peer.NewEncoder(a, b), dec: peer.NewDecoder(a, b), opened: opened}
		s.links[key] = l
	}
	return l
}

// allSee reports whether all running nodes have exactly n live members.
func (s *sim) allSee(n int) bool {
	for _, nd := range s.nodes {
		if !nd.down && len(nd.d.View().Live()) != n {
			return false
		}
	}
	return true
}
