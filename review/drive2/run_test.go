//go:build review

package drive2

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"gooseberrytide.example/gooseberrytide/test/standin/freeports"
	"gooseberrytide.example/gooseberrytide/test/standin/platformstore"
)

// caseTimeout ends a case that hangs. A script may run for 120 s.
const caseTimeout = 110 * time.Second

const (
	host   = "ficu95.example"
	apiKey = "asnmgkcuyj8pjbvk9m68"
	zone   = "quito-a"
)

// run is one run of a case: the store, the processes that were started and the record.
type run struct {
	// trouble is set unless TROUBLE=0.
	trouble bool
	dir     string
	router  string
	store   *platformstore.Store
	storeAt string

	mu        sync.Mutex
	record    *os.File
	begin     time.Time
	processes []*process
	// awaitRun, if it is set, is called with the ID of each backend server that begins to run a request, onEngineRun with the
	// ID of the attempt.
	awaitRun, onEngineRun func(id string)
}

// process is a process that the run started.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// runCase runs a case and returns the exit status of the script.
func runCase(c func(*run) (bool, error)) int {
	r := &run{trouble: os.Getenv("TROUBLE") != "0", router: os.Getenv("ROUTER"), begin: time.Now()}
	var err error
	if r.record, err = os.Create(os.Getenv("RECORD")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	if r.dir, err = os.MkdirTemp("", "drive2-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer func() { _ = os.RemoveAll(r.dir) }()
	defer r.endProcesses()
	r.store = platformstore.New()
	server := httptest.NewServer(r.store)
	r.storeAt = server.Listener.Addr().String()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := c(r)
		done <- result{broken, err}
	}()
	select {
	case res := <-done:
		switch {
		case res.err != nil:
			r.log("NOT RUN: %v", res.err)
			return statusNotRun
		case res.broken:
			r.log("RULE BROKEN")
			return statusBroken
		}
		r.log("rule held")
		return statusHeld
	case <-time.After(caseTimeout):
		r.log("NOT RUN: the case took too long")
		return statusNotRun
	}
}

// log writes a line to the record and to standard output.
func (r *run) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.begin).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = io.WriteString(r.record, line)
	fmt.Print(line)
}

// start starts a process with an environment of its own.
func (r *run) start(cmd *exec.Cmd, env ...string) (*process, error) {
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.exited)
	}()
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	return p, nil
}

func (p *process) pid() int { return p.cmd.Process.Pid }

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal, unless the process has ended.
func (p *process) signal(s syscall.Signal) {
	if p.running() {
		_ = p.cmd.Process.Signal(s)
	}
}

func (r *run) endProcesses() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.processes {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
}

// putConfig writes the operator's configuration: a service of model engines and a plain service, as a small deployment has
// them.
func (r *run) putConfig(version int) {
	route := func(name, prefix, kind, service string, timeout, objective int, more string) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":%q,"routeKind":%q,"timeoutMs":%d,"objectiveMs":%d,"priority":1,
 "service":%q,"sticky":false,%s}`, name, host, prefix, kind, timeout, objective, service, more)
	}
	routes := []string{
		route("digest", "/digest/", "streaming", "pool", 12000, 1200, `"maxAttempts":1,"anonymous":false,"resumable":false,"gapTargetMs":800`),
		route("credit", "/credit/", "unsafe", "app", 2500, 150, `"maxAttempts":1,"anonymous":true,"resumable":false`),
		route("lookup", "/lookup/", "safe", "app", 2500, 150, `"maxAttempts":2,"anonymous":true,"resumable":false`),
	}
	r.store.Put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[%s],
"services":[{"name":"pool","healthPath":"/healthz","maxConns":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":381193}},
 {"name":"app","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"tokensPerS":260000},
"tenants":[{"name":"hule930","apiKeys":[%q],"priority":1}]}`, version, strings.Join(routes, ","), apiKey))
}

// router is one router process.
type router struct {
	*process
	name                      string
	front, readiness, resolve string
	// command returns the command that starts the process, with the environment variable env.
	command func() *exec.Cmd
	env     string
}

