package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/coordination/freshness"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/coordination/retry"
	"gooseberrytide.example/gooseberrytide/internal/protocol/datagrams"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
	"gooseberrytide.example/gooseberrytide/internal/transport/gateway"
	"gooseberrytide.example/gooseberrytide/internal/transport/upstream"
	"gooseberrytide.example/gooseberrytide/test/standin/platformengine"
)

const (
	plainService    = "app"
	plainServerWork = 17 * time.Millisecond
	plainSlots      = 6
)

// pipeListener accepts connections that are pipes within the process.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.accepted <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// plainServers are the servers of a plain service. Each request takes plainServerWork.
type plainServers struct {
	set       *backends.Set
	listeners map[string]*pipeListener
	servers   []*http.Server
	engines   []*platformengine.Engine
}

func startPlainServers(count int) *plainServers {
	p := &plainServers{listeners: make(map[string]*pipeListener)}
	var list []*backends.Server
	for i := range count {
		id := fmt.Sprintf("i-%d", i)
		address := fmt.Sprintf("10.0.0.%d:80", i+1)
		engine := platformengine.New(id)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(plainServerWork)
			engine.ServeHTTP(w, r)
		})}
		listener := newPipeListener()
		go func() { _ = server.Serve(listener) }()
		p.listeners[address] = listener
		p.servers = append(p.servers, server)
		p.engines = append(p.engines, engine)
		list = append(list, &backends.Server{
			ID: id, Service: plainService, Address: address, FailureDomain: "a", Slots: plainSlots,
		})
	}
	p.set = backends.NewSet(list)
	return p
}

func (p *plainServers) close() {
	for _, s := range p.servers {
		_ = s.Close()
	}
}

// serve lets a router serve the requests of a route to the plain service, and assigns the owners of loads.
func (p *plainServers) serve(ctx context.Context, n *Node) {
	table := routing.NewTable(&routing.Config{
		Version: 1,
		Routes: []routing.Route{{
			Name: "callout", Host: "shed.example", PathPrefix: "/", Timeout: 800 * time.Millisecond,
			Objective: 120 * time.Millisecond, MaxAttempts: 1, Anonymous: true,
			Targets: []routing.Target{{Service: plainService, Weight: 1}},
		}},
		Services: []routing.Service{{Name: plainService}},
		Limits:   routing.Limits{MaxBodyBytes: 1000},
	})
	n.gateway = gateway.New(gateway.Options{
		Poison:  n.poison.guard,
		Routing: &n.routing, Proof: n.proof, MaxConfigAge: n.currentKeyMaxConfigAge, SchedulingDelay: n.runQueueDelay.Load,
		Admission: n.admission, RetryBudget: retry.NewWindowBudget(10 * time.Second), Metrics: gateway.NewMetrics(prometheus.NewRegistry()),
		Pool: upstream.New(upstream.Options{Dial: func(_ context.Context, _, address string) (net.Conn, error) {
			return p.listeners[address].dial()
		}}),
		Log: n.log, OnServerLeaving: n.onServerLeaving, OnServerLimit: n.owners.limits.onServerLimit, Account: n.clients.account,
		OutlivedResponse: n.outlivedResponse,
	})
	n.servers.Store(p.set)
	n.onServers(p.set)
	n.routing.Store(table)
	n.proof.Confirm(freshness.BootTime())
	go n.admission.Run(ctx, advancePeriod, advanceIdlePeriod)
	go n.owners.run(ctx)
}

// callCounts counts the answers to calls by status.
type callCounts struct {
	mu       sync.Mutex
	byStatus map[int]int
}

func (c *callCounts) call(n *Node, id int) {
	r := httptest.NewRequest(http.MethodGet, "http://shed.example/x", nil)
	r.Header.Set("Attempt-Id", strconv.Itoa(id))
	w := httptest.NewRecorder()
	n.gateway.ServeHTTP(w, r)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byStatus[w.Code]++
}

