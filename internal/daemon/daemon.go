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
	// eventCapacity is the number of events that a router keeps: about 1 MB.
	eventCapacity = 4096
	// tickPeriod drives the failure detector and the control loop.
	tickPeriod = 100 * time.Millisecond
	// listPeriod is how often the VM list is read.
	listPeriod = 5 * time.Second
	// firstListPeriod is how often it is read until it names a VM.
	firstListPeriod = 500 * time.Millisecond
)

// Daemon is one router process.
type Daemon struct {
	settings    *Settings
	log         *zap.Logger
	start       time.Time
	incarnation ident.Incarnation

	events    *timeline.Ring
	store     *etcdkv.Client
	list      *vmlist.Client
	network   *peerlink.Network
	holder    snapshot.Holder
	syncer    *publish.Syncer
	publisher *publish.Publisher
	backends  *backend.Client
	router    *dispatch.Router
	claims    *claim.Manager
	executor  *execute.Executor
	orders    *order.Controller
	callers   *callerhttp.Server
	listener  net.Listener

	// detection guards the failure detector, which is not safe for concurrent use.
	detection sync.Mutex
	detector  *membership.Detector

	// composed is set when all parts exist. The network runs before that; its messages are dropped until then.
	composed atomic.Bool
	draining atomic.Bool
	// listRead is set when the VM list has named a VM. Before that a router would take itself for the whole fleet.
	listRead atomic.Bool
	routes   atomic.Pointer[dispatch.Routes]
	control  controlState
}

// New opens the listeners of a router. The incarnation must be above that of earlier processes of the router.
func New(s *Settings, log *zap.Logger, incarnation ident.Incarnation) (*Daemon, error) {
	d := &Daemon{
		settings:    s,
		log:         log,
		start:       time.Now(),
		incarnation: incarnation,
		events:      timeline.New(eventCapacity, ident.RouterID(s.ID)),
		store:       etcdkv.New(etcdkv.Options{URL: s.StoreURL}),
		list:        vmlist.New(vmlist.Options{URL: s.VMListURL}),
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
		Methods:     d.methods(),
		Clock:       d.events,
		Logger:      d.log,
	})
	if err != nil {
		_ = listener.Close()
		return errors.Wrap(err, "listen for routers")
	}
	d.listener = listener
	d.network = network
	return nil
}

// PeerAddr returns the address for other routers.
func (d *Daemon) PeerAddr() string { return advertised(d.settings.PeerAdvertise, d.network.Addr()) }

// CallerAddr returns the address for callers.
func (d *Daemon) CallerAddr() string {
	return advertised(d.settings.CallerAdvertise, d.listener.Addr())
}

// advertised returns the configured address, or the listener's when the configured port is 0.
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

// now returns the monotonic time since the start.
func (d *Daemon) now() time.Duration { return time.Since(d.start) }

// view returns the current view of the members.
func (d *Daemon) view() *membership.View {
	return d.detector.View()
}

func (d *Daemon) composeConfiguration() {
	d.publisher = publish.NewPublisher(d.store, d.majority)
	d.publisher.UseSnapshot(&d.holder)
	d.syncer = publish.NewSyncer(publish.SyncOptions{
		Store:      d.store,
		Holder:     &d.holder,
		Peers:      peers{d},
		Watch:      d.watches,
		OnSnapshot: d.onSnapshot,
		Logger:     d.log,
	})
}

func (d *Daemon) composeDispatch() {
	d.router = dispatch.NewRouter(dispatch.RouterOptions{
		Self:        ident.RouterID(d.settings.ID),
		Incarnation: d.incarnation,
		Domain:      ident.DomainID(d.settings.FailureDomain),
		Remote:      remote{d.network},
		Loads:       d.backends,
		Events:      d.events,
		Serving:     d.serving,
	})
	d.orders = order.New(order.Options{
		Store:       d.store,
		Engines:     d.backends,
		Config:      d.currentObjects,
		Owns:        d.ownsBackend,
		Self:        ident.RouterID(d.settings.ID),
		Incarnation: d.incarnation,
		Logger:      d.log,
	})
}
