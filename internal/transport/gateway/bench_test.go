package gateway

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/state/backends"
)

// Measures the cost of a refusal. Under a flood most requests are refused, which could take all processor time of a
// small router.
func BenchmarkRefusal(b *testing.B) {
	h := newHarness(b, 0)
	body := strings.Repeat("x", 2000)
	b.ReportAllocs()
	for b.Loop() {
		r := httptest.NewRequest(http.MethodPost, "/digest/x", strings.NewReader(body))
		r.Host = "shed.example"
		r.Header.Set("Attempt-Id", "a")
		r.Header.Set("Authorization", "Bearer "+testKey)
		r.Header.Set("Deadline-Ms", "4000")
		r.Header.Set("Token-Usage", "1460,80")
		r.Header.Set("Prefix-Hash", "5c1e07a2:800,91bd3f06:410,aa:250")
		rec := httptest.NewRecorder()
		h.gateway.ServeHTTP(rec, r)
		if rec.Code != http.StatusServiceUnavailable {
			NewWithT(b).Expect(rec.Code).To(Equal(http.StatusServiceUnavailable))
		}
	}
}

// Measures the cost of a refusal with its connection, client included: with a new connection for each request or a kept
// one, and with and without the body read.
func BenchmarkRefusalOverConnections(b *testing.B) {
	cases := []struct {
		name       string
		overloaded bool
		keep       bool
		bodyBytes  int
	}{
		{name: "new connection, 12 kB read", bodyBytes: 12_000},
		{name: "new connection, 12 kB not read", overloaded: true, bodyBytes: 12_000},
		{name: "new connection, 800 B read", bodyBytes: 800},
		{name: "kept connection, 12 kB read", keep: true, bodyBytes: 12_000},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			h := newHarness(b, 1)
			h.admission.SetServers(backends.NewSet(nil))
			if c.overloaded {
				h.delay.Store(int64(2 * maxSchedulingDelay))
			}
			client := &refusedClient{b: b, address: h.server.Listener.Addr().String()}
			body := strings.Repeat("x", c.bodyBytes)
			for b.Loop() {
				client.send(h.request(http.MethodPost, "/digest/x", "a", body), c.keep)
			}
		})
	}
}

// refusedClient sends requests that are refused over a connection of its own.
type refusedClient struct {
	b       *testing.B
	address string
	conn    net.Conn
}

// send sends a request, and closes the connection unless it is to be kept.
func (c *refusedClient) send(r *http.Request, keep bool) {
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.address)
		if err != nil {
			c.b.Fatal(err)
		}
		c.conn = conn
	}
	if err := r.Write(c.conn); err != nil {
		c.b.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c.conn), r)
	if err != nil {
		c.b.Fatal(err)
	}
	if resp.StatusCode != http.StatusServiceUnavailable {
		c.b.Fatalf("status %d", resp.StatusCode)
	}
	if !keep || resp.Close {
		_ = c.conn.Close()
		c.conn = nil
	}
}
