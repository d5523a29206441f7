package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/state/routing"
)

// script is what an engine does with a request for a stream that continues with the event next.
type script func(w http.ResponseWriter, r *http.Request, next int)

// scriptedEvents is the number of events in a stream of serveScript.
const scriptedEvents = 5

// serveScript sends the rest of the stream.
func serveScript(w http.ResponseWriter, _ *http.Request, next int) {
	for ; next <= scriptedEvents; next++ {
		writeEvent(w, next)
	}
}

// stopScript sends one event and nothing after it.
func stopScript(w http.ResponseWriter, r *http.Request, next int) {
	writeEvent(w, next)
	<-r.Context().Done()
}

// hangScript sends nothing.
func hangScript(_ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() }

// fullScript responds that the request was not executed.
func fullScript(w http.ResponseWriter, _ *http.Request, _ int) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func writeEvent(w http.ResponseWriter, id int) {
	fmt.Fprintf(w, "id: %d\ndata: t%d\n\n", id, id)
	_ = http.NewResponseController(w).Flush()
}

// newScriptedHarness starts one engine for each script. The nth request runs the nth script, whichever engine gets it.
func newScriptedHarness(t *testing.T, scripts ...script) *harness {
	t.Helper()
	var count atomic.Int32
	var addresses []string
	for i := range scripts {
		signature := "sig-i-" + string(rune('a'+i))
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // the server notices that a client leaves only after the body
			last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
			w.Header().Set("Instance-Signature", signature)
			scripts[min(int(count.Add(1)), len(scripts))-1](w, r, last+1)
		}))
		t.Cleanup(server.Close)
		t.Cleanup(server.CloseClientConnections)
		addresses = append(addresses, server.Listener.Addr().String())
	}
	h := newGatewayHarness(t, addresses)
	config := testConfig()
	config.Version++
	for i := range config.Routes {
		config.Routes[i].MaxAttempts = len(scripts)
	}
	h.routing.Store(routing.NewTable(config))
	return h
}

// expectStream sends a request and expects the whole stream within a time.
func (h *harness) expectStream(g Gomega, limit time.Duration) {
	r := h.stream("/digest/x", "a1")
	r.Header.Set("Deadline-Ms", "5500")
	begin := time.Now()
	resp := h.do(r)
	g.Expect(resp.err).NotTo(HaveOccurred())
	g.Expect(resp.status).To(Equal(http.StatusOK))
	g.Expect(strings.Count(resp.body, "id: ")).To(Equal(scriptedEvents))
	g.Expect(time.Since(begin)).To(BeNumerically("<", limit))
}

// Guards against a request that waits until its deadline for a substitute whose server sends nothing, although a
// further server would respond and the route allows another attempt.
func TestSilentSubstituteIsReplaced(t *testing.T) {
	for name, first := range map[string]script{"before the first event": hangScript, "within the stream": stopScript} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			newScriptedHarness(t, first, hangScript, serveScript).expectStream(NewWithT(t), 4*time.Second)
		})
	}
}

// Guards against a further period of silence before the next server is tried, after a server that did not run the
// substitute.
func TestSubstituteThatDidNotRunIsRetriedAtOnce(t *testing.T) {
	t.Parallel()
	newScriptedHarness(t, stopScript, fullScript, serveScript).expectStream(NewWithT(t), 2*time.Second)
}
