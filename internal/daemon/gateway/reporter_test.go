package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/discovery"
	"gooseberrytide.example/gooseberrytide/internal/coordination/gossip"
	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
	"gooseberrytide.example/gooseberrytide/platform"
)

// reportFleet is a fleet of routers that only exchange reports, over a network without delay.
type reportFleet struct {
	g     Gomega
	nodes map[string]*Node
	stop  map[string]context.CancelFunc
	// registered holds the entries of the store.
	registered map[string]discovery.Router
	// prepare is called for each router before it runs, if it is set.
	prepare func(context.Context, *Node)

	mu        sync.Mutex
	byAddress map[netip.AddrPort]*Node
	datagrams int
	bytes     int
	// remoteBytes is the part of bytes between failure domains.
	remoteBytes int
	// lost reports whether a datagram between two routers is lost, if it is set.
	lost func(from, to string) bool
}

// largeCores are the CPU cores of the first five routers of a reportFleet; the others have smallerCores.
const (
	largeCores   = 0.8
	smallerCores = 0.2
)

func newReportFleet(g Gomega, size int) *reportFleet {
	return newPreparedReportFleet(g, size, nil)
}

func newPreparedReportFleet(g Gomega, size int, prepare func(context.Context, *Node)) *reportFleet {
	f := &reportFleet{
		g: g, prepare: prepare, nodes: make(map[string]*Node), stop: make(map[string]context.CancelFunc),
		registered: make(map[string]discovery.Router), byAddress: make(map[netip.AddrPort]*Node),
	}
	for i := range size {
		cores := smallerCores
		if i < 5 {
			cores = largeCores
		}
		f.start(fmt.Sprintf("r-%03d", i), cores)
	}
	f.publish()
	return f
}

// start starts a router, which gets no entry in the others' lists until publish.
func (f *reportFleet) start(name string, cores float64) {
	number := len(f.registered) + 1
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(number >> 8), byte(number)}), 7000)
	if known, ok := f.registered[name]; ok {
		address = known.PeerAddress
	}
	settings := &platform.Settings{
		Router: name, FailureDomain: "a", IP: address.Addr(), PeerPort: int(address.Port()), MemoryBytes: 1 << 28, Cores: cores,
		CallerListen: address.String(),
	}
	n, err := New(settings, zap.NewNop())
	f.g.Expect(err).NotTo(HaveOccurred())
	n.runQueueDelay = noDelay{}
	n.transmit = func(to netip.AddrPort, data []byte) { f.deliver(address, to, data) }
	f.nodes[name] = n
	f.registered[name] = discovery.Router{ID: name, PeerAddress: address, Incarnation: n.incarnation}
	f.mu.Lock()
	f.byAddress[address] = n
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	f.stop[name] = cancel
	if f.prepare != nil {
		f.prepare(ctx, n)
	}
	go newReporter(n).run(ctx)
	go periodic.Run(ctx, time.Second, func() { sendCheck(n) })
}

// sendCheck sends a request that only checks the configuration, as callers do at each router.
func sendCheck(n *Node) {
	r := httptest.NewRequest(http.MethodGet, "http://check.example/", nil)
	n.gateway.ServeHTTP(httptest.NewRecorder(), r)
}

// publish makes the store's entries known to all routers.
func (f *reportFleet) publish() {
	for _, n := range f.nodes {
		list := make(map[string]discovery.Router, len(f.registered))
		for id, r := range f.registered {
			list[id] = r
		}
		n.routers.Store(&list)
	}
}

func (f *reportFleet) deliver(from, to netip.AddrPort, data []byte) {
	f.mu.Lock()
	f.datagrams++
	f.bytes += len(data)
	n, sender, lost := f.byAddress[to], f.byAddress[from], f.lost
	if n != nil && sender != nil && n.settings.FailureDomain != sender.settings.FailureDomain {
		f.remoteBytes += len(data)
	}
	f.mu.Unlock()
	if n != nil && sender != nil && lost != nil && lost(sender.settings.Router, n.settings.Router) {
		return
	}
	if n != nil {
		n.onDatagram(from, data)
	}
}

// kill ends a router without notice. Its entry stays.
func (f *reportFleet) kill(name string) {
	f.stop[name]()
	f.mu.Lock()
	delete(f.byAddress, f.registered[name].PeerAddress)
	f.mu.Unlock()
	delete(f.nodes, name)
}

func (f *reportFleet) killAll() {
	for name := range f.nodes {
		f.kill(name)
	}
}

// relays returns the routers that count themselves among the relays.
func (f *reportFleet) relays() []string {
	var list []string
	for name, n := range f.nodes {
		if n.chooseRelays(time.Now())[name] {
			list = append(list, name)
		}
	}
	return list
}

// datagramsPerSecond returns the mean number of datagrams that a router sends per second.
func (f *reportFleet) datagramsPerSecond() float64 {
	const window = 20 * time.Second
	f.mu.Lock()
	before := f.datagrams
	f.mu.Unlock()
	time.Sleep(window)
	f.mu.Lock()
	defer f.mu.Unlock()
	return float64(f.datagrams-before) / window.Seconds() / float64(len(f.nodes))
}

