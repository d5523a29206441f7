package gateway

import (
	"context"
	"hash/fnv"
	"math"
	"net/http"
	"net/netip"
	"os"
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
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
	"gooseberrytide.example/gooseberrytide/internal/state/runqueue"
	"gooseberrytide.example/gooseberrytide/internal/transport/datagram"
	"gooseberrytide.example/gooseberrytide/internal/transport/gateway"
	"gooseberrytide.example/gooseberrytide/internal/transport/httplimits"
	"gooseberrytide.example/gooseberrytide/internal/transport/relayhttp"
	"gooseberrytide.example/gooseberrytide/internal/transport/sockopt"
	"gooseberrytide.example/gooseberrytide/internal/transport/upstream"
	"gooseberrytide.example/gooseberrytide/platform"
)

const (
	// memoryLimitFraction is the fraction of the process's memory limit that is set as the soft memory limit of the Go
	// runtime.
	memoryLimitFraction = 0.6
	// revokeMargin is how much the age of the configuration up to which API keys are accepted is below the time after
	// which a removed key must no longer be accepted. It covers the time between a client's send of a request and the
	// router's check of the request's key.
	revokeMargin = 600 * time.Millisecond
	// minKeyMaxConfigAge is the age of the configuration that a router needs to accept API keys without interruption: two
	// polls of the store and the calls for them, some of which are slow.
	minKeyMaxConfigAge = 800 * time.Millisecond
	// advancePeriod is how often admission checks the waiting requests if no other event occurs. advanceIdlePeriod is how
	// often it drops outdated loads while no request waits.
	advancePeriod     = 5 * time.Millisecond
	advanceIdlePeriod = 100 * time.Millisecond
	// loadSamplePeriod is how often the run queue delay and the request rate are measured. The start and the end of an
	// overload are not detected in a shorter time.
	loadSamplePeriod = 100 * time.Millisecond
	// startCheckPeriod is how often a router that has just started checks whether it may serve.
	startCheckPeriod = 100 * time.Millisecond
	// retryBoundFraction is the fraction of the operators' bound on retries that a router uses. It is below 1 because the
	// routers' time windows differ.
	retryBoundFraction = 0.6
)

// Node is one router process on the users' platform.
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
	clients   *clientLimits
	store     *platform.Store
	follower  *discovery.Follower
	peers     *gossip.Peers
	relays    *gossip.Relays
	exchange  *freshness.Exchange
	owners    *loadOwners
	poison    *poisonGuard
	offload   *offloader
	// transmit sends a datagram. It is set before the first one is sent.
	transmit func(to netip.AddrPort, data []byte)
	registry *prometheus.Registry
	routers  atomic.Pointer[map[string]discovery.Router]
	entry    *entryWatch
	draining atomic.Bool
	// hangup receives SIGHUP. If it is nil, the settings are reloaded only periodically.
	hangup <-chan os.Signal
	// serving is the parent of all requests' contexts. endRequests ends it.
	serving     context.Context
	endRequests context.CancelCauseFunc
	// restored is signalled when the store was restored from an older copy.
	restored chan struct{}
	// lastCachedParts holds the cached prompt parts of the last report. Only the reporting goroutine uses it.
	lastCachedParts []admission.CachedPart
	// rate measures the router's request rate; lastRequestCount is the number of requests at the last report. Only the
	// reporting goroutine uses them.
	rate             balance.Rate
	lastRequestCount int64
	// lag measures by how much the pauses between reports exceed the report period. Only the reporting goroutine uses it.
	lag balance.Lag
	// runQueueDelay is the time that goroutines wait for a processor.
	runQueueDelay delayMeter
	// suspension measures for how long the VM was suspended. Only the sampling goroutine uses it.
	suspension *suspension
	// busy is set if the process lacks CPU time, as of the last report.
	busy atomic.Bool
	// ownRate is the router's request rate per second, as the bits of a float64.
	ownRate atomic.Uint64
	// bounds holds the operators' bounds in force. keyMaxConfigAge, in nanoseconds, is derived from them.
	bounds          atomic.Pointer[platform.Bounds]
	keyMaxConfigAge atomic.Int64
}

