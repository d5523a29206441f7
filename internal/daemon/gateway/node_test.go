package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/platform"
	"gooseberrytide.example/gooseberrytide/test/standin/freeports"
	"gooseberrytide.example/gooseberrytide/test/standin/platformengine"
	"gooseberrytide.example/gooseberrytide/test/standin/platformstore"
)

const configText = `{"version":%d,"routes":[
 {"name":"digest","host":"shed.example","pathPrefix":"/digest/","routeKind":"streaming","timeoutMs":5000,
  "objectiveMs":800,"service":"pool","maxAttempts":2,"resumable":true,"gapTargetMs":500},
 {"name":"callout","host":"shed.example","pathPrefix":"/callout/","routeKind":"unsafe","timeoutMs":3000,
  "objectiveMs":300,"service":"app","maxAttempts":1},
 {"name":"lookup","host":"shed.example","pathPrefix":"/lookup/","routeKind":"safe","timeoutMs":3000,
  "objectiveMs":300,"service":"app","maxAttempts":2}],
 "services":[{"name":"pool","maxConns":100,"engine":{"slots":16,"kvCapacity":100000,"stride":4}},
  {"name":"app","maxConns":100}],
 "limits":{"maxBodyBytes":1000000,"tokensPerS":100000},
 "tenants":[{"name":"farm","apiKeys":[%s]}]}`

// testFleet is a store, backend servers and routers on the loopback interface.
type testFleet struct {
	t            *testing.T
	store        *platformstore.Store
	storeAddress string
	engines      []*platformengine.Engine
	// addresses are the addresses of engines.
	addresses []string
	nodes     []*testNode
	// revokeMS is the time after which a removed key must no longer be accepted, in milliseconds.
	revokeMS int
	// graceS is the grace period of routers, in seconds.
	graceS int
}

// testNode is a router that runs in the test's process.
type testNode struct {
	*Node
	t    *testing.T
	path string
	// signals replaces the system's signals.
	signals chan os.Signal
	stop    context.CancelFunc
	done    chan error
}

