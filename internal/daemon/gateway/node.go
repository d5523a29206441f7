package gateway

import (
	"context"
	"hash/fnv"
	"math"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/admission"
	"gooseberrytide.example/gooseberrytide/internal/coordination/balance"
	"gooseberrytide.example/gooseberrytide/internal/coordination/discovery"
	"gooseberrytide.example/gooseberrytide/internal/coordination/freshness"
	"gooseberrytide.example/gooseberrytide/internal/coordination/gossip"
	"gooseberrytide.example/gooseberrytide/internal/coordination/retry"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
	"gooseberrytide.example/gooseberrytide/internal/state/runqueue"
	"gooseberrytide.example/gooseberrytide/internal/transport/datagram"
	"gooseberrytide.example/gooseberrytide/internal/transport/gateway"
	"gooseberrytide.example/gooseberrytide/internal/transport/relayhttp"
	"gooseberrytide.example/gooseberrytide/internal/transport/sockopt"
	"gooseberrytide.example/gooseberrytide/internal/transport/upstream"
	"gooseberrytide.example/gooseberrytide/platform"
)

const (
	// memoryShare is the part of the memory limit that the Go heap aims to stay below.
	memoryShare = 0.6
	// bodyShare is the part of the memory limit that request bodies may take.
	bodyShare = 0.15
	// revokeMargin is taken from the time in which a removed API key must stop working: it covers the time between the
	// check and the send of a client.
	revokeMargin = 600 * time.Millisecond
	// advancePeriod is how often waiting requests are looked at without another event.
	advancePeriod = 5 * time.Millisecond
	// delayPeriod is how often the wait for the processor is measured. It is the shortest time in which an overload is
	// noticed, and its end.
	delayPeriod = 100 * time.Millisecond
	// retryShare is the part of the operators' bound of second sends that is used, since the routers' windows differ.
	retryShare = 0.6
)

// Node is a router process.
type Node struct {
	settings    *platform.Settings
	log         *zap.Logger
	incarnation uint64

	routing   routing.Holder
	servers   backends.Holder
	proof     *freshness.Proof
	admission *admission.Controller
	pool      *upstream.Pool
	budget    *retry.WindowBudget
	gateway   *gateway.Gateway
	store     *platform.Store
	follower  *discovery.Follower
	peers     *gossip.Peers
	exchange  *freshness.Exchange
	owners    *owners
	socket    *datagram.Socket
	registry  *prometheus.Registry
	routers   atomic.Pointer[map[string]discovery.Router]
	draining  atomic.Bool
	// lastNotes are the notes on parts of prompts in the last report. Only the reporting goroutine uses them.
	lastNotes []admission.CachedPart
	// rate is the router's rate of requests, lastTaken their number at the last report. They belong to the same goroutine.
	rate      balance.Rate
	lastTaken int64
	lag       balance.Lag
	// delay is the wait of goroutines for the processor.
	delay *runqueue.Delay
	// busy says that the router waits for the processor.
	busy atomic.Bool
	// ownRate holds the bits of the router's rate of requests per second.
	ownRate atomic.Uint64
	// bounds are the operators' bounds in force; keyLimit is in nanoseconds.
	bounds   atomic.Pointer[platform.Bounds]
	keyLimit atomic.Int64
}