// delayMeter measures a delay. Load is safe for concurrent use.
type delayMeter interface {
	// Sample measures the delay since the previous sample.
	Sample()
	// Load returns the delay that the last sample measured.
	Load() time.Duration
}

// New returns a node that is ready to run. It sets the memory limit of the Go runtime.
func New(settings *platform.Settings, log *zap.Logger) (*Node, error) {
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryBytes)))
	n := &Node{
		settings:      settings,
		log:           log,
		incarnation:   uint64(time.Now().UnixMicro()),
		proof:         freshness.NewProof(freshness.BootTime),
		peers:         gossip.NewPeers(),
		relays:        gossip.NewRelays(settings.Router),
		runQueueDelay: runqueue.New(),
		exchange:      freshness.NewExchange(settings.Router, freshness.BootTime),
		registry:      prometheus.NewRegistry(),
		restored:      make(chan struct{}, 1),
		entry:         newEntryWatch(),
		suspension:    newSuspension(),
	}
	n.serving, n.endRequests = context.WithCancelCause(context.Background())
	core := admission.New(admission.Options{
		Domain:         settings.FailureDomain,
		DomainAware:    settings.DomainAware,
		ObservedLimits: settings.ObservedLimits,
		ShareWindow:    settings.Bounds.ShareWindow,
		Seed:           randomSeed(settings.Router, n.incarnation),
	})
	n.clients = newClientLimits(n)
	n.owners = newLoadOwners(n)
	n.admission = admission.NewController(core, n.owners)
	n.poison = newPoisonGuard(n)
	connectionsOpened := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "gooseberrytide_backend_connections_total", Help: "Connections opened to backend servers.",
	})
	storeCalls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gooseberrytide_store_calls_total", Help: "Calls of the platform's store, by kind.",
	}, []string{"kind"})
	invalidEntries := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "gooseberrytide_invalid_entries_total",
		Help: "Values of entries of backend servers and routers in the store that could not be decoded.",
	})
	n.registry.MustRegister(connectionsOpened, storeCalls, invalidEntries, n.entry.rewrites)
	n.pool = upstream.New(upstream.Options{OnConnect: connectionsOpened.Inc})
	n.budget = retry.NewWindowBudget(settings.Bounds.RetryWindow)
	n.applyBounds(settings.Bounds)
	n.gateway = gateway.New(gateway.Options{
		Routing:         &n.routing,
		Proof:           n.proof,
		MaxConfigAge:    n.currentKeyMaxConfigAge,
		SchedulingDelay: func() time.Duration { return n.runQueueDelay.Load() },
		Admission:       n.admission,
		Pool:            n.pool,
		Poison:          n.poison.guard,
		RetryBudget:     n.budget,
		Metrics:         gateway.NewMetrics(n.registry),
		Log:             log.Named(gatewayLogger),
		OnServerLeaving: n.onServerLeaving,
		OnServerLimit:   n.owners.limits.onServerLimit,
		Account:         n.clients.account,

		OutlivedResponse: n.outlivedResponse,
	})
	n.store = platform.NewStore(settings.StoreAddress, storeTransport(), func(kind string) {
		storeCalls.WithLabelValues(kind).Inc()
	})
	n.follower = discovery.New(discovery.Options{
		Feed:        n.store,
		Proof:       n.proof,
		Peers:       &storeReaders{node: n, client: relayhttp.NewClient()},
		Log:         log.Named("discovery"),
		IsConfig:    platform.Schema{}.IsConfig,
		OnRestored:  n.onRestored,
		MaxProofAge: n.currentKeyMaxConfigAge,
		FleetConfig: n.fleetConfig,
		Sink: discovery.NewState(discovery.StateOptions{
			Schema:          platform.Schema{},
			Routing:         &n.routing,
			Servers:         &n.servers,
			Log:             log.Named("discovery"),
			OnRouters:       n.onRouters,
			OnInvalidRouter: n.onInvalidRouter,
			OnServers:       n.onServers,
			OnEvacuations:   n.onEvacuations,
			OnConfig:        n.onConfig,
			OnInvalid:       invalidEntries.Inc,
		}),
	})
	n.offload = newOffloader(n)
	n.registerGauges()
	return n, nil
}

