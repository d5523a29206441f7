package daemon

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/claim"
	"gooseberrytide.example/gooseberrytide/internal/coordination/dispatch"
	"gooseberrytide.example/gooseberrytide/internal/coordination/execute"
	"gooseberrytide.example/gooseberrytide/internal/coordination/fencing"
	"gooseberrytide.example/gooseberrytide/internal/coordination/membership"
	"gooseberrytide.example/gooseberrytide/internal/coordination/order"
	"gooseberrytide.example/gooseberrytide/internal/coordination/publish"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/snapshot"
	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
	"gooseberrytide.example/gooseberrytide/internal/transport/backend"
	"gooseberrytide.example/gooseberrytide/internal/transport/callerhttp"
	"gooseberrytide.example/gooseberrytide/internal/transport/etcdkv"
	"gooseberrytide.example/gooseberrytide/internal/transport/peerlink"
	"gooseberrytide.example/gooseberrytide/internal/transport/vmlist"
)

const (
	// eventCapacity is the number of timeline events that a router keeps, about 1 MB.
	eventCapacity = 4096
	// tickPeriod is the period of the failure detector and the control loop.
	tickPeriod = 100 * time.Millisecond
	// vmListPeriod is the time between reads of the VM list.
	vmListPeriod = 5 * time.Second
	// initialVMListPeriod is the time between reads until the VM list names a VM.
	initialVMListPeriod = 500 * time.Millisecond
)

// Daemon is one router process.
type Daemon struct {
	settings    *Settings
	log         *zap.Logger
	startedAt   time.Time
	incarnation ident.Incarnation

	events          *timeline.Ring
	store           *etcdkv.Client
	fencing         *fencing.Numbers
	vmList          *vmlist.Client
	network         *peerlink.Network
	snapshot        snapshot.Holder
	syncer          *publish.Syncer
	publisher       *publish.Publisher
	backends        *backend.Client
	router          *dispatch.Router
	claims          *claim.Manager
	executor        *execute.Executor
	orderController *order.Controller
	callerServer    *callerhttp.Server
	callerListener  net.Listener

	// detectorMu guards the failure detector, which is not safe for concurrent use.
	detectorMu sync.Mutex
	detector   *membership.Detector

	// composed is set when all components exist. The network already runs before that; until then its messages are
	// dropped.
	composed atomic.Bool
	draining atomic.Bool
	// vmListRead is set once the VM list has named a VM. Without it, a router with an empty list would consider itself a
	// majority of the fleet.
	vmListRead atomic.Bool
	routes     atomic.Pointer[dispatch.Routes]
	control    controlState
}

// New opens the listeners of a router and creates its components. The incarnation must be above that of earlier
// processes of the router. It returns the errors of the listeners.
func New(s *Settings, log *zap.Logger, incarnation ident.Incarnation) (*Daemon, error) {
	d := &Daemon{
		settings:    s,
		log:         log,
		startedAt:   time.Now(),
		incarnation: incarnation,
		events:      timeline.New(eventCapacity, ident.RouterID(s.ID)),
		store:       etcdkv.New(etcdkv.Options{URL: s.StoreURL}),
		vmList:      vmlist.New(vmlist.Options{URL: s.VMListURL}),
		backends:    backend.New(backend.Options{Logger: log}),
	}
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.detector = membership.New(membership.Options{}, d.selfMember())
	d.composeConfiguration()
	d.composeDispatch()
	d.composeCallers()
	d.composed.Store(true)
	d.exportMetrics()
	return d, nil
}

// listen opens the listeners for callers and for other routers.
func (d *Daemon) listen() error {
	listener, err := net.Listen("tcp", d.settings.CallerListen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	network, err := peerlink.New(peerlink.Options{
		Self:        ident.RouterID(d.settings.ID),
		Incarnation: d.incarnation,
		Listen:      d.settings.PeerListen,
		Key:         []byte(d.settings.SharedKey),
		Resolve:     d.resolve,
		OnMessage:   d.onMessage,
		OnLink:      d.onLink,
		Methods:     d.rpcMethods(),
		Clock:       d.events,
		Logger:      d.log,
	})
	if err != nil {
		_ = listener.Close()
		return errors.Wrap(err, "listen for routers")
	}
	d.callerListener = listener
	d.network = network
	return nil
}

// PeerAddr returns the address, host and port, that other routers connect to.
func (d *Daemon) PeerAddr() string { return advertised(d.settings.PeerAdvertise, d.network.Addr()) }

// CallerAddr returns the address, host and port, that callers connect to.
func (d *Daemon) CallerAddr() string {
	return advertised(d.settings.CallerAdvertise, d.callerListener.Addr())
}

// advertised returns the configured address. If its port is 0, it is replaced by the listener's port.
func advertised(configured string, addr net.Addr) string {
	host, port, err := net.SplitHostPort(configured)
	if err != nil || port != "0" {
		return configured
	}
	_, actual, _ := net.SplitHostPort(addr.String())
	return net.JoinHostPort(host, actual)
}

func (d *Daemon) selfMember() membership.Member {
	return membership.Member{
		ID:          ident.RouterID(d.settings.ID),
		Incarnation: d.incarnation,
		PeerAddr:    d.PeerAddr(),
		CallerAddr:  d.CallerAddr(),
		Domain:      ident.DomainID(d.settings.FailureDomain),
		State:       membership.Alive,
	}
}

// now returns the monotonic time since the start of the daemon.
func (d *Daemon) now() time.Duration { return time.Since(d.startedAt) }

// view returns the failure detector's current view of the members.
func (d *Daemon) view() *membership.View {
	return d.detector.View()
}

func (d *Daemon) composeConfiguration() {
	d.publisher = publish.NewPublisher(d.store, d.majority)
	d.publisher.UseSnapshot(&d.snapshot)
	d.syncer = publish.NewSyncer(publish.SyncOptions{
		Store:      d.store,
		Holder:     &d.snapshot,
		Peers:      publishPeers{d},
		Watch:      d.watchesStore,
		Cluster:    d.store.ClusterID,
		OnSnapshot: d.onSnapshot,
		Logger:     d.log,
	})
	d.publisher.DetectRestores(d.store.ClusterID, d.syncer)
}

func (d *Daemon) composeDispatch() {
	d.router = dispatch.NewRouter(dispatch.RouterOptions{
		Self:        ident.RouterID(d.settings.ID),
		Incarnation: d.incarnation,
		Domain:      ident.DomainID(d.settings.FailureDomain),
		Remote:      linkSender{d.network},
		Loads:       d.backends,
		Events:      d.events,
		Serving:     d.serving,
	})
	d.fencing = fencing.New(d.store, d.store.ClusterID)
	d.orderController = order.New(order.Options{
		Store:       d.store,
		Engines:     d.backends,
		Config:      d.currentConfig,
		Owns:        d.ownsBackend,
		Self:        ident.RouterID(d.settings.ID),
		Incarnation: d.incarnation,
		Fencing:     d.fencing,
		Logger:      d.log,
	})
}
