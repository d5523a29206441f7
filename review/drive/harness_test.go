//go:build review

// Package drive runs the scripted cases of the review: a small fleet of router processes, with stand-ins for the store,
// the engines, the operator and the clients in this process. It is built with go test -c, see review/build.sh.
package drive

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/test/standin/freeports"
	"gooseberrytide.example/gooseberrytide/test/standin/platformstore"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// Bounds of the small deployment, as in its sheet.
const (
	drainTime   = 2 * time.Second
	contactTime = 3 * time.Second
	revokeTime  = 5 * time.Second
	heartbeat   = 1200 * time.Millisecond
	clientHost  = "shed.example"
	routePrefix = "/callout/"
	lookupRoute = "/lookup/"
	streamRoute = "/digest/"
	service     = "app"
	poolService = "pool"
)

var zones = []string{"mid-a", "mid-b", "mid-c"}

// cases maps the value of CASE to a case. Each file adds its own.
var cases = map[string]func(f *fleet) bool{}

// memoryMB maps a case to the memory of its machines in MiB, if that is not defaultMemoryMB.
var memoryMB = map[string]int{}

const defaultMemoryMB = 284

// TestMain runs the case that CASE names, and exits with the code of its outcome.
func TestMain(m *testing.M) {
	run, ok := cases[os.Getenv("CASE")]
	if !ok {
		os.Exit(m.Run())
	}
	f, err := startFleet(os.Getenv("ROUTER"), os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "case cannot run:", err)
		os.Exit(exitCannotRun)
	}
	code := f.runCase(run)
	f.close()
	os.Exit(code)
}

// fleet is the deployment of a case.
type fleet struct {
	dir, binary string
	trouble     bool
	began       time.Time
	store       *platformstore.Store
	storeServer *httptest.Server
	// intercept may handle a call of the store in place of the store.
	intercept atomic.Pointer[func(w http.ResponseWriter, r *http.Request) bool]
	engines   []*engine
	routers   []*router
	attempts  atomic.Int64
	stop      context.CancelFunc
	ctx       context.Context

	mu      sync.Mutex
	record  *os.File
	answers []answer
	version int
}

// cannotRun is the panic of a case that cannot run.
type cannotRun struct{ error }

func (f *fleet) runCase(run func(f *fleet) bool) (code int) {
	defer func() {
		if failed, ok := recover().(cannotRun); ok {
			f.note("case cannot run: %v", failed)
			code = exitCannotRun
		}
	}()
	if run(f) {
		f.note("rule held")
		return exitHeld
	}
	f.note("RULE BROKEN")
	return exitBroken
}

// startFleet starts the store, an engine and a router in each of three zones.
func startFleet(binary, record string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, binary: binary, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), store: platformstore.New()}
	if f.record, err = os.Create(record); err != nil {
		return nil, err
	}
	f.ctx, f.stop = context.WithCancel(context.Background())
	f.storeServer = httptest.NewServer(http.HandlerFunc(f.serveStore))
	for i, zone := range zones {
		f.addEngine(fmt.Sprintf("i-%d", i+1), zone)
	}
	f.writeConfig("key-1", "key-2")
	go f.heartbeats()
	for i, zone := range zones {
		r, err := f.newRouter(fmt.Sprintf("edge-%s-%d", zone, i+1), zone)
		if err != nil {
			return nil, err
		}
		f.routers = append(f.routers, r)
	}
	return f, nil
}

func (f *fleet) serveStore(w http.ResponseWriter, r *http.Request) {
	if intercept := f.intercept.Load(); intercept != nil && (*intercept)(w, r) {
		return
	}
	f.store.ServeHTTP(w, r)
}

// startRouters starts all routers and waits until they are ready.
func (f *fleet) startRouters() {
	for _, r := range f.routers {
		f.start(r)
	}
	for _, r := range f.routers {
		f.waitReady(r)
	}
	f.note("all routers are ready")
}

// close ends all processes.
func (f *fleet) close() {
	f.stop()
	for _, r := range f.routers {
		if r.cmd != nil {
			_ = r.cmd.Process.Kill()
			<-r.done
		}
	}
	_ = f.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
}