// Guards against ended requests that the owners of loads still count: the requests of hundreds of routers that each get
// one now and then filled the servers of a plain service, which used a fifth of their slots, and a fourth of the
// requests was refused.
func TestEndedRequestsOfIdleRoutersFreeTheServers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const (
			routers  = 295
			rate     = 380
			duration = 2 * time.Second
		)
		g := NewWithT(t)
		servers := startPlainServers(5)
		defer servers.close()
		f := newPreparedReportFleet(g, routers, servers.serve)
		defer f.killAll()
		time.Sleep(settleTime)
		random := rand.New(rand.NewPCG(1, 2))
		counts := callCounts{byStatus: make(map[int]int)}
		var calls sync.WaitGroup
		for id := range int(rate * duration.Seconds()) {
			n := f.nodes[fmt.Sprintf("r-%03d", random.IntN(routers))]
			calls.Go(func() { counts.call(n, id) })
			time.Sleep(time.Second / rate)
		}
		calls.Wait()
		g.Expect(counts.byStatus).To(Equal(map[int]int{http.StatusOK: int(rate * duration.Seconds())}))
	})
}

// Guards against a load that an owner counts for a second and more because the message on its end was lost.
func TestLostReleaseIsRepeated(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		servers := startPlainServers(5)
		defer servers.close()
		var lost atomic.Int32
		f := newPreparedReportFleet(g, 40, func(ctx context.Context, n *Node) {
			transmit := n.transmit
			n.transmit = func(to netip.AddrPort, data []byte) {
				if endsLoad(data) && lost.CompareAndSwap(0, 1) {
					return
				}
				transmit(to, data)
			}
			servers.serve(ctx, n)
		})
		defer f.killAll()
		time.Sleep(settleTime)
		counts := callCounts{byStatus: make(map[int]int)}
		counts.call(f.nodes["r-030"], 1)
		g.Expect(counts.byStatus).To(HaveKey(http.StatusOK))
		time.Sleep(2 * flushPeriod)
		g.Expect(lost.Load()).To(BeEquivalentTo(1))
		g.Expect(f.runningAtOwners()).To(Equal(1))
		time.Sleep(2 * resendPeriod)
		g.Expect(f.runningAtOwners()).To(BeZero())
	})
}

// endsLoad reports whether a datagram tells an owner that a router has no load left on a server.
func endsLoad(data []byte) bool {
	message, err := datagrams.Decode(data)
	loads, ok := message.(reservation.Loads)
	return err == nil && ok && slices.ContainsFunc(loads.Parts, func(l reservation.ServerLoad) bool {
		return l.Load == engineload.Load{}
	})
}

// runningAtOwners returns the number of requests that the owners of loads count.
func (f *reportFleet) runningAtOwners() int {
	running := 0
	for _, n := range f.nodes {
		totals, _ := n.owners.totals()
		for _, l := range totals {
			running += l.Load.Running
		}
	}
	return running
}

// Guards against owners of an older version that get a request for a permit which they cannot decode, and against owners of
// this version that do not get it because their reports do not say that they know it.
func TestOnlyOwnersThatKnowYieldingRequestsGetThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newLimitedFleet(g, 3, 1)
		defer f.close()
		plain := reservation.PermitRequest{ID: 7, Router: "r-000"}
		yielding := plain
		yielding.Yields = true
		table := f.nodes["r-000"].owners.table.Load()
		for _, owner := range []string{"r-000", "r-001", "r-002"} {
			g.Expect(table.permitRequest(owner, yielding)).To(Equal(reservation.YieldingPermitRequest{Request: yielding}), owner)
			g.Expect(table.permitRequest(owner, plain)).To(Equal(plain), owner)
		}
		older := f.nodes["r-000"].owners.newTable(table.servers, []reservation.Candidate{
			{Router: "r-000", KnowsYielding: true}, {Router: "r-001"},
		})
		g.Expect(older.permitRequest("r-001", yielding)).To(BeAssignableToTypeOf(plain))
	})
}