// fleetConfig returns the configuration versions that the routers have in force.
func (n *Node) fleetConfig() discovery.FleetConfig {
	fleet := discovery.FleetConfig{Witnesses: make(map[kv.Era]int)}
	if table := n.routing.Load(); table != nil {
		fleet.Own = table.Version
	}
	live := n.peers.Live(time.Now())
	for _, p := range live {
		fleet.Newest = max(fleet.Newest, p.ConfigVersion)
		if p.Ready { // a router is ready only after its own check
			fleet.Witnesses[kv.Era(p.ConfirmedEra)]++
		}
	}
	// A store that came back from an older copy has lost the entries of most routers, so that none may be registered.
	registered := n.routers.Load()
	fleet.Heard = registered != nil && len(live) > 0 && 2*len(live) >= len(*registered)-1
	return fleet
}

// keyMaxConfigAge returns the age of the configuration up to which API keys are accepted.
func keyMaxConfigAge(b platform.Bounds) time.Duration {
	if !b.StrictRevoke {
		return math.MaxInt64
	}
	return b.Revoke - revokeMargin
}

func (n *Node) currentKeyMaxConfigAge() time.Duration { return time.Duration(n.keyMaxConfigAge.Load()) }

func randomSeed(router string, incarnation uint64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(router))
	return h.Sum64() ^ incarnation
}

// storeTransport returns a transport that keeps at most two idle connections to the store.
func storeTransport() http.RoundTripper {
	return &http.Transport{
		DialContext:            sockopt.DialFunc(storeDialTimeout),
		MaxIdleConnsPerHost:    2,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: httplimits.MaxResponseHeaderBytes,
	}
}

// storeDialTimeout bounds the time to open a connection to the store.
const storeDialTimeout = time.Second

func (n *Node) onServers(set *backends.Set) {
	n.poison.guard.SetServers(set, n.admission.EndPlanned)
	n.admission.SetServers(set)
	n.closeIdleConnections()
}

func (n *Node) onConfig(t *routing.Table) {
	n.admission.SetCapacity(t.Limits.TokensPerSecond)
	n.admission.SetServices(t.Services())
}

// Run serves until the context ends, and then drains. Changed settings are reloaded from settingsPath. It returns the
// errors of the listeners.
func (n *Node) Run(ctx context.Context, settingsPath string) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	peerAddress := netip.AddrPortFrom(n.settings.IP, uint16(n.settings.PeerPort))
	socket, err := datagram.Listen(peerAddress, n.log.Named("datagram"))
	if err != nil {
		return err
	}
	n.transmit = socket.Send
	servers, err := n.listen(ctx)
	if err != nil {
		return err
	}
	serveErrs := make(chan error, len(servers))
	for _, s := range servers {
		go func() { serveErrs <- s.run() }()
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
	go socket.Run(background, n.onDatagram)
	go newReporter(n).run(background)
	go n.admission.Run(background, advancePeriod, advanceIdlePeriod)
	go n.owners.run(background)
	go periodic.Run(background, evidencePeriod, n.poison.gossip)
	go periodic.Run(background, loadSamplePeriod, n.sampleLoad)
	go periodic.Run(background, idleConnectionPeriod, n.closeIdleConnections)
	go periodic.Run(background, shareLogPeriod, n.logShares)
	go periodic.Run(background, startCheckPeriod, n.follower.CheckStart)
	select {
	case err := <-serveErrs:
		return err
	case <-ctx.Done():
	}
	n.drain(servers)
	cancel()
	select {
	case <-registered:
	case <-time.After(unregisterTime):
	}
	return nil
}

// sampleLoad measures this router's load and decides whether connections are passed on.
func (n *Node) sampleLoad() {
	if d := n.suspension.sample(); d > 0 {
		n.admission.SkipSuspended(d)
	}
	n.runQueueDelay.Sample()
	n.offload.update()
}

// ready reports whether the router accepts new clients.
func (n *Node) ready() bool {
	return !n.draining.Load() && n.routing.Load() != nil && n.servers.Load().Len() > 0 &&
		n.proof.Within(n.currentKeyMaxConfigAge())
}