// note writes a line to the record and to standard output.
func (f *fleet) note(format string, args ...any) {
	line := fmt.Sprintf("%9.3f s  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
	fmt.Print(line)
	f.write(line)
}

// log writes a line to the record.
func (f *fleet) log(format string, args ...any) {
	f.write(fmt.Sprintf("%9.3f s  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...)))
}

func (f *fleet) write(line string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = f.record.WriteString(line)
}

// writeConfig writes the operator's next configuration. It returns the time of the acknowledgement.
func (f *fleet) writeConfig(keys ...string) time.Time {
	f.version++
	f.rewriteConfig(keys...)
	return time.Now()
}

// rewriteConfig writes the newest configuration again.
func (f *fleet) rewriteConfig(keys ...string) {
	f.store.Put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[
{"name":"callout","host":%q,"pathPrefix":%q,"routeKind":"unsafe","timeoutMs":4000,"objectiveMs":300,"service":%q,"maxAttempts":1},
{"name":"lookup","host":%q,"pathPrefix":%q,"routeKind":"safe","timeoutMs":4000,"objectiveMs":300,"service":%q,"maxAttempts":2},
{"name":"digest","host":%q,"pathPrefix":%q,"routeKind":"streaming","timeoutMs":10000,"objectiveMs":1000,"service":%q,"maxAttempts":2,
"resumable":true,"gapTargetMs":600,"sticky":true}],
"services":[{"name":%q},{"name":%q,"engine":{"slots":16,"kvCapacity":100000}}],"limits":{"maxBodyBytes":4194304,"tokensPerS":100000},
"tenants":[{"name":"farm","apiKeys":["%s"]}]}`,
		f.version, clientHost, routePrefix, service, clientHost, lookupRoute, service, clientHost, streamRoute, poolService, service,
		poolService, strings.Join(keys, `","`)))
	f.note("operator: configuration %d with the keys %v is acknowledged", f.version, keys)
}

// router is a router process.
type router struct {
	name, zone            string
	front, readiness, cfg string
	cmd                   *exec.Cmd
	done                  chan struct{}
	transport             *http.Transport
}

func (f *fleet) newRouter(name, zone string) (*router, error) {
	ports, err := freeports.ForRouter()
	if err != nil {
		return nil, err
	}
	address := func(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
	r := &router{name: name, zone: zone, front: address(ports.Front), readiness: address(ports.Readiness),
		cfg: filepath.Join(f.dir, name+".yaml"), transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	text := fmt.Sprintf(`{"nodeName":%q,"role":"router","machineClass":"edge","serves":["edge","directory"],"ip":"127.0.0.1",
"zone":%q,"region":"midlands","listen":{"front":%q,"readiness":%q,"directory":%q},"internalPorts":[%d,%d],
"limits":{"memoryMb":%d,"cpuShare":0.4,"cores":1},"platform":{"address":%q,"form":"kv"},"heartbeatMs":1200,
"bounds":{"contactMs":3000,"drainMs":2000,"graceS":8,"configApplyMs":2000,"revokeMs":5000,"strictRevoke":true,
"retryBudgetRatio":0.2,"retryWindowS":10,"budgetSlack":56,"quotaWindowS":4,"ttl_max_s":5}}`,
		name, zone, r.front, r.readiness, address(ports.Directory), ports.Peer, ports.Peer+2,
		cmp.Or(memoryMB[os.Getenv("CASE")], defaultMemoryMB), f.storeServer.Listener.Addr())
	return r, os.WriteFile(r.cfg, []byte(text), 0o600)
}

// start starts a router with the command of the deploy file.
func (f *fleet) start(r *router) {
	logFile, err := os.OpenFile(filepath.Join(f.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(cannotRun{err})
	}
	defer func() { _ = logFile.Close() }()
	cmd := exec.Command(f.binary, "gateway")
	cmd.Env = append(os.Environ(), "GOOSEBERRYTIDE_NODE_FILE="+r.cfg)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		panic(cannotRun{err})
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	r.cmd, r.done = cmd, done
	f.note("%s starts", r.name)
}

// kill ends routers like a SIGKILL of the platform.
func (f *fleet) kill(routers ...*router) {
	for _, r := range routers {
		_ = r.cmd.Process.Signal(syscall.SIGKILL)
		<-r.done
		f.note("%s is killed", r.name)
	}
}

func (f *fleet) waitReady(r *router) {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + r.readiness + "/gooseberrytide/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	panic(cannotRun{fmt.Errorf("%s is not ready", r.name)})
}

// arrival is a request that reached an engine.
type arrival struct {
	attempt, engine string
	at              time.Time
	ran             bool
}

// engine is a sound backend server with settings for its announcements.
type engine struct {
	f                 *fleet
	id, zone, address string
	born              int64
	server            *http.Server
	// work is how long a request takes.
	work    atomic.Int64
	running atomic.Int64

	mu       sync.Mutex
	sequence int
	// silent stops the heartbeats, as while the engine does not reach the store.
	silent bool
	// leaving and limit are what the engine says in its answers.
	leaving  bool
	limit    string
	arrivals []arrival
}

func (f *fleet) addEngine(id, zone string) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	e := &engine{f: f, id: id, zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli()}
	e.work.Store(int64(60 * time.Millisecond))
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(listener) }()
	f.engines = append(f.engines, e)
	e.writeEntry()
}

// slots is the number of requests that an engine runs at once.
const slots = 16

// writeEntry writes the engine's entry, as with each heartbeat.
func (e *engine) writeEntry() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silent {
		return
	}
	e.sequence++
	e.f.store.Put("servers/"+e.id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":%q,"version":"1","slots":%d,"state":"ready","coldLeftMs":0,"sequence":%d,"born":%d}`,
		service, e.address, e.zone, slots, e.sequence, e.born))
}

