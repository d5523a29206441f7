package overlimit

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/test/standin/platformstore"
	"gooseberrytide.example/gooseberrytide/test/standin/routerprocess"
)

// Limits of the test's deployment. A router of it takes 17 to 25 MB without load.
const (
	memoryMB    = 80
	descriptors = 512
	// responseBytes is the size of a response of the plain service on the path /lookup/large.
	responseBytes = 4 << 20
	host          = "shed.example"
)

const configText = `{"version":1,"routes":[
 {"name":"lookup","host":"shed.example","pathPrefix":"/lookup/","routeKind":"safe","timeoutMs":8000,
  "objectiveMs":300,"service":"app","maxAttempts":2},
 {"name":"faulty-calls","host":"shed.example","pathPrefix":"/faulty/","routeKind":"safe","timeoutMs":2000,
  "objectiveMs":300,"service":"faulty","maxAttempts":2},
 {"name":"faulty-streams","host":"shed.example","pathPrefix":"/faultystream/","routeKind":"streaming","timeoutMs":2000,
  "objectiveMs":300,"service":"faulty","maxAttempts":2,"resumable":true,"gapTargetMs":500}],
 "services":[{"name":"app"},{"name":"faulty"}],
 "limits":{"maxBodyBytes":4194304,"maxHeaderBytes":16384,"headerTimeoutMs":1000,"idleTimeoutMs":5000,"tokensPerS":100000},
 "tenants":[{"name":"farm","apiKeys":["farm-key"]},{"name":"hot","apiKeys":["hot-key"]}]}`

// router is a router process with a store and one backend server.
type router struct {
	*routerprocess.Router
	t     *testing.T
	store *platformstore.Store
}

// buildRouter builds the router and returns the path of the program.
func buildRouter(t *testing.T) string {
	t.Helper()
	return routerprocess.Build(t, filepath.Join("..", ".."))
}

// startRouter starts a router with a limit on its file descriptors.
func startRouter(t *testing.T, binary string) *router {
	t.Helper()
	store := platformstore.New()
	storeServer := httptest.NewServer(store)
	backend := httptest.NewServer(http.HandlerFunc(serveBackend))
	t.Cleanup(func() {
		for _, s := range []*httptest.Server{storeServer, backend} {
			s.CloseClientConnections()
			s.Close()
		}
	})
	store.Put("op/config", []byte(configText))
	store.Put("servers/i-1", fmt.Appendf(nil, `{"service":"app","address":%q,"zone":"a","slots":64,"state":"ready"}`,
		backend.Listener.Addr()))
	return &router{t: t, store: store, Router: routerprocess.Start(t, binary, routerprocess.Options{
		Name: "r-1", Store: storeServer.Listener.Addr().String(), MemoryMB: memoryMB, Descriptors: descriptors,
	})}
}

// serveBackend is the plain service. It answers paths that end with "large" with responseBytes bytes.
func serveBackend(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Instance-Signature", "sig-i-1")
	if !strings.HasSuffix(r.URL.Path, "large") {
		_, _ = io.WriteString(w, "answer")
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(responseBytes))
	_, _ = w.Write(make([]byte, responseBytes))
}

// request returns the text of a request's header, without the line that ends it.
func request(path, attempt, key string) string {
	return requestTo("/lookup/"+path, attempt, key)
}

// requestTo returns the same for a whole path.
func requestTo(path, attempt, key string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 7000\r\nAuthorization: Bearer %s\r\n",
		path, host, attempt, key)
}

// ordinaryStatus sends a request within the limits on a connection of its own and returns its status, or 0.
func (r *router) ordinaryStatus() int {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Front+"/lookup/x", strings.NewReader("body"))
	if err != nil {
		return 0
	}
	req.Host, req.Close = host, true
	req.Header.Set("Attempt-Id", fmt.Sprintf("ordinary-%d", time.Now().UnixNano()))
	req.Header.Set("Deadline-Ms", "7000")
	req.Header.Set("Authorization", "Bearer farm-key")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// peakMemoryMB returns the largest resident memory that the process has had, in MiB.
func (r *router) peakMemoryMB() int {
	r.t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.PID()))
	if err != nil {
		r.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		r.t.Fatal("the process has ended")
	}
	kib, err := strconv.Atoi(fields[0])
	if err != nil {
		r.t.Fatal(err)
	}
	return kib >> 10
}

// openDescriptors returns the number of file descriptors of the process.
func (r *router) openDescriptors() int {
	r.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.PID()))
	if err != nil {
		r.t.Fatal(err)
	}
	return len(entries)
}

// crowd runs n clients for d. Each connects, calls send, and connects again when the connection has been closed.
func crowd(n int, d time.Duration, address string, send func(ctx context.Context, conn net.Conn)) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	done := make(chan struct{})
	for range n {
		go func() {
			defer func() { done <- struct{}{} }()
			for ctx.Err() == nil {
				sendOnce(ctx, address, send)
			}
		}()
	}
	for range n {
		<-done
	}
}

// reconnectPause is the time after which a client of a crowd connects again.
const reconnectPause = 200 * time.Millisecond

// sendOnce opens a connection, which is closed when the context ends, and calls send.
func sendOnce(ctx context.Context, address string, send func(ctx context.Context, conn net.Conn)) {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err == nil {
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		send(ctx, conn)
		stop()
		_ = conn.Close()
	}
	select {
	case <-ctx.Done():
	case <-time.After(reconnectPause):
	}
}
