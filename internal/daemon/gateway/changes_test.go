package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// changedConfigs are configurations that differ from configText in one kind of change each. In each pair, the first
// text is replaced by the second one.
var changedConfigs = []struct{ kind, old, changed string }{
	{"a shorter timeout", `"timeoutMs":5000`, `"timeoutMs":3000`},
	{"a shorter objective", `"objectiveMs":800`, `"objectiveMs":400`},
	{"a shorter longest pause", `"gapTargetMs":500`, `"gapTargetMs":50`},
	{"one attempt", `"maxAttempts":2`, `"maxAttempts":1`},
	{"streams that are not resumable", `"resumable":true`, `"resumable":false`},
	{"a lower rate of the engines", `"tokensPerS":100000`, `"tokensPerS":2000`},
	{"fewer slots", `"slots":16`, `"slots":2`},
	{"fewer connections", `"maxConns":100`, `"maxConns":2`},
	{"smaller bodies", `"maxBodyBytes":1000000`, `"maxBodyBytes":2`},
	{"a moved route", `"pathPrefix":"/callout/"`, `"pathPrefix":"/moved/"`},
	{"a route to a service without servers", `"service":"app"`, `"service":"none"`},
	{"weights", `"service":"pool",`, `"split":[{"service":"pool","weight":50},{"service":"none","weight":50}],`},
	{"another kind of route", `"routeKind":"unsafe"`, `"routeKind":"safe"`},
	{"another key", `"apiKeys":["farm-key"]`, `"apiKeys":["other-key"]`},
}

// clientLoad sends requests to routers and records those that end without a complete response.
type clientLoad struct {
	mu       sync.Mutex
	routers  []*testNode
	statuses map[int]int
	failures []string
}

// setRouters sets the routers that further requests are sent to.
func (l *clientLoad) setRouters(routers ...*testNode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.routers = routers
}

// run sends one request after another until done is closed.
func (l *clientLoad) run(client int, done <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		default:
		}
		l.mu.Lock()
		router := l.routers[(client+i)%len(l.routers)]
		l.mu.Unlock()
		path := []string{"/callout/x", "/digest/x"}[(client+i/2)%2]
		status, err := router.send(path, fmt.Sprintf("load-%d-%d", client, i))
		l.record(path, status, err)
		time.Sleep(5 * time.Millisecond) // a refused client waits
	}
}

// record records a result. A connection that the system refuses carried no request.
func (l *clientLoad) record(path string, status int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.statuses[status]++
	case !errors.Is(err, syscall.ECONNREFUSED):
		l.failures = append(l.failures, fmt.Sprintf("%s: status %d: %v", path, status, err))
	}
}

// send sends a request on a connection of its own and reads the whole response.
func (n *testNode) send(path, attempt string) (int, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+n.settings.CallerListen+path, strings.NewReader("body"))
	if err != nil {
		return 0, err
	}
	r.Host, r.Close = "shed.example", true
	r.Header.Set("Attempt-Id", attempt)
	r.Header.Set("Authorization", "Bearer farm-key")
	r.Header.Set("Deadline-Ms", "3000")
	if strings.HasPrefix(path, "/digest/") {
		r.Header.Set("Model", "m")
		r.Header.Set("Token-Usage", "100,10")
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// changeEntry writes the entry of a backend server with the state. If the state is empty, it removes the entry.
func (f *testFleet) changeEntry(i int, state string) {
	key := "servers/" + f.engines[i].ID
	if state == "" {
		f.store.Remove(key)
		return
	}
	f.store.Put(key, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"a","slots":8,"state":%q}`,
		[]string{"pool", "app"}[i%2], f.addresses[i], state))
}

// reloadWith changes a text of the settings file and sends the router a SIGHUP.
func (n *testNode) reloadWith(t *testing.T, old, changed string) {
	t.Helper()
	text, err := os.ReadFile(n.path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(n.path, bytes.Replace(text, []byte(old), []byte(changed), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	n.signals <- syscall.SIGHUP
}

// Guards against requests that have been accepted and end without a complete response, because the configuration, the
// servers or the settings change, or because a router stops.
func TestChangesCutNoResponse(t *testing.T) {
	const changePeriod, clients = 150 * time.Millisecond, 12
	g := NewWithT(t)
	f := newTestFleet(t, 4)
	for _, e := range f.engines {
		e.Events, e.Pause = 20, 30*time.Millisecond
	}
	a, b := f.startRouter("r-a"), f.startRouter("r-b")
	for _, n := range f.nodes {
		g.Eventually(n.readinessStatus, "5s").Should(Equal(http.StatusOK))
	}
	load := &clientLoad{statuses: make(map[int]int)}
	load.setRouters(a, b)
	done := make(chan struct{})
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() { load.run(i, done) })
	}
	version := 1
	configure := func(old, changed string) {
		version++
		text := fmt.Sprintf(configText, version, `"farm-key"`)
		g.Expect(text).To(ContainSubstring(old))
		f.store.Put("op/config", []byte(strings.ReplaceAll(text, old, changed)))
		time.Sleep(changePeriod)
	}
	for i, c := range changedConfigs {
		configure(c.old, c.changed)
		switch i {
		case 2:
			f.changeEntry(0, "draining")
			f.changeEntry(1, "draining")
		case 4:
			f.changeEntry(0, "")
			f.changeEntry(1, "")
		case 6:
			f.changeEntry(0, "ready")
			f.changeEntry(1, "ready")
			a.reloadWith(t, `"revokeMs":2500`, `"revokeMs":3000`)
			b.reloadWith(t, `"graceS":2`, `"graceS":4`)
		case 8:
			a.reloadWith(t, `"budgetSlack":20`, `"budgetSlack":1`)
			b.stop()
		case 10:
			load.setRouters(a)
		}
		configure("farm", "farm") // the first configuration again
	}
	g.Eventually(b.done, "5s").Should(Receive(BeNil()))
	close(done)
	running.Wait()
	t.Logf("responses by status: %v", load.statuses)
	g.Expect(load.failures).To(BeEmpty())
	g.Expect(load.statuses[http.StatusOK]).To(BeNumerically(">", 100))
	for _, n := range f.nodes {
		g.Expect(n.cutResponses()).To(BeEmpty(), n.settings.Router)
	}
}
