package overlimit

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"path"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/test/standin/endless"
)

const (
	// faultyServers is the number of backend servers that send without end. There are several, since one that fails gets no
	// requests for a while.
	faultyServers = 12
	// faultyTime is how long a crowd sends requests to them, for each kind of bytes.
	faultyTime = 1500 * time.Millisecond
)

// endlessResponses returns the responses of faulty servers to an attempt, by name: every place of a response at which bytes may
// come without end.
func endlessResponses(attempt string) map[string]endless.Bytes {
	signed := func(status string, lines ...string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nAttempt-Id: %s\r\nInstance-Signature: sig\r\n%s\r\n", status, attempt, strings.Join(lines, ""))
	}
	chunked := signed("200 OK", "Transfer-Encoding: chunked\r\n")
	events := signed("200 OK", "Content-Type: text/event-stream\r\n")
	responses := endless.Heads()
	maps.Copy(responses, map[string]endless.Bytes{
		"chunk-head":      {Start: chunked, Repeated: "1"},
		"chunk-extension": {Start: chunked + "1;", Repeated: "x"},
		"chunks":          {Start: chunked, Repeated: "4\r\nbody\r\n"},
		"trailer":         {Start: chunked + "1\r\nx\r\n0\r\n", Repeated: "A: b\r\n"},
		"trailer-line":    {Start: chunked + "1\r\nx\r\n0\r\nA: ", Repeated: "b"},
		"body":            {Start: signed("200 OK"), Repeated: "body"},
		"slow-body":       {Start: signed("200 OK") + strings.Repeat("b", 30<<10), Repeated: "b", Pause: 2 * time.Second},
		"failure":         {Start: signed("500 Failed"), Repeated: "body"},
		"refusal":         {Start: signed("503 Full", "Not-Executed: 1\r\n"), Repeated: "body"},
		"misdirected":     {Start: signed("421 Misdirected"), Repeated: "body"},
		"event":           {Start: events + "id: 1\ndata: ", Repeated: "t"},
		"comments":        {Start: events, Repeated: ": c\n\n"},
		"events":          {Start: events, Repeated: "data: token\n\n"},
		"after-response":  {Start: signed("200 OK", "Content-Length: 2\r\n") + "ok", Repeated: "stray"},
		"other-responses": {Repeated: "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 1\r\n\r\nx"},
	})
	return responses
}

// served counts the responses of faulty servers.
var served atomic.Int64

// serveWithoutEnd responds to a request with the bytes that the last element of its path names.
func serveWithoutEnd(c net.Conn) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	served.Add(1)
	name := strings.ReplaceAll(path.Base(r.URL.Path), "_", " ")
	endlessResponses(r.Header.Get("Attempt-Id"))[name].Send(c)
}

// faultyClient returns a client of faulty servers. reads tells whether it reads its response.
func faultyClient(path string, reads bool) func(ctx context.Context, conn net.Conn) {
	return func(ctx context.Context, conn net.Conn) {
		text := requestTo(path, attempt(), "hot-key") + "Model: m\r\nToken-Usage: 100,10\r\nContent-Length: 0\r\n\r\n"
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		if reads {
			_, _ = io.Copy(io.Discard, conn)
			return
		}
		<-ctx.Done()
	}
}

// Guards against a router that runs out of memory because faulty servers send bytes without end, wherever in a response, to
// clients that read and to some that do not, and against requests to other servers that end with it.
func TestServersThatSendWithoutEnd(t *testing.T) {
	r := startRouter(t, buildRouter(t))
	for _, name := range slices.Sorted(maps.Keys(endlessResponses(""))) {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			element := strings.ReplaceAll(name, " ", "_")
			for i := range faultyServers { // new ones, since servers that failed get few requests for a while
				r.store.Put(fmt.Sprintf("servers/f-%s-%d", element, i), fmt.Appendf(nil,
					`{"service":"faulty","address":%q,"zone":"a","slots":64,"state":"ready"}`, endless.Serve(t, serveWithoutEnd)))
			}
			served.Store(0)
			done := make(chan struct{})
			go func() {
				defer close(done)
				crowd(crowdSize, faultyTime, r.Front, func(ctx context.Context, conn net.Conn) {
					prefix := []string{"/faulty/", "/faultystream/"}[attempts.Load()%2]
					faultyClient(prefix+element, attempts.Load()%4 < 2)(ctx, conn)
				})
			}()
			g.Eventually(r.ordinaryStatus, "5s", "50ms").Should(Equal(http.StatusOK), "beside the faulty servers")
			<-done
			select {
			case <-r.Exited:
				t.Fatal("the router has ended")
			default:
			}
			t.Logf("%d responses, %d MiB at most, %d descriptors", served.Load(), r.peakMemoryMB(), r.openDescriptors())
			g.Expect(served.Load()).To(BeNumerically(">", faultyServers))
			g.Expect(r.peakMemoryMB()).To(BeNumerically("<=", memoryMB))
			g.Expect(r.openDescriptors()).To(BeNumerically("<", descriptors))
		})
	}
}