// startRouter starts a router with the command of the deploy file and waits until it is ready.
func (r *run) startRouter(name string, memoryMB int) (*router, error) {
	ports, err := freeports.ForRouter()
	if err != nil {
		return nil, err
	}
	address := func(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
	rt := &router{name: name, front: address(ports.Front), readiness: address(ports.Readiness), resolve: address(ports.Directory)}
	settings := fmt.Sprintf(`nodeName: %q
role: "router"
machineClass: "edge"
serves: ["edge", "directory"]
ip: "127.0.0.1"
zone: %q
region: "sierra-norte"
zones: {%s: "sierra-norte"}
listen: {front: %q, readiness: %q, directory: %q}
internalPorts: [%d, %d]
bootstrap: true
limits: {cpuShare: 0.4, cores: 1, memoryMb: %d, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
discovery: "platform"
entry: "directory"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"]
bounds: {contactMs: 3000, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, strictRevoke: true, revokeMs: 5000,
  retryBudgetRatio: 0.2, retryWindowS: 10, budgetSlack: 56, recoveryS: 12, quotaWindowS: 4, ttl_max_s: 5}
platform: {address: %q, form: "kv", writesPerS: 400, readsPerS: 2000, historyS: 20, maxValueBytes: 1048576, minTtlMs: 1000}
`, name, zone, zone, rt.front, rt.readiness, rt.resolve, ports.Peer, ports.Peer+2, memoryMB, r.storeAt)
	file := filepath.Join(r.dir, name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(r.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	rt.env = "GOOSEBERRYTIDE_NODE_FILE=" + file
	rt.command = func() *exec.Cmd {
		cmd := exec.Command(r.router, "gateway")
		cmd.Stdout, cmd.Stderr = output, output
		return cmd
	}
	if rt.process, err = r.start(rt.command(), rt.env); err != nil {
		return nil, err
	}
	if !rt.awaitReady(20 * time.Second) {
		text, _ := os.ReadFile(output.Name())
		return nil, fmt.Errorf("%s is not ready: %s", name, text)
	}
	r.log("%s is ready, process %d, %d MB", name, rt.pid(), memoryMB)
	return rt, nil
}

// awaitReady waits until the platform's readiness probe returns 200.
func (rt *router) awaitReady(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + rt.readiness + "/gooseberrytide/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// engine is the process of one backend server.
type engine struct {
	*process
	run         *run
	id, service string
	address     string
	born        int64
}

// startEngine starts the stand-in of a backend server and registers it. The stand-in writes what it runs to the record.
func (r *run) startEngine(id, service, mode string) (*engine, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{run: r, id: id, service: service, address: listener.Addr().String(), born: time.Now().UnixMilli()}
	_ = listener.Close()
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self, id, e.address, mode)
	cmd.Stdout = engineOutput{r, id}
	cmd.Stderr = os.Stderr
	if e.process, err = r.start(cmd, "DRIVE2=engine"); err != nil {
		return nil, err
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		conn, err := net.Dial("tcp4", e.address)
		if err == nil {
			_ = conn.Close()
			break
		}
		if time.Now().After(end) {
			return nil, fmt.Errorf("%s does not listen: %w", id, err)
		}
	}
	e.register("ready")
	return e, nil
}

// register writes the server's entry.
func (e *engine) register(state string) {
	value, _ := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": zone, "version": 1, "slots": 64, "state": state, "coldLeftMs": 0,
		"sequence": 1, "born": e.born,
	})
	e.run.store.Put("servers/"+e.id, value)
	e.run.log("store: %s is %s at %s", e.id, state, e.address)
}

// engineOutput records what a stand-in writes.
type engineOutput struct {
	run *run
	id  string
}

func (o engineOutput) Write(b []byte) (int, error) {
	for line := range strings.Lines(string(b)) {
		o.run.log("%s: %s", o.id, strings.TrimSpace(line))
		attempt, runs := strings.CutPrefix(line, "runs ")
		if runs && o.run.awaitRun != nil {
			o.run.awaitRun(o.id)
		}
		if runs && o.run.onEngineRun != nil {
			attempt, _, _ = strings.Cut(attempt, " ")
			o.run.onEngineRun(attempt)
		}
	}
	return len(b), nil
}