// expectAllLive checks that each router knows all others and none else.
func (f *reportFleet) expectAllLive() {
	for name, n := range f.nodes {
		live := n.peers.Live(time.Now())
		f.g.Expect(live).To(HaveLen(len(f.nodes)-1), "at %s", name)
		for _, p := range live {
			f.g.Expect(f.nodes).To(HaveKey(p.Router))
		}
	}
}

// contactTime is the time after which the platform expects routers to know of a loss.
const contactTime = 5 * time.Second

// settleTime is enough for all routers to hear of one another.
const settleTime = 3 * time.Second

// Guards against reports whose number grows with the square of the fleet, also if each router gets a few requests: they
// took most of the processor time of a fleet of 295, and half of the bytes between its failure domains.
func TestReportsGrowWithTheFleet(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		perRouter := make(map[int]float64)
		for _, size := range []int{gossip.RelayedFleet + 8, 4 * (gossip.RelayedFleet + 8)} {
			f := newReportFleet(g, size)
			defer f.killAll()
			time.Sleep(settleTime)
			f.expectAllLive()
			perRouter[size] = f.datagramsPerSecond()
			f.expectAllLive()
			direct := float64(size-1) / gossip.MaxPeriod.Seconds()
			g.Expect(perRouter[size]).To(BeNumerically("<", direct/4), "%d routers", size)
			f.killAll()
		}
		small, large := perRouter[gossip.RelayedFleet+8], perRouter[4*(gossip.RelayedFleet+8)]
		g.Expect(large).To(BeNumerically("<", 3*small))
	})
}

// Load pattern: all routers of three failure domains place requests. Guards against reports that take most of the scarce
// traffic between domains, and against routers that count as lost because of the rarer reports.
func TestReportsBetweenDomainsAreRare(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		remoteBytes := func(domainAware bool) float64 {
			number := 0
			f := newPreparedReportFleet(g, gossip.RelayedFleet+8, func(ctx context.Context, n *Node) {
				n.settings.FailureDomain = fmt.Sprintf("domain-%d", number%3)
				n.settings.DomainAware = domainAware
				number++
				go periodic.Run(ctx, 50*time.Millisecond, func() { sendCheck(n) })
			})
			defer f.killAll()
			time.Sleep(settleTime)
			f.mu.Lock()
			before := f.remoteBytes
			f.mu.Unlock()
			for range 20 {
				time.Sleep(500 * time.Millisecond)
				f.expectAllLive()
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			return float64(f.remoteBytes - before)
		}
		g.Expect(remoteBytes(true)).To(BeNumerically("<", 0.6*remoteBytes(false)))
	})
}

// Guards against a fleet that falls apart because the relays are lost at once, and against lost routers that stay in the
// directory for more than three seconds.
func TestLossOfAllRelays(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newReportFleet(g, 60)
		defer f.killAll()
		time.Sleep(settleTime)
		for range 3 {
			relays := f.relays()
			g.Expect(relays).NotTo(BeEmpty())
			for _, relay := range relays {
				f.kill(relay)
			}
			time.Sleep(3 * time.Second)
			for range 20 {
				f.expectAllLive()
				time.Sleep(100 * time.Millisecond)
			}
		}
	})
}

// Guards against routers that are not known for long after a restart of many of them.
func TestRestartOfMostRouters(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newReportFleet(g, 60)
		defer f.killAll()
		time.Sleep(settleTime)
		for i := range 45 {
			f.kill(fmt.Sprintf("r-%03d", i))
		}
		time.Sleep(contactTime)
		f.expectAllLive()
		for i := range 45 {
			f.start(fmt.Sprintf("r-%03d", i), smallerCores)
		}
		f.publish()
		time.Sleep(settleTime)
		f.expectAllLive()
	})
}

// Guards against a router that gets requests and does not know the loads that the others put on the engines, and against
// loads that are sent to routers without requests.
func TestLoadsGoToRoutersWithRequests(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newReportFleet(g, 60)
		defer f.killAll()
		time.Sleep(settleTime)
		synctest.Wait() // the router's own reporter may be due now, too
		busy := f.nodes["r-050"]
		for _, p := range busy.peers.Live(time.Now()) {
			ready := *p.Report
			ready.Seq++
			ready.Ready = true
			busy.handleReport(&ready)
		}
		report := gossip.Report{Router: "r-050", Incarnation: busy.incarnation, Rate: 40, Teams: []gossip.TeamUsage{{Team: "t", Served: 7}}}
		s := newReporter(busy)
		s.seq += 1 << 40
		s.send(&report, time.Now())
		reached := 0
		for _, n := range f.nodes {
			for _, p := range n.peers.Live(time.Now()) {
				if p.Router == "r-050" && len(p.Teams) > 0 {
					reached++
				}
			}
		}
		g.Expect(reached).To(BeNumerically(">=", standbyCount))
		g.Expect(reached).To(BeNumerically("<", len(f.nodes)/2))
	})
}
