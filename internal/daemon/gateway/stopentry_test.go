package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/platform"
	"gooseberrytide.example/gooseberrytide/test/standin/platformengine"
)

const (
	// closeSlack is the time after the last byte of a request in which a connection may be closed without a response.
	closeSlack = 200 * time.Millisecond
	// stopClients is the number of clients for each way into a router that stops.
	stopClients = 4
	// clientPause is the time between two requests of such a client.
	clientPause = 40 * time.Millisecond
)

// stoppingRouter is a router process that gets SIGTERM.
type stoppingRouter struct {
	settings *platform.Settings
	process  *exec.Cmd
	exited   chan struct{}
}

// startProcess starts a router as a process of its own and waits until it is ready.
func (f *testFleet) startProcess(name string) *stoppingRouter {
	f.t.Helper()
	path := f.writeSettings(name, 2)
	r := &stoppingRouter{settings: f.readSettings(path), exited: make(chan struct{})}
	r.process = exec.Command(os.Args[0], "-test.run=^TestRouterProcess$", "-test.timeout=60s")
	r.process.Env = append(os.Environ(), routerProcessVariable+"=1", platform.SettingsVariable+"="+path)
	if err := r.process.Start(); err != nil {
		f.t.Fatal(err)
	}
	go func() {
		_ = r.process.Wait()
		close(r.exited)
	}()
	f.t.Cleanup(func() {
		_ = r.process.Process.Kill()
		<-r.exited
	})
	NewWithT(f.t).Eventually(func() int { return readinessStatus(r.settings) }, "20s").Should(Equal(http.StatusOK))
	return r
}

// stopResult is how a request to a router that stops ended. status is 0 if its connection ended without a response.
type stopResult struct {
	attempt string
	status  int
	// sent is when the last byte was sent, ended when the response was read or the connection ended. sent is zero if the
	// request was not sent completely.
	sent, ended time.Time
}

// stopClient sends requests in one way.
type stopClient struct {
	address string
	// kept makes the client use a connection until it is closed, and uploading makes it pause within the body.
	kept, uploading bool
	conn            net.Conn
	reader          *bufio.Reader
}

// send sends an unsafe request and waits for its end.
func (c *stopClient) send(attempt string) (result stopResult) {
	result.attempt = attempt
	defer func() {
		result.ended = time.Now()
		if c.conn != nil && (!c.kept || result.status == 0) {
			_ = c.conn.Close()
			c.conn = nil
		}
	}()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.address, time.Second)
		if err != nil {
			return result
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(10 * time.Second))
	parts := []string{fmt.Sprintf("POST /callout/x HTTP/1.1\r\nHost: shed.example\r\nAttempt-Id: %s\r\nAuthorization: Bearer farm-key\r\n"+
		"Deadline-Ms: 3000\r\nContent-Length: 4\r\n\r\nbo", attempt), "dy"}
	if !c.uploading {
		parts = []string{strings.Join(parts, "")}
	}
	for i, part := range parts {
		if i > 0 {
			time.Sleep(400 * time.Millisecond)
		}
		if _, err := io.WriteString(c.conn, part); err != nil {
			return result
		}
	}
	result.sent = time.Now()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return result
	}
	if _, err := io.ReadAll(resp.Body); err == nil {
		result.status = resp.StatusCode
	}
	return result
}

// Guards against requests that come late in a stop and end without a response: on kept and on new connections, passed on by
// another router, and with an upload under way; while the servers respond at once, late or not at all.
func TestStopAnswersHoweverARequestEnters(t *testing.T) {
	for name, mode := range map[string]platformengine.Mode{
		"servers respond": platformengine.Serve, "servers are late": platformengine.Silent, "servers hang": platformengine.Hang,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := newTestFleet(t, 2)
			f.graceS = 3
			r := f.startProcess("r-a")
			f.engines[1].Silence = 700 * time.Millisecond
			f.engines[1].SetMode(mode)
			passed := offloadAddress(netip.AddrPortFrom(r.settings.IP, uint16(r.settings.PeerPort)))
			ways := map[string]stopClient{
				"kept":              {address: r.settings.CallerListen, kept: true},
				"new":               {address: r.settings.CallerListen},
				"passed on":         {address: passed},
				"upload":            {address: r.settings.CallerListen, uploading: true},
				"kept upload":       {address: r.settings.CallerListen, kept: true, uploading: true},
				"upload, passed on": {address: passed, uploading: true},
			}
			var mu sync.Mutex
			results := make(map[string][]stopResult)
			var clients sync.WaitGroup
			for way, client := range ways {
				for i := range stopClients {
					clients.Go(func() {
						own := client
						for n := 0; ; n++ {
							select {
							case <-r.exited:
								return
							default:
							}
							result := own.send(strings.ReplaceAll(way, " ", "-") + "-" + strconv.Itoa(i) + "-" + strconv.Itoa(n))
							mu.Lock()
							results[way] = append(results[way], result)
							mu.Unlock()
							time.Sleep(clientPause)
						}
					})
				}
			}
			time.Sleep(500 * time.Millisecond)
			g.Expect(r.process.Process.Signal(syscall.SIGTERM)).To(Succeed())
			g.Eventually(r.exited, "5s").Should(BeClosed())
			clients.Wait()
			for way, list := range results {
				statuses := make(map[int]int)
				for _, result := range list {
					statuses[result.status]++
					runs := f.engines[1].Runs(result.attempt)
					if result.status == 0 && !result.sent.IsZero() {
						late := result.ended.Sub(result.sent) > closeSlack
						g.Expect(runs > 0 || late).To(BeFalse(), "%s: %+v ran %d times, ended %v after it was sent", way, result, runs, result.ended.Sub(result.sent))
					}
					if result.status == http.StatusServiceUnavailable {
						g.Expect(runs).To(BeZero(), "%s: %s was refused", way, result.attempt)
					}
				}
				t.Log(way, statuses)
				g.Expect(statuses[http.StatusServiceUnavailable]).To(BeNumerically(">", 0), "%s: none came late in the stop", way)
			}
		})
	}
}