func (e *engine) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

func (f *fleet) heartbeats() {
	for tick := time.NewTicker(heartbeat); ; {
		select {
		case <-f.ctx.Done():
			return
		case <-tick.C:
			for _, e := range f.engines {
				e.writeEntry()
			}
		}
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	expected := r.Header.Get("Expect-Instance")
	ran := expected == "" || expected == e.id
	e.mu.Lock()
	leaving, limit := e.leaving, e.limit
	e.arrivals = append(e.arrivals, arrival{attempt: attempt, engine: e.id, at: time.Now(), ran: ran})
	e.mu.Unlock()
	e.f.log("engine %s: %s arrives, key's tenant %q", e.id, attempt, r.Header.Get("Tenant"))
	h := w.Header()
	h.Set("Attempt-Id", attempt)
	h.Set("Instance-Load", fmt.Sprintf("%d,0,%d", e.running.Add(1), slots))
	defer e.running.Add(-1)
	if leaving {
		h.Set("Server-Leaving", "1")
	}
	if limit != "" {
		h.Set("Server-Limit", limit)
	}
	if !ran {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case <-time.After(time.Duration(e.work.Load())):
	case <-r.Context().Done():
		e.f.log("engine %s: %s is dropped, its connection has closed", e.id, attempt)
		return
	}
	h.Set("Instance-Signature", "sig-"+e.id)
	h.Set("Served-By", e.id)
	_, _ = io.WriteString(w, "answer of "+e.id)
	e.f.log("engine %s: %s has run", e.id, attempt)
}

// arrivalsOf returns the requests that reached an engine.
func (e *engine) arrivalsOf() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.arrivals)
}

// answer is what a client got for a request.
type answer struct {
	attempt, key, router string
	sent, done           time.Time
	status               int
	engine               string
	leaving, limited     bool
	// kept is set if the connection had carried another request before.
	kept bool
	err  error
}

// send sends one request and records its answer.
func (f *fleet) send(r *router, path, key string) answer {
	a := answer{attempt: fmt.Sprintf("a%d", f.attempts.Add(1)), key: key, router: r.name}
	ctx, cancel := context.WithTimeout(f.ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.front+path+"x", strings.NewReader("body of "+a.attempt))
	if err != nil {
		panic(err)
	}
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { a.kept = info.Reused },
	}))
	req.Host, req.GetBody = clientHost, nil
	req.Header.Set("Attempt-Id", a.attempt)
	req.Header.Set("Deadline-Ms", "4000")
	req.Header.Set("Authorization", "Bearer "+key)
	a.sent = time.Now()
	f.log("client: %s with %s to %s%s", a.attempt, key, r.name, path)
	resp, err := r.transport.RoundTrip(req)
	if err == nil {
		a.status, a.engine = resp.StatusCode, resp.Header.Get("Served-By")
		a.leaving = resp.Header.Get("Server-Leaving") != ""
		a.limited = resp.Header.Get("Server-Limit") != ""
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	a.done, a.err = time.Now(), err
	f.log("client: %s got status %d from %q, error %v", a.attempt, a.status, a.engine, err)
	f.mu.Lock()
	f.answers = append(f.answers, a)
	f.mu.Unlock()
	return a
}

// startClients starts n clients of a router. Each sends a request, and the next one after a pause.
func (f *fleet) startClients(ctx context.Context, r *router, n int, pause time.Duration, path, key string) {
	for range n {
		go func() {
			for ctx.Err() == nil {
				f.send(r, path, key)
				sleep(ctx, pause)
			}
		}()
	}
}

// answersOf returns the answers by attempt.
func (f *fleet) answersOf() map[string]answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	byAttempt := make(map[string]answer, len(f.answers))
	for _, a := range f.answers {
		byAttempt[a.attempt] = a
	}
	return byAttempt
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// at returns the time of a moment in the record's seconds.
func (f *fleet) at(t time.Time) float64 { return t.Sub(f.began).Seconds() }
