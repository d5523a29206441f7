package earlyend

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/test/standin/routerprocess"
)

// smallCPUShare is the share of a core of a router that a few requests per second overload.
const smallCPUShare = 0.02

// http10Transport sends each request with HTTP/1.0 on a connection of its own.
type http10Transport struct{}

// RoundTrip implements http.RoundTripper.
func (http10Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var text bytes.Buffer
	if err := r.Write(&text); err != nil {
		return nil, err
	}
	conn, err := net.Dial("tcp4", r.URL.Host)
	if err != nil {
		return nil, err
	}
	go func() {
		_, _ = conn.Write(bytes.Replace(text.Bytes(), []byte(" HTTP/1.1\r\n"), []byte(" HTTP/1.0\r\n"), 1))
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), r)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	resp.Body = struct {
		io.Reader
		io.Closer
	}{resp.Body, conn}
	return resp, nil
}

// forwarded returns how many connections a router has passed on.
func forwarded(t *testing.T, r *routerprocess.Router) int {
	t.Helper()
	resp, err := http.Get("http://" + r.Metrics + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	_, rest, found := strings.Cut(string(text), `gooseberrytide_inspected_connections_total{action="forwarded"} `)
	count := 0
	if _, err := fmt.Sscan(rest, &count); found && err != nil {
		t.Fatal(err)
	}
	return count
}

// Guards against a part of a response that a client takes for a whole one after its connection was passed on to another
// router.
func TestPassedOnResponsesThatEndEarlyUnderStops(t *testing.T) {
	g := NewWithT(t)
	binary, store := routerprocess.Build(t, root), startStore(t, modelEngine)
	start := func(name string, share float64) *routerprocess.Router {
		return routerprocess.Start(t, binary, routerprocess.Options{
			Name: name, Store: store, MemoryMB: memoryMB, Descriptors: descriptors, CPUShare: share,
		})
	}
	small, large := start("r-1", smallCPUShare), start("r-2", 1)
	clients := map[string]*http.Client{
		"HTTP/1.0": {Transport: http10Transport{}},
		"HTTP/1.1": {Transport: &http.Transport{DisableKeepAlives: true}},
	}
	var calls []call
	for kind := range responses {
		for _, route := range []string{"chat", "digest"} { // requests of plain services are not passed on
			calls = append(calls, call{route, kind})
		}
	}
	g.Eventually(func() int {
		sendAll(clients["HTTP/1.0"], small.Front, []call{{"chat", "whole"}}, newTallies([]call{{"chat", "whole"}}))
		return forwarded(t, small)
	}, "20s").Should(BeNumerically(">", 0))
	for _, d := range []disturbance{{}, {30 * time.Millisecond, 20 * time.Millisecond}} {
		for name, client := range clients {
			t.Run(fmt.Sprintf("%s, %v of %v", name, d.stopped, d.stopped+d.running), func(t *testing.T) {
				before := forwarded(t, small)
				results := newTallies(calls)
				d.during(t.Context(), func() { sendAll(client, small.Front, calls, results) }, small, large)
				t.Logf("%d connections passed on", forwarded(t, small)-before)
				checkNoneMixed(t, results)
			})
		}
	}
}
