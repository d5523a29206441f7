package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/transport/relayhttp"
	"gooseberrytide.example/gooseberrytide/platform"
	"gooseberrytide.example/gooseberrytide/test/standin/slowpeer"
)

const (
	// peerPause is how long a slow peer reads or writes nothing. It is longer than the user timeout of connections.
	peerPause = 4500 * time.Millisecond
	// uploadPause is how long a client that is out of reach interrupts a body.
	uploadPause = 12 * time.Second
	// slowGraceS is the grace period of routers with slow peers, in seconds, slowTimeoutMS the timeout of their routes.
	slowGraceS    = 8
	slowTimeoutMS = 15_000
	// uploadBytes is the size of a long body, longEvents the number of events of a long stream and eventBytes their size.
	uploadBytes = 900_000
	longEvents  = 400
	eventBytes  = 500
	// pipelinedRequests is the number of requests that a client of an internal port sends at once, and pipelinePause the time
	// between two times. After some seconds the system's buffers hold no more.
	pipelinedRequests = 4_000
	pipelinePause     = 200 * time.Millisecond
)

// newSlowFleet starts a fleet with long timeouts whose engine has a small window. An engine pauses before it reads the body
// of a request on a path with "engine-reads", and within its response to one with "engine-writes".
func newSlowFleet(t *testing.T) *testFleet {
	t.Helper()
	f := newTestFleet(t, 2)
	f.graceS = slowGraceS
	f.store.Put("op/config", fmt.Appendf(nil, strings.ReplaceAll(configText, `"timeoutMs":5000`, `"timeoutMs":`+strconv.Itoa(slowTimeoutMS)),
		2, `"farm-key"`))
	backend := httptest.NewUnstartedServer(http.HandlerFunc(serveSlowly))
	backend.Listener = slowpeer.Listen(t)
	backend.Start()
	t.Cleanup(func() {
		backend.CloseClientConnections()
		backend.Close()
	})
	f.store.Put("servers/i-0", fmt.Appendf(nil, `{"service":"pool","address":%q,"zone":"a","slots":64,"state":"ready"}`,
		backend.Listener.Addr()))
	return f
}

// serveSlowly responds with a stream of longEvents events.
func serveSlowly(w http.ResponseWriter, r *http.Request) {
	if strings.Contains(r.URL.Path, "engine-reads") {
		time.Sleep(peerPause)
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Instance-Signature", "sig-i-0")
	w.Header().Set("Content-Type", "text/event-stream")
	for id := range longEvents {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id+1, strings.Repeat("t", eventBytes))
		if id == longEvents/2 && strings.Contains(r.URL.Path, "engine-writes") {
			_ = http.NewResponseController(w).Flush()
			time.Sleep(peerPause)
		}
	}
}

// slowClient sends a request with a long body for a stream and reads the response. kind is the end of the path: a client
// pauses within its body for "client-writes", for longer for "client-interrupts", and before it reads the response for
// "client-reads".
func slowClient(conn net.Conn, kind, attempt string) (events int, err error) {
	body := strings.Repeat("b", uploadBytes)
	fmt.Fprintf(conn, "POST /digest/%s HTTP/1.1\r\nHost: shed.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n"+
		"Authorization: Bearer farm-key\r\nModel: m\r\nToken-Usage: 100,10\r\nContent-Length: %d\r\n\r\n",
		kind, attempt, slowTimeoutMS, len(body))
	half := body[:uploadBytes/2]
	if _, err := io.WriteString(conn, half); err != nil {
		return 0, err
	}
	switch kind {
	case "client-writes":
		time.Sleep(peerPause)
	case "client-interrupts":
		time.Sleep(uploadPause)
	}
	if _, err := io.WriteString(conn, half); err != nil {
		return 0, err
	}
	if kind == "client-reads" {
		time.Sleep(peerPause)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	text, err := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return 0, errors.Errorf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	return strings.Count(string(text), "id: "), err
}

// Guards against answers that are cut off because a client, a backend server or another router reads or writes nothing for
// some seconds, with a long body, on connections that are served directly and passed on, while the routers run or stop.
func TestSlowPeersGetWholeAnswers(t *testing.T) {
	for _, passedOn := range []bool{false, true} {
		for _, stopping := range []string{"none", "first", "second"} {
			if !passedOn && stopping == "second" {
				continue
			}
			t.Run(fmt.Sprintf("passed on %v, stopping %s", passedOn, stopping), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				f := newSlowFleet(t)
				var first, second *testNode
				if passedOn {
					first, second = f.startOverloaded()
				} else {
					first = f.startRouter("r-a")
					g.Eventually(first.readinessStatus, "5s").Should(Equal(http.StatusOK))
				}
				kinds := []string{"client-reads", "client-writes", "engine-reads", "engine-writes"}
				if stopping == "none" {
					kinds = append(kinds, "client-interrupts")
				}
				results := make(chan string, len(kinds))
				for _, kind := range kinds {
					conn := slowpeer.Dial(t, first.settings.CallerListen)
					go func() {
						events, err := slowClient(conn, kind, "slow-"+kind)
						results <- fmt.Sprintf("%s: %d events, %v", kind, events, err)
					}()
				}
				serving := first
				if passedOn {
					serving = second
				}
				g.Eventually(serving.gateway.Active, "2s").Should(BeNumerically(">=", len(kinds)-1), "all but the one that is answered")
				switch stopping {
				case "first":
					first.stop()
				case "second":
					second.stop()
				}
				for range kinds {
					var result string
					g.Eventually(results, 2*slowTimeoutMS*time.Millisecond).Should(Receive(&result))
					whole := HaveSuffix(": %d events, <nil>", longEvents)
					if stopping != "none" && strings.HasPrefix(result, "client-writes") {
						whole = Or(whole, ContainSubstring("status 503")) // its body ends too late in the stop
					}
					g.Expect(result).To(whole)
				}
			})
		}
	}
}

// Guards against clients of the internal ports that read nothing and hold goroutines and responses for ever: their memory is
// in no account.
func TestUnreadResponsesOfInternalPortsEnd(t *testing.T) {
	g := NewWithT(t)
	n := newTestFleet(t, 2).startRouter("r-a")
	g.Eventually(n.readinessStatus, "5s").Should(Equal(http.StatusOK))
	requests := map[string]string{
		n.settings.DirectoryListen:       "GET " + platform.PathDirectory + "?name=shed.example&zone=a",
		n.settings.ReadinessListen:       "GET " + platform.PathReadiness,
		n.peerAddress(metricsPortOffset): "GET /metrics",
		n.peerAddress(0):                 "GET " + relayhttp.Path + "?after=0&wait_ms=0",
	}
	ended := make(chan string, len(requests))
	for address, line := range requests {
		conn := slowpeer.Dial(t, address)
		go func() {
			text := strings.Repeat(line+" HTTP/1.1\r\nHost: r-a\r\n\r\n", pipelinedRequests)
			for err := error(nil); err == nil; time.Sleep(pipelinePause) {
				_, err = io.WriteString(conn, text)
			}
			ended <- line
		}()
	}
	for range requests {
		g.Eventually(ended, responseTimeout+10*time.Second).Should(Receive())
	}
}
