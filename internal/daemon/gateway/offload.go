package gateway

import (
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/balance"
	"gooseberrytide.example/gooseberrytide/internal/transport/offload"
	"gooseberrytide.example/gooseberrytide/internal/transport/sockopt"
)

const (
	// offloadPortOffset is the offset of the port for forwarded connections from the first internal port.
	offloadPortOffset = 2
	// offloadDialTimeout bounds the time to connect to another router. The client waits meanwhile.
	offloadDialTimeout = 150 * time.Millisecond
	// offloadMemoryFraction is the fraction of the memory limit that forwarded connections may take.
	offloadMemoryFraction = 0.2
	// While goroutines wait for the processor, a random fraction of the inspected requests is refused: none up to
	// minRefusalDelay, all from maxRefusalDelay on.
	minRefusalDelay = 20 * time.Millisecond
	maxRefusalDelay = 120 * time.Millisecond
)

// offloader implements offload.Policy: it passes connections on to other routers while this one has more requests than
// its processor can handle.
type offloader struct {
	node         *Node
	inspector    *offload.Inspector
	maxForwarded int
	active       atomic.Bool
	targets      atomic.Pointer[balance.Targets]
	connections  *prometheus.CounterVec
	pauses       prometheus.Counter
	// passed is the number of connections that were forwarded, refused or dropped.
	passed atomic.Int64

	// The remaining fields are used by update only.
	state     balance.Offload
	pause     balance.AcceptPause
	rate      balance.Rate
	lastCount int64
}

var _ offload.Policy = (*offloader)(nil)

func newOffloader(n *Node) *offloader {
	connections := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gooseberrytide_inspected_connections_total",
		Help: "Connections inspected for lack of processor time, by action: served, forwarded, refused, dropped.",
	}, []string{"action"})
	pauses := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "gooseberrytide_accept_pauses_total", Help: "Times that the callers' port was closed for lack of processor time.",
	})
	n.registry.MustRegister(connections, pauses)
	o := &offloader{
		node:         n,
		maxForwarded: int(offloadMemoryFraction * float64(n.settings.MemoryBytes) / offload.ForwardedBytes),
		connections:  connections,
		pauses:       pauses,
	}
	o.inspector = offload.New(offload.Options{
		Policy:        o,
		Dial:          sockopt.DialFunc(offloadDialTimeout),
		HeaderTimeout: maxHeaderTimeout,
		Track:         n.clients.callers.Track,
	})
	return o
}

// Active implements offload.Policy.
func (o *offloader) Active() bool { return o.active.Load() && !o.node.draining.Load() }

// Decide implements offload.Policy. Requests of plain services are served here: they cost little.
func (o *offloader) Decide(r *http.Request) offload.Decision {
	if !o.Active() || !o.node.gateway.ForModelEngine(r) {
		return offload.Decision{Action: offload.Serve}
	}
	delay := o.node.runQueueDelay.Load()
	if rand.Float64() < refusalProbability(delay) {
		return offload.Decision{Action: offload.Refuse}
	}
	if o.inspector.Forwarded() >= o.maxForwarded {
		return offload.Decision{Action: offload.Refuse}
	}
	target, ok := o.targets.Load().Pick(delay > minRefusalDelay)
	if !ok {
		return offload.Decision{Action: offload.Serve}
	}
	return offload.Decision{Action: offload.Forward, Target: target.OffloadAddress, Deadline: o.node.gateway.Deadline(r)}
}

// refusalProbability returns the fraction of requests to refuse while goroutines wait for the processor.
func refusalProbability(delay time.Duration) float64 {
	return float64(delay-minRefusalDelay) / float64(maxRefusalDelay-minRefusalDelay)
}

// Refuse implements offload.Policy.
func (o *offloader) Refuse(w http.ResponseWriter, r *http.Request) {
	o.node.gateway.RefuseOverloaded(w, r)
}

// Fail implements offload.Policy.
func (o *offloader) Fail(w http.ResponseWriter, r *http.Request) { o.node.gateway.FailForwarded(w, r) }

// Record implements offload.Policy.
func (o *offloader) Record(a offload.Action) {
	switch a {
	case offload.Forward:
		o.passed.Add(1)
		o.connections.WithLabelValues("forwarded").Inc()
	case offload.Refuse:
		o.passed.Add(1)
		o.connections.WithLabelValues("refused").Inc()
	case offload.Drop:
		o.passed.Add(1)
		o.connections.WithLabelValues("dropped").Inc()
	case offload.Serve:
		o.connections.WithLabelValues("served").Inc()
	}
}

// update measures the router's load and decides whether it passes connections on, and to which routers.
func (o *offloader) update() {
	now := time.Now()
	count := o.node.gateway.TotalRequests() + o.passed.Load()
	o.rate.Add(now, float64(count-o.lastCount))
	o.lastCount = count
	load := balance.Load{Rate: o.rate.PerSecond(now), Cores: o.node.settings.Cores}
	active := o.state.Update(load)
	if active {
		targets := balance.ChooseTargets(o.candidates(), o.node.settings.DomainAware)
		o.targets.Store(&targets)
	}
	if active && !o.node.draining.Load() && !o.inspector.Paused() {
		o.pauseAccepting()
	}
	if o.active.Swap(active) != active {
		o.node.log.Info("offload", zap.Bool("active", active), zap.Float64("requests_per_s", math.Round(load.Rate)),
			zap.Float64("cores", load.Cores), zap.Duration("processor_delay", o.node.runQueueDelay.Load()))
	}
}

// pauseAccepting closes the callers' port for a while if even refusals take more time than there is.
func (o *offloader) pauseAccepting() {
	wait := o.node.runQueueDelay.Load()
	if pause := o.pause.Next(wait); pause > 0 && o.inspector.Pause(pause) {
		o.pauses.Inc()
		o.node.log.Info("accept paused", zap.Duration("pause", pause), zap.Duration("processor_delay", wait))
	}
}

// candidates returns the routers that may take connections from this one. Their configuration must not be older: a
// client that has seen a change of the configuration through this router must not be served by an older one.
func (o *offloader) candidates() []balance.Candidate {
	n := o.node
	table := n.routing.Load()
	registered := n.routers.Load()
	if table == nil || registered == nil {
		return nil
	}
	var list []balance.Candidate
	for _, p := range n.readyPeers() {
		router, ok := (*registered)[p.Router]
		if !ok || p.ConfigVersion < table.Version {
			continue
		}
		c := candidate(p, n.settings.FailureDomain)
		c.OffloadAddress = offloadAddress(router.PeerAddress)
		list = append(list, c)
	}
	return list
}

// handler returns the handler of connections that other routers forwarded. Each of them carries one request.
func (o *offloader) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		o.node.gateway.ServeHTTP(w, r)
	})
}

// offloadAddress returns the address for forwarded connections of the router with a peer address.
func offloadAddress(peer netip.AddrPort) string {
	return netip.AddrPortFrom(peer.Addr(), peer.Port()+offloadPortOffset).String()
}
