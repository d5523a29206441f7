// Package routerprocess starts routers on the users' platform as processes, for tests.
package routerprocess

import (
	"cmp"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/platform"
	"gooseberrytide.example/gooseberrytide/test/standin/freeports"
)

const (
	// readyTimeout bounds the time until a router is ready, readyPollPeriod is the time between two questions.
	readyTimeout    = 20 * time.Second
	readyPollPeriod = 50 * time.Millisecond
	// maxLoggedBytes is how much of the end of the log of a failed test's router is shown.
	maxLoggedBytes = 4000
)

// Options holds the settings of a router.
type Options struct {
	// Name is the router's ID.
	Name string
	// Store is the address of the store.
	Store string
	// MemoryMB is the memory limit in MiB, Descriptors the limit of open files.
	MemoryMB, Descriptors int
	// CPUShare is the share of a core that the router may use by its settings. The default is defaultCPUShare.
	CPUShare float64
}

const defaultCPUShare = 0.4

// Router is a router process.
type Router struct {
	Front, Readiness, Directory string
	Metrics, Relay, Offload     string
	// LogPath is the file with the router's log.
	LogPath string
	// Exited is closed when the process has ended.
	Exited chan struct{}
	cmd    *exec.Cmd
}

// Build builds the router and returns the path of the program. root is the path of the repository.
func Build(t *testing.T, root string) string {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	binary := filepath.Join(t.TempDir(), "gooseberrytided")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "./cmd/gooseberrytided")
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// Start starts a router and waits until it is ready. The process ends with the test.
func Start(t *testing.T, binary string, opts Options) *Router {
	t.Helper()
	ports, err := freeports.ForRouter()
	if err != nil {
		t.Fatal(err)
	}
	address := func(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
	dir := t.TempDir()
	r := &Router{
		Front: address(ports.Front), Readiness: address(ports.Readiness), Directory: address(ports.Directory),
		Relay: address(ports.Peer), Metrics: address(ports.Peer + 1), Offload: address(ports.Peer + 2),
		LogPath: filepath.Join(dir, "log"), Exited: make(chan struct{}),
	}
	text := fmt.Sprintf(`{"nodeName":%q,"zone":"a","ip":"127.0.0.1","listen":{"front":%q,"readiness":%q,"directory":%q},
"internalPorts":[%d,%d],"limits":{"memoryMb":%d,"cpuShare":%g},"platform":{"address":%q},
"bounds":{"graceS":2,"revokeMs":5000,"strictRevoke":true,"budgetSlack":20}}`,
		opts.Name, r.Front, r.Readiness, r.Directory, ports.Peer, ports.Peer+2, opts.MemoryMB,
		cmp.Or(opts.CPUShare, defaultCPUShare), opts.Store)
	settings := filepath.Join(dir, "node.yaml")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	r.run(t, binary, settings, opts.Descriptors)
	r.awaitReady(t)
	return r
}

// run starts the process.
func (r *Router) run(t *testing.T, binary, settings string, descriptors int) {
	t.Helper()
	log, err := os.Create(r.LogPath)
	if err != nil {
		t.Fatal(err)
	}
	r.cmd = exec.Command("sh", "-c", `ulimit -n "$1" && exec "$2" gateway`, "sh", strconv.Itoa(descriptors), binary)
	r.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+settings)
	r.cmd.Stdout, r.cmd.Stderr = log, log
	if err := r.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = r.cmd.Wait()
		close(r.Exited)
	}()
	t.Cleanup(func() {
		r.Signal(syscall.SIGKILL)
		<-r.Exited
		_ = log.Close()
		if text, err := os.ReadFile(r.LogPath); err == nil && t.Failed() {
			t.Logf("log of the router, its end:\n%s", text[max(0, len(text)-maxLoggedBytes):])
		}
	})
}

// awaitReady waits until the router says that it is ready.
func (r *Router) awaitReady(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyPollPeriod) {
		resp, err := http.Get("http://" + r.Readiness + platform.PathReadiness)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatalf("the router is not ready after %v", readyTimeout)
}

// PID returns the ID of the process.
func (r *Router) PID() int { return r.cmd.Process.Pid }

// Signal sends a signal to the process.
func (r *Router) Signal(s syscall.Signal) { _ = r.cmd.Process.Signal(s) }
