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
	// recordOverhead is the size of the length, the MAC and the frame's list header around one packet, in bytes.
	recordOverhead = 11
	// handshakeBytes is the number of bytes that each end sends to open a connection.
	handshakeBytes = 150
	// idleTimeout is the time after which an unused connection closes. A new connection must send all names again.
	idleTimeout = time.Minute
)

// node is a simulated router.
type node struct {
	id       ident.RouterID
	detector *membership.Detector
	down     bool
	paused   bool
	// inbox holds the packets that arrived while the node was paused.
	inbox []event
	// sent and bytes count the packets and bytes sent.
	sent  int
	bytes int
}

// event is a packet in transit, or a tick if the packet is nil.
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

// sim runs detectors over an in-memory network in simulated time.
type sim struct {
	t     *testing.T
	now   time.Duration
	rand  *rand.Rand
	order int
	queue queue
	nodes []*node
	byID  map[ident.RouterID]*node
	// partitioned reports whether the network drops all packets between two nodes.
	partitioned func(a, b ident.RouterID) bool
	// loss is the probability that a packet is lost.
	loss float64
	// measured is the number of nodes, from the first, whose packets pass through the codec and are counted in bytes.
	measured int
	links    map[[2]ident.RouterID]*link
	conns    map[[2]ident.RouterID]*conn
	// opened counts the connections opened.
	opened int
}

// link is the codec of one direction of a connection. Only measured senders have one.
type link struct {
	enc *peer.Encoder
	dec *peer.Decoder
	// opened is when the connection was opened.
	opened time.Duration
}

// conn is a connection of two nodes, with the times at which it was opened and last used.
type conn struct{ opened, used time.Duration }

func routerID(i int) ident.RouterID { return ident.RouterID(fmt.Sprintf("router-%03d", i)) }

// newSim returns a simulation of n routers that all have the full VM list.
func newSim(t *testing.T, n int, seed uint64) *sim {
	s := &sim{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), byID: map[ident.RouterID]*node{}, measured: n,
		partitioned: func(a, b ident.RouterID) bool { return false },
		links:       map[[2]ident.RouterID]*link{}, conns: map[[2]ident.RouterID]*conn{},
	}
	for i := range n {
		nd := &node{id: routerID(i)}
		s.nodes = append(s.nodes, nd)
		s.byID[nd.id] = nd
		s.startNode(nd, ident.Incarnation(1_790_000_000_000+uint64(i)))
		nd.detector.SetCandidates(0, candidates(n))
		s.push(event{at: time.Duration(s.rand.Int64N(int64(tick))), to: nd.id})
	}
	return s
}

// startNode gives a node a new detector.
func (s *sim) startNode(nd *node, inc ident.Incarnation) {
	nd.detector = membership.New(membership.Options{Seed: s.rand.Uint64() | 1}, membership.Member{
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

// run advances the simulated time by d.
func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		s.handle(e)
	}
	s.now = end
}

// runUntil advances the simulated time until a condition holds, and returns how long that took and whether it held
// within the limit.
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
			s.send(nd, nd.detector.Tick(s.now))
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
	s.send(nd, nd.detector.Receive(s.now, e.from, *e.packet))
}

// resume ends a node's pause and delivers the packets that its socket buffers received meanwhile.
func (s *sim) resume(nd *node) {
	nd.paused = false
	inbox := nd.inbox
	nd.inbox = nil
	for _, e := range inbox {
		s.send(nd, nd.detector.Receive(s.now, e.from, *e.packet))
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
		if s.partitioned(nd.id, o.To) || s.rand.Float64() < s.loss {
			continue
		}
		latency := time.Millisecond + time.Duration(s.rand.Int64N(int64(time.Millisecond)))
		s.push(event{at: s.now + latency, from: nd.id, to: o.To, packet: &packet})
	}
}

// encode encodes and decodes the packet on the connection of two nodes, which it opens if needed, and counts its bytes.
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

// connect returns when the current connection of two nodes was opened, and opens one if there is none.
func (s *sim) connect(a, b *node) time.Duration {
	key := [2]ident.RouterID{min(a.id, b.id), max(a.id, b.id)}
	c := s.conns[key]
	if c == nil || s.now-c.used > idleTimeout {
		c = &conn{opened: s.now}
		s.conns[key] = c
		a.bytes += handshakeBytes
		b.bytes += handshakeBytes
		s.opened++
	}
	c.used = s.now
	return c.opened
}

// link returns the codec of one direction of the current connection of two nodes.
func (s *sim) link(from, to *node, opened time.Duration) *link {
	key := [2]ident.RouterID{from.id, to.id}
	l := s.links[key]
	if l == nil || l.opened != opened {
		a := peer.Endpoint{Router: from.id, Incarnation: from.detector.SelfIncarnation()}
		b := peer.Endpoint{Router: to.id, Incarnation: to.detector.SelfIncarnation()}
		l = &link{enc: peer.NewEncoder(a, b), dec: peer.NewDecoder(a, b), opened: opened}
		s.links[key] = l
	}
	return l
}

// allSee reports whether all nodes that are not down see exactly n live members.
func (s *sim) allSee(n int) bool {
	for _, nd := range s.nodes {
		if !nd.down && len(nd.detector.View().Live()) != n {
			return false
		}
	}
	return true
}
