package main

import (
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/test/standin/freeports"
	"gooseberrytide.example/gooseberrytide/test/standin/platformengine"
	"gooseberrytide.example/gooseberrytide/test/standin/platformstore"
)

// Bounds of the soak's deployment.
const (
	graceSeconds   = 4
	revokeTime     = 5 * time.Second
	drainTime      = 2 * time.Second
	configTime     = 2 * time.Second
	contactTime    = 3 * time.Second
	routeTimeout   = 4 * time.Second
	resumableRoute = "/digest/"
	streamRoute    = "/chat/"
	unsafeRoute    = "/callout/"
	safeRoute      = "/lookup/"
	clientHost     = "shed.example"
)

// world is a store, engines and routers.
type world struct {
	dir     string
	binary  string
	rand    *rand.Rand
	store   *platformstore.Store
	servers []*httptest.Server
	engines []*engine
	routers []*router
	report  *report

	mu      sync.Mutex
	version int
	keys    map[string]time.Time // API key -> when it was removed; zero while it is valid
}

// engine is a stand-in engine behind a proxy.
type engine struct {
	*platformengine.Engine
	proxy   *proxy
	service string
	// leaving is when its leaving was written to the store; zero while it stays.
	leaving time.Time
}

// router is a process.
type router struct {
	name    string
	store   *proxy
	front   string
	ready   string
	path    string
	log     *os.File
	process *exec.Cmd
	done    chan struct{}
	// disturbed is the end of the last disruption of the process or its path to the store; stopping is when SIGTERM came.
	mu        sync.Mutex
	disturbed time.Time
	stopping  time.Time
	started   time.Time
}

func newWorld(dir, binary string, seed uint64, routers, engines int) (*world, error) {
	w := &world{
		dir: dir, binary: binary, rand: rand.New(rand.NewPCG(seed, 1)), store: platformstore.New(), report: &report{},
		keys: map[string]time.Time{},
	}
	storeServer := httptest.NewServer(w.store)
	w.servers = append(w.servers, storeServer)
	for i := range engines {
		if err := w.addEngine(i); err != nil {
			return nil, err
		}
	}
	w.addKey()
	w.configure()
	for i := range routers {
		r, err := w.newRouter(fmt.Sprintf("r-%d", i), storeServer.Listener.Addr().String())
		if err != nil {
			return nil, err
		}
		w.routers = append(w.routers, r)
		if err := r.start(w.binary); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *world) addEngine(i int) error {
	e := &engine{Engine: platformengine.New(fmt.Sprintf("i-%d", i)), service: []string{"pool", "app"}[i%2]}
	e.Events, e.Pause = 12, 25*time.Millisecond
	server := httptest.NewServer(e.Engine)
	w.servers = append(w.servers, server)
	p, err := newProxy(server.Listener.Addr().String())
	if err != nil {
		return err
	}
	e.proxy = p
	w.engines = append(w.engines, e)
	w.announce(e, "ready")
	return nil
}

func (w *world) announce(e *engine, state string) {
	w.store.Put("servers/"+e.ID, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"a","slots":16,"state":%q}`,
		e.service, e.proxy.address(), state))
}

// addKey adds an API key to the configuration that is written next.
func (w *world) addKey() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := fmt.Sprintf("key-%d", len(w.keys))
	w.keys[key] = time.Time{}
	return key
}

// configure writes a new version of the configuration.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	var keys []string
	for key, removed := range w.keys {
		if removed.IsZero() {
			keys = append(keys, fmt.Sprintf("%q", key))
		}
	}
	route := func(prefix, kind, service string, attempts int, resumable bool) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":%q,"routeKind":%q,"service":%q,"maxAttempts":%d,"resumable":%t,
"timeoutMs":%d,"objectiveMs":800,"gapTargetMs":500}`, prefix, clientHost, prefix, kind, service, attempts, resumable, routeTimeout.Milliseconds())
	}
	routes := []string{
		route(resumableRoute, "streaming", "pool", 2, true), route(streamRoute, "streaming", "pool", 1, false),
		route(unsafeRoute, "unsafe", "app", 1, false), route(safeRoute, "safe", "app", 2, false),
		route(versionRoute(w.version), "safe", "app", 1, false),
	}
	w.store.Put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[{"name":"pool","maxConns":400,
"engine":{"slots":16,"kvCapacity":400000,"stride":4}},{"name":"app","maxConns":400}],
"limits":{"maxBodyBytes":100000},"tenants":[{"name":"farm","apiKeys":[%s]}]}`, w.version, strings.Join(routes, ","), strings.Join(keys, ",")))
}

// versionRoute is a route that exists only in one version.
func versionRoute(version int) string { return fmt.Sprintf("/version-%d/", version) }

func (w *world) newRouter(name, store string) (*router, error) {
	p, err := newProxy(store)
	if err != nil {
		return nil, err
	}
	ports, err := freeports.ForRouter()
	if err != nil {
		return nil, err
	}
	r := &router{
		name: name, store: p, front: fmt.Sprintf("127.0.0.1:%d", ports.Front), ready: fmt.Sprintf("127.0.0.1:%d", ports.Readiness),
		path: filepath.Join(w.dir, name+".yaml"),
	}
	text := fmt.Sprintf(`{"nodeName":%q,"zone":"a","ip":"127.0.0.1","listen":{"front":%q,"readiness":%q,"directory":"127.0.0.1:%d"},
"internalPorts":[%d,%d],"limits":{"memoryMb":200,"cpuShare":1},"platform":{"address":%q},
"bounds":{"graceS":%d,"revokeMs":%d,"strictRevoke":true,"budgetSlack":100}}`,
		name, r.front, r.ready, ports.Directory, ports.Peer, ports.Peer+1, p.address(), graceSeconds, revokeTime.Milliseconds())
	if err := os.WriteFile(r.path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	r.log, err = os.Create(filepath.Join(w.dir, name+".log"))
	return r, err
}

// start runs the process.
func (r *router) start(binary string) error {
	cmd := exec.Command(binary, "gateway")
	cmd.Env = append(os.Environ(), "GOOSEBERRYTIDE_NODE_FILE="+r.path)
	cmd.Stdout, cmd.Stderr = r.log, r.log
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", r.name)
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait() // how it ended is seen from outside
		close(done)
	}()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.process, r.done, r.started, r.stopping = cmd, done, time.Now(), time.Time{}
	return nil
}

// signal sends a signal to the process that the soak started.
func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s == syscall.SIGTERM {
		r.stopping = time.Now()
	} else if s != syscall.SIGHUP {
		r.disturbed = time.Now().Add(time.Hour)
	}
	_ = r.process.Process.Signal(s) // it may have ended
}

// calm ends a disruption.
func (r *router) calm() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbed = time.Now()
}

// disturb begins a disruption.
func (r *router) disturb() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbed = time.Now().Add(time.Hour)
}

// inTouch reports whether the process ran without disruption since some time before a moment.
func (r *router) inTouch(at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return at.Sub(r.disturbed) > contactTime && at.Sub(r.started) > contactTime
}

// incarnation tells apart the starts of the process.
func (r *router) incarnation() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.started
}

// close ends the processes and the stand-ins.
func (w *world) close() {
	for _, r := range w.routers {
		r.signal(syscall.SIGCONT)
		r.signal(syscall.SIGKILL)
		<-r.done
		_ = r.log.Close()
	}
	for _, s := range w.servers {
		s.CloseClientConnections()
		s.Close()
	}
}