// New returns a node that is ready to run.
func New(settings *platform.Settings, log *zap.Logger) (*Node, error) {
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	n := &Node{
		settings:    settings,
		log:         log,
		incarnation: uint64(time.Now().UnixMicro()),
		proof:       freshness.NewProof(freshness.BootTime),
		peers:       gossip.NewPeers(),
		delay:       runqueue.New(),
		exchange:    freshness.NewExchange(settings.Router, freshness.BootTime),
		registry:    prometheus.NewRegistry(),
	}
	core := admission.New(admission.Options{
		Domain:      settings.FailureDomain,
		ShareWindow: settings.Bounds.ShareWindow,
		Seed:        seedOf(settings.Router, n.incarnation),
	})
	n.owners = newOwners(n)
	n.admission = admission.NewController(core, n.owners)
	opened := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "gooseberrytide_backend_connections_total", Help: "Connections opened to backend servers.",
	})
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gooseberrytide_store_calls_total", Help: "Calls of the platform's store, by kind.",
	}, []string{"kind"})
	n.registry.MustRegister(opened, calls)
	n.pool = upstream.New(upstream.Options{OnConnect: opened.Inc})
	n.budget = retry.NewWindowBudget(settings.Bounds.RetryWindow)
	n.applyBounds(settings.Bounds)
	n.gateway = gateway.New(gateway.Options{
		Routing:         &n.routing,
		Proof:           n.proof,
		MaxConfigAge:    n.currentKeyLimit,
		SchedulingDelay: n.delay.Load,
		Admission:       n.admission,
		Pool:            n.pool,
		RetryBudget:     n.budget,
		Metrics:         gateway.NewMetrics(n.registry),
		Log:             log.Named("gateway"),
		MaxBodyBytes:    int64(bodyShare * float64(settings.MemoryBytes)),
	})
	n.store = platform.NewStore(settings.StoreAddress, storeTransport(), func(kind string) { calls.WithLabelValues(kind).Inc() })
	n.follower = discovery.New(discovery.Options{
		Feed:  n.store,
		Proof: n.proof,
		Peers: &readers{node: n, client: relayhttp.NewClient()},
		Log:   log.Named("discovery"),
		Sink: discovery.NewState(discovery.StateOptions{
			Schema:    platform.Schema{},
			Routing:   &n.routing,
			Servers:   &n.servers,
			Log:       log.Named("discovery"),
			OnRouters: func(list map[string]discovery.Router) { n.routers.Store(&list) },
			OnServers: n.onServers,
			OnConfig:  func(t *routing.Table) { n.admission.SetCapacity(t.Limits.TokensPerSecond) },
		}),
	})
	n.registerGauges()
	return n, nil
}

// keyLimit is the age of the configuration up to which API keys are accepted.
func keyLimit(b platform.Bounds) time.Duration {
	if !b.StrictRevoke {
		return math.MaxInt64
	}
	return b.Revoke - revokeMargin
}

func (n *Node) currentKeyLimit() time.Duration { return time.Duration(n.keyLimit.Load()) }

func seedOf(router string, incarnation uint64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(router))
	return h.Sum64() ^ incarnation
}

// storeTransport keeps a few connections to the store.
func storeTransport() http.RoundTripper {
	return &http.Transport{
		DialContext:         sockopt.DialFunc(storeDialTimeout),
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// storeDialTimeout bounds the opening of a connection to the store.
const storeDialTimeout = time.Second

func (n *Node) onServers(set *backends.Set) {
	n.admission.SetServers(set)
	n.pool.Retain(set.HasKey)
}

// Run serves until the context ends, and then drains. The settings file is watched for changes.
func (n *Node) Run(ctx context.Context, settingsPath string) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	peerAddress := netip.AddrPortFrom(n.settings.IP, uint16(n.settings.PeerPort))
	socket, err := datagram.Listen(peerAddress, n.log.Named("datagram"))
	if err != nil {
		return err
	}
	n.socket = socket
	servers, err := n.listen(ctx)
	if err != nil {
		return err
	}
	failed := make(chan error, len(servers))
	for _, s := range servers {
		go func() { failed <- s.run() }()
	}
	n.log.Info("started", zap.String("failure_domain", n.settings.FailureDomain), zap.Uint64("incarnation", n.incarnation),
		zap.Int64("memory_bytes", n.settings.MemoryBytes))
	go n.watchSettings(background, settingsPath)
	go n.follower.Run(background)
	registered := make(chan struct{})
	go func() {
		defer close(registered)
		n.register(background)
	}()
	go n.socket.Run(background, n.onDatagram)
	go n.report(background)
	go periodic.Run(background, advancePeriod, n.admission.Advance)
	go periodic.Run(background, flushPeriod, n.owners.flush)
	go periodic.Run(background, delayPeriod, n.delay.Sample)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	n.drain(servers)
	cancel()
	select {
	case <-registered:
	case <-time.After(endMargin / 2):
	}
	return nil
}

// ready reports whether the router takes new clients.
func (n *Node) ready() bool {
	return !n.draining.Load() && n.routing.Load() != nil && n.servers.Load().Len() > 0 && n.proof.Within(n.currentKeyLimit())
}