func newTestFleet(t *testing.T, engineCount int) *testFleet {
	t.Helper()
	f := &testFleet{t: t, store: platformstore.New(), revokeMS: 2500, graceS: 2}
	server := httptest.NewServer(f.store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	f.storeAddress = server.Listener.Addr().String()
	for i := range engineCount {
		e := platformengine.New(fmt.Sprintf("i-%d", i))
		backend := httptest.NewServer(e)
		t.Cleanup(func() {
			backend.CloseClientConnections()
			backend.Close()
		})
		f.engines = append(f.engines, e)
		f.addresses = append(f.addresses, backend.Listener.Addr().String())
		service := []string{"pool", "app"}[i%2]
		f.store.Put("servers/"+e.ID, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"a","slots":8,"state":"ready"}`,
			service, backend.Listener.Addr().String()))
	}
	f.configure(1, "farm-key")
	return f
}

func (f *testFleet) configure(version int, keys ...string) {
	quoted := make([]string, len(keys))
	for i, key := range keys {
		quoted[i] = fmt.Sprintf("%q", key)
	}
	f.store.Put("op/config", fmt.Appendf(nil, configText, version, strings.Join(quoted, ",")))
}

// loopbackAddress returns the loopback address with a port.
func loopbackAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func routerPorts(t *testing.T) freeports.Router {
	t.Helper()
	ports, err := freeports.ForRouter()
	if err != nil {
		t.Fatal(err)
	}
	return ports
}

// startRouter starts a router with 0.4 CPU cores.
func (f *testFleet) startRouter(name string) *testNode {
	f.t.Helper()
	return f.startRouterWithCores(name, 0.4)
}

func (f *testFleet) startRouterWithCores(name string, cores float64) *testNode {
	f.t.Helper()
	n := &testNode{t: f.t, path: f.writeSettings(name, cores), signals: make(chan os.Signal, 1), done: make(chan error, 1)}
	settings := f.readSettings(n.path)
	var err error
	if n.Node, err = New(settings, zap.NewNop()); err != nil {
		f.t.Fatal(err)
	}
	n.runQueueDelay = noDelay{}
	n.hangup = n.signals
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() { n.done <- n.Run(ctx, n.path) }()
	f.t.Cleanup(cancel)
	f.nodes = append(f.nodes, n)
	return n
}

// writeSettings writes the settings of a router with free ports and returns their path.
func (f *testFleet) writeSettings(name string, cores float64) string {
	f.t.Helper()
	ports := routerPorts(f.t)
	text := fmt.Sprintf(`{"nodeName":%q,"zone":"a","region":"north","ip":"127.0.0.1",
"listen":{"front":%q,"readiness":%q,"directory":%q},"internalPorts":[%d,%d],"limits":{"memoryMb":400,"cpuShare":%v},
"bounds":{"graceS":%d,"revokeMs":%d,"strictRevoke":true,"budgetSlack":20},"platform":{"address":%q}}`,
		name, loopbackAddress(ports.Front), loopbackAddress(ports.Readiness), loopbackAddress(ports.Directory),
		ports.Peer, ports.Peer+2, cores, f.graceS, f.revokeMS, f.storeAddress)
	path := filepath.Join(f.t.TempDir(), name+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

func (f *testFleet) readSettings(path string) *platform.Settings {
	f.t.Helper()
	settings, err := platform.ReadSettings(path)
	if err != nil {
		f.t.Fatal(err)
	}
	return settings
}

func (n *testNode) readinessStatus() int { return readinessStatus(n.settings) }

// readinessStatus returns the status of the readiness port of the router with the settings, or 0.
func readinessStatus(settings *platform.Settings) int {
	resp, err := http.Get("http://" + settings.ReadinessListen + platform.PathReadiness)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// directoryAnswer returns the answer of the router's directory, or the text of the error.
func (n *testNode) directoryAnswer() string {
	resp, err := http.Get("http://" + n.settings.DirectoryListen + platform.PathDirectory + "?name=shed.example&zone=a")
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return string(body)
}

func (n *testNode) call(path, attempt, key string) (int, string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+n.settings.CallerListen+path, strings.NewReader("body"))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = "shed.example"
	r.Header.Set("Attempt-Id", attempt)
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Deadline-Ms", "3000")
	if strings.HasPrefix(path, "/digest/") {
		r.Header.Set("Model", "m")
		r.Header.Set("Token-Usage", "100,10")
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}

// Guards against routers that do not find the store, the backend servers or one another.
func TestFleetServes(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 4)
	a, b := f.startRouter("r-a"), f.startRouter("r-b")
	for _, n := range []*testNode{a, b} {
		g.Eventually(n.readinessStatus, "5s").Should(Equal(http.StatusOK))
		status, body := n.call("/callout/x", "call-"+n.settings.Router, "farm-key")
		g.Expect(status).To(Equal(http.StatusOK), body)
		status, body = n.call("/digest/x", "stream-"+n.settings.Router, "farm-key")
		g.Expect(status).To(Equal(http.StatusOK), body)
		g.Expect(strings.Count(body, "id: ")).To(Equal(5))
	}
	g.Eventually(a.directoryAnswer, "3s").Should(And(
		ContainSubstring(a.settings.CallerListen), ContainSubstring(b.settings.CallerListen)))
	g.Expect(f.store.Keys("gooseberrytide/routers/")).To(HaveLen(2))
	status, _ := a.call("/callout/x", "c", "wrong-key")
	g.Expect(status).To(Equal(http.StatusUnauthorized))
}

// Guards against a removed API key that still works, at routers that reach the store and at those that do not.
func TestRemovedKeysStopWorking(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 2)
	n := f.startRouter("r-a")
	g.Eventually(n.readinessStatus, "5s").Should(Equal(http.StatusOK))
	f.configure(2, "other-key")
	g.Eventually(func() int {
		status, _ := n.call("/callout/x", "removed", "farm-key")
		return status
	}, "2s").Should(Equal(http.StatusUnauthorized))
	f.store.SetDown(true)
	g.Eventually(func() int {
		status, _ := n.call("/callout/x", "stale", "other-key")
		return status
	}, "4s").Should(Equal(http.StatusServiceUnavailable))
	g.Expect(n.readinessStatus()).To(Equal(http.StatusServiceUnavailable))
	f.store.SetDown(false)
	g.Eventually(func() int {
		status, _ := n.call("/callout/x", "back", "other-key")
		return status
	}, "4s").Should(Equal(http.StatusOK))
}

// Guards against a graceful stop that cuts off a stream, keeps accepting clients, or leaves the router's entry in the
// store.
func TestGracefulStopCompletesRequests(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 2)
	n := f.startRouter("r-a")
	g.Eventually(n.readinessStatus, "5s").Should(Equal(http.StatusOK))
	f.engines[0].Events, f.engines[0].Pause = 20, 40*time.Millisecond
	type result struct {
		status int
		body   string
	}
	ended := make(chan result, 1)
	go func() {
		status, body := n.call("/digest/x", "long", "farm-key")
		ended <- result{status, body}
	}()
	time.Sleep(100 * time.Millisecond)
	n.stop()
	g.Eventually(n.readinessStatus, "1s").Should(Equal(http.StatusServiceUnavailable))
	r := <-ended
	g.Expect(r.status).To(Equal(http.StatusOK))
	g.Expect(strings.Count(r.body, "id: ")).To(Equal(20))
	g.Eventually(n.done, "5s").Should(Receive(BeNil()))
	g.Eventually(func() []string { return f.store.Keys("gooseberrytide/routers/") }, "3s").Should(BeEmpty())
}

// Guards against a router that does not serve because its metrics port is in use. It happened in a soak test, in which
// ports were allocated twice.
func TestServesWithoutMetrics(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 2)
	n := f.startRouter("r-a")
	g.Eventually(n.readinessStatus, "5s").Should(Equal(http.StatusOK))
	listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", n.settings.PeerPort+metricsPortOffset))
	g.Expect(err).To(HaveOccurred(), "the first router listens on its metrics port")
	if err == nil {
		_ = listener.Close()
	}
	second := *n.settings
	ports := routerPorts(t)
	second.CallerListen, second.ReadinessListen, second.DirectoryListen =
		loopbackAddress(ports.Front), loopbackAddress(ports.Readiness), ""
	second.PeerPort = ports.Peer
	occupied, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", second.PeerPort+metricsPortOffset))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = occupied.Close() }()
	node, err := New(&second, zap.NewNop())
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- node.Run(ctx, n.path) }()
	g.Eventually(node.ready, "5s").Should(BeTrue(), func() string {
		select {
		case err := <-done:
			return fmt.Sprintf("the router ended: %v", err)
		default:
			return "the router runs"
		}
	})
	cancel()
	g.Eventually(done, "8s").Should(Receive(BeNil()))
}

// Guards against settings that a reload does not put in force, and against an invalid file that changes the settings or
// ends the process.
func TestSettingsAreReloaded(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 2)
	n := f.startRouter("r-a")
	node, err := New(n.settings, zap.NewNop())
	g.Expect(err).NotTo(HaveOccurred())
	before := node.currentKeyMaxConfigAge()
	text, err := os.ReadFile(n.path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(n.path, []byte("broken: ["), 0o600)).To(Succeed())
	node.reload(n.path)
	g.Expect(node.currentKeyMaxConfigAge()).To(Equal(before))
	changed := bytes.Replace(text, []byte(`"revokeMs":2500`), []byte(`"revokeMs":4000`), 1)
	g.Expect(os.WriteFile(n.path, changed, 0o600)).To(Succeed())
	node.reload(n.path)
	g.Expect(node.currentKeyMaxConfigAge()).To(Equal(before + 1500*time.Millisecond))
}

// blockedWriter simulates standard output whose reader is blocked. Writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
	written bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.written.Write(p)
}

// countLines returns how many lines of a log are the given line, and how many dropped lines the log reports.
func countLines(t *testing.T, log, line string) (written, dropped int) {
	t.Helper()
	for l := range strings.Lines(log) {
		if l == line {
			written++
			continue
		}
		var report struct{ Count int }
		if err := json.Unmarshal([]byte(l), &report); err != nil {
			t.Fatalf("log line %q: %v", l, err)
		}
		dropped += report.Count
	}
	return written, dropped
}

// Guards against a blocked reader of the log that delays requests, and against lines that are neither written nor
// counted. The writer may report dropped lines in its first batch, before the test reads the count.
func TestLogWriterNeverBlocks(t *testing.T) {
	g := NewWithT(t)
	out := &blockedWriter{release: make(chan struct{})}
	w := newLogWriter(out)
	start := time.Now()
	const line, lines = "line\n", 3 * logBufferLines
	for range lines {
		_, err := w.Write([]byte(line))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(time.Since(start)).To(BeNumerically("<", time.Second))
	close(out.release)
	w.close()
	written, reported := countLines(t, out.written.String(), line)
	dropped := reported + int(w.dropped.Load())
	g.Expect(dropped).To(BeNumerically(">", 0))
	g.Expect(written + dropped).To(Equal(lines))
}

func BenchmarkLogLine(b *testing.B) {
	w := newLogWriter(io.Discard)
	log := newLogger(w)
	for b.Loop() {
		log.Info("answered", zap.String("request", "9c41d07be2a35f68"), zap.String("route", "r"), zap.Int("sends", 1),
			zap.Duration("took", time.Second), zap.Int("status", 200))
	}
	w.close()
}

// Guards against a panic at the end of the process, when goroutines still log while the writer is closed.
func TestLogWriterIsClosedWhileOthersWrite(t *testing.T) {
	w := newLogWriter(io.Discard)
	ctx, cancel := context.WithCancel(t.Context())
	var writers sync.WaitGroup
	for range 4 {
		writers.Go(func() {
			for ctx.Err() == nil {
				_, _ = w.Write([]byte("line\n"))
			}
		})
	}
	time.Sleep(10 * time.Millisecond)
	w.close()
	time.Sleep(10 * time.Millisecond)
	cancel()
	writers.Wait()
}
